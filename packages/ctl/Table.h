//===- Table.h - Text tables of JSON values ---------------------*- C++ -*-===//
//
// Internal to the package. Include only in .cpp files: Json.h is expensive to
// compile.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Json.h"

#include <string>
#include <string_view>
#include <vector>

namespace pimento::ctl {

/// Replaces control characters in \p Text by '?', so that data from the network
/// cannot send escape sequences to the terminal.
std::string printable(std::string_view Text);

/// Formats a value for a table cell: "-" for null or empty, "yes" or "no" for a
/// boolean, a comma-separated list for an array of strings, JSON for other
/// nested values.
std::string cellText(const Json &Value);

/// Formats an array of objects as aligned columns with a header row. \p Columns
/// come first; other keys follow, so that fields of newer hosts are shown as
/// well. An empty array gives "none".
std::string table(const Json &Rows, const std::vector<std::string> &Columns);

/// Formats one object as "key value" lines, in the key order of table().
std::string fields(const Json &Object, const std::vector<std::string> &Keys);

/// Formats milliseconds since 1970 (UTC) as "2026-10-01 12:00:00Z". A time that
/// cannot be represented is returned as the number of milliseconds.
std::string utcTime(std::int64_t Milliseconds);

} // namespace pimento::ctl
