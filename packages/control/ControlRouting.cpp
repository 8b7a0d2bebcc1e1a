// Configurations on their way to the entry hosts: what is sent to which host
// and when, which host has which configuration in force, and the operators'
// view of it.

#include "control/ControlTurn.h"

#include "base/Json.h"
#include "base/Problem.h"

#include <algorithm>

namespace pimento::control {

namespace {

/// Time after which a configuration that is not in force at an entry host is
/// sent again, in addition to its transfer time over a slow link.
constexpr Duration ResendDelay = milliseconds(500);
constexpr double SlowLinkBytesPerSecond = 200e3;
/// Total size of the configurations in flight to entry hosts. More would delay
/// the heartbeats of the replicated log on the leader's link.
constexpr std::size_t MaxBytesInFlight = std::size_t{2} << 20U;
/// Limits of the earlier configurations that are kept as the bases of
/// differences. A host with an older one gets the whole text.
constexpr std::size_t MaxEarlier = 16;
constexpr std::size_t MaxEarlierBytes = std::size_t{16} << 20U;
/// Silence after which an entry host counts as unreachable and is sent nothing,
/// in intervals of its queries.
constexpr double ReachableIntervals = 2.4;
/// Silence of an entry host after which it is no longer in contact, in
/// intervals of its queries: answers to operators do not wait for it.
constexpr int ContactIntervals = 3;
/// Updates with a configuration that are sent in one turn. Each takes time in
/// which the host does nothing else, such as keep its lease.
constexpr std::size_t MaxUpdatesPerTurn = 8;
constexpr const char *RoutingHostsPath = "/v1/routing/hosts";

bool isInFlight(const EntryPeer &Entry, TimePoint Now) {
  auto Bytes = static_cast<double>(Entry.SentBytes);
  Duration Transfer = fromSeconds(Bytes / SlowLinkBytesPerSecond);
  return Entry.Config < Entry.SentConfig &&
         Now < Entry.SentAt + ResendDelay + Transfer;
}

void trimEarlier(std::deque<RoutingVersion> &Earlier) {
  std::size_t Bytes = 0;
  for (const RoutingVersion &Routing : Earlier)
    Bytes += Routing.Text.size();
  while (Earlier.size() > MaxEarlier || Bytes > MaxEarlierBytes) {
    Bytes -= Earlier.front().Text.size();
    Earlier.pop_front();
  }
}

/// The base of the difference for a host; null if it gets the whole text.
const RoutingVersion *baseFor(const ControlHost &S, const EntryPeer &Entry) {
  if (Entry.Form != RoutingForm::Delta)
    return nullptr;
  for (const RoutingVersion &Routing : S.Copies.Earlier) {
    if (Routing.Number == Entry.Config)
      return &Routing;
  }
  return nullptr;
}

/// The update that brings the host to the newest configuration. Prepared once
/// for all hosts with the same base.
const RoutingUpdate &updateFor(ControlHost &S, const EntryPeer &Entry) {
  const RoutingVersion *Base = baseFor(S, Entry);
  auto [It, IsNew] =
      S.Copies.Updates.try_emplace(Base == nullptr ? 0 : Base->Number);
  if (IsNew)
    It->second = Base == nullptr ? wholeUpdate(S.NewestRouting)
                                 : deltaUpdate(*Base, S.NewestRouting);
  return It->second;
}

std::size_t bytesFor(ControlHost &S, const EntryPeer &Entry) {
  return Entry.Form == RoutingForm::Plain
             ? S.NewestRouting.Text.size()
             : updateFor(S, Entry).Packed.Data.size();
}

/// Logs the spread once the configuration is in force at all hosts in contact.
void tryCompleteSpread(ControlTurn &T) {
  RoutingSpread &Spread = T.S.Spread;
  bool IsDue = Spread.Number != 0 && !Spread.IsComplete &&
               Spread.Copies + Spread.Deltas > 0 &&
               hostsBehind(T.S, Spread.Number, T.Now).empty();
  if (!IsDue)
    return;
  Spread.IsComplete = true;
  Duration Time = T.Now - Spread.BeganAt;
  DecisionRecord Record{
      "routing_spread", {}, "in force at every host in contact", {}};
  Record.add("number", static_cast<std::int64_t>(Spread.Number));
  Record.add("spread_ms", toMilliseconds(Time));
  Record.add("copies", static_cast<std::int64_t>(Spread.Copies));
  Record.add("deltas", static_cast<std::int64_t>(Spread.Deltas));
  Record.add("bytes", static_cast<std::int64_t>(Spread.Bytes));
  Record.add("last_host", Spread.LastHost.Value);
  log(T, std::move(Record));
  T.Out.push_back(
      RecordSample{{SampleKind::Distribution, "pimento_routing_spread_seconds",
                    "", toSeconds(Time)}});
}

Json describe(const HostId &Host, const EntryPeer &Entry, TimePoint Now) {
  return {{"host", Host.Value},
          {"number", Entry.Config},
          {"since_ms", toMilliseconds(Now - Entry.ConfigSince)},
          {"sent", Entry.SentConfig},
          {"serving", Entry.Ready},
          {"stale", Entry.Stale},
          {"contact_ms", toMilliseconds(Now - Entry.LastSeen)}};
}

} // namespace

bool isReachable(const EntryPeer &Entry, TimePoint Now) {
  return Now < Entry.LastSeen + fromSeconds(ReachableIntervals *
                                            toSeconds(Entry.SyncInterval));
}

bool isInContact(const EntryPeer &Entry, TimePoint Now) {
  return Now < Entry.LastSeen + ContactIntervals * Entry.SyncInterval;
}

void replaceNewest(ControlTurn &T, RoutingVersion Next) {
  ControlHost &S = T.S;
  if (S.NewestRouting.Number != 0)
    S.Copies.Earlier.push_back(std::move(S.NewestRouting));
  trimEarlier(S.Copies.Earlier);
  S.Copies.Updates.clear();
  S.NewestRouting = std::move(Next);
  S.Spread = RoutingSpread();
  S.Spread.Number = S.NewestRouting.Number;
  S.Spread.BeganAt = T.Now;
  // All entry hosts learn the number at once and the configuration in turn.
  updateHosts(T);
}

std::vector<HostId> hostsToUpdate(ControlTurn &T) {
  ControlHost &S = T.S;
  std::vector<std::pair<const HostId *, const EntryPeer *>> Behind;
  std::size_t Bytes = 0;
  for (const auto &[Host, Entry] : S.Entries) {
    if (isInFlight(Entry, T.Now))
      Bytes += Entry.SentBytes;
    else if (isReachable(Entry, T.Now) && Entry.Config < S.NewestRouting.Number)
      Behind.emplace_back(&Host, &Entry);
  }
  if (Behind.empty() || !isCurrent(S, T.Now))
    return {};
  // The order of addresses would leave the same hosts at an old configuration
  // while newer ones follow each other.
  std::sort(Behind.begin(), Behind.end(), [](const auto &A, const auto &B) {
    return std::tie(A.second->Config, A.second->SentAt, *A.first) <
           std::tie(B.second->Config, B.second->SentAt, *B.first);
  });
  std::vector<HostId> Chosen;
  for (const auto &[Host, Entry] : Behind) {
    std::size_t Next = bytesFor(S, *Entry);
    bool IsFull = Bytes > 0 && Bytes + Next > MaxBytesInFlight;
    if (IsFull || Chosen.size() == MaxUpdatesPerTurn)
      break;
    Bytes += Next;
    Chosen.push_back(*Host);
  }
  return Chosen;
}

void addRouting(ControlTurn &T, EntryPeer &Entry, SiteState &State) {
  ControlHost &S = T.S;
  Entry.SentBytes = bytesFor(S, Entry);
  Entry.SentConfig = S.NewestRouting.Number;
  Entry.SentAt = T.Now;
  if (Entry.Form == RoutingForm::Plain)
    State.Text.Data = S.NewestRouting.Text;
  else
    State.Routing = updateFor(S, Entry);
  bool IsDelta = State.Routing.Base != 0;
  (IsDelta ? S.Spread.Deltas : S.Spread.Copies) += 1;
  S.Spread.Bytes += Entry.SentBytes;
  count(T, "pimento_routing_updates_total",
        IsDelta ? "form=\"delta\"" : "form=\"whole\"");
}

void onConfigReported(ControlTurn &T, const HostId &Host, EntryPeer &Entry,
                      const EntrySync &M) {
  bool IsNew = Entry.Config != M.Config;
  bool IsRefused = M.Form == RoutingForm::Whole && Entry.Form != M.Form;
  Entry.Config = M.Config;
  Entry.Form = M.Form;
  Entry.Stale = M.Stale;
  if (IsNew)
    Entry.ConfigSince = T.Now;
  if (IsRefused || !isInFlight(Entry, T.Now))
    Entry.SentConfig = M.Config;
  if (IsNew && M.Config == T.S.Spread.Number)
    T.S.Spread.LastHost = Host;
  tryCompleteSpread(T);
}

std::vector<HostId> hostsBehind(const ControlHost &S, std::uint64_t Number,
                                TimePoint Now) {
  std::vector<HostId> Behind;
  for (const auto &[Host, Entry] : S.Entries) {
    if (isInContact(Entry, Now) && !Entry.Stale && Entry.Config < Number)
      Behind.push_back(Host);
  }
  return Behind;
}

bool routingCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  if (R.Path != RoutingHostsPath || R.Method != HttpMethod::Get)
    return false;
  Json Hosts = Json::array();
  for (const auto &[Host, Entry] : T.S.Entries)
    Hosts.push_back(describe(Host, Entry, T.Now));
  Json Body = {{"newest", T.S.NewestRouting.Number},
               {"leads", isLeader(T.S, T.Now)},
               {"hosts", std::move(Hosts)}};
  reply(T, Exchange, jsonReply(200, Body.dump() + "\n"));
  return true;
}

} // namespace pimento::control
