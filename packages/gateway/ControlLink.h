//===- ControlLink.h - Synchronization with control hosts -------*- C++ -*-===//
//
// An entry host synchronizes its configuration and server list with one control
// host at a time, the leader if possible. It switches to another control host
// when the active one does not answer or has lost contact with the leader. The
// entry host never returns to an older configuration, and keeps serving with
// the one it has while no control host answers.
//
//   std::optional<Outbound> M = tickLink(L, Report, Rng, Now); // Send it.
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

/// State of the synchronization, with the site state received so far.
struct ControlLink {
  std::vector<HostId> Seeds;
  std::vector<HostId> Known; // Control hosts in the latest site state.
  HostId ActiveControl;      // Control host that gets the queries; empty: none.
  std::uint64_t Sequence = 0;  // Number of the newest query.
  std::uint64_t Answered = 0;  // Number of the newest answered query.
  TimePoint OldestPendingAt{}; // When the oldest unanswered query was sent.
  TimePoint NextSyncAt{};
  TimePoint CurrentAt{}; // Receipt of the last state whose sender was current;
                         // the epoch: none so far.
  std::map<HostId, TimePoint> AvoidUntil;
  unsigned Misses = 0;     // Control hosts in a row that did not answer.
  unsigned NotCurrent = 0; // Site states in a row whose sender was not current.
  double Variation = 0;    // Random, from -1 to 1, for the next delay.

  IncarnationNumber ControlIncarnation = 0; // Of the host that set Revision.
  std::uint64_t Revision = 0;
  HostId RevisionFrom; // The host that set Revision.
  HostId Leader;
  HostId Placer;                 // Empty: none.
  std::uint64_t Entries = 1;     // Number of entry hosts.
  std::uint64_t ShareNumber = 0; // Of this host; see warmup/ShareNumbers.h.
  std::uint64_t ShareCount = 0;
};

/// State of the entry host that a query contains.
struct LinkReport {
  std::uint64_t Config = 0;
  bool Ready = false;
  DataCentreId DataCentre;
  Duration Uptime = {};                  // Time since the entry host's start.
  RoutingForm Form = RoutingForm::Delta; // In which a configuration is taken.
  bool Stale = false;                    // New requests are refused.
  bool IsPlacer = false;                 // The leader named this host.
};

/// Returns the next query if one is due. Switches to another control host if
/// the active one did not answer in time.
std::optional<Outbound> tickLink(ControlLink &L, const LinkReport &Report,
                                 Random &Rng, TimePoint Now);

/// Processes a site state. Returns true if its sender is current, so that its
/// server list and configuration may be used.
bool applySiteState(ControlLink &L, const HostId &From, const SiteState &M,
                    TimePoint Now);

/// Time between two queries that no change calls for. Grows with the number of
/// entry hosts, so that the leader has the same number of queries a second to
/// answer; the placer, which is to be replaced soon if it is lost, asks often.
Duration syncInterval(const ControlLink &L, bool IsPlacer);

/// Sends a query at the next tick, for example after a local state change.
void syncSoon(ControlLink &L, TimePoint Now);

/// Returns the time by which tickLink() must be called next.
TimePoint nextLinkTick(const ControlLink &L);

} // namespace pimento
