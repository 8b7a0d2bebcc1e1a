// Entry hosts that lose their paths to backend servers, while callers, control
// hosts and other entry hosts still reach them.

#include "gateway/tests/ServerSite.h"
#include "testing/KnownRed.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace pimento;
using namespace pimento::testing;

namespace {

/// The pages' contactMs: from this time after a cut began, the hosts behind it
/// serve as the others do.
constexpr Duration ContactTime = seconds(3);
constexpr Duration CutTime = seconds(9);
/// First tries at cut hosts are served at least this often, relative to those
/// at other hosts.
constexpr double MinShareOfOthers = 2.0 / 3;
/// Hosts that are not cut serve this share of first tries at least.
constexpr double MinShareAtOthers = 0.95;
/// Time within which callers learn that nobody can serve them.
constexpr Duration MaxRefusalTime = milliseconds(500);
constexpr Duration CallInterval = milliseconds(16);
/// Index of the first plain server of the site.
constexpr std::size_t FirstPlain = 10;
constexpr int EventsOfAnswer = 12;

/// Targets of the site's routes: engines and plain services, each with streams,
/// whole answers and requests that may run once.
const std::vector<std::string> AllTargets = {"/s/1", "/a/1", "/o/1",
                                             "/t/1", "/r/1", "/w/1"};
const std::vector<CutKind> AllKinds = {CutKind::Hang, CutKind::Reset,
                                       CutKind::NewRefused};

HostId entry(int Number) { return HostId("10.0.1." + std::to_string(Number)); }

bool runsOnce(const std::string &Target) {
  return Target == "/o/1" || Target == "/w/1";
}

/// The text field of a log line; empty if it has none.
std::string textOf(const DecisionRecord &Record, const std::string &Name) {
  for (const DecisionField &Field : Record.Fields) {
    if (Name == Field.Name)
      return std::get<std::string>(Field.Value);
  }
  return "";
}

std::string tryOf(const DecisionRecord &Record) {
  return textOf(Record, "try");
}

/// A site with requests to all hosts in turn.
struct CutSite {
  ServerSite Site;
  std::vector<std::string> Targets;
  std::size_t Next = 0;
  TimePoint NextAt{};
  std::map<std::string, std::string> TargetOf; // By the attempt's id.

  CutSite(std::uint64_t Seed, std::vector<std::string> TheTargets,
          int Hosts = 4)
      : Site(Seed, Hosts), Targets(std::move(TheTargets)), NextAt(Site.now()) {
    Site.Load.SoundEvery = Duration::max();
  }

  void callNext() {
    NextAt += CallInterval;
    auto Host = Site.Entries.begin();
    std::advance(Host, Next % Site.Entries.size());
    const std::string &Target =
        Targets[Next / Site.Entries.size() % Targets.size()];
    BadCall Call;
    Call.Target = Target;
    Call.Body = "body " + std::to_string(Next);
    Next += 1;
    if (Host->second.Up)
      TargetOf[Site.callAs(Host->first, Call)] = Target;
  }

  void run(Duration Time) {
    NextAt = std::max(NextAt, Site.now());
    Site.run(Time, [&] {
      while (Site.now() >= NextAt)
        callNext();
    });
  }

  /// Share of the requests sent to the hosts between the times that were
  /// answered completely; 1 if there were none.
  double share(const std::set<HostId> &Hosts, TimePoint From,
               TimePoint Until) const {
    std::size_t All = 0;
    std::size_t Served = 0;
    for (const auto &[Attempt, Target] : TargetOf) {
      const CallerView &View = Site.Callers.at(Attempt);
      if (Hosts.count(View.Host) == 0 || View.SentAt < From ||
          View.SentAt >= Until)
        continue;
      All += 1;
      Served += View.Complete ? 1 : 0;
    }
    return All == 0 ? 1 : static_cast<double>(Served) / All;
  }

  std::set<HostId> othersThan(const std::set<HostId> &Hosts) const {
    std::set<HostId> Others;
    for (const auto &[Host, N] : Site.Entries) {
      if (Hosts.count(Host) == 0)
        Others.insert(Host);
    }
    return Others;
  }

  /// Requests that may run once and reached servers more than once.
  std::size_t ranTwice() const {
    std::size_t Count = 0;
    for (const auto &[Attempt, Target] : TargetOf)
      Count += runsOnce(Target) && Site.Callers.at(Attempt).Sends > 1 ? 1 : 0;
    return Count;
  }

