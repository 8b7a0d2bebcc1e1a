//===- StatusView.h - Formats the status of a host --------------*- C++ -*-===//
//
// Internal to the package. Include only in .cpp files: Json.h is expensive to
// compile.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Json.h"

#include <string>

namespace pimento::ctl {

/// Formats the reply to GET /v1/status, one section per component. Unknown keys
/// are shown unchanged, so that fields of newer hosts remain visible.
std::string statusView(Json Status);

} // namespace pimento::ctl
