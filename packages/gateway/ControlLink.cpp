#include "gateway/ControlLink.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr Duration MinSyncInterval = milliseconds(500);
constexpr Duration MaxSyncInterval = milliseconds(1600);
constexpr Duration SyncIntervalPerHost = milliseconds(6);
constexpr Duration AnswerTimeout = milliseconds(600);
/// The time for an answer doubles with each control host in a row that gave
/// none, after the first ones, up to this limit: control hosts that are short
/// of time are not asked more often for it.
constexpr Duration MaxAnswerTimeout = milliseconds(4000);
constexpr unsigned FreeMisses = 2;
/// Time without queries to a control host that did not answer.
constexpr Duration SilentAvoidance = milliseconds(1500);
/// Time without queries to a control host that is not current. Short, since the
/// control host may be current soon.
constexpr Duration NotCurrentAvoidance = milliseconds(200);
/// Delay before the next query after a site state whose sender is not current.
/// Doubles with each such state in a row, up to a limit.
constexpr Duration NotCurrentSyncDelay = milliseconds(60);
constexpr Duration MaxNotCurrentSyncDelay = milliseconds(800);
/// Delays vary by this share, so that hosts which were told the same at the
/// same time do not come back together.
constexpr double Jitter = 0.25;

/// Returns \p First doubled \p Times times, at most \p Most.
Duration doubled(Duration First, unsigned Times, Duration Most) {
  constexpr unsigned MaxTimes = 16;
  return std::min(Most, First * (std::int64_t{1} << std::min(Times, MaxTimes)));
}

Duration answerTimeout(const ControlLink &L) {
  unsigned Times = L.Misses < FreeMisses ? 0 : L.Misses - FreeMisses + 1;
  return doubled(AnswerTimeout, Times, MaxAnswerTimeout);
}

Duration notCurrentDelay(const ControlLink &L) {
  Duration Delay =
      doubled(NotCurrentSyncDelay, L.NotCurrent, MaxNotCurrentSyncDelay);
  return fromSeconds(toSeconds(Delay) * (1 + Jitter * L.Variation));
}

bool isAvoided(const ControlLink &L, const HostId &Host, TimePoint Now) {
  auto Found = L.AvoidUntil.find(Host);
  return Found != L.AvoidUntil.end() && Found->second > Now;
}

std::vector<HostId> hosts(const ControlLink &L) {
  std::vector<HostId> All = L.Known;
  All.insert(All.end(), L.Seeds.begin(), L.Seeds.end());
  std::sort(All.begin(), All.end());
  All.erase(std::unique(All.begin(), All.end()), All.end());
  return All;
}

/// Chooses a random control host that is not avoided, or any if all are.
HostId chooseControl(const ControlLink &L, Random &Rng, TimePoint Now) {
  std::vector<HostId> All = hosts(L);
  std::vector<HostId> Usable;
  for (const HostId &Host : All) {
    if (!isAvoided(L, Host, Now))
      Usable.push_back(Host);
  }
  const std::vector<HostId> &From = Usable.empty() ? All : Usable;
  return From.empty() ? HostId() : From[below(Rng, From.size())];
}

/// Stops using the active control host and avoids it for \p AvoidFor.
void abandonControl(ControlLink &L, Duration AvoidFor, TimePoint Now) {
  L.AvoidUntil[L.ActiveControl] = Now + AvoidFor;
  L.ActiveControl = HostId();
  L.Answered = L.Sequence;
  L.NextSyncAt = Now;
}

} // namespace

Duration syncInterval(const ControlLink &L, bool IsPlacer) {
  if (IsPlacer)
    return MinSyncInterval;
  constexpr std::uint64_t MaxHosts = MaxSyncInterval / SyncIntervalPerHost;
  auto Hosts = static_cast<std::int64_t>(std::min(L.Entries, MaxHosts));
  return std::max(MinSyncInterval, Hosts * SyncIntervalPerHost);
}

