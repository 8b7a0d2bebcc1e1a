#include "schedule/CellInternal.h"

#include <algorithm>

namespace pimento {

namespace {

/// A grant younger than this may not have reached the entry host yet.
constexpr Duration GrantDeliveryTime = milliseconds(250);

double asDouble(std::uint64_t N) { return static_cast<double>(N); }

/// Applies progress figures, which are totals. Returns true if the attempt's
/// first token was new.
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
        Now - Granted->second.GrantedAt > GrantDeliveryTime)
      sendGrant(S, Granted->second, Out);
    return;
  }
  auto Ended = S.Ended.find(Id);
  if (Ended == S.Ended.end()) {
    Unknown.Attempts.push_back({Id.Request.Lo, Id.Number});
    return;
  }
  const EndedRequest &Outcome = Ended->second;
  // The request ended without a refusal: its grant was lost and its lease has
  // expired.
  const Code Reason =
      Outcome.Reason == Code::Ok ? Code::NoBackend : Outcome.Reason;
  Out.Messages.push_back({From, Refusal{Id, Reason, Outcome.RetryAfter,
                                        S.Config.Cell, S.Config.Epoch}});
}

/// Ends grants and queued requests of an earlier incarnation of the host.
void endEarlierIncarnation(CellState &S, const HostId &Host, std::uint64_t Hi,
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
    removeRequest(S.Queue, Id, nullptr);
    dropReservation(S, Id);
    endGrant(S, Id, /*Confirmed=*/false, Now, Out);
  }
}

/// Adopts a grant that this scheduler did not issue.
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
        {Granted.Backend, E.Record.Incarnation, Granted.Tokens, Prefill});
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
  if (R.Incarnation < Host.Incarnation)
    return;
  if (R.Incarnation > Host.Incarnation) {
    Host.Incarnation = R.Incarnation;
    endEarlierIncarnation(S, From, R.Hi, Now, Out);
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
  if (R.Incarnation < Host.Incarnation)
    return;
  for (const HeldGrant &H : R.Grants) {
    auto Found = S.Grants.find(H.Attempt);
    if (Found != S.Grants.end() && sameEngines(Found->second, H)) {
      Found->second.LeaseUntil = Now + S.Config.GrantLease;
      continue;
    }
    if (Found == S.Grants.end() && S.Ended.count(H.Attempt) != 0)
      continue;
    // The grant that the host runs takes precedence; a different grant of this
    // scheduler was never used.
    endGrant(S, H.Attempt, /*Confirmed=*/false, Now, Out);
    removeRequest(S.Queue, H.Attempt, nullptr);
    adopt(S, From, H, Now);
  }
}

void onHostGone(CellState &S, const HostId &Host, TimePoint Now,
                CellEffects &Out) {
  endEarlierIncarnation(S, Host, /*Hi=*/0, Now, Out);
  dispatch(S, Now, Out);
}

} // namespace pimento
