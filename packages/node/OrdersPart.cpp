// Orders to engines, at the leader of the control group, and the demand reports
// on which its plans are based.

#include "node/Turn.h"

#include "base/Json.h"
#include "wire/Fields.h"

namespace pimento::node {

namespace {

/// Time between two reports of a cell; a report is valid for three times as
/// long.
constexpr Duration DemandInterval = seconds(2);

/// The planning interval grows with the number of engines, which bounds the
/// planner's share of a core.
constexpr Duration MinPlanInterval = milliseconds(500);
constexpr Duration PlanIntervalPerEngine = microseconds(300);

OrderConfig orderConfig(const Settings &Config) {
  const OrderSettings &O = Config.Orders;
  OrderConfig C;
  std::uint64_t ByRate =
      O.WeightStoreRate / std::max<std::uint64_t>(1, O.EngineLoadRate);
  C.Loads = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
      O.Loads, 1, std::max<std::uint64_t>(1, ByRate)));
  C.MaxDeliveryTime = O.MaxDeliveryTime;
  C.LoadLimit = O.LoadLimit;
  C.Hold = O.HoldTime;
  C.ClockDriftPerMille = Config.Control.ClockDriftPerMille;
  return C;
}

/// The control log where this host leads and has applied all entries from
/// before its term; otherwise null.
ReplicaState *issuingLog(Turn &T) {
  auto Log = T.S.Control.Logs.find(ControlGroup);
  bool Leads = Log != T.S.Control.Logs.end() &&
               holdsLease(Log->second, T.Now) &&
               Log->second.Applied >= Log->second.TermStart;
  return Leads ? &Log->second : nullptr;
}

/// Grows with each edit of a service's document, but not with edits of the cell
/// table.
std::uint64_t documentsRevision(const NodeState &S) {
  std::uint64_t Sum = 0;
  for (const auto &Entry : S.Documents)
    Sum += Entry.second.Number;
  return Sum;
}

std::set<BackendId> enginesIgnoringFence(const NodeState &S) {
  std::set<BackendId> Ids;
  for (const auto &Entry : S.Documents)
    Ids.insert(Entry.second.IgnoresFence.begin(),
               Entry.second.IgnoresFence.end());
  return Ids;
}

std::map<ModelName, ModelDemand> demandOf(Turn &T) {
  std::map<ModelName, ModelDemand> Demand;
  auto &Reports = T.S.Control.Demand;
  for (auto It = Reports.begin(); It != Reports.end();) {
    if (T.Now - It->second.At > 3 * DemandInterval) {
      It = Reports.erase(It);
      continue;
    }
    ModelDemand &D = Demand[It->second.Content.Model];
    D.Waiting += It->second.Content.Waiting;
    D.Engines += It->second.Content.Engines;
    ++It;
  }
  return Demand;
}

void proposeOrder(Turn &T, ReplicaState &Log, const OrderProposal &P) {
  ControlState &C = T.S.Control;
  auto At = propose(Log, Blob{encodeCommand(P.Command)});
  if (At)
    C.OrderTickets[At->Index] = {P.Ticket, At->Term};
  else
    onNotProposed(C.Issuer, P.Ticket);
}

void openCall(Turn &T, OrderCall Call) {
  std::uint64_t Id = T.S.NextUpstream++;
  OrderUpstream U;
  U.Call = Call.Call;
  T.S.OrderCalls.emplace(Id, std::move(U));
  T.Out.push_back(calls::OpenUpstream{UpstreamId{Id}, std::move(Call.Request),
                                      Call.SendBy});
}

void abortCall(Turn &T, std::uint64_t Call) {
  auto &Calls = T.S.OrderCalls;
  for (auto It = Calls.begin(); It != Calls.end(); ++It) {
    if (It->second.Call != Call)
      continue;
    T.Out.push_back(calls::AbortUpstream{UpstreamId{It->first}});
    Calls.erase(It);
    return;
  }
}

void executeOrderEffects(Turn &T, ReplicaState *Log, OrderEffects Out) {
  logAll(T, std::move(Out.Decisions));
  recordAll(T, std::move(Out.Samples));
  for (std::uint64_t Call : Out.Aborts)
    abortCall(T, Call);
  for (OrderCall &Call : Out.Calls)
    openCall(T, std::move(Call));
  for (const OrderProposal &P : Out.Proposals) {
    if (Log)
      proposeOrder(T, *Log, P);
  }
}

void stop(Turn &T) {
  ControlState &C = T.S.Control;
  if (C.Issuer.Term == 0)
    return;
  OrderEffects Out;
  stopIssuing(C.Issuer, Out);
  C.OrderTickets.clear();
  executeOrderEffects(T, nullptr, std::move(Out));
}

void issue(Turn &T, ReplicaState &Log) {
  ControlState &C = T.S.Control;
  if (C.Issuer.Term != term(Log)) {
    stop(T);
    C.Issuer.Config = orderConfig(T.S.Config);
    startIssuing(C.Issuer, term(Log), C.Orders, T.Now);
  }
  WantedModels Wanted = wantedModels(T.S.Documents);
  std::vector<const BackendRecord *> Engines = allBackends(T.S.Members);
  C.Issuer.Config.PlanInterval = std::max<Duration>(
      MinPlanInterval,
      PlanIntervalPerEngine * static_cast<std::int64_t>(Engines.size()));
  std::set<BackendId> Ignores = enginesIgnoringFence(T.S);
  std::map<ModelName, ModelDemand> Demand = demandOf(T);
  OrderInput In{
      C.Orders,     Wanted,        Engines,
      Ignores,      Demand,        documentsRevision(T.S),
      wallClock(T), leaseEnd(Log), mayServe(T) && registryReady(T.S.Members)};
  OrderEffects Out;
  tickOrders(C.Issuer, In, T.Now, Out);
  executeOrderEffects(T, &Log, std::move(Out));
}

