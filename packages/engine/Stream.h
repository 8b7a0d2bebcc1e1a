//===- Stream.h - The events of a generated answer --------------*- C++ -*-===//
//
//   EngineStream Stream;
//   std::vector<EngineEvent> Events;
//   feed(Stream, Bytes, Events); // As often as bytes come.
//
// The stream says what the engine wrote. Whether an event belongs to the
// attempt that was asked for, and whether the answer is whole, is judged by
// who reads the events: each carries its attempt.
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
  std::uint64_t Offset = 0; // In tokens, from 0.
  std::string Text;
};

/// The prompt is being read; a sign of life without an attempt id.
struct PrefillEvent {
  std::uint64_t Done = 0; // Tokens.
  std::uint64_t Total = 0;
};

/// The end marker: without it the answer is not whole.
struct EndEvent {
  AttemptId Attempt;
  bool LengthLimit = false; // It ended because of max_tokens.
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0; // Of these, found in the prefix cache.
  std::uint64_t OutputTokens = 0;
};

/// The attempt failed at the engine.
struct ErrorEvent {
  AttemptId Attempt;
  std::string Detail;
};

/// The bytes break the protocol; nothing is read after it.
struct ProtocolErrorEvent {
  std::string Detail;
};

using EngineEvent = std::variant<TokenEvent, PrefillEvent, EndEvent, ErrorEvent,
                                 ProtocolErrorEvent>;

struct EngineStream {
  SseReader Reader;
  bool Garbled = false; // Reads no more.
};

/// Reads \p Bytes and appends every event that became whole.
void feed(EngineStream &Stream, std::string_view Bytes,
          std::vector<EngineEvent> &Events);

} // namespace pimento
