// Cells that this host schedules, and its own grant requests to any cell.

#include "node/Turn.h"

namespace pimento::node {

namespace {

constexpr Duration CellTickInterval = milliseconds(20);
constexpr std::size_t MaxEarlyCells = 4096;
/// How long a new holder waits for entry hosts to register the grants that they
/// hold.
constexpr Duration RecoveryWait = milliseconds(150);

/// The cell that schedules an engine: a cell of the first offered model that
/// has a document. Each engine has one cell, so that its memory is accounted
/// for in one place only.
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

/// Adds, updates or removes an engine in one cell.
void updateEngineInCell(Turn &T, CellId Id, CellState &Cell,
                        const BackendRecord &Record) {
  CellEffects Out;
  const CellAssignment *Owner = cellOf(T.S, Record);
  if (Owner && Owner->id() == Id)
    setBackend(Cell, Record, T.Now, Out);
  else if (Cell.Engines.count(Record.Id))
    removeBackend(Cell, Record.Id, T.Now, Out);
  executeCellEffects(T, Id, std::move(Out));
}

void startHolding(Turn &T, const CellAssignment &Assigned) {
  CellId Id = Assigned.id();
  CellState &Cell = T.S.HeldCells[Id];
  Cell = startCell(cellConfig(T.S, Assigned), T.Now);
  for (const PeerSettings &Peer : T.S.Config.Peers)
    setHost(Cell, Peer.Name, Peer.DataCentre);
  for (const BackendRecord *Record : allBackends(T.S.Members))
    updateEngineInCell(T, Id, Cell, *Record);
  RegisterRequest Again;
  Again.Cell = Id;
  Again.Epoch = Assigned.Epoch;
  for (const HostId &Host : T.S.EarlySenders[Id])
    send(T, Host, Again);
  T.S.EarlySenders.erase(Id);
  DecisionRecord D;
  D.Kind = "cell_held";
  D.Reason = "the table of cells names this host";
  D.add("model", Assigned.Model.Value)
      .add("index", static_cast<std::int64_t>(Assigned.Index))
      .add("epoch", static_cast<std::int64_t>(Assigned.Epoch));
  T.Out.push_back(LogDecision{std::move(D)});
}

void stopHolding(Turn &T, CellId Id) {
  T.S.HeldCells.erase(Id);
  DecisionRecord D;
  D.Kind = "cell_dropped";
  D.Reason = "this host no longer schedules the cell in this epoch";
  D.add("cell", static_cast<std::int64_t>(Id));
  T.Out.push_back(LogDecision{std::move(D)});
}

/// Delivers an entry host's message to the cell that the message names.
template <class M, class F>
bool toCell(Turn &T, const HostId &From, const M &Content, F Function) {
  auto Found = T.S.HeldCells.find(Content.Cell);
  if (Found == T.S.HeldCells.end()) {
    // The sender's cell table and this host's differ; one of them learns of the
    // newer table soon.
    if (T.S.EarlySenders.size() < MaxEarlyCells)
      T.S.EarlySenders[Content.Cell].insert(From);
    return true;
  }
  CellEffects Out;
  Function(Found->second, Out);
  executeCellEffects(T, Content.Cell, std::move(Out));
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
    executeEntryEffects(T, std::move(Out));
    return true;
  }
  bool operator()(const Refusal &M) const {
    EntryEffects Out;
    onRefusal(T.S.Entry, From, M, T.Now, Out);
    executeEntryEffects(T, std::move(Out));
    return true;
  }
  bool operator()(const RegisterRequest &M) const {
    EntryEffects Out;
    onRegisterRequest(T.S.Entry, From, M, T.Now, Out);
    executeEntryEffects(T, std::move(Out));
    return true;
  }
  template <class Other> bool operator()(const Other &) const { return false; }
};

void onEntryAnswer(Turn &T, const EntryAnswer &Answer) {
  calls::CallsEffects Out;
  if (Answer.Result == Code::Ok) {
    onGrant(T.S.Calls, Answer.Given, T.S.CallsDirectory, T.Now, Out);
  } else {
    Refusal R;
    R.Attempt = Answer.Attempt;
    R.Reason = Answer.Result;
    R.RetryAfter = Answer.RetryAfter;
    onRefusal(T.S.Calls, R, T.S.CallsDirectory, T.Now, Out);
  }
  executeCallsEffects(T, std::move(Out));
}

} // namespace

