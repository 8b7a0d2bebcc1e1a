// Large configurations on a site with many entry hosts: an acknowledged change
// is in force everywhere in time, also in a series of changes that follow each
// other faster than a copy of the whole table could be sent to all hosts.

#include "gateway/tests/SpreadSite.h"
#include "testing/KnownRed.h"

#include <boost/test/unit_test.hpp>

using namespace pimento;
using namespace pimento::testing;

namespace {

constexpr std::size_t GrownHosts = 76;
constexpr std::size_t LargestHosts = 100;
/// The pages' configApplyMs: an acknowledged change is in force everywhere
/// after this time.
constexpr Duration ApplyTime = milliseconds(2500);
/// Heartbeats of the replicated log are sent at this interval.
constexpr Duration HeartbeatInterval = milliseconds(120);

/// Hosts without a configuration ApplyTime after its acknowledgement, summed
/// over all configurations acknowledged so far.
struct StaleHosts {
  std::map<std::uint64_t, std::size_t> ByNumber;

  void look(const SpreadSite &Site) {
    for (const auto &[Number, Table] : Site.Sent) {
      bool IsDue = Table.Status == 200 &&
                   Site.now() >= Table.AnsweredAt + ApplyTime &&
                   ByNumber.count(Number) == 0;
      if (IsDue)
        ByNumber[Number] = Site.hostsBelow(Number);
    }
  }
  std::size_t sum() const {
    std::size_t Sum = 0;
    for (const auto &[Number, Count] : ByNumber)
      Sum += Count;
    return Sum;
  }
};

/// Sends the changes one after the other, each as soon as the one before was
/// answered, and waits until all are judged.
StaleHosts sendInSeries(SpreadSite &Site,
                        const std::vector<RoutingTable> &Tables) {
  StaleHosts Stale;
  for (const RoutingTable &Table : Tables) {
    Site.put(Table);
    for (int I = 0; I < 2000 && Site.Sent[Table.Number].Status == 0; ++I)
      Site.run(milliseconds(5), [&] { Stale.look(Site); });
  }
  Site.run(ApplyTime + seconds(1), [&] { Stale.look(Site); });
  return Stale;
}

std::vector<RoutingTable> changesOfALargeTable() {
  return {{8, 1400},
          {12, 1400, 16000},
          {16, 2800, 16000},
          {20, 2800, 17000},
          {24, 2800, 18000}};
}

} // namespace

/// Guards against hosts at the end of the order that stay at an old
/// configuration while newer ones go to the hosts before them.
BOOST_AUTO_TEST_CASE(ChangesInSeriesReachAllHostsInTime) {
  SpreadSite Site(3, GrownHosts);
  StaleHosts Stale = sendInSeries(Site, changesOfALargeTable());
  BOOST_TEST(Stale.ByNumber.size() == 5U);
  checkUnlessKnownRed("ChangesInSeriesReachAllHostsInTime", Stale.sum() == 0,
                      std::to_string(Stale.sum()) +
                          " hosts without an acknowledged configuration");
}

/// Guards against an acknowledgement that is sent because time has passed,
/// while hosts that are in contact have an older configuration in force.
BOOST_AUTO_TEST_CASE(AcknowledgedConfigurationIsInForceAtHostsInContact) {
  SpreadSite Site(4, GrownHosts);
  sendInSeries(Site, changesOfALargeTable());
  std::size_t Below = 0;
  for (const auto &[Number, Table] : Site.Sent)
    Below += Table.Status == 200 ? Table.BelowAtAnswer : 0;
  checkUnlessKnownRed("AcknowledgedConfigurationIsInForceAtHostsInContact",
                      Below == 0,
                      std::to_string(Below) + " hosts at acknowledgements");
}

