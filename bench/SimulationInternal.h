//===- SimulationInternal.h - Shared by the files of a run ------*- C++ -*-===//
//
// Internal to the simulation; not for use by other programs.
//
//   Simulation.cpp   event loop, engines, requests
//   System.cpp       entry hosts and the scheduler
//   Baselines.cpp    the policies that the scheduler is compared with
//   Faults.cpp       fault injection
//
//===----------------------------------------------------------------------===//
#pragma once

#include "Simulation.h"
#include "schedule/Entry.h"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>

namespace pimento::bench {

struct Event {
  TimePoint At;
  std::uint64_t Order = 0;
  std::function<void()> Run;
};
struct Later {
  bool operator()(const Event &A, const Event &B) const {
    return A.At != B.At ? A.At > B.At : A.Order > B.Order;
  }
};

/// State of one request during the run.
struct Request {
  std::size_t Host = 0;
  AttemptId Attempt; // Newest attempt.
  bool Open = false;
  bool Running = false;             // Sent to engines.
  bool Queued = false;              // Waits in the scheduler's queue.
  std::vector<std::size_t> Engines; // Leader of the group first.
  std::size_t SharesLeft = 0;
  TimePoint Sent;
  TimePoint FirstToken; // Of the newest attempt; zero: none yet.
  TimePoint OverAt;     // End of the request or its last attempt.
};

struct Host {
  EntryState State;
  bool Alive = true;
  std::uint64_t Next = 1;       // RequestId::Lo
  std::set<std::size_t> Active; // Requests at engines.
};

struct Simulation {
  const RunConfig &C;
  const Site &S;
  const std::vector<Arrival> &Arrivals;
  RunResult Result = {};
  Random R = Random(C.Seed);
  TimePoint Now = RunStart;
  std::uint64_t Order = 0;
  std::priority_queue<Event, std::vector<Event>, Later> Events = {};
  std::vector<EngineModel> Engines = {};
  std::vector<bool> ReportsLost = {};
  std::vector<Request> Requests = {};
  std::unordered_map<AttemptId, std::size_t> ByAttempt = {};
  std::vector<Host> Hosts = {};
  std::size_t Open = 0;   // Requests without a final response.
  std::size_t ToCome = 0; // Arrivals still to come.

  // The scheduler.
  std::optional<CellState> Cell = {};
  HostId Holder = {};
  std::uint64_t Epoch = 1;
  bool Frozen = false;
  double Loss = 0; // Share of messages that are dropped.
  std::vector<std::function<void()>> Thawing = {}; // Input queued while frozen.

  // Baselines.
  std::vector<std::size_t> NextEngine = {}; // Indexed by host.
  std::vector<LoadReport> LastReports = {}; // Indexed by engine.
  std::deque<std::size_t> Fifo = {};        // Indices of waiting requests.
};

void at(Simulation &M, TimePoint When, std::function<void()> Run);
inline void after(Simulation &M, Duration Delay, std::function<void()> Run) {
  at(M, M.Now + Delay, std::move(Run));
}

// Simulation.cpp
BackendRecord recordOf(const Simulation &M, std::size_t Engine);
/// Sends the newest attempt of a request to engines.
void sendToEngines(Simulation &M, std::size_t Index,
                   const std::vector<std::size_t> &Engines,
                   std::uint32_t Priority);
/// Starts the engine's next step if it is idle.
void kick(Simulation &M, std::size_t Engine);
/// Records the final response to the caller.
void finishRequest(Simulation &M, std::size_t Index, RequestEnd End,
                   Code Reason);
/// Ends the newest attempt as failed; starts another one or, after the last
/// permitted attempt, fails the request.
void attemptFailed(Simulation &M, std::size_t Index);
void beginAttempt(Simulation &M, std::size_t Index);
/// Number of engines that the request needs to fit into their memory.
std::size_t groupSize(const Simulation &M, const Arrival &A);
void dropAtEngines(Simulation &M, std::size_t Index);

// System.cpp
void startSystem(Simulation &M);
void askScheduler(Simulation &M, std::size_t Index);
void tellFinished(Simulation &M, std::size_t Index, const Job &J);
void tellFailed(Simulation &M, std::size_t Index);
void tellWithdrawn(Simulation &M, std::size_t Index);
void reportToScheduler(Simulation &M, const LoadReport &R);
void announceEngine(Simulation &M, std::size_t Engine, BackendStatus Status);
void startHolder(Simulation &M, Duration Wait);
/// Notifies entry hosts that the cell (a group of engines with one scheduler)
/// has no holder, the host that runs its scheduler.
void loseHolder(Simulation &M, std::uint64_t Epoch);
void tellHostGone(Simulation &M, const HostId &Name);
void startHost(Simulation &M, std::size_t Index, IncarnationNumber Incarnation);

// Baselines.cpp
void placeByBaseline(Simulation &M, std::size_t Index);
/// Dispatches queued requests after engine capacity became free.
void advanceFifo(Simulation &M);

// Faults.cpp
void scheduleFaults(Simulation &M);

} // namespace pimento::bench
