//===- World.h - Simulation of entry hosts with faults ----------*- C++ -*-===//
//
// Runs the request and claim code of three entry hosts in virtual time against
// simulated callers, engines, a scheduler, a replicated log and ledgers (plain
// backend servers that share one journal of sign-offs, calls that must run at
// most once). A run is determined by its seed.
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

/// Fault probabilities and switches; no faults by default.
struct WorldFaults {
  double EngineConnect = 0;   // A connect to an engine fails.
  double EngineRefuse = 0;    // An engine refuses with proof that nothing ran.
  double EngineInterrupt = 0; // A stream's connection fails at some byte.
  double EngineCross = 0;     // A stream has an event of another attempt.
  double EngineRepeat = 0;    // A token is sent twice.
  double EngineError = 0;     // An engine reports that an attempt failed.
  double EngineSilent = 0;    // A stream stops with its connection open; half
                              // of them go on after 4 to 12 s.
  double EngineForget = 0;    // An engine loses an attempt before a resume.
  double LedgerConnect = 0;   // A connect to a ledger fails.
  double LedgerRefuse = 0;    // A ledger refuses with proof that nothing ran.
  double LedgerInterrupt = 0; // The connection fails after the call ran.
  double LedgerShort = 0;     // The answer is shorter than its Content-Length.
  double LedgerCross = 0;     // The answer has another request's id.
  double LedgerSlow = 0;      // The answer takes up to 20 s.
  double GrantLost = 0;       // A grant request is refused or never answered.
  double GrantTwice = 0;      // A grant is sent twice, the second one late.
  double CallerLeaves = 0;
  double CallerSlow = 0;      // A caller reads a few bytes at a time.
  bool Crashes = false;       // Hosts crash and restart.
  bool Freezes = false;       // Hosts stop for seconds and continue.
  bool LeaderChanges = false; // Other hosts become leader of the log.
  bool Edits = false;         // Ledger servers and time limits change.
};

/// One entry host.
struct WorldHost {
  CallsState Calls;
  ClaimsState Applied;
  std::size_t AppliedEntries = 0;
  ClaimLeader Leader;
  std::uint64_t Term = 0; // Last term in which this host became leader.
  IncarnationNumber Incarnation = 0;
};

/// One request as seen by its caller.
struct WorldCall {
  HostId Host;
  std::string Key; // Idempotency key of a sign-off; otherwise empty.
  std::string Account;
  TimePoint Limit;
  bool LookUp = false;
  bool Slow = false;
  bool Left = false;          // The caller disconnected.
  bool HostDied = false;      // The host crashed before the answer.
  bool RefusedAtOnce = false; // The host refused the request on arrival.
  int FinalAnswers = 0;
  bool LateAnswer = false;       // A final answer arrived after the limit.
  bool ForeignAnswer = false;    // The answer has bytes of another request.
  bool IncompleteAnswer = false; // The answer looks complete but is not.
  TimePoint HostLimit; // The earlier of Limit and the service's longest limit.
  // Look-ups: when the first whole answer of a server arrives, by the host's
  // clock.
  TimePoint AnswerArrives = TimePoint::max();
  TimePoint FinalAt;
  std::string Request; // Request id in the answer.
  std::string Outcome; // Final answer's outcome: "answered", "not_run", ...
  std::string Stream;  // Received part of a streamed answer.
  bool Streamed = false;
  std::uint64_t Buffered = 0;
  std::string Expected; // Expected text of a generated or look-up answer.
};

/// One execution of a sign-off at a ledger.
struct WorldRun {
  std::string Key;
  std::string Account;
  std::string Request;
  TimePoint At;
};

/// A committed log entry and the leader that proposed it.
struct WorldEntry {
  Blob Content;
  HostId Host;
  std::uint64_t Term = 0;
  std::uint64_t Ticket = 0;
  TimePoint At; // Time of the commit.
};

/// State of an attempt at an engine.
struct WorldAttempt {
  std::string Text; // The complete answer; each letter is a token.
  bool Cancelled = false;
  TimePoint FreeAt; // When the engine frees the attempt by itself.
};

