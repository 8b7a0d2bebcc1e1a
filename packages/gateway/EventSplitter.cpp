#include "gateway/EventSplitter.h"

#include <algorithm>

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

void updateLastId(EventSplitter &S, std::string_view Event) {
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
      S.LastId = Line;
    }
    Event.remove_prefix(std::min(End + 1, Event.size()));
  }
}

} // namespace

std::string takeEvents(EventSplitter &S, std::string_view Bytes) {
  S.Partial += Bytes;
  std::size_t Begin = 0;
  for (;;) {
    std::size_t End = eventEnd(S.Partial, Begin);
    if (End == std::string::npos)
      break;
    updateLastId(S, std::string_view(S.Partial).substr(Begin, End - Begin));
    ++S.Events;
    Begin = End;
  }
  std::string Complete = S.Partial.substr(0, Begin);
  S.Partial.erase(0, Begin);
  return Complete;
}

bool isOverlong(const EventSplitter &S) {
  return S.Partial.size() > MaxEventBytes;
}

} // namespace pimento
