//===- World.h - Hosts, a log, engines and ledgers with faults --*- C++ -*-===//
//
// Three entry hosts, whose requests and claims are real, against stand-ins for
// the log, the scheduler, engines, ledgers and callers. One seed gives one run.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "calls/Calls.h"
#include "calls/ClaimLeader.h"
#include "testing/Pump.h"
#include "wire/Messages.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pimento::calls {

/// How often things go wrong; all zero: never.
struct WorldFaults {
  double EngineConnect = 0; // A connect to an engine fails.
  double EngineRefuse = 0;  // An engine refuses with proof.
  double EngineCut = 0;     // A stream breaks at some byte.
  double EngineCross = 0;   // An event of another attempt slips in.
  double EngineRepeat = 0;  // A token comes twice.
  double EngineError = 0;   // An attempt fails.
  double EngineSilent = 0;  // A stream stops without breaking.
  double EngineForget = 0;  // An attempt is lost at a break.
  double LedgerConnect = 0; // A connect to a ledger fails.
  double LedgerRefuse = 0;  // A ledger refuses with proof.
  double LedgerCut = 0;     // The answer is lost after the call ran.
  double LedgerShort = 0;   // The answer is shorter than it says.
  double LedgerCross = 0;   // The answer has another request's id.
  double LedgerSlow = 0;    // The answer takes up to 20 s.
  double GrantLost = 0;     // Refused, or never answered.
  double GrantTwice = 0;    // The grant comes twice, the second one late.
  double CallerLeaves = 0;
  double CallerSlow = 0;      // A caller reads a few bytes at a time.
  bool Crashes = false;       // Hosts die and come back in a new life.
  bool Freezes = false;       // Hosts stop for seconds and go on.
  bool LeaderChanges = false; // Other hosts become leader of the log.
  bool Edits = false;         // Ledgers and models come and go.
};

/// One entry host.
struct WorldHost {
  CallsState Calls;
  ClaimsState Applied;
  std::size_t AppliedEntries = 0;
  ClaimLeader Leader;
  std::uint64_t Term = 0; // In which it leads.
  IncarnationNumber Incarnation = 0;
};

/// One request as its caller knows it.
struct WorldCall {
  HostId Host;
  std::string Key; // Of a sign-off; else empty.
  std::string Account;
  TimePoint Limit;
  bool LookUp = false;
  bool Slow = false;
  bool Left = false;             // The caller went away.
  bool HostDied = false;         // So that no answer can come.
  bool RefusedAtOnce = false;    // Refused at once.
  int FinalAnswers = 0;          // Final answers.
  bool LateAnswer = false;       // A final answer came after the limit.
  bool ForeignAnswer = false;    // It holds bytes of another request.
  bool IncompleteAnswer = false; // It looks whole and is not.
  TimePoint FinalAt;
  std::string Request; // Its id, as the answer names it.
  std::string Outcome; // Of the final answer: "answered", "not_run", ...
  std::string Stream;  // Bytes so far of a streamed answer.
  bool Streamed = false;
  std::uint64_t Buffered = 0;
  std::string Expected; // The text of a generated answer.
};

/// A run of a sign-off at a ledger.
struct WorldRun {
  std::string Key;
  std::string Account;
  std::string Request;
  TimePoint At;
};

/// An entry of the log and who proposed it.
struct WorldEntry {
  Blob Content;
  HostId Host;
  std::uint64_t Term = 0;
  std::uint64_t Ticket = 0;
  TimePoint At; // When it was committed.
};

/// What an engine holds of an attempt.
struct WorldAttempt {
  std::string Text; // The whole answer, a letter a token.
  bool Cancelled = false;
  TimePoint FreeAt; // Once its connection broke.
};

class World {
public:
  using Pump = testing::Pump<WorldHost, Message>;

