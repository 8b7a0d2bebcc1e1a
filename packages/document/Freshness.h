//===- Freshness.h - Whether a host's documents are current -----*- C++ -*-===//
//
// The leader issues stamps: "revision R was the newest accepted edit". Hosts
// relay them. A host may serve
//
//   by age      while the newest stamp that its documents cover was issued
//               less than Bound ago, or
//   by majority while a majority of the configured hosts, itself included,
//               reported less than Bound ago that the newest stamp they know
//               is that very one.
//
// The leader answers an edit as accepted only once a majority of hosts holds a
// stamp that names it. Two majorities share a host, so no host goes on for
// longer than Bound with an older document, and where no leader is left the
// hosts carry on among themselves.
//
// Age is never underestimated: a stamp or report that came with a reply counts
// as old as it was at the sender plus the whole time since the reply was asked
// for. A host that restarted knows nothing: until it holds a stamp that was
// issued after its start it neither reports, nor acknowledges, nor serves.
//
// Index
//   FreshnessState       plain state
//   adoptStamp() ...     what a host learns
//   mayServe()           the verdict
//   issueStamp() ...     the leader's side
//   encodeReports() ...  the vector of reports as bytes
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
  Duration Bound = seconds(3); // See above.
  Duration EditWindow = milliseconds(1500); // See acceptsEdits().
  std::uint64_t ClockDriftPerMille = 10;    // How far two clocks' rates differ.
  /// Whether a host that restarted while there is no leader may learn from a
  /// majority of the other hosts. It then never serves less than was accepted,
  /// but may serve less than its earlier life did, if that was an edit which
  /// was never answered as accepted.
  bool JoinByMajority = false;
};

/// A stamp that this leader issued and the hosts known to hold it.
struct IssuedStamp {
  Stamp Content;
  TimePoint At;
  std::uint32_t Holders = 1; // The leader itself.
};

struct FreshnessState {
  FreshnessConfig Config;
  TimePoint Started;          // Of this process.
  bool Joined = false;        // Holds a stamp issued after Started.
  std::uint64_t Complete = 0; // Every edit up to here is in force.
  Stamp Newest;               // Newest known.
  TimePoint NewestIssued;     // Not before; by the local clock.
  Stamp Covered;              // Newest with Revision <= Complete.
  TimePoint CoveredIssued;    // Not before; by the local clock.
  std::vector<std::optional<TimePoint>> Reports; // On Newest, by host.

  // The leader's side.
  std::uint64_t Term = 0;          // Zero: not leading.
  TimePoint LeaseUntil;            // No stamp after it.
  std::uint64_t Issued = 0;        // Sequence of the last stamp.
  std::vector<IssuedStamp> Recent; // Last few, oldest first.
  Stamp MajorityHeld;              // Newest that a majority of hosts holds.
  TimePoint MajorityHeldIssued;
};

enum class ServeReason : std::uint8_t {
  ByAge,        // The stamp is young.
  ByMajority,   // Old, but a majority of hosts knows none newer.
  Joining,      // No: started and has not learnt what is current.
  Behind,       // No: a newer edit is known and its text is missing.
  Disconnected, // No: the stamp is old and no majority is heard.
};
const char *toString(ServeReason R);

struct ServeVerdict {
  bool Serve = false;
  ServeReason Reason = ServeReason::Joining;
  Duration Age = Duration::max(); // Of the covered stamp; max: none.
  std::uint32_t Reports = 0;      // Young reports, this host's included.
};

FreshnessState makeFreshness(const FreshnessConfig &Config, TimePoint Now);

/// Hosts that make a majority of the configured ones.
std::uint32_t majority(const FreshnessConfig &Config);

/// Takes in a stamp that was \p Age old when it was sent, in answer to a
/// request made at \p RequestedAt. True where it is newer than all known ones.
bool adoptStamp(FreshnessState &F, const Stamp &S, Duration Age,
                TimePoint RequestedAt);

/// Every edit up to \p Revision is in force at this host. Never falls.
void setComplete(FreshnessState &F, std::uint64_t Revision);

/// Whether this host may serve at \p Now under what it has in force.
ServeVerdict mayServe(const FreshnessState &F, TimePoint Now);

/// Whether it is time to gather reports: the covered stamp grows old.
bool wantsReports(const FreshnessState &F, TimePoint Now);

/// Age of the newest stamp at \p Now; max where none is known.
Duration newestAge(const FreshnessState &F, TimePoint Now);

/// The young reports on the newest stamp, one byte a host: its age in units of
/// ReportAgeUnit, rounded up; NoReport for none. Empty while joining.
constexpr Duration ReportAgeUnit = milliseconds(32);
constexpr std::uint8_t NoReport = 255;
std::string encodeReports(const FreshnessState &F, TimePoint Now);

/// Takes in reports on \p About that came in answer to a request made at
/// \p RequestedAt. Ignored unless About is the newest stamp known here.
void adoptReports(FreshnessState &F, const Stamp &About,
                  std::string_view Reports, TimePoint RequestedAt);

/// The replicated log leads in \p Term until \p LeaseUntil, its lease; Term
/// zero: no longer. A leader must have applied every entry committed before
/// its term, and a process that restarts never leads in a term of its earlier
/// life: a stamp's term and sequence must name it alone.
void setLeader(FreshnessState &F, std::uint64_t Term, TimePoint LeaseUntil);

/// Whether this host may issue stamps at \p Now.
bool leads(const FreshnessState &F, TimePoint Now);

/// Issues the next stamp. Only while leads().
Stamp issueStamp(FreshnessState &F, TimePoint Now);

/// \p Holders hosts, this one included, hold \p S. True where this makes it a
/// majority for the first time.
bool noteHolders(FreshnessState &F, const Stamp &S, std::uint32_t Holders);

/// Whether the leader may take edits: a majority of hosts held a stamp that it
/// issued less than EditWindow ago.
bool acceptsEdits(const FreshnessState &F, TimePoint Now);

/// Whether a majority of hosts knows of the edit with \p Revision. Only then
/// an operator hears that it is accepted.
bool knownToMajority(const FreshnessState &F, std::uint64_t Revision);

} // namespace pimento