bool scheduleMessage(Turn &T, const HostId &From, const Message &M) {
  return std::visit(ToScheduler{T, From}, M) || std::visit(ToEntry{T, From}, M);
}

/// A host that may not serve withholds its messages, because its right to hold
/// the cell may have expired. Entry hosts repeat their grant requests.
void executeCellEffects(Turn &T, CellId Id, CellEffects Out) {
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

void executeEntryEffects(Turn &T, EntryEffects Out) {
  sendAll(T, std::move(Out.Messages));
  logAll(T, std::move(Out.Decisions));
  recordAll(T, std::move(Out.Samples));
  for (const EntryAnswer &Answer : Out.Answers)
    onEntryAnswer(T, Answer);
}

/// Where a cell has no running holder, the entry host grants its own requests
/// after a delay.
void updateCellHolders(Turn &T) {
  for (const CellAssignment &Cell : T.S.Cells.Cells) {
    bool HolderRuns = isAlive(T.S.Members, Cell.Holder);
    EntryEffects Out;
    setHolder(T.S.Entry, Cell.id(), HolderRuns ? Cell.Holder : HostId(),
              Cell.Epoch, T.Now, Out);
    executeEntryEffects(T, std::move(Out));
  }
}

void applyCellTable(Turn &T) {
  std::vector<CellId> Lost;
  for (const auto &[Id, Cell] : T.S.HeldCells) {
    const CellAssignment *Now = findCell(T.S.Cells, Id);
    if (!Now || !holds(T.S, *Now) || Now->Epoch != Cell.Config.Epoch)
      Lost.push_back(Id);
  }
  for (CellId Id : Lost)
    stopHolding(T, Id);
  for (const CellAssignment &Cell : T.S.Cells.Cells) {
    if (holds(T.S, Cell) && !T.S.HeldCells.count(Cell.id()))
      startHolding(T, Cell);
  }
  updateCellHolders(T);
  for (const BackendRecord *Record : allBackends(T.S.Members))
    engineChanged(T, *Record);
}

void engineChanged(Turn &T, const BackendRecord &Record) {
  for (auto &[Id, Cell] : T.S.HeldCells)
    updateEngineInCell(T, Id, Cell, Record);
  if (const CellAssignment *Cell = cellOf(T.S, Record))
    setEngineView(T.S.Entry, Cell->id(), Record);
}

void engineLoad(Turn &T, const LoadReport &Report) {
  const BackendRecord *Record = findBackend(T.S.Members, Report.Backend);
  const CellAssignment *Cell = Record ? cellOf(T.S, *Record) : nullptr;
  if (!Cell)
    return;
  setEngineLoad(T.S.Entry, Cell->id(), Report, T.Now);
  auto Held = T.S.HeldCells.find(Cell->id());
  if (Held != T.S.HeldCells.end()) {
    CellEffects Out;
    onLoad(Held->second, Report, T.Now, Out);
    executeCellEffects(T, Cell->id(), std::move(Out));
  } else if (Cell->Holder != T.S.Self) {
    send(T, Cell->Holder, Report);
  }
}

void hostGone(Turn &T, const HostId &Host) {
  for (auto &[Id, Cell] : T.S.HeldCells) {
    CellEffects Out;
    onHostGone(Cell, Host, T.Now, Out);
    executeCellEffects(T, Id, std::move(Out));
  }
}

void releaseCells(Turn &T) {
  while (!T.S.HeldCells.empty())
    stopHolding(T, T.S.HeldCells.begin()->first);
}

void tickSchedule(Turn &T) {
  if (T.Now < T.S.NextCellTick)
    return;
  T.S.NextCellTick = T.Now + CellTickInterval;
  if (mayServe(T)) {
    for (auto &[Id, Cell] : T.S.HeldCells) {
      CellEffects Out;
      tick(Cell, T.Now, Out);
      executeCellEffects(T, Id, std::move(Out));
    }
  }
  EntryEffects Out;
  tick(T.S.Entry, T.Now, Out);
  executeEntryEffects(T, std::move(Out));
}

} // namespace pimento::node
