#include "gateway/tests/SpreadSite.h"

#include <algorithm>

namespace pimento::testing {

namespace {

constexpr Duration Step = milliseconds(5);
constexpr Duration LinkDelay = milliseconds(1);
/// Links of the users' smallest deployment, in bytes per second.
constexpr double UplinkBytesPerSecond = 170e6 / 8;
constexpr double DownlinkBytesPerSecond = 20e6 / 8;
/// Bytes of a message that an entry host with its share of a processor decodes
/// per second.
constexpr double DecodeBytesPerSecond = 5e6;
/// Time for the indexes of a new table, per route, on the same share.
constexpr Duration IndexTimePerRoute = microseconds(8);

Duration transferTime(std::size_t Bytes, double BytesPerSecond) {
  return fromSeconds(static_cast<double>(Bytes) / BytesPerSecond);
}

std::string routeText(const RoutingTable &Table, std::size_t Index) {
  std::string Id = std::to_string(Index * 7919 + 104729);
  std::uint64_t Timeout =
      Index == Table.ChangedRoute ? Table.ChangedTimeout : 10000;
  return R"({"name":"r-)" + Id + R"(","host":"h)" + Id +
         R"(.example","pathPrefix":"/p)" + Id +
         R"(/","routeType":"streaming","timeoutMs":)" +
         std::to_string(Timeout) +
         R"(,"sloMs":300,"priority":1,"service":"llm","maxAttempts":2,)"
         R"("public":false,"sticky":true,"resumable":true,"itlTargetMs":250})";
}

} // namespace

std::string textOf(const RoutingTable &Table) {
  std::string Text =
      R"({"version":)" + std::to_string(Table.Number) + R"(,"routes":[)";
  for (std::size_t I = 0; I < Table.Routes; ++I)
    Text += (I == 0 ? "" : ",") + routeText(Table, I);
  Text += R"(],"services":[{"name":"llm","healthPath":"/healthz"}],)"
          R"("limits":{"maxHeaderBytes":16384,"idleTimeoutMs":)";
  return Text + std::to_string(Table.IdleTimeout) +
         R"(},"tenants":[{"name":"t","apiKeys":["k"]}]})";
}

SpreadSite::SpreadSite(std::uint64_t Seed, std::size_t EntryCount)
    : Control(Seed, {"10.0.0.1", "10.0.0.2", "10.0.0.3"}), Rng(Seed) {
  Control.OnOtherHost = [this](const HostId &From, const SendPeer &Send) {
    sendToEntry(From, Send);
  };
  Control.startAll(true);
  Control.waitForLeader(seconds(5));
  for (std::size_t I = 0; I < EntryCount; ++I)
    addEntry();
  run(seconds(2));
}

HostId SpreadSite::addEntry() {
  constexpr std::size_t HostsOfNet = 250;
  std::size_t Index = NextEntry++;
  HostId Name("10.1." + std::to_string(Index / HostsOfNet) + "." +
              std::to_string(Index % HostsOfNet + 1));
  restart(Name);
  return Name;
}

void SpreadSite::restart(const HostId &Name) {
  GatewayStart G;
  G.Config.Host.PeerAddress = Name.Value + ":7340";
  G.Config.Join.Role = "entry";
  G.Config.Join.Seeds = "10.0.0.1:8080,10.0.0.2:8080,10.0.0.3:8080";
  G.Config.Drain.Limit = seconds(8);
  G.Platform = platform::adapter();
  G.Incarnation = NextIncarnation++;
  G.Seed = Rng();
  SpreadEntry &Entry = Entries[Name];
  Entry.State = makeGateway(G, now());
  Entry.Up = true;
  Entry.BusyUntil = now();
}

void SpreadSite::kill(const HostId &Name) {
  Entries.at(Name).Up = false;
  for (const HostId &Host : Control.Seeds) {
    if (!Control.Net.up(Host))
      continue;
    Control.loseLink(Host, Name);
  }
}