/// Guards against a change whose cost grows with the table: one field of 10,000
/// routes at 100 hosts is in force within a quarter of the allowed time,
/// without delaying heartbeats on the leader's link.
BOOST_AUTO_TEST_CASE(OneFieldOfALargeTableIsInForceAtOnce) {
  SpreadSite Site(5, LargestHosts);
  RoutingTable Table = {8, 10000};
  const char *Case = "OneFieldOfALargeTableIsInForceAtOnce";
  Site.put(Table);
  bool HasTable =
      Site.runUntil(seconds(60), [&] { return Site.hostsBelow(8) == 0; });
  checkUnlessKnownRed(Case, HasTable,
                      std::to_string(Site.hostsBelow(8)) +
                          " hosts without the table after a minute");
  Site.run(seconds(1));
  std::uint64_t BytesBefore = Site.BytesToEntries;
  Site.LongestBacklog = Duration::zero();
  Table.Number = 9;
  Table.ChangedRoute = 5000;
  Table.ChangedTimeout = 9000;
  Site.put(Table);
  bool InForce =
      Site.runUntil(ApplyTime / 4, [&] { return Site.hostsBelow(9) == 0; });
  checkUnlessKnownRed(Case, InForce,
                      std::to_string(Site.hostsBelow(9)) +
                          " hosts without it after a quarter of the time");
  std::uint64_t Bytes = Site.BytesToEntries - BytesBefore;
  std::uint64_t OneCopy = textOf(Table).size();
  checkUnlessKnownRed(Case, Bytes < OneCopy,
                      std::to_string(Bytes) + " bytes to all hosts, one copy " +
                          std::to_string(OneCopy));
  checkUnlessKnownRed(Case, Site.LongestBacklog < HeartbeatInterval,
                      std::to_string(toMilliseconds(Site.LongestBacklog)) +
                          " ms wait for the leader's link");
}

namespace {

/// Hosts that are up and whose text is not that of \p Table.
std::size_t hostsWithOtherText(const SpreadSite &Site,
                               const RoutingTable &Table) {
  std::string Text = textOf(Table);
  std::size_t Count = 0;
  for (const auto &[Name, Entry] : Site.Entries)
    Count += Entry.Up && Entry.State.Routing.Text != Text ? 1 : 0;
  return Count;
}

constexpr std::size_t FewHosts = 20;

} // namespace

/// Guards against a new leader that holds other bases than the one before.
BOOST_AUTO_TEST_CASE(SeriesGoesOnWhenTheLeaderIsLost) {
  SpreadSite Site(6, FewHosts);
  std::vector<RoutingTable> Tables = changesOfALargeTable();
  for (const RoutingTable &Table : Tables) {
    Site.put(Table);
    Site.run(milliseconds(150));
    if (Table.Number != 16)
      continue;
    HostId Leader = Site.Control.leader();
    Site.Control.losePower(Leader);
    Site.run(milliseconds(100));
    Site.Control.start(Leader, false);
    Site.run(seconds(3));
    Site.put(Table);
  }
  std::uint64_t Last = Tables.back().Number;
  Site.runUntil(seconds(6), [&] { return Site.hostsBelow(Last) == 0; });
  BOOST_TEST(hostsWithOtherText(Site, Tables.back()) == 0U);
}

/// Guards against an update that is lost and never sent again.
BOOST_AUTO_TEST_CASE(LostUpdatesAreSentAgain) {
  SpreadSite Site(7, FewHosts);
  Site.Loss = 0.3;
  std::vector<RoutingTable> Tables = changesOfALargeTable();
  for (const RoutingTable &Table : Tables) {
    Site.put(Table);
    Site.run(milliseconds(400));
  }
  std::uint64_t Last = Tables.back().Number;
  Site.runUntil(seconds(20), [&] { return Site.hostsBelow(Last) == 0; });
  BOOST_TEST(hostsWithOtherText(Site, Tables.back()) == 0U);
}