std::optional<Outbound> tickLink(ControlLink &L, const LinkReport &Report,
                                 Random &Rng, TimePoint Now) {
  bool IsPending = L.Answered < L.Sequence;
  if (IsPending && Now >= L.OldestPendingAt + answerTimeout(L)) {
    L.Misses += 1;
    abandonControl(L, SilentAvoidance, Now);
  }
  if (Now < L.NextSyncAt)
    return std::nullopt;
  if (L.ActiveControl.empty())
    L.ActiveControl = chooseControl(L, Rng, Now);
  if (L.ActiveControl.empty())
    return std::nullopt;
  if (L.Answered == L.Sequence)
    L.OldestPendingAt = Now;
  Duration Interval = syncInterval(L, Report.IsPlacer);
  L.NextSyncAt = Now + Interval;
  if (L.NotCurrent > 0)
    L.Variation = 2 * uniform(Rng) - 1;
  EntrySync M;
  M.Sequence = ++L.Sequence;
  M.ControlIncarnation = L.ControlIncarnation;
  M.Revision = L.Revision;
  M.Config = Report.Config;
  M.Ready = Report.Ready;
  M.DataCentre = Report.DataCentre;
  M.Placer = L.Placer;
  M.Uptime = Report.Uptime;
  M.Form = Report.Form;
  M.Stale = Report.Stale;
  M.Interval = Interval;
  M.ShareNumber = L.ShareNumber;
  return Outbound{L.ActiveControl, std::move(M)};
}

bool applySiteState(ControlLink &L, const HostId &From, const SiteState &M,
                    TimePoint Now) {
  bool FromActive = From == L.ActiveControl;
  if (FromActive && M.Sequence > L.Answered) {
    L.Answered = M.Sequence;
    L.OldestPendingAt = Now;
  }
  if (!M.IsCurrent) {
    if (FromActive) {
      abandonControl(L, NotCurrentAvoidance, Now);
      L.NextSyncAt = Now + notCurrentDelay(L);
      L.NotCurrent += 1;
    }
    if (!M.Leader.empty() && !isAvoided(L, M.Leader, Now) &&
        L.ActiveControl.empty())
      L.ActiveControl = M.Leader;
    return false;
  }
  L.CurrentAt = Now;
  L.Misses = 0;
  L.NotCurrent = 0;
  if (!M.Controls.empty())
    L.Known = M.Controls;
  L.Leader = M.Leader;
  if (From == M.Leader) {
    // A new leader names no placer at first; the previous placer is kept.
    if (!M.Placer.empty())
      L.Placer = M.Placer;
    L.Entries = std::max<std::uint64_t>(1, M.EntryHosts);
    if (M.ShareNumber != 0) {
      L.ShareNumber = M.ShareNumber;
      L.ShareCount = M.ShareCount;
    }
  }
  if (FromActive && M.Leader != From && !M.Leader.empty() &&
      !isAvoided(L, M.Leader, Now)) {
    L.ActiveControl = M.Leader;
    L.Answered = L.Sequence;
    L.NextSyncAt = Now;
  }
  // A partial server list applies only to a revision from the same incarnation
  // of the control host, with no changes missing in between.
  bool Follows = M.ListsAllServers || M.HasSameServers ||
                 (M.ControlIncarnation == L.ControlIncarnation &&
                  M.BaseRevision <= L.Revision);
  if (Follows) {
    L.ControlIncarnation = M.ControlIncarnation;
    L.Revision = M.Revision;
    L.RevisionFrom = From;
  }
  return true;
}

void syncSoon(ControlLink &L, TimePoint Now) {
  L.NextSyncAt = std::min(L.NextSyncAt, Now);
}

TimePoint nextLinkTick(const ControlLink &L) {
  if (L.Answered < L.Sequence)
    return std::min(L.NextSyncAt, L.OldestPendingAt + answerTimeout(L));
  return L.NextSyncAt;
}

} // namespace pimento
