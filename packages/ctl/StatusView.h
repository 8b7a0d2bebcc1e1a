//===- StatusView.h - The inner state of a host as text ---------*- C++ -*-===//
//
// Internal to the package. Heavy: include it in .cpp files only.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Json.h"

#include <string>

namespace pimento::ctl {

/// The reply to GET /v1/status, one section for each part. Keys that this
/// program doesn't know are shown as they came.
std::string statusView(Json Status);

} // namespace pimento::ctl