/// Guards against half a table in force at a host that returns, joins, or has
/// another text than the control host believes.
BOOST_AUTO_TEST_CASE(HostsWithoutTheBaseGetTheWholeTable) {
  SpreadSite Site(8, FewHosts);
  RoutingTable Table = {8, 1400};
  Site.put(Table);
  Site.run(seconds(2));
  BOOST_TEST(Site.hostsBelow(8) == 0U);
  HostId Returns = Site.Entries.begin()->first;
  SpreadEntry &Wrong = Site.Entries.rbegin()->second;
  Wrong.State.Routing.Text.replace(300, 3, "???");
  Site.kill(Returns);
  Table.Number = 9;
  Table.ChangedRoute = 7;
  Table.ChangedTimeout = 9000;
  Site.put(Table);
  Site.run(milliseconds(50));
  Site.restart(Returns);
  Site.addEntry();
  // The leader learns by the last host's next message that all have it.
  Site.runUntil(seconds(3), [&] {
    return Site.hostsBelow(9) == 0 && Site.Sent[9].Status != 0;
  });
  BOOST_TEST(Site.hostsBelow(9) == 0U);
  BOOST_TEST(hostsWithOtherText(Site, Table) == 0U);
  BOOST_TEST(Site.Sent[9].Status == 200);
}

/// A base is kept for the last few changes only. Guards against a host that
/// returns after more of them and can never be updated.
BOOST_AUTO_TEST_CASE(HostThatMissedManyChangesGetsTheWholeTable) {
  SpreadSite Site(9, 3);
  RoutingTable Table = {8, 200};
  Site.put(Table);
  Site.run(seconds(1));
  SpreadEntry &Slow = Site.Entries.begin()->second;
  Slow.BusyUntil = Site.now() + seconds(5);
  for (int I = 0; I < 25; ++I) {
    Table.Number += 3;
    Table.IdleTimeout += 1;
    Site.put(Table);
    Site.run(milliseconds(150));
  }
  Site.runUntil(seconds(8), [&] { return Site.hostsBelow(Table.Number) == 0; });
  BOOST_TEST(hostsWithOtherText(Site, Table) == 0U);
}

/// One host that is far too slow must not keep operators from their
/// acknowledgement, nor serve with the configuration from before it.
BOOST_AUTO_TEST_CASE(SlowHostRefusesRequestsInsteadOfHoldingUpOperators) {
  SpreadSite Site(10, FewHosts);
  Site.put({8, 1400});
  Site.run(seconds(2));
  SpreadEntry &Slow = Site.Entries.begin()->second;
  Slow.Slowness = 60;
  Site.put({9, 2800});
  Site.runUntil(seconds(4), [&] { return Site.Sent[9].Status != 0; });
  BOOST_TEST(Site.Sent[9].Status == 200);
  bool MayServeOld = SpreadSite::inForce(Slow) < 9 && !Slow.State.Stale;
  BOOST_TEST(!MayServeOld);
  Site.runUntil(seconds(30), [&] { return Site.hostsBelow(9) == 0; });
  BOOST_TEST(!Slow.State.Stale);
}

namespace {

/// Backend servers of which one leaves and another one starts each half second,
/// as in the users' record of CONFIG.
struct ServersInTurn {
  static constexpr Duration Interval = milliseconds(500);
  static constexpr int Count = 30;
  TimePoint NextAt{};
  int Newest = 0; // Number of the server that started last.

  void step(SpreadSite &Site) {
    if (Site.now() < NextAt)
      return;
    NextAt = Site.now() + Interval;
    Newest += 1;
    report(Site, Newest, "ready");
    if (Newest > Count)
      report(Site, Newest - Count, "draining");
  }

private:
  static void report(SpreadSite &Site, int Number, const char *State) {
    std::string Id = "s" + std::to_string(Number);
    std::string Body = R"({"service":"llm","address":"10.9.0.)" +
                       std::to_string(Number) +
                       R"(:80","zone":"z","slots":16,"sequence":)" +
                       std::to_string(std::string(State) == "ready" ? 1 : 2) +
                       R"(,"born":1,"state":")" + State + R"("})";
    Site.Control.request(Site.Control.leader(), HttpMethod::Post,
                         ("/-/replicas/" + Id + "/heartbeat").c_str(), Body);
  }
};

} // namespace

