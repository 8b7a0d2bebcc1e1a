//===- ControlLink.h - An entry host's tie to the control hosts -*- C++ -*-===//
//
// An entry host asks one control host at a time, the leader where it can, and
// moves on to another when that one is silent or cut off. What it has in force
// never goes back, and is served on where no control host answers.
//
//   std::optional<Outbound> M = tickLink(L, Have, Now);   // Send it.
//   bool Usable = applySiteState(L, From, State, Now);
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Random.h"
#include "wire/Messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

struct ControlLink {
  std::vector<HostId> Seeds;
  std::vector<HostId> Known; // Control hosts that were named last.
  HostId ActiveControl;      // Asked now.
  std::uint64_t Sequence = 0;
  std::uint64_t Answered = 0;  // Newest question that was answered.
  TimePoint OldestPendingAt{}; // Of the oldest question without an answer.
  TimePoint NextSyncAt{};
  TimePoint CurrentAt{}; // The last state that was current; the epoch: never.
  std::map<HostId, TimePoint> AvoidUntil;

  IncarnationNumber ControlIncarnation = 0; // Of the host that Revision is of.
  std::uint64_t Revision = 0;
  HostId Leader;
  HostId Placer; // Empty: none.
  std::uint64_t Entries = 1;
};

/// What the entry host tells with a question.
struct LinkReport {
  std::uint64_t Config = 0;
  bool Ready = false;
  DataCentreId DataCentre;
  Duration Uptime = {}; // Since its start.
};

/// The next question, when it is due.
std::optional<Outbound> tickLink(ControlLink &L, const LinkReport &Report,
                                 Random &Rng, TimePoint Now);

/// Takes an answer. True where what it says of servers and the configuration
/// may be used: its sender knows the newest.
bool applySiteState(ControlLink &L, const HostId &From, const SiteState &M,
                    TimePoint Now);

/// Asks at the next tick, since something changed here.
void syncSoon(ControlLink &L, TimePoint Now);

TimePoint nextLinkTick(const ControlLink &L);

} // namespace pimento