void reportDemand(Turn &T) {
  if (T.Now < T.S.NextDemand)
    return;
  T.S.NextDemand = T.Now + DemandInterval;
  for (const auto &[Id, Cell] : T.S.HeldCells) {
    CellFigures F = cellFigures(Cell);
    DemandReport R;
    R.Cell = Id;
    R.Epoch = Cell.Config.Epoch;
    R.Model = Cell.Config.Model;
    R.Waiting = F.Waiting;
    R.Engines = F.Engines;
    sendToLeader(T, ControlGroup, R);
  }
}

/// The order call of an upstream event; null where the call belongs to another
/// part.
OrderUpstream *find(NodeState &S, UpstreamId Id) {
  auto Found = S.OrderCalls.find(static_cast<std::uint64_t>(Id));
  return Found == S.OrderCalls.end() ? nullptr : &Found->second;
}

struct OnOrderEvent {
  Turn &T;

  bool operator()(const UpstreamSent &E) const {
    return find(T.S, E.Call) != nullptr;
  }
  bool operator()(const UpstreamHead &E) const {
    OrderUpstream *Call = find(T.S, E.Call);
    if (Call)
      Call->Reply.Status = E.Status;
    return Call != nullptr;
  }
  bool operator()(const UpstreamData &E) const {
    OrderUpstream *Call = find(T.S, E.Call);
    if (Call && Call->Reply.Body.size() < MaxEngineReplyBytes)
      Call->Reply.Body += E.Bytes;
    return Call != nullptr;
  }
  bool operator()(const UpstreamEnd &E) const {
    OrderUpstream *Call = find(T.S, E.Call);
    if (!Call)
      return false;
    OrderUpstream Ended = std::move(*Call);
    T.S.OrderCalls.erase(static_cast<std::uint64_t>(E.Call));
    OrderEffects Out;
    onOrderReply(T.S.Control.Issuer, Ended.Call, Ended.Reply, T.Now, Out);
    executeOrderEffects(T, nullptr, std::move(Out));
    return true;
  }
  bool operator()(const UpstreamFailed &E) const {
    OrderUpstream *Call = find(T.S, E.Call);
    if (!Call)
      return false;
    std::uint64_t Number = Call->Call;
    T.S.OrderCalls.erase(static_cast<std::uint64_t>(E.Call));
    OrderEffects Out;
    onOrderCallFailed(T.S.Control.Issuer, Number, E.Why, T.Now, Out);
    executeOrderEffects(T, nullptr, std::move(Out));
    return true;
  }
  template <class Other> bool operator()(const Other &) const { return false; }
};

} // namespace

void tickOrderPart(Turn &T) {
  reportDemand(T);
  ReplicaState *Log = issuingLog(T);
  if (!Log) {
    stop(T);
    return;
  }
  if (T.Now < T.S.NextOrderTick)
    return;
  T.S.NextOrderTick = T.Now + OrderTickInterval;
  issue(T, *Log);
}

bool orderCallEvent(Turn &T, const Event &E) {
  return std::visit(OnOrderEvent{T}, E);
}

void onDemandReport(Turn &T, const DemandReport &M) {
  auto Found = T.S.Control.Demand.find(M.Cell);
  bool Older = Found != T.S.Control.Demand.end() &&
               Found->second.Content.Epoch > M.Epoch;
  if (!Older)
    T.S.Control.Demand[M.Cell] = {M, T.Now};
}

bool applyOrderEntry(Turn &T, const LogEntry &Entry) {
  if (!isOrderCommand(Entry.Payload.Data))
    return false;
  Failure Why;
  OrderCommand Command = valueOr<OrderCommand>(
      [&] { return decodeOrderCommand(Entry.Payload.Data); }, OrderCommand(),
      Why);
  ControlState &C = T.S.Control;
  OrderOutcome Outcome = apply(C.Orders, Command);
  auto Found = C.OrderTickets.find(Entry.Index);
  if (Found == C.OrderTickets.end())
    return true;
  OrderTicket Ticket = Found->second;
  C.OrderTickets.erase(Found);
  if (Ticket.Term == Entry.Term && Ticket.Term == C.Issuer.Term)
    onCommitted(C.Issuer, Ticket.Ticket, Outcome, T.Now);
  return true;
}

std::string ordersText(const NodeState &S) {
  const ControlState &C = S.Control;
  Json Engines = Json::array();
  for (const auto &[Id, E] : C.Orders.Engines) {
    Json Line = {{"backend", Id.Value}, {"target", E.Base.Value}};
    if (E.Open)
      Line["open"] = {{"fence", E.Open->Fence},
                      {"order", toString(E.Open->Kind)},
                      {"name", E.Open->Name},
                      {"since_ms", toMilliseconds(E.Open->At)}};
    auto Issue = C.Issuer.Engines.find(Id);
    if (Issue != C.Issuer.Engines.end())
      Line["failures"] = Issue->second.Failures;
    Engines.push_back(std::move(Line));
  }
  OrderFigures F = orderFigures(C.Orders);
  return Json({{"issuing", C.Issuer.Term != 0},
               {"term", C.Issuer.Term},
               {"last_fence", C.Orders.LastFence},
               {"open", F.Open},
               {"loads", F.Loads},
               {"load_limit", orderConfig(S.Config).Loads},
               {"engines", Engines}})
      .dump();
}

} // namespace pimento::node
