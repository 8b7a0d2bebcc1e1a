#include "ctl/Table.h"

#include <algorithm>
#include <ctime>
#include <set>

namespace pimento::ctl {

namespace {

constexpr std::size_t Gap = 2; // Spaces between two columns.

using Row = std::vector<std::string>;

std::string dumped(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns \p First followed by all other keys of the rows in sorted order.
std::vector<std::string> keysOf(const Json &Rows,
                                std::vector<std::string> First) {
  std::set<std::string> Seen(First.begin(), First.end());
  std::set<std::string> Others;
  for (const Json &Item : Rows) {
    if (!Item.is_object())
      continue;
    for (const auto &Field : Item.items()) {
      if (Seen.count(Field.key()) == 0)
        Others.insert(Field.key());
    }
  }
  First.insert(First.end(), Others.begin(), Others.end());
  return First;
}

std::string aligned(const std::vector<Row> &Lines) {
  std::vector<std::size_t> Widths(Lines.front().size(), 0);
  for (const Row &Line : Lines) {
    for (std::size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  }
  std::string Text;
  for (const Row &Line : Lines) {
    std::string Shown;
    for (std::size_t I = 0; I < Line.size(); ++I) {
      Shown += Line[I];
      Shown.append(Widths[I] - Line[I].size() + Gap, ' ');
    }
    Shown.erase(Shown.find_last_not_of(' ') + 1);
    Text += Shown + "\n";
  }
  return Text;
}

Json valueOf(const Json &Object, const std::string &Key) {
  if (!Object.is_object())
    return nullptr;
  return Object.value(Key, Json(nullptr));
}

} // namespace

std::string printable(std::string_view Text) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7f;
  std::string Shown(Text);
  for (char &C : Shown) {
    auto Byte = static_cast<unsigned char>(C);
    if (Byte < FirstPrintable || Byte == Delete)
      C = '?';
  }
  return Shown;
}

std::string cellText(const Json &Value) {
  if (Value.is_null() || (Value.is_array() && Value.empty()))
    return "-";
  if (Value.is_boolean())
    return Value.get<bool>() ? "yes" : "no";
  if (Value.is_string()) {
    std::string Text = printable(Value.get_ref<const std::string &>());
    return Text.empty() ? "-" : Text;
  }
  bool Texts = Value.is_array() &&
               std::all_of(Value.begin(), Value.end(),
                           [](const Json &V) { return V.is_string(); });
  if (!Texts)
    return printable(dumped(Value));
  std::string All;
  for (const Json &Item : Value)
    All += (All.empty() ? "" : ",") + cellText(Item);
  return All;
}

std::string table(const Json &Rows, const std::vector<std::string> &Columns) {
  if (!Rows.is_array() || Rows.empty())
    return "none\n";
  std::vector<std::string> Keys = keysOf(Rows, Columns);
  std::vector<Row> Lines = {{}};
  for (const std::string &Key : Keys)
    Lines.front().push_back(printable(Key));
  for (const Json &Item : Rows) {
    Row Line;
    for (const std::string &Key : Keys)
      Line.push_back(cellText(valueOf(Item, Key)));
    Lines.push_back(std::move(Line));
  }
  return aligned(Lines);
}

std::string fields(const Json &Object, const std::vector<std::string> &Keys) {
  std::vector<Row> Lines;
  for (const std::string &Key : keysOf(Json::array({Object}), Keys))
    Lines.push_back({printable(Key), cellText(valueOf(Object, Key))});
  return Lines.empty() ? "none\n" : aligned(Lines);
}

std::string utcTime(std::int64_t Milliseconds) {
  constexpr std::int64_t MillisecondsPerSecond = 1000;
  auto Seconds = static_cast<std::time_t>(Milliseconds / MillisecondsPerSecond);
  std::tm Parts{};
  char Text[sizeof "-2147483648-01-01 00:00:00Z"];
  if (!gmtime_r(&Seconds, &Parts) ||
      std::strftime(Text, sizeof Text, "%Y-%m-%d %H:%M:%SZ", &Parts) == 0)
    return std::to_string(Milliseconds);
  return Text;
}

} // namespace pimento::ctl
