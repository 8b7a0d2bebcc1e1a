//===- SettingTable.h - Table of all settings -------------------*- C++ -*-===//
//
// Internal to this package. Settings.cpp parses and formats settings with these
// rows; other packages use settingTable() in Settings.h.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Settings.h"

#include <variant>
#include <vector>

namespace pimento {

/// Accessor of the field that stores a row's value. The type of the field
/// selects the parser.
template <class T> using SettingOf = T &(*)(Settings &);
using SettingField = std::variant<SettingOf<std::string>, SettingOf<HostId>,
                                  SettingOf<DataCentreId>, SettingOf<Duration>,
                                  SettingOf<std::uint64_t>, SettingOf<double>>;

/// Syntax of a value in the settings file.
enum class SettingType {
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
  Share,
  NamedShares, // A list of names with a share each.
  Number       // A fraction is allowed.
};

struct SettingRow {
  const char *Section;
  const char *Key;
  SettingType Kind;
  SettingField Target;
  double Low; // Milliseconds, bytes or a plain number; unused for texts.
  double High;
  bool Required;
  const char *Meaning;
};

// Units of SettingRow::Low and SettingRow::High: milliseconds and bytes.
constexpr double Milli = 1;
constexpr double Second = 1000 * Milli;
constexpr double Minute = 60 * Second;
constexpr double Hour = 60 * Minute;
constexpr double KiB = 1024;
constexpr double MiB = 1024 * KiB;
constexpr double GiB = 1024 * MiB;

/// Returns the rows of all keys except those in [peers].
const std::vector<SettingRow> &settingRows();

} // namespace pimento
