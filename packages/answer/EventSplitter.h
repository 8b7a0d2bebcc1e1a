//===- EventSplitter.h - Splits a stream into complete events ---*- C++ -*-===//
//
//   EventSplitter S;
//   std::string Events = takeEvents(S, Bytes);   // For each piece received.
//
// Forwards the bytes of server-sent events unchanged, but only complete events,
// and keeps the id of the last one. A stream that is interrupted within an
// event can therefore resume after the last complete event.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimento {

struct EventSplitter {
  std::string Partial;      // Bytes of the incomplete event at the end.
  std::string LastId;       // Id of the last complete event with an id.
  std::uint64_t Events = 0; // Number of complete events.
};

/// Longest incomplete event that is buffered.
constexpr std::size_t MaxEventBytes = 1U << 20U;

/// Adds \p Bytes and returns all events that are now complete.
std::string takeEvents(EventSplitter &S, std::string_view Bytes);

/// Whether the first event of \p Bytes, after what is buffered, goes on after
/// LastId; nothing if it is not complete yet. Ids that are numbers must
/// increase, others differ. True if LastId is empty.
std::optional<bool> goesOn(const EventSplitter &S, std::string_view Bytes);

/// Whether bytes of an event have arrived and its end has not. Line ends
/// between events are no event.
bool isWithinEvent(const EventSplitter &S);

/// Whether the incomplete event exceeds MaxEventBytes. The stream is then no
/// sound answer, and may have no end.
bool isOverlong(const EventSplitter &S);

} // namespace pimento
