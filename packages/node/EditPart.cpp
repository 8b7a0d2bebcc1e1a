// Edits of documents and of the cell table, at the leader of the control group.

#include "node/Turn.h"

#include <algorithm>

namespace pimento::node {

namespace {

constexpr Duration PlanInterval = milliseconds(50);

ReplicaState *leadingLog(Turn &T) {
  auto Log = T.S.Control.Logs.find(ControlGroup);
  bool Leads = Log != T.S.Control.Logs.end() && holdsLease(Log->second, T.Now);
  return Leads ? &Log->second : nullptr;
}

void reply(Turn &T, const HostId &To, std::uint64_t Sequence, Code Result,
           std::uint64_t Number) {
  PutDocumentReply R;
  R.Sequence = Sequence;
  R.Result = Result;
  R.Number = Number;
  send(T, To, R);
}

std::optional<Proposal> proposeEdit(ReplicaState &Log,
                                    const PutDocumentCommand &Command) {
  return propose(Log, Blob{encodeCommand(Command)});
}

std::vector<CandidateHost> candidates(const NodeState &S) {
  std::vector<CandidateHost> Hosts;
  for (const PeerSettings &Peer : S.Config.Peers) {
    CandidateHost Host;
    Host.Host = Peer.Name;
    if (Peer.Name == S.Self) {
      Host.Incarnation = S.Incarnation;
      Host.MayKeepCells = Host.MayReceiveCells = S.Drain == DrainPhase::Serving;
    } else if (const HostView *View = hostView(S.Members, Peer.Name)) {
      Host.Incarnation = View->Incarnation;
      Host.MayReceiveCells = View->Status == HostStatus::Alive;
      Host.MayKeepCells = Host.MayReceiveCells;
    }
    Hosts.push_back(std::move(Host));
  }
  std::sort(Hosts.begin(), Hosts.end(),
            [](const auto &A, const auto &B) { return A.Host < B.Host; });
  return Hosts;
}

std::map<ModelName, std::size_t> enginesByModel(const NodeState &S) {
  std::map<ModelName, std::size_t> Engines;
  for (const auto &[Service, Document] : S.Documents) {
    for (const ModelEntry &Model : Document.Models)
      Engines[Model.Name] = 0;
  }
  for (const BackendRecord *Record : allBackends(S.Members)) {
    for (const ModelName &Name : Record->Models) {
      auto Found = Engines.find(Name);
      if (Found != Engines.end())
        ++Found->second;
    }
  }
  return Engines;
}

/// The newest cell table in the log, which may be newer than the one in force.
CellTable storedTable(const NodeState &S, std::uint64_t &Revision) {
  const StoredVersion *Stored =
      currentDocument(S.Control.Documents, ServiceId(CellTableService));
  if (!Stored)
    return CellTable();
  Revision = Stored->Revision;
  Failure Why;
  return valueOr<CellTable>([&] { return decodeCellTable(Stored->Text); },
                            CellTable(), Why);
}

void proposeTable(Turn &T, ReplicaState &Log, CellPlan Plan) {
  PutDocumentCommand Command;
  Command.Service = ServiceId(CellTableService);
  Command.Number = Plan.Next.Number;
  Command.Text = encodeCellTable(Plan.Next);
  Command.EditId =
      std::to_string(term(Log)) + "-" + std::to_string(Plan.Next.Number);
  Command.At = wallClock(T);
  auto At = proposeEdit(Log, Command);
  if (!At)
    return;
  T.S.Control.PlannedIndex = At->Index;
  logAll(T, std::move(Plan.Decisions));
}

} // namespace

void onPutDocument(Turn &T, const HostId &From, const PutDocument &M) {
  ReplicaState *Log = leadingLog(T);
  if (!Log || !acceptsEdits(T.S.Spread, T.Now)) {
    reply(T, From, M.Sequence, Code::NoLeader, 0);
    return;
  }
  for (const auto &[Index, Edit] : T.S.Control.Edits) {
    if (Edit.Requester == From && Edit.Sequence == M.Sequence)
      return; // A resend of an edit that is already proposed.
  }
  PutDocumentCommand Command;
  Command.Service = M.Service;
  Command.Number = M.Number;
  Command.EditId = M.EditId;
  Command.Text = M.Text.Data;
  Command.At = wallClock(T);
  auto At = proposeEdit(*Log, Command);
  if (!At) {
    reply(T, From, M.Sequence, Code::NoLeader, 0);
    return;
  }
  PendingEdit Edit;
  Edit.Requester = From;
  Edit.Sequence = M.Sequence;
  Edit.Term = At->Term;
  T.S.Control.Edits[At->Index] = Edit;
}

void applyControl(Turn &T, const LogEntry &Entry) {
  if (applyOrderEntry(T, Entry))
    return;
  Failure Why;
  PutDocumentCommand Command = valueOr<PutDocumentCommand>(
      [&] { return decodeCommand(Entry.Payload.Data); }, PutDocumentCommand(),
      Why);
  if (Command.Service.empty())
    return; // Unreadable on every replica, so all of them skip the entry.
  PutDocumentOutcome Outcome = apply(T.S.Control.Documents, Command);
  if (Entry.Index == T.S.Control.PlannedIndex)
    T.S.Control.PlannedIndex = 0;
  auto Found = T.S.Control.Edits.find(Entry.Index);
  if (Found == T.S.Control.Edits.end())
    return;
  PendingEdit &Edit = Found->second;
  if (Edit.Term == Entry.Term && Outcome.Result == Code::Ok) {
    Edit.Revision = Outcome.Revision;
    Edit.Number = Outcome.Number;
    answerAcceptedEdits(T); // A resent edit may already be accepted.
    return;
  }
  // If another leader's entry has this index, the edit's outcome is unknown.
  Code Result = Edit.Term == Entry.Term ? Outcome.Result : Code::EditUnknown;
  reply(T, Edit.Requester, Edit.Sequence, Result, Outcome.Number);
  T.S.Control.Edits.erase(Found);
}

void answerLostEdits(Turn &T, const LostRange &Lost) {
  auto &Edits = T.S.Control.Edits;
  auto It = Edits.lower_bound(Lost.First);
  while (It != Edits.end() && It->first <= Lost.Last) {
    reply(T, It->second.Requester, It->second.Sequence, Code::EditUnknown, 0);
    It = Edits.erase(It);
  }
  T.S.Control.PlannedIndex = 0;
}

void answerAcceptedEdits(Turn &T) {
  auto &Edits = T.S.Control.Edits;
  for (auto It = Edits.begin(); It != Edits.end();) {
    const PendingEdit &Edit = It->second;
    if (Edit.Revision == 0 || !isAccepted(T.S.Spread, Edit.Revision)) {
      ++It;
      continue;
    }
    reply(T, Edit.Requester, Edit.Sequence, Code::Ok, Edit.Number);
    It = Edits.erase(It);
  }
}

void planCellTable(Turn &T) {
  ReplicaState *Log = leadingLog(T);
  ControlState &C = T.S.Control;
  if (!Log || T.Now < T.S.NextPlan || C.PlannedIndex != 0 ||
      !acceptsEdits(T.S.Spread, T.Now) || !registryReady(T.S.Members))
    return;
  T.S.NextPlan = T.Now + PlanInterval;
  if (C.PlannedTerm != term(*Log)) {
    C.Planner = CellPlanner();
    C.PlannedTerm = term(*Log);
  }
  std::uint64_t Revision = 0;
  CellTable Table = storedTable(T.S, Revision);
  std::map<ModelName, std::size_t> Engines = enginesByModel(T.S);
  std::vector<CandidateHost> Hosts = candidates(T.S);
  const MembershipSettings &M = T.S.Config.Membership;
  Duration Drift = M.FreshnessBound *
                   static_cast<int>(T.S.Config.Control.ClockDriftPerMille) /
                   1000;
  CellPlanInput In{Table, Engines, Hosts,
                   Revision == 0 || isAccepted(T.S.Spread, Revision),
                   M.FreshnessBound + 2 * Drift};
  if (auto Plan = planCells(C.Planner, In, T.Now))
    proposeTable(T, *Log, std::move(*Plan));
}

} // namespace pimento::node
