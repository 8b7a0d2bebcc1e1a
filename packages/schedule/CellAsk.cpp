#include "schedule/CellInternal.h"

#include <algorithm>

namespace pimento {

namespace {

/// A request is refused if this multiple of its forecast wait misses the
/// deadline.
constexpr double WaitMargin = 2.0;
/// Shortest retry time; also sent if there is no useful forecast.
constexpr Duration DefaultRetryAfter = seconds(1);
constexpr Duration MaxRetryAfter = minutes(5);
/// Time after a recovery in which requests that an earlier holder admitted
/// still arrive.
constexpr Duration RegistrationTime = seconds(2);

Duration retryAfterForecast(double Seconds) {
  const Duration Wait = fromSeconds(std::max(0.0, Seconds));
  return std::clamp<Duration>(Wait, DefaultRetryAfter, MaxRetryAfter);
}

/// Answers a repeated request. Returns false if the request is new.
bool answerRepeatedRequest(CellState &S, const HostId &From,
                           const GrantRequest &A, TimePoint Now,
                           CellEffects &Out) {
  auto Waiting = S.Queue.Asks.find(A.Attempt);
  if (Waiting != S.Queue.Asks.end()) {
    Waiting->second.Host = From;
    Waiting->second.Confirmed = Now;
    return true;
  }
  auto Granted = S.Grants.find(A.Attempt);
  if (Granted != S.Grants.end()) {
    if (Granted->second.Host == From)
      sendGrant(S, Granted->second, Out);
    return true;
  }
  auto Ended = S.Ended.find(A.Attempt);
  if (Ended == S.Ended.end())
    return false;
  const EndedRequest &Outcome = Ended->second;
  if (Outcome.Reason != Code::Ok)
    Out.Messages.push_back(
        {From, Refusal{A.Attempt, Outcome.Reason, Outcome.RetryAfter,
                       S.Config.Cell, S.Config.Epoch}});
  return true;
}

QueuedRequest makeQueuedRequest(CellState &S, const HostId &From,
                                const GrantRequest &A, TimePoint Now) {
  QueuedRequest W;
  W.Request = A;
  W.Host = From;
  W.Class = classOf(S.Config, A.PromptTokens);
  W.Arrived = Now - A.Waited;
  W.Deadline = Now + A.TimeLeft;
  W.Confirmed = Now;
  const double Uncached =
      std::max(1.0, static_cast<double>(A.PromptTokens) -
                        static_cast<double>(bestCachedTokens(S, A)));
  const double Output =
      std::min(static_cast<double>(A.OutputTokens),
               S.Rates.OutputTokens[classIndex(W.Class)].Mean);
  W.Cost = Uncached + S.Config.OutputCost * Output;
  W.LatestStart = W.Deadline -
                  fromSeconds(runSeconds(S, W.Class, Uncached, A.OutputTokens));
  return W;
}

/// Returns why the current engines cannot run the request at all, or Ok.
Code permanentRefusal(const CellState &S, const GrantRequest &A) {
  if (S.Recovering)
    return Code::Ok; // Not all engines are known yet.
  if (!offersModel(S, A.Model))
    return Code::NoBackend;
  if (enginesNeeded(S, A) == 0)
    return Code::PromptTooLong;
  return Code::Ok;
}

Code queueLimitRefusal(const CellState &S, const GrantRequest &A) {
  if (waitingCount(S.Queue) >= S.Config.QueueLength)
    return Code::QueueFull;
  if (waitingCount(S.Queue, A.Account) >= S.Config.AccountQueueLength)
    return Code::AccountLimit;
  return Code::Ok;
}

void addRefusalFields(const QueuedRequest &W, double Wait, double Run,
                      CellEffects &Out) {
  DecisionRecord &D = Out.Decisions.back();
  D.add("account", W.Request.Account.Value);
  D.add("class", std::string(toString(W.Class)));
  D.add("prompt_tokens", static_cast<std::int64_t>(W.Request.PromptTokens));
  D.add("wait_s", Wait);
  D.add("run_s", Run);
  D.add("left_s", toSeconds(W.Request.TimeLeft));
}

/// Returns true if an earlier holder of the cell has probably admitted the
/// request. A new holder has no measurements yet, so it does not refuse such a
/// request by forecast; tick() refuses it if its deadline becomes unreachable.
bool wasAdmittedEarlier(const CellState &S, const GrantRequest &A,
                        TimePoint Now) {
  const bool New = S.Config.RecoveryWait > Duration::zero() &&
                   Now < S.RecoverUntil + RegistrationTime;
  return S.Recovering || (New && A.Waited > Duration::zero());
}

} // namespace

double laneRate(const CellState &S, LengthClass Class) {
  double Rate = 0;
  for (const auto &[Id, E] : S.Engines) {
    if (E.Record.Status != BackendStatus::Serving ||
        E.Health.State == HealthState::Ejected)
      continue;
    if (Class != LengthClass::Short && !E.Bulk)
      continue;
    Rate += prefillRate(S.Rates, E.Rates);
  }
  return std::max(Rate, 1.0);
}

/// Uses only learned rates. A cell that refused requests because of a prior
/// would never get the observations that correct it.
double runSeconds(const CellState &S, LengthClass Class, double Uncached,
                  std::uint64_t MaxOutput) {
  const std::size_t C = classIndex(Class);
  const double Output = std::min(static_cast<double>(MaxOutput),
                                 cautious(S.Rates.OutputTokens[C]));
  const double Prefill = isLearned(S.Rates.Prefill)
                             ? Uncached / std::max(1.0, S.Rates.Prefill.Mean)
                             : 0;
  const double Step = isLearned(S.Rates.DecodeSeconds[C])
                          ? cautious(S.Rates.DecodeSeconds[C])
                          : 0;
  return Prefill + std::max(0.0, cautious(S.Rates.FirstTokenDelay[C])) +
         Output * Step;
}

double waitSeconds(const CellState &S, const AccountId &Account, double Weight,
                   LengthClass Class, double Cost) {
  const std::size_t C = classIndex(Class);
  double Ahead = costAhead(S.Queue, Account, Weight, Class, Cost);
  if (Class != LengthClass::Short)
    for (const auto &[Id, E] : S.Engines)
      Ahead += E.Prefills[C].Tokens;
  const Estimate &Drain = S.DrainRate[C];
  const double Rate = Drain.Samples > 0 ? Drain.Mean : laneRate(S, Class) / 2;
  return Ahead / std::max(1.0, Rate);
}

void refuse(CellState &S, const HostId &To, const AttemptId &Id, Code Reason,
            Duration RetryAfter, const char *Why, CellEffects &Out) {
  Out.Messages.push_back(
      {To, Refusal{Id, Reason, RetryAfter, S.Config.Cell, S.Config.Epoch}});
  rememberEnded(S, Id, {Reason, RetryAfter});
  DecisionRecord D{"refuse", Id.Request, Why, {}};
  D.add("code", std::string(toString(Reason)));
  D.add("retry_after_ms", toMilliseconds(RetryAfter));
  Out.Decisions.push_back(std::move(D));
  Out.Samples.push_back(
      counter("pimento_refusals_total",
              std::string("code=\"") + toString(Reason) + "\""));
}

void onGrantRequest(CellState &S, const HostId &From, const GrantRequest &A,
                    TimePoint Now, CellEffects &Out) {
  if (answerRepeatedRequest(S, From, A, Now, Out))
    return;
  const Code Never = permanentRefusal(S, A);
  if (Never != Code::Ok) {
    refuse(S, From, A.Attempt, Never, DefaultRetryAfter,
           "no engine of the cell can take the request", Out);
    return;
  }
  QueuedRequest W = makeQueuedRequest(S, From, A, Now);
  const Code Over = queueLimitRefusal(S, A);
  const double Wait = waitSeconds(S, A.Account, A.Weight, W.Class, W.Cost);
  if (Over != Code::Ok) {
    refuse(S, From, A.Attempt, Over, retryAfterForecast(Wait),
           "the queue of the cell or of the account is full", Out);
    return;
  }
  S.Demand[classIndex(W.Class)].Arrived += W.Cost;
  const double Run = toSeconds(W.Deadline - W.LatestStart);
  const bool First = S.Queue.Classes[classIndex(W.Class)].Ready.empty();
  const double Expected =
      First || wasAdmittedEarlier(S, A, Now) ? 0 : Wait * WaitMargin;
  if (Now + fromSeconds(Expected) > W.LatestStart) {
    refuse(S, From, A.Attempt, Code::DeadlineUnreachable,
           retryAfterForecast(Expected + Run - toSeconds(A.TimeLeft)),
           "forecast completion is after the deadline", Out);
    addRefusalFields(W, Expected, Run, Out);
    return;
  }
  const LengthClass Class = W.Class;
  enqueueRequest(S.Queue, std::move(W));
  // A request behind others of its class waits until an engine becomes free.
  if (First)
    dispatchClass(S, Class, Now, Out);
}

} // namespace pimento
