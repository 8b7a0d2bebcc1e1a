//===- EventSplitter.h - Whole events of a stream ---------------*- C++ -*-===//
//
//   EventSplitter S;
//   std::string Whole = takeEvents(S, Bytes);   // As often as bytes come.
//
// Passes events on byte for byte, but only whole ones, and remembers the id of
// the last: a stream that breaks off within an event can go on after it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pimento {

struct EventSplitter {
  std::string Partial;      // Of the event that is not whole yet.
  std::string LastId;       // Of the last whole event that had one.
  std::uint64_t Events = 0; // Whole ones so far.
};

/// Longest event that is held.
constexpr std::size_t MaxEventBytes = 1U << 20U;

/// Adds \p Bytes and returns all events that are whole now. A partial event
/// longer than MaxEventBytes is returned as it is.
std::string takeEvents(EventSplitter &S, std::string_view Bytes);

} // namespace pimento
