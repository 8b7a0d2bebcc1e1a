#include "orders/Orders.h"

#include "orders/OrdersInternal.h"

#include <algorithm>

namespace pimento {

using namespace orders;

namespace {

/// Extends \p D so that it covers the same time on any other clock within the
/// allowed drift.
Duration withClockDrift(const OrderConfig &C, Duration D) {
  return D + D * static_cast<std::int64_t>(2 * C.ClockDriftPerMille) / 1000;
}

/// Records an unanswered send, which may still arrive.
void extendLateArrival(OrderIssuer &I, EngineIssuerState &E, TimePoint Now) {
  E.LateArrivalUntil =
      std::max(E.LateArrivalUntil,
               Now + withClockDrift(I.Config, I.Config.MaxDeliveryTime));
}

/// Ends a pending call. Returns null if \p Call is not pending.
EngineIssuerState *takeCall(OrderIssuer &I, std::uint64_t Call, bool &Order) {
  auto Found = I.Calls.find(Call);
  if (Found == I.Calls.end())
    return nullptr;
  EngineIssuerState &E = I.Engines[Found->second];
  I.Calls.erase(Found);
  Order = E.Pending.Order;
  E.Pending = PendingCall();
  return &E;
}

void failCall(OrderIssuer &I, EngineIssuerState &E, bool Order, bool BytesSent,
              TimePoint Now) {
  if (Order && BytesSent)
    extendLateArrival(I, E, Now);
  E.NextStep = Now + I.Config.PollInterval;
}

void expireCalls(IssuerTurn &T) {
  for (auto &Entry : T.I.Engines) {
    EngineIssuerState &E = Entry.second;
    if (E.Pending.Call == 0 || T.Now < E.Pending.Until)
      continue;
    T.Out.Aborts.push_back(E.Pending.Call);
    T.I.Calls.erase(E.Pending.Call);
    bool Order = E.Pending.Order;
    E.Pending = PendingCall();
    failCall(T.I, E, Order, /*BytesSent=*/true, T.Now);
  }
}

void proposeTargets(IssuerTurn &T) {
  const OrderInput &In = T.In;
  PlanInput Plan{In.Wanted,   In.Engines, In.Demand,      In.Book,
                 In.Revision, In.Wall,    T.I.Config.Hold};
  for (const TargetChange &Change :
       planTargets(T.I.Planner, Plan, T.Now, T.Out.Decisions)) {
    OrderCommand C;
    C.Kind = OrderCommandKind::Target;
    C.Backend = Change.Backend;
    C.Base = Change.To;
    C.Revision = In.Revision;
    C.Reason = Change.Reason;
    if (const EngineBook *E = findEngine(In.Book, Change.Backend))
      C.Role = E->Role;
    proposeCommand(T, std::move(C));
  }
}

void beginOrder(IssuerTurn &T, const BackendRecord &Engine,
                const NextOrder &Next) {
  EngineIssuerState &E = T.I.Engines[Engine.Id];
  OrderCommand C;
  C.Kind = OrderCommandKind::Begin;
  C.Backend = Engine.Id;
  C.Incarnation = Engine.Incarnation;
  C.Order = Next.Kind;
  C.Name = Next.Name;
  C.Floor = E.Floor;
  C.LoadLimit = T.I.Config.Loads;
  DecisionRecord D;
  D.Kind = "order";
  D.Reason = Next.Reason;
  D.add("backend", Engine.Id.Value)
      .add("order", std::string(toString(Next.Kind)))
      .add("name", Next.Name)
      .add("life", static_cast<std::int64_t>(Engine.Incarnation))
      .add("other_copies", static_cast<std::int64_t>(Next.OtherCopies))
      .add("open_loads", static_cast<std::int64_t>(openLoads(T.In.Book)))
      .add("load_limit", static_cast<std::int64_t>(T.I.Config.Loads));
  T.Out.Decisions.push_back(std::move(D));
  proposeCommand(T, std::move(C));
}

void beginOrders(IssuerTurn &T) {
  std::size_t Loads = openLoads(T.In.Book);
  for (const BackendRecord *Engine : T.In.Engines) {
    if (Engine->Kind != BackendKind::Engine ||
        Engine->Status != BackendStatus::Serving)
      continue;
    const EngineBook *Book = findEngine(T.In.Book, Engine->Id);
    auto Issue = T.I.Engines.find(Engine->Id);
    bool Busy = Issue != T.I.Engines.end() &&
                (Issue->second.Ticket != 0 || T.Now < Issue->second.NotBefore);
    if (Busy || (Book && Book->Open))
      continue;
    auto Next = nextOrder(T.I, T.In, *Engine);
    if (!Next)
      continue;
    bool Load = Next->Kind == OrderKind::Load;
    if (Load && Loads + T.I.LoadTickets.size() >= T.I.Config.Loads)
      continue; // The load has to wait until another one has ended.
    beginOrder(T, *Engine, *Next);
  }
}

/// Proposes to forget engines that have been gone for ForgetTime.
void forgetEngines(IssuerTurn &T) {
  for (const auto &[Id, E] : T.In.Book.Engines) {
    Duration Newest = std::max(E.TargetAt, E.EndedAt);
    if (E.Open || T.In.Wall < Newest + T.I.Config.ForgetTime ||
        findRecord(T.In, Id))
      continue;
    OrderCommand C;
    C.Kind = OrderCommandKind::Forget;
    C.Backend = Id;
    proposeCommand(T, std::move(C));
    T.I.Engines.erase(Id);
  }
}

void sampleFigures(IssuerTurn &T) {
  OrderFigures F = orderFigures(T.In.Book);
  T.Out.Samples.push_back({SampleKind::Gauge, "pimento_orders_open", "",
                           static_cast<double>(F.Open)});
  T.Out.Samples.push_back({SampleKind::Gauge, "pimento_order_loads", "",
                           static_cast<double>(F.Loads)});
}

} // namespace

namespace orders {

const BackendRecord *findRecord(const OrderInput &In, const BackendId &Id) {
  auto Found = std::lower_bound(
      In.Engines.begin(), In.Engines.end(), Id,
      [](const BackendRecord *R, const BackendId &Key) { return R->Id < Key; });
  bool Has = Found != In.Engines.end() && (*Found)->Id == Id;
  return Has ? *Found : nullptr;
}

bool offers(const BackendRecord &Engine, const ModelName &Name) {
  return std::find(Engine.Models.begin(), Engine.Models.end(), Name) !=
         Engine.Models.end();
}

bool ignoresFence(const OrderInput &In, const BackendRecord &Engine) {
  return !Engine.ChecksFence || In.Ignores.count(Engine.Id) > 0;
}

void proposeCommand(IssuerTurn &T, OrderCommand Command) {
  Command.At = T.In.Wall;
  std::uint64_t Ticket = T.I.NextTicket++;
  T.I.Engines[Command.Backend].Ticket = Ticket;
  T.I.Tickets[Ticket] = Command.Backend;
  if (Command.Kind == OrderCommandKind::Begin &&
      Command.Order == OrderKind::Load)
    T.I.LoadTickets.insert(Ticket);
  T.Out.Proposals.push_back({Ticket, std::move(Command)});
}

} // namespace orders

void startIssuing(OrderIssuer &I, std::uint64_t Term, const OrderBook &Book,
                  TimePoint Now) {
  I.Term = Term;
  I.Planner = PlannerState();
  I.Engines.clear();
  I.Calls.clear();
  I.Tickets.clear();
  I.LoadTickets.clear();
  I.NextPlan = Now;
  for (const auto &[Id, Engine] : Book.Engines) {
    if (Engine.Open)
      extendLateArrival(I, I.Engines[Id], Now);
  }
}

void stopIssuing(OrderIssuer &I, OrderEffects &Out) {
  for (const auto &Entry : I.Calls)
    Out.Aborts.push_back(Entry.first);
  I.Term = 0;
  I.Engines.clear();
  I.Calls.clear();
  I.Tickets.clear();
  I.LoadTickets.clear();
}

void tickOrders(OrderIssuer &I, const OrderInput &In, TimePoint Now,
                OrderEffects &Out) {
  if (I.Term == 0)
    return;
  IssuerTurn T{I, In, Now, Out};
  expireCalls(T);
  for (const auto &[Id, Engine] : In.Book.Engines) {
    if (Engine.Open)
      stepOrder(T, Id, *Engine.Open);
  }
  // Plans use only the book, so no command may be in flight.
  if (!In.MayPlan || Now < I.NextPlan || !I.Tickets.empty())
    return;
  I.NextPlan = Now + I.Config.PlanInterval;
  proposeTargets(T);
  beginOrders(T);
  forgetEngines(T);
  sampleFigures(T);
}

void onCommitted(OrderIssuer &I, std::uint64_t Ticket,
                 const OrderOutcome &Outcome, TimePoint Now) {
  auto Found = I.Tickets.find(Ticket);
  if (Found == I.Tickets.end())
    return;
  EngineIssuerState &E = I.Engines[Found->second];
  I.Tickets.erase(Found);
  bool Load = I.LoadTickets.erase(Ticket) > 0;
  E.Ticket = 0;
  E.NextStep = Now;
  if (!Outcome.Accepted)
    E.NextStep = Now + I.Config.PollInterval;
  if (!Outcome.Accepted)
    return;
  bool Replaces = E.OpenFence != 0;
  E.OpenFence = Outcome.Fence;
  if (Outcome.Fence == 0)
    return;
  Load = Load || Outcome.HoldsShare;
  E.Limit = Now + (Load ? I.Config.LoadLimit : I.Config.OrderLimit);
  // The replaced order may have taken effect meanwhile.
  E.MustReadState = Replaces;
  E.Refused = false;
  E.Answered = false;
  E.MayBeSent = false;
  E.State.reset();
}

void onNotProposed(OrderIssuer &I, std::uint64_t Ticket) {
  auto Found = I.Tickets.find(Ticket);
  if (Found == I.Tickets.end())
    return;
  I.Engines[Found->second].Ticket = 0;
  I.LoadTickets.erase(Ticket);
  I.Tickets.erase(Found);
}

void onOrderReply(OrderIssuer &I, std::uint64_t Call, const HttpReply &Reply,
                  TimePoint Now, OrderEffects &Out) {
  bool Order = false;
  EngineIssuerState *E = takeCall(I, Call, Order);
  if (!E)
    return;
  Failure Why;
  if (!Order) {
    EngineState State = valueOr<EngineState>([&] { return readState(Reply); },
                                             EngineState(), Why);
    if (State.Incarnation == 0) {
      E->NextStep = Now + I.Config.PollInterval;
      return;
    }
    E->State = std::move(State);
    E->MustReadState = false;
    E->NextStep = Now;
    return;
  }
  OrderReply Read =
      valueOr<OrderReply>([&] { return readOrder(Reply); }, OrderReply(), Why);
  E->NextStep = Now + I.Config.PollInterval;
  if (Read.State == OrderState::Done)
    E->NextStep = Now;
  if (Read.State != OrderState::Fenced) {
    E->Answered = Why.Detail.empty();
    return;
  }
  E->Refused = true;
  E->Floor = std::max(E->Floor, Read.HighestFence);
  Out.Samples.push_back(
      {SampleKind::Counter, "pimento_orders_fenced_total", "", 1});
}

void onOrderCallFailed(OrderIssuer &I, std::uint64_t Call,
                       const UpstreamFailure &Why, TimePoint Now,
                       OrderEffects &Out) {
  (void)Out;
  bool Order = false;
  if (EngineIssuerState *E = takeCall(I, Call, Order))
    failCall(I, *E, Order, Why.BytesSent, Now);
}

OrderFigures orderFigures(const OrderBook &B) {
  OrderFigures F;
  for (const auto &Entry : B.Engines)
    F.Open += Entry.second.Open ? 1 : 0;
  F.Loads = openLoads(B);
  return F;
}

} // namespace pimento
