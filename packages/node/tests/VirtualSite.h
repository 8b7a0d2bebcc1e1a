//===- VirtualSite.h - Complete hosts in virtual time -----------*- C++ -*-===//
//
// Simulates a site: several NodeStates connected by the message pump, a disk
// that loses unsynced writes, callers, and stand-ins for backend servers.
//
//   VirtualSite Site(SiteOptions(), Seed);
//   Site.start();
//   Answer &A = Site.post("north-1", "/v1/completions", Body);
//   Site.P.runFor(seconds(2));
//
// Every answer and every run of a call at a ledger is recorded, and engines
// report the tokens they hold. checkAlways() checks invariants after each step.
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

/// The answer that one caller has received.
struct Answer {
  ExchangeId Exchange{};
  HostId Host;
  TimePoint Sent;
  TimePoint Limit;      // Deadline of the final answer.
  TimePoint Answered{}; // Time of the final answer; zero: none.
  int Finals = 0;       // Final answers; more than one is a fault.
  int Status = 0;
  std::string Body; // All bytes received so far where streamed.
  bool Streamed = false;
  bool Complete = false; // The stream ended with its last chunk.
  bool Left = false;     // The caller closed the connection.
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

/// Faults of a stand-in; may be set at any time.
struct BackendFaults {
  bool Down = false;               // Refuses connections.
  bool Silent = false;             // Accepts requests and never responds.
  bool DieBeforeAnswer = false;    // Runs a call and fails before responding.
  bool Leaving = false;            // Announces that the server leaves.
  bool SkipsAnnouncements = false; // Sends no announcements.
  std::uint64_t BreakStreamAfterTokens = 0; // 0: streams do not break.
  Duration Latency = milliseconds(2);       // Response time of a plain server.
};

struct VirtualBackend;
struct EngineBackend;
struct PlainBackend;

/// One upstream call as the backend servers see it.
struct UpstreamKey {
  HostId Host;
  std::uint64_t Incarnation = 0; // Incarnation of the host's process.
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
  std::function<void(Settings &)> Adjust; // Changes the settings of each host.
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
  /// Erases the host's disk; the host must be down.
  void wipe(const std::string &Name);
  /// Asks the host to stop, as SIGTERM does.
  void stop(const std::string &Name);
  NodeState &node(const std::string &Name);
  bool serves(const std::string &Name);
  /// The host that leads the control group; empty where none holds the lease.
  std::string leader();
  /// The host that holds the model's first cell, as host \p Viewer sees it.
  std::string holder(const std::string &Viewer);

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
  /// The text that a caller must receive in answer to \p Prompt.
  static std::string expectedText(const std::string &Prompt,
                                  std::uint64_t Tokens);

  // Backend servers.
  BackendFaults &faults(const std::string &Backend);
  /// Restarts the server, empty and with a new incarnation.
  void restartBackend(const std::string &Backend);
  EngineBackend &engine(const std::string &Name);
  std::uint64_t tokensHeld();
  std::size_t attemptsAt(const std::string &Engine);
  /// Breaks every connection that streams from the engine.
  void dropReaders(const std::string &Engine);
  std::vector<LedgerRun> Runs;

  std::deque<Answer> Answers; // All answers; references stay valid.

  /// Receives a line for each recorded event and effect; empty: off.
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
  void executeEffect(HostSlot &Slot, const HostId &Name, Effect &E,
                     TimePoint Now);
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
  std::map<std::uint64_t, HostId> TermLeaders; // Control group, by term.
  std::map<std::pair<HostId, std::string>, std::uint64_t> Numbers;
  std::size_t AnnounceTurn = 0;
};

} // namespace pimento::test
