//===- ControlTurn.h - One call of a control host's reducer -----*- C++ -*-===//
//
// Not for users of the package. The source files of the reducer share one turn,
// which collects the effects of one event.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "control/ControlHost.h"

namespace pimento::control {

struct ControlTurn {
  ControlHost &S;
  TimePoint Now;
  Effects Out;
};

// ControlHost.cpp
void send(ControlTurn &T, const HostId &To, Message M);
void log(ControlTurn &T, DecisionRecord Record);
void count(ControlTurn &T, const char *Name, std::string Label = "");
void reply(ControlTurn &T, ExchangeId Exchange, HttpReply Reply);
void refuse(ControlTurn &T, ExchangeId Exchange, Code Number,
            std::string Detail);

// ControlLog.cpp
void startLog(ControlHost &S, const ControlStart &Start, TimePoint Now);
void tickLog(ControlTurn &T);
void onLogMessage(ControlTurn &T, const HostId &From, const Message &M);
void onLogWritten(ControlTurn &T, std::uint64_t Ticket);
void onLogDiskFailed(ControlTurn &T, const DiskFailed &E);
void flushLog(ControlTurn &T);
void proposeRouting(ControlTurn &T, ExchangeId Exchange, std::uint64_t Number,
                    const std::string &Text);
void transferLogLeadership(ControlTurn &T);
/// Answers the operators whose configuration is in force at the entry hosts or
/// whose time limit has passed.
void answerPendingPuts(ControlTurn &T);
/// Whether this host leads the log, holds the lease and has applied the entries
/// of earlier terms.
bool isLeader(const ControlHost &S, TimePoint Now);
/// Whether this host knows the newest configuration: it leads, or it is in
/// contact with the leader and has applied every entry that it knows to be
/// committed.
bool isCurrent(const ControlHost &S, TimePoint Now);

/// Whether every running entry host has sent this host a message since it began
/// or ceased to lead.
bool haveEntriesReported(const ControlHost &S, TimePoint Now);
/// Time limits of an operator's call, after which the outcome is unknown.
struct OperatorTimeouts {
  Duration Commit;  // From the proposal to its commit.
  Duration InForce; // From the commit until it is in force everywhere.
};
OperatorTimeouts operatorTimeouts();

// ControlCalls.cpp
/// Redirects an operator to the leader if it is known.
void redirect(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R);
void onPlatformCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R);
void tickServers(ControlTurn &T);
/// Stores changed servers on the disk, at most once per ServersWriteInterval.
void storeServers(ControlTurn &T);
/// Restores the servers stored by an earlier start, with the phase that they
/// had. A server that sends no report within RestoredReportTimeout counts as
/// silent.
void restoreServers(ControlHost &S, const std::string &Bytes, TimePoint Now);

// ControlCalls.cpp
/// Merges reports of backend servers that announced in answers that they leave.
void onServersLeaving(ControlTurn &T, const std::vector<ServerReport> &Reports);

// ControlQuarantine.cpp
enum class SenderRole : std::uint8_t { ControlHost, EntryHost };
/// Merges what another host knows of requests and parts that crash servers.
void onQuarantineUpdate(ControlTurn &T, const HostId &From, SenderRole Role,
                        const QuarantineUpdate &M);
/// What a host with the given digests lacks.
QuarantineUpdate quarantineUpdateFor(const ControlTurn &T,
                                     std::uint64_t KnownDigest,
                                     std::uint64_t KnownWatchDigest);
/// The same for another control host, with recent evidence.
QuarantineUpdate quarantineUpdateFor(const ControlTurn &T,
                                     const ControlPeer &Peer);
/// Judges new evidence, if this host leads or no leader is known.
void tickQuarantine(ControlTurn &T);
/// Answers an operator's call about quarantined parts. Returns false for any
/// other call.
bool quarantineCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R);

// ControlRouting.cpp
/// Replaces the newest configuration, which then begins to spread.
void replaceNewest(ControlTurn &T, RoutingVersion Next);
/// Entry hosts that are to be sent the newest configuration now: those that
/// lack it and have none in flight, the one with the oldest configuration
/// first, as many as may be sent at a time.
std::vector<HostId> hostsToUpdate(ControlTurn &T);
/// Adds the newest configuration to a message for \p Entry.
void addRouting(ControlTurn &T, EntryPeer &Entry, SiteState &State);
/// Whether the entry host sent a message lately; others are sent nothing.
bool isReachable(const EntryPeer &Entry, TimePoint Now);
/// Records which configuration an entry host has in force and takes next.
void onConfigReported(ControlTurn &T, const HostId &Host, EntryPeer &Entry,
                      const EntrySync &M);
