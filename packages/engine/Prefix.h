//===- Prefix.h - Hashes and sizes of prompts -------------------*- C++ -*-===//
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pimento {

/// Length of the shortest prefix that has a hash, in bytes.
constexpr std::size_t FirstPrefixBytes = 4096;

/// Bytes of prompt text per token before any prompt was counted.
constexpr double DefaultBytesPerToken = 4.0;

/// Returns xxHash64, with seed 0, of the first 4096 * 2^k bytes of \p Prompt
/// for k = 0, 1 and so on up to the prompt's length, shortest prefix first.
/// Each byte is hashed once.
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);

/// Average bytes of prompt text per token, from the counts of engines.
struct TokenRatio {
  double BytesPerToken = DefaultBytesPerToken; // Moving average.
};

/// Updates the average with one prompt. Zeros and implausible ratios are
/// ignored.
void learn(TokenRatio &Ratio, std::uint64_t PromptBytes,
           std::uint64_t PromptTokens);

/// Estimates the tokens of a prompt, rounded up; at least 1 unless
/// \p PromptBytes is 0.
std::uint64_t estimateTokens(const TokenRatio &Ratio,
                             std::uint64_t PromptBytes);

} // namespace pimento
