//===- HttpNetwork.h - The real network of a command ------------*- C++ -*-===//
#pragma once

#include "ctl/Exchange.h"

namespace pimento::ctl {

/// Largest reply that is read, in bytes.
constexpr std::size_t MaxReplyBytes = 64U << 20U;

/// HTTP by evhttp, one connection for each attempt; the steady clock.
Network httpNetwork();

/// \p Text as one segment of a path.
std::string encodeSegment(const std::string &Text);

} // namespace pimento::ctl
