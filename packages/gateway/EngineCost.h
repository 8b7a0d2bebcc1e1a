//===- EngineCost.h - What a request costs an engine ------------*- C++ -*-===//
//
// Sums over the data sheet of an engine (EngineProfile). Pure arithmetic; an
// engine that is slow is the caller's business.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "routing/Routing.h"

#include <cstdint>

namespace pimento {

/// Time that an engine reads at a whole prompt, with nothing else to do.
Duration prefillTime(const EngineProfile &F, std::uint64_t PromptTokens);

/// One step in which \p DecodingCount requests with \p Context tokens together
/// write and nothing is read.
Duration stepTime(const EngineProfile &F, std::size_t DecodingCount,
                  std::uint64_t Context);

/// One pass: every writer sends one event at its end. A single step where
/// nobody writes.
Duration eventIntervalTime(const EngineProfile &F, std::size_t DecodingCount,
                           std::uint64_t Context);

/// Longest time that one pass spends reading, at the most, where requests
/// write: the pass ends after its steps, each of which reads one chunk.
Duration maxPrefillPerInterval(const EngineProfile &F,
                               std::uint64_t PromptTokens);

/// Time to read \p PrefillTime among writers: each chunk read also costs a
/// step.
Duration prefillTimeWhileDecoding(const EngineProfile &F, Duration PrefillTime,
                                  std::size_t DecodingCount,
                                  std::uint64_t Context);

/// Time in which \p AnswerTokens are written, by passes of length \p Interval.
Duration decodeTime(const EngineProfile &F, std::uint64_t AnswerTokens,
                    Duration Interval);

} // namespace pimento
