//===- HttpNetwork.h - HTTP transport of a command --------------*- C++ -*-===//
#pragma once

#include "ctl/Exchange.h"

namespace pimento::ctl {

/// Maximum size of a reply body, in bytes; larger replies fail the attempt.
constexpr std::size_t MaxReplyBytes = 64U << 20U;

/// Returns a Network that uses HTTP with a new connection for each attempt, and
/// the steady clock.
Network httpNetwork();

/// Percent-encodes \p Text for use as one path segment of a URL.
std::string encodeSegment(const std::string &Text);

} // namespace pimento::ctl
