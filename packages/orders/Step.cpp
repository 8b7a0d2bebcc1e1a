// Advances one open order: sends it, reads the engine's state back and records
// the outcome in the book.

#include "orders/OrdersInternal.h"

#include <algorithm>

namespace pimento::orders {

namespace {

bool contains(const std::vector<ModelName> &Models, const std::string &Name) {
  return std::find(Models.begin(), Models.end(), ModelName(Name)) !=
         Models.end();
}

/// Returns true if the state shows the order's effect.
bool isDone(const OpenOrder &Open, const EngineState &State) {
  switch (Open.Kind) {
  case OrderKind::Load:
    return contains(State.Models, Open.Name);
  case OrderKind::Unload:
    return !contains(State.Models, Open.Name) &&
           State.Loading.Value != Open.Name;
  case OrderKind::Role:
    return State.Role == Open.Name;
  }
  return false;
}

Duration limitOf(const OrderConfig &C, const OpenOrder &Open) {
  bool Load = Open.Kind == OrderKind::Load || Open.HoldsShare;
  return Load ? C.LoadLimit : C.OrderLimit;
}

/// One step of an engine's open order.
struct Step {
  IssuerTurn &T;
  const BackendId &Id;
  const OpenOrder &Open;
  EngineIssuerState &E;

