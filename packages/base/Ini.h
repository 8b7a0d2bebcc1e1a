//===- Ini.h - INI files as a list of entries -------------------*- C++ -*-===//
#pragma once

#include "base/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// One `key = value` line of an INI text.
struct IniEntry {
  std::string Section; // Without brackets; empty before the first section.
  std::string Key;
  std::string Value;
  int Line = 0; // Line number, from 1.
};

/// Maximum length of an INI text in bytes.
constexpr std::size_t MaxIniBytes = 1U << 20U;

/// Parses \p Text and returns its entries in order. Fails with
/// SettingsUnreadable if the text is not INI or too long, has a zero byte, or
/// has a line that is too long; the detail names the line if there is one.
Result<std::vector<IniEntry>> parseIni(std::string_view Text);

} // namespace pimento
