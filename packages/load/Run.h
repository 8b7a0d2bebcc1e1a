//===- Run.h - The loop that sends a plan -----------------------*- C++ -*-===//
//
//   Report R = runPhase(Phase, Progress);
//
// One libevent loop on one thread. Requests leave at their planned times
// whether or not earlier ones were answered, but for MaxInFlight.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "load/Options.h"
#include "load/Report.h"

#include <ostream>
#include <string>
#include <vector>

namespace pimento::load {

/// Time after a request's own limit for its refusal to arrive.
constexpr Duration AnswerGrace = seconds(5);

/// One phase of a run.
struct Phase {
  std::string Name;    // For progress lines.
  std::string RunName; // Unique among all runs and phases: keys and prompts.
  const Target *Site = nullptr;
  std::vector<Arrival> Plan;
  bool ExactCounts = false;
  std::size_t InFlight = MaxInFlight;
  Duration Grace = AnswerGrace;
};

/// Sends the plan and returns when each request has ended or passed its limit
/// and grace. Writes one line a second to \p Progress.
Report runPhase(Phase P, std::ostream &Progress);

/// The request that an arrival stands for.
UpstreamRequest requestFor(const Phase &P, const Arrival &A);

} // namespace pimento::load