  /// Complete answers that are not the server's whole answer.
  std::size_t garbled() const {
    std::string Events;
    for (int I = 1; I <= EventsOfAnswer; ++I)
      Events += "id: " + std::to_string(I) + "\ndata: x\n\n";
    std::size_t Count = 0;
    for (const auto &[Attempt, Target] : TargetOf) {
      const CallerView &View = Site.Callers.at(Attempt);
      const std::string &Whole = View.Streams ? Events : "done";
      Count += View.Complete && View.Text != Whole ? 1 : 0;
    }
    return Count;
  }

  /// Lines of a kind in the logs of entry hosts since \p From.
  std::size_t lines(const std::string &Kind) const {
    auto Is = [&](const LogLine &Line) { return Line.Record.Kind == Kind; };
    return static_cast<std::size_t>(
        std::count_if(Site.Logs.begin(), Site.Logs.end(), Is));
  }

  void cut(const std::set<HostId> &Hosts, const HostCut &Cut) {
    for (const HostId &Host : Hosts)
      Site.cutHost(Host, Cut);
  }
  void heal(const std::set<HostId> &Hosts) {
    for (const HostId &Host : Hosts)
      Site.healHost(Host);
  }
};

/// Shares of first tries that were served during a cut, from the contact time
/// on.
struct CutShares {
  double AtCut = 0;
  double AtOthers = 0;
};

CutShares playCut(CutSite &C, const std::set<HostId> &Hosts,
                  const HostCut &Cut) {
  C.cut(Hosts, Cut);
  C.run(ContactTime);
  TimePoint From = C.Site.now();
  C.run(CutTime - ContactTime);
  TimePoint Until = C.Site.now() - seconds(2); // Streams take a while.
  C.heal(Hosts);
  C.run(seconds(2));
  return {C.share(Hosts, From, Until),
          C.share(C.othersThan(Hosts), From, Until)};
}

void checkShares(const std::string &Name, const CutShares &Shares) {
  bool Holds = Shares.AtCut >= MinShareOfOthers * Shares.AtOthers &&
               Shares.AtOthers >= MinShareAtOthers;
  checkUnlessKnownRed(Name, Holds,
                      "served at cut hosts " + std::to_string(Shares.AtCut) +
                          ", at the others " + std::to_string(Shares.AtOthers));
}

/// Two cuts in series, of two hosts and of all but one.
void checkCuts(const std::string &Name, std::uint64_t Seed, CutKind Kind,
               const std::vector<std::string> &Targets) {
  CutSite C(Seed, Targets);
  C.run(seconds(4));
  checkShares(Name, playCut(C, {entry(1), entry(2)}, {Kind, {}}));
  C.run(seconds(3));
  checkShares(Name, playCut(C, {entry(2), entry(3), entry(4)}, {Kind, {}}));
  BOOST_TEST(C.ranTwice() == 0U);
  BOOST_TEST(C.garbled() == 0U);
}

} // namespace

/// Guards against RECOVER: hosts whose connections to servers hang refuse
/// requests that other hosts could send on, or let them time out.
BOOST_AUTO_TEST_CASE(CallersOfHostsWhoseConnectionsHangAreServed) {
  for (const std::string &Target : AllTargets) {
    BOOST_TEST_CONTEXT(Target)
    checkCuts("CallersOfHostsWhoseConnectionsHangAreServed", 61, CutKind::Hang,
              {Target});
  }
}

/// Guards against RECOVER where connections are reset and new ones refused.
BOOST_AUTO_TEST_CASE(CallersOfHostsWhoseConnectionsAreResetAreServed) {
  for (const std::string &Target : AllTargets) {
    BOOST_TEST_CONTEXT(Target)
    checkCuts("CallersOfHostsWhoseConnectionsAreResetAreServed", 62,
              CutKind::Reset, {Target});
  }
}

/// Guards against RECOVER where open connections live on: requests that may run
/// once need new ones.
BOOST_AUTO_TEST_CASE(CallersOfHostsWithoutNewConnectionsAreServed) {
  for (const std::string &Target : AllTargets) {
    BOOST_TEST_CONTEXT(Target)
    checkCuts("CallersOfHostsWithoutNewConnectionsAreServed", 63,
              CutKind::NewRefused, {Target});
  }
}

