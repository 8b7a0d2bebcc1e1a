#include "base/SettingText.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace pimento {

namespace {

/// Splits a text such as "250ms" into 250 and "ms". The number consists of
/// decimal digits only, without a sign.
bool splitUnit(std::string_view Text, std::uint64_t &Number,
               std::string_view &Unit) {
  const char *Last = Text.data() + Text.size();
  auto [End, Error] = std::from_chars(Text.data(), Last, Number);
  if (Error != std::errc() || End == Text.data())
    return false;
  Unit = std::string_view(End, static_cast<std::size_t>(Last - End));
  return true;
}

/// Parses the fractional part of a duration in seconds, such as ".25s", with at
/// most three digits.
bool parseDecimals(std::string_view Text, Duration &Part) {
  std::uint64_t Digits = 0;
  std::string_view Unit;
  constexpr std::size_t MaxDigits = 3;
  if (!splitUnit(Text.substr(1), Digits, Unit) || Unit != "s")
    return false;
  std::size_t Count = Text.size() - 1 - Unit.size();
  if (Count > MaxDigits)
    return false;
  for (; Count < MaxDigits; ++Count)
    Digits *= 10;
  Part = milliseconds(static_cast<std::int64_t>(Digits));
  return true;
}

} // namespace

bool parseCount(std::string_view Text, std::uint64_t &Value) {
  std::string_view Unit;
  return splitUnit(Text, Value, Unit) && Unit.empty();
}

std::string ipOf(std::string_view Address) {
  return std::string(Address.substr(0, Address.rfind(':')));
}

std::string portOf(std::string_view Address) {
  return std::string(Address.substr(Address.rfind(':') + 1));
}

std::vector<std::string> splitAddresses(std::string_view Text) {
  std::vector<std::string> List;
  std::size_t Begin = 0;
  while (Begin < Text.size()) {
    std::size_t End = std::min(Text.find(',', Begin), Text.size());
    std::string_view Part = Text.substr(Begin, End - Begin);
    while (!Part.empty() && Part.front() == ' ')
      Part.remove_prefix(1);
    while (!Part.empty() && Part.back() == ' ')
      Part.remove_suffix(1);
    if (!Part.empty())
      List.emplace_back(Part);
    Begin = End + 1;
  }
  return List;
}

bool parseDuration(std::string_view Text, Duration &D) {
  std::uint64_t Number = 0;
  std::string_view Unit;
  constexpr std::uint64_t MaxNumber = 1000000000;
  if (!splitUnit(Text, Number, Unit) || Number > MaxNumber)
    return false;
  auto Count = static_cast<std::int64_t>(Number);
  Duration Part = Duration::zero();
  if (!Unit.empty() && Unit.front() == '.') {
    if (!parseDecimals(Unit, Part))
      return false;
    D = seconds(Count) + Part;
    return true;
  }
  if (Unit == "ms")
    D = milliseconds(Count);
  else if (Unit == "s")
    D = seconds(Count);
  else if (Unit == "m")
    D = minutes(std::min<std::int64_t>(Count, 1000000));
  else if (Unit == "h")
    D = hours(std::min<std::int64_t>(Count, 100000));
  else
    return false;
  return true;
}

bool parseBytes(std::string_view Text, std::uint64_t &Bytes) {
  std::uint64_t Number = 0;
  std::string_view Unit;
  constexpr std::uint64_t MaxNumber = 1ULL << 40U;
  if (!splitUnit(Text, Number, Unit) || Number > MaxNumber)
    return false;
  if (Unit == "B")
    Bytes = Number;
  else if (Unit == "KiB")
    Bytes = Number << 10U;
  else if (Unit == "MiB")
    Bytes = Number << 20U;
  else if (Unit == "GiB")
    Bytes = std::min<std::uint64_t>(Number, 1U << 20U) << 30U;
  else
    return false;
  return true;
}

bool isAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  std::string_view Ip = Text.substr(0, Colon);
  std::string_view PortText = Text.substr(Colon + 1);
  std::uint64_t Port = 0;
  if (!parseCount(PortText, Port))
    return false;
  constexpr std::uint64_t MaxPort = 65535;
  if (Port == 0 || Port > MaxPort)
    return false;
  bool Bracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  return std::all_of(Ip.begin(), Ip.end(), [&](unsigned char C) {
    bool V4 = std::isdigit(C) || C == '.';
    bool V6 = std::isxdigit(C) || C == ':' || C == '[' || C == ']';
    return Bracketed ? V6 : V4;
  });
}

} // namespace pimento
