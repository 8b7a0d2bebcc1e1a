//===- SettingText.h - Values as they stand in settings ---------*- C++ -*-===//
//
// Durations, sizes, counts and addresses as operators write them, in settings
// files and on command lines.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// Parses a number of decimal digits only. Returns false for any other text; \p
/// Value may be changed all the same.
bool parseCount(std::string_view Text, std::uint64_t &Value);
/// Parses a number of decimal digits, with a fraction or without. Returns
/// false, and leaves \p Value as it is, for any other text.
bool parseNumber(std::string_view Text, double &Value);
/// Parses a duration such as "250ms", "2s", "1.5s", "5m" or "1h"; the unit is
/// required. Returns false, and leaves \p D as it is, for any other text and
/// for numbers above 10^9. Values above 10^9 seconds are reduced to that bound.
bool parseDuration(std::string_view Text, Duration &D);
/// Parses a size such as "100B", "64KiB", "16MiB" or "4GiB"; the unit is
/// required. A fraction of a byte is dropped. Returns false, and leaves
/// \p Bytes as it is, for any other text and for numbers above 2^40. Values
/// above 2^20 GiB are reduced to that bound.
bool parseBytes(std::string_view Text, std::uint64_t &Bytes);
/// Return the parts of an address before and after its last colon.
std::string ipOf(std::string_view Address);
std::string portOf(std::string_view Address);
/// Splits a comma-separated list; drops spaces around addresses and empty
/// elements.
std::vector<std::string> splitAddresses(std::string_view Text);
/// Parses a list such as "search=0.02, lists=0", with a share from 0 to 1 for
/// each name. Returns nothing for any other text, and where a name is empty or
/// stands twice.
std::optional<std::map<std::string, double>>
parseNamedShares(std::string_view Text);
/// Whether \p Text has the characters of an IPv4 or bracketed IPv6 address and
/// a port from 1 to 65535.
bool isAddress(std::string_view Text);

} // namespace pimento
