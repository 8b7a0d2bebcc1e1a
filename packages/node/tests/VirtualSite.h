//===- VirtualSite.h - Whole hosts in virtual time --------------*- C++ -*-===//
//
// Several NodeStates against each other over the message pump, with a disk
// that loses what was not synced, callers, and stand-ins for backend servers.
//
//   VirtualSite Site(SiteOptions(), Seed);
//   Site.start();
//   Answer &A = Site.post("north-1", "/v1/completions", Body);
//   Site.P.runFor(seconds(2));
//
// Every answer, every run of a call at a ledger and every byte that engines
// hold are kept for checks. Invariants that must hold at any time are checked
// after each step by checkAlways().
//
//===----------------------------------------------------------------------===//
#pragma once

#include "node/Node.h"
#include "testing/Pump.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimento::test {

/// What one caller has received.
struct Answer {
  ExchangeId Exchange{};
  HostId Host;
  TimePoint Sent;
  TimePoint Limit;      // By which the final answer must have come.
  TimePoint Answered{}; // Of the final answer; zero: none came.
  int Finals = 0;       // Final answers; more than one is a fault.
  int Status = 0;
  std::string Body; // Or all streamed bytes.
  bool Streamed = false;
  bool Whole = false; // A stream ended by its last chunk.
  bool Left = false;  // The caller closed.
  bool HostDied = false;
};

/// One run of a call at a plain server.
struct LedgerRun {
  std::string Key;
  std::string Account;
  std::string Body;
  BackendId Server;
  TimePoint At;
};

/// How the stand-ins misbehave; set at any time.
struct BackendFaults {
  bool Down = false;            // Refuses connections.
  bool Silent = false;          // Takes requests and never answers.
  bool DieBeforeAnswer = false; // Runs, then goes down without an answer.
  bool Leaving = false;         // Announces that it leaves.
  bool Mute = false;            // Announces nothing.
  std::uint64_t CutAfter = 0;   // Tokens after which a stream breaks; 0: never.
  Duration Latency = milliseconds(2); // Of a plain server's answer.
};

struct VirtualBackend;
struct EngineBackend;
struct PlainBackend;

/// One upstream call as the backend servers see it.
struct UpstreamKey {
  HostId Host;
  std::uint64_t Incarnation = 0; // Of the host's process.
  UpstreamId Call{};

  friend bool operator<(const UpstreamKey &A, const UpstreamKey &B) {
    return std::tie(A.Host, A.Incarnation, A.Call) <
           std::tie(B.Host, B.Incarnation, B.Call);
  }
};

struct SiteOptions {
  std::vector<std::string> Hosts = {"north-1", "centre-1", "south-1"};
  std::size_t Voters = 3;
  std::size_t Engines = 3;
  std::size_t Ledgers = 2;
  std::uint64_t EngineTokens = 100000;
  Duration SyncTime = microseconds(300);
  std::function<void(Settings &)> Adjust; // May change any host's settings.
};

/// A host's process and its disk.
struct HostSlot {
  std::unique_ptr<NodeState> Node;
  std::uint64_t Incarnation = 0;
  bool Exited = false;
  int ExitStatus = -1;
};

class VirtualSite {
public:
  using HostPump = testing::Pump<HostSlot, Message>;

  VirtualSite(SiteOptions Options, std::uint64_t Seed);
  ~VirtualSite();
  VirtualSite(const VirtualSite &) = delete;
  VirtualSite &operator=(const VirtualSite &) = delete;

  HostPump P;

  /// Starts all hosts and backend servers, puts the documents, and runs until
  /// every host serves. False where that takes longer than 20 s.
  bool start();

  // Hosts.
  void startHost(const std::string &Name);
  void kill(const std::string &Name);
  void wipe(const std::string &Name); // Its disk; the host must be down.
  void stop(const std::string &Name); // As SIGTERM does.
  NodeState &node(const std::string &Name);
  bool serves(const std::string &Name);
  /// The host that leads the control group; empty: none with a lease.
  std::string leader();
  /// The host that holds the first cell of the model, as \p Seen by a host.
  std::string holder(const std::string &Seen);

  // Operators.
  Answer &put(const std::string &Host, const std::string &Service,
              const std::string &Text, const std::string &EditId = "");
  std::uint64_t numberAt(const std::string &Host, const std::string &Service);

  // Callers.
  Answer &send(const std::string &Host, HttpRequest Request, Duration Limit);
  Answer &complete(const std::string &Host, const std::string &Prompt,
                   std::uint64_t Tokens, bool Stream = true,
                   Duration Limit = seconds(30),
                   const std::string &Account = "a");
  Answer &signOff(const std::string &Host, const std::string &Key,
                  const std::string &Body = "{}", Duration Limit = seconds(10),
                  const std::string &Account = "a");
  void leave(Answer &A);
  /// The text that the answer to \p Prompt must have, as the callers see it.
  static std::string expectedText(const std::string &Prompt,
                                  std::uint64_t Tokens);

  // Backend servers.
  BackendFaults &faults(const std::string &Backend);
  /// Starts it again with a new life, empty.
  void restartBackend(const std::string &Backend);
  EngineBackend &engine(const std::string &Name);
  std::uint64_t tokensHeld();
  std::size_t attemptsAt(const std::string &Engine);
  /// Breaks every connection that reads an answer of the engine.
  void dropReaders(const std::string &Engine);
  std::vector<LedgerRun> Runs;

  std::deque<Answer> Answers; // All of them; references stay valid.

  /// A line for each event and effect that is worth reading; empty: off.
  std::function<void(std::string)> Record;

  /// The documents that start() puts.
  static std::string modelDocument(std::uint64_t Number, int WeightOfA = 4);
  static std::string ledgerDocument(std::uint64_t Number);

  // Used by the stand-ins.
  void toHost(const UpstreamKey &Key, Duration Delay, Event E);

private:
  friend struct EngineBackend;
  friend struct PlainBackend;

  struct DiskImage {
    IncarnationNumber Incarnation = 0;
    DiskStart Start = 0;
    std::map<GroupId, Recovered> Groups;
  };

  void dispatch(HostSlot &Slot, const HostId &Name, const Event &E,
                TimePoint Now);
  void carry(HostSlot &Slot, const HostId &Name, Effect &E, TimePoint Now);
  void finish(const HostId &Host, ExchangeId Exchange,
              const std::function<void(Answer &)> &Change);
  void openUpstream(const HostId &Name, const calls::OpenUpstream &E,
                    TimePoint Now);
  void writeDisk(HostSlot &Slot, const HostId &Name, const DiskWrite &Write);
  void announceAll();
  void tickBackends();
  void checkAlways();
  VirtualBackend *backendAt(const std::string &Address);
  Settings settingsOf(const std::string &Name) const;
  Answer &newAnswer(const std::string &Host, Duration Limit);
  void recordEvent(const HostId &Name, const Event &E);
  void recordEffect(const HostId &Name, const Effect &E);

  SiteOptions Options;
  std::uint64_t Seed;
  std::map<HostId, DiskImage> Disks;
  std::map<std::string, std::unique_ptr<VirtualBackend>> Backends;
  std::map<std::pair<HostId, std::uint64_t>, Answer *> Open; // By exchange.
  std::uint64_t NextExchange = 1;
  std::uint64_t NextIncarnation = 1;
  std::map<std::uint64_t, HostId> TermLeaders; // Of the control group.
  std::map<std::pair<HostId, std::string>, std::uint64_t> Numbers;
  std::size_t AnnounceTurn = 0;
};

} // namespace pimento::test
