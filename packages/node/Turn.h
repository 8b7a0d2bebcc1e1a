//===- Turn.h - One call of the reducer -------------------------*- C++ -*-===//
//
// Internal to the package. A turn is one call of reduce(). The parts of a node
// share its Turn: they read and change the state, add effects and send
// messages. A message from this host to itself is handled before the turn ends,
// without a socket.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "node/Node.h"

#include <deque>
#include <utility>

namespace pimento::node {

struct Turn {
  NodeState &S;
  TimePoint Now;
  Effects Out;
  std::deque<Message> ToSelf; // Messages to this host, handled in this turn.
};

void send(Turn &T, const HostId &To, Message M);
void sendAll(Turn &T, std::vector<Outbound> Messages);
void logAll(Turn &T, std::vector<DecisionRecord> Decisions);
void recordAll(Turn &T, std::vector<MetricSample> Samples);
void count(Turn &T, const char *Name, std::string Label = "");

/// Wall-clock time since 1970: the clock read at the start plus the time that
/// has passed.
Duration wallClock(const Turn &T);

/// Whether the documents in force here are fresh enough to act on.
bool mayServe(const Turn &T);

// MembershipPart.cpp
void tickMembership(Turn &T);
void peerLost(Turn &T, const HostId &Host);
bool membershipMessage(Turn &T, const HostId &From, const Message &M);
void announce(Turn &T, ExchangeId Exchange, const HttpRequest &Request);

// ControlPart.cpp
void startControl(NodeState &S, const NodeStart &Start, TimePoint Now);
void tickControl(Turn &T);
bool controlMessage(Turn &T, const HostId &From, const Message &M);
void diskWritten(Turn &T, const DiskWritten &E);
void diskFailed(Turn &T, const DiskFailed &E);
/// Sends to the leader of \p Group, or to a voter that forwards the message.
void sendToLeader(Turn &T, GroupId Group, Message M);
/// Writes and sends the entries that this turn proposed.
void flushControl(Turn &T);
void handOverLeadership(Turn &T);
GroupId claimGroup(const NodeState &S, const ClaimKey &Key);

// EditPart.cpp
void onPutDocument(Turn &T, const HostId &From, const PutDocument &M);
void applyControl(Turn &T, const LogEntry &Entry);
/// Replies EditUnknown to edits whose outcome is unknown because this host lost
/// the leadership. They may still be committed.
void answerLostEdits(Turn &T, const LostRange &Lost);
void answerAcceptedEdits(Turn &T);
void planCellTable(Turn &T);

// DocumentPart.cpp
void tickDocuments(Turn &T);
bool documentMessage(Turn &T, const HostId &From, const Message &M);
void executeSpreadOutputs(Turn &T, SpreadOutputs Out);
/// Rebuilds the list of plain backend servers after a change.
void refreshServers(NodeState &S);

// SchedulePart.cpp
void tickSchedule(Turn &T);
bool scheduleMessage(Turn &T, const HostId &From, const Message &M);
void executeCellEffects(Turn &T, CellId Id, CellEffects Out);
void executeEntryEffects(Turn &T, EntryEffects Out);
/// Starts and stops holding cells after the cell table changed.
void applyCellTable(Turn &T);
/// Updates which cells have a running holder after hosts changed.
void updateCellHolders(Turn &T);
void engineChanged(Turn &T, const BackendRecord &Record);
void engineLoad(Turn &T, const LoadReport &Report);
/// Reports to the cells held here that the process of \p Host ended.
void hostGone(Turn &T, const HostId &Host);
/// Stops holding all cells, as part of the drain.
void releaseCells(Turn &T);

// EnginePart.cpp
void startCancel(Turn &T, CellId Cell, const CancelOrder &Order);
void startSweep(Turn &T, CellId Cell, const BackendId &Engine);
bool engineCallEvent(Turn &T, const Event &E);
void tickEngineCalls(Turn &T);

// OrdersPart.cpp
void tickOrderPart(Turn &T);
bool orderCallEvent(Turn &T, const Event &E);
void onDemandReport(Turn &T, const DemandReport &M);
/// Applies a log entry. False where the entry is not a command on orders.
bool applyOrderEntry(Turn &T, const LogEntry &Entry);
/// JSON of the order book and the issuer.
std::string ordersText(const NodeState &S);

// CallsPart.cpp
void callerRequest(Turn &T, const CallerRequest &E);
void callsEvent(Turn &T, const Event &E);
bool callsMessage(Turn &T, const HostId &From, const Message &M);
void executeCallsEffects(Turn &T, calls::CallsEffects Out);
void tickCalls(Turn &T);

// OperatorPart.cpp
void operatorRequest(Turn &T, const OperatorRequest &E);
void operatorLeft(Turn &T, ExchangeId Exchange);
bool operatorMessage(Turn &T, const Message &M);
/// Replies to another host's request for a service's history.
bool historyRequested(Turn &T, const HostId &From, const HistoryRequest &M);
void inForceAnswered(Turn &T, const InForceAnswer &Answer);
void tickOperators(Turn &T);

// StatusPart.cpp
std::string statusText(const NodeState &S, TimePoint Now);
std::string backendsText(const NodeState &S);
std::string hostsText(const NodeState &S, TimePoint Now);

// DrainPart.cpp
void stopRequested(Turn &T);
void tickDrain(Turn &T);

} // namespace pimento::node
