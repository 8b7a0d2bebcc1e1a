//===- Stream.h - The events of a generated answer --------------*- C++ -*-===//
//
// Parses an engine's answer stream into typed events.
//
//   EngineStream Stream;
//   std::vector<EngineEvent> Events;
//   feed(Stream, Bytes, Events); // For each piece of the stream.
//
// The parser checks only the format. Its caller must compare the attempt id of
// each event with the expected one, and check that the answer is complete.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "engine/Sse.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pimento {

/// One token of the answer.
struct TokenEvent {
  AttemptId Attempt;
  std::uint64_t Offset = 0; // Index of the token, from 0.
  std::string Text;
};

/// Progress of prefill, in prompt tokens; also shows that the engine is alive.
/// Carries no attempt id.
struct PrefillEvent {
  std::uint64_t Done = 0;
  std::uint64_t Total = 0;
};

/// The end marker; without it the answer is incomplete.
struct EndEvent {
  AttemptId Attempt;
  bool LengthLimit = false; // The answer reached max_tokens.
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0; // Prompt tokens found in the prefix cache.
  std::uint64_t OutputTokens = 0;
};

/// The attempt failed at the engine.
struct ErrorEvent {
  AttemptId Attempt;
  std::string Detail;
};

/// The stream violates the protocol; all later input is ignored.
struct ProtocolErrorEvent {
  std::string Detail;
};

using EngineEvent = std::variant<TokenEvent, PrefillEvent, EndEvent, ErrorEvent,
                                 ProtocolErrorEvent>;

struct EngineStream {
  SseReader Reader;
  bool ProtocolViolated = false; // The stream violated the protocol.
};

/// Reads \p Bytes and appends every completed event to \p Events.
void feed(EngineStream &Stream, std::string_view Bytes,
          std::vector<EngineEvent> &Events);

} // namespace pimento
