#include <boost/test/unit_test.hpp>

#include "World.h"

#include <cstdlib>

using namespace pimento;
using namespace pimento::calls;

namespace {

/// The seeds 1 to \p Count; only the seed in PIMENTO_SEED if that is set.
std::vector<std::uint64_t> seeds(std::uint64_t Count) {
  if (const char *One = std::getenv("PIMENTO_SEED"))
    return {std::strtoull(One, nullptr, 10)};
  std::vector<std::uint64_t> All(Count);
  for (std::uint64_t I = 0; I < Count; ++I)
    All[I] = I + 1;
  return All;
}

WorldFaults drawFaults(Random &Rng) {
  WorldFaults F;
  for (double *Share :
       {&F.EngineConnect, &F.EngineRefuse, &F.EngineInterrupt, &F.EngineCross,
        &F.EngineRepeat, &F.EngineError, &F.EngineSilent, &F.EngineForget,
        &F.LedgerConnect, &F.LedgerRefuse, &F.LedgerInterrupt, &F.LedgerShort,
        &F.LedgerCross, &F.LedgerSlow, &F.GrantLost, &F.GrantTwice,
        &F.CallerLeaves, &F.CallerSlow})
    *Share = below(Rng, 2) == 0 ? 0 : uniform(Rng) * 0.4;
  F.Crashes = below(Rng, 2) == 0;
  F.Freezes = below(Rng, 2) == 0;
  F.LeaderChanges = below(Rng, 2) == 0;
  F.Edits = below(Rng, 3) == 0;
  return F;
}

/// One run: callers send and resend requests through any host while faults are
/// injected.
struct Session {
  World W;
  Random Rng;
  std::vector<std::string> Keys[2]; // Keys of each account in order of sending.

  explicit Session(std::uint64_t Seed) : W(Seed), Rng(Seed + 1000003) {
    W.Faults = drawFaults(Rng);
    W.P.Faults.Loss = below(Rng, 2) == 0 ? 0 : uniform(Rng) * 0.3;
    W.P.Faults.Duplicate = below(Rng, 2) == 0 ? 0 : uniform(Rng) * 0.3;
    W.P.Faults.Slow = below(Rng, 2) == 0 ? 0 : uniform(Rng) * 0.2;
    W.P.Faults.SlowDelay = seconds(4);
    for (const HostId &Host : W.Hosts)
      W.P.setClock(Host, 0.996 + uniform(Rng) * 0.008,
                   between(Rng, seconds(0), hours(2)));
  }

  HostId anyHost() { return W.Hosts[below(Rng, W.Hosts.size())]; }

  void send() {
    HostId Host = anyHost();
    if (!W.P.running(Host))
      return;
    Duration Limit = between(Rng, milliseconds(300), seconds(12));
    std::uint64_t Exchange = 0;
    std::uint64_t Action = below(Rng, 8);
    if (Action == 0) {
      Exchange = W.lookUp(Host, Limit);
    } else if (Action < 3) {
      Exchange = W.complete(Host, below(Rng, 2) == 0, Limit);
    } else {
      std::size_t Account = below(Rng, 2);
      std::vector<std::string> &Sent = Keys[Account];
      bool Resend = !Sent.empty() && below(Rng, 2) == 0;
      if (!Resend)
        Sent.push_back((Account == 0 ? "a" : "b") +
                       std::to_string(Sent.size() + 1));
      std::string Key = Resend ? Sent[below(Rng, Sent.size())] : Sent.back();
      Exchange = W.signOff(Host, Account == 0 ? "a" : "b", Key, Limit);
    }
    if (uniform(Rng) < W.Faults.CallerLeaves)
      disconnectLater(Exchange);
  }

  void disconnectLater(std::uint64_t Exchange) {
    Duration Wait = between(Rng, Duration::zero(), milliseconds(300));
    W.P.perform(W.Calls.at(Exchange).Host, Wait,
                [this, Exchange](WorldHost &H, TimePoint Now) {
                  WorldCall &Call = W.Calls.at(Exchange);
                  if (Call.FinalAnswers > 0)
                    return;
                  Call.Left = true;
                  CallsEffects Out;
                  onCallerLeft(H.Calls, ExchangeId(Exchange), W.Dir, Now, Out);
                  W.processEffects(H.Calls.Host, Out);
                });
  }

