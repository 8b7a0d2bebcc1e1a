//===- Engine.h - The scheduler's view of one engine ------------*- C++ -*-===//
//
// Internal; see Cell.h for the interface. The struct has three parts: the
// memory ledger, the work that was granted and has not ended, and health.
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
  Live,       // Belongs to a live grant.
  Cancelling, // Being cancelled; counts as used until the engine confirms.
};

/// Memory of one attempt or export at one engine.
struct Hold {
  std::uint64_t Tokens = 0;
  HoldState State = HoldState::Live;
  TimePoint Since; // When the memory was granted or first reported.
  // When to send the next cancel; used in state Cancelling.
  TimePoint NextCancel;
  std::uint32_t Cancels = 0; // Cancels sent so far.
  std::string ExportHandle;  // Set for an exported cache without a known owner.
};

enum class HealthState : std::uint8_t {
  Serving,
  Warming, // Takes at most Allowance requests; each success doubles it.
  Ejected, // Takes no requests until EngineHealth::Until.
};

/// Health of an engine, derived from the outcomes of its requests and not from
/// heartbeats.
struct EngineHealth {
  HealthState State = HealthState::Warming;
  std::uint32_t Failures = 0; // Consecutive failures.
  // Attempts that have waited too long for their first or next token, since
  // the last success.
  std::uint32_t Overdue = 0;
  std::uint32_t Allowance = 1; // Most concurrent requests in state Warming.
  // Consecutive ejections; each doubles the ejection time.
  std::uint32_t Ejections = 0;
  TimePoint Until; // End of the ejection.
};

/// Granted prompts whose first token has not been seen yet.
struct PrefillWork {
  double Tokens = 0;       // Forecast of the tokens left to prefill.
  std::uint32_t Count = 0; // Number of such attempts.
};

/// Number of running attempts in the ledger at one moment. Used to correct
/// delayed load reports.
struct RunningSample {
  TimePoint At;
  std::uint32_t Running = 0;
};

struct Engine {
  BackendRecord Record;
  unsigned Slot = NoPrefixSlot; // Slot in the prefix index.

  // Memory ledger.
  std::map<AttemptId, Hold> Holds;
  // Exports without a known owner, by handle.
  std::map<std::string, Hold> Exports;
  std::uint64_t HeldTokens = 0; // Sum over Holds and Exports.
  // The engine may take work: this lease holder has its memory report or no
  // longer waits for one.
  bool Swept = false;
  TimePoint NextSweep;

  // Work granted to this engine.
  std::uint32_t Running = 0; // Attempts with a live grant.
  std::array<PrefillWork, LengthClasses> Prefills;
  TimePoint Drained; // Time up to which Prefills has been advanced.

  // Load as reported, and the part of it that does not come from grants of this
  // scheduler.
  TimePoint ReportedAt; // When the engine measured its load.
  std::uint64_t LastReport = 0;
  std::uint32_t ForeignRunning = 0;
  std::uint64_t ForeignTokens = 0;
  std::vector<RunningSample> History; // Bounded, oldest first.

  EngineRates Rates;
  EngineHealth Health;
  bool Bulk = false;  // Belongs to the bulk lane (medium and long prompts).
  AttemptId Reserved; // The queued long request that this engine is reserved
                      // for; empty: none.
  std::uint64_t ReservedTokens = 0; // Tokens reserved for that request.
};

/// Returns the tokens that neither the ledger nor the engine's report counts as
/// used.
std::uint64_t freeTokens(const Engine &E);

/// Records memory of an attempt; replaces an earlier entry.
void holdMemory(Engine &E, const AttemptId &Id, std::uint64_t Tokens,
                HoldState State, TimePoint Now);
/// Removes the entry of an attempt. Returns false if there was none.
bool freeMemory(Engine &E, const AttemptId &Id);
/// Marks memory to be cancelled. sendCancels() appends the cancel, at the
/// latest in the next tick.
void cancelMemory(Engine &E, const AttemptId &Id, TimePoint Now);

/// Advances the forecast of the remaining prefill work to \p Now.
void drainPrefills(Engine &E, const CellRates &Cell, TimePoint Now);
/// Returns the prompt tokens that the engine prefills before a new prompt of \p
/// Class.
double prefillAhead(const Engine &E, LengthClass Class);

/// Returns true if the engine's health allows one more request.
bool admitsByHealth(const Engine &E);

} // namespace pimento