  WorldFaults Faults;
  Pump P;
  Directory Dir;
  std::vector<HostId> Hosts;
  std::map<std::uint64_t, WorldCall> Calls; // By exchange.
  std::vector<WorldRun> Journal;            // Of all ledgers, in order.
  std::vector<WorldEntry> Log;              // Committed claim entries.
  std::size_t Unexpected = 0; // Transitions that the table does not list.
  bool EverCrashed = false;
  bool EverFrozen = false;
  std::map<AttemptId, int> Granted; // Grants not released or withdrawn.

  explicit World(std::uint64_t Seed);

  /// A caller's request at a host; the exchange.
  std::uint64_t complete(const HostId &Host, bool Stream, Duration Limit);
  std::uint64_t signOff(const HostId &Host, const std::string &Account,
                        const std::string &Key, Duration Limit);
  std::uint64_t lookUp(const HostId &Host, Duration Limit);

  /// Carries out what a handler called from outside asked for.
  void takeEffects(const HostId &Host, CallsEffects &Out) { take(Host, Out); }

  void crash(const HostId &Host);
  void freeze(const HostId &Host);
  void restart(const HostId &Host);
  void changeLeader(const HostId &Host);
  /// Ends all faults and lets everything settle.
  void settle(Duration Time);

  std::size_t heldAtEngines() const;

private:
  /// One upstream connection.
  struct Connection {
    HostId Host;
    IncarnationNumber Incarnation = 0;
    UpstreamId Id{};
    bool Open = true;
    TimePoint Last; // Of the newest event: they come in order.
  };

  std::uint64_t NextExchange = 0;
  std::uint64_t CurrentTerm = 0;
  std::map<std::pair<std::string, std::uint64_t>, std::shared_ptr<Connection>>
      Connections; // By host and upstream call.
  std::map<std::string, std::map<std::string, WorldAttempt>>
      Engines; // By address and attempt.

  bool chance(double Share) { return Share > 0 && uniform(P.Rng) < Share; }
  Duration delay() {
    return between(P.Rng, microseconds(200), milliseconds(2));
  }

  std::uint64_t call(const HostId &Host, const std::string &Account,
                     HttpRequest R, WorldCall Call, Duration Limit);
  void take(const HostId &Host, CallsEffects &Out);
  void take(const HostId &Host, ClaimEffects &Out);
  void executeEffects(const HostId &Host, CallsEffect &E);
  void reply(const SendReply &R);
  void drain(std::uint64_t Exchange);
  void checkReply(WorldCall &Call, const std::string &Body, int Status);

  void open(const HostId &Host, const OpenUpstream &E);
  void event(const std::shared_ptr<Connection> &C, Duration Delay,
             std::function<void(WorldHost &, TimePoint, CallsEffects &)> Do);
  void connectFails(const std::shared_ptr<Connection> &C);
  void breaks(const std::shared_ptr<Connection> &C);
  void answers(const std::shared_ptr<Connection> &C, Duration Delay, int Status,
               const std::vector<HttpHeader> &Headers, const std::string &Body,
               bool Complete);
  void serve(const std::shared_ptr<Connection> &C, const UpstreamRequest &R);
  void serveEngine(const std::shared_ptr<Connection> &C,
                   const UpstreamRequest &R);
  void stream(const std::shared_ptr<Connection> &C, const std::string &Address,
              const std::string &Attempt, std::size_t Offset);
  void serveLedger(const std::shared_ptr<Connection> &C,
                   const UpstreamRequest &R);

  void requestGrant(const HostId &Host, const GrantRequest &A);
  void propose(const HostId &Host, const ProposeClaims &E);
  void apply(WorldHost &H, const HostId &Name, std::size_t Upto, TimePoint Now);
  void onMessage(WorldHost &H, const HostId &From, const Message &M,
                 TimePoint Now);
  void onTick(WorldHost &H, TimePoint Now);
  HostId nameOf(const WorldHost &H) const { return H.Calls.Host; }
  HostId leaderFor();
};

} // namespace pimento::calls
