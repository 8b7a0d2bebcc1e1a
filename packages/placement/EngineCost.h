//===- EngineCost.h - Cost model of an engine -------------------*- C++ -*-===//
//
// Computes prefill and decode times from the data sheet of an engine
// (EngineProfile). The caller corrects for an engine that is slower than its
// data sheet.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "routing/Routing.h"

#include <cstdint>

namespace pimento {

/// Prefill time of a whole prompt on an otherwise idle engine.
Duration prefillTime(const EngineProfile &F, std::uint64_t PromptTokens);

/// Duration of a step that decodes for \p DecodingCount requests, which have
/// \p Context tokens in total, and prefills nothing.
Duration stepTime(const EngineProfile &F, std::size_t DecodingCount,
                  std::uint64_t Context);

/// Event interval: the time after which an engine sends each decoding request
/// its next event. A single step if no request decodes.
Duration eventIntervalTime(const EngineProfile &F, std::size_t DecodingCount,
                           std::uint64_t Context);

/// Upper bound of the prefill time within one event interval. The interval has
/// a fixed number of steps, and each step prefills at most one chunk.
Duration maxPrefillPerInterval(const EngineProfile &F,
                               std::uint64_t PromptTokens);

/// Time for \p PrefillTime of prefill while other requests decode: each chunk
/// also takes a decode step.
Duration prefillTimeWhileDecoding(const EngineProfile &F, Duration PrefillTime,
                                  std::size_t DecodingCount,
                                  std::uint64_t Context);

/// Time to decode \p AnswerTokens tokens if each event interval takes
/// \p Interval.
Duration decodeTime(const EngineProfile &F, std::uint64_t AnswerTokens,
                    Duration Interval);

} // namespace pimento
