#define BOOST_TEST_MODULE relay
#include <boost/test/unit_test.hpp>

#include "relay/PathWatch.h"

#include <algorithm>
#include <functional>

using namespace pimento;

namespace {

const ServiceId Pool("pool");
constexpr Duration Step = milliseconds(10);
constexpr Duration ConnectTime = milliseconds(10);

std::vector<BackendId> servers(int Count) {
  std::vector<BackendId> List(static_cast<std::size_t>(Count));
  for (std::size_t I = 0; I < List.size(); ++I)
    List[I] = BackendId("s" + std::to_string(I));
  return List;
}

/// A host that probes the servers of one service, and another host that it
/// asks.
struct Host {
  PathWatch W;
  std::vector<BackendId> Ready;
  TimePoint Now = TimePoint() + seconds(100);
  std::function<bool(const BackendId &)> Reaches;
  std::function<PathFinding(const BackendId &)> Finds;
  std::size_t Probes = 0;
  std::size_t Queries = 0;

  explicit Host(int Servers) : Ready(servers(Servers)) {
    Reaches = [](const BackendId &) { return true; };
    Finds = [](const BackendId &) { return PathFinding::Unknown; };
  }

  void connect(const BackendId &Server) {
    if (Reaches(Server))
      noteReached(W, Pool, Server, Now);
    else
      noteFailed(W, Pool, Server, Now);
  }
  void run(Duration Time) {
    for (TimePoint End = Now + Time; Now < End; Now += Step) {
      for (const BackendId &Server : takeProbes(W, Pool, Ready, Now)) {
        Probes += 1;
        connect(Server);
      }
      for (const DoubtedServer &D : takeDoubts(W, 8, Now)) {
        Queries += 1;
        noteFinding(W, D.Server, Finds(D.Server), Now);
      }
      updateState(W, Pool, Ready, Now);
      forgetPaths(W, Now);
    }
  }
  PathState state() const { return pathState(W, Pool); }
  /// Runs until the state holds; returns the time that it took.
  Duration until(PathState Wanted, Duration Limit) {
    TimePoint Begin = Now;
    while (state() != Wanted && Now < Begin + Limit)
      run(Step);
    return Now - Begin;
  }
  /// This host loses its path to all servers; other hosts reach them.
  void loseAll() {
    Reaches = [](const BackendId &) { return false; };
    Finds = [](const BackendId &) { return PathFinding::Reached; };
  }
  void healAll() {
    Reaches = [](const BackendId &) { return true; };
  }
};

bool isIn(const BackendId &Server, int First, int Last) {
  int Number = std::stoi(Server.Value.substr(1));
  return Number >= First && Number < Last;
}

} // namespace

/// Guards against a cut that is noticed late: one request finds it.
BOOST_AUTO_TEST_CASE(OneFailureLeadsToTheCutWithinAMoment) {
  for (int Servers : {1, 2, 3, 16, 70}) {
    Host H(Servers);
    H.loseAll();
    H.connect(H.Ready[0]);
    BOOST_TEST((H.until(PathState::Cut, seconds(3)) <= milliseconds(100)));
  }
}

/// Guards against a host that hands requests over since servers are down:
/// other hosts do not reach them either.
BOOST_AUTO_TEST_CASE(ServersThatNobodyReachesAreNoCut) {
  Host H(16);
  H.Reaches = [](const BackendId &) { return false; };
  H.Finds = [](const BackendId &) { return PathFinding::Unreached; };
  H.connect(H.Ready[0]);
  for (int I = 0; I < 500; ++I) {
    H.run(Step);
    BOOST_TEST((H.state() != PathState::Cut));
  }
  BOOST_TEST((H.state() == PathState::NoneUp));
}

/// Guards against a state that comes and goes while no server is reached.
BOOST_AUTO_TEST_CASE(NoServerIsReachedForLong) {
  for (PathFinding Finding : {PathFinding::Unknown, PathFinding::Unreached}) {
    Host H(10);
    H.Reaches = [](const BackendId &) { return false; };
    H.Finds = [&](const BackendId &) { return Finding; };
    H.connect(H.Ready[9]);
    H.until(PathState::NoneUp, seconds(2));
    BOOST_TEST((H.state() == PathState::NoneUp));
    for (int I = 0; I < 1000; ++I) {
      H.run(Step);
      BOOST_TEST((H.state() == PathState::NoneUp));
    }
    H.healAll();
    BOOST_TEST((H.until(PathState::Direct, seconds(3)) <= seconds(1)));
  }
}

/// Guards against a host that takes the crash of many servers for a cut: it
/// reaches the others.
BOOST_AUTO_TEST_CASE(CrashOfManyServersIsNoCut) {
  Host H(16);
  H.Reaches = [](const BackendId &S) { return isIn(S, 12, 16); };
  H.Finds = [](const BackendId &S) {
    return isIn(S, 12, 16) ? PathFinding::Reached : PathFinding::Unreached;
  };
  for (const BackendId &Server : H.Ready)
    H.connect(Server);
  for (int I = 0; I < 300; ++I) {
    H.run(Step);
    BOOST_TEST((H.state() != PathState::Cut));
    BOOST_TEST((H.state() != PathState::NoneUp));
  }
}

/// Guards against a server that is silent for a moment: its service is used all
/// the while.
BOOST_AUTO_TEST_CASE(SilentServerIsNoCut) {
  Host H(3);
  TimePoint Back = H.Now + milliseconds(1200);
  H.Reaches = [&](const BackendId &S) {
    return !isIn(S, 0, 1) || H.Now > Back;
  };
  H.Finds = [&](const BackendId &) { return PathFinding::Unknown; };
  H.connect(H.Ready[0]);
  for (int I = 0; I < 300; ++I) {
    H.run(Step);
    BOOST_TEST((H.state() != PathState::Cut));
    BOOST_TEST((H.state() != PathState::NoneUp));
  }
  BOOST_TEST((H.state() == PathState::Direct));
}

