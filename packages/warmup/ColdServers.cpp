#include "warmup/ColdServers.h"

#include <algorithm>

namespace pimento {

namespace {

/// Time after the leader named a placer for which that host is sure to be the
/// only one. The placer asks the leader more often.
constexpr Duration LeaseTime = milliseconds(1500);
/// A new placer is not sure for this time, in which an earlier one may be. The
/// difference covers the delays of messages.
constexpr Duration LeaseWait = milliseconds(2000);
/// Knowledge of the servers that is older than this is old. Longer than the
/// time between two queries of an entry host.
constexpr Duration KnowledgeLimit = milliseconds(2500);

ColdRole roleOf(const ColdServers &Cold, bool IsPlacer, TimePoint Now) {
  if (!IsPlacer)
    return ColdRole::Alone;
  return isSurePlacer(Cold.Lease, Now) ? ColdRole::Placer
                                       : ColdRole::OtherPlacer;
}

std::map<BackendId, ColdServer>
findCold(const ColdServers &Cold, const ColdInput &Input, TimePoint Now) {
  std::map<BackendId, ColdServer> Found;
  if (Input.Routes == nullptr)
    return Found;
  bool IsOld = Now > Input.InformedAt + KnowledgeLimit;
  std::map<ServiceId, const RoutedService *> Named;
  for (const RoutedService &Service : Input.Routes->Config.Services) {
    if (Service.ColdPerSecond > 0)
      Named[Service.Name] = &Service;
  }
  if (Named.empty())
    return Found;
  for (const auto &[Id, Known] : Input.Registry->Servers) {
    auto Service = Named.find(Known.Report.Service);
    if (Service == Named.end() || Known.Report.Phase == ServerPhase::Gone)
      continue;
    TimePoint Until = coldUntil(Known, Service->second->ColdTime);
    bool IsCold = Until > Now;
    if (!IsCold && !IsOld)
      continue;
    ColdServer Server;
    Server.Incarnation = Known.Report.Incarnation;
    Server.Until = IsCold ? Until : TimePoint::max();
    Server.IsPresumed = !IsCold;
    Server.PerSecond = Service->second->ColdPerSecond;
    Server.Shares = sharesOf(Server.PerSecond, Cold.Bounds);
    Found.emplace(Id, Server);
  }
  return Found;
}

ColdChange changeOf(const BackendId &Id, const ColdServer &Server, bool IsCold,
                    TimePoint Now) {
  ColdChange Change;
  Change.Server = Id;
  Change.Incarnation = Server.Incarnation;
  Change.IsCold = IsCold;
  Change.IsPresumed = Server.IsPresumed;
  if (IsCold && !Server.IsPresumed)
    Change.Left = Server.Until - Now;
  Change.PerSecond = Server.PerSecond;
  return Change;
}

DecisionRecord recordOf(const ColdServers &Cold, const ColdChange &Change) {
  DecisionRecord Record{"server_cold",
                        {},
                        Change.IsCold ? "the backend server is cold"
                                      : "the backend server is warm",
                        {}};
  Record.add("server", Change.Server.Value);
  Record.add("left_ms", toMilliseconds(Change.Left));
  Record.add("per_second", Change.PerSecond);
  Record.add("share_number", static_cast<std::int64_t>(Cold.ShareNumber));
  Record.add("share_count", static_cast<std::int64_t>(Cold.ShareCount));
  return Record;
}

DecisionRecord recordOfPresumed(std::int64_t Servers) {
  DecisionRecord Record{"servers_may_be_cold",
                        {},
                        Servers > 0
                            ? "this host's knowledge of the servers is old"
                            : "a control host told of the servers",
                        {}};
  Record.add("servers", Servers);
  return Record;
}

} // namespace

std::vector<DecisionRecord>
describeChanges(const ColdServers &Cold, const std::vector<ColdChange> &Changes,
                Duration Informed) {
  std::vector<DecisionRecord> Records;
  std::int64_t Presumed = 0;
  bool HasPresumed = false;
  for (const ColdChange &Change : Changes) {
    if (!Change.IsPresumed) {
      Records.push_back(recordOf(Cold, Change));
      continue;
    }
    HasPresumed = true;
    Presumed += Change.IsCold ? 1 : 0;
  }
  if (HasPresumed)
    Records.push_back(recordOfPresumed(Presumed));
  for (DecisionRecord &Record : Records) {
    Record.add("role", std::string(toString(Cold.Role)));
    Record.add("informed_ms", toMilliseconds(Informed));
  }
  return Records;
}

void placerNamed(PlacerLease &Lease, bool IsSelf, TimePoint Now) {
  if (!IsSelf) {
    Lease = PlacerLease();
    return;
  }
  bool HasGap = Lease.NamedAt == TimePoint() || Now > Lease.NamedAt + LeaseTime;
  if (HasGap)
    Lease.Since = Now;
  Lease.NamedAt = Now;
}

bool isSurePlacer(const PlacerLease &Lease, TimePoint Now) {
  return Lease.NamedAt != TimePoint() && Now <= Lease.NamedAt + LeaseTime &&
         Now >= Lease.Since + LeaseWait;
}

const char *toString(ColdRole R) {
  switch (R) {
  case ColdRole::Placer:
    return "placer";
  case ColdRole::OtherPlacer:
    return "other_placer";
  case ColdRole::Alone:
    return "alone";
  }
  return "unknown";
}

std::vector<ColdChange> updateCold(ColdServers &Cold, const ColdInput &Input,
                                   TimePoint Now) {
  ColdRole Role = roleOf(Cold, Input.IsPlacer, Now);
  Cold.IsRoleNew = Role != Cold.Role || Input.ShareNumber != Cold.ShareNumber ||
                   Input.ShareCount != Cold.ShareCount;
  Cold.Role = Role;
  Cold.ShareNumber = Input.ShareNumber;
  Cold.ShareCount = Input.ShareCount;
  std::map<BackendId, ColdServer> Next = findCold(Cold, Input, Now);
  std::vector<ColdChange> Changes;
  for (const auto &[Id, Server] : Next) {
    auto Before = Cold.Servers.find(Id);
    bool IsSame = Before != Cold.Servers.end() &&
                  Before->second.Incarnation == Server.Incarnation &&
                  Before->second.IsPresumed == Server.IsPresumed &&
                  Before->second.PerSecond == Server.PerSecond;
    if (!IsSame)
      Changes.push_back(changeOf(Id, Server, /*IsCold=*/true, Now));
  }
  for (const auto &[Id, Server] : Cold.Servers) {
    if (Next.count(Id) == 0)
      Changes.push_back(changeOf(Id, Server, /*IsCold=*/false, Now));
  }
  Cold.Servers = std::move(Next);
  return Changes;
}

const ColdServer *coldServer(const ColdServers &Cold, const BackendId &Id,
                             IncarnationNumber Incarnation) {
  auto Found = Cold.Servers.find(Id);
  bool IsCold =
      Found != Cold.Servers.end() && Found->second.Incarnation == Incarnation;
  return IsCold ? &Found->second : nullptr;
}

ColdShare ownShare(const ColdServers &Cold, const ColdServer &Server,
                   const BackendId &Id) {
  switch (Cold.Role) {
  case ColdRole::Placer:
    return Server.Shares.Placer;
  case ColdRole::OtherPlacer:
    return Server.Shares.OtherPlacer;
  case ColdRole::Alone:
    break;
  }
  bool Holds = isHolder(Server.Shares, Id, Cold.ShareNumber, Cold.ShareCount);
  return Holds ? Server.Shares.Alone : ColdShare();
}

TimePoint coldUntil(const KnownServer &Known, Duration ColdTime) {
  bool IsAssumed = !Known.Report.NamesWarmup && Known.StartedAt != TimePoint();
  return IsAssumed ? std::max(Known.ColdUntil, Known.StartedAt + ColdTime)
                   : Known.ColdUntil;
}

void applyShare(LimitBucket &Bucket, bool HasLimit, const ColdServer &Server,
                const ColdShare &Share) {
  if (!Server.IsPresumed)
    Bucket.Cause = LimitCause::Cold;
  else
    Bucket.Cause = HasLimit ? LimitCause::Named : LimitCause::MayBeCold;
  Bucket.EndsAt = HasLimit ? TimePoint::max() : Server.Until;
  Bucket.MaxTokens = Share.Burst;
  Bucket.PerSecond =
      HasLimit ? std::min(Bucket.PerSecond, Share.PerSecond) : Share.PerSecond;
  Bucket.Tokens = std::min(Bucket.Tokens, Share.Burst);
}

bool areCold(const ColdServers &Cold, const std::vector<BackendId> &Servers) {
  return std::all_of(Servers.begin(), Servers.end(), [&](const BackendId &Id) {
    auto Found = Cold.Servers.find(Id);
    return Found != Cold.Servers.end() && !Found->second.IsPresumed;
  });
}

void refreshBucket(std::map<BackendId, LimitBucket> &Buckets,
                   const ColdServers &Cold, const BackendId &Server,
                   const BucketInput &Input, TimePoint Now) {
  const ColdServer *Found = coldServer(Cold, Server, Input.Incarnation);
  if (!Input.NamedRate && Found == nullptr) {
    Buckets.erase(Server);
    return;
  }
  auto Before = Buckets.find(Server);
  // Who spends a share of a cold server is a matter of the role there.
  bool IsNew = Before == Buckets.end() || (Input.IsReset && Input.NamedRate) ||
               (Found != nullptr && Cold.IsRoleNew);
  double Tokens = Input.FirstTokens;
  if (!IsNew)
    Tokens = tokensAt(Before->second, Now);
  else if (Found != nullptr)
    Tokens = Found->IsPresumed ? Found->PerSecond : 0;
  LimitBucket B = makeBucket(MinPerSecond, Tokens, Now);
  B.PerSecond = Input.NamedRate.value_or(0);
  if (Found != nullptr)
    applyShare(B, Input.NamedRate.has_value(), *Found,
               ownShare(Cold, *Found, Server));
  if (!IsNew) {
    B.LastTaken = Before->second.LastTaken;
    B.Taken = Before->second.Taken;
  }
  Buckets[Server] = B;
}

} // namespace pimento
