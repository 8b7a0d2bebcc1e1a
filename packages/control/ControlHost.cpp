#include "control/ControlHost.h"

#include "base/Problem.h"
#include "control/ControlTurn.h"

#include <algorithm>

namespace pimento {

using namespace control;

namespace {

/// After the call to stop: for the hand-over of the leadership.
constexpr Duration StopTime = milliseconds(500);
/// A disk that failed is tried again by a new start after so long.
constexpr Duration FailedDiskTime = seconds(3);
/// Reports of a server that may be missing before it counts as silent.
constexpr int MissedReports = 4;

/// What may change while the host runs.
void takeSettings(ControlHost &S, const Settings &C) {
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
  if (T.S.FailedAt != TimePoint() && T.Now >= T.S.FailedAt + FailedDiskTime)
    T.Out.push_back(Exit{1});
}

void stopRequested(ControlTurn &T) {
  if (T.S.StopAt != TimePoint())
    return;
  T.S.StopAt = T.Now + StopTime;
  T.S.NewsDue = true;
  handLeadershipOver(T);
}

struct Handle {
  ControlTurn &T;

  void operator()(const Tick &) const {
    tickLog(T);
    control::tickServers(T);
    tickSpread(T);
    keepServers(T);
    settlePuts(T);
    tickStop(T);
  }
  void operator()(const PeerMessage &E) const {
    if (const auto *News = std::get_if<ControlHeartbeat>(&E.Content))
      onControlHeartbeat(T, E.From, *News);
    else if (const auto *Sync = std::get_if<EntrySync>(&E.Content))
      entrySync(T, E.From, E.Incarnation, *Sync);
    else
      logMessage(T, E.From, E.Content);
  }
  void operator()(const PeerLost &E) const {
    onLinkLost(T.S.Log, E.Host);
    entryLost(T, E.Host);
  }
  void operator()(const CallerRequest &E) const {
    platformCall(T, E.Exchange, E.Request);
  }
  void operator()(const OperatorRequest &E) const {
    platformCall(T, E.Exchange, E.Request);
  }
  void operator()(const ExchangeLeft &E) const {
    auto &Puts = T.S.Puts;
    auto Is = [&](const PendingRouting &P) { return P.Exchange == E.Exchange; };
    Puts.erase(std::remove_if(Puts.begin(), Puts.end(), Is), Puts.end());
  }
  void operator()(const DiskWritten &E) const { logWritten(T, E.Ticket); }
  void operator()(const DiskFailed &E) const {
    T.S.FailedAt = T.Now;
    logFailed(T, E);
  }
  void operator()(const StopRequested &) const { stopRequested(T); }
  void operator()(const SettingsRead &E) const { takeSettings(T.S, E.Config); }
  template <class Other> void operator()(const Other &) const {}
};

} // namespace

ControlHost makeControlHost(const ControlStart &Start, TimePoint Now) {
  const Settings &C = Start.Config;
  ControlHost S;
  takeSettings(S, C);
  S.Platform = Start.Platform;
  S.Self = HostId(ipOf(C.Host.PeerAddress));
  S.Incarnation = Start.Incarnation;
  S.CallerPort = portOf(C.Host.CallerAddress);
  S.NextNews = Now;
  S.NextServers = Now;
  recallServers(S, Start.KeptServers, Now);
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
  TimePoint Next = std::min({nextTick(S.Log), S.NextNews, S.NextServers});
  if (!S.Puts.empty())
    Next = std::min(Next, Now + milliseconds(100));
  if (S.StopAt != TimePoint())
    Next = std::min(Next, S.StopAt);
  if (S.FailedAt != TimePoint())
    Next = std::min(Next, S.FailedAt + FailedDiskTime);
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
      Gauge("pimento_routing_number", static_cast<double>(S.Newest.Number)),
      Gauge("pimento_servers", static_cast<double>(S.Servers.Servers.size())),
      Gauge("pimento_entry_hosts", static_cast<double>(S.Entries.size())),
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
