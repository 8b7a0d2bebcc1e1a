//===- Plan.h - The arrivals of a load run ----------------------*- C++ -*-===//
//
//   std::vector<Arrival> Plan = makePlan(Settings); // The same for one seed.
//
// The plan is made before the run. Its arrival times do not depend on answers,
// so a slow site does not slow the load down.
//
// Index
//   MaxRate ...        hard bounds of a run
//   Mix, mixOf()       what each of the two users sends
//   Arrival            one request of the plan
//   makePlan()         all arrivals of a run
//   shortOnly()        the short completions of a plan
//   promptText() ...   what a request holds
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

constexpr double MaxRate = 2000;              // Requests a second.
constexpr Duration MaxLength = seconds(600);  // Of arrivals, all phases.
constexpr std::size_t MaxRequests = 100000;   // Of a run, all phases.
constexpr std::size_t MaxInFlight = 512;      // Requests at once.
constexpr double MinScale = 0.0001;           // Of prompt lengths.
constexpr std::uint64_t BytesPerToken = 4;    // Of the prompts sent.
constexpr std::uint64_t MinPromptTokens = 24; // Room for the unique start.
constexpr std::uint64_t LongTokens = 100000;  // Longer prompts are Long.
constexpr std::uint64_t LongestTokens = 1000000;

enum class Users : std::uint8_t { Pamoja, Taller };

/// Classes of prompt length, by the mix's tokens before scaling.
enum class LengthClass : std::uint8_t { Short, Medium, Large, Long };
constexpr std::size_t LengthClasses = 4;

/// "short", "medium", "large" or "long".
const char *toString(LengthClass C);
/// "pamoja" or "taller".
const char *toString(Users U);

/// Completions of one length class.
struct LengthBand {
  LengthClass Class = LengthClass::Short;
  std::uint64_t Least = 0;        // Tokens of prompt, before scaling.
  std::uint64_t Most = 0;         // Tokens of prompt, before scaling.
  unsigned InFifty = 0;           // Of every fifty completions.
  std::uint64_t AnswerTokens = 0; // max_tokens.
  Duration Limit{};               // Time limit that the request states.
};

/// What the callers of one user send.
struct Mix {
  std::vector<LengthBand> Bands;
  double LookupShare = 0;        // Of all arrivals.
  double NonRepeatableShare = 0; // Of all arrivals.
  double SentTwiceShare = 0;     // Of the non-repeatable calls.
};

Mix mixOf(Users U);

enum class RequestKind : std::uint8_t { Completion, Lookup, NonRepeatable };

/// One request of the plan.
struct Arrival {
  std::size_t Number = 0; // Position in the whole plan.
  Duration At{};          // Since the start of the phase.
  RequestKind Kind = RequestKind::Completion;
  LengthClass Class = LengthClass::Short; // Of completions.
  std::uint64_t PromptTokens = 0;         // As sent; zero for plain calls.
  std::uint64_t AnswerTokens = 0;         // max_tokens.
  std::size_t Account = 0;                // Index among the accounts.
  std::size_t Host = 0;                   // Index among the hosts.
  std::size_t Model = 0;                  // Index among the models.
  Duration Limit{};
  std::optional<std::size_t> Repeats; // Number of the first with this key.
};

struct PlanSettings {
  Users Who = Users::Pamoja;
  double Rate = 10;                   // Arrivals a second, on average.
  Duration Length = seconds(30);      // Of arrivals.
  std::size_t Requests = MaxRequests; // At most so many arrivals.
  std::uint64_t Seed = 1;
  double Scale = 1; // Factor on prompt lengths, MinScale to 1.
  std::size_t Accounts = 1;
  std::size_t Hosts = 1;
  std::size_t Models = 1;
  bool PlainCalls = true; // False: completions only.
};

/// Poisson arrivals in order of time. Of every fifty completions exactly so
/// many have each length class as the mix says.
std::vector<Arrival> makePlan(const PlanSettings &S);

/// The short completions of \p Plan at their own times.
std::vector<Arrival> shortOnly(const std::vector<Arrival> &Plan);

/// A prompt of the arrival's length. It is unique from its first bytes on, so
/// that no prefix cache shortens it; \p RunName differs between phases.
std::string promptText(const std::string &RunName, const Arrival &A);

/// The idempotency key of a non-repeatable call; equal for a repeat.
std::string keyText(const std::string &RunName, const Arrival &A);

} // namespace pimento::load
