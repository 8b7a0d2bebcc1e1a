#include "control/ControlHost.h"

#include "base/Problem.h"
#include "base/SettingText.h"
#include "control/ControlTurn.h"

#include <algorithm>

namespace pimento {

using namespace control;

namespace {

/// Time between the request to stop and the exit, in which the leadership is
/// transferred.
constexpr Duration StopDelay = milliseconds(500);
/// Time after a failed disk write until the process exits, so that its next
/// start tries the disk again.
constexpr Duration FailedDiskRestartDelay = seconds(3);
/// Number of announce intervals without a report after which a backend server
/// counts as silent, unless the announce timeout is longer.
constexpr int MissedReports = 4;

/// Applies the settings that may change while the process runs.
void applySettings(ControlHost &S, const Settings &C) {
  S.Config = C;
  S.Seeds.clear();
  for (const std::string &Seed : splitAddresses(C.Join.Seeds))
    S.Seeds.emplace_back(ipOf(Seed));
  S.Limits.SilentAfter =
      std::max(C.Membership.AnnounceTimeout,
               MissedReports * C.Membership.AnnounceInterval);
  S.Voters.Voters = 2 * C.Join.Failures + 1;
}

void tickStop(ControlTurn &T) {
  if (T.S.StopAt != TimePoint() && T.Now >= T.S.StopAt)
    T.Out.push_back(Exit{0});
  if (T.S.DiskFailedAt != TimePoint() &&
      T.Now >= T.S.DiskFailedAt + FailedDiskRestartDelay)
    T.Out.push_back(Exit{1});
}

void stopRequested(ControlTurn &T) {
  if (T.S.StopAt != TimePoint())
    return;
  T.S.StopAt = T.Now + StopDelay;
  updateHosts(T);
  transferLogLeadership(T);
}

struct Handle {
  ControlTurn &T;

