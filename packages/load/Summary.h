//===- Summary.h - The figures of a load run --------------------*- C++ -*-===//
//
// What the writers print: makeSummary() works it out of the reports.
//
// Index
//   Quantiles                          exact, by the nearest rank
//   ClassRow, AccountRow, RefusalRow   the tables
//   Slowdown                           short requests shared against alone
//   Summary                            all of it
//   writeText(), writeJson(), writeHtml()
//   exitStatus()                       of the command
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

constexpr int StatusGood = 0;        // All answered or honestly refused.
constexpr int StatusBroken = 1;      // A promise was seen broken.
constexpr int StatusUsage = 2;       // Wrong arguments or files.
constexpr int StatusUnreachable = 3; // A host could not be reached.

struct Quantiles {
  std::size_t Count = 0;
  Duration P50{};
  Duration P95{};
  Duration P99{};
};

/// Exact quantiles by the nearest rank; zero without samples.
Quantiles quantilesOf(std::vector<Duration> Samples);

/// Completions of one length class.
struct ClassRow {
  LengthClass Class = LengthClass::Short;
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  std::uint64_t PromptTokens = 0; // Sent, all together.
  Quantiles FirstToken;           // Of all that heard a token.
  Duration GapP95{};
};

/// Plain calls of one kind.
struct PlainRow {
  RequestKind Kind = RequestKind::Lookup;
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  Quantiles Time; // Planned arrival to whole answer.
};

struct AccountRow {
  std::string Name;
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  std::uint64_t Tokens = 0; // Prompts and answers of what was answered.
  Duration FirstTokenP95{};
  double Share = 0;                  // Of all accounts' tokens.
  std::optional<double> WeightShare; // Of all weights, where they are known.
};

struct RefusalRow {
  Code Number = Code::Ok;
  std::size_t Count = 0;
};

struct BreachRow {
  Breach Kind = Breach::LooksWhole;
  std::size_t Count = 0;
  std::vector<std::string> Examples; // The first few.
};

/// Time to first token of each short request over that of its twin that ran
/// alone.
struct Slowdown {
  std::size_t Pairs = 0; // Zero: not measured.
  double P50 = 0;
  double P95 = 0;
  double OfP95s = 0; // P95 shared over P95 alone.
  Quantiles Alone;   // Time to first token.
};

/// One client account as the summary needs it.
struct AccountName {
  std::string Name;
  std::optional<double> Weight;
};

/// What was run.
struct RunFacts {
  PlanSettings Plan;
  std::vector<AccountName> Accounts;
  bool Alone = false;
  bool ExactCounts = false; // Token counts were checked exactly.
};

struct Summary {
  RunFacts Facts;
  std::array<std::size_t, Endings> Ended{}; // By Ending, of the shared phase.
  std::size_t Sent = 0;
  std::size_t MostInFlight = 0;
  Duration LargestLag{}; // Of a sending behind its planned time.
  std::vector<ClassRow> Classes;
  std::vector<PlainRow> Plain;
  std::vector<AccountRow> Accounts;
  std::vector<RefusalRow> Refusals; // Of both phases.
  std::vector<BreachRow> Broken;    // Of both phases.
  std::size_t SaidCut = 0;          // Streams that ended with a problem.
  std::size_t Unreachable = 0;      // Of both phases.
  RepeatCounts Repeats;
  Slowdown Slow;
};

/// \p Alone is the phase with the short completions only, where there was one.
Summary makeSummary(const RunFacts &Facts, Report &Shared, Report *Alone);

int exitStatus(const Summary &S);

void writeText(std::ostream &OS, const Summary &S);
void writeJson(std::ostream &OS, const Summary &S);
/// One self-contained page, well-formed as XML.
void writeHtml(std::ostream &OS, const Summary &S);

/// "look-ups" or "non-repeatable calls".
const char *toString(RequestKind K);

} // namespace pimento::load
