#include "fakes/SwitchReader.h"

#include <algorithm>

namespace pimento::fakes {

bool readCount(const Json &Number, std::uint64_t &Value) {
  bool Whole = Number.is_number_integer() &&
               (Number.is_number_unsigned() || Number.get<std::int64_t>() >= 0);
  if (Whole)
    Value = Number.get<std::uint64_t>();
  return Whole;
}

SwitchReader::SwitchReader(const Json &Object) : Object(Object) {
  if (!Object.is_object())
    Problem = "expected an object";
}

const Json *SwitchReader::find(const char *Name) {
  Known.emplace_back(Name);
  if (!Object.is_object())
    return nullptr;
  auto It = Object.find(Name);
  return It == Object.end() ? nullptr : &*It;
}

void SwitchReader::wrong(const char *Name, const char *Expected) {
  if (Problem.empty())
    Problem = std::string(Name) + ": expected " + Expected;
}

void SwitchReader::flag(const char *Name, bool &Value) {
  const Json *Found = find(Name);
  if (!Found)
    return;
  if (Found->is_boolean())
    Value = Found->get<bool>();
  else
    wrong(Name, "true or false");
}

void SwitchReader::count(const char *Name, std::uint64_t &Value) {
  const Json *Found = find(Name);
  if (!Found)
    return;
  if (!readCount(*Found, Value))
    wrong(Name, "a whole number from 0");
}

void SwitchReader::integer(const char *Name, std::int64_t &Value) {
  const Json *Found = find(Name);
  if (!Found)
    return;
  if (Found->is_number_integer())
    Value = Found->get<std::int64_t>();
  else
    wrong(Name, "a whole number");
}

void SwitchReader::number(const char *Name, double &Value) {
  const Json *Found = find(Name);
  if (!Found)
    return;
  if (Found->is_number() && Found->get<double>() >= 0)
    Value = Found->get<double>();
  else
    wrong(Name, "a number from 0");
}

void SwitchReader::text(const char *Name, std::string &Value) {
  const Json *Found = find(Name);
  if (!Found)
    return;
  if (Found->is_string())
    Value = Found->get<std::string>();
  else
    wrong(Name, "a text");
}

void SwitchReader::millis(const char *Name, Duration &Value) {
  std::uint64_t Count = 0;
  const Json *Found = find(Name);
  if (!Found)
    return;
  Known.pop_back(); // count() adds the name again.
  count(Name, Count);
  constexpr std::uint64_t Longest = 86400000; // One day in milliseconds.
  if (Count > Longest)
    wrong(Name, "at most a day in milliseconds");
  else if (Problem.empty())
    Value = milliseconds(Count);
}

std::string SwitchReader::finish() const {
  if (!Problem.empty())
    return Problem;
  for (const auto &Member : Object.items()) {
    if (std::find(Known.begin(), Known.end(), Member.key()) == Known.end())
      return "unknown switch " + Member.key();
  }
  return "";
}

} // namespace pimento::fakes
