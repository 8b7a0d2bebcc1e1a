#include "engine/Prefix.h"

#include <cmath>
#include <memory>

#include <xxhash.h>

namespace pimento {

namespace {

constexpr double LearningRate = 0.05; // Weight of one prompt in the average.
constexpr double MinBytesPerToken = 0.5;
constexpr double MaxBytesPerToken = 32.0;

struct FreeHashState {
  void operator()(XXH64_state_t *State) const { XXH64_freeState(State); }
};

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  if (Prompt.size() < FirstPrefixBytes)
    return Hashes;
  std::unique_ptr<XXH64_state_t, FreeHashState> State(XXH64_createState());
  XXH64_reset(State.get(), 0);
  std::size_t Done = 0;
  for (std::size_t Length = FirstPrefixBytes; Length <= Prompt.size();
       Length *= 2) {
    XXH64_update(State.get(), Prompt.data() + Done, Length - Done);
    Hashes.push_back(XXH64_digest(State.get()));
    Done = Length;
  }
  return Hashes;
}

void learn(TokenRatio &Ratio, std::uint64_t PromptBytes,
           std::uint64_t PromptTokens) {
  if (PromptBytes == 0 || PromptTokens == 0)
    return;
  double Seen =
      static_cast<double>(PromptBytes) / static_cast<double>(PromptTokens);
  if (Seen < MinBytesPerToken || Seen > MaxBytesPerToken)
    return;
  Ratio.BytesPerToken += LearningRate * (Seen - Ratio.BytesPerToken);
}

std::uint64_t estimateTokens(const TokenRatio &Ratio,
                             std::uint64_t PromptBytes) {
  return static_cast<std::uint64_t>(
      std::ceil(static_cast<double>(PromptBytes) / Ratio.BytesPerToken));
}

} // namespace pimento