void SpreadSite::sendToEntry(const HostId &From, const SendPeer &Send) {
  Letter L;
  L.From = From;
  L.To = Send.To;
  L.Incarnation = 1;
  L.Bytes = encode(Send.Content).size();
  L.Content = Send.Content;
  BytesToEntries += L.Bytes;
  TimePoint Begin = std::max(now(), UplinkFreeAt[From]);
  LongestBacklog = std::max(LongestBacklog, Begin - now());
  TimePoint Left = Begin + transferTime(L.Bytes, UplinkBytesPerSecond);
  UplinkFreeAt[From] = Left;
  TimePoint Arrived = std::max(Left + LinkDelay, DownlinkFreeAt[Send.To]) +
                      transferTime(L.Bytes, DownlinkBytesPerSecond);
  DownlinkFreeAt[Send.To] = Arrived;
  if (Loss > 0 && uniform(Rng) < Loss)
    return;
  Letters.emplace(Arrived, std::move(L));
}

void SpreadSite::event(const HostId &Name, SpreadEntry &Entry, const Event &E) {
  for (const Effect &Out : reduceGateway(Entry.State, E, now())) {
    const auto *Send = std::get_if<SendPeer>(&Out);
    if (Send != nullptr)
      Control.deliverFrom(Name, Entry.State.Incarnation, Send->To,
                          Send->Content, LinkDelay);
  }
}

void SpreadSite::stepLetters() {
  while (!Letters.empty() && Letters.begin()->first <= now()) {
    Letter L = std::move(Letters.begin()->second);
    Letters.erase(Letters.begin());
    auto To = Entries.find(L.To);
    if (To == Entries.end() || !To->second.Up)
      continue;
    SpreadEntry &Entry = To->second;
    if (now() < Entry.BusyUntil) {
      Letters.emplace(Entry.BusyUntil, std::move(L));
      continue;
    }
    std::uint64_t Before = inForce(Entry);
    event(L.To, Entry, PeerMessage{L.From, L.Incarnation, L.Content});
    Duration Work = transferTime(L.Bytes, DecodeBytesPerSecond);
    if (inForce(Entry) != Before)
      Work += IndexTimePerRoute *
              static_cast<int>(Entry.State.Routes->Config.Routes.size());
    Entry.BusyUntil = now() + fromSeconds(toSeconds(Work) * Entry.Slowness);
  }
}

void SpreadSite::stepEntries() {
  for (auto &[Name, Entry] : Entries) {
    bool IsFree = Entry.Up && now() >= Entry.BusyUntil;
    if (IsFree && now() >= nextWakeup(Entry.State, now()))
      event(Name, Entry, Tick());
  }
}

void SpreadSite::stepOperator() {
  for (auto &[Number, Table] : Sent) {
    if (Table.Status != 0)
      continue;
    Table.Status = Control.statusOf(Table.To, Table.Exchange);
    if (Table.Status == 0)
      continue;
    Table.AnsweredAt = now();
    Table.BelowAtAnswer = hostsBelow(Number);
  }
}

void SpreadSite::run(Duration Time, const std::function<void()> &Action) {
  for (TimePoint End = now() + Time; now() < End;) {
    Control.Net.runFor(Step);
    stepLetters();
    stepEntries();
    stepOperator();
    if (Action)
      Action();
  }
}

bool SpreadSite::runUntil(Duration Limit, const std::function<bool()> &Done) {
  for (TimePoint End = now() + Limit; now() < End && !Done();)
    run(Step);
  return Done();
}

void SpreadSite::put(const RoutingTable &Table) {
  HostId Leader = Control.waitForLeader(seconds(10));
  SentTable Entry;
  Entry.To = Leader;
  Entry.SentAt = now();
  Entry.Exchange = Control.request(Leader, HttpMethod::Post,
                                   "/-/config/replace", textOf(Table));
  Sent[Table.Number] = Entry;
}

std::uint64_t SpreadSite::inForce(const SpreadEntry &Entry) {
  return Entry.State.Routes ? Entry.State.Routes->Config.Number : 0;
}

std::size_t SpreadSite::hostsBelow(std::uint64_t Number) const {
  std::size_t Count = 0;
  for (const auto &[Name, Entry] : Entries)
    Count += Entry.Up && inForce(Entry) < Number ? 1 : 0;
  return Count;
}

} // namespace pimento::testing
