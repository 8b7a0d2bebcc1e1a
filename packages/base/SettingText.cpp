#include "base/SettingText.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <iterator>

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

/// The same for a number that may have a decimal fraction, such as "1.5s".
bool splitDecimalUnit(std::string_view Text, double &Number,
                      std::string_view &Unit) {
  if (Text.empty() || std::isdigit(static_cast<unsigned char>(Text[0])) == 0)
    return false;
  const char *Last = Text.data() + Text.size();
  auto [End, Error] =
      std::from_chars(Text.data(), Last, Number, std::chars_format::fixed);
  if (Error != std::errc() || *std::prev(End) == '.')
    return false;
  Unit = std::string_view(End, static_cast<std::size_t>(Last - End));
  return true;
}

/// Returns the unit of a duration in seconds; zero if there is no such unit.
double secondsOf(std::string_view Unit) {
  constexpr double SecondsPerMillisecond = 1e-3;
  constexpr double SecondsPerMinute = 60;
  constexpr double SecondsPerHour = 3600;
  if (Unit == "ms")
    return SecondsPerMillisecond;
  if (Unit == "s")
    return 1;
  if (Unit == "m")
    return SecondsPerMinute;
  if (Unit == "h")
    return SecondsPerHour;
  return 0;
}

/// Returns the unit of a size in bytes; zero if there is no such unit.
double bytesOf(std::string_view Unit) {
  constexpr double BytesPerKiB = 1U << 10U;
  constexpr double BytesPerMiB = 1U << 20U;
  constexpr double BytesPerGiB = 1U << 30U;
  if (Unit == "B")
    return 1;
  if (Unit == "KiB")
    return BytesPerKiB;
  if (Unit == "MiB")
    return BytesPerMiB;
  if (Unit == "GiB")
    return BytesPerGiB;
  return 0;
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

std::optional<std::map<std::string, double>>
parseNamedShares(std::string_view Text) {
  std::map<std::string, double> Shares;
  for (const std::string &Entry : splitAddresses(Text)) {
    std::size_t Equals = Entry.find('=');
    if (Equals == 0 || Equals == std::string::npos)
      return std::nullopt;
    double Share = 0;
    bool IsShare =
        parseNumber(std::string_view(Entry).substr(Equals + 1), Share) &&
        Share <= 1;
    if (!IsShare || !Shares.emplace(Entry.substr(0, Equals), Share).second)
      return std::nullopt;
  }
  return Shares;
}

bool parseNumber(std::string_view Text, double &Value) {
  double Number = 0;
  std::string_view Unit;
  if (!splitDecimalUnit(Text, Number, Unit) || !Unit.empty())
    return false;
  Value = Number;
  return true;
}

bool parseDuration(std::string_view Text, Duration &D) {
  double Number = 0;
  std::string_view Unit;
  constexpr double MaxNumber = 1e9;
  constexpr double MaxSeconds = 1e9; // 31 years.
  if (!splitDecimalUnit(Text, Number, Unit) || Number > MaxNumber)
    return false;
  double UnitSeconds = secondsOf(Unit);
  if (UnitSeconds == 0)
    return false;
  constexpr double NanosecondsPerSecond = 1e9;
  double Seconds = std::min(Number * UnitSeconds, MaxSeconds);
  D = Duration(std::llround(Seconds * NanosecondsPerSecond));
  return true;
}

bool parseBytes(std::string_view Text, std::uint64_t &Bytes) {
  double Number = 0;
  std::string_view Unit;
  constexpr double MaxNumber = 1ULL << 40U;
  constexpr double MaxBytes = 1ULL << 50U;
  if (!splitDecimalUnit(Text, Number, Unit) || Number > MaxNumber)
    return false;
  double UnitBytes = bytesOf(Unit);
  if (UnitBytes == 0)
    return false;
  Bytes = static_cast<std::uint64_t>(std::min(Number * UnitBytes, MaxBytes));
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
