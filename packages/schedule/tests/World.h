//===- World.h - Simulation of hosts and engines ----------------*- C++ -*-===//
//
// Simulates one cell on testing::Pump: two hosts that may schedule it, three
// entry hosts, and engines. An engine keeps the memory of an attempt until the
// attempt ends or a cancel arrives, even if its entry host has crashed.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "Samples.h"
#include "schedule/Entry.h"
#include "testing/Pump.h"

#include <map>
#include <optional>
#include <set>
#include <variant>

namespace pimento::test {

// Messages between simulated engines and hosts.
struct Generate {
  AttemptId Id;
  std::uint64_t Tokens = 0;
  bool Leader = true;
};
struct Done {
  AttemptId Id;
  bool Finished = false;
};
struct Free {
  AttemptId Id;
};
struct Freed {
  AttemptId Id;
};
struct MemoryQuery {};
struct EngineMemoryReport {
  IncarnationNumber Incarnation = 0;
  std::vector<HeldMemory> Held;
};

using SimulatedMessage = std::variant<Message, Generate, Done, Free, Freed,
                                      MemoryQuery, EngineMemoryReport>;

struct Running {
  std::uint64_t Tokens = 0;
  HostId Owner;
  TimePoint Since;
  TimePoint End; // Zero: the engine only holds memory for the attempt.
};

struct SimulatedNode {
  HostId Name;
  std::optional<EntryState> Entry;
  // Set while the host holds the lease or believes that it does.
  std::optional<CellState> Cell;
  bool IsEngine = false;
  IncarnationNumber Incarnation = 1;
  std::map<AttemptId, Running> Runs; // Running attempts of an engine.
  // Attempts that an engine must not run any more.
  std::set<AttemptId> Cancelled;
  std::uint64_t Next = 1; // Number of an entry host's next request.
};

using WorldPump = testing::Pump<SimulatedNode, SimulatedMessage>;

struct World {
  WorldPump P;
  std::size_t EngineCount = 4;
  std::uint64_t Memory = 50000;
  HostId Holder;
  std::uint64_t Epoch = 0;
  std::set<AttemptId> Open;          // Requests without a final answer.
  std::map<AttemptId, int> Answers;  // Final answers by attempt.
  std::map<AttemptId, HostId> RanAt; // The leading engine that ran the attempt.
  std::size_t RanAtTwoEngines = 0;
  std::size_t Finished = 0;
  std::size_t Refused = 0;
  std::size_t Late = 0; // Requests that ran into their time limit.

  explicit World(std::uint64_t Seed) : P(Seed) {}
};

/// Starts the engines, the entry hosts and the first lease holder.
void startWorld(World &W);
/// Makes \p Name the lease holder with a new epoch; the entry hosts learn of it
/// after a short delay.
void handOver(World &W, const HostId &Name, Duration RecoveryWait);
void startEntryHost(World &W, const HostId &Name,
                    IncarnationNumber Incarnation);
/// Starts a new request at an entry host; has no effect while the host is down.
void request(World &W, const HostId &Entry, std::uint64_t Prompt,
             Duration Limit = seconds(12));
/// Memory in use at all engines, and memory in the holder's ledger.
std::uint64_t heldAtEngines(World &W);
std::uint64_t heldInLedger(World &W);

} // namespace pimento::test
