#include "calls/RetryBudget.h"

#include <algorithm>

namespace pimento::calls {

void onFirstAttempt(RetryBudget &Budget, double Share) {
  ++Budget.FirstAttempts;
  double Back = std::min(Share, Budget.Unearned);
  Budget.Unearned -= Back;
  Budget.Tokens = std::min(Budget.Tokens + (Share - Back), MaxRetryTokens);
}

bool consumeRetry(RetryBudget &Budget) {
  if (Budget.Tokens < 1) {
    ++Budget.Refused;
    return false;
  }
  Budget.Tokens -= 1;
  ++Budget.Retries;
  return true;
}

bool startedBeforeFailures(FailureEpisodes &Episodes, const BackendId &Server,
                           TimePoint AttemptStarted, TimePoint Now) {
  auto Found = Episodes.find(Server);
  if (Found == Episodes.end()) {
    if (Episodes.size() < MaxEpisodes)
      Episodes[Server] = {Now, Now};
    return true;
  }
  FailureEpisode &Episode = Found->second;
  if (Now - Episode.Last > EpisodeGap)
    Episode.Began = Now;
  Episode.Last = Now;
  return AttemptStarted <= Episode.Began;
}

Duration backoff(const RetrySettings &Settings, std::uint32_t Attempt,
                 Random &Rng) {
  constexpr std::uint32_t MaxDoublings = 16;
  Duration FullDelay = Settings.BackoffBase;
  for (std::uint32_t I = 2; I < std::min(Attempt, MaxDoublings); ++I)
    FullDelay = std::min(FullDelay * 2, Settings.BackoffLimit);
  return between(Rng, FullDelay / 2, FullDelay);
}

} // namespace pimento::calls