/// Entry hosts in contact that have an older configuration or none and do not
/// refuse requests for that reason.
std::vector<HostId> hostsBehind(const ControlHost &S, std::uint64_t Number,
                                TimePoint Now);
/// Answers an operator's query which entry host has which configuration.
/// Returns false for any other call.
bool routingCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R);

/// Whether the entry host sent a message so lately that answers to operators
/// wait for it.
bool isInContact(const EntryPeer &Entry, TimePoint Now);

// ControlEvacuation.cpp
/// An operator evacuates a data centre, or ends that.
void orderEvacuation(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R,
                     const EvacuationOrder &Order);
/// Applies what an entry of the log or a snapshot holds of evacuations.
void storeEvacuation(ControlTurn &T, std::string_view Bytes);
/// Notes that the entry, which has been applied, is committed.
void markEvacuationsCommitted(ControlTurn &T, const LogEntry &Entry);
/// Answers the operators whose proposals were lost with the leadership.
void failLostEvacuations(ControlTurn &T, const LostRange &Lost);
/// Answers the operators whose order is in force at the entry hosts or whose
/// time limit has passed.
void answerPendingEvacuations(ControlTurn &T);
/// Entry hosts in contact that do not have the revision in force.
std::vector<HostId> hostsWithoutEvacuation(const ControlHost &S,
                                           std::uint64_t Revision,
                                           TimePoint Now);
/// Notes the data centres of servers and entry hosts, which are remembered when
/// these have gone.
void rememberDataCentres(ControlTurn &T);
/// Answers operators' queries and orders under /v1/evacuations. Returns false
/// for any other call.
bool evacuationCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R);

// ControlLimits.cpp
/// Merges the limits of another host's message.
void onLimitUpdate(ControlTurn &T, LimitPeer &Peer, const LimitUpdate &M);
/// The limits that a host lacks.
LimitUpdate limitUpdateFor(ControlTurn &T, LimitPeer &Peer);
/// Has changed limits sent to all hosts when they are due.
void tickLimits(ControlTurn &T);
/// Answers an operator's query which backend servers are limited. Returns false
/// for any other call.
bool limitCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R);

// ControlPaths.cpp
/// Whether the entry host is in contact and takes callers' requests.
bool isReadyEntry(const ControlTurn &T, const HostId &Host);
/// Some entry hosts that reach the servers, half of them in the data centre of
/// the asking host, drawn by lot so that relayed requests are spread.
std::vector<RelayCandidate> relayCandidates(ControlTurn &T, const HostId &For,
                                            const DataCentreId &Here);
/// Records which services an entry host does not reach.
void onPathsReported(ControlTurn &T, const HostId &Host, EntryPeer &Entry,
                     const EntrySync &M);
/// Answers an operator's query which entry host does not reach which services.
/// Returns false for any other call.
bool pathsCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R);

// ControlSpread.cpp
/// Something has changed that other hosts are to be sent soon.
void updateHosts(ControlTurn &T);
void tickSpread(ControlTurn &T);
/// Tells the other control hosts of a report that changed nothing here.
void relayAlive(ControlTurn &T, const ServerReport &Report);
void onControlHeartbeat(ControlTurn &T, const HostId &From,
                        const ControlHeartbeat &M);
void onEntrySync(ControlTurn &T, const HostId &From,
                 IncarnationNumber Incarnation, const EntrySync &M);
/// Handles a lost connection to a host, which has most likely failed.
void onEntryHostLost(ControlTurn &T, const HostId &Host);
/// Queues a report that a backend server sent to this host for the other
/// control hosts.
void relay(ControlTurn &T, const ServerReport &Report);
/// Sends the changes of this turn to control hosts and entry hosts.
void spreadChanges(ControlTurn &T);
/// This host and all control hosts from which a heartbeat arrived within
/// ControlHostTimeout.
std::vector<HostId> liveControlHosts(const ControlHost &S, TimePoint Now);

} // namespace pimento::control
