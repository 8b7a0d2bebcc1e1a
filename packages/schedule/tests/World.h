//===- World.h - Entry hosts, schedulers and engines on the pump *- C++ -*-===//
//
// One cell with two hosts that may schedule it, three entry hosts and engines
// that hold memory until they are told to let go. World::check() holds after
// every step.
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

// What the model engines and the hosts say to each other.
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
  TimePoint End; // Zero: only holds memory.
};

struct SimulatedNode {
  HostId Name;
  std::optional<EntryState> Entry;
  std::optional<CellState> Cell; // While it is the holder, or thinks so.
  bool IsEngine = false;
  IncarnationNumber Incarnation = 1;
  std::map<AttemptId, Running> Runs; // Of an engine.
  std::set<AttemptId> Cancelled;     // Never run afterwards.
  std::uint64_t Next = 1;            // Of an entry host's requests.
};

using WorldPump = testing::Pump<SimulatedNode, SimulatedMessage>;

struct World {
  WorldPump P;
  std::size_t EngineCount = 4;
  std::uint64_t Memory = 50000;
  HostId Holder;
  std::uint64_t Epoch = 0;
  std::set<AttemptId> Open;          // Without a final answer.
  std::map<AttemptId, int> Answers;  // Final answers by attempt.
  std::map<AttemptId, HostId> RanAt; // The engine that led it.
  std::size_t RanAtTwoEngines = 0;
  std::size_t Finished = 0;
  std::size_t Refused = 0;
  std::size_t Late = 0; // Ended by their limit.

  explicit World(std::uint64_t Seed) : P(Seed) {}
};

/// Starts engines, entry hosts and the first holder.
void startWorld(World &W);
/// Makes \p Name the holder under a new epoch; the earlier one is forgotten by
/// all who hear of it.
void handOver(World &W, const HostId &Name, Duration RecoveryWait);
void startEntryHost(World &W, const HostId &Name,
                    IncarnationNumber Incarnation);
/// One new request at an entry host that is up.
void request(World &W, const HostId &Entry, std::uint64_t Prompt,
             Duration Limit = seconds(12));
/// Memory that engines hold, and that the holder's ledger holds.
std::uint64_t heldAtEngines(World &W);
std::uint64_t heldInLedger(World &W);

} // namespace pimento::test
