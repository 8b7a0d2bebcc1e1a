#include "base/Ini.h"

#include <ini.h>

namespace pimento {

namespace {

/// Passes lines to inih and counts them, because the callback of inih does not
/// receive the line number.
struct LineReader {
  std::string_view Rest;
  int Line = 0;
  bool TooLong = false;
  std::vector<IniEntry> Entries;
};

/// inih splits longer lines in two, which would produce a wrong entry.
constexpr std::size_t MaxLineBytes = 190;

char *readLine(char *Buffer, int Size, void *Stream) {
  auto &Reader = *static_cast<LineReader *>(Stream);
  if (Reader.Rest.empty())
    return nullptr;
  std::size_t End = Reader.Rest.find('\n');
  std::string_view Line = Reader.Rest.substr(0, End);
  Reader.Rest.remove_prefix(End == std::string_view::npos ? Reader.Rest.size()
                                                          : End + 1);
  ++Reader.Line;
  std::size_t Room = static_cast<std::size_t>(Size) - 1;
  if (Line.size() > MaxLineBytes || Line.size() > Room) {
    Reader.TooLong = true;
    return nullptr;
  }
  Line.copy(Buffer, Line.size());
  Buffer[Line.size()] = '\0';
  return Buffer;
}

int takeEntry(void *User, const char *Section, const char *Key,
              const char *Value) {
  auto &Reader = *static_cast<LineReader *>(User);
  IniEntry Entry;
  Entry.Section = Section ? Section : "";
  Entry.Key = Key ? Key : "";
  Entry.Value = Value ? Value : "";
  Entry.Line = Reader.Line;
  Reader.Entries.push_back(std::move(Entry));
  return 1;
}

} // namespace

Result<std::vector<IniEntry>> parseIni(std::string_view Text) {
  if (Text.size() > MaxIniBytes)
    return fail(Code::SettingsUnreadable, "a text longer than 1 MiB");
  if (Text.find('\0') != std::string_view::npos)
    return fail(Code::SettingsUnreadable, "a text that contains a zero byte");
  LineReader Reader;
  Reader.Rest = Text;
  int BadLine = ini_parse_stream(readLine, &Reader, takeEntry, &Reader);
  if (Reader.TooLong)
    return fail(Code::SettingsUnreadable,
                "line " + std::to_string(Reader.Line) + " with more than " +
                    std::to_string(MaxLineBytes) + " bytes");
  if (BadLine != 0)
    return fail(Code::SettingsUnreadable,
                "line " + std::to_string(BadLine) +
                    ", which is neither '[section]' nor 'key = value'");
  return std::move(Reader.Entries);
}

} // namespace pimento