/// Guards against a cut that is noticed late since few requests come.
BOOST_AUTO_TEST_CASE(CutHostWithLittleTrafficServesAtOnce) {
  for (CutKind Kind : AllKinds) {
    CutSite C(64, AllTargets);
    C.run(seconds(4));
    C.cut({entry(1)}, {Kind, {}});
    C.Site.run(ContactTime);
    TimePoint From = C.Site.now();
    for (const std::string &Target : AllTargets) {
      C.TargetOf[C.Site.callAs(entry(1), {Target, "a", "few"})] = Target;
      C.Site.run(seconds(2));
    }
    double Share = C.share({entry(1)}, From, C.Site.now());
    checkUnlessKnownRed("CutHostWithLittleTrafficServesAtOnce",
                        Share >= MinShareOfOthers,
                        "served " + std::to_string(Share));
  }
}

/// Guards against sound requests that are refused everywhere, since a cut host
/// took its broken connections for crashes.
BOOST_AUTO_TEST_CASE(CutHostAccusesNoRequest) {
  for (CutKind Kind : AllKinds) {
    CutSite C(65, AllTargets);
    C.run(seconds(4));
    for (int I = 0; I < 4; ++I) {
      for (const std::string &Target : AllTargets)
        C.Site.callAs(entry(1), {Target, "a", "cut off each time"});
      C.run(milliseconds(10));
      C.cut({entry(1), entry(2)}, {Kind, {}});
      C.run(seconds(2));
      C.heal({entry(1), entry(2)});
      C.run(seconds(1));
    }
    for (const std::string &Target : AllTargets)
      C.Site.callAs(entry(4), {Target, "a", "cut off each time"});
    C.run(seconds(1));
    std::size_t Refused = C.lines("request_refused") + C.lines("part_refused");
    checkUnlessKnownRed("CutHostAccusesNoRequest", Refused == 0,
                        std::to_string(Refused) + " requests in quarantine");
  }
}

/// Guards against a placer that is cut, and takes its own failures for those of
/// the engines.
BOOST_AUTO_TEST_CASE(OthersAreServedWhileThePlacerIsCut) {
  for (CutKind Kind : AllKinds) {
    CutSite C(66, {"/s/1", "/a/1"});
    C.run(seconds(4));
    HostId Placer = C.Site.Entries.begin()->second.State.Link.Placer;
    checkShares("OthersAreServedWhileThePlacerIsCut",
                playCut(C, {Placer}, {Kind, {}}));
  }
}

/// Guards against callers that wait for their time limit while no host reaches
/// any server.
BOOST_AUTO_TEST_CASE(CallersAreRefusedEarlyWhileAllHostsAreCut) {
  for (CutKind Kind : {CutKind::Hang, CutKind::Reset}) {
    CutSite C(67, AllTargets);
    C.run(seconds(4));
    std::set<HostId> All = C.othersThan({});
    C.cut(All, {Kind, {}});
    C.run(ContactTime);
    TimePoint From = C.Site.now();
    C.run(seconds(3));
    TimePoint Until = C.Site.now();
    C.heal(All);
    C.run(seconds(2));
    std::size_t Late = 0;
    for (const auto &[Attempt, Target] : C.TargetOf) {
      const CallerView &View = C.Site.Callers.at(Attempt);
      if (View.SentAt < From || View.SentAt >= Until - seconds(1))
        continue;
      bool IsRefused = View.Status == 503 && View.RetryAfter > 0;
      Late += !IsRefused || View.AnsweredAt > View.SentAt + MaxRefusalTime;
    }
    checkUnlessKnownRed("CallersAreRefusedEarlyWhileAllHostsAreCut", Late == 0,
                        std::to_string(Late) + " late or dishonest answers");
    TimePoint Back = C.Site.now();
    C.run(seconds(3));
    BOOST_TEST(C.share(All, Back, C.Site.now() - seconds(2)) >=
               MinShareAtOthers);
  }
}

/// Guards against a host that reaches some servers only, and names the others
/// as faulty or goes on to choose them.
BOOST_AUTO_TEST_CASE(HostThatReachesSomeServersServes) {
  for (CutKind Kind : AllKinds) {
    for (std::size_t Reached : {std::size_t(2), std::size_t(7)}) {
      CutSite C(68, AllTargets);
      C.run(seconds(4));
      HostCut Cut{Kind, {}};
      for (std::size_t I = Reached; I < C.Site.Engines.size(); ++I) {
        if (I < FirstPlain || I >= FirstPlain + 2)
          Cut.Addresses.insert(C.Site.Engines[I].Address);
      }
      checkShares("HostThatReachesSomeServersServes",
                  playCut(C, {entry(1)}, Cut));
      BOOST_TEST(C.ranTwice() == 0U);
    }
  }
}

