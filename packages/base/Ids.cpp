#include "base/Ids.h"

#include <charconv>
#include <cstdio>

namespace pimento {

namespace {

constexpr std::size_t RequestIdDigits = 32;
constexpr std::size_t HalfDigits = RequestIdDigits / 2;

bool parseHex(std::string_view Text, std::uint64_t &Value) {
  for (char C : Text) {
    bool Lower = (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
    if (!Lower)
      return false;
  }
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  return Error == std::errc() && End == Text.data() + Text.size();
}

} // namespace

std::string toString(PartId Id) {
  char Text[HalfDigits + 1];
  std::snprintf(Text, sizeof(Text), "%llx",
                static_cast<unsigned long long>(Id));
  return Text;
}

std::string toString(const RequestId &Id) {
  char Text[RequestIdDigits + 1];
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(Id.Hi),
                static_cast<unsigned long long>(Id.Lo));
  return Text;
}

std::string toString(const AttemptId &Id) {
  return toString(Id.Request) + "-" + std::to_string(Id.Number);
}

bool parseRequestId(std::string_view Text, RequestId &Id) {
  if (Text.size() != RequestIdDigits)
    return false;
  RequestId Parsed;
  if (!parseHex(Text.substr(0, HalfDigits), Parsed.Hi) ||
      !parseHex(Text.substr(HalfDigits), Parsed.Lo))
    return false;
  Id = Parsed;
  return true;
}

bool parseAttemptId(std::string_view Text, AttemptId &Id) {
  AttemptId Parsed;
  if (Text.size() < RequestIdDigits + 2 || Text[RequestIdDigits] != '-')
    return false;
  if (!parseRequestId(Text.substr(0, RequestIdDigits), Parsed.Request))
    return false;
  std::string_view Digits = Text.substr(RequestIdDigits + 1);
  const char *Last = Digits.data() + Digits.size();
  auto [End, Error] = std::from_chars(Digits.data(), Last, Parsed.Number);
  if (Error != std::errc() || End != Last)
    return false;
  Id = Parsed;
  return true;
}

std::ostream &operator<<(std::ostream &OS, const RequestId &Id) {
  return OS << toString(Id);
}

std::ostream &operator<<(std::ostream &OS, const AttemptId &Id) {
  return OS << toString(Id);
}

} // namespace pimento
