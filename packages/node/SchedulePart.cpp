// Cells that this host schedules, and its own asks to any cell.

#include "node/Turn.h"

namespace pimento::node {

namespace {

constexpr Duration CellTickInterval = milliseconds(20);
/// A new holder waits so long for entry hosts to register what they hold.
constexpr std::size_t MaxEarlyCells = 4096;
constexpr Duration RecoveryWait = milliseconds(150);

/// The cell that schedules an engine: of the first model with a document that
/// it offers, so that one ledger alone counts its memory.
const CellAssignment *cellOf(const NodeState &S, const BackendRecord &Record) {
  for (const ModelName &Name : Record.Models) {
    auto Base = S.BaseModels.find(Name);
    if (Base == S.BaseModels.end())
      continue;
    return cellOfEngine(S.Cells, Base->second, Record.Id);
  }
  return nullptr;
}

bool holds(const NodeState &S, const CellAssignment &Cell) {
  return Cell.Holder == S.Self && Cell.Incarnation == S.Incarnation &&
         S.Drain == DrainPhase::Serving;
}

CellConfig cellConfig(const NodeState &S, const CellAssignment &Cell) {
  CellConfig C;
  C.Cell = Cell.id();
  C.Model = Cell.Model;
  C.Epoch = Cell.Epoch;
  C.Seed = S.Incarnation + Cell.Epoch;
  bool First = Cell.Epoch <= 1;
  C.RecoveryWait = First ? Duration::zero() : RecoveryWait;
  C.GrantLease = S.Config.Schedule.GrantLease;
  C.QueueLength = S.Config.Schedule.QueueLength;
  C.AccountQueueLength = S.Config.Schedule.AccountQueueLength;
  C.PrefixIndexBytes = S.Config.Schedule.PrefixIndexBytes;
  return C;
}

/// Tells one cell of one engine, or that the engine is none of its own.
void placeEngine(Turn &T, CellId Id, CellState &Cell,
                 const BackendRecord &Record) {
  CellEffects Out;
  const CellAssignment *Owner = cellOf(T.S, Record);
  if (Owner && Owner->id() == Id)
    setBackend(Cell, Record, T.Now, Out);
  else if (Cell.Engines.count(Record.Id))
    removeBackend(Cell, Record.Id, T.Now, Out);
  takeCell(T, Id, std::move(Out));
}

void startHolding(Turn &T, const CellAssignment &Assigned) {
  CellId Id = Assigned.id();
  CellState &Cell = T.S.Held[Id];
  Cell = startCell(cellConfig(T.S, Assigned), T.Now);
  for (const PeerSettings &Peer : T.S.Config.Peers)
    setHost(Cell, Peer.Name, Peer.DataCentre);
  for (const BackendRecord *Record : allBackends(T.S.Members))
    placeEngine(T, Id, Cell, *Record);
  RegisterRequest Again;
  Again.Cell = Id;
  Again.Epoch = Assigned.Epoch;
  for (const HostId &Host : T.S.Early[Id])
    send(T, Host, Again);
  T.S.Early.erase(Id);
  DecisionRecord D;
  D.Kind = "cell_held";
  D.Reason = "the table of cells names this host";
  D.add("model", Assigned.Model.Value)
      .add("index", static_cast<std::int64_t>(Assigned.Index))
      .add("epoch", static_cast<std::int64_t>(Assigned.Epoch));
  T.Out.push_back(LogDecision{std::move(D)});
}

void stopHolding(Turn &T, CellId Id) {
  T.S.Held.erase(Id);
  DecisionRecord D;
  D.Kind = "cell_dropped";
  D.Reason = "the table of cells names another host";
  D.add("cell", static_cast<std::int64_t>(Id));
  T.Out.push_back(LogDecision{std::move(D)});
}

/// A message of an entry host to the cell that it names.
template <class M, class F>
bool toCell(Turn &T, const HostId &From, const M &Content, F Function) {
  auto Found = T.S.Held.find(Content.Cell);
  if (Found == T.S.Held.end()) {
    // Either the sender learns of the new holder soon, or this host will.
    if (T.S.Early.size() < MaxEarlyCells)
      T.S.Early[Content.Cell].insert(From);
    return true;
  }
  CellEffects Out;
  Function(Found->second, Out);
  takeCell(T, Content.Cell, std::move(Out));
  return true;
}

/// Messages to the scheduler of a cell.
struct ToScheduler {
  Turn &T;
  const HostId &From;

  bool operator()(const GrantRequest &M) const {
    return toCell(T, From, M, [&](CellState &C, CellEffects &Out) {
      onGrantRequest(C, From, M, T.Now, Out);
    });
  }
  bool operator()(const Release &M) const {
    return toCell(T, From, M, [&](CellState &C, CellEffects &Out) {
      onRelease(C, From, M, T.Now, Out);
    });
  }
  bool operator()(const Withdraw &M) const {
    return toCell(T, From, M, [&](CellState &C, CellEffects &Out) {
      onWithdraw(C, From, M, T.Now, Out);
    });
  }
  bool operator()(const RenewGrants &M) const {
    return toCell(T, From, M, [&](CellState &C, CellEffects &Out) {
      onRenew(C, From, M, T.Now, Out);
    });
  }
  bool operator()(const Register &M) const {
    return toCell(T, From, M, [&](CellState &C, CellEffects &Out) {
      onRegister(C, From, M, T.Now, Out);
    });
  }
  bool operator()(const Progress &M) const {
    return toCell(T, From, M, [&](CellState &C, CellEffects &Out) {
      onProgress(C, From, M, T.Now, Out);
    });
  }
  bool operator()(const LoadReport &M) const {
    engineLoad(T, M);
    return true;
  }
  template <class Other> bool operator()(const Other &) const { return false; }
};

/// Messages to an entry host.
struct ToEntry {
  Turn &T;
  const HostId &From;

