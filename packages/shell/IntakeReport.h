//===- IntakeReport.h - What operators see of the intake --------*- C++ -*-===//
#pragma once

#include "base/Decision.h"
#include "node/Events.h"
#include "shell/HttpIntake.h"

#include <vector>

namespace pimento {

/// Bytes held by part, the limit, and what was refused.
std::vector<MetricSample> intakeGauges(const HttpIntake &Intake);

/// Number of refusals of all kinds.
std::uint64_t refusals(const IntakeCounters &C);

/// The log line about what was refused after \p Before.
DecisionRecord intakeRecord(const HttpIntake &Intake,
                            const IntakeCounters &Before);

} // namespace pimento
