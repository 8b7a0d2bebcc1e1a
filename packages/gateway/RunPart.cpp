// What backend servers may still be at work on although their calls have ended,
// and servers that ended without breaking off a call of this host.

#include "gateway/GatewayTurn.h"

#include <algorithm>
#include <optional>

namespace pimento::gateway {

namespace {

/// Parts of a prompt that are reported, the first ones.
constexpr std::size_t MaxReportedParts = 32;
/// A host that stops hands over runs whose time was up so long ago at most.
constexpr Duration HandOverAge = seconds(1);
/// A host that stops waits so long for the answer of a control host.
constexpr Duration HandOverTime = milliseconds(300);

void logRun(GatewayTurn &T, const GatewayCall &C) {
  DecisionRecord Record =
      record(T, C, "run_unfinished", "the server may still be at work on it");
  Record.add("server", C.Attempt.Server.Value);
  Record.add("incarnation",
             static_cast<std::int64_t>(C.Attempt.ServerIncarnation));
  Record.add("ran_ms", toMilliseconds(T.Now - C.Attempt.Began));
  Record.add("account", C.Account.Value);
  Record.add("request_digest", toString(C.Digest));
  if (C.OnEngine)
    Record.add("parts", partsText(C.Info.Parts));
  log(T, std::move(Record));
}

/// The last time at which the incarnation is known to have run, if it may have
/// been at work for this host then.
std::optional<TimePoint> lastSignOf(const Gateway &S, const BackendId &Server,
                                    IncarnationNumber Incarnation) {
  std::optional<TimePoint> Last;
  for (const UnfinishedRun &Run : S.Quarantine.Unfinished.Runs) {
    if (Run.Server == Server && Run.Incarnation == Incarnation)
      Last = std::max(Last.value_or(Run.Began), Run.Began);
  }
  auto Path = S.Relays.Paths.Servers.find(Server);
  if (Last && Path != S.Relays.Paths.Servers.end())
    Last = std::max(*Last, Path->second.ReachedAt);
  return Last;
}

/// Whether the report says that the server ended without an announcement.
bool isReplacedBy(const Gateway &S, const ServerReport &Server,
                  const ServerReport &R) {
  bool WasUp =
      Server.Phase == ServerPhase::Ready || Server.Phase == ServerPhase::Silent;
  if (!WasUp || isLeaving(S, Server.Id, Server.Incarnation))
    return false;
  if (R.Id == Server.Id)
    return R.Incarnation > Server.Incarnation || R.Phase == ServerPhase::Gone;
  return R.Address == Server.Address && R.Incarnation > Server.Incarnation;
}

} // namespace

std::vector<PartId> reportedParts(const GatewayCall &C) {
  if (!C.OnEngine)
    return {};
  const std::vector<PartId> &Parts = C.Info.Parts;
  std::size_t Count = std::min(Parts.size(), MaxReportedParts);
  return {Parts.begin(), Parts.begin() + static_cast<std::ptrdiff_t>(Count)};
}

void noteUnfinished(GatewayTurn &T, const GatewayCall &C) {
  const CallAttempt &A = C.Attempt;
  if (!A.BytesSent || !A.Relay.empty() || A.Server.empty())
    return;
  UnfinishedRun Run;
  Run.Server = A.Server;
  Run.Incarnation = A.ServerIncarnation;
  Run.Request = {C.Account, C.Digest, reportedParts(C), Duration::zero()};
  Run.Began = A.Began;
  Run.Until = C.Deadline;
  if (isNoted(T.S.Quarantine.Unfinished, Run))
    return;
  logRun(T, C);
  if (addRun(T.S.Quarantine, std::move(Run), T.Now))
    reportEvidenceSoon(T);
}

void serverEnded(GatewayTurn &T, const BackendId &Server,
                 IncarnationNumber Incarnation) {
  if (T.S.Quarantine.Crashes.count({Server, Incarnation}) > 0)
    return;
  ServerCrash Crash;
  Crash.Server = Server;
  Crash.Incarnation = Incarnation;
  Crash.Age = T.Now - lastSignOf(T.S, Server, Incarnation).value_or(T.Now);
  reportCrash(T, Crash);
}

void noteReplaced(GatewayTurn &T, const std::vector<ServerReport> &Reports) {
  if (Reports.empty())
    return;
  for (const auto &[Server, Incarnation] :
       serversAtWork(T.S.Quarantine.Unfinished)) {
    auto Known = T.S.Servers.Servers.find(Server);
    if (Known == T.S.Servers.Servers.end() ||
        Known->second.Report.Incarnation != Incarnation)
      continue;
    const ServerReport &Before = Known->second.Report;
    bool IsReplaced =
        std::any_of(Reports.begin(), Reports.end(), [&](const ServerReport &R) {
          return isReplacedBy(T.S, Before, R);
        });
    if (IsReplaced)
      serverEnded(T, Server, Incarnation);
  }
}

std::vector<ServerRun> unfinishedRuns(const Gateway &S, TimePoint Now) {
  std::vector<ServerRun> List;
  for (const UnfinishedRun &Run : S.Quarantine.Unfinished.Runs) {
    ServerRun M;
    M.Server = Run.Server;
    M.Incarnation = Run.Incarnation;
    M.Request = crashedBy(Run, Now);
    M.TimeLeft = Run.Until - Now;
    List.push_back(std::move(M));
  }
  return List;
}

bool hasHandedOver(GatewayTurn &T) {
  Gateway &S = T.S;
  const std::deque<UnfinishedRun> &Runs = S.Quarantine.Unfinished.Runs;
  bool IsAnyOpen =
      std::any_of(Runs.begin(), Runs.end(), [&](const UnfinishedRun &Run) {
        return T.Now < Run.Until + HandOverAge;
      });
  if (!IsAnyOpen)
    return true;
  if (!S.HandsOver) {
    S.HandsOver = true;
    S.HandOverUntil = T.Now + HandOverTime;
    S.HandOverSequence = S.Link.Sequence + 1;
    syncSoon(S.Link, T.Now);
    return false;
  }
  return S.Link.Answered >= S.HandOverSequence || T.Now >= S.HandOverUntil;
}

} // namespace pimento::gateway
