#include "schedule/CellInternal.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t MaxEnded = 8192; // Ended asks remembered.
/// Accounts of one class that are tried when the first cannot be placed.
constexpr unsigned MaxPassedOver = 2;

constexpr double RateShare = 0.1; // Weight of the newest observation.
constexpr double FasterShare = 0.15;
constexpr double SlowerShare = 0.03;
constexpr double OutputShare = 0.02;
/// Fewer tokens say more of the engine's steps than of its rate.
constexpr double LeastLearnedTokens = 4096;
constexpr double ErrorShare = 0.05;

/// A grant younger than this may still be on its way to the entry host.
constexpr Duration GrantFlight = milliseconds(250);

double asDouble(std::uint64_t N) { return static_cast<double>(N); }

/// What the engine can do, not what it does on average: slower observations
/// were held up by prompts that came later and count less.
void learnPrefill(Estimate &E, double Rate) {
  learn(E, Rate, Rate > E.Mean ? FasterShare : SlowerShare);
}

void learnFirstToken(CellState &S, const LiveGrant &G, const Release &R) {
  const Duration First = R.FirstToken;
  const double Seconds = std::max(1e-6, toSeconds(First));
  learn(S.Rates.FirstTokenDelay[classIndex(G.Class)],
        Seconds - toSeconds(G.PredictedFirst), ErrorShare);
  if (G.Engines.size() != 1 || G.UnitRate < LeastLearnedTokens ||
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

LiveGrant makeGrant(const CellState &S, const WaitingAsk &W, const Placement &P,
                    TimePoint Now) {
  LiveGrant G;
  G.Attempt = W.Request.Attempt;
  G.Account = W.Request.Account;
  G.Host = W.Host;
  G.Weight = std::max<double>(1, W.Request.Weight);
  G.Class = W.Class;
  G.Priority = P.Priority;
  G.PromptTokens = W.Request.PromptTokens;
  G.MaxOutput = W.Request.OutputTokens;
  G.Charged = P.Uncached;
  G.GrantedAt = Now;
  G.ProgressAt = Now;
  G.LeaseUntil = Now + S.Config.GrantLease;
  G.Deadline = W.Deadline;
  G.PredictedFirst = P.First;
  G.UnitRate = P.Ahead + P.Share;
  G.PromptsAhead = P.Ahead > P.Share / 4;
  G.Prefixes = W.Request.Prefixes;
  G.Engines = P.Engines;
  return G;
}

void recordGrant(const CellState &S, const LiveGrant &G, const Placement &P,
                 TimePoint Arrived, CellEffects &Out) {
  DecisionRecord D{"grant", G.Attempt.Request, P.Reason, {}};
  D.add("backend", G.Engines.front().Backend.Value);
  D.add("engines", static_cast<std::int64_t>(G.Engines.size()));
  D.add("class", std::string(toString(G.Class)));
  D.add("account", G.Account.Value);
  D.add("prompt_tokens", static_cast<std::int64_t>(G.PromptTokens));
  D.add("uncached_tokens", P.Uncached);
  D.add("waited_ms", toMilliseconds(G.GrantedAt - Arrived));
  D.add("first_token_ms", toMilliseconds(P.First));
  D.add("waiting", static_cast<std::int64_t>(waitingCount(S.Queue)));
  Out.Decisions.push_back(std::move(D));
  Out.Samples.push_back({SampleKind::Distribution, "pimento_grant_wait_seconds",
                         std::string("class=\"") + toString(G.Class) + "\"",
                         toSeconds(G.GrantedAt - Arrived)});
}

void grantNow(CellState &S, const AttemptId &Id, const Placement &P,
              TimePoint Now, CellEffects &Out) {
  WaitingAsk W;
  takeAsk(S.Queue, Id, &W);
  dropReservation(S, Id);
  LiveGrant G = makeGrant(S, W, P, Now);
  for (const HeldEngine &H : G.Engines)
    holdMemory(S.Engines.at(H.Backend), Id, H.Tokens, HoldState::Live, Now);
  addWork(S, G);
  chargeAccount(S.Queue, G.Account, G.Weight, G.Class, G.Charged);
  S.Served[classIndex(G.Class)] += W.Cost;
  sendGrant(S, G, Out);
  recordGrant(S, G, P, W.Arrived, Out);
  S.Grants.emplace(Id, std::move(G));
}

/// Charges for output that was not charged yet.
void chargeOutput(CellState &S, LiveGrant &G, std::uint64_t Output) {
  if (Output <= G.Generated)
    return;
  const double Cost = S.Config.OutputCost * asDouble(Output - G.Generated);
  G.Generated = Output;
  G.Charged += Cost;
  chargeAccount(S.Queue, G.Account, G.Weight, G.Class, Cost);
}

/// Replaces the estimate of the prompt by what the engine counted.
void settle(CellState &S, LiveGrant &G, const Release &R) {
  chargeOutput(S, G, R.OutputTokens);
  if (R.PromptTokens == 0)
    return;
  const double Real =
      asDouble(R.PromptTokens - std::min(R.PromptTokens, R.CachedTokens)) +
      S.Config.OutputCost * asDouble(G.Generated);
  chargeAccount(S.Queue, G.Account, G.Weight, G.Class, Real - G.Charged);
}

void learnFrom(CellState &S, LiveGrant &G, const Release &R) {
  if (R.End == AttemptEnd::Finished)
    learn(S.Rates.OutputTokens[classIndex(G.Class)], asDouble(R.OutputTokens),
          OutputShare);
  if (R.FirstToken <= Duration::zero())
    return;
  learnFirstToken(S, G, R);
  learnDecode(S, G, toSeconds(R.Total - R.FirstToken),
              asDouble(R.OutputTokens));
}

} // namespace

void rememberEnded(CellState &S, const AttemptId &Id, const EndedAsk &How) {
  if (!S.Ended.insert_or_assign(Id, How).second)
    return;
  S.EndedOrder.push_back(Id);
  if (S.EndedOrder.size() <= MaxEnded)
    return;
  S.Ended.erase(S.EndedOrder.front());
  S.EndedOrder.pop_front();
}

void sendGrant(const CellState &S, const LiveGrant &G, CellEffects &Out) {
  Grant Message;
  Message.Attempt = G.Attempt;
  Message.Epoch = S.Config.Epoch;
  Message.Lease = S.Config.GrantLease;
  Message.Cell = S.Config.Cell;
  Message.Priority = G.Priority;
  for (const HeldEngine &H : G.Engines) {
    auto Found = S.Engines.find(H.Backend);
    if (Found != S.Engines.end())
      Message.Engines.push_back(
          {H.Backend, Found->second.Record.Address, H.Tokens});
  }
  Out.Messages.push_back({G.Host, std::move(Message)});
}

void addWork(CellState &S, const LiveGrant &G) {
  for (const HeldEngine &H : G.Engines) {
    Engine &E = S.Engines.at(H.Backend);
    ++E.Running;
    if (G.FirstTokenSeen)
      continue;
    PrefillWork &Work = E.Prefills[classIndex(G.Class)];
    Work.Tokens += H.Prefill;
    ++Work.Count;
  }
}

void noteFirstToken(CellState &S, LiveGrant &G, TimePoint Now) {
  if (G.FirstTokenSeen)
    return;
  G.FirstTokenSeen = true;
  for (const HeldEngine &H : G.Engines) {
    auto Found = S.Engines.find(H.Backend);
    if (Found == S.Engines.end())
      continue;
    drainPrefills(Found->second, S.Rates, Now);
    PrefillWork &Work = Found->second.Prefills[classIndex(G.Class)];
    Work.Count -= Work.Count > 0 ? 1 : 0;
    if (Work.Count == 0)
      Work.Tokens = 0;
    notePrefill(S.Prefixes, Found->second.Slot, G.Prefixes);
  }
}

void removeWork(CellState &S, const LiveGrant &G) {
  for (const HeldEngine &H : G.Engines) {
    auto Found = S.Engines.find(H.Backend);
    if (Found == S.Engines.end())
      continue;
    Engine &E = Found->second;
    E.Running -= E.Running > 0 ? 1 : 0;
    if (G.FirstTokenSeen)
      continue;
    PrefillWork &Work = E.Prefills[classIndex(G.Class)];
    Work.Count -= Work.Count > 0 ? 1 : 0;
    Work.Tokens = Work.Count == 0 ? 0 : std::max(0.0, Work.Tokens - H.Prefill);
  }
}

namespace {

/// Asks that engines were kept free for go first: it was their turn.
void grantReserved(CellState &S, TimePoint Now, CellEffects &Out) {
  const std::vector<AttemptId> Reserved = S.Reservations;
  for (const AttemptId &Id : Reserved) {
    auto Found = S.Queue.Asks.find(Id);
    if (Found == S.Queue.Asks.end())
      continue;
    std::optional<Placement> P = place(S, Found->second, Now);
    if (P)
      grantNow(S, Id, *P, Now, Out);
  }
}

} // namespace

void dispatchClass(CellState &S, LengthClass Class, TimePoint Now,
                   CellEffects &Out) {
  if (S.Recovering)
    return;
  // Short prompts differ little: where one finds no engine none will.
  const unsigned MostSkips = Class == LengthClass::Short ? 0 : MaxPassedOver;
  unsigned Skip = 0;
  while (Skip <= MostSkips) {
    const WaitingAsk *Next = nextAsk(S.Queue, Class, Now, Skip);
    if (!Next)
      return;
    std::optional<Placement> P = place(S, *Next, Now);
    if (!P) {
      ++Skip;
      continue;
    }
    grantNow(S, AttemptId(Next->Request.Attempt), *P, Now, Out);
  }
}

void dispatch(CellState &S, TimePoint Now, CellEffects &Out) {
  if (S.Recovering)
    return;
  grantReserved(S, Now, Out);
  for (LengthClass Class : ServiceOrder)
    dispatchClass(S, Class, Now, Out);
}

void endGrant(CellState &S, const AttemptId &Id, bool Confirmed, TimePoint Now,
              CellEffects &Out) {
  auto Found = S.Grants.find(Id);
  if (Found == S.Grants.end())
    return;
  LiveGrant G = std::move(Found->second);
  S.Grants.erase(Found);
  removeWork(S, G);
  rememberEnded(S, Id, {});
  for (std::size_t I = 0; I < G.Engines.size(); ++I) {
    auto Held = S.Engines.find(G.Engines[I].Backend);
    if (Held == S.Engines.end())
      continue;
    if (Confirmed && I == 0) {
      freeMemory(Held->second, Id);
      continue;
    }
    cancelMemory(Held->second, Id, Now);
    sendCancels(S, Held->second, Now, Out);
  }
}

void onRelease(CellState &S, const HostId &From, const Release &R,
               TimePoint Now, CellEffects &Out) {
  takeAsk(S.Queue, R.Attempt, nullptr);
  dropReservation(S, R.Attempt);
  auto Found = S.Grants.find(R.Attempt);
  if (Found == S.Grants.end()) {
    rememberEnded(S, R.Attempt, {});
    return;
  }
  LiveGrant &G = Found->second;
  if (G.Host != From)
    return;
  settle(S, G, R);
  const bool Whole = R.End == AttemptEnd::Finished;
  if (Whole)
    learnFrom(S, G, R);
  if (R.FirstToken > Duration::zero())
    noteFirstToken(S, G, Now);
  auto Leader = S.Engines.find(G.Engines.front().Backend);
  if (Leader != S.Engines.end() && Whole)
    noteSuccess(Leader->second);
  if (Leader != S.Engines.end() && R.End == AttemptEnd::Failed)
    noteFailure(S, Leader->second, "an attempt failed", Now, Out);
  endGrant(S, R.Attempt, R.End != AttemptEnd::Failed, Now, Out);
  dispatch(S, Now, Out);
}

void onWithdraw(CellState &S, const HostId &From, const Withdraw &W,
                TimePoint Now, CellEffects &Out) {
  takeAsk(S.Queue, W.Attempt, nullptr);
  dropReservation(S, W.Attempt);
  rememberEnded(S, W.Attempt, {});
  auto Found = S.Grants.find(W.Attempt);
  if (Found == S.Grants.end() || Found->second.Host != From)
    return;
  endGrant(S, W.Attempt, /*Confirmed=*/false, Now, Out);
  dispatch(S, Now, Out);
}

namespace {

/// Takes totals in. Returns whether a prompt turned out to be prefilled.
bool applyProgress(CellState &S, LiveGrant &G, const AttemptProgress &A,
                   TimePoint Now) {
  const std::uint64_t Before = G.Generated;
  const bool Moved =
      A.OutputTokens > Before || A.PrefillTokens > G.PrefillTokens;
  if (!Moved)
    return false;
  if (A.OutputTokens > Before && G.FirstTokenSeen)
    learnDecode(S, G, toSeconds(Now - G.ProgressAt),
                asDouble(A.OutputTokens - Before));
  G.ProgressAt = Now;
  G.Overdue = false;
  G.PrefillTokens = std::max<std::uint64_t>(G.PrefillTokens, A.PrefillTokens);
  chargeOutput(S, G, A.OutputTokens);
  if (A.OutputTokens == 0 || G.FirstTokenSeen)
    return false;
  noteFirstToken(S, G, Now);
  return true;
}

bool renewHeld(CellState &S, const HostId &From, std::uint64_t Hi,
               const AttemptProgress &A, TimePoint Now,
               RegisterRequest &Unknown) {
  const AttemptId Id = {{Hi, A.Attempt.Lo}, A.Attempt.Number};
  auto Found = S.Grants.find(Id);
  if (Found != S.Grants.end() && Found->second.Host == From) {
    Found->second.LeaseUntil = Now + S.Config.GrantLease;
    return applyProgress(S, Found->second, A, Now);
  }
  if (S.Ended.count(Id) == 0)
    Unknown.Attempts.push_back({Id.Request.Lo, Id.Number});
  return false;
}

void renewWaiting(CellState &S, const HostId &From, const AttemptId &Id,
                  TimePoint Now, RegisterRequest &Unknown, CellEffects &Out) {
  auto Waiting = S.Queue.Asks.find(Id);
  if (Waiting != S.Queue.Asks.end()) {
    Waiting->second.Confirmed = Now;
    return;
  }
  auto Granted = S.Grants.find(Id);
  if (Granted != S.Grants.end()) {
    if (Granted->second.Host == From &&
        Now - Granted->second.GrantedAt > GrantFlight)
      sendGrant(S, Granted->second, Out);
    return;
  }
  auto Ended = S.Ended.find(Id);
  if (Ended == S.Ended.end()) {
    Unknown.Attempts.push_back({Id.Request.Lo, Id.Number});
    return;
  }
  const EndedAsk &How = Ended->second;
  // Ended without a refusal: a grant that was lost and died with its lease.
  const Code Reason = How.Reason == Code::Ok ? Code::NoBackend : How.Reason;
  Out.Messages.push_back({From, Refusal{Id, Reason, How.RetryAfter,
                                        S.Config.Cell, S.Config.Epoch}});
}

/// Grants of an earlier life of the host die at once.
void endEarlierLife(CellState &S, const HostId &Host, std::uint64_t Hi,
                    TimePoint Now, CellEffects &Out) {
  std::vector<AttemptId> Old;
  for (const auto &[Id, G] : S.Grants)
    if (G.Host == Host && Id.Request.Hi != Hi)
      Old.push_back(Id);
  for (const auto &[Id, W] : S.Queue.Asks)
    if (W.Host == Host && Id.Request.Hi != Hi)
      Old.push_back(Id);
  std::sort(Old.begin(), Old.end());
  for (const AttemptId &Id : Old) {
    takeAsk(S.Queue, Id, nullptr);
    dropReservation(S, Id);
    endGrant(S, Id, /*Confirmed=*/false, Now, Out);
  }
}

/// Enters a grant that this scheduler did not give.
void adopt(CellState &S, const HostId &From, const HeldGrant &H,
           TimePoint Now) {
  LiveGrant G;
  G.Attempt = H.Attempt;
  G.Account = H.Account;
  G.Host = From;
  G.Weight = std::max<double>(1, H.Weight);
  G.Class = classOf(S.Config, H.PromptTokens);
  G.PromptTokens = H.PromptTokens;
  G.MaxOutput = H.OutputTokens;
  G.Generated = H.Generated;
  G.FirstTokenSeen = H.Generated > 0;
  G.Charged =
      asDouble(H.PromptTokens) + S.Config.OutputCost * asDouble(H.Generated);
  G.GrantedAt = Now;
  G.ProgressAt = Now;
  G.LeaseUntil = Now + S.Config.GrantLease;
  G.Deadline = Now + H.TimeLeft;
  G.PredictedFirst =
      fromSeconds(asDouble(H.PromptTokens) / S.Rates.Prefill.Mean);
  for (const GrantedEngine &Granted : H.Engines) {
    auto Found = S.Engines.find(Granted.Backend);
    if (Found == S.Engines.end())
      continue;
    Engine &E = Found->second;
    const double Prefill = G.FirstTokenSeen ? 0
                                            : asDouble(H.PromptTokens) /
                                                  asDouble(H.Engines.size());
    G.Engines.push_back(
        {Granted.Backend, E.Record.Life, Granted.Tokens, Prefill});
    holdMemory(E, H.Attempt, Granted.Tokens, HoldState::Live, Now);
  }
  if (G.Engines.empty())
    return;
  addWork(S, G);
  S.Grants.emplace(H.Attempt, std::move(G));
}

bool sameEngines(const LiveGrant &G, const HeldGrant &H) {
  if (G.Engines.size() != H.Engines.size())
    return false;
  for (std::size_t I = 0; I < G.Engines.size(); ++I)
    if (G.Engines[I].Backend != H.Engines[I].Backend)
      return false;
  return true;
}

} // namespace

void onRenew(CellState &S, const HostId &From, const RenewGrants &R,
             TimePoint Now, CellEffects &Out) {
  EntryHost &Host = S.Hosts[From];
  if (R.Life < Host.Life)
    return;
  if (R.Life > Host.Life) {
    Host.Life = R.Life;
    endEarlierLife(S, From, R.Hi, Now, Out);
  }
  RegisterRequest Unknown;
  Unknown.Cell = S.Config.Cell;
  Unknown.Epoch = S.Config.Epoch;
  Unknown.Hi = R.Hi;
  bool Prefilled = false;
  for (const AttemptProgress &A : R.Grants)
    Prefilled = renewHeld(S, From, R.Hi, A, Now, Unknown) || Prefilled;
  for (const LocalAttempt &A : R.Waiting)
    renewWaiting(S, From, {{R.Hi, A.Lo}, A.Number}, Now, Unknown, Out);
  if (!Unknown.Attempts.empty())
    Out.Messages.push_back({From, std::move(Unknown)});
  if (Prefilled)
    dispatch(S, Now, Out);
}

void onProgress(CellState &S, const HostId &From, const Progress &P,
                TimePoint Now, CellEffects &Out) {
  bool Prefilled = false;
  for (const AttemptProgress &A : P.Attempts) {
    auto Found = S.Grants.find({{P.Hi, A.Attempt.Lo}, A.Attempt.Number});
    if (Found != S.Grants.end() && Found->second.Host == From)
      Prefilled = applyProgress(S, Found->second, A, Now) || Prefilled;
  }
  if (Prefilled)
    dispatch(S, Now, Out);
}

void onRegister(CellState &S, const HostId &From, const Register &R,
                TimePoint Now, CellEffects &Out) {
  EntryHost &Host = S.Hosts[From];
  if (R.Life < Host.Life)
    return;
  for (const HeldGrant &H : R.Grants) {
    auto Found = S.Grants.find(H.Attempt);
    if (Found != S.Grants.end() && sameEngines(Found->second, H)) {
      Found->second.LeaseUntil = Now + S.Config.GrantLease;
      continue;
    }
    if (Found == S.Grants.end() && S.Ended.count(H.Attempt) != 0)
      continue;
    // What the host runs counts; a grant of this scheduler was never used.
    endGrant(S, H.Attempt, /*Confirmed=*/false, Now, Out);
    takeAsk(S.Queue, H.Attempt, nullptr);
    adopt(S, From, H, Now);
  }
}

void onHostGone(CellState &S, const HostId &Host, TimePoint Now,
                CellEffects &Out) {
  endEarlierLife(S, Host, /*Hi=*/0, Now, Out);
  dispatch(S, Now, Out);
}

} // namespace pimento
