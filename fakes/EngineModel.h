//===- EngineModel.h - Simulated model engine, without I/O ------*- C++ -*-===//
//
// The functions take the time as an argument and do no I/O. An attempt is one
// sending of a request to an engine. The server reads the state of an attempt
// from the model and derives the text of its answer itself.
//
//   Engine E;
//   Refusal R = generate(E, Order, Now);   // Takes memory or refuses.
//   advance(E, Now);                       // Runs everything up to Now.
//   TimePoint Next = nextEvent(E);         // When to call it again.
//
// Index
//   EngineConfig      size and speed
//   Attempt           one attempt and the memory that it holds
//   Engine            the whole state
//   generate() ...    operations of callers
//   advance()         simulation up to a point in time
//
// Attempts in the batch are prefilled together and share the prefill rate by
// weight. An attempt's first output token is produced when its prefill ends.
// Each decode step produces one token for every decoding attempt. Attempts
// outside the batch wait in a queue, ordered by descending weight and then by
// arrival.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"
#include "fakes/PrefixCache.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace pimento::fakes {

constexpr TimePoint Never = TimePoint::max();

struct EngineConfig {
  std::uint64_t MemoryTokens = 600000;        // KV cache.
  double PrefillRate = 400000;                // Tokens per second, whole batch.
  Duration DecodeInterval = milliseconds(10); // Between decode steps.
  std::uint64_t BatchSize = 64;               // Attempts that run at once.
  Duration ResumeTime = milliseconds(2000);   // Lifetime without connection.
  std::uint64_t AnswerTokens = 0; // Natural length; zero: always max_tokens.
};

enum class AttemptState : std::uint8_t {
  Imported, // KV cache imported; generate() was not called yet.
  Checking, // Waits for the replies of the group's members.
  Waiting,  // Waits for a place in the batch.
  Prefill,
  Decode,
  Done,   // All tokens are produced.
  Failed, // A group member was lost; no memory is held.
  Orphan, // Ended with its memory leaked: see Engine::LeakCancels.
};

struct Attempt {
  AttemptState State = AttemptState::Waiting;
  std::string Model;
  std::uint64_t PromptHash = 0;
  std::uint64_t PromptTokens = 0;
  std::vector<std::uint64_t> Prefixes; // Hashes, shortest first.
  std::size_t UsedPrefixes = 0;        // Leading ones in use.
  std::uint64_t CachedTokens = 0;      // Prompt tokens cached or imported.
  double PrefillLeft = 0;              // Tokens to prefill.
  std::uint64_t OutputTokens = 0;      // Length of the answer.
  std::uint64_t MaxTokens = 0;         // Limit of the request.
  std::uint64_t Produced = 0;          // Output tokens so far.
  std::uint64_t Held = 0;              // Memory, in tokens.
  double Weight = 1;
  bool Group = false;        // Other engines hold a part of its memory.
  std::uint64_t Order = 0;   // Order of arrival.
  std::uint64_t Streams = 0; // Connections that read the answer.
  TimePoint Since;           // Start of holding memory.
  TimePoint ExpiresAt = Never;
  std::uint64_t Cancels = 0; // Cancels received.
};

/// Memory reserved for an attempt whose group another engine leads.
struct Reservation {
  std::uint64_t Tokens = 0;
  TimePoint Since;
  TimePoint LeaseUntil;
  std::uint64_t Cancels = 0;
};

/// A KV cache kept until another engine fetches it.
struct Export {
  std::string Attempt;
  std::string Model;
  std::uint64_t PromptHash = 0;
  std::uint64_t Tokens = 0;
  TimePoint Since;
};

/// Bounded set of ended attempt ids, which must not run again. The oldest ids
/// are dropped first.
struct EndedIds {
  std::deque<std::string> Order;
  std::unordered_set<std::string> Ids;
};
constexpr std::size_t MaxEndedIds = 1U << 16U;

enum class EngineRole : std::uint8_t { Both, Prefill, Decode };

/// Orders by descending weight, then by arrival.
struct QueueKey {
  double Weight = 1;
  std::uint64_t Order = 0;

