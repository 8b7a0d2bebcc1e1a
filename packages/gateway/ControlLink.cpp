#include "gateway/ControlLink.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr Duration SyncInterval = milliseconds(500);
constexpr Duration AnswerTimeout = milliseconds(600);
/// Time without queries to a control host that did not answer.
constexpr Duration SilentAvoidance = milliseconds(1500);
/// Time without queries to a control host that is not current. Short, since the
/// control host may be current soon.
constexpr Duration NotCurrentAvoidance = milliseconds(200);
/// Delay before the next query after a site state whose sender is not current.
constexpr Duration NotCurrentSyncDelay = milliseconds(60);

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

std::optional<Outbound> tickLink(ControlLink &L, const LinkReport &Report,
                                 Random &Rng, TimePoint Now) {
  bool IsPending = L.Answered < L.Sequence;
  if (IsPending && Now >= L.OldestPendingAt + AnswerTimeout)
    abandonControl(L, SilentAvoidance, Now);
  if (Now < L.NextSyncAt)
    return std::nullopt;
  if (L.ActiveControl.empty())
    L.ActiveControl = chooseControl(L, Rng, Now);
  if (L.ActiveControl.empty())
    return std::nullopt;
  if (L.Answered == L.Sequence)
    L.OldestPendingAt = Now;
  L.NextSyncAt = Now + SyncInterval;
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
      L.NextSyncAt = Now + NotCurrentSyncDelay;
    }
    if (!M.Leader.empty() && !isAvoided(L, M.Leader, Now) &&
        L.ActiveControl.empty())
      L.ActiveControl = M.Leader;
    return false;
  }
  L.CurrentAt = Now;
  if (!M.Controls.empty())
    L.Known = M.Controls;
  L.Leader = M.Leader;
  if (From == M.Leader) {
    // A new leader names no placer at first; the previous placer is kept.
    if (!M.Placer.empty())
      L.Placer = M.Placer;
    L.Entries = std::max<std::uint64_t>(1, M.EntryHosts);
  }
  if (FromActive && M.Leader != From && !M.Leader.empty() &&
      !isAvoided(L, M.Leader, Now)) {
    L.ActiveControl = M.Leader;
    L.Answered = L.Sequence;
    L.NextSyncAt = Now;
  }
  // A partial server list applies only to a revision from the same incarnation
  // of the control host, with no changes missing in between.
  bool Follows =
      M.ListsAllServers || (M.ControlIncarnation == L.ControlIncarnation &&
                            M.BaseRevision <= L.Revision);
  if (Follows) {
    L.ControlIncarnation = M.ControlIncarnation;
    L.Revision = M.Revision;
  }
  return true;
}

void syncSoon(ControlLink &L, TimePoint Now) {
  L.NextSyncAt = std::min(L.NextSyncAt, Now);
}

TimePoint nextLinkTick(const ControlLink &L) {
  if (L.Answered < L.Sequence)
    return std::min(L.NextSyncAt, L.OldestPendingAt + AnswerTimeout);
  return L.NextSyncAt;
}

} // namespace pimento
