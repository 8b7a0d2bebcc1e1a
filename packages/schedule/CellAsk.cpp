#include "schedule/CellInternal.h"

#include <algorithm>

namespace pimento {

namespace {

/// Outcome much longer a wait may become than its forecast before it is
/// refused.
constexpr double WaitMargin = 2.0;
/// Where no forecast is better than a guess.
constexpr Duration DefaultRetryAfter = seconds(1);
constexpr Duration MaxRetryAfter = minutes(5);
/// After a recovery, for asks that were still on their way.
constexpr Duration RegistrationTime = seconds(2);

Duration retryAfterForecast(double Seconds) {
  const Duration Wait = fromSeconds(std::max(0.0, Seconds));
  return std::clamp<Duration>(Wait, DefaultRetryAfter, MaxRetryAfter);
}

/// Answers a resend of an ask that is known. False: the ask is new.
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

/// Why an ask can never be granted as things stand; Ok: it can.
Code permanentRefusal(const CellState &S, const GrantRequest &A) {
  if (S.Recovering)
    return Code::Ok; // The engines are not all known yet.
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

/// A new holder has measured nothing yet, and what an earlier one admitted is
/// not judged by a guess. Whatever proves unreachable is answered by tick().
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

/// Counts only what was learned: a prior is no ground to refuse on, and a cell
/// that refused on it would never learn better.
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
           "no engine could take it", Out);
    return;
  }
  QueuedRequest W = makeQueuedRequest(S, From, A, Now);
  const Code Over = queueLimitRefusal(S, A);
  const double Wait = waitSeconds(S, A.Account, A.Weight, W.Class, W.Cost);
  if (Over != Code::Ok) {
    refuse(S, From, A.Attempt, Over, retryAfterForecast(Wait),
           "a queue is full", Out);
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
           "the forecast passes the deadline", Out);
    addRefusalFields(W, Expected, Run, Out);
    return;
  }
  const LengthClass Class = W.Class;
  enqueueRequest(S.Queue, std::move(W));
  // Behind others of its class it waits for something to become free.
  if (First)
    dispatchClass(S, Class, Now, Out);
}

} // namespace pimento
