#include "engine/Sse.h"

namespace pimento {

namespace {

/// Returns the text after the first \p FieldBytes bytes, the field name and its
/// colon, without one optional space.
std::string_view fieldText(std::string_view Line, std::size_t FieldBytes) {
  Line.remove_prefix(FieldBytes);
  if (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  return Line;
}

void readLine(std::string_view Line, std::vector<SseLine> &Lines) {
  constexpr std::string_view DataField = "data:";
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  if (Line.substr(0, DataField.size()) == DataField)
    Lines.push_back(
        {SseKind::Data, std::string(fieldText(Line, DataField.size()))});
  else if (!Line.empty() && Line.front() == ':')
    Lines.push_back({SseKind::Comment, std::string(fieldText(Line, 1))});
}

} // namespace

bool feed(SseReader &Reader, std::string_view Bytes,
          std::vector<SseLine> &Lines) {
  while (!Reader.Broken && !Bytes.empty()) {
    std::size_t End = Bytes.find('\n');
    std::string_view Piece = Bytes.substr(0, End);
    if (Reader.Partial.size() + Piece.size() > Reader.MaxLine) {
      Reader.Broken = true;
      Reader.Partial.clear();
      break;
    }
    if (End == std::string_view::npos) {
      Reader.Partial.append(Piece);
      break;
    }
    Bytes.remove_prefix(End + 1);
    if (Reader.Partial.empty()) {
      readLine(Piece, Lines);
      continue;
    }
    Reader.Partial.append(Piece);
    readLine(Reader.Partial, Lines);
    Reader.Partial.clear();
  }
  return !Reader.Broken;
}

} // namespace pimento
