// Measures the control traffic of a host and the time that updates take to
// reach all hosts, in virtual time, for sites of several sizes:
//
//   spreadBench            9, 50 and 200 hosts (for CI)
//   spreadBench --all      800 hosts as well
//   spreadBench --check    exit 1 where a figure passes its target
//   spreadBench --bound=MS another freshness bound
//   spreadBench N          N hosts only
//
// Bytes are those of the encoded frames plus FrameOverhead for each frame. No
// wall-clock time is measured: a seed gives the same figures on any host.

#include "document/tests/SpreadSite.h"
#include "membership/tests/MembershipSite.h"

#include <cstdio>
#include <cstring>
#include <sstream>

using namespace pimento;
using pimento::testing::MembershipSite;
using pimento::testing::SpreadSite;

namespace {

// IP, TCP and WebSocket headers, and a share of the TCP acknowledgements.
constexpr double FrameOverhead = 96;

// Targets.
constexpr double EditsADay = 10000;
constexpr double NodeBytes = 17000;             // Control traffic per second.
constexpr Duration InForceNine = seconds(1);    // At nine hosts.
constexpr Duration InForceLarge = seconds(4);   // At any size.
constexpr Duration GoneEverywhere = seconds(3); // At nine hosts.
constexpr double ServersAHost = 5900.0 / 800;   // At the target size.

bool Failed = false;
Duration Bound; // Freshness bound of the measured site.

/// A site of present size runs with the default settings. A short bound costs
/// more with more hosts, so larger sites should set a longer one.
Duration usualBound(std::size_t Hosts) {
  constexpr std::size_t Today = 9;
  return Hosts <= Today ? MembershipSettings().FreshnessBound
                        : Duration(seconds(3));
}

/// Same derivation from the settings as in packages/node.
SpreadConfig siteConfig() {
  SpreadConfig C;
  C.Freshness.Bound = Bound;
  C.Freshness.EditWindow = Bound;
  C.StampInterval = Bound / 6;
  return C;
}

void bound(const char *What, double Value, double Limit) {
  bool Good = Value <= Limit;
  Failed = Failed || !Good;
  std::printf("    %-6s %s: %.0f, target %.0f\n", Good ? "ok" : "FAILED", What,
              Value, Limit);
}

/// Bytes that each host sent and received during a measurement.
class Meter {
public:
  void add(const HostId &From, const Outbound &O) {
    double Bytes = static_cast<double>(encode(O.Content).size());
    Sent[From] += Bytes + FrameOverhead;
    Received[O.To] += Bytes + FrameOverhead;
    ++Messages;
  }

  void reset() { *this = Meter(); }

  /// Bytes sent and received by the average host.
  double mean(std::size_t Hosts, Duration Time) const {
    double Sum = 0;
    for (const auto &Entry : Sent)
      Sum += 2 * Entry.second;
    return Sum / static_cast<double>(Hosts) / toSeconds(Time);
  }

  /// Bytes sent and received by the host with the most traffic.
  double most(Duration Time) const {
    double Most = 0;
    for (const auto &Entry : Sent) {
      auto In = Received.find(Entry.first);
      double Both = Entry.second + (In == Received.end() ? 0 : In->second);
      Most = std::max(Most, Both);
    }
    return Most / toSeconds(Time);
  }