/// Guards against cuts that come and go, whose callers wait for a new verdict
/// each time.
BOOST_AUTO_TEST_CASE(FlappingCutsDoNotHarmCallers) {
  for (CutKind Kind : AllKinds) {
    CutSite C(69, AllTargets);
    C.run(seconds(4));
    std::set<HostId> Hosts = {entry(1), entry(2)};
    C.cut(Hosts, {Kind, {}});
    C.run(ContactTime);
    TimePoint From = C.Site.now();
    for (int I = 0; I < 6; ++I) {
      C.heal(Hosts);
      C.run(milliseconds(300));
      C.cut(Hosts, {Kind, {}});
      C.run(milliseconds(900));
    }
    TimePoint Until = C.Site.now();
    C.heal(Hosts);
    C.run(seconds(3));
    checkShares("FlappingCutsDoNotHarmCallers",
                {C.share(Hosts, From, Until),
                 C.share(C.othersThan(Hosts), From, Until)});
    BOOST_TEST(C.ranTwice() == 0U);
  }
}

/// Guards against requests that run twice, or are lost, where the host that
/// sends them for another one is lost in the middle.
BOOST_AUTO_TEST_CASE(LostRelaysHarmNoRequestTwice) {
  for (CutKind Kind : AllKinds) {
    CutSite C(70, AllTargets);
    C.run(seconds(4));
    std::set<HostId> Hosts = {entry(1), entry(2)};
    C.cut(Hosts, {Kind, {}});
    C.run(ContactTime);
    TimePoint From = C.Site.now();
    for (int I = 0; I < 3; ++I) {
      C.Site.killEntry(entry(3), milliseconds(500));
      C.run(seconds(2));
      C.Site.freezeEntry(entry(4), milliseconds(1500));
      C.run(seconds(2));
    }
    TimePoint Until = C.Site.now() - seconds(1);
    C.run(seconds(1));
    BOOST_TEST(C.lines("handed_over") > 0U);
    BOOST_TEST(C.share(Hosts, From, Until) >= MinShareOfOthers);
    BOOST_TEST(C.ranTwice() == 0U);
    BOOST_TEST(C.garbled() == 0U);
    C.heal(Hosts);
  }
}

/// Guards against hosts that hand requests to each other in a ring.
BOOST_AUTO_TEST_CASE(RequestsAreHandedOverOnce) {
  for (CutKind Kind : AllKinds) {
    CutSite C(71, AllTargets);
    C.run(seconds(4));
    for (int Number : {1, 2, 3, 4}) {
      C.cut({entry(Number)}, {Kind, {}});
      C.run(milliseconds(1500));
    }
    for (int Number : {2, 1, 4, 3}) {
      C.heal({entry(Number)});
      C.run(milliseconds(1500));
    }
    BOOST_TEST(C.lines("handed_over") > 0U);
    for (const LogLine &Line : C.Site.Logs) {
      if (std::string(Line.Record.Kind) != "handed_over")
        continue;
      BOOST_TEST(Line.Host == C.Site.Callers.at(tryOf(Line.Record)).Host);
    }
    BOOST_TEST(C.ranTwice() == 0U);
    BOOST_TEST(C.garbled() == 0U);
  }
}

/// Guards against requests that go round by way of other hosts, which do not
/// reach the servers either: a service is down, or many servers crash at once.
BOOST_AUTO_TEST_CASE(NothingIsHandedOverWhereServersAreDown) {
  for (std::size_t Crashed : {std::size_t(4), std::size_t(9)}) {
    CutSite C(72, AllTargets);
    C.run(seconds(4));
    for (int Round = 0; Round < 3; ++Round) {
      for (std::size_t I = 0; I < Crashed; ++I)
        C.Site.crash(Crashed == 4 ? FirstPlain + I : I);
      C.run(seconds(5));
    }
    BOOST_TEST(C.lines("handed_over") == 0U);
    TimePoint From = C.Site.now();
    C.run(seconds(3));
    BOOST_TEST(C.share(C.othersThan({}), From, C.Site.now() - seconds(2)) >=
               MinShareAtOthers);
  }
}

/// Guards against a sound server that falls silent for a second or so, and is
/// taken for one that this host cannot reach.
BOOST_AUTO_TEST_CASE(SilentServersAreNoCut) {
  CutSite C(73, AllTargets);
  C.run(seconds(4));
  TimePoint From = C.Site.now();
  for (std::size_t I = 0; I < C.Site.Engines.size(); ++I) {
    C.Site.silence(I, milliseconds(1200));
    C.run(milliseconds(1300));
  }
  TimePoint Until = C.Site.now() - seconds(1);
  C.run(seconds(2));
  BOOST_TEST(C.lines("handed_over") == 0U);
  BOOST_TEST(C.share(C.othersThan({}), From, Until) >= MinShareAtOthers);
}

