//===- Address.h - Parsing of ip:port strings -------------------*- C++ -*-===//
#pragma once

#include <cstdint>
#include <string>

namespace pimento {

struct IpPort {
  std::string Ip; // IPv4 or IPv6 address without brackets.
  std::uint16_t Port = 0;
};

/// Splits "ip:port" or "[ip]:port". Returns false for any other text and leaves
/// \p Address unchanged.
bool splitAddress(const std::string &Text, IpPort &Address);

} // namespace pimento
