#include "node/Node.h"

#include "node/Turn.h"

namespace pimento {

using namespace node;

namespace {

MembershipConfig membershipConfig(const NodeStart &Start) {
  MembershipConfig C;
  C.Self = Start.Config.Host.Name;
  C.Incarnation = Start.Incarnation;
  C.Timing = Start.Config.Membership;
  for (const PeerSettings &Peer : Start.Config.Peers)
    C.Hosts.push_back(Peer.Name);
  return C;
}

SpreadConfig spreadConfig(const NodeStart &Start) {
  SpreadConfig C;
  C.Self = Start.Config.Host.Name;
  for (const PeerSettings &Peer : Start.Config.Peers)
    C.Hosts.push_back(Peer.Name);
  C.Freshness.Bound = Start.Config.Membership.FreshnessBound;
  C.Freshness.ClockDriftPerMille = Start.Config.Control.ClockDriftPerMille;
  C.Freshness.EditWindow = Start.Config.Membership.FreshnessBound;
  C.StampInterval = Start.Config.Membership.FreshnessBound / 6;
  return C;
}

EntryConfig entryConfig(const NodeStart &Start, std::uint64_t IdHigh) {
  EntryConfig C;
  C.Self = Start.Config.Host.Name;
  C.DataCentre = Start.Config.Host.DataCentre;
  C.Incarnation = Start.Incarnation;
  C.Hi = IdHigh;
  C.Seed = Start.Seed + 2;
  C.RenewInterval = Start.Config.Schedule.GrantLease * 3 / 10;
  return C;
}

void handleMessage(Turn &T, const HostId &From, const Message &M) {
  if (membershipMessage(T, From, M) || documentMessage(T, From, M) ||
      scheduleMessage(T, From, M) || callsMessage(T, From, M) ||
      operatorMessage(T, M) || controlMessage(T, From, M))
    return;
  count(T, "pimento_unexpected_messages_total");
}

void drainToSelf(Turn &T) {
  while (!T.ToSelf.empty()) {
    Message M = std::move(T.ToSelf.front());
    T.ToSelf.pop_front();
    handleMessage(T, T.S.Self, M);
  }
}

void tickAll(Turn &T) {
  tickMembership(T);
  tickControl(T);
  tickDocuments(T);
  tickSchedule(T);
  tickEngineCalls(T);
  tickOrderPart(T);
  tickCalls(T);
  tickOperators(T);
  tickDrain(T);
  T.S.LastTick = T.Now;
}

/// Dispatches each event to its part.
struct Handle {
  Turn &T;
  const Event &Original;

  void operator()(const Tick &) const { tickAll(T); }
  void operator()(const PeerMessage &E) const {
    handleMessage(T, E.From, E.Content);
  }
  void operator()(const PeerLost &E) const { peerLost(T, E.Host); }
  void operator()(const RelayLinkLost &) const {} // Hosts here relay nothing.
  void operator()(const CallerRequest &E) const { callerRequest(T, E); }
  void operator()(const OperatorRequest &E) const { operatorRequest(T, E); }
  void operator()(const ExchangeLeft &E) const {
    operatorLeft(T, E.Exchange);
    callsEvent(T, Original);
  }
  void operator()(const ExchangeDrained &) const { callsEvent(T, Original); }
  void operator()(const UpstreamSent &) const { upstream(); }
  void operator()(const UpstreamHead &) const { upstream(); }
  void operator()(const UpstreamData &) const { upstream(); }
  void operator()(const UpstreamEnd &) const { upstream(); }
  void operator()(const UpstreamFailed &) const { upstream(); }
  void operator()(const DiskWritten &E) const { diskWritten(T, E); }
  void operator()(const DiskFailed &E) const { diskFailed(T, E); }
  void operator()(const StopRequested &) const { stopRequested(T); }
  /// Ignored: this node reads its settings only at the start.
  void operator()(const SettingsRead &) const {}

  void upstream() const {
    if (!engineCallEvent(T, Original) && !orderCallEvent(T, Original))
      callsEvent(T, Original);
  }
};

} // namespace

NodeState makeNode(const NodeStart &Start, TimePoint Now) {
  NodeState S;
  S.Config = Start.Config;
  S.Self = Start.Config.Host.Name;
  S.Incarnation = Start.Incarnation;
  S.Started = Now;
  S.WallClock = Start.WallClock;
  S.Members = makeMembership(membershipConfig(Start), Start.Seed, Now);
  S.Spread = makeSpread(spreadConfig(Start), Start.Seed + 1, Now);
  S.Calls = calls::makeCalls(Start.Config, Start.Incarnation, Start.Seed + 3);
  S.Entry = startEntry(entryConfig(Start, S.Calls.IdHigh));
  S.CallsDirectory.Here = Start.Config.Host.DataCentre;
  startControl(S, Start, Now);
  return S;
}

Effects reduce(NodeState &S, const Event &E, TimePoint Now) {
  Turn T{S, Now, {}, {}};
  std::visit(Handle{T, E}, E);
  drainToSelf(T);
  flushControl(T);
  drainToSelf(T);
  return std::move(T.Out);
}

bool isReady(const NodeState &S, TimePoint Now) {
  return S.Drain == DrainPhase::Serving && verdict(S.Spread, Now).Serve &&
         registryReady(S.Members);
}

namespace node {

void send(Turn &T, const HostId &To, Message M) {
  if (To.empty())
    return;
  if (To == T.S.Self)
    T.ToSelf.push_back(std::move(M));
  else
    T.Out.push_back(SendPeer{To, std::move(M)});
}

void sendAll(Turn &T, std::vector<Outbound> Messages) {
  for (Outbound &M : Messages)
    send(T, M.To, std::move(M.Content));
}

void logAll(Turn &T, std::vector<DecisionRecord> Decisions) {
  for (DecisionRecord &D : Decisions)
    T.Out.push_back(LogDecision{std::move(D)});
}

void recordAll(Turn &T, std::vector<MetricSample> Samples) {
  for (MetricSample &Sample : Samples)
    T.Out.push_back(RecordSample{std::move(Sample)});
}

void count(Turn &T, const char *Name, std::string Label) {
  T.Out.push_back(
      RecordSample{{SampleKind::Counter, Name, std::move(Label), 1}});
}

Duration wallClock(const Turn &T) {
  return T.S.WallClock + (T.Now - T.S.Started);
}

bool mayServe(const Turn &T) { return verdict(T.S.Spread, T.Now).Serve; }

} // namespace node

} // namespace pimento