/// Guards against a path that is back and is not used: it is found by probes,
/// in the largest services as well.
BOOST_AUTO_TEST_CASE(PathThatIsBackIsUsedWithinASecond) {
  for (int Servers : {1, 3, 16, 70}) {
    Host H(Servers);
    H.loseAll();
    H.connect(H.Ready[0]);
    H.run(seconds(5));
    BOOST_TEST((H.state() == PathState::Cut));
    H.healAll();
    BOOST_TEST((H.until(PathState::Direct, seconds(5)) <= milliseconds(1200)));
    H.run(seconds(2));
    BOOST_TEST((H.state() == PathState::Direct));
  }
}

/// Guards against callers that pay for each return of a flapping cut.
BOOST_AUTO_TEST_CASE(FlappingCutReturnsLessOften) {
  Host H(16);
  std::size_t Changes = 0;
  for (int I = 0; I < 30; ++I) {
    H.loseAll();
    H.connect(H.Ready[0]);
    H.run(milliseconds(700));
    H.healAll();
    H.run(milliseconds(1100));
    Changes += H.state() == PathState::Direct ? 1 : 0;
  }
  BOOST_TEST(Changes <= 3U);
  H.run(seconds(6));
  BOOST_TEST((H.state() == PathState::Direct));
}

/// Guards against a host that reaches most servers and hands all requests over,
/// and against one that reaches few and sends all requests to these.
BOOST_AUTO_TEST_CASE(HostThatReachesSomeServersFollowsTheMajority) {
  for (int Lost : {3, 13}) {
    Host H(16);
    H.Reaches = [&](const BackendId &S) { return !isIn(S, 0, Lost); };
    H.Finds = [](const BackendId &) { return PathFinding::Reached; };
    for (int I = 0; I < 40; ++I) {
      H.connect(H.Ready[static_cast<std::size_t>(I * 7 % 16)]);
      H.run(milliseconds(100));
    }
    BOOST_TEST((H.state() == PathState::Cut) == (Lost > 8));
    BOOST_TEST(isPathDoubted(H.W, H.Ready[0], H.Now));
    BOOST_TEST(!isPathDoubted(H.W, H.Ready[15], H.Now));
  }
}

/// Guards against a failure that is held against a server although only this
/// host does not reach it, and against one that is never held against it.
BOOST_AUTO_TEST_CASE(VerdictsNeedAnotherHostOrAnotherServer) {
  PathWatch W;
  TimePoint Now = TimePoint() + seconds(9);
  BackendId A("a");
  BackendId B("b");
  noteFailed(W, Pool, A, Now);
  BOOST_TEST((verdictOf(W, A, Now, Now) == FailureVerdict::Open));
  TimePoint Later = Now + seconds(1);
  BOOST_TEST((verdictOf(W, A, Now, Later) == FailureVerdict::Undecided));
  noteReached(W, Pool, B, Now + milliseconds(1));
  BOOST_TEST((verdictOf(W, A, Now, Now) == FailureVerdict::Open));
  BOOST_TEST((verdictOf(W, A, Now, Later) == FailureVerdict::ServerAtFault));
  noteFinding(W, A, PathFinding::Reached, Now + milliseconds(2));
  BOOST_TEST((verdictOf(W, A, Now, Later) == FailureVerdict::PathAtFault));
  noteFinding(W, A, PathFinding::Unreached, Now + milliseconds(3));
  BOOST_TEST((verdictOf(W, A, Now, Later) == FailureVerdict::PathAtFault));
  noteReached(W, Pool, A, Now + milliseconds(4));
  BOOST_TEST((verdictOf(W, A, Now, Later) == FailureVerdict::ServerAtFault));
}

/// Guards against memory and work that stay after trouble is over.
BOOST_AUTO_TEST_CASE(NothingIsKeptOfSoundPaths) {
  Host H(16);
  H.loseAll();
  H.connect(H.Ready[0]);
  H.run(seconds(3));
  H.healAll();
  H.run(seconds(20));
  BOOST_TEST(H.W.Servers.empty());
  BOOST_TEST(H.W.Services.empty());
  BOOST_TEST(H.W.Failed.empty());
  BOOST_TEST((nextProbe(H.W) == TimePoint::max()));
  BOOST_TEST((nextDoubt(H.W, H.Now) == TimePoint::max()));
  std::size_t Probes = H.Probes;
  H.run(seconds(5));
  BOOST_TEST(H.Probes == Probes);
}

/// Guards against a service that is never asked about, since another one has
/// many servers that are not reached.
BOOST_AUTO_TEST_CASE(AllServicesAreAskedAbout) {
  PathWatch W;
  TimePoint Now = TimePoint() + seconds(9);
  ServiceId Small("small");
  for (const BackendId &Server : servers(30))
    noteFailed(W, Pool, Server, Now);
  noteFailed(W, Small, BackendId("z"), Now);
  bool IsAsked = false;
  for (int I = 0; I < 4; ++I) {
    for (const DoubtedServer &D : takeDoubts(W, 8, Now))
      IsAsked = IsAsked || D.Server == BackendId("z");
  }
  BOOST_TEST(IsAsked);
  for (const ServiceId &Service : {Pool, Small})
    W.Services[Service].State = PathState::Cut;
  std::vector<DoubtedServer> Lost = lostServers(W, 8, Now);
  BOOST_TEST(Lost.size() == 5U);
  BOOST_TEST(Lost.back().Server == BackendId("z"));
}
