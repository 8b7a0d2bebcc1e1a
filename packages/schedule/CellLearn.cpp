#include "schedule/CellInternal.h"

#include <algorithm>

namespace pimento {

namespace {

// Weights of the newest observation in an estimate.
constexpr double RateShare = 0.1;    // Decode step of one engine.
constexpr double FasterShare = 0.15; // Prefill rate above the estimate.
constexpr double SlowerShare = 0.03; // Prefill rate below the estimate.
constexpr double OutputShare = 0.02; // Output tokens per request.
/// The time for a shorter prefill depends more on the engine's step time than
/// on its prefill rate.
constexpr double LeastLearnedTokens = 4096;
// Weight for decode times and first-token delays of the cell.
constexpr double ErrorShare = 0.05;

double asDouble(std::uint64_t N) { return static_cast<double>(N); }

/// Estimates the rate that the engine can reach and not its average. Slower
/// observations weigh less because prompts that arrived later may have delayed
/// them.
void learnPrefill(Estimate &E, double Rate) {
  learn(E, Rate, Rate > E.Mean ? FasterShare : SlowerShare);
}

void learnFirstToken(CellState &S, const LiveGrant &G, const Release &R) {
  const Duration First = R.FirstToken;
  const double Seconds = std::max(1e-6, toSeconds(First));
  learn(S.Rates.FirstTokenDelay[classIndex(G.Class)],
        Seconds - toSeconds(G.PredictedFirst), ErrorShare);
  if (G.Engines.size() != 1 || G.TokensBeforeFirst < LeastLearnedTokens ||
      G.PromptsAhead)
    return;
  auto Found = S.Engines.find(G.Engines.front().Backend);
  if (Found == S.Engines.end())
    return;
  const double Rate =
      asDouble(R.PromptTokens - std::min(R.PromptTokens, R.CachedTokens)) /
      Seconds;
  learnPrefill(Found->second.Rates.Prefill, Rate);
  learnPrefill(S.Rates.Prefill, Rate);
}

} // namespace

void learnDecode(CellState &S, const LiveGrant &G, double Seconds,
                 double Tokens) {
  if (Tokens < 4 || Seconds <= 0)
    return;
  const double Step = Seconds / Tokens;
  learn(S.Rates.DecodeSeconds[classIndex(G.Class)], Step, ErrorShare);
  learn(S.Rates.StepSeconds, Step, ErrorShare);
  auto Found = S.Engines.find(G.Engines.front().Backend);
  if (Found == S.Engines.end())
    return;
  learn(Found->second.Rates.StepSeconds, Step, RateShare);
  learn(S.Rates.LaneStep[Found->second.Bulk ? 1 : 0], Step, ErrorShare);
}

void chargeOutput(CellState &S, LiveGrant &G, std::uint64_t Output) {
  if (Output <= G.Generated)
    return;
  const double Cost = S.Config.OutputCost * asDouble(Output - G.Generated);
  G.Generated = Output;
  G.Charged += Cost;
  chargeAccount(S.Queue, G.Account, G.Weight, G.Class, Cost);
}

void settle(CellState &S, LiveGrant &G, const Release &R) {
  chargeOutput(S, G, R.OutputTokens);
  if (R.PromptTokens == 0)
    return;
  const double Real =
      asDouble(R.PromptTokens - std::min(R.PromptTokens, R.CachedTokens)) +
      S.Config.OutputCost * asDouble(G.Generated);
  chargeAccount(S.Queue, G.Account, G.Weight, G.Class, Real - G.Charged);
}

void learnFromRelease(CellState &S, LiveGrant &G, const Release &R) {
  if (R.End == AttemptEnd::Finished)
    learn(S.Rates.OutputTokens[classIndex(G.Class)], asDouble(R.OutputTokens),
          OutputShare);
  if (R.FirstToken <= Duration::zero())
    return;
  learnFirstToken(S, G, R);
  learnDecode(S, G, toSeconds(R.Total - R.FirstToken),
              asDouble(R.OutputTokens));
}

} // namespace pimento
