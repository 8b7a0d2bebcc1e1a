//===- Plan.h - Request arrivals of a load run ------------------*- C++ -*-===//
//
//   std::vector<Arrival> Plan = makePlan(Settings); // Equal for one seed.
//
// The plan is generated before the run (open-loop load): arrival times do not
// depend on answers, so a slow site does not reduce the load.
//
// Index
//   MaxRate ...        limits of a run
//   Mix, mixOf()       request mix of each of the two workloads
//   Arrival            one request of the plan
//   makePlan()         all arrivals of a run
//   shortOnly()        short completions of a plan
//   promptText() ...   contents of a request
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimento::load {

constexpr double MaxRate = 2000;             // Requests per second.
constexpr Duration MaxLength = seconds(600); // Arrival time, sum of phases.
constexpr std::size_t MaxRequests = 100000;  // Requests of all phases.
constexpr std::size_t MaxInFlight = 512;     // Concurrent requests.
constexpr double MinScale = 0.0001;        // Smallest factor on prompt lengths.
constexpr std::uint64_t BytesPerToken = 4; // Prompt bytes sent for each token.
constexpr std::uint64_t MinPromptTokens = 24; // Room for the unique prefix.
constexpr std::uint64_t LongTokens = 100000;  // Longer prompts are Long.
constexpr std::uint64_t LongestTokens = 1000000;

/// Workloads, named after the users whose callers they model.
enum class WorkloadKind : std::uint8_t { Pamoja, Taller };

/// Class of prompt length, by tokens before scaling.
enum class LengthClass : std::uint8_t { Short, Medium, Large, Long };
constexpr std::size_t LengthClasses = 4;

/// "short", "medium", "large" or "long".
const char *toString(LengthClass C);
/// "pamoja" or "taller".
const char *toString(WorkloadKind K);

/// Parameters of the completions of one length class.
struct LengthBand {
  LengthClass Class = LengthClass::Short;
  std::uint64_t MinTokens = 0;    // Tokens of prompt, before scaling.
  std::uint64_t MaxTokens = 0;    // Tokens of prompt, before scaling.
  unsigned CountPerFifty = 0;     // Number in every 50 completions.
  std::uint64_t AnswerTokens = 0; // max_tokens.
  Duration Limit{};               // Time limit sent with the request.
};

/// Request mix of one workload.
struct Mix {
  std::vector<LengthBand> Bands;
  double LookupShare = 0;        // Fraction of all arrivals.
  double NonRepeatableShare = 0; // Fraction of all arrivals.
  double SentTwiceShare = 0;     // Fraction of the non-repeatable calls.
};

Mix mixOf(WorkloadKind K);

enum class RequestKind : std::uint8_t { Completion, Lookup, NonRepeatable };

/// One request of the plan.
struct Arrival {
  std::size_t Number = 0; // Position in the full plan.
  Duration At{};          // Arrival time since the start of the phase.
  RequestKind Kind = RequestKind::Completion;
  LengthClass Class = LengthClass::Short; // Valid for completions.
  std::uint64_t PromptTokens = 0;         // After scaling; 0 for plain calls.
  std::uint64_t AnswerTokens = 0;         // max_tokens.
  std::size_t Account = 0;                // Index into the accounts.
  std::size_t Host = 0;                   // Index into the hosts.
  std::size_t Model = 0;                  // Index into the models.
  Duration Limit{};                       // Time limit of the request.
  /// Number of the first arrival with the same key; empty: not a repeat.
  std::optional<std::size_t> RepeatOf;
};

struct PlanSettings {
  WorkloadKind Workload = WorkloadKind::Pamoja;
  double Rate = 10;                   // Mean arrivals per second.
  Duration Length = seconds(30);      // Time of arrivals.
  std::size_t Requests = MaxRequests; // Maximum number of arrivals.
  std::uint64_t Seed = 1;
  double Scale = 1; // Factor on prompt lengths, MinScale to 1.
  std::size_t Accounts = 1;
  std::size_t Hosts = 1;
  std::size_t Models = 1;
  bool PlainCalls = true; // False: completions only.
};

/// Generates Poisson arrivals, ordered by time and equal for equal settings. In
/// every 50 completions the number of each length class is exactly that of the
/// mix.
std::vector<Arrival> makePlan(const PlanSettings &S);

/// Returns the short completions of \p Plan with unchanged numbers and times.
std::vector<Arrival> shortOnly(const std::vector<Arrival> &Plan);

/// Returns a prompt of the arrival's length. It starts with a unique prefix, so
/// that a prefix cache has no hits; \p RunName must differ between phases.
std::string promptText(const std::string &RunName, const Arrival &A);

/// Returns the idempotency key of a non-repeatable call; a repeat has the same
/// key.
std::string keyText(const std::string &RunName, const Arrival &A);

} // namespace pimento::load