  friend bool operator<(const QueueKey &A, const QueueKey &B) {
    return A.Weight != B.Weight ? A.Weight > B.Weight : A.Order < B.Order;
  }
};

/// Not copyable, as Batch and Queue point into Attempts.
struct Engine {
  Engine() = default;
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  EngineConfig Config;
  std::map<std::string, Attempt> Attempts;
  std::vector<Attempt *> Batch;        // In Prefill or Decode.
  std::map<QueueKey, Attempt *> Queue; // In Waiting.
  std::map<std::string, Reservation> Reservations;
  std::map<std::string, Export> Exports; // By handle.
  PrefixCache Cache;
  EndedIds Ended;
  std::set<std::string> Models;
  EngineRole Role = EngineRole::Both;
  bool Leaving = false;
  double SlowFactor = 1;         // Factor on prefill and decode times.
  std::uint64_t LeakCancels = 0; // Cancels until memory is freed; zero: one.
  std::uint64_t UsedTokens = 0;  // Attempts, reservations and exports.
  std::uint64_t Arrivals = 0;
  std::uint64_t ExportsMade = 0;
  TimePoint Clock; // Time of the last advance().
  TimePoint NextStep = Never;
  TimePoint NextExpiry = Never; // Earliest possible expiry.
};

enum class Refusal : std::uint8_t {
  None,
  Memory,
  Model,
  Leaving,
  Group,
  Duplicate,
  Role,
  Missing, // Unknown name, or not in a suitable state.
};
/// The reason as the protocol spells it, such as "memory" or "model".
const char *toString(Refusal R);
const char *toString(AttemptState S);
const char *toString(EngineRole R);

struct GenerateOrder {
  std::string Id;
  std::string Model;
  std::uint64_t PromptHash = 0;
  std::uint64_t PromptTokens = 0;
  std::vector<std::uint64_t> Prefixes;
  std::uint64_t MaxTokens = 0;
  double Weight = 1;
  bool Group = false; // Members must confirm: see confirmGroup().
};

/// Accepts a new attempt. Without a group the attempt holds its memory at once.
Refusal generate(Engine &E, const GenerateOrder &Order, TimePoint Now);
/// Takes the memory that the group's members, which hold \p TokensElsewhere,
/// don't provide. On a refusal the attempt is removed and never runs.
Refusal confirmGroup(Engine &E, const std::string &Id,
                     std::uint64_t TokensElsewhere, TimePoint Now);
/// Fails an attempt that lost a member of its group.
void loseGroup(Engine &E, const std::string &Id, TimePoint Now);

/// Registers or removes a connection that reads an attempt.
void attach(Engine &E, const std::string &Id);
void detach(Engine &E, const std::string &Id, TimePoint Now);

Refusal reserve(Engine &E, const std::string &Id, std::uint64_t Tokens,
                Duration Lease, TimePoint Now);

enum class CancelOutcome : std::uint8_t {
  Freed,     // No memory is held any more.
  Forgotten, // The attempt was unknown.
  Held,      // Memory is still held; cancel again.
};
struct CancelResult {
  CancelOutcome Outcome = CancelOutcome::Forgotten;
  std::uint64_t Tokens = 0; // Tokens freed, or still held.
};
/// Ends the attempt, its reservation and its exports; the id never runs again.
CancelResult cancel(Engine &E, const std::string &Id, TimePoint Now);

/// Exports the KV cache of an attempt whose prefill is complete, under
/// \p Handle.
Refusal exportAttempt(Engine &E, const std::string &Id, TimePoint Now,
                      std::string &Handle);
bool dropExport(Engine &E, const std::string &Handle);
/// Imports a KV cache for an attempt that a later generate() starts.
Refusal importAttempt(Engine &E, const std::string &Id, const Export &From,
                      TimePoint Now);

/// Simulates the engine up to \p Now.
void advance(Engine &E, TimePoint Now);
/// Time at which advance() is due next; Never if nothing is pending.
TimePoint nextEvent(const Engine &E);

/// Whether no work is left that a graceful stop must wait for.
bool isIdle(const Engine &E);

} // namespace pimento::fakes