class World {
public:
  using Pump = testing::Pump<WorldHost, Message>;

  WorldFaults Faults;
  Pump P;
  Directory Dir;
  std::vector<HostId> Hosts;
  std::map<std::uint64_t, WorldCall> Calls; // By exchange.
  std::vector<WorldRun> Journal;            // Runs at all ledgers, in order.
  std::vector<WorldEntry> Log;              // Committed claim entries.
  std::size_t Unexpected = 0; // Transitions that the table does not list.
  bool EverCrashed = false;
  bool EverFrozen = false;
  std::map<AttemptId, int> Granted; // Grants neither released nor withdrawn.

  explicit World(std::uint64_t Seed);

  /// Sends a caller's request to a host and returns its exchange.
  std::uint64_t complete(const HostId &Host, bool Stream, Duration Limit);
  std::uint64_t signOff(const HostId &Host, const std::string &Account,
                        const std::string &Key, Duration Limit);
  std::uint64_t lookUp(const HostId &Host, Duration Limit);

  /// Executes the effects of a handler that a test called directly.
  void processEffects(const HostId &Host, CallsEffects &Out) {
    execute(Host, Out);
  }

  void crash(const HostId &Host);
  void freeze(const HostId &Host);
  void restart(const HostId &Host);
  void changeLeader(const HostId &Host);
  /// Disables all faults, restarts the hosts and runs for \p Time.
  void runWithoutFaults(Duration Time);

  std::size_t heldAtEngines() const;

private:
  /// One upstream connection.
  struct Connection {
    HostId Host;
    IncarnationNumber Incarnation = 0;
    UpstreamId Id{};
    bool Open = true;
    TimePoint Last;      // Time of the newest event; events arrive in order.
    std::string Address; // Of the engine whose attempt it reads; else empty.
    std::string Attempt;
  };

  std::uint64_t NextExchange = 0;
  std::uint64_t CurrentTerm = 0;
  std::map<std::pair<std::string, std::uint64_t>, std::shared_ptr<Connection>>
      Connections; // By host and UpstreamId.
  std::map<std::string, std::map<std::string, WorldAttempt>>
      Engines; // By address and attempt.

  bool chance(double Share) { return Share > 0 && uniform(P.Rng) < Share; }
  Duration delay() {
    return between(P.Rng, microseconds(200), milliseconds(2));
  }

  std::uint64_t call(const HostId &Host, const std::string &Account,
                     HttpRequest R, WorldCall Call, Duration Limit);
  void execute(const HostId &Host, CallsEffects &Out);
  void execute(const HostId &Host, ClaimEffects &Out);
  void executeEffect(const HostId &Host, CallsEffect &E);
  void reply(const SendReply &R);
  void drain(std::uint64_t Exchange);
  void checkReply(WorldCall &Call, const std::string &Body, int Status);

  void open(const HostId &Host, const OpenUpstream &E);
  void
  scheduleEvent(const std::shared_ptr<Connection> &C, Duration Delay,
                std::function<void(WorldHost &, TimePoint, CallsEffects &)> Do);
  void failConnect(const std::shared_ptr<Connection> &C);
  void breakConnection(const std::shared_ptr<Connection> &C);
  void sendAnswer(const std::shared_ptr<Connection> &C, Duration Delay,
                  int Status, const std::vector<HttpHeader> &Headers,
                  const std::string &Body, bool Complete);
  void serve(const std::shared_ptr<Connection> &C, const UpstreamRequest &R);
  void serveEngine(const std::shared_ptr<Connection> &C,
                   const UpstreamRequest &R);
  void sendPieces(const std::shared_ptr<Connection> &C,
                  const std::string &Bytes);
  /// An engine frees an attempt some time after its last connection closed.
  void closeReader(const Connection &C);
  void stream(const std::shared_ptr<Connection> &C, const std::string &Address,
              const std::string &Attempt, std::size_t Offset);
  void serveLedger(const std::shared_ptr<Connection> &C,
                   const UpstreamRequest &R);
  void noteLookUpAnswer(const HostId &Host, const std::string &Body,
                        Duration Wait);

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
