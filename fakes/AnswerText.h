//===- AnswerText.h - The text that a fake engine answers -------*- C++ -*-===//
//
// An answer is a function of the prompt alone, so that a caller can check that
// it received the complete answer to its own prompt:
//
//   std::string Want = answerText(Prompt, 0, 64); // Expected first 64 tokens.
//
// With H = xxHash64(prompt, seed 0), token N is three letters and a space. Its
// letters are the remainders by 26 (0 = 'a') of S, S / 26 and S / 676, where
// S = splitmix64(H + N * 0x9E3779B97F4A7C15) >> 32.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace pimento::fakes {

/// Bytes of text per token, in prompts and in answers.
constexpr std::uint64_t BytesPerToken = 4;

/// Number of tokens of \p Text, rounded up.
inline std::uint64_t tokensOf(std::string_view Text) {
  return (Text.size() + BytesPerToken - 1) / BytesPerToken;
}

/// Hash that the answer to \p Prompt is derived from.
inline std::uint64_t promptHash(std::string_view Prompt) {
  return XXH64(Prompt.data(), Prompt.size(), 0);
}

/// The text of token \p Offset, counted from 0: BytesPerToken bytes.
inline std::string answerToken(std::uint64_t PromptHash, std::uint64_t Offset) {
  constexpr std::uint64_t Letters = 26;
  std::uint64_t Z = PromptHash + Offset * 0x9E3779B97F4A7C15ULL;
  Z += 0x9E3779B97F4A7C15ULL;
  Z = (Z ^ (Z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  Z = (Z ^ (Z >> 27U)) * 0x94D049BB133111EBULL;
  Z ^= Z >> 31U;
  std::uint64_t Seed = Z >> 32U;
  std::string Text(BytesPerToken, ' ');
  for (std::size_t I = 0; I + 1 < BytesPerToken; ++I) {
    Text[I] = static_cast<char>('a' + Seed % Letters);
    Seed /= Letters;
  }
  return Text;
}

/// Tokens [\p From, \p From + \p Count) of the answer to \p Prompt.
inline std::string answerText(std::string_view Prompt, std::uint64_t From,
                              std::uint64_t Count) {
  std::uint64_t Hash = promptHash(Prompt);
  std::string Text;
  Text.reserve(Count * BytesPerToken);
  for (std::uint64_t I = From; I != From + Count; ++I)
    Text += answerToken(Hash, I);
  return Text;
}

} // namespace pimento::fakes
