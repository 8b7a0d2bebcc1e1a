//===- ControlTurn.h - One call of a control host's reducer -----*- C++ -*-===//
//
// Internal. The parts share one turn.
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
void logMessage(ControlTurn &T, const HostId &From, const Message &M);
void logWritten(ControlTurn &T, std::uint64_t Ticket);
void logFailed(ControlTurn &T, const DiskFailed &E);
void flushLog(ControlTurn &T);
void proposeRouting(ControlTurn &T, ExchangeId Exchange, std::uint64_t Number,
                    const std::string &Text);
void handLeadershipOver(ControlTurn &T);
/// Answers operators whose configuration is in force at the entry hosts.
void settlePuts(ControlTurn &T);
bool isLeader(const ControlHost &S, TimePoint Now);
/// Whether this host knows the newest configuration: it leads, or it heard
/// from the leader lately.
bool isCurrent(const ControlHost &S, TimePoint Now);

// ControlCalls.cpp
void platformCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R);
void tickServers(ControlTurn &T);
/// Puts what changed on the disk now and then.
void keepServers(ControlTurn &T);
/// Servers that an earlier start knew: as good as ready until they are silent.
void recallServers(ControlHost &S, const std::string &Bytes, TimePoint Now);

// ControlSpread.cpp
void tickSpread(ControlTurn &T);
void onControlHeartbeat(ControlTurn &T, const HostId &From,
                        const ControlHeartbeat &M);
void entrySync(ControlTurn &T, const HostId &From,
               IncarnationNumber Incarnation, const EntrySync &M);
/// The link to a host broke: most likely it died.
void entryLost(ControlTurn &T, const HostId &Host);
/// A report that this host heard itself goes to the other control hosts.
void relay(ControlTurn &T, const ServerReport &Report);
/// Sends what changed in this turn.
void spreadChanges(ControlTurn &T);
/// Control hosts heard lately, this one included.
std::vector<HostId> livingControls(const ControlHost &S, TimePoint Now);

} // namespace pimento::control
