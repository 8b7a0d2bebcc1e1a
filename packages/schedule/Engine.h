//===- Engine.h - The scheduler's view of one engine ------------*- C++ -*-===//
//
// Internal; Cell.h is the manual. Three matters in one struct: the memory
// ledger, the work that was granted and has not ended, and health.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "schedule/Prefix.h"
#include "schedule/Queue.h"
#include "schedule/Rates.h"
#include "wire/MembershipMessages.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimento {

enum class HoldState : std::uint8_t {
  Live,       // A grant stands behind it.
  Cancelling, // To be cancelled; counts until the engine confirms.
};

/// Memory of one attempt at one engine.
struct Hold {
  std::uint64_t Tokens = 0;
  HoldState State = HoldState::Live;
  TimePoint Since;           // Of the grant, or when the engine reported it.
  TimePoint NextCancel;      // Of Cancelling: when the cancel is repeated.
  std::uint32_t Cancels = 0; // Sent so far.
  std::string ExportHandle;  // Of an exported cache that nobody owns.
};

enum class HealthState : std::uint8_t {
  Serving,
  Warming, // Takes a bounded number of requests, doubled by each success.
  Ejected, // Takes none until its time is over.
};

/// Judged by outcomes, not by heartbeats.
struct EngineHealth {
  HealthState State = HealthState::Warming;
  std::uint32_t Failures = 0;  // In a row.
  std::uint32_t Overdue = 0;   // First tokens long past their forecast.
  std::uint32_t Allowance = 1; // Of Warming: requests at a time.
  std::uint32_t Ejections = 0; // In a row; doubles the time out.
  TimePoint Until;             // Of Ejected.
};

/// Prompts granted whose first token is not seen yet.
struct PrefillWork {
  double Tokens = 0;       // Left, by the forecast.
  std::uint32_t Count = 0; // Attempts.
};

/// How many attempts the ledger held at a time, to correct lagged reports.
struct RunningSample {
  TimePoint At;
  std::uint32_t Running = 0;
};

struct Engine {
  BackendRecord Record;
  unsigned Slot = NoPrefixSlot; // In the prefix index.

  // Ledger.
  std::map<AttemptId, Hold> Holds;
  std::map<std::string, Hold> Exports; // By handle; nobody owns them.
  std::uint64_t HeldTokens = 0;        // Of both.
  bool Swept = false;                  // Memory reported since this holder.
  TimePoint NextSweep;

  // Work.
  std::uint32_t Running = 0; // Live attempts.
  std::array<PrefillWork, LengthClasses> Prefills;
  TimePoint Drained; // Up to when Prefills were drained.

  // Load as reported, and what the ledger does not explain of it.
  TimePoint ReportedAt; // When the figures were taken.
  std::uint64_t LastReport = 0;
  std::uint32_t ForeignRunning = 0;
  std::uint64_t ForeignTokens = 0;
  std::vector<RunningSample> History; // Ring, oldest first.

  EngineRates Rates;
  EngineHealth Health;
  bool Bulk = false;  // Belongs to the lane of medium and long prompts.
  AttemptId Reserved; // A long ask that waits for this engine's memory.
  std::uint64_t ReservedTokens = 0; // Tokens that it needs here.
};

/// Tokens that neither the ledger nor the engine's report counts as used.
std::uint64_t freeTokens(const Engine &E);

/// Enters memory; replaces an earlier entry of the attempt.
void holdMemory(Engine &E, const AttemptId &Id, std::uint64_t Tokens,
                HoldState State, TimePoint Now);
/// Frees memory; false where nothing was held.
bool freeMemory(Engine &E, const AttemptId &Id);
/// Marks memory to be cancelled; the next tick or the caller sends it.
void cancelMemory(Engine &E, const AttemptId &Id, TimePoint Now);

/// Moves the forecast of prefills to \p Now.
void drainPrefills(Engine &E, const CellRates &Cell, TimePoint Now);
/// Prompt tokens that the engine prefills before a prompt of \p Class.
double prefillAhead(const Engine &E, LengthClass Class);

/// Whether health lets the engine take one more request.
bool admitsByHealth(const Engine &E);

} // namespace pimento