  void injectFault() {
    HostId Host = anyHost();
    std::uint64_t Action = below(Rng, 6);
    if (Action == 0 && W.Faults.Crashes)
      W.crash(Host);
    else if (Action == 1 && !W.P.up(Host))
      W.restart(Host);
    else if (Action == 2 && W.Faults.Freezes && W.P.running(Host))
      W.freeze(Host);
    else if (Action == 3 && W.P.frozen(Host))
      W.P.thaw(Host);
    else if (Action == 4 && W.Faults.LeaderChanges)
      W.changeLeader(Host);
    else if (Action == 5 && W.Faults.Edits)
      edit();
  }

  /// Changes the ledger's time limit, and removes or adds a ledger server.
  void edit() {
    ServiceRule &Ledger = W.Dir.Services.at(ServiceId("ledger"));
    Ledger.MaxTimeLimit = seconds(1 + static_cast<int>(below(Rng, 20)));
    auto &Servers = W.Dir.Servers[ServiceId("ledger")];
    if (Servers.size() > 1 && below(Rng, 2) == 0)
      Servers.pop_back();
    else if (Servers.size() < 3)
      Servers.push_back({BackendId("l9"), 1, "l9", {}});
  }

  void run() {
    for (int Step = 0; Step < 60; ++Step) {
      send();
      if (Step % 2 == 0)
        injectFault();
      W.P.runFor(between(Rng, milliseconds(1), milliseconds(500)));
    }
    W.runWithoutFaults(seconds(100));
  }
};

/// Checks the callers' answers and the journal. Returns the first violation;
/// empty if there is none.
std::string findViolation(Session &S) {
  World &W = S.W;
  std::map<std::string, int> Runs;
  for (const WorldRun &Run : W.Journal)
    ++Runs[Run.Account + "/" + Run.Key];
  for (const auto &[Key, Count] : Runs) {
    if (Count > 1)
      return "ran twice: " + Key;
  }
  for (const auto &[Exchange, Call] : W.Calls) {
    std::string Name = std::to_string(Exchange) + " " + Call.Key;
    bool ExpectsAnswer = !Call.Left && !Call.HostDied;
    if (Call.FinalAnswers > 1 || (ExpectsAnswer && Call.FinalAnswers != 1))
      return "unexpected number of final answers of " + Name + ": " +
             std::to_string(Call.FinalAnswers);
    if (Call.LateAnswer && !W.EverFrozen)
      return "answer after the time limit: " + Name;
    if (Call.ForeignAnswer)
      return "answer of another request: " + Name;
    if (Call.IncompleteAnswer)
      return "incomplete answer: " + Name;
    if (!Call.Key.empty() && Call.Outcome == "failed")
      return "a sign-off was answered as failed: " + Name;
  }
  if (W.Unexpected != 0)
    return "transitions that the table does not list";
  return {};
}

/// Checks that "not run" is true: the request never ran, and no other request
/// with the same key had run before the answer was sent. Also checks that an
/// answered call did run.
std::string findFalseNotRun(Session &S) {
  World &W = S.W;
  std::set<std::string> Ran;
  for (const WorldRun &Run : W.Journal)
    Ran.insert(Run.Key);
  for (const auto &[Exchange, Call] : W.Calls) {
    if (Call.Key.empty())
      continue;
    std::string Name = std::to_string(Exchange) + " " + Call.Key;
    if (Call.Outcome == "answered" && Ran.count(Call.Key) == 0)
      return "answered, but never ran: " + Name;
    if (Call.Outcome != "not_run")
      continue;
    for (const WorldRun &Run : W.Journal) {
      bool SameKey = Run.Key == Call.Key && Run.Account == Call.Account;
      if (SameKey && (Run.Request == Call.Request || Run.At <= Call.FinalAt))
        return "answered as not run, but ran: " + Name;
    }
  }
  return {};
}

/// Checks that calls of an account run in the order of the turns in the log.
/// Calls of a lost host may run after the turn was passed on.
std::string findOutOfOrderRun(Session &S) {
  ClaimsState Replayed;
  std::map<std::string, std::size_t> Turns;
  std::map<std::string, TimePoint> LostAt;
  std::size_t Next = 0;
  for (const WorldEntry &Entry : S.W.Log) {
    for (const ClaimChange &C : applyClaims(Replayed, Entry.Content)) {
      if (C.Outcome == ClaimChange::Kind::Turn)
        Turns.emplace(toString(C.Request), ++Next);
      if (C.Outcome == ClaimChange::Kind::Ended &&
          C.Command == ClaimCommandKind::Lost)
        LostAt[toString(C.Request)] = Entry.At;
    }
  }
  std::map<std::string, std::size_t> Last; // Last turn run, by account.
  for (const WorldRun &Run : S.W.Journal) {
    auto Lost = LostAt.find(Run.Request);
    if (Lost != LostAt.end()) {
      // Bytes sent right before the end of the lease may arrive after it.
      if (Run.At > Lost->second + milliseconds(3))
        return "sent after the claim was lost: " + Run.Key;
      continue;
    }
    if (Turns[Run.Request] <= Last[Run.Account])
      return "out of turn: " + Run.Key;
    Last[Run.Account] = Turns[Run.Request];
  }
  if (encodeClaims(Replayed).Data !=
      encodeClaims(S.W.P.node(S.W.Hosts[0]).Applied).Data)
    return "replicas differ";
  return {};
}

/// Checks that no look-up failed though a server's answer arrived in time.
/// Frozen and crashed hosts are left out: their events come late.
std::string findLostLookUp(Session &S) {
  // For the final answer's margin, the simulated delays and clock drift.
  constexpr Duration Margin = milliseconds(300);
  World &W = S.W;
  if (W.EverFrozen || W.EverCrashed)
    return {};
  for (const auto &[Exchange, Call] : W.Calls) {
    bool Lost = Call.LookUp && !Call.Left && Call.Outcome != "answered" &&
                Call.AnswerArrives < Call.HostLimit - Margin;
    if (Lost)
      return "a look-up failed though its server answered in time: " +
             std::to_string(Exchange);
  }
  return {};
}

/// Checks that no request, claim, memory or grant is left after a run.
std::string findLeak(Session &S) {
  World &W = S.W;
  for (const HostId &Host : W.Hosts) {
    const CallsState &Calls = W.P.node(Host).Calls;
    if (!idle(Calls) || !Calls.Timers.empty() || !Calls.Upstreams.empty() ||
        !Calls.Exchanges.empty() || !Calls.Turns.empty())
      return "a request, timer, upstream call or queue is left in " +
             Host.Value;
    if (Calls.Bytes != 0)
      return "bytes are left in " + Host.Value;
    for (const auto &[Id, Health] : Calls.Health.Servers) {
      if (Health.InFlight != 0)
        return "a call counts as in flight in " + Host.Value;
    }
  }
  const WorldHost &Leader = W.P.node(W.Hosts[0]);
  if (!Leader.Applied.Queues.empty())
    return "claims are left open";
  const ClaimLeader &L = Leader.Leader;
  std::size_t Remaining = L.Waiters.size() + L.Acks.size() +
                          L.SendPermits.size() + L.ProposedLost.size() +
                          L.OwnerLastSeen.size();
  if (Remaining != 0)
    return "the leader keeps waiters " + std::to_string(L.Waiters.size()) +
           ", acks " + std::to_string(L.Acks.size()) + ", send permits " +
           std::to_string(L.SendPermits.size()) + ", proposed losses " +
           std::to_string(L.ProposedLost.size()) + ", owners last seen " +
           std::to_string(L.OwnerLastSeen.size());
  if (W.heldAtEngines() != 0)
    return "engines hold memory";
  if (!S.W.EverCrashed && !W.Granted.empty())
    return "a grant is neither released nor withdrawn";
  return {};
}

} // namespace

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomFaults) {
  std::size_t Answered = 0;
  std::size_t Unknown = 0;
  std::size_t NotRun = 0;
  std::size_t Failed = 0;
  for (std::uint64_t Seed : seeds(1500)) {
    Session S(Seed);
    S.run();
    for (std::string (*Check)(Session &) :
         {findViolation, findFalseNotRun, findOutOfOrderRun, findLostLookUp,
          findLeak}) {
      std::string Violation = Check(S);
      BOOST_REQUIRE_MESSAGE(Violation.empty(),
                            "seed " << Seed << ": " << Violation);
    }
    for (const auto &[Exchange, Call] : S.W.Calls) {
      Answered += Call.Outcome == "answered" ? 1 : 0;
      Unknown += Call.Outcome == "unknown" ? 1 : 0;
      NotRun += Call.Outcome == "not_run" ? 1 : 0;
      Failed += Call.Outcome == "failed" ? 1 : 0;
    }
  }
  BOOST_TEST_MESSAGE("answered " << Answered << ", unknown " << Unknown
                                 << ", not run " << NotRun << ", failed "
                                 << Failed);
  // The faults must produce enough answers of each outcome to check.
  for (std::size_t Count : {Answered, Unknown, NotRun, Failed})
    BOOST_TEST((std::getenv("PIMENTO_SEED") != nullptr || Count > 500U));
}

