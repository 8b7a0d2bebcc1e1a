#include "gateway/EngineCost.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr double TokensPerThousand = 1000;
constexpr double PairsPerMillion = 1e6;

Duration scaled(Duration D, double Factor) {
  return fromSeconds(toSeconds(D) * Factor);
}

Duration plainReading(const EngineProfile &F, double Tokens) {
  return fromSeconds(Tokens / std::max(1.0, F.PrefillTokensPerSecond));
}

} // namespace

Duration readingTime(const EngineProfile &F, std::uint64_t PromptTokens) {
  auto Tokens = static_cast<double>(PromptTokens);
  double Pairs = Tokens * Tokens / 2;
  return plainReading(F, Tokens) +
         scaled(F.PrefillTimePerMillionPairs, Pairs / PairsPerMillion);
}

Duration stepTime(const EngineProfile &F, std::size_t Writers,
                  std::uint64_t Context) {
  return F.Step + static_cast<std::int64_t>(Writers) * F.StepTimePerSequence +
         scaled(F.StepTimePerThousandContext,
                static_cast<double>(Context) / TokensPerThousand);
}

Duration passTime(const EngineProfile &F, std::size_t Writers,
                  std::uint64_t Context) {
  std::int64_t Steps = Writers == 0 ? 1 : F.StepsPerEvent;
  return Steps * stepTime(F, Writers, Context);
}

Duration passReadingLimit(const EngineProfile &F, std::uint64_t PromptTokens) {
  double Chunk = F.ChunkTokens;
  double Pairs = Chunk * static_cast<double>(PromptTokens);
  Duration OneChunk =
      plainReading(F, Chunk) +
      scaled(F.PrefillTimePerMillionPairs, Pairs / PairsPerMillion);
  return static_cast<std::int64_t>(F.StepsPerEvent) * OneChunk;
}

Duration sharedReadingTime(const EngineProfile &F, Duration Reading,
                           std::size_t Writers, std::uint64_t Context) {
  Duration Chunk = plainReading(F, F.ChunkTokens);
  double Chunks = toSeconds(Reading) / std::max(1e-9, toSeconds(Chunk));
  return Reading + scaled(stepTime(F, Writers, Context), Chunks);
}

Duration writingTime(const EngineProfile &F, std::uint64_t AnswerTokens,
                     Duration Pass) {
  std::uint64_t StepsPerEvent = std::max<std::uint32_t>(1, F.StepsPerEvent);
  auto Passes = static_cast<std::int64_t>((AnswerTokens + StepsPerEvent - 1) /
                                          StepsPerEvent);
  return Passes * Pass;
}

} // namespace pimento
