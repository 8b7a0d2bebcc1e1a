#include "document/SpreadParts.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t MaxInForceWaits = 64; // Queries in progress at one time.
constexpr std::uint32_t MaxDirectQueries = 64; // Per in-force query.

/// Timeout for the next lower level of the query tree. It is shorter, so that
/// answers arrive before the timeout of this level.
Duration childTimeout(Duration Timeout) { return Timeout * 7 / 10; }

HostInForce ownAnswer(const SpreadState &S, TimePoint Now) {
  ServeVerdict V = mayServe(S.Freshness, Now);
  HostInForce Own;
  Own.Host = S.Freshness.Config.Self;
  Own.Revision = S.Freshness.Complete;
  Own.Serving = V.Serve;
  if (V.Age != Duration::max())
    Own.Age = V.Age;
  return Own;
}

/// Returns the host that answers for a range: its first live host, or its first
/// host if none is known to be alive.
HostId delegateOf(const SpreadState &S, std::uint32_t First,
                  std::uint32_t Last) {
  for (std::uint32_t Host = First; Host < Last; ++Host) {
    const HostId &Id = S.Config.Hosts[Host];
    if (std::find(S.Alive.begin(), S.Alive.end(), Id) != S.Alive.end())
      return Id;
  }
  return S.Config.Hosts[First];
}

void queryRange(const SpreadState &S, const InForceWait &W, std::uint32_t First,
                std::uint32_t Last, Duration Timeout, SpreadOutputs &Out) {
  if (First >= Last)
    return;
  InForceQuery Q = {W.OwnQuery, First, Last, Timeout};
  Out.Messages.push_back({delegateOf(S, First, Last), Q});
}

/// Splits [First, Last) into up to InForceParts ranges and queries each.
void queryParts(const SpreadState &S, const InForceWait &W, std::uint32_t First,
                std::uint32_t Last, Duration Timeout, SpreadOutputs &Out) {
  std::uint32_t Count = Last - First;
  auto Parts = static_cast<std::uint32_t>(
      std::min<std::size_t>(S.Config.InForceParts, Count));
  for (std::uint32_t Part = 0; Part < Parts; ++Part)
    queryRange(S, W, First + Count * Part / Parts,
               First + Count * (Part + 1) / Parts, Timeout, Out);
}

void finish(const InForceWait &W, SpreadOutputs &Out) {
  std::vector<HostInForce> Hosts;
  for (const auto &Entry : W.Hosts)
    Hosts.push_back(Entry.second);
  if (W.Requester.empty())
    Out.Answers.push_back({W.Query, std::move(Hosts)});
  else
    Out.Messages.push_back(
        {W.Requester, InForceReply{W.Query, std::move(Hosts)}});
}

/// Queries each missing host directly, since the host that was to gather its
/// answer may have failed.
void queryMissing(const SpreadState &S, InForceWait &W, TimePoint Now,
                  SpreadOutputs &Out) {
  W.QueryMissingAt = TimePoint::max();
  std::uint32_t Queried = 0;
  for (std::uint32_t Host = 0; Host < S.Config.Hosts.size(); ++Host) {
    if (W.Hosts.count(Host) != 0 || Queried == MaxDirectQueries)
      continue;
    ++Queried;
    queryRange(S, W, Host, Host + 1, childTimeout(W.Until - Now), Out);
  }
}

void startWait(SpreadState &S, InForceWait W, const InForceQuery &Q,
               TimePoint Now, SpreadOutputs &Out) {
  std::uint32_t Self = S.Freshness.Config.Self;
  bool Inside = Q.First <= Self && Self < Q.Last;
  W.OwnQuery = S.NextQuery++;
  W.Until = Now + Q.Timeout;
  W.Expected = Q.Last - Q.First;
  if (W.Requester.empty())
    W.QueryMissingAt = Now + childTimeout(Q.Timeout);
  if (Inside)
    W.Hosts.emplace(Self, ownAnswer(S, Now));
  Duration Below = childTimeout(childTimeout(Q.Timeout));
  if (Inside) {
    queryParts(S, W, Q.First, Self, Below, Out);
    queryParts(S, W, Self + 1, Q.Last, Below, Out);
  } else {
    queryParts(S, W, Q.First, Q.Last, Below, Out);
  }
  if (W.Hosts.size() == W.Expected)
    finish(W, Out);
  else
    S.InForceWaits.emplace(W.OwnQuery, std::move(W));
}

} // namespace

std::uint32_t hostIndex(const SpreadState &S, const HostId &Host) {
  const auto &Hosts = S.Config.Hosts;
  auto Found = std::lower_bound(Hosts.begin(), Hosts.end(), Host);
  if (Found == Hosts.end() || *Found != Host)
    return static_cast<std::uint32_t>(Hosts.size());
  return static_cast<std::uint32_t>(Found - Hosts.begin());
}

std::uint64_t queryInForce(SpreadState &S, Duration Timeout, TimePoint Now,
                           SpreadOutputs &Out) {
  InForceWait W;
  W.Query = S.NextQuery++;
  std::uint64_t Query = W.Query;
  InForceQuery All = {
      W.Query, 0, static_cast<std::uint32_t>(S.Config.Hosts.size()), Timeout};
  startWait(S, std::move(W), All, Now, Out);
  return Query;
}

void onInForceQuery(SpreadState &S, const HostId &From, const InForceQuery &Q,
                    TimePoint Now, SpreadOutputs &Out) {
  if (Q.First >= Q.Last || Q.Last > S.Config.Hosts.size() ||
      Q.Timeout <= Duration::zero() || S.InForceWaits.size() >= MaxInForceWaits)
    return;
  InForceWait W;
  W.Query = Q.Query;
  W.Requester = From;
  startWait(S, std::move(W), Q, Now, Out);
}

void onInForceReply(SpreadState &S, const InForceReply &R, SpreadOutputs &Out) {
  auto Found = S.InForceWaits.find(R.Query);
  if (Found == S.InForceWaits.end())
    return;
  InForceWait &W = Found->second;
  for (const HostInForce &Host : R.Hosts) {
    if (Host.Host < S.Config.Hosts.size())
      W.Hosts.emplace(Host.Host, Host);
  }
  if (W.Hosts.size() < W.Expected)
    return;
  finish(W, Out);
  S.InForceWaits.erase(Found);
}

void tickInForce(SpreadState &S, TimePoint Now, SpreadOutputs &Out) {
  for (auto At = S.InForceWaits.begin(); At != S.InForceWaits.end();) {
    InForceWait &W = At->second;
    if (Now >= W.QueryMissingAt)
      queryMissing(S, W, Now, Out);
    if (Now < W.Until) {
      ++At;
      continue;
    }
    finish(W, Out);
    At = S.InForceWaits.erase(At);
  }
}

TimePoint nextInForceDeadline(const SpreadState &S) {
  TimePoint Next = TimePoint::max();
  for (const auto &Entry : S.InForceWaits)
    Next = std::min({Next, Entry.second.Until, Entry.second.QueryMissingAt});
  return Next;
}

} // namespace pimento