/// Guards against a path that is back and is not used.
BOOST_AUTO_TEST_CASE(PathsAreUsedAgainWithinAMomentAfterACut) {
  for (CutKind Kind : AllKinds) {
    CutSite C(74, AllTargets);
    C.run(seconds(4));
    C.cut({entry(1)}, {Kind, {}});
    C.run(seconds(6));
    C.heal({entry(1)});
    TimePoint From = C.Site.now();
    C.run(seconds(5));
    TimePoint Last{};
    for (const LogLine &Line : C.Site.Logs) {
      if (std::string(Line.Record.Kind) == "handed_over")
        Last = Line.At;
    }
    BOOST_TEST((Last < From + milliseconds(1200)));
    BOOST_TEST(C.share({entry(1)}, From, C.Site.now() - seconds(2)) >=
               MinShareAtOthers);
  }
}

/// Guards against a larger site in which a whole data centre, or most hosts,
/// are cut: the relays share the requests.
BOOST_AUTO_TEST_CASE(RelaysShareTheRequestsOfManyHosts) {
  constexpr int Hosts = 9;
  for (int Cut : {3, 6, 8}) {
    CutSite C(75, AllTargets, Hosts);
    C.run(seconds(4));
    std::set<HostId> CutHosts;
    for (int I = 1; I <= Cut; ++I)
      CutHosts.insert(entry(I));
    CutShares Shares = playCut(C, CutHosts, {CutKind::Hang, {}});
    BOOST_TEST(Shares.AtCut >= MinShareAtOthers);
    BOOST_TEST(Shares.AtOthers >= MinShareAtOthers);
    std::map<std::string, std::size_t> ByRelay;
    std::size_t All = 0;
    for (const LogLine &Line : C.Site.Logs) {
      if (std::string(Line.Record.Kind) != "handed_over")
        continue;
      ByRelay[textOf(Line.Record, "relay")] += 1;
      All += 1;
    }
    BOOST_TEST(ByRelay.size() == static_cast<std::size_t>(Hosts - Cut));
    for (const auto &[Relay, Count] : ByRelay)
      BOOST_TEST(Count <= 2 * All / ByRelay.size());
  }
}

/// Guards against callers of cut hosts that are refused since the leader of the
/// control hosts, the placer and a relay are lost meanwhile.
BOOST_AUTO_TEST_CASE(CutHostsServeWhileOtherHostsAreLost) {
  CutSite C(76, AllTargets, 6);
  C.run(seconds(4));
  std::set<HostId> Hosts = {entry(1), entry(2)};
  C.cut(Hosts, {CutKind::Reset, {}});
  C.run(ContactTime);
  C.Site.Control.losePower(C.Site.Control.leader());
  HostId Placer = C.Site.Entries.at(entry(1)).State.Link.Placer;
  C.Site.killEntry(Placer, seconds(1));
  C.run(seconds(3));
  TimePoint From = C.Site.now();
  C.run(seconds(5));
  BOOST_TEST(C.share(Hosts, From, C.Site.now() - seconds(2)) >=
             MinShareOfOthers);
  BOOST_TEST(C.ranTwice() == 0U);
}

/// Guards against LEAK: an engine went dark without closing its connections,
/// and its callers' requests waited for as long as it was expected to take,
/// while memory stayed reserved for them at other engines. Dead engines are
/// given up within 3.5 s; a silence of a second and a half is none.
BOOST_AUTO_TEST_CASE(RequestsAtADarkEngineAreGivenUp) {
  for (Duration Silence :
       {Duration(seconds(20)), Duration(milliseconds(1400))}) {
    ServerSite Site(71);
    Site.run(seconds(2));
    TimePoint DarkAt = Site.now();
    Site.silence(0, Silence);
    Site.run(milliseconds(3500));
    std::size_t Waiting = 0;
    for (const auto &[Attempt, View] : Site.Callers) {
      bool IsOld = View.SentAt <= DarkAt;
      Waiting += IsOld && View.AnsweredAt == TimePoint() ? 1 : 0;
    }
    BOOST_TEST(Waiting == 0U);
    std::size_t GivenUp = 0;
    for (const LogLine &Line : Site.Logs) {
      bool IsIt =
          Line.Record.Reason == "the engine is silent and takes no connection";
      GivenUp += Line.At >= DarkAt && IsIt ? 1 : 0;
    }
    if (Silence < seconds(2))
      BOOST_TEST(GivenUp == 0U);
  }
}
