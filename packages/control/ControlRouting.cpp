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
constexpr std::size_t MaxConfigBytesInFlight = std::size_t{4} << 20U;
/// Silence of an entry host after which it is no longer in contact: answers to
/// operators do not wait for it.
constexpr Duration ContactTimeout = milliseconds(1500);
constexpr const char *RoutingHostsPath = "/v1/routing/hosts";

bool isConfigInFlight(const ControlTurn &T, const EntryPeer &Entry) {
  auto Bytes = static_cast<double>(T.S.NewestRouting.Text.Data.size());
  Duration Transfer = fromSeconds(Bytes / SlowLinkBytesPerSecond);
  return Entry.Config < Entry.SentConfig &&
         T.Now < Entry.SentAt + ResendDelay + Transfer;
}

/// Logs the spread once the configuration is in force at all hosts in contact.
void tryCompleteSpread(ControlTurn &T) {
  RoutingSpread &Spread = T.S.Spread;
  bool IsDue = Spread.Number != 0 && !Spread.IsComplete && Spread.Copies > 0 &&
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
          {"contact_ms", toMilliseconds(Now - Entry.LastSeen)}};
}

} // namespace

void beginSpread(ControlTurn &T) {
  T.S.Spread = RoutingSpread();
  T.S.Spread.Number = T.S.NewestRouting.Number;
  T.S.Spread.BeganAt = T.Now;
}

bool maySendConfig(const ControlTurn &T, const EntryPeer &Entry) {
  const ControlHost &S = T.S;
  bool Lacks =
      S.NewestRouting.Number > std::max(Entry.Config, Entry.SentConfig);
  if (!Lacks || !isCurrent(S, T.Now))
    return false;
  std::size_t Bytes = 0;
  for (const auto &[Host, Other] : S.Entries)
    Bytes += isConfigInFlight(T, Other) ? S.NewestRouting.Text.Data.size() : 0;
  return Bytes == 0 ||
         Bytes + S.NewestRouting.Text.Data.size() <= MaxConfigBytesInFlight;
}

void addRouting(ControlTurn &T, EntryPeer &Entry, SiteState &State) {
  if (!maySendConfig(T, Entry))
    return;
  State.Text = T.S.NewestRouting.Text;
  Entry.SentConfig = T.S.NewestRouting.Number;
  Entry.SentAt = T.Now;
  T.S.Spread.Copies += 1;
  T.S.Spread.Bytes += State.Text.Data.size();
}

void onConfigReported(ControlTurn &T, const HostId &Host, EntryPeer &Entry,
                      std::uint64_t Number) {
  bool IsNews = Entry.Config != Number;
  Entry.Config = Number;
  if (IsNews)
    Entry.ConfigSince = T.Now;
  if (!isConfigInFlight(T, Entry))
    Entry.SentConfig = Number;
  if (!IsNews || Number != T.S.Spread.Number)
    return;
  T.S.Spread.LastHost = Host;
  tryCompleteSpread(T);
}

std::vector<HostId> hostsBehind(const ControlHost &S, std::uint64_t Number,
                                TimePoint Now) {
  std::vector<HostId> Behind;
  for (const auto &[Host, Entry] : S.Entries) {
    if (Now < Entry.LastSeen + ContactTimeout && Entry.Config < Number)
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
