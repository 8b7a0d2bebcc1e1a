#include "gateway/ControlLink.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr Duration AskInterval = milliseconds(500);
constexpr Duration AnswerTimeout = milliseconds(600);
/// A control host that did not answer is left alone for so long.
constexpr Duration Avoidance = milliseconds(1500);
/// One that does not know the newest configuration may know it soon.
constexpr Duration ShortAvoidance = milliseconds(200);
constexpr Duration NotCurrentPause = milliseconds(60);

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

/// Any control host that is not avoided; where all are, any.
HostId chooseHome(const ControlLink &L, Random &Rng, TimePoint Now) {
  std::vector<HostId> All = hosts(L);
  std::vector<HostId> Good;
  for (const HostId &Host : All) {
    if (!isAvoided(L, Host, Now))
      Good.push_back(Host);
  }
  const std::vector<HostId> &From = Good.empty() ? All : Good;
  return From.empty() ? HostId() : From[below(Rng, From.size())];
}

void leaveHome(ControlLink &L, Duration AvoidFor, TimePoint Now) {
  L.AvoidUntil[L.Home] = Now + AvoidFor;
  L.Home = HostId();
  L.Answered = L.Sequence;
  L.NextAsk = Now;
}

} // namespace

std::optional<Outbound> tickLink(ControlLink &L, const LinkReport &Have,
                                 Random &Rng, TimePoint Now) {
  bool Open = L.Answered < L.Sequence;
  if (Open && Now >= L.AskedAt + AnswerTimeout)
    leaveHome(L, Avoidance, Now);
  if (Now < L.NextAsk)
    return std::nullopt;
  if (L.Home.empty())
    L.Home = chooseHome(L, Rng, Now);
  if (L.Home.empty())
    return std::nullopt;
  if (L.Answered == L.Sequence)
    L.AskedAt = Now;
  L.NextAsk = Now + AskInterval;
  EntrySync M;
  M.Sequence = ++L.Sequence;
  M.ControlIncarnation = L.ControlIncarnation;
  M.Revision = L.Revision;
  M.Config = Have.Config;
  M.Ready = Have.Ready;
  M.DataCentre = Have.DataCentre;
  M.Placer = L.Placer;
  M.Uptime = Have.Uptime;
  return Outbound{L.Home, std::move(M)};
}

bool takeState(ControlLink &L, const HostId &From, const SiteState &M,
               TimePoint Now) {
  bool Asked = From == L.Home;
  if (Asked && M.Sequence > L.Answered) {
    L.Answered = M.Sequence;
    L.AskedAt = Now;
  }
  if (!M.Current) {
    if (Asked) {
      leaveHome(L, ShortAvoidance, Now);
      L.NextAsk = Now + NotCurrentPause;
    }
    if (!M.Leader.empty() && !isAvoided(L, M.Leader, Now) && L.Home.empty())
      L.Home = M.Leader;
    return false;
  }
  L.CurrentAt = Now;
  if (!M.Controls.empty())
    L.Known = M.Controls;
  L.Leader = M.Leader;
  if (From == M.Leader) {
    // A new leader names none at first: the one before may still do.
    if (!M.Placer.empty())
      L.Placer = M.Placer;
    L.Entries = std::max<std::uint64_t>(1, M.Entries);
  }
  if (Asked && M.Leader != From && !M.Leader.empty() &&
      !isAvoided(L, M.Leader, Now)) {
    L.Home = M.Leader;
    L.Answered = L.Sequence;
    L.NextAsk = Now;
  }
  // Servers come as changes of what this host has of that one.
  bool Follows = M.Whole || (M.ControlIncarnation == L.ControlIncarnation &&
                             M.Base <= L.Revision);
  if (Follows) {
    L.ControlIncarnation = M.ControlIncarnation;
    L.Revision = M.Revision;
  }
  return true;
}

void askSoon(ControlLink &L, TimePoint Now) {
  L.NextAsk = std::min(L.NextAsk, Now);
}

TimePoint nextLinkTick(const ControlLink &L) {
  if (L.Answered < L.Sequence)
    return std::min(L.NextAsk, L.AskedAt + AnswerTimeout);
  return L.NextAsk;
}

} // namespace pimento
