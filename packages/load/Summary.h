//===- Summary.h - Statistics of a load run ---------------------*- C++ -*-===//
//
// makeSummary() computes the statistics from the reports of the phases; the
// writers print them.
//
// Index
//   Quantiles                          exact quantiles, nearest rank
//   ClassRow, AccountRow, RefusalRow   rows of the tables
//   Slowdown                           short requests, shared against alone
//   Summary                            all statistics of a run
//   writeText(), writeJson(), writeHtml()
//   exitStatus()                       exit status of the command
//
//===----------------------------------------------------------------------===//
#pragma once

#include "load/Report.h"

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace pimento::load {

constexpr int StatusOk = 0;        // All answered or refused with a valid code.
constexpr int StatusViolation = 1; // A guarantee was violated.
constexpr int StatusUsage = 2;     // Invalid arguments or files.
constexpr int StatusUnreachable = 3; // A host was unreachable.

struct Quantiles {
  std::size_t Count = 0;
  Duration P50{};
  Duration P95{};
  Duration P99{};
};

/// Returns exact quantiles by nearest rank; all zero if there are no samples.
Quantiles quantilesOf(std::vector<Duration> Samples);

/// Statistics of the completions of one length class.
struct ClassRow {
  LengthClass Class = LengthClass::Short;
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  std::uint64_t PromptTokens = 0; // Total of the prompts sent.
  /// Time to first token of all requests that received a token.
  Quantiles FirstToken;
  Duration GapP95{}; // 95th percentile of the time between two events.
};

/// Statistics of the plain calls of one kind.
struct PlainRow {
  RequestKind Kind = RequestKind::Lookup;
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  Quantiles Time; // From planned arrival to complete answer.
};

struct AccountRow {
  std::string Name;
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  std::uint64_t Tokens = 0; // Prompt and output tokens of answered requests.
  Duration FirstTokenP95{};
  double Share = 0;                  // Fraction of all accounts' tokens.
  std::optional<double> WeightShare; // Fraction of all weights, if known.
};

struct RefusalRow {
  Code Number = Code::Ok;
  std::size_t Count = 0;
};

struct ViolationRow {
  Violation Kind = Violation::IncompleteAnswer;
  std::size_t Count = 0;
  std::vector<std::string> Examples; // First violations, at most five.
};

/// Time to first token of each short request in the shared phase, divided by
/// that of the same request in the phase that runs short requests alone.
struct Slowdown {
  std::size_t Pairs = 0; // 0: not measured.
  double P50 = 0;
  double P95 = 0;
  double P95Ratio = 0; // P95 of the shared phase over P95 alone.
  Quantiles Alone;     // Time to first token in the alone phase.
};

/// Name and weight of a client account.
struct AccountName {
  std::string Name;
  std::optional<double> Weight;
};

/// Parameters of the run.
struct RunInfo {
  PlanSettings Plan;
  std::vector<AccountName> Accounts;
  bool Alone = false;
  bool ExactCounts = false; // Token counts were checked exactly.
};

/// All statistics of a run. Unless a member says otherwise, they cover only the
/// shared phase.
struct Summary {
  RunInfo Info;
  /// Requests by ResultKind.
  std::array<std::size_t, ResultKinds> Ended{};
  std::size_t Sent = 0;
  std::size_t PeakInFlight = 0;
  Duration MaxSendDelay{}; // Largest delay of a request after its planned time.
  std::vector<ClassRow> Classes;
  std::vector<PlainRow> Plain;
  std::vector<AccountRow> Accounts;
  std::vector<RefusalRow> Refusals; // Refusals of both phases, by code.
  std::vector<ViolationRow> Broken; // Violations of both phases, by kind.
  /// Streams that ended with an error after the first token; both phases.
  std::size_t FailedStreams = 0;
  std::size_t Unreachable = 0; // Unreachable requests of both phases.
  RepeatCounts Repeats;
  Slowdown Slow;
};

/// Computes the statistics. \p Alone is the report of the phase with short
/// completions only, or null. Records violations by differing answers in
/// \p Shared, so call it once for each report.
Summary makeSummary(const RunInfo &Info, Report &Shared, Report *Alone);

/// Returns the exit status of the command.
int exitStatus(const Summary &S);

void writeText(std::ostream &OS, const Summary &S);
void writeJson(std::ostream &OS, const Summary &S);
/// Writes one self-contained page that is also well-formed XML.
void writeHtml(std::ostream &OS, const Summary &S);

/// "look-ups" or "non-repeatable calls".
const char *toString(RequestKind K);

} // namespace pimento::load