  bool operator()(const Grant &M) const {
    EntryEffects Out;
    onGrant(T.S.Entry, From, M, T.Now, Out);
    takeEntry(T, std::move(Out));
    return true;
  }
  bool operator()(const Refusal &M) const {
    EntryEffects Out;
    onRefusal(T.S.Entry, From, M, T.Now, Out);
    takeEntry(T, std::move(Out));
    return true;
  }
  bool operator()(const RegisterRequest &M) const {
    EntryEffects Out;
    onRegisterRequest(T.S.Entry, From, M, T.Now, Out);
    takeEntry(T, std::move(Out));
    return true;
  }
  template <class Other> bool operator()(const Other &) const { return false; }
};

void takeAnswer(Turn &T, const EntryAnswer &Answer) {
  calls::CallsEffects Out;
  if (Answer.Result == Code::Ok) {
    onGrant(T.S.Calls, Answer.Given, T.S.Known, T.Now, Out);
  } else {
    Refusal R;
    R.Attempt = Answer.Attempt;
    R.Reason = Answer.Result;
    R.RetryAfter = Answer.RetryAfter;
    onRefusal(T.S.Calls, R, T.S.Known, T.Now, Out);
  }
  takeCalls(T, std::move(Out));
}

} // namespace

bool scheduleMessage(Turn &T, const HostId &From, const Message &M) {
  return std::visit(ToScheduler{T, From}, M) || std::visit(ToEntry{T, From}, M);
}

/// A host that may not serve holds its grants back: its lease may be over.
/// Entry hosts ask again.
void takeCell(Turn &T, CellId Id, CellEffects Out) {
  logAll(T, std::move(Out.Decisions));
  recordAll(T, std::move(Out.Samples));
  if (!mayServe(T))
    return;
  sendAll(T, std::move(Out.Messages));
  for (const CancelOrder &Order : Out.Cancels)
    startCancel(T, Id, Order);
  for (const BackendId &Engine : Out.Sweeps)
    startSweep(T, Id, Engine);
}

void takeEntry(Turn &T, EntryEffects Out) {
  sendAll(T, std::move(Out.Messages));
  logAll(T, std::move(Out.Decisions));
  recordAll(T, std::move(Out.Samples));
  for (const EntryAnswer &Answer : Out.Answers)
    takeAnswer(T, Answer);
}

/// An entry host without a living holder places its asks itself after a while.
void followHolders(Turn &T) {
  for (const CellAssignment &Cell : T.S.Cells.Cells) {
    bool Lives = isAlive(T.S.Members, Cell.Holder);
    EntryEffects Out;
    setHolder(T.S.Entry, Cell.id(), Lives ? Cell.Holder : HostId(), Cell.Epoch,
              T.Now, Out);
    takeEntry(T, std::move(Out));
  }
}

void adoptCells(Turn &T) {
  std::vector<CellId> Lost;
  for (const auto &[Id, Cell] : T.S.Held) {
    const CellAssignment *Now = findCell(T.S.Cells, Id);
    if (!Now || !holds(T.S, *Now) || Now->Epoch != Cell.Config.Epoch)
      Lost.push_back(Id);
  }
  for (CellId Id : Lost)
    stopHolding(T, Id);
  for (const CellAssignment &Cell : T.S.Cells.Cells) {
    if (holds(T.S, Cell) && !T.S.Held.count(Cell.id()))
      startHolding(T, Cell);
  }
  followHolders(T);
  for (const BackendRecord *Record : allBackends(T.S.Members))
    engineChanged(T, *Record);
}

void engineChanged(Turn &T, const BackendRecord &Record) {
  for (auto &[Id, Cell] : T.S.Held)
    placeEngine(T, Id, Cell, Record);
  if (const CellAssignment *Cell = cellOf(T.S, Record))
    setEngineView(T.S.Entry, Cell->id(), Record);
}

void engineLoad(Turn &T, const LoadReport &Report) {
  const BackendRecord *Record = findBackend(T.S.Members, Report.Backend);
  const CellAssignment *Cell = Record ? cellOf(T.S, *Record) : nullptr;
  if (!Cell)
    return;
  setEngineLoad(T.S.Entry, Cell->id(), Report, T.Now);
  auto Held = T.S.Held.find(Cell->id());
  if (Held != T.S.Held.end()) {
    CellEffects Out;
    onLoad(Held->second, Report, T.Now, Out);
    takeCell(T, Cell->id(), std::move(Out));
  } else if (Cell->Holder != T.S.Self) {
    send(T, Cell->Holder, Report);
  }
}

void hostGone(Turn &T, const HostId &Host) {
  for (auto &[Id, Cell] : T.S.Held) {
    CellEffects Out;
    onHostGone(Cell, Host, T.Now, Out);
    takeCell(T, Id, std::move(Out));
  }
}

void dropCells(Turn &T) {
  while (!T.S.Held.empty())
    stopHolding(T, T.S.Held.begin()->first);
}

void tickSchedule(Turn &T) {
  if (T.Now < T.S.NextCellTick)
    return;
  T.S.NextCellTick = T.Now + CellTickInterval;
  if (mayServe(T)) {
    for (auto &[Id, Cell] : T.S.Held) {
      CellEffects Out;
      tick(Cell, T.Now, Out);
      takeCell(T, Id, std::move(Out));
    }
  }
  EntryEffects Out;
  tick(T.S.Entry, T.Now, Out);
  takeEntry(T, std::move(Out));
}

} // namespace pimento::node
