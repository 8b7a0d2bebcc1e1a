#include "schedule/CellInternal.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t MaxEnded = 8192; // Most ended requests kept.
/// Further accounts of a class that are tried if the request of the first
/// cannot be placed.
constexpr unsigned MaxPassedOver = 2;

LiveGrant makeGrant(const CellState &S, const QueuedRequest &W,
                    const Placement &P, TimePoint Now) {
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
  G.TokensBeforeFirst = P.Ahead + P.Share;
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
  QueuedRequest W;
  removeRequest(S.Queue, Id, &W);
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

} // namespace

void rememberEnded(CellState &S, const AttemptId &Id,
                   const EndedRequest &Outcome) {
  if (!S.Ended.insert_or_assign(Id, Outcome).second)
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

/// Grants requests with reserved engines first, since their turn in the queue
/// has already come.
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
  // Short prompts are similar: if one cannot be placed, the others cannot
  // either.
  const unsigned MostSkips = Class == LengthClass::Short ? 0 : MaxPassedOver;
  unsigned Skip = 0;
  while (Skip <= MostSkips) {
    const QueuedRequest *Next = nextRequest(S.Queue, Class, Now, Skip);
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
  removeRequest(S.Queue, R.Attempt, nullptr);
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
  const bool Finished = R.End == AttemptEnd::Finished;
  if (Finished)
    learnFromRelease(S, G, R);
  if (R.FirstToken > Duration::zero())
    noteFirstToken(S, G, Now);
  auto Leader = S.Engines.find(G.Engines.front().Backend);
  if (Leader != S.Engines.end() && Finished)
    noteSuccess(Leader->second);
  if (Leader != S.Engines.end() && R.End == AttemptEnd::Failed)
    noteFailure(S, Leader->second, "an attempt failed", Now, Out);
  endGrant(S, R.Attempt, R.End != AttemptEnd::Failed, Now, Out);
  dispatch(S, Now, Out);
}

void onWithdraw(CellState &S, const HostId &From, const Withdraw &W,
                TimePoint Now, CellEffects &Out) {
  removeRequest(S.Queue, W.Attempt, nullptr);
  dropReservation(S, W.Attempt);
  rememberEnded(S, W.Attempt, {});
  auto Found = S.Grants.find(W.Attempt);
  if (Found == S.Grants.end() || Found->second.Host != From)
    return;
  endGrant(S, W.Attempt, /*Confirmed=*/false, Now, Out);
  dispatch(S, Now, Out);
}

} // namespace pimento
