// Calls of a cell's scheduler to engines: cancels, and sweeps, which read what
// an engine holds in memory.

#include "node/Turn.h"

#include "engine/Adapter.h"
#include "engine/Replies.h"

namespace pimento::node {

namespace {

constexpr Duration EngineCallTimeout = seconds(2);

void start(Turn &T, EngineCall Call, UpstreamRequest Request) {
  std::uint64_t Id = T.S.NextUpstream++;
  Call.Until = T.Now + EngineCallTimeout;
  T.S.EngineCalls.emplace(Id, std::move(Call));
  T.Out.push_back(calls::OpenUpstream{UpstreamId{Id}, std::move(Request), {}});
}

HeldKind kindOf(HoldKind K) {
  switch (K) {
  case HoldKind::Attempt:
    return HeldKind::Attempt;
  case HoldKind::Reservation:
    return HeldKind::Reservation;
  case HoldKind::Export:
    break;
  }
  return HeldKind::Export;
}

HeldMemory heldOf(const EngineHold &Hold) {
  HeldMemory Held;
  Held.Kind = kindOf(Hold.Kind);
  Held.Tokens = Hold.Tokens;
  Held.Age = Hold.Age;
  if (Held.Kind == HeldKind::Export)
    Held.ExportHandle = Hold.Id;
  else
    parseAttemptId(Hold.Id, Held.Attempt);
  return Held;
}

void applyMemoryReport(Turn &T, const EngineCall &Call, CellState &Cell) {
  HttpReply Reply;
  Reply.Status = Call.Status;
  Reply.Body = Call.Body;
  Failure Why;
  EngineMemory Memory = valueOr<EngineMemory>([&] { return readMemory(Reply); },
                                              EngineMemory(), Why);
  if (Memory.Incarnation == 0)
    return; // Unreadable reply; the next sweep repeats the request.
  std::vector<HeldMemory> Held;
  for (const EngineHold &Hold : Memory.Held)
    Held.push_back(heldOf(Hold));
  CellEffects Out;
  onMemoryReport(Cell, Call.Backend, Memory.Incarnation, Held, T.Now, Out);
  executeCellEffects(T, Call.Cell, std::move(Out));
}

void finish(Turn &T, const EngineCall &Call) {
  auto Held = T.S.HeldCells.find(Call.Cell);
  if (Held == T.S.HeldCells.end())
    return;
  if (Call.Sweep) {
    applyMemoryReport(T, Call, Held->second);
    return;
  }
  if (!confirmsFreed(Call.Status))
    return; // Not confirmed; the scheduler repeats the cancel.
  CellEffects Out;
  onCancelled(Held->second, Call.Order, T.Now, Out);
  executeCellEffects(T, Call.Cell, std::move(Out));
}

/// The engine call of an upstream event; null where the call belongs to another
/// part.
EngineCall *find(NodeState &S, UpstreamId Id) {
  auto Found = S.EngineCalls.find(static_cast<std::uint64_t>(Id));
  return Found == S.EngineCalls.end() ? nullptr : &Found->second;
}

struct OnEvent {
  Turn &T;

  bool operator()(const UpstreamSent &E) const {
    return find(T.S, E.Call) != nullptr;
  }
  bool operator()(const UpstreamHead &E) const {
    EngineCall *Call = find(T.S, E.Call);
    if (Call)
      Call->Status = E.Status;
    return Call != nullptr;
  }
  bool operator()(const UpstreamData &E) const {
    EngineCall *Call = find(T.S, E.Call);
    if (Call && Call->Body.size() < MaxEngineReplyBytes)
      Call->Body += E.Bytes;
    return Call != nullptr;
  }
  bool operator()(const UpstreamEnd &E) const {
    EngineCall *Call = find(T.S, E.Call);
    if (!Call)
      return false;
    EngineCall Ended = std::move(*Call);
    T.S.EngineCalls.erase(static_cast<std::uint64_t>(E.Call));
    finish(T, Ended);
    return true;
  }
  bool operator()(const UpstreamFailed &E) const {
    return T.S.EngineCalls.erase(static_cast<std::uint64_t>(E.Call)) > 0;
  }
  template <class Other> bool operator()(const Other &) const { return false; }
};

} // namespace

void startCancel(Turn &T, CellId Cell, const CancelOrder &Order) {
  const BackendRecord *Record = findBackend(T.S.Members, Order.Backend);
  if (!Record)
    return;
  EngineCall Call;
  Call.Cell = Cell;
  Call.Order = Order;
  Call.Backend = Order.Backend;
  start(T, std::move(Call),
        Order.ExportHandle.empty()
            ? cancelRequest(Record->Address, Order.Attempt)
            : dropExportRequest(Record->Address, Order.ExportHandle));
}

void startSweep(Turn &T, CellId Cell, const BackendId &Engine) {
  const BackendRecord *Record = findBackend(T.S.Members, Engine);
  if (!Record)
    return;
  EngineCall Call;
  Call.Cell = Cell;
  Call.Sweep = true;
  Call.Backend = Engine;
  start(T, std::move(Call), memoryRequest(Record->Address));
}

bool engineCallEvent(Turn &T, const Event &E) {
  return std::visit(OnEvent{T}, E);
}

void tickEngineCalls(Turn &T) {
  for (auto It = T.S.EngineCalls.begin(); It != T.S.EngineCalls.end();) {
    if (T.Now < It->second.Until) {
      ++It;
      continue;
    }
    T.Out.push_back(calls::AbortUpstream{UpstreamId{It->first}});
    It = T.S.EngineCalls.erase(It);
  }
}

} // namespace pimento::node
