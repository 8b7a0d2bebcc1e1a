#include <boost/test/unit_test.hpp>

#include "gateway/ControlLink.h"

using namespace pimento;

namespace {

const TimePoint Start = TimePoint(seconds(100));

struct Fixture {
  ControlLink Link;
  Random Rng{7};
  LinkReport Report;

  Fixture() { Link.Seeds = {HostId("a"), HostId("b"), HostId("c")}; }

  std::optional<Outbound> tick(TimePoint Now) {
    return tickLink(Link, Report, Rng, Now);
  }

  SiteState state(const char *Leader, bool Current = true) {
    SiteState M;
    M.Sequence = Link.Sequence;
    M.IsCurrent = Current;
    M.Leader = HostId(Leader);
    M.Controls = {HostId("a"), HostId("b"), HostId("c")};
    M.ControlIncarnation = 1;
    M.Revision = 4;
    return M;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(EntryHostSwitchesToTheLeader, Fixture) {
  auto First = tick(Start);
  BOOST_REQUIRE(First);
  HostId Queried = First->To;
  HostId Leader(Queried == HostId("a") ? "b" : "a");
  BOOST_TEST(applySiteState(Link, Queried, state(Leader.Value.c_str()), Start));
  BOOST_TEST(Link.ActiveControl == Leader);
  auto Second = tick(Start);
  BOOST_REQUIRE(Second);
  BOOST_TEST(Second->To == Leader);
}

BOOST_FIXTURE_TEST_CASE(SilentControlHostIsAbandoned, Fixture) {
  HostId Silent = tick(Start)->To;
  std::optional<Outbound> Next;
  TimePoint Now = Start;
  while (Now < Start + seconds(1) && Link.ActiveControl == Silent) {
    Now += milliseconds(20);
    if (auto M = tick(Now))
      Next = M;
  }
  BOOST_REQUIRE(Next);
  BOOST_TEST(Next->To != Silent);
}

BOOST_FIXTURE_TEST_CASE(StateFromANonCurrentControlHostIsIgnored, Fixture) {
  HostId Queried = tick(Start)->To;
  BOOST_TEST(!applySiteState(Link, Queried, state("", false), Start));
  BOOST_TEST((Link.CurrentAt == TimePoint()));
  auto Next = tick(Start + milliseconds(100));
  BOOST_REQUIRE(Next);
  BOOST_TEST(Next->To != Queried);
}

/// Guards against control hosts that are asked the more the less time they
/// have: hundreds of hosts that hear "not current" came back every 60 ms.
BOOST_FIXTURE_TEST_CASE(HostsBackOffWhileNoControlHostIsCurrent, Fixture) {
  int Queries = 0;
  for (TimePoint Now = Start; Now < Start + seconds(10);
       Now += milliseconds(5)) {
    auto M = tick(Now);
    if (!M)
      continue;
    Queries += 1;
    applySiteState(Link, M->To, state("", false), Now);
  }
  BOOST_TEST(Queries <= 20);
  // The first current state ends it.
  std::optional<Outbound> Next;
  TimePoint Now = Start + seconds(10);
  for (; !Next; Now += milliseconds(5))
    Next = tick(Now);
  BOOST_TEST(
      applySiteState(Link, Next->To, state(Next->To.Value.c_str()), Now));
  BOOST_TEST(Link.NotCurrent == 0U);
  BOOST_TEST(Link.Misses == 0U);
}

/// Guards against the same where control hosts answer late: the time for an
/// answer grows, so that a late one is still taken.
BOOST_FIXTURE_TEST_CASE(TimeForAnAnswerGrowsWhileNoneComes, Fixture) {
  int Queries = 0;
  for (TimePoint Now = Start; Now < Start + seconds(20);
       Now += milliseconds(20)) {
    HostId Before = Link.ActiveControl;
    if (tick(Now) && Link.ActiveControl != Before)
      Queries += 1;
  }
  BOOST_TEST(Queries >= 4); // It looks for another control host all the same.
  BOOST_TEST(Queries <= 9);
}

BOOST_FIXTURE_TEST_CASE(RevisionDoesNotSkipALostUpdate, Fixture) {
  HostId Queried = tick(Start)->To;
  SiteState Whole = state(Queried.Value.c_str());
  Whole.ListsAllServers = true;
  BOOST_TEST(applySiteState(Link, Queried, Whole, Start));
  BOOST_TEST(Link.Revision == 4U);
  SiteState Later = state(Queried.Value.c_str());
  Later.Sequence = 0;
  Later.BaseRevision = 6; // The update from revision 4 to 6 was lost.
  Later.Revision = 7;
  BOOST_TEST(applySiteState(Link, Queried, Later, Start));
  BOOST_TEST(Link.Revision == 4U);
  Later.BaseRevision = 4;
  BOOST_TEST(applySiteState(Link, Queried, Later, Start));
  BOOST_TEST(Link.Revision == 7U);
}

BOOST_FIXTURE_TEST_CASE(OnlyTheLeaderNamesThePlacer, Fixture) {
  HostId Queried = tick(Start)->To;
  SiteState M = state(Queried == HostId("a") ? "b" : "a");
  M.Placer = HostId("x");
  applySiteState(Link, Queried, M, Start);
  BOOST_TEST(Link.Placer.empty());
  applySiteState(Link, M.Leader, M, Start);
  BOOST_TEST(Link.Placer == HostId("x"));
  // A new leader names no placer before it knows the entry hosts.
  M.Placer = HostId();
  applySiteState(Link, M.Leader, M, Start);
  BOOST_TEST(Link.Placer == HostId("x"));
}
