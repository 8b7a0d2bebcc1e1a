//===- Node.h - The one reducer of a host -----------------------*- C++ -*-===//
//
//   NodeState S = makeNode(Start, Now);
//   for (Effect &E : reduce(S, Event, Now)) ...
//
// A host is a deterministic state machine: reduce() has no access to a clock,
// socket, disk or random device. Each part keeps its own state; this package
// connects the parts. Terms:
//
//   cell     a group of engines of one model, scheduled by one host
//   grant    the engines that a cell's scheduler assigns to one request
//   claim    a replicated record that lets a request run at most once
//   document the configuration of one service, replicated and versioned
//   order    a command to an engine: load or unload a model, change its role
//
//   MembershipPart   hosts and backend servers
//   ControlPart      replicated logs: documents, cells, claims
//   DocumentPart     dissemination of documents, and state derived from them
//   SchedulePart     cells held here, and this host's grant requests to cells
//   EnginePart       cancels and memory sweeps at engines
//   OrdersPart       orders to engines
//   CallsPart        callers' requests
//   OperatorPart     operators' requests
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Settings.h"
#include "calls/Calls.h"
#include "calls/ClaimLeader.h"
#include "document/Document.h"
#include "document/Spread.h"
#include "membership/Membership.h"
#include "node/Cells.h"
#include "node/Events.h"
#include "orders/Orders.h"
#include "replica/Replica.h"
#include "schedule/Cell.h"
#include "schedule/Entry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimento {

/// The replicated log of documents and cells. Claim partitions have the group
/// numbers after it.
constexpr GroupId ControlGroup = 0;

/// Inputs that the process gathers before its first event.
struct NodeStart {
  Settings Config;
  IncarnationNumber Incarnation = 0;     // Incarnation of this process.
  std::uint64_t Seed = 1;                // Seeds every random generator.
  Duration WallClock = Duration::zero(); // Time since 1970 at the start.

  // Set only on hosts with a data folder.
  IncarnationNumber DiskIncarnation = 0; // Zero: no disk.
  DiskStart Start = 0;
  std::map<GroupId, Recovered> Found; // Logs recovered from the disk.
};

/// An edit that this leader proposed and has not replied to.
struct PendingEdit {
  HostId Requester;           // Host that the operator connected to.
  std::uint64_t Sequence = 0; // The requester's sequence number.
  std::uint64_t Term = 0;     // Term in which the edit was proposed.
  std::uint64_t Revision = 0; // Zero: not applied yet.
  std::uint64_t Number = 0;   // The document's number, once applied.
};

/// One claim partition at a voter.
struct ClaimPartition {
  calls::ClaimsState Applied;
  calls::ClaimLeader Leader;
  // Tickets of the proposed entries, by log index.
  std::map<std::uint64_t, std::uint64_t> Tickets;
};

/// A proposed command on orders in the control log.
struct OrderTicket {
  std::uint64_t Ticket = 0; // The issuer's number for the command.
  std::uint64_t Term = 0;   // Term in which the command was proposed.
};

/// The newest demand report of one cell.
struct LatestDemand {
  DemandReport Content;
  TimePoint At;
};

/// State of the replicated logs. A host without a disk has no logs.
struct ControlState {
  std::map<GroupId, ReplicaState> Logs;
  Store Documents;
  std::map<GroupId, ClaimPartition> Claims;
  std::map<std::uint64_t, PendingEdit> Edits; // By log index.
  CellPlanner Planner;
  std::uint64_t PlannedTerm = 0; // Term that Planner belongs to.
  // Log index of the proposed edit of the cell table; zero: none in flight.
  std::uint64_t PlannedIndex = 0;
  std::map<GroupId, std::size_t> NextVoter; // Voter to try next, by group.
  OrderBook Orders;
  OrderIssuer Issuer; // Active while this host leads.
  std::map<std::uint64_t, OrderTicket> OrderTickets; // By log index.
  std::map<CellId, LatestDemand> Demand;             // Used by the leader only.
};

/// An outstanding upstream call of the scheduler of a cell.
struct EngineCall {
  CellId Cell{};
  bool Sweep = false; // The call reads the engine's memory; else it cancels.
  CancelOrder Order;  // Set for a cancel.
  BackendId Backend;
  int Status = 0;
  std::string Body;
  TimePoint Until; // Deadline; the call is aborted then.
};

/// An outstanding upstream call of the issuer of orders.
struct OrderUpstream {
  std::uint64_t Call = 0; // The issuer's number of the call.
  HttpReply Reply;
};

enum class OperatorWaitKind : std::uint8_t { Edit, History, InForce };

/// An operator's request that waits for replies of other hosts.
struct OperatorWait {
  OperatorWaitKind Kind = OperatorWaitKind::Edit;
  ExchangeId Exchange{};
  ServiceId Service;
  TimePoint NextSend; // Next send to the leader, or to a voter.
  TimePoint Until;    // Deadline of the reply to the operator.

  // The next three fields are used for edits only.
  PutDocument Edit;
  std::uint32_t Sends = 0;
  std::uint32_t Refusals = 0; // Replies that no leader accepts edits.

  std::uint64_t Query = 0; // Number of the query; used for InForce only.
  std::optional<InForceAnswer> Answer;
  std::optional<HistoryReply> History;
};

enum class DrainPhase : std::uint8_t {
  Serving,
  Unready,  // Not ready for the load balancer; requests are still accepted.
  Refusing, // New requests are refused; requests in progress continue.
  Stopped,  // Sends remaining messages before the process exits.
};

struct NodeState {
  Settings Config;
  HostId Self;
  IncarnationNumber Incarnation = 0;
  TimePoint Started;
  Duration WallClock = Duration::zero(); // Time since 1970 at Started.

  MembershipState Members;
  ControlState Control;
  SpreadState Spread;

  // Derived from the documents in force on this host.
  std::map<ServiceId, ServiceDocument> Documents;
  std::map<ModelName, ModelName> BaseModels; // Adapter or version to model.
  CellTable Cells;
  calls::Directory CallsDirectory; // Used to check callers' requests.

  // Scheduling.
  std::map<CellId, CellState> HeldCells; // Cells that this host schedules.
  // Hosts that sent messages for cells that this host does not hold yet.
  std::map<CellId, std::set<HostId>> EarlySenders;
  EntryState Entry;
  std::map<std::uint64_t, EngineCall> EngineCalls;   // By UpstreamId.
  std::map<std::uint64_t, OrderUpstream> OrderCalls; // By UpstreamId.
  TimePoint NextOrderTick;
  TimePoint NextDemand; // Next demand reports of the cells held here.
  std::uint64_t NextUpstream = 1;
  TimePoint NextCellTick;

  calls::CallsState Calls;

  std::map<std::uint64_t, OperatorWait> Operators; // By sequence.
  std::uint64_t NextSequence = 1;

  DrainPhase Drain = DrainPhase::Serving;
  TimePoint DrainUntil; // End of the phases Unready and Stopped.
  bool ForcedStop = false;
  TimePoint NextPlan; // Next check of the cell table, at the leader.
  TimePoint LastTick;
};

NodeState makeNode(const NodeStart &Start, TimePoint Now);

/// Applies one event to the state and returns the effects to perform, in order.
Effects reduce(NodeState &S, const Event &E, TimePoint Now);

/// Whether the load balancer should send callers to this host.
bool isReady(const NodeState &S, TimePoint Now);

/// Gauges at \p Now for metrics: freshness, cells held here, logs. Figures of
/// cells are summed over all cells, so that no label outlives its cell.
std::vector<MetricSample> nodeGauges(const NodeState &S, TimePoint Now);

} // namespace pimento
