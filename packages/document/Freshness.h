//===- Freshness.h - Whether a host's documents are current -----*- C++ -*-===//
//
// The leader of the replicated log issues stamps: numbered statements that
// revision R was the newest accepted edit at the time of issue. Hosts relay
// stamps. A stamp is covered by a host that has every edit up to the stamp's
// revision in force. A host may serve
//
//   by age      while the newest stamp that its documents cover was issued
//               less than Bound ago, or
//   by majority while a majority of the configured hosts, itself included,
//               reported less than Bound ago that this stamp is the newest
//               one they know.
//
// The leader answers an edit as accepted only once a majority of hosts holds a
// stamp whose revision includes the edit. Any two majorities share a host, so
// no host serves an older document for longer than Bound after that answer.
// Without a leader, hosts keep serving as long as a majority can exchange
// reports.
//
// The age of a stamp or report is never underestimated: it is its age at the
// sender plus the whole time since the request for that reply was sent. A
// restarted host has no state: it does not report, acknowledge or serve until
// it has joined, that is, until it covers a stamp issued after its start; see
// JoinByMajority for the exception.
//
// Index
//   FreshnessState       plain state
//   adoptStamp() ...     inputs from other hosts and from the documents held
//   mayServe()           whether this host may serve
//   issueStamp() ...     functions of the leader
//   encodeReports() ...  reports of all hosts as bytes
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/DocumentMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

struct FreshnessConfig {
  std::uint32_t Self = 0;      // Index in the sorted list of configured hosts.
  std::uint32_t Hosts = 1;     // Configured hosts, this one included.
  Duration Bound = seconds(3); // Longest time to serve under an older document.
  Duration EditWindow = milliseconds(1500); // See acceptsEdits().
  std::uint64_t ClockDriftPerMille = 10; // Largest difference of clock rates.
  /// Whether a host that restarted while there is no leader may join by the
  /// reports of a majority of hosts. The host then never serves documents older
  /// than the accepted edits, but may lack an edit that its earlier incarnation
  /// served and that was never answered as accepted.
  bool JoinByMajority = false;
};

/// A stamp that this leader issued and the hosts known to hold it.
struct IssuedStamp {
  Stamp Content;
  TimePoint At;
  std::uint32_t Holders = 1; // Hosts that hold Content, the leader included.
};

struct FreshnessState {
  FreshnessConfig Config;
  TimePoint Started;          // Start of this process.
  bool Joined = false;        // Whether the host has joined; see file header.
  std::uint64_t Complete = 0; // Every edit up to here is in force.
  Stamp Newest;               // Newest known stamp.
  TimePoint NewestIssued;     // Earliest issue time of Newest, local clock.
  Stamp Covered;              // Newest stamp with Revision <= Complete.
  TimePoint CoveredIssued;    // Earliest issue time of Covered, local clock.
  std::vector<std::optional<TimePoint>> Reports; // Times of reports on Newest,
                                                 // by host.

  // State of the leader.
  std::uint64_t Term = 0;          // Term that this host leads; zero: none.
  TimePoint LeaseUntil;            // End of the lease; no stamp after it.
  std::uint64_t Issued = 0;        // Sequence of the last stamp issued.
  std::vector<IssuedStamp> Recent; // Last few stamps issued, oldest first.
  Stamp MajorityHeld;              // Newest stamp held by a majority.
  TimePoint MajorityHeldIssued;    // When MajorityHeld was issued.
};

enum class ServeReason : std::uint8_t {
  ByAge,        // Serves: the covered stamp is younger than Bound.
  ByMajority,   // Serves: a majority of hosts knows no newer stamp.
  Joining,      // Does not serve: the host has not joined yet.
  Behind,       // Does not serve: lacks the text of a newer known edit.
  Disconnected, // Does not serve: the stamp is old and too few hosts reported.
};
const char *toString(ServeReason R);

struct ServeVerdict {
  bool Serve = false;
  ServeReason Reason = ServeReason::Joining;
  Duration Age = Duration::max(); // Age of the covered stamp; max: none.
  std::uint32_t Reports = 0;      // Reports younger than Bound, own included.
};

FreshnessState makeFreshness(const FreshnessConfig &Config, TimePoint Now);

/// Smallest number of hosts that is a majority of the configured ones.
std::uint32_t majority(const FreshnessConfig &Config);

/// Processes a stamp that was \p Age old when it was sent in reply to a request
/// made at \p RequestedAt. Returns whether it is newer than all known stamps.
bool adoptStamp(FreshnessState &F, const Stamp &S, Duration Age,
                TimePoint RequestedAt);

/// Records that every edit up to \p Revision is in force at this host. Lower
/// values than before are ignored.
void setComplete(FreshnessState &F, std::uint64_t Revision);

/// Whether this host may serve at \p Now under the documents it has in force.
ServeVerdict mayServe(const FreshnessState &F, TimePoint Now);

/// Whether pulls should ask for reports: the newest stamp is older than a third
/// of Bound.
bool wantsReports(const FreshnessState &F, TimePoint Now);

/// Age of the newest stamp at \p Now; max if none is known.
Duration newestAge(const FreshnessState &F, TimePoint Now);

/// Encodes the reports on the newest stamp, one byte per host: the report's age
/// in units of ReportAgeUnit, rounded up; NoReport if there is none or if it is
/// too old. A host that has not joined encodes none of its own.
constexpr Duration ReportAgeUnit = milliseconds(32);
constexpr std::uint8_t NoReport = 255;
std::string encodeReports(const FreshnessState &F, TimePoint Now);

/// Merges reports on the stamp \p About from the reply to a request made at
/// \p RequestedAt. Ignored unless About is the newest stamp known here.
/// The host thereby joins if JoinByMajority is set, the host covers About and a
/// majority of hosts reported less than Bound ago.
void adoptReports(FreshnessState &F, const Stamp &About,
                  std::string_view Reports, TimePoint RequestedAt);

/// Sets the term in which this host leads the replicated log and the end of its
/// lease; Term zero: does not lead. A leader must have applied every entry
/// committed before its term. A restarted process must not lead in a term of an
/// earlier incarnation, since term and sequence must identify a stamp uniquely.
void setLeader(FreshnessState &F, std::uint64_t Term, TimePoint LeaseUntil);

/// Whether this host may issue stamps at \p Now.
bool leads(const FreshnessState &F, TimePoint Now);

/// Issues the next stamp. Call only while leads().
Stamp issueStamp(FreshnessState &F, TimePoint Now);

/// Records that \p Holders hosts, this one included, hold \p S. Returns whether
/// \p S thereby becomes the newest stamp held by a majority.
bool noteHolders(FreshnessState &F, const Stamp &S, std::uint32_t Holders);

/// Whether the leader may accept edits: a majority of hosts holds a stamp that
/// this leader issued less than EditWindow ago.
bool acceptsEdits(const FreshnessState &F, TimePoint Now);

/// Whether a majority of hosts knows of the edit with \p Revision. Only then
/// may the operator's request be answered as accepted.
bool knownToMajority(const FreshnessState &F, std::uint64_t Revision);

} // namespace pimento
