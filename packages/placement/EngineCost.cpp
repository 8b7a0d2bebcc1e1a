#include "placement/EngineCost.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr double TokensPerThousand = 1000;
constexpr double PairsPerMillion = 1e6;

Duration scaled(Duration D, double Factor) {
  return fromSeconds(toSeconds(D) * Factor);
}

Duration linearPrefillTime(const EngineProfile &F, double Tokens) {
  return fromSeconds(Tokens / std::max(1.0, F.PrefillTokensPerSecond));
}

} // namespace

Duration prefillTime(const EngineProfile &F, std::uint64_t PromptTokens) {
  auto Tokens = static_cast<double>(PromptTokens);
  double Pairs = Tokens * Tokens / 2;
  return linearPrefillTime(F, Tokens) +
         scaled(F.PrefillTimePerMillionPairs, Pairs / PairsPerMillion);
}

Duration stepTime(const EngineProfile &F, std::size_t DecodingCount,
                  std::uint64_t Context) {
  return F.Step +
         static_cast<std::int64_t>(DecodingCount) * F.StepTimePerSequence +
         scaled(F.StepTimePerThousandContext,
                static_cast<double>(Context) / TokensPerThousand);
}

Duration eventIntervalTime(const EngineProfile &F, std::size_t DecodingCount,
                           std::uint64_t Context) {
  std::int64_t Steps = DecodingCount == 0 ? 1 : F.StepsPerEvent;
  return Steps * stepTime(F, DecodingCount, Context);
}

Duration maxPrefillPerInterval(const EngineProfile &F,
                               std::uint64_t PromptTokens) {
  double Chunk = F.ChunkTokens;
  double Pairs = Chunk * static_cast<double>(PromptTokens);
  Duration OneChunk =
      linearPrefillTime(F, Chunk) +
      scaled(F.PrefillTimePerMillionPairs, Pairs / PairsPerMillion);
  return static_cast<std::int64_t>(F.StepsPerEvent) * OneChunk;
}

Duration prefillTimeWhileDecoding(const EngineProfile &F, Duration PrefillTime,
                                  std::size_t DecodingCount,
                                  std::uint64_t Context) {
  Duration Chunk = linearPrefillTime(F, F.ChunkTokens);
  double Chunks = toSeconds(PrefillTime) / std::max(1e-9, toSeconds(Chunk));
  return PrefillTime + scaled(stepTime(F, DecodingCount, Context), Chunks);
}

Duration decodeTime(const EngineProfile &F, std::uint64_t AnswerTokens,
                    Duration Interval) {
  std::uint64_t StepsPerEvent = std::max<std::uint32_t>(1, F.StepsPerEvent);
  auto Intervals = static_cast<std::int64_t>(
      (AnswerTokens + StepsPerEvent - 1) / StepsPerEvent);
  return Intervals * Interval;
}

} // namespace pimento
