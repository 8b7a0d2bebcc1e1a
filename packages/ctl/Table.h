//===- Table.h - Text for people --------------------------------*- C++ -*-===//
//
// Internal to the package. Heavy: include it in .cpp files only.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Json.h"

#include <string>
#include <string_view>
#include <vector>

namespace pimento::ctl {

/// \p Text with control characters shown as '?', so that nothing that came
/// over the network drives a terminal.
std::string printable(std::string_view Text);

/// One value as a cell shows it: "-" for none, yes and no, JSON where nested.
std::string cellText(const Json &Value);

/// An array of objects as aligned columns below their keys. \p Columns come
/// first; further keys follow, so that a newer host's fields are shown as
/// well. An empty array gives "none".
std::string table(const Json &Rows, const std::vector<std::string> &Columns);

/// One object as "key value" lines, in the order of table().
std::string fields(const Json &Object, const std::vector<std::string> &Keys);

/// Milliseconds since 1970 as "2026-10-01 12:00:00Z".
std::string utcTime(std::int64_t Milliseconds);

} // namespace pimento::ctl
