//===- Prefix.h - Hashes and sizes of prompts -------------------*- C++ -*-===//
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pimento {

/// Length of the shortest prefix that has a hash, in bytes.
constexpr std::size_t FirstPrefixBytes = 4096;

/// Bytes of prompt text that make one token before anything was learned.
constexpr double DefaultBytesPerToken = 4.0;

/// xxHash64, seed 0, of the first 4096 * 2^k bytes of \p Prompt for k = 0, 1
/// and so on while the prompt is as long; shortest prefix first. Linear in the
/// prompt: each byte is hashed once.
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);

/// How many bytes of prompt make a token, learned from what engines count.
struct TokenRatio {
  double BytesPerToken = DefaultBytesPerToken; // Moving average.
};

/// Learns from one prompt; ignores zeros and ratios no tokenizer has.
void learn(TokenRatio &Ratio, std::uint64_t PromptBytes,
           std::uint64_t PromptTokens);

/// Tokens of \p PromptBytes, rounded up; at least 1 for a prompt of any text.
std::uint64_t estimateTokens(const TokenRatio &Ratio,
                             std::uint64_t PromptBytes);

} // namespace pimento