BOOST_AUTO_TEST_CASE(CallsOfOneAccountRunInOrder) {
  for (std::uint64_t Seed : seeds(400)) {
    Session S(Seed);
    S.W.Faults = WorldFaults();
    S.W.Faults.LedgerSlow = 0.1;
    S.W.Faults.LedgerConnect = 0.2;
    S.W.Faults.LeaderChanges = true;
    // All calls use one host, where their order of arrival is known.
    HostId Host = S.W.Hosts[1];
    for (int I = 1; I <= 20; ++I) {
      S.W.signOff(Host, "a", "a" + std::to_string(I), seconds(60));
      S.W.P.runFor(between(S.Rng, milliseconds(0), milliseconds(30)));
      if (I % 5 == 0)
        S.W.changeLeader(S.anyHost());
    }
    S.W.runWithoutFaults(seconds(100));
    int Last = 0;
    for (const WorldRun &Run : S.W.Journal) {
      int Number = std::stoi(Run.Key.substr(1));
      BOOST_REQUIRE_MESSAGE(Number > Last, "seed " << Seed << ": " << Number
                                                   << " after " << Last);
      Last = Number;
    }
    BOOST_REQUIRE_MESSAGE(Last > 0, "seed " << Seed << ": nothing ran");
  }
}

// Engines that are silent and take no connection: attempts are kept while other
// engines are tried, so that two answers of one request may come at once.
BOOST_AUTO_TEST_CASE(InvariantsHoldWhileAttemptsAtSilentEnginesAreKept) {
  std::size_t Kept = 0;
  std::size_t Answered = 0;
  for (std::uint64_t Seed : seeds(1000)) {
    Session S(Seed);
    S.W.Faults = WorldFaults();
    S.W.Faults.EngineSilent = 0.6;
    S.W.Faults.EngineConnect = 0.6;
    S.W.Faults.GrantLost = 0.3;
    S.W.Faults.GrantTwice = 0.2;
    S.W.Faults.CallerLeaves = 0.1;
    for (int I = 0; I < 40; ++I) {
      HostId Host = S.anyHost();
      std::uint64_t Exchange = S.W.complete(
          Host, below(S.Rng, 2) == 0, between(S.Rng, seconds(5), seconds(60)));
      if (uniform(S.Rng) < S.W.Faults.CallerLeaves)
        S.disconnectLater(Exchange);
      S.W.P.runFor(between(S.Rng, milliseconds(1), milliseconds(2000)));
      for (const HostId &Each : S.W.Hosts) {
        for (const auto &[Id, R] : S.W.P.node(Each).Calls.Requests)
          Kept += R.Generation && !R.Generation->Kept.empty() ? 1 : 0;
      }
    }
    S.W.runWithoutFaults(seconds(100));
    for (std::string (*Check)(Session &) : {findViolation, findLeak}) {
      std::string Violation = Check(S);
      BOOST_REQUIRE_MESSAGE(Violation.empty(),
                            "seed " << Seed << ": " << Violation);
    }
    for (const auto &[Exchange, Call] : S.W.Calls)
      Answered += Call.Outcome == "answered" ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("kept " << Kept << ", answered " << Answered);
  // The faults must keep enough attempts to check.
  for (std::size_t Count : {Kept, Answered})
    BOOST_TEST((std::getenv("PIMENTO_SEED") != nullptr || Count > 500U));
}
