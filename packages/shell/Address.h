//===- Address.h - ip:port texts as socket addresses ------------*- C++ -*-===//
#pragma once

#include <cstdint>
#include <string>

namespace pimento {

struct IpPort {
  std::string Ip; // Without brackets.
  std::uint16_t Port = 0;
};

/// Splits "ip:port" or "[ip]:port"; false for any other text.
bool splitAddress(const std::string &Text, IpPort &Address);

} // namespace pimento
