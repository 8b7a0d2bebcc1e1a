#include "gateway/Gateway.h"

#include "base/SettingText.h"

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento {

using namespace gateway;

namespace {

/// Applies the settings that may change while the host runs.
void applySettings(Gateway &S, const Settings &C) {
  S.Config = C;
  S.RetryRules.Share = C.Retries.BudgetShare;
  S.RetryRules.Allowance = C.Retries.BudgetAllowance;
  S.RetryRules.Window = C.Retries.BudgetWindow;
  hedge::applySettings(S.SlowAnswers, C.Hedge);
  S.Cold.Bounds = {C.Cold.Overshoot, C.Cold.Slack};
  S.Link.Seeds.clear();
  for (const std::string &Seed : splitAddresses(C.Join.Seeds))
    S.Link.Seeds.emplace_back(ipOf(Seed));
}

void tickCalls(GatewayTurn &T) {
  while (!T.S.Timers.empty() && T.S.Timers.begin()->first <= T.Now) {
    std::uint64_t Ticket = T.S.Timers.begin()->second;
    T.S.Timers.erase(T.S.Timers.begin());
    GatewayCall *C = findCall(T, Ticket);
    if (C == nullptr)
      continue;
    C->CheckAt = TimePoint();
    checkCall(T, *C);
  }
}

struct Handle {
  GatewayTurn &T;
  const Event &Original;

  /// Whether the event belongs to an order or a query of this host and not to a
  /// caller's request; it is then processed.
  bool isOwnQuery() const {
    return reservationEvent(T, Original) || speedQueryEvent(T, Original) ||
           confirmationEvent(T, Original) || crashCheckEvent(T, Original) ||
           pathProbeEvent(T, Original);
  }

  /// Whether the message concerns paths or relayed requests; it is then
  /// processed.
  bool isRelayMessage(const PeerMessage &E) const {
    if (const auto *Query = std::get_if<PathQuery>(&E.Content))
      onPathQuery(T, E.From, *Query);
    else if (const auto *Reply = std::get_if<PathReply>(&E.Content))
      onPathReply(T, E.From, *Reply);
    else if (const auto *Request = std::get_if<RelayRequest>(&E.Content))
      onRelayRequest(T, E.From, E.Incarnation, *Request);
    else if (const auto *Body = std::get_if<RelayBody>(&E.Content))
      onRelayBody(T, E.From, *Body);
    else if (const auto *More = std::get_if<RelayBodyCredit>(&E.Content))
      onRelayBodyCredit(T, E.From, *More);
    else if (const auto *Head = std::get_if<RelayHead>(&E.Content))
      onRelayHead(T, E.From, *Head);
    else if (const auto *Data = std::get_if<RelayData>(&E.Content))
      onRelayData(T, E.From, *Data);
    else if (const auto *End = std::get_if<RelayEnd>(&E.Content))
      onRelayEnd(T, E.From, *End);
    else if (const auto *Refusal = std::get_if<RelayRefusal>(&E.Content))
      onRelayRefusal(T, E.From, *Refusal);
    else if (const auto *Credit = std::get_if<RelayCredit>(&E.Content))
      onRelayCredit(T, E.From, *Credit);
    else if (const auto *Cancel = std::get_if<RelayCancel>(&E.Content))
      onRelayCancel(T, E.From, Cancel->Id);
    else
      return false;
    return true;
  }

  void operator()(const Tick &E) const {
    T.S.CallerBytes = E.CallerBytes;
    tickHeld(T);
    tickCalls(T);
    tickReleases(T);
    tickPlacing(T);
    tickCold(T);
    tickLimits(T);
    tickSpeeds(T);
    tickCrashChecks(T);
    tickPaths(T);
    tickSite(T);
  }
  void operator()(const PeerMessage &E) const {
    T.S.LostHosts.erase(E.From);
    if (const auto *State = std::get_if<SiteState>(&E.Content))
      onSiteState(T, E.From, *State);
    else if (const auto *Spec = std::get_if<PlacementRequest>(&E.Content))
      onPlacementRequest(T, E.From, E.Incarnation, *Spec);
    else if (const auto *Reply = std::get_if<PlacementReply>(&E.Content))
      onPlacementReply(T, E.From, *Reply);
    else if (const auto *Update = std::get_if<PlacementUpdate>(&E.Content))
      onPlacementUpdate(T, E.From, *Update);
    else if (const auto *Notice = std::get_if<LimitNotice>(&E.Content))
      onLimitRecords(T, {Notice->Limit});
    else if (const auto *Ask = std::get_if<PermitRequest>(&E.Content))
      onPermitRequest(T, E.From, *Ask);
    else if (const auto *Permit = std::get_if<PermitReply>(&E.Content))
      onPermitReply(T, E.From, *Permit);
    else if (!isRelayMessage(E))
      count(T, "pimento_unexpected_messages_total");
  }
  void operator()(const PeerLost &E) const {
    T.S.LostHosts.emplace(E.Host, T.Now);
  }
  void operator()(const RelayLinkLost &E) const {
    relayLost(T, E.Host);
    dropTaken(T, E.Host);
  }
  void operator()(const ExchangeDrained &E) const {
    callerRead(T, E.Exchange, E.PendingBytes);
  }
  void operator()(const CallerRequest &E) const {
    T.S.CallerBytes = E.CallerBytes;
    admit(T, E.Exchange, E.Request, T.Now);
  }
  void operator()(const OperatorRequest &E) const {
    operatorCall(T, E.Exchange, E.Request);
  }
  void operator()(const ExchangeLeft &E) const {
    callerLeft(T, E.Exchange, leftReason(E.How));
  }
  void operator()(const UpstreamSent &E) const {
    if (!crashCheckConnected(T, E) && !pathProbeEvent(T, Original))
      upstreamSent(T, E);
  }
  void operator()(const UpstreamHead &E) const {
    noteQueryAnswer(T, E);
    if (!isOwnQuery())
      upstreamHead(T, E);
  }
  void operator()(const UpstreamData &E) const {
    if (!isOwnQuery())
      upstreamData(T, E);
  }
  void operator()(const UpstreamEnd &E) const {
    if (!isOwnQuery())
      upstreamEnd(T, E);
  }
  void operator()(const UpstreamFailed &E) const {
    if (!isOwnQuery())
      upstreamFailed(T, E.Call, E.Why);
  }
  void operator()(const StopRequested &) const { stopRequested(T); }
  void operator()(const SettingsRead &E) const { applySettings(T.S, E.Config); }
  template <class Other> void operator()(const Other &) const {}
};

} // namespace

const char *toString(CallStage S) {
  switch (S) {
  case CallStage::Placing:
    return "placing";
  case CallStage::AwaitingPermit:
    return "awaiting_permit";
  case CallStage::AwaitingPath:
    return "awaiting_path";
  case CallStage::Reserving:
    return "reserving";
  case CallStage::Sent:
    return "sent";
  case CallStage::Answering:
    return "answering";
  case CallStage::Confirming:
    return "confirming";
  case CallStage::Pausing:
    return "pausing";
  }
  return "unknown";
}

Gateway makeGateway(const GatewayStart &Start, TimePoint Now) {
  const Settings &C = Start.Config;
  Gateway S;
  S.Platform = Start.Platform;
  S.Self = HostId(ipOf(C.Host.PeerAddress));
  S.Incarnation = Start.Incarnation;
  S.Rng = Random(Start.Seed);
  applySettings(S, C);
  S.Started = Now;
  S.Link.NextSyncAt = Now;
  S.Engines.Here = C.Host.DataCentre;
  // Tickets identify requests at the placer, where those of two incarnations of
  // a host must differ.
  S.NextTicket = (Start.Incarnation % (1ULL << 40U)) << 16U | 1U;
  return S;
}

Effects reduceGateway(Gateway &S, const Event &E, TimePoint Now) {
  GatewayTurn T{S, Now, {}};
  std::visit(Handle{T, E}, E);
  forwardRelayedAnswers(T);
  return std::move(T.Out);
}

bool isReady(const Gateway &S) {
  return S.Routes != nullptr && !S.Stale && !S.Stopping &&
         !S.Servers.Servers.empty();
}

TimePoint nextWakeup(const Gateway &S, TimePoint Now) {
  TimePoint Next =
      std::min({nextLinkTick(S.Link), nextPlacerTick(S.Engines, Now),
                nextSpeedTick(S, Now), nextPermitTick(S.Permits, Now),
                gateway::nextPathTick(S, Now)});
  for (const HeldRequest &Request : S.Held)
    Next = std::min(Next, Request.HoldUntil);
  for (const auto &[Upstream, Check] : S.CrashChecks)
    Next = std::min(Next, Check.ExpiresAt);
  for (const PendingRelease &Release : S.Releases)
    Next = std::min(Next, Release.NextAt);
  if (!S.Timers.empty())
    Next = std::min(Next, S.Timers.begin()->first);
  if (S.Stopping)
    Next = std::min({Next, S.StopListeningAt, S.StopAt});
  return Next;
}

std::vector<MetricSample> gatewayGauges(const Gateway &S, TimePoint Now) {
  auto Gauge = [](const char *Name, double Value) {
    return MetricSample{SampleKind::Gauge, Name, "", Value};
  };
  std::uint64_t Number = S.Routes ? S.Routes->Config.Number : 0;
  double Age =
      S.Link.CurrentAt == TimePoint() ? -1 : toSeconds(Now - S.Link.CurrentAt);
  std::vector<MetricSample> Samples = {
      Gauge("pimento_ready", isReady(S) ? 1 : 0),
      Gauge("pimento_routing_number", static_cast<double>(Number)),
      Gauge("pimento_routing_stale", S.Stale ? 1 : 0),
      Gauge("pimento_control_age_seconds", Age),
      Gauge("pimento_calls_open", static_cast<double>(S.Calls.size())),
      Gauge("pimento_calls_waiting",
            static_cast<double>(S.Engines.Queue.size())),
      Gauge("pimento_engine_requests",
            static_cast<double>(S.Engines.Placed.size())),
      Gauge("pimento_entry_hosts", static_cast<double>(S.Link.Entries)),
      Gauge("pimento_quarantined_parts",
            static_cast<double>(activeQuarantines(S.Quarantine) -
                                quarantinedRequests(S.Quarantine))),
      Gauge("pimento_quarantined_requests",
            static_cast<double>(quarantinedRequests(S.Quarantine))),
      Gauge("pimento_evacuated_data_centres",
            static_cast<double>(S.Evacuation.DataCentres.size())),
      Gauge("pimento_leaving_servers", static_cast<double>(S.Leaving.size())),
      Gauge("pimento_paused_servers", static_cast<double>(S.Paused.size())),
      Gauge("pimento_limited_servers",
            static_cast<double>(limitedServers(S.NamedLimits))),
      Gauge("pimento_permits_waiting",
            static_cast<double>(S.Permits.Waiting.size())),
      Gauge("pimento_places_here", S.Placer == S.Self ? 1 : 0),
      Gauge("pimento_cut_services",
            static_cast<double>(cutServices(S.Relays.Paths).size())),
      Gauge("pimento_relayed_requests",
            static_cast<double>(S.Relays.Taken.size())),
      Gauge("pimento_held_bytes",
            static_cast<double>(heldBytes(S) + S.CallerBytes)),
  };
  gateway::addServerGauges(S, Now, Samples);
  return Samples;
}

namespace gateway {

GatewayCall *findCall(GatewayTurn &T, std::uint64_t Ticket) {
  auto Found = T.S.Calls.find(Ticket);
  return Found == T.S.Calls.end() ? nullptr : &Found->second;
}

void checkAt(GatewayTurn &T, GatewayCall &C, TimePoint At) {
  if (C.CheckAt != TimePoint())
    T.S.Timers.erase({C.CheckAt, C.Ticket});
  if (!C.Reserved.empty())
    At = std::min(At, C.RenewAt);
  C.CheckAt = At;
  T.S.Timers.emplace(At, C.Ticket);
}

void checkBy(GatewayTurn &T, GatewayCall &C, TimePoint At) {
  if (C.CheckAt == TimePoint() || At < C.CheckAt)
    checkAt(T, C, At);
}

UpstreamId upstreamOf(const Event &E) {
  if (const auto *Sent = std::get_if<UpstreamSent>(&E))
    return Sent->Call;
  if (const auto *Head = std::get_if<UpstreamHead>(&E))
    return Head->Call;
  if (const auto *Data = std::get_if<UpstreamData>(&E))
    return Data->Call;
  if (const auto *End = std::get_if<UpstreamEnd>(&E))
    return End->Call;
  if (const auto *Failed = std::get_if<UpstreamFailed>(&E))
    return Failed->Call;
  return UpstreamId{};
}

void log(GatewayTurn &T, DecisionRecord Record) {
  T.Out.push_back(LogDecision{std::move(Record)});
}

DecisionRecord record(const GatewayTurn &T, const GatewayCall &C,
                      const char *Kind, std::string Reason) {
  DecisionRecord Record{Kind, {}, std::move(Reason), {}};
  Record.add("try", C.Info.ClientAttemptId);
  Record.add("ticket", static_cast<std::int64_t>(C.Ticket));
  Record.add("age_ms", toMilliseconds(T.Now - C.Arrived));
  return Record;
}

std::string partsText(const std::vector<PartId> &Parts) {
  constexpr std::size_t MaxLogged = 8;
  std::string Text;
  for (std::size_t I = 0; I < std::min(Parts.size(), MaxLogged); ++I)
    Text += (I == 0 ? "" : " ") + toString(Parts[I]);
  return Text;
}

void count(GatewayTurn &T, const char *Name, std::string Label) {
  T.Out.push_back(
      RecordSample{{SampleKind::Counter, Name, std::move(Label), 1}});
}

void sample(GatewayTurn &T, const char *Name, std::string Label, Duration D) {
  T.Out.push_back(RecordSample{
      {SampleKind::Distribution, Name, std::move(Label), toSeconds(D)}});
}

void send(GatewayTurn &T, const HostId &To, Message M) {
  if (!To.empty() && To != T.S.Self)
    T.Out.push_back(SendPeer{To, std::move(M)});
}

void reply(GatewayTurn &T, ExchangeId Exchange, HttpReply Reply) {
  if (Exchange == ExchangeId{})
    return;
  if (T.S.Stopping)
    Reply.Headers.push_back({"Connection", "close"});
  T.Out.push_back(calls::SendReply{Exchange, std::move(Reply)});
}

} // namespace gateway

} // namespace pimento
