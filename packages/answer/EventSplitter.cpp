#include "answer/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace pimento {

namespace {

/// Returns the end of the first complete event in \p Text at or after \p From,
/// or npos. An event ends with an empty line.
std::size_t eventEnd(std::string_view Text, std::size_t From) {
  std::size_t Plain = Text.find("\n\n", From);
  std::size_t Carriage = Text.find("\r\n\r\n", From);
  constexpr std::size_t PlainSize = 2;
  constexpr std::size_t CarriageSize = 4;
  if (Plain == std::string_view::npos && Carriage == std::string_view::npos)
    return std::string_view::npos;
  if (Plain < Carriage)
    return Plain + PlainSize;
  return Carriage + CarriageSize;
}

/// Returns the id of an event; nothing if it has none.
std::optional<std::string> idOf(std::string_view Event) {
  std::optional<std::string> Id;
  constexpr std::string_view Field = "id:";
  while (!Event.empty()) {
    std::size_t End = std::min(Event.find('\n'), Event.size());
    std::string_view Line = Event.substr(0, End);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (Line.substr(0, Field.size()) == Field) {
      Line.remove_prefix(Field.size());
      if (!Line.empty() && Line.front() == ' ')
        Line.remove_prefix(1);
      Id = Line;
    }
    Event.remove_prefix(std::min(End + 1, Event.size()));
  }
  return Id;
}

std::optional<std::uint64_t> numberOf(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Error] = std::from_chars(Text.data(), Last, Number);
  if (Error != std::errc() || End != Last)
    return std::nullopt;
  return Number;
}

bool isAfter(const std::string &Id, const std::string &LastId) {
  std::optional<std::uint64_t> Number = numberOf(Id);
  std::optional<std::uint64_t> Last = numberOf(LastId);
  return Number && Last ? *Number > *Last : Id != LastId;
}

} // namespace

std::string takeEvents(EventSplitter &S, std::string_view Bytes) {
  S.Partial += Bytes;
  std::size_t Begin = 0;
  for (;;) {
    std::size_t End = eventEnd(S.Partial, Begin);
    if (End == std::string::npos)
      break;
    std::string_view Event =
        std::string_view(S.Partial).substr(Begin, End - Begin);
    S.LastId = idOf(Event).value_or(S.LastId);
    ++S.Events;
    Begin = End;
  }
  std::string Complete = S.Partial.substr(0, Begin);
  S.Partial.erase(0, Begin);
  return Complete;
}

std::optional<bool> goesOn(const EventSplitter &S, std::string_view Bytes) {
  if (S.LastId.empty())
    return true;
  std::string Text = S.Partial + std::string(Bytes);
  std::size_t End = eventEnd(Text, 0);
  if (End == std::string::npos)
    return std::nullopt;
  std::optional<std::string> Id = idOf(std::string_view(Text).substr(0, End));
  return Id && isAfter(*Id, S.LastId);
}

bool isWithinEvent(const EventSplitter &S) {
  return S.Partial.find_first_not_of("\r\n") != std::string::npos;
}

bool isOverlong(const EventSplitter &S) {
  return S.Partial.size() > MaxEventBytes;
}

} // namespace pimento
