//===- Ini.h - INI files as a list of entries -------------------*- C++ -*-===//
#pragma once

#include "base/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// One `key = value` line.
struct IniEntry {
  std::string Section; // Without its brackets; empty above the first section.
  std::string Key;
  std::string Value;
  int Line = 0; // From 1.
};

/// Longest INI text that is read, in bytes.
constexpr std::size_t MaxIniBytes = 1U << 20U;

/// Reads every entry of \p Text in order. Fails with SettingsUnreadable, and
/// the number of the first bad line, where the text is not INI.
Result<std::vector<IniEntry>> parseIni(std::string_view Text);

} // namespace pimento
