//===- EngineModel.h - What a model engine does, without I/O ----*- C++ -*-===//
//
// Pure: time comes in, nothing goes out. The server asks the model what became
// of an attempt and derives the text of its answer itself.
//
//   Engine E;
//   Refusal R = generate(E, Order, Now);   // Takes memory or says why not.
//   advance(E, Now);                       // Runs everything up to Now.
//   TimePoint Next = nextEvent(E);         // When to call it again.
//
// Index
//   EngineConfig      size and speed
//   Attempt           one attempt and the memory that it holds
//   Engine            the whole state
//   generate() ...    what callers ask for
//   advance()         what time does
//
// How it runs: attempts that fit the batch are prefilled together, each at its
// share by weight of the prefill rate; the last token of its prompt gives the
// first token of its answer. All that decode give a token at each step. The
// others wait, heaviest first, in order of arrival among equals.
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
  double PrefillRate = 400000;                // Tokens a second, all together.
  Duration DecodeInterval = milliseconds(10); // Between two tokens.
  std::uint64_t BatchSize = 64;               // Attempts that run at once.
  Duration ResumeTime = milliseconds(2000);   // Without a connection.
  std::uint64_t AnswerTokens = 0; // Natural length; zero: always max_tokens.
};

enum class AttemptState : std::uint8_t {
  Imported, // Its KV cache came from elsewhere; generate has not come yet.
  Checking, // The members of its group are being asked.
  Waiting,  // For a place in the batch.
  Prefill,
  Decode,
  Done,   // Every token is made.
  Failed, // A member of its group was lost; holds nothing.
  Orphan, // Given up on, but its memory is not freed: see Engine::LeakCancels.
};

struct Attempt {
  AttemptState State = AttemptState::Waiting;
  std::string Model;
  std::uint64_t PromptHash = 0;
  std::uint64_t PromptTokens = 0;
  std::vector<std::uint64_t> Prefixes; // Hashes, shortest first.
  std::size_t UsedPrefixes = 0;        // Of them, those counted as users.
  std::uint64_t CachedTokens = 0;      // Not prefilled: cached or imported.
  double PrefillLeft = 0;              // Tokens.
  std::uint64_t OutputTokens = 0;      // That the answer will have.
  std::uint64_t MaxTokens = 0;         // That were asked for.
  std::uint64_t Produced = 0;          // Tokens made so far.
  std::uint64_t Held = 0;              // Tokens of memory.
  double Weight = 1;
  bool Group = false;        // Other engines hold a part of its memory.
  std::uint64_t Order = 0;   // Of arrival.
  std::uint64_t Streams = 0; // Connections that read it.
  TimePoint Since;           // When it began to hold memory.
  TimePoint ExpiresAt = Never;
  std::uint64_t Cancels = 0; // Times that it was cancelled.
};

/// Memory held for an attempt that another engine leads.
struct Reservation {
  std::uint64_t Tokens = 0;
  TimePoint Since;
  TimePoint LeaseUntil;
  std::uint64_t Cancels = 0;
};

/// A KV cache that waits to be fetched.
struct Export {
  std::string Attempt;
  std::string Model;
  std::uint64_t PromptHash = 0;
  std::uint64_t Tokens = 0;
  TimePoint Since;
};

/// Ids that must not run any more; the oldest are forgotten.
struct EndedIds {
  std::deque<std::string> Order;
  std::unordered_set<std::string> Ids;
};
constexpr std::size_t MaxEndedIds = 1U << 16U;

enum class EngineRole : std::uint8_t { Both, Prefill, Decode };

/// Heaviest first; in order of arrival among equals.
struct QueueKey {
  double Weight = 1;
  std::uint64_t Order = 0;

  friend bool operator<(const QueueKey &A, const QueueKey &B) {
    return A.Weight != B.Weight ? A.Weight > B.Weight : A.Order < B.Order;
  }
};

/// Can't be copied: Batch and Queue point into Attempts.
struct Engine {
  Engine() = default;
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  EngineConfig Config;
  std::map<std::string, Attempt> Attempts;
  std::vector<Attempt *> Batch;        // Those in Prefill or Decode.
  std::map<QueueKey, Attempt *> Queue; // Those in Waiting.
  std::map<std::string, Reservation> Reservations;
  std::map<std::string, Export> Exports; // By handle.
  PrefixCache Cache;
  EndedIds Ended;
  std::set<std::string> Models;
  EngineRole Role = EngineRole::Both;
  bool Leaving = false;
  double SlowFactor = 1;         // On prefill and decode times.
  std::uint64_t LeakCancels = 0; // Cancels until memory is freed; zero: one.
  std::uint64_t UsedTokens = 0;  // Attempts, reservations and exports.
  std::uint64_t Arrivals = 0;
  std::uint64_t ExportsMade = 0;
  TimePoint Clock; // Up to which everything was run.
  TimePoint NextStep = Never;
  TimePoint NextExpiry = Never; // No attempt expires before it.
};

enum class Refusal : std::uint8_t {
  None,
  Memory,
  Model,
  Leaving,
  Group,
  Duplicate,
  Role,
  Missing, // Nothing of that name, or not in a state to do this.
};
/// "memory", "model" and so on, as the protocol says it.
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
  bool Group = false; // Its members are asked first: see confirmGroup().
};

/// Takes a new attempt. One without a group holds its memory from here on.
Refusal generate(Engine &E, const GenerateOrder &Order, TimePoint Now);
/// The members of a group hold \p TokensElsewhere: takes the rest of the
/// memory here. On a refusal the attempt is forgotten and never runs.
Refusal confirmGroup(Engine &E, const std::string &Id,
                     std::uint64_t TokensElsewhere, TimePoint Now);
/// Ends an attempt whose group is broken.
void loseGroup(Engine &E, const std::string &Id, TimePoint Now);

/// A connection begins or ends to read an attempt.
void attach(Engine &E, const std::string &Id);
void detach(Engine &E, const std::string &Id, TimePoint Now);

Refusal reserve(Engine &E, const std::string &Id, std::uint64_t Tokens,
                Duration Lease, TimePoint Now);

enum class CancelOutcome : std::uint8_t {
  Freed,     // Nothing is held any more.
  Forgotten, // Nothing was known of it.
  Held,      // Memory is still held: ask again.
};
struct CancelResult {
  CancelOutcome Outcome = CancelOutcome::Forgotten;
  std::uint64_t Tokens = 0; // Freed, or held still.
};
/// Ends the attempt, its reservation and its exports; the id never runs again.
CancelResult cancel(Engine &E, const std::string &Id, TimePoint Now);

/// Keeps the KV cache of an attempt past its prefill. \p Handle names it.
Refusal exportAttempt(Engine &E, const std::string &Id, TimePoint Now,
                      std::string &Handle);
bool dropExport(Engine &E, const std::string &Handle);
/// Takes over a KV cache for an attempt that generate() will name.
Refusal importAttempt(Engine &E, const std::string &Id, const Export &From,
                      TimePoint Now);

/// Runs everything that is due up to \p Now.
void advance(Engine &E, TimePoint Now);
/// When advance() has something to do again; Never where nothing is pending.
TimePoint nextEvent(const Engine &E);

/// Whether nothing is in progress that a graceful stop must wait for.
bool isIdle(const Engine &E);

} // namespace pimento::fakes