/// Guards against a large table that is late at some hosts since the list of
/// backend servers changes all the while and travels with it.
BOOST_AUTO_TEST_CASE(ChangesInSeriesAreInTimeWhileServersAreReplaced) {
  SpreadSite Site(11, GrownHosts);
  ServersInTurn Servers;
  StaleHosts Stale;
  auto Step = [&] {
    Servers.step(Site);
    Stale.look(Site);
  };
  for (int I = 0; I < ServersInTurn::Count; ++I) {
    Servers.NextAt = TimePoint();
    Site.run(milliseconds(5), Step);
  }
  std::size_t Below = 0;
  for (const RoutingTable &Table : changesOfALargeTable()) {
    Site.put(Table);
    for (int I = 0; I < 2000 && Site.Sent[Table.Number].Status == 0; ++I)
      Site.run(milliseconds(5), Step);
    BOOST_TEST(Site.Sent[Table.Number].Status == 200);
    Below += Site.Sent[Table.Number].BelowAtAnswer;
  }
  Site.run(ApplyTime + seconds(1), Step);
  BOOST_TEST(Servers.Newest > ServersInTurn::Count);
  BOOST_TEST(Stale.ByNumber.size() == 5U);
  BOOST_TEST(Stale.sum() == 0U);
  BOOST_TEST(Below == 0U);
}

/// The final fault of the users' pages: a control host loses its disk right
/// after an acknowledgement, and all other hosts, entry hosts too, lose power
/// at the same moment. Guards against a site that learns an older configuration
/// from a host that was not lost, and against one that does not serve again.
BOOST_AUTO_TEST_CASE(AllHostsHaveTheConfigurationAfterALostDiskAndLossOfPower) {
  constexpr std::uint64_t Seeds = 24;
  constexpr std::size_t EntryHosts = 9;
  constexpr Duration RecoverTime = seconds(12);
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SpreadSite Site(Seed, EntryHosts);
    Random Rng(Seed);
    std::vector<HostId> Names;
    for (const auto &[Name, Entry] : Site.Entries)
      Names.push_back(Name);
    for (std::uint64_t Number : {8U, 12U}) {
      Site.put({Number, 100, 15000 + Number});
      BOOST_TEST_REQUIRE(Site.runUntil(
          seconds(10), [&] { return Site.Sent[Number].Status != 0; }));
      BOOST_TEST_REQUIRE(Site.Sent[Number].Status == 200);
    }
    for (const HostId &Name : Names)
      Site.kill(Name);
    std::size_t Lost = below(Rng, Site.Control.Seeds.size());
    for (std::size_t I = 0; I < Site.Control.Seeds.size(); ++I) {
      if (I == Lost)
        Site.Control.loseDisk(Site.Control.Seeds[I]);
      else
        Site.Control.losePowerInWrite(Site.Control.Seeds[I]);
    }
    Site.run(milliseconds(static_cast<std::int64_t>(500 + below(Rng, 1100))));
    // Entry hosts may be back before the control hosts or after them.
    bool EntriesFirst = below(Rng, 2) == 0;
    if (!EntriesFirst)
      Site.Control.startAll(false);
    for (const HostId &Name : Names) {
      Site.run(milliseconds(static_cast<std::int64_t>(below(Rng, 60))));
      Site.restart(Name);
    }
    if (EntriesFirst)
      Site.Control.startAll(false);
    std::size_t Older = 0;
    auto CountOlder = [&] {
      for (const auto &[Name, Entry] : Site.Entries) {
        std::uint64_t Number = SpreadSite::inForce(Entry);
        Older += Number != 0 && Number < 12 ? 1 : 0;
      }
      return Site.hostsBelow(12) == 0;
    };
    BOOST_TEST(Site.runUntil(RecoverTime, CountOlder),
               "seed " << Seed << ": " << Site.hostsBelow(12)
                       << " hosts without the configuration");
    BOOST_TEST(Older == 0U, "seed " << Seed);
  }
}