  void operator()(const Tick &) const {
    tickLog(T);
    control::tickServers(T);
    tickQuarantine(T);
    tickLimits(T);
    tickSpread(T);
    storeServers(T);
    answerPendingPuts(T);
    answerPendingEvacuations(T);
    tickStop(T);
  }
  void operator()(const PeerMessage &E) const {
    if (const auto *Heartbeat = std::get_if<ControlHeartbeat>(&E.Content))
      onControlHeartbeat(T, E.From, *Heartbeat);
    else if (const auto *Sync = std::get_if<EntrySync>(&E.Content))
      onEntrySync(T, E.From, E.Incarnation, *Sync);
    else
      onLogMessage(T, E.From, E.Content);
  }
  void operator()(const PeerLost &E) const {
    onLinkLost(T.S.Log, E.Host);
    onEntryHostLost(T, E.Host);
  }
  void operator()(const CallerRequest &E) const {
    onPlatformCall(T, E.Exchange, E.Request);
  }
  void operator()(const OperatorRequest &E) const {
    onPlatformCall(T, E.Exchange, E.Request);
  }
  void operator()(const ExchangeLeft &E) const {
    auto IsSameExchange = [&](const auto &Pending) {
      return Pending.Exchange == E.Exchange;
    };
    std::size_t Before = T.S.PendingPuts.size() + T.S.PendingEvacuations.size();
    auto &Puts = T.S.PendingPuts;
    Puts.erase(std::remove_if(Puts.begin(), Puts.end(), IsSameExchange),
               Puts.end());
    auto &Orders = T.S.PendingEvacuations;
    Orders.erase(std::remove_if(Orders.begin(), Orders.end(), IsSameExchange),
                 Orders.end());
    if (Puts.size() + Orders.size() == Before)
      return;
    DecisionRecord Record{"operator_left", {}, leftReason(E.How), {}};
    Record.add("exchange", static_cast<std::int64_t>(E.Exchange));
    log(T, std::move(Record));
  }
  void operator()(const DiskWritten &E) const { onLogWritten(T, E.Ticket); }
  void operator()(const DiskFailed &E) const {
    T.S.DiskFailedAt = T.Now;
    onLogDiskFailed(T, E);
  }
  void operator()(const StopRequested &) const { stopRequested(T); }
  void operator()(const SettingsRead &E) const { applySettings(T.S, E.Config); }
  template <class Other> void operator()(const Other &) const {}
};

} // namespace

ControlHost makeControlHost(const ControlStart &Start, TimePoint Now) {
  const Settings &C = Start.Config;
  ControlHost S;
  applySettings(S, C);
  S.Platform = Start.Platform;
  S.Self = HostId(ipOf(C.Host.PeerAddress));
  S.Incarnation = Start.Incarnation;
  S.Rng = Random(Start.Seed);
  S.CallerPort = portOf(C.Host.CallerAddress);
  S.NextControlHeartbeat = Now;
  S.NextServerTick = Now;
  S.StartedAt = Now;
  restoreServers(S, Start.KeptServers, Now);
  startLog(S, Start, Now);
  return S;
}

Effects reduceControl(ControlHost &S, const Event &E, TimePoint Now) {
  ControlTurn T{S, Now, {}};
  std::visit(Handle{T}, E);
  flushLog(T);
  spreadChanges(T);
  return std::move(T.Out);
}

TimePoint nextWakeup(const ControlHost &S, TimePoint Now) {
  TimePoint Next =
      std::min({nextTick(S.Log), S.NextControlHeartbeat, S.NextServerTick});
  Next = std::min({Next, S.Quarantine.JudgeAt, S.LimitsDueAt});
  if (S.UpdateDue)
    Next = std::min(Next, S.NextUpdateAt);
  if (S.RoutingDue)
    Next = Now;
  if (!S.PendingPuts.empty() || !S.PendingEvacuations.empty())
    Next = std::min(Next, Now + milliseconds(100));
  if (S.StopAt != TimePoint())
    Next = std::min(Next, S.StopAt);
  if (S.DiskFailedAt != TimePoint())
    Next = std::min(Next, S.DiskFailedAt + FailedDiskRestartDelay);
  return Next;
}

std::vector<MetricSample> controlGauges(const ControlHost &S, TimePoint Now) {
  auto Gauge = [](const char *Name, double Value) {
    return MetricSample{SampleKind::Gauge, Name, "", Value};
  };
  std::size_t Members = members(S.Log).Members.size();
  return {
      Gauge("pimento_log_leader", isLeader(S, Now) ? 1 : 0),
      Gauge("pimento_log_current", isCurrent(S, Now) ? 1 : 0),
      Gauge("pimento_log_members", static_cast<double>(Members)),
      Gauge("pimento_log_term", static_cast<double>(term(S.Log))),
      Gauge("pimento_routing_number",
            static_cast<double>(S.NewestRouting.Number)),
      Gauge("pimento_routing_hosts_behind",
            static_cast<double>(
                hostsBehind(S, S.NewestRouting.Number, Now).size())),
      Gauge("pimento_evacuated_data_centres",
            static_cast<double>(S.Evacuation.DataCentres.size())),
      Gauge("pimento_evacuation_hosts_behind",
            static_cast<double>(
                hostsWithoutEvacuation(S, S.Evacuation.Revision, Now).size())),
      Gauge("pimento_servers", static_cast<double>(S.Servers.Servers.size())),
      Gauge("pimento_limited_servers",
            static_cast<double>(limitedServers(S.NamedLimits))),
      Gauge("pimento_entry_hosts", static_cast<double>(S.Entries.size())),
      Gauge("pimento_quarantined_parts",
            static_cast<double>(activeQuarantines(S.Quarantine) -
                                quarantinedRequests(S.Quarantine))),
      Gauge("pimento_quarantined_requests",
            static_cast<double>(quarantinedRequests(S.Quarantine))),
  };
}

namespace control {

void send(ControlTurn &T, const HostId &To, Message M) {
  if (!To.empty() && To != T.S.Self)
    T.Out.push_back(SendPeer{To, std::move(M)});
}

void log(ControlTurn &T, DecisionRecord Record) {
  T.Out.push_back(LogDecision{std::move(Record)});
}

void count(ControlTurn &T, const char *Name, std::string Label) {
  T.Out.push_back(
      RecordSample{{SampleKind::Counter, Name, std::move(Label), 1}});
}

void reply(ControlTurn &T, ExchangeId Exchange, HttpReply Reply) {
  if (T.S.StopAt != TimePoint())
    Reply.Headers.push_back({"Connection", "close"});
  T.Out.push_back(calls::SendReply{Exchange, std::move(Reply)});
}

void refuse(ControlTurn &T, ExchangeId Exchange, Code Number,
            std::string Detail) {
  Problem P;
  P.Number = Number;
  P.Detail = std::move(Detail);
  reply(T, Exchange, problemReply(P));
}

} // namespace control

} // namespace pimento
