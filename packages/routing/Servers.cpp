#include "routing/Servers.h"

#include <xxhash.h>

#include <algorithm>

namespace pimento {

namespace {

/// Differences between two reports of when a server ceases to be cold that are
/// due to their delays. A host may know a later end than the server's, but
/// hardly an earlier one.
constexpr Duration EarlierTolerance = milliseconds(300);
constexpr Duration LaterTolerance = milliseconds(50);
/// Servers that report within this time after the first one may have started
/// long before.
constexpr Duration FillTime = seconds(10);

bool isNewer(const ServerReport &A, const ServerReport &B) {
  if (A.Incarnation != B.Incarnation)
    return A.Incarnation > B.Incarnation;
  return A.Sequence > B.Sequence;
}

bool isLeaving(ServerPhase P) {
  return P == ServerPhase::Draining || P == ServerPhase::Gone;
}

bool sameTarget(const ServerReport &A, const ServerReport &B) {
  return A.Incarnation == B.Incarnation && A.Service == B.Service &&
         A.Address == B.Address && A.DataCentre == B.DataCentre &&
         A.Slots == B.Slots && A.Phase == B.Phase;
}

/// Whether a report at \p SeenAt with the end \p Next of the server's warm-up
/// tells something new about it.
bool isOtherWarmup(TimePoint Known, TimePoint Next, TimePoint SeenAt) {
  Duration Difference = std::max(Next, SeenAt) - std::max(Known, SeenAt);
  return Difference > LaterTolerance || -Difference > EarlierTolerance;
}

void markChanged(ServerRegistry &Registry, KnownServer &Server) {
  Registry.ByRevision.erase(Server.Revision);
  Server.Revision = ++Registry.Revision;
  Registry.ByRevision[Server.Revision] = Server.Report.Id;
}

/// Returns another server with the same address and a higher incarnation, or
/// null.
const KnownServer *findSuccessor(const ServerRegistry &Registry,
                                 const ServerReport &Report) {
  for (const auto &[Id, Other] : Registry.Servers) {
    if (Id != Report.Id && Other.Report.Address == Report.Address &&
        Other.Report.Incarnation > Report.Incarnation &&
        Other.Report.Phase != ServerPhase::Gone)
      return &Other;
  }
  return nullptr;
}

/// Marks servers as gone that had the report's address before.
void dropPredecessors(ServerRegistry &Registry, const ServerReport &Report) {
  for (auto &[Id, Other] : Registry.Servers) {
    if (Id == Report.Id || Other.Report.Address != Report.Address ||
        Other.Report.Incarnation >= Report.Incarnation ||
        Other.Report.Phase == ServerPhase::Gone)
      continue;
    Other.Report.Phase = ServerPhase::Gone;
    markChanged(Registry, Other);
  }
}

/// Returns the phase after a new report. Later reports of an incarnation do not
/// revoke its announced departure.
ServerPhase mergedPhase(const ServerReport &Old, const ServerReport &New) {
  if (Old.Incarnation != New.Incarnation || !isLeaving(Old.Phase))
    return New.Phase;
  return std::max(Old.Phase, New.Phase);
}

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

ServerKey serverKey(const ServerReport &Report) {
  return hashOf(Report.Id.Value, Report.Incarnation);
}

std::uint64_t serversDigest(const ServerRegistry &Registry, TimePoint Now) {
  std::uint64_t Digest = 0;
  for (const auto &[Id, Known] : Registry.Servers) {
    const ServerReport &R = Known.Report;
    if (R.Phase == ServerPhase::Gone)
      continue;
    std::uint64_t One = serverKey(R);
    One = hashOf(R.Service.Value, One);
    One = hashOf(R.Address, One);
    One = hashOf(R.DataCentre.Value, One);
    constexpr unsigned PhaseBits = 8;
    std::uint64_t Rest = std::uint64_t{R.Slots} << PhaseBits |
                         static_cast<std::uint64_t>(R.Phase);
    if (Known.ColdUntil > Now)
      Rest = ~Rest;
    Digest += XXH3_64bits_withSeed(&Rest, sizeof(Rest), One);
  }
  return Digest;
}

const char *toString(ServerPhase P) {
  switch (P) {
  case ServerPhase::Ready:
    return "ready";
  case ServerPhase::Draining:
    return "draining";
  case ServerPhase::Silent:
    return "silent";
  case ServerPhase::Gone:
    return "gone";
  }
  return "unknown";
}

bool applyReport(ServerRegistry &Registry, const ServerReport &Report,
                 TimePoint SeenAt) {
  auto Found = Registry.Servers.find(Report.Id);
  if (Found != Registry.Servers.end()) {
    KnownServer &Known = Found->second;
    bool StartsLeaving = Report.Incarnation == Known.Report.Incarnation &&
                         isLeaving(Report.Phase) &&
                         !isLeaving(Known.Report.Phase);
    // Reports go on that are older than those of an incarnation which sends
    // none: that one never was, or has ended.
    bool IsRevived = Known.Report.Phase == ServerPhase::Silent &&
                     Report.Incarnation < Known.Report.Incarnation &&
                     SeenAt > Known.LastSeen;
    if (isNewer(Known.Report, Report) && !StartsLeaving && !IsRevived)
      return false;
  }
  // A successor that came later has marked this one as gone already; a search
  // for each report would cost as much as there are servers.
  bool IsSameServer = Found != Registry.Servers.end() &&
                      Found->second.Report.Incarnation == Report.Incarnation &&
                      Found->second.Report.Address == Report.Address;
  bool Superseded = !IsSameServer && findSuccessor(Registry, Report) != nullptr;
  KnownServer &Known = Registry.Servers[Report.Id];
  bool IsNew = Known.Revision == 0;
  ServerReport Next = Report;
  Next.Age = Duration::zero();
  if (!IsNew)
    Next.Phase = mergedPhase(Known.Report, Report);
  if (Superseded)
    Next.Phase = ServerPhase::Gone;
  bool IsOtherRun = IsNew || Known.Report.Incarnation != Next.Incarnation;
  TimePoint ColdUntil = SeenAt + Next.WarmupTime;
  bool IsColdChange =
      isOtherWarmup(IsOtherRun ? SeenAt : Known.ColdUntil, ColdUntil, SeenAt);
  bool Changed = IsNew || !sameTarget(Known.Report, Next) || IsColdChange;
  if (Registry.FilledAt == TimePoint())
    Registry.FilledAt = SeenAt;
  if (IsOtherRun) {
    bool IsStart = !IsNew || SeenAt > Registry.FilledAt + FillTime;
    Known.StartedAt = IsStart ? SeenAt : TimePoint();
  }
  Known.ColdUntil = IsOtherRun || IsColdChange
                        ? ColdUntil
                        : std::max(Known.ColdUntil, ColdUntil);
  Known.Report = std::move(Next);
  Known.LastSeen = std::max(Known.LastSeen, SeenAt);
  if (!Changed)
    return false;
  Registry.ByKey[serverKey(Known.Report)] = Known.Report.Id;
  markChanged(Registry, Known);
  if (Known.Report.Phase != ServerPhase::Gone)
    dropPredecessors(Registry, Known.Report);
  return true;
}

bool deregisterServer(ServerRegistry &Registry, const BackendId &Id,
                      std::uint64_t Incarnation, TimePoint Now) {
  auto Found = Registry.Servers.find(Id);
  if (Found == Registry.Servers.end())
    return false;
  KnownServer &Known = Found->second;
  bool OtherIncarnation =
      Incarnation != 0 && Incarnation < Known.Report.Incarnation;
  if (OtherIncarnation || Known.Report.Phase == ServerPhase::Gone)
    return false;
  Known.Report.Phase = ServerPhase::Gone;
  Known.Report.Sequence += 1;
  Known.LastSeen = Now;
  markChanged(Registry, Known);
  return true;
}

bool tickServers(ServerRegistry &Registry, const ServerLimits &Limits,
                 TimePoint Now) {
  bool Changed = false;
  for (auto It = Registry.Servers.begin(); It != Registry.Servers.end();) {
    KnownServer &Known = It->second;
    Duration Silence = Now - Known.LastSeen;
    if (Silence > Limits.ForgetAfter) {
      Registry.ByRevision.erase(Known.Revision);
      Registry.ByKey.erase(serverKey(Known.Report));
      It = Registry.Servers.erase(It);
      continue;
    }
    if (Silence > Limits.SilentAfter &&
        Known.Report.Phase == ServerPhase::Ready) {
      Known.Report.Phase = ServerPhase::Silent;
      markChanged(Registry, Known);
      Changed = true;
    }
    ++It;
  }
  return Changed;
}

TimePoint nextServerTick(const ServerRegistry &Registry,
                         const ServerLimits &Limits, TimePoint Now) {
  TimePoint Next = Now + Limits.SilentAfter;
  for (const auto &[Id, Known] : Registry.Servers) {
    if (Known.Report.Phase == ServerPhase::Ready)
      Next = std::min(Next, Known.LastSeen + Limits.SilentAfter);
  }
  return Next + milliseconds(1);
}

std::vector<ServerReport> changedServers(const ServerRegistry &Registry,
                                         std::uint64_t Revision,
                                         TimePoint Now) {
  std::vector<ServerReport> List;
  for (auto It = Registry.ByRevision.upper_bound(Revision);
       It != Registry.ByRevision.end(); ++It) {
    auto Found = Registry.Servers.find(It->second);
    if (Found == Registry.Servers.end() || Found->second.Revision != It->first)
      continue;
    const KnownServer &Known = Found->second;
    List.push_back(Known.Report);
    List.back().Age = Now - Known.LastSeen;
    // Counts from LastSeen, as in a report that was made then.
    List.back().WarmupTime =
        std::max(Duration::zero(), Known.ColdUntil - Known.LastSeen);
  }
  return List;
}

} // namespace pimento