  double messages(std::size_t Hosts, Duration Time) const {
    return Messages / static_cast<double>(Hosts) / toSeconds(Time);
  }

private:
  std::map<HostId, double> Sent;
  std::map<HostId, double> Received;
  double Messages = 0;
};

struct SpreadFigures {
  double RestMean = 0; // Idle traffic: bytes per host and second, both ways.
  double RestMost = 0;
  double EditMean = 0; // Bytes per host and edit.
  double EditMost = 0;
};

bool allServe(const SpreadSite &Site) {
  return std::all_of(Site.Names.begin(), Site.Names.end(),
                     [&](const HostId &Name) { return Site.serves(Name); });
}

bool settle(SpreadSite &Site) {
  for (int Tries = 0; Tries < 200; ++Tries) {
    Site.P.runFor(milliseconds(100));
    if (!Site.Leader.empty() &&
        acceptsEdits(Site.P.node(Site.Leader).S, Site.P.clock(Site.Leader)) &&
        allServe(Site))
      return true;
  }
  return false;
}

/// A document with \p Accounts accounts; \p Edit determines one number in it.
std::string padding(std::size_t Accounts, int Edit) {
  std::ostringstream Text;
  for (std::size_t I = 0; I < Accounts; ++I) {
    std::size_t Weight =
        I == Accounts / 2 ? static_cast<std::size_t>(Edit) : I % 100;
    Text << "account-" << 100000 + I << ' ' << std::string(58, 'a')
         << 100000 + I << " weight " << Weight << ", ";
  }
  return Text.str();
}

/// Slowest times of a series of sequential edits under message loss.
struct EditTimes {
  Duration InForce = Duration::zero();  // Edit to use at all hosts.
  Duration Accepted = Duration::zero(); // Edit to its response.
  int Missed = 0;                       // Edits that took over ten seconds.
};

EditTimes timeEdits(SpreadSite &Site, int Edits, std::size_t Accounts) {
  EditTimes Times;
  constexpr Duration Patience = seconds(10);
  for (int Edit = 0; Edit < Edits; ++Edit) {
    Site.P.runFor(milliseconds(730));
    if (!Site.edit("service", padding(Accounts, Edit))) {
      ++Times.Missed;
      continue;
    }
    TimePoint Start = Site.P.now();
    std::uint64_t Revision = Site.LastRevision;
    Duration Answered = Patience;
    Duration Everywhere = Patience;
    // Checks all hosts every 5 ms, as a check at every step is too expensive.
    for (Duration Past = {}; Past < Patience; Past += milliseconds(5)) {
      Site.P.runUntil(Start + Past);
      if (Answered == Patience && !Site.Accepted.empty() &&
          Site.Accepted.back().Revision >= Revision)
        Answered = Past;
      if (Everywhere == Patience && Site.everywhere(Revision))
        Everywhere = Past;
      if (Answered < Patience && Everywhere < Patience)
        break;
    }
    Times.Missed += Answered == Patience || Everywhere == Patience;
    Times.Accepted = std::max(Times.Accepted, Answered);
    Times.InForce = std::max(Times.InForce, Everywhere);
  }
  return Times;
}

void printTimes(const char *What, const EditTimes &T, int Edits) {
  std::printf("  %s: %d edits, slowest in force everywhere %lld ms, slowest "
              "answered %lld ms, missed %d\n",
              What, Edits, static_cast<long long>(toMilliseconds(T.InForce)),
              static_cast<long long>(toMilliseconds(T.Accepted)), T.Missed);
}

SpreadFigures measureDocuments(std::size_t Hosts) {
  constexpr Duration Time = seconds(10);
  constexpr int Edits = 8;
  constexpr std::size_t Accounts = 1000;
  SpreadSite Site(Hosts, Hosts < 20 ? 3 : 7, 1, siteConfig());
  Site.Checks = false;
  Meter M;
  if (!settle(Site)) {
    std::printf("  FAILED: the site did not settle\n");
    Failed = true;
    return {};
  }
  Site.edit("service", padding(Accounts, 0));
  Site.P.runFor(seconds(5));
  Site.OnSend = [&](const HostId &From, const Outbound &O) { M.add(From, O); };
  Site.P.runFor(Time);
  SpreadFigures F;
  F.RestMean = M.mean(Hosts, Time);
  F.RestMost = M.most(Time);
  std::printf("  documents at rest: %.1f messages and %.0f bytes a host and "
              "second, busiest host %.0f\n",
              M.messages(Hosts, Time), F.RestMean, F.RestMost);
  M.reset();
  TimePoint Start = Site.P.now();
  EditTimes Quiet = timeEdits(Site, Edits, Accounts);
  Duration Took = Site.P.now() - Start;
  F.EditMean = (M.mean(Hosts, Took) - F.RestMean) * toSeconds(Took) / Edits;
  F.EditMost = (M.most(Took) - F.RestMost) * toSeconds(Took) / Edits;
  std::printf("  an edit of %zu bytes costs %.0f bytes a host, the busiest "
              "%.0f\n",
              padding(Accounts, 0).size(), F.EditMean, F.EditMost);
  printTimes("no loss", Quiet, Edits);
  Site.OnSend = nullptr;
  Site.P.Faults.Loss = 0.05;
  EditTimes Lossy = timeEdits(Site, Edits, Accounts);
  printTimes("5 % loss", Lossy, Edits);
  Duration Limit = Hosts <= 9 ? InForceNine : InForceLarge;
  bound("in force everywhere, ms",
        static_cast<double>(
            toMilliseconds(std::max(Quiet.InForce, Lossy.InForce))),
        static_cast<double>(toMilliseconds(Limit)));
  bound("edits missed", Quiet.Missed + Lossy.Missed, 0);
  return F;
}

/// Behaviour of the freshness lease when hosts lose connectivity.
void measureFreshness(std::size_t Hosts) {
  auto Millis = [](Duration D) {
    return static_cast<long long>(toMilliseconds(D));
  };
  SpreadSite Site(Hosts, Hosts < 20 ? 3 : 7, 2, siteConfig());
  Site.Checks = false;
  if (!settle(Site)) {
    Failed = true;
    return;
  }
  // One isolated host, and one without connectivity to any voter.
  HostId Alone = Site.Names[Hosts - 1];
  HostId Partly = Site.Names[Hosts - 2];
  Site.P.isolate(Alone);
  for (const HostId &Voter : Site.Voters) {
    Site.P.cut(Voter, Partly);
    Site.P.cut(Partly, Voter);
  }
  TimePoint Start = Site.P.now();
  Duration Stopped = Duration::zero();
  Duration Oldest = Duration::zero();
  std::uint64_t Unready = 0;
  std::uint64_t Stale = 0; // Checks at which serving stale would be wrong.
  for (int Step = 0; Step < 800; ++Step) {
    Site.P.runFor(milliseconds(10));
    if (Step == 100)
      Site.edit("service");
    bool Bounded = Site.P.now() - Start > Bound + seconds(1);
    Stale += Bounded && Site.revisionAt(Alone) < Site.LastRevision;
    if (Stopped == Duration::zero() && !Site.serves(Alone))
      Stopped = Site.P.now() - Start;
    for (const HostId &Name : Site.Names) {
      if (Name == Alone)
        continue;
      ServeVerdict V = verdict(Site.P.node(Name).S, Site.P.clock(Name));
      Unready += !V.Serve;
      Oldest = std::max(Oldest, V.Age);
    }
  }
  std::printf("  one host cut off: it stops after %lld ms; the others, one "
              "without links to voters among them: oldest stamp %lld ms, "
              "unready %llu\n",
              Millis(Stopped), Millis(Oldest),
              static_cast<unsigned long long>(Unready));
  std::printf("    for comparison, stale service: an old document past the "
              "bound in %llu of 800 looks at that host\n",
              static_cast<unsigned long long>(Stale));
  bound("time until a cut-off host stops, ms",
        static_cast<double>(Millis(Stopped)),
        static_cast<double>(Millis(Bound)));
  bound("unready although not cut off", static_cast<double>(Unready), 0);
  // Loss of the majority of control hosts.
  Site.P.healAll();
  Site.P.runFor(seconds(5));
  for (std::size_t I = 0; I < Site.Voters.size() / 2 + 1; ++I)
    Site.P.crash(Site.Voters[I]);
  for (const HostId &Name : Site.Names)
    onHosts(Site.P.node(Name).S,
            std::vector<HostId>(
                Site.Names.begin() +
                    static_cast<std::ptrdiff_t>(Site.Voters.size() / 2 + 1),
                Site.Names.end()));
  Meter M;
  Unready = 0;
  std::uint64_t Checks = 0;
  std::uint64_t ByMajority = 0;
  constexpr Duration Lost = seconds(20);
  for (Duration Past = {}; Past < Lost; Past += milliseconds(50)) {
    Site.P.runFor(milliseconds(50));
    if (Past == Lost / 2)
      Site.OnSend = [&](const HostId &From, const Outbound &O) {
        M.add(From, O);
      };
    for (const HostId &Name : Site.Names) {
      if (!Site.P.running(Name))
        continue;
      ++Checks;
      ServeVerdict V = verdict(Site.P.node(Name).S, Site.P.clock(Name));
      Unready += !V.Serve;
      ByMajority += V.Reason == ServeReason::ByMajority;
    }
  }
  std::printf("  control majority lost for %lld s: unready in %llu of %llu "
              "looks, %.0f bytes a host and second\n",
              static_cast<long long>(toSeconds(Lost)),
              static_cast<unsigned long long>(Unready),
              static_cast<unsigned long long>(Checks), M.mean(Hosts, Lost / 2));
  std::printf("    for comparison, age alone: unready in %llu of them\n",
              static_cast<unsigned long long>(ByMajority));
  bound("unready without a leader", static_cast<double>(Unready), 0);
  bound("bytes a host and second without a leader", M.mean(Hosts, Lost / 2),
        NodeBytes);
}

bool settle(MembershipSite &Site) {
  for (int Tries = 0; Tries < 60; ++Tries) {
    Site.P.runFor(milliseconds(500));
    bool All =
        Site.allReady() && Site.allAlive() &&
        Site.everyHost([&](const HostId &Name) {
          return allBackends(Site.P.node(Name)).size() == Site.Servers.size();
        });
    if (All)
      return true;
  }
  return false;
}

/// Time until \p Holds returns true; polled every 10 ms, ten seconds at most.
template <class F> Duration timeUntil(MembershipSite &Site, F &&Holds) {
  constexpr Duration Patience = seconds(10);
  for (Duration Past = {}; Past < Patience; Past += milliseconds(10)) {
    if (Holds())
      return Past;
    Site.P.runFor(milliseconds(10));
  }
  return Patience;
}

struct MembershipFigures {
  double RestMean = 0;   // Idle bytes per host and second, both ways.
  double ServerMean = 0; // Same, per backend server of a host.
};

void measureNews(MembershipSite &Site, std::size_t Hosts, const char *What) {
  auto Millis = [](Duration D) {
    return static_cast<double>(toMilliseconds(D));
  };
  auto Nowhere = [&](const BackendId &Id) {
    return Site.everyHost(
        [&](const HostId &Name) { return !Site.offers(Name, Id); });
  };
  Duration Leaving = Duration::zero();
  Duration Silent = Duration::zero();
  Duration Dead = Duration::zero();
  std::string Prefix = What[0] == '5' ? "e1" : "e2";
  for (int Round = 0; Round < 3; ++Round) {
    BackendId Leaver(Prefix + std::to_string(Round * 2));
    BackendId Quiet(Prefix + std::to_string(Round * 2 + 1));
    Site.P.runFor(milliseconds(1370));
    Site.leaveServer(Leaver);
    Leaving =
        std::max(Leaving, timeUntil(Site, [&] { return Nowhere(Leaver); }));
    Site.stopServer(Leaver);
    Site.P.runFor(milliseconds(310 * Round));
    Site.stopServer(Quiet);
    Silent = std::max(Silent, timeUntil(Site, [&] { return Nowhere(Quiet); }));
    HostId Victim = Site.Names[Hosts / 2 + static_cast<std::size_t>(Round)];
    Site.P.crash(Victim);
    Dead = std::max(Dead, timeUntil(Site, [&] {
                      return Site.everyHost([&](const HostId &Name) {
                        return Name == Victim ||
                               Site.statusAt(Name, Victim) == HostStatus::Dead;
                      });
                    }));
    Site.start(Victim);
    Site.P.runFor(seconds(3));
  }
  std::printf("  %s, known everywhere: leaving server %.0f ms, silent server "
              "%.0f ms, dead host %.0f ms (slowest of 3)\n",
              What, Millis(Leaving), Millis(Silent), Millis(Dead));
  double Slowest = Millis(std::max({Leaving, Silent, Dead}));
  if (Hosts <= 9)
    bound("slowest news, ms", Slowest, Millis(GoneEverywhere));
}

double restBytes(std::size_t Hosts, std::size_t Servers, bool News) {
  constexpr Duration Time = seconds(10);
  MembershipConfig Config;
  MembershipSite Site(Hosts, Servers, 3, Config);
  Site.Checks = false;
  if (!settle(Site)) {
    std::printf("  FAILED: membership did not settle\n");
    Failed = true;
    return 0;
  }
  // Waits until the dissemination of the startup updates has ended.
  auto Told = [](const MembershipState &S) {
    return S.QueuedHostUpdates.empty() && S.QueuedBackendUpdates.empty();
  };
  for (int Wait = 0; Wait < 200; ++Wait) {
    Site.P.runFor(seconds(1));
    if (Site.everyHost(
            [&](const HostId &Name) { return Told(Site.P.node(Name)); }))
      break;
  }
  std::printf("  the news of the start was told %.0f s after it\n",
              toSeconds(Site.P.now().time_since_epoch() - hours(1)));
  Meter M;
  Site.OnSend = [&](const HostId &From, const Outbound &O) { M.add(From, O); };
  Site.P.runFor(Time);
  Site.OnSend = nullptr;
  std::printf("  membership at rest, %zu servers: %.1f messages and %.0f bytes "
              "a host and second, busiest host %.0f\n",
              Servers, M.messages(Hosts, Time), M.mean(Hosts, Time),
              M.most(Time));
  if (News) {
    measureNews(Site, Hosts, "no loss");
    Site.P.Faults.Loss = 0.05;
    measureNews(Site, Hosts, "5 % loss");
  }
  return M.mean(Hosts, Time);
}

void measure(std::size_t Hosts) {
  std::printf("%zu hosts, freshness bound %lld ms\n", Hosts,
              static_cast<long long>(toMilliseconds(Bound)));
  SpreadFigures Documents = measureDocuments(Hosts);
  measureFreshness(Hosts);
  double Bare = restBytes(Hosts, 0, false);
  std::size_t Servers = std::max<std::size_t>(30, Hosts);
  double Served = restBytes(Hosts, Servers, true);
  double OfServer = (Served - Bare) * static_cast<double>(Hosts) /
                    static_cast<double>(Servers);
  double EditsASecond = EditsADay / (24 * 60 * 60);
  double Mean = Documents.RestMean + Documents.EditMean * EditsASecond + Bare +
                OfServer * ServersAHost;
  double Most = Documents.RestMost + Documents.EditMost * EditsASecond + Bare +
                OfServer * ServersAHost;
  std::printf(
      "  one server a host adds %.0f bytes a second; together at 10,000 "
      "edits a day and %.1f servers a host: %.0f bytes a host and "
      "second, sent and received; busiest %.0f\n",
      OfServer, ServersAHost, Mean, Most);
  bound("control bytes a host and second", Mean, NodeBytes);
  bound("control bytes of the busiest host", Most, NodeBytes);
}

} // namespace

int main(int Count, char **Arguments) {
  bool Check = false;
  bool All = false;
  Duration Asked = Duration::zero();
  std::size_t Only = 0;
  for (int I = 1; I < Count; ++I) {
    Check = Check || std::strcmp(Arguments[I], "--check") == 0;
    All = All || std::strcmp(Arguments[I], "--all") == 0;
    if (std::strncmp(Arguments[I], "--bound=", 8) == 0)
      Asked = milliseconds(std::strtol(Arguments[I] + 8, nullptr, 10));
    if (Arguments[I][0] != '-')
      Only = std::strtoul(Arguments[I], nullptr, 10);
  }

  std::vector<std::size_t> Sizes = {9, 50, 200};
  if (All)
    Sizes.push_back(800);
  if (Only != 0)
    Sizes = {Only};
  for (std::size_t Hosts : Sizes) {
    Bound = Asked != Duration::zero() ? Asked : usualBound(Hosts);
    measure(Hosts);
    std::fflush(stdout);
  }
  return Check && Failed ? 1 : 0;
}
