//===- SettingTable.h - The rows behind every setting -----------*- C++ -*-===//
//
// Inside the package only: Settings.cpp reads and prints by these rows.
// settingTable() of Settings.h is what others see.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Settings.h"

#include <variant>
#include <vector>

namespace pimento {

/// Where a row's value lives. The type of the field chooses the parser.
template <class T> using SettingOf = T &(*)(Settings &);
using SettingField = std::variant<SettingOf<std::string>, SettingOf<HostId>,
                                  SettingOf<DataCentreId>, SettingOf<Duration>,
                                  SettingOf<std::uint64_t>, SettingOf<double>>;

/// How a value is written.
enum class SettingForm {
  Name,
  Text,
  Address,
  Digest,
  Level,
  Role,
  AddressList,
  Time,
  Count,
  Bytes,
  Share
};

struct SettingRow {
  const char *Section;
  const char *Key;
  SettingForm Kind;
  SettingField Target;
  double Low; // In the unit that the range names; unused for texts.
  double High;
  bool Required;
  const char *Meaning;
};

// Units of Low and High.
constexpr double Milli = 1;
constexpr double Second = 1000 * Milli;
constexpr double Minute = 60 * Second;
constexpr double Hour = 60 * Minute;
constexpr double KiB = 1024;
constexpr double MiB = 1024 * KiB;
constexpr double GiB = 1024 * MiB;

/// Every key but those of [peers].
const std::vector<SettingRow> &settingRows();

} // namespace pimento