  void adoptOrder();
  void updateAbsence(bool Here);
  void run();
  bool waits(const BackendRecord *Record) const;
  void judge(const BackendRecord &Record);
  void send(const BackendRecord &Record);
  void read(const BackendRecord &Record);
  void call(std::uint64_t Fence, UpstreamRequest Request);
  void overdue(const BackendRecord &Record);
  void replace(OrderKind Kind, const std::string &Name, const char *Why);
  void abandonOrder(const BackendRecord &Record, const char *Why);
  bool isObsolete(const BackendRecord &Record) const;
  void close(OrderEnd Result, IncarnationNumber Incarnation,
             bool Protected = false);
};

/// Adopts an order of an earlier leader, whose sends may still arrive.
void Step::adoptOrder() {
  if (E.OpenFence == Open.Fence)
    return;
  Duration Age = std::max(Duration::zero(), T.In.Wall - Open.At);
  E.OpenFence = Open.Fence;
  const OrderConfig &C = T.I.Config;
  E.Limit = T.Now + std::max(Duration::zero(), limitOf(C, Open) - Age);
  // A load past its deadline is undone. Any other order gets time to be sent.
  if (Open.Kind != OrderKind::Load)
    E.Limit = std::max(E.Limit, E.LateArrivalUntil + C.OrderLimit);
  E.MustReadState = true;
  E.Refused = false;
  E.Answered = false;
  E.MayBeSent = true;
  E.State.reset();
  DecisionRecord D;
  D.Kind = "order_taken_up";
  D.Reason = "the order was issued by an earlier leader";
  D.add("backend", Id.Value)
      .add("fence", static_cast<std::int64_t>(Open.Fence))
      .add("order", std::string(toString(Open.Kind)))
      .add("name", Open.Name)
      .add("age_ms", toMilliseconds(Age))
      .add("quiet_ms", toMilliseconds(E.LateArrivalUntil - T.Now));
  T.Out.Decisions.push_back(std::move(D));
}

/// Returns true if nothing may be sent yet. An engine that ignores fencing
/// numbers is sent nothing while an earlier send may still arrive.
bool Step::waits(const BackendRecord *Record) const {
  if (E.Ticket != 0 || E.Pending.Call != 0 || T.Now < E.NextStep)
    return true;
  bool Ignores = Record && ignoresFence(T.In, *Record);
  return Ignores && T.Now < E.LateArrivalUntil;
}

/// Tracks how long the engine has been missing from the registry. An engine
/// that returns gets time to report its state.
void Step::updateAbsence(bool Here) {
  if (!Here) {
    E.AwaySince = std::min(E.AwaySince, T.Now);
    return;
  }
  if (E.AwaySince != TimePoint::max())
    E.Limit = std::max(E.Limit, T.Now + T.I.Config.OrderLimit);
  E.AwaySince = TimePoint::max();
}

void Step::run() {
  const BackendRecord *Record = findRecord(T.In, Id);
  adoptOrder();
  updateAbsence(Record != nullptr);
  if (waits(Record))
    return;
  if (!Record) {
    // The engine may still be loading, for as long as the limit of a load.
    if (T.Now - E.AwaySince >= limitOf(T.I.Config, Open))
      close(OrderEnd::Gone, Open.Incarnation);
    return;
  }
  Duration Grace = 2 * T.I.Config.CallTime;
  if (!E.State && T.Now >= std::max(E.Limit, E.LateArrivalUntil) + Grace)
    overdue(*Record); // The engine's state cannot be read.
  else if (E.MustReadState)
    read(*Record);
  else if (E.State)
    judge(*Record);
  else
    send(*Record);
}

/// Decides by a state that was read after the last send. An engine that checks
/// fencing numbers must have seen this order's number, so that no earlier order
/// can take effect afterwards.
void Step::judge(const BackendRecord &Record) {
  const EngineState &State = *E.State;
  bool Checks = !ignoresFence(T.In, Record);
  bool Seen = !Checks || E.Answered || State.Fence >= Open.Fence;
  bool Late = T.Now >= E.Limit;
  bool UnderWay =
      Open.Kind == OrderKind::Load && State.Loading.Value == Open.Name;
  if (isDone(Open, State) && (Seen || Late)) {
    close(Open.HoldsShare ? OrderEnd::Undone : OrderEnd::Done,
          State.Incarnation, Checks && Seen);
  } else if (Open.HoldsShare && contains(State.Models, Open.Name)) {
    abandonOrder(Record, "the load completed before it was undone");
  } else if (Late) {
    overdue(Record);
  } else if (isObsolete(Record)) {
    replace(OrderKind::Unload, Open.Name,
            "the engine's target no longer includes the model");
  } else if (UnderWay) {
    E.MustReadState = true;
    E.State.reset();
    E.NextStep = T.Now + T.I.Config.PollInterval;
  } else if (State.Incarnation != Open.Incarnation) {
    close(OrderEnd::Restarted, State.Incarnation);
  } else if (E.Refused) {
    close(OrderEnd::Fenced, State.Incarnation, Checks);
  } else {
    send(Record);
  }
}

void Step::overdue(const BackendRecord &Record) {
  bool Load = Open.Kind == OrderKind::Load;
  if (Load && offers(Record, ModelName(Open.Name)))
    close(OrderEnd::Done, Record.Incarnation); // The registry lists the model.
  else if (Load)
    replace(OrderKind::Unload, Open.Name, "the load exceeded its time limit");
  else
    close(OrderEnd::Failed, Open.Incarnation);
}

/// Returns true for a load that the current target no longer wants.
bool Step::isObsolete(const BackendRecord &Record) const {
  return Open.Kind == OrderKind::Load && T.In.MayPlan &&
         !wantedHere(T.In, Record, ModelName(Open.Name));
}

/// Sends the order. An unload is abandoned if the other copies have been lost
/// since the order began.
void Step::send(const BackendRecord &Record) {
  if (Open.Kind == OrderKind::Unload && !Open.HoldsShare &&
      !mayUnload(T.I, T.In, Record, ModelName(Open.Name))) {
    abandonOrder(Record, "no other copy of the model is certain");
    return;
  }
  E.State.reset();
  E.Refused = false;
  E.MustReadState = true;
  E.MayBeSent = true;
  DecisionRecord D;
  D.Kind = "order_sent";
  D.Reason = toString(Open.Kind);
  D.add("backend", Id.Value)
      .add("name", Open.Name)
      .add("fence", static_cast<std::int64_t>(Open.Fence))
      .add("life", static_cast<std::int64_t>(Open.Incarnation))
      .add("term", static_cast<std::int64_t>(T.I.Term))
      .add("checks_fence", !ignoresFence(T.In, Record));
  T.Out.Decisions.push_back(std::move(D));
  EngineOrder Order{Open.Fence, Open.Kind, Open.Name};
  call(Open.Fence, orderRequest(Record.Address, Order));
}

void Step::read(const BackendRecord &Record) {
  call(0, stateRequest(Record.Address));
}

void Step::call(std::uint64_t Fence, UpstreamRequest Request) {
  const OrderConfig &C = T.I.Config;
  OrderCall Call;
  Call.Call = T.I.NextCall++;
  Call.Backend = Id;
  Call.Fence = Fence;
  Call.Request = std::move(Request);
  Call.SendBy = std::min(T.In.LeaseEnd, T.Now + C.SendTime);
  E.Pending = {Call.Call, Fence != 0, T.Now + C.CallTime};
  T.I.Calls[Call.Call] = Id;
  T.Out.Calls.push_back(std::move(Call));
}

/// Abandons an unload, so that the engine keeps the model. If an earlier send
/// may still arrive, replaces the order by one that changes nothing: its higher
/// fencing number blocks the earlier send.
void Step::abandonOrder(const BackendRecord &Record, const char *Why) {
  bool Checks = !ignoresFence(T.In, Record);
  if (E.MayBeSent && Checks && E.State && !E.State->Role.empty())
    replace(OrderKind::Role, E.State->Role, Why);
  else
    close(OrderEnd::Failed, E.State ? E.State->Incarnation : Open.Incarnation);
}

/// Replaces the open order. The share of the load limit that a load takes is
/// freed only when the new order has ended.
void Step::replace(OrderKind Kind, const std::string &Name, const char *Why) {
  OrderCommand C;
  C.Kind = OrderCommandKind::Begin;
  C.Backend = Id;
  C.Incarnation = Open.Incarnation;
  C.Order = Kind;
  C.Name = Name;
  C.Replaces = Open.Fence;
  C.Floor = E.Floor;
  DecisionRecord D;
  D.Kind = "order_replaced";
  D.Reason = Why;
  D.add("backend", Id.Value)
      .add("name", Open.Name)
      .add("fence", static_cast<std::int64_t>(Open.Fence))
      .add("order", std::string(toString(Open.Kind)))
      .add("limit_ms", toMilliseconds(limitOf(T.I.Config, Open)));
  T.Out.Decisions.push_back(std::move(D));
  proposeCommand(T, std::move(C));
}

/// Records the end of the order. Unless the fencing number blocks late sends
/// (\p Protected), this waits until no send can arrive any more, and then reads
/// the state again.
void Step::close(OrderEnd Result, IncarnationNumber Incarnation,
                 bool Protected) {
  if (T.Now < E.LateArrivalUntil && !Protected) {
    E.NextStep = E.LateArrivalUntil;
    E.MustReadState = true;
    E.State.reset();
    return;
  }
  OrderCommand C;
  C.Kind = OrderCommandKind::End;
  C.Backend = Id;
  C.Incarnation = Incarnation;
  C.Fence = Open.Fence;
  C.Result = Result;
  bool Succeeded = Result == OrderEnd::Done;
  const OrderConfig &Config = T.I.Config;
  E.Failures = Succeeded ? 0 : std::min(E.Failures + 1, 16U);
  if (!Succeeded)
    E.NotBefore = T.Now + std::min(Config.BackoffLimit,
                                   Config.BackoffBase * (1U << E.Failures));
  DecisionRecord D;
  D.Kind = "order_ended";
  D.Reason = toString(Result);
  D.add("backend", Id.Value)
      .add("order", std::string(toString(Open.Kind)))
      .add("name", Open.Name)
      .add("fence", static_cast<std::int64_t>(Open.Fence))
      .add("age_ms", toMilliseconds(T.In.Wall - Open.At))
      .add("failures", static_cast<std::int64_t>(E.Failures));
  T.Out.Decisions.push_back(std::move(D));
  T.Out.Samples.push_back({SampleKind::Counter, "pimento_orders_total",
                           std::string("result=\"") + toString(Result) + "\"",
                           1});
  proposeCommand(T, std::move(C));
}

} // namespace

void stepOrder(IssuerTurn &T, const BackendId &Id, const OpenOrder &Open) {
  Step{T, Id, Open, T.I.Engines[Id]}.run();
}

} // namespace pimento::orders
