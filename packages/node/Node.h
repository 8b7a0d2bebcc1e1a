//===- Node.h - The one reducer of a host -----------------------*- C++ -*-===//
//
//   NodeState S = makeNode(Start, Now);
//   for (Effect &E : reduce(S, Event, Now)) ...
//
// Pure: no clock, no socket, no disk, no random device. The parts below keep
// to their own state and meet only here:
//
//   MembershipPart   hosts and backend servers
//   ControlPart      replicated logs: documents, cells, claims
//   DocumentPart     spread of documents, and what follows from those in force
//   SchedulePart     cells held here, and this host's asks to any cell
//   EnginePart       cancels and memory sweeps at engines
//   OrdersPart       loads, unloads and changes of role at engines
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

/// The group that keeps documents and cells; claim partitions follow it.
constexpr GroupId ControlGroup = 0;

/// What the process found out before its first event.
struct NodeStart {
  Settings Config;
  IncarnationNumber Incarnation = 0;     // Of this process.
  std::uint64_t Seed = 1;                // Of every random choice.
  Duration WallClock = Duration::zero(); // Since 1970, at the start.

  // Hosts with a data folder only.
  IncarnationNumber DiskIncarnation = 0; // Zero: no disk.
  DiskStart Start = 0;
  std::map<GroupId, Recovered> Found;
};

/// An edit that this leader proposed and has not answered.
struct PendingEdit {
  HostId Requester;           // Host of the operator.
  std::uint64_t Sequence = 0; // The asker's.
  std::uint64_t Term = 0;     // In which it was proposed.
  std::uint64_t Revision = 0; // Zero: not applied yet.
  std::uint64_t Number = 0;   // Once applied.
};

/// One claim partition at a voter.
struct ClaimPartition {
  calls::ClaimsState Applied;
  calls::ClaimLeader Leader;
  std::map<std::uint64_t, std::uint64_t> Tickets; // Log index to ticket.
};

/// Where a command on orders stands in the control log.
struct OrderTicket {
  std::uint64_t Ticket = 0; // Of the issuer.
  std::uint64_t Term = 0;   // In which it was proposed.
};

/// The newest report of one cell.
struct KnownDemand {
  DemandReport Content;
  TimePoint At;
};

/// The replicated logs; without any where the host has no disk.
struct ControlState {
  std::map<GroupId, ReplicaState> Logs;
  Store Documents;
  std::map<GroupId, ClaimPartition> Claims;
  std::map<std::uint64_t, PendingEdit> Edits; // By log index.
  CellPlanner Planner;
  std::uint64_t PlannedTerm = 0;  // Term that Planner belongs to.
  std::uint64_t PlannedIndex = 0; // Of the cell edit in flight; zero: none.
  std::map<GroupId, std::size_t> NextVoter; // Tried next, by group.
  OrderBook Orders;
  OrderIssuer Issuer;                                // Issues while it leads.
  std::map<std::uint64_t, OrderTicket> OrderTickets; // By log index.
  std::map<CellId, KnownDemand> Demand;              // At the leader.
};

/// An upstream call that the scheduler of a cell has under way.
struct EngineCall {
  CellId Cell{};
  bool Sweep = false; // Else a cancel.
  CancelOrder Order;  // Of a cancel.
  BackendId Backend;
  int Status = 0;
  std::string Body;
  TimePoint Until; // Broken off then.
};

/// An upstream call of the issuer of orders.
struct OrderUpstream {
  std::uint64_t Call = 0; // The issuer's number.
  HttpReply Reply;
};

enum class OperatorWaitKind : std::uint8_t { Edit, History, InForce };

/// An operator's request that waits for other hosts.
struct OperatorWait {
  OperatorWaitKind Kind = OperatorWaitKind::Edit;
  ExchangeId Exchange{};
  ServiceId Service;
  TimePoint NextSend; // To the leader, or to a voter.
  TimePoint Until;    // Answered then, with what is known.

  PutDocument Edit;           // Of Edit.
  std::uint32_t Sends = 0;    // Of Edit.
  std::uint32_t Refusals = 0; // Sends that heard that no leader takes it.

  std::uint64_t Query = 0; // Of InForce.
  std::optional<InForceAnswer> Answer;
  std::optional<HistoryReply> History;
};

enum class DrainPhase : std::uint8_t {
  Serving,
  Unready,  // The balancer is to look elsewhere; requests are still taken.
  Refusing, // No new requests; those in progress go on.
  Stopped,
};

struct NodeState {
  Settings Config;
  HostId Self;
  IncarnationNumber Incarnation = 0;
  TimePoint Started;
  Duration WallClock = Duration::zero(); // Since 1970, at Started.

  MembershipState Members;
  ControlState Control;
  SpreadState Spread;

  // What follows from the documents in force here.
  std::map<ServiceId, ServiceDocument> Documents;
  std::map<ModelName, ModelName> BaseModels; // Adapter or version to model.
  CellTable Cells;
  calls::Directory Known;

  // Scheduling.
  std::map<CellId, CellState> Held;         // Scheduled by this host.
  std::map<CellId, std::set<HostId>> Early; // Wrote to this host for a cell
                                            // that it does not hold.
  EntryState Entry;
  std::map<std::uint64_t, EngineCall> EngineCalls;   // By UpstreamId.
  std::map<std::uint64_t, OrderUpstream> OrderCalls; // By UpstreamId.
  TimePoint NextOrderTick;
  TimePoint NextDemand; // Reports of demand on the cells held here.
  std::uint64_t NextUpstream = 1;
  TimePoint NextCellTick;

  calls::CallsState Calls;

  std::map<std::uint64_t, OperatorWait> Operators; // By sequence.
  std::uint64_t NextSequence = 1;

  DrainPhase Drain = DrainPhase::Serving;
  TimePoint DrainUntil; // Of the phase.
  bool ForcedStop = false;
  TimePoint NextPlan;
  TimePoint LastTick;
};

NodeState makeNode(const NodeStart &Start, TimePoint Now);

Effects reduce(NodeState &S, const Event &E, TimePoint Now);

/// Whether the balancer should send callers here.
bool isReady(const NodeState &S, TimePoint Now);

/// What stands at \p Now, for metrics: freshness, cells held here, logs. Sums
/// over all cells, so that no label outlives its cell.
std::vector<MetricSample> nodeGauges(const NodeState &S, TimePoint Now);

} // namespace pimento
