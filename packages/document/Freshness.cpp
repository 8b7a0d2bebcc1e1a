#include "document/Freshness.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t MaxRecentStamps = 8;

/// Upper bound of \p Elapsed as measured by a clock that runs faster than the
/// local one by the allowed drift.
Duration withClockDrift(const FreshnessState &F, Duration Elapsed) {
  constexpr std::int64_t PerMille = 1000;
  return Elapsed + Elapsed / PerMille *
                       static_cast<std::int64_t>(F.Config.ClockDriftPerMille);
}

bool isWithinBound(const FreshnessState &F, TimePoint At, TimePoint Now) {
  return withClockDrift(F, Now - At) < F.Config.Bound;
}

std::uint32_t countFreshReports(const FreshnessState &F, TimePoint Now) {
  std::uint32_t Count = F.Joined ? 1 : 0;
  for (std::uint32_t Host = 0; Host < F.Reports.size(); ++Host) {
    if (Host == F.Config.Self || !F.Reports[Host])
      continue;
    if (isWithinBound(F, *F.Reports[Host], Now))
      ++Count;
  }
  return Count;
}

/// Updates Covered and Joined after a new stamp or a higher Complete.
void updateCovered(FreshnessState &F) {
  if (F.Newest.Term == 0 || F.Newest.Revision > F.Complete)
    return;
  F.Covered = F.Newest;
  F.CoveredIssued = F.NewestIssued;
  if (F.CoveredIssued >= F.Started)
    F.Joined = true;
}

} // namespace

const char *toString(ServeReason R) {
  switch (R) {
  case ServeReason::ByAge:
    return "the stamp is young";
  case ServeReason::ByMajority:
    return "a majority of hosts knows no newer stamp";
  case ServeReason::Joining:
    return "no stamp issued since the start";
  case ServeReason::Behind:
    return "a newer edit is known but its text is missing";
  case ServeReason::Disconnected:
    return "the stamp is old and no majority of hosts reported recently";
  }
  return "";
}

FreshnessState makeFreshness(const FreshnessConfig &Config, TimePoint Now) {
  FreshnessState F;
  F.Config = Config;
  F.Started = Now;
  F.Reports.resize(Config.Hosts);
  return F;
}

std::uint32_t majority(const FreshnessConfig &Config) {
  return Config.Hosts / 2 + 1;
}

bool adoptStamp(FreshnessState &F, const Stamp &S, Duration Age,
                TimePoint RequestedAt) {
  if (S.Term == 0 || Age < Duration::zero() || S < F.Newest)
    return false;
  TimePoint Issued = RequestedAt - Age;
  bool Newer = F.Newest < S;
  if (Newer) {
    F.Newest = S;
    F.NewestIssued = Issued;
    std::fill(F.Reports.begin(), F.Reports.end(), std::nullopt);
  }
  F.NewestIssued = std::max(F.NewestIssued, Issued);
  updateCovered(F);
  return Newer;
}

void setComplete(FreshnessState &F, std::uint64_t Revision) {
  F.Complete = std::max(F.Complete, Revision);
  updateCovered(F);
}

ServeVerdict mayServe(const FreshnessState &F, TimePoint Now) {
  ServeVerdict V;
  if (F.Covered.Term != 0)
    V.Age = Now - F.CoveredIssued;
  V.Reports = countFreshReports(F, Now);
  if (!F.Joined)
    return V;
  V.Serve = true;
  V.Reason = ServeReason::ByAge;
  if (isWithinBound(F, F.CoveredIssued, Now))
    return V;
  V.Reason = ServeReason::ByMajority;
  if (F.Covered == F.Newest && V.Reports >= majority(F.Config))
    return V;
  V.Serve = false;
  V.Reason =
      F.Covered == F.Newest ? ServeReason::Disconnected : ServeReason::Behind;
  return V;
}

bool wantsReports(const FreshnessState &F, TimePoint Now) {
  constexpr int Share = 3; // A third of Bound; leaves time to gather reports.
  return newestAge(F, Now) > F.Config.Bound / Share;
}

Duration newestAge(const FreshnessState &F, TimePoint Now) {
  return F.Newest.Term == 0 ? Duration::max() : Now - F.NewestIssued;
}

std::string encodeReports(const FreshnessState &F, TimePoint Now) {
  std::string Bytes(F.Reports.size(), static_cast<char>(NoReport));
  for (std::uint32_t Host = 0; Host < F.Reports.size(); ++Host) {
    if (!F.Reports[Host])
      continue;
    auto Units = (withClockDrift(F, Now - *F.Reports[Host]) + ReportAgeUnit -
                  Duration(1)) /
                 ReportAgeUnit;
    if (Units < NoReport)
      Bytes[Host] = static_cast<char>(Units);
  }
  if (F.Joined)
    Bytes[F.Config.Self] = 0;
  return Bytes;
}

void adoptReports(FreshnessState &F, const Stamp &About,
                  std::string_view Reports, TimePoint RequestedAt) {
  if (About != F.Newest || Reports.size() != F.Reports.size())
    return;
  for (std::size_t Host = 0; Host < Reports.size(); ++Host) {
    auto Units = static_cast<std::uint8_t>(Reports[Host]);
    if (Units == NoReport || Host == F.Config.Self)
      continue;
    TimePoint At = RequestedAt - Units * ReportAgeUnit;
    if (!F.Reports[Host] || *F.Reports[Host] < At)
      F.Reports[Host] = At;
  }
  bool Knows = F.Covered == F.Newest && F.Covered.Term != 0;
  if (F.Config.JoinByMajority && !F.Joined && Knows &&
      countFreshReports(F, RequestedAt) >= majority(F.Config))
    F.Joined = true;
}

void setLeader(FreshnessState &F, std::uint64_t Term, TimePoint LeaseUntil) {
  if (F.Term != Term) {
    F.Issued = 0;
    F.Recent.clear();
    F.MajorityHeld = Stamp();
  }
  F.Term = Term;
  F.LeaseUntil = LeaseUntil;
}

bool leads(const FreshnessState &F, TimePoint Now) {
  return F.Term != 0 && Now < F.LeaseUntil;
}

Stamp issueStamp(FreshnessState &F, TimePoint Now) {
  Stamp S = {F.Term, ++F.Issued, F.Complete};
  F.Recent.push_back({S, Now, 1});
  if (F.Recent.size() > MaxRecentStamps)
    F.Recent.erase(F.Recent.begin());
  adoptStamp(F, S, Duration::zero(), Now);
  noteHolders(F, S, 1);
  return S;
}

bool noteHolders(FreshnessState &F, const Stamp &S, std::uint32_t Holders) {
  for (IssuedStamp &Issued : F.Recent) {
    if (Issued.Content != S)
      continue;
    Issued.Holders = std::max(Issued.Holders, Holders);
    if (Issued.Holders < majority(F.Config) || !(F.MajorityHeld < S))
      return false;
    F.MajorityHeld = Issued.Content;
    F.MajorityHeldIssued = Issued.At;
    return true;
  }
  return false;
}

bool acceptsEdits(const FreshnessState &F, TimePoint Now) {
  if (!leads(F, Now) || F.MajorityHeld.Term != F.Term)
    return false;
  return withClockDrift(F, Now - F.MajorityHeldIssued) < F.Config.EditWindow;
}

bool knownToMajority(const FreshnessState &F, std::uint64_t Revision) {
  return F.MajorityHeld.Term != 0 && F.MajorityHeld.Revision >= Revision;
}

} // namespace pimento
