//===- Report.h - What a load run saw, as a reducer -------------*- C++ -*-===//
//
//   Report R = makeReport(Plan);
//   reduce(R, Sent{Number, At});   // And so on, in order of time.
//
// All times are since the start of the phase. Times to the first token count
// from the arrival's planned time, not from its sending: what the tool or a
// full host delays is seen as delay.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "load/Answer.h"
#include "load/Plan.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pimento::load {

/// The request went out.
struct Sent {
  std::size_t Number = 0;
  Duration At{};
};
/// A piece of generated text came.
struct Token {
  std::size_t Number = 0;
  Duration At{};
};
/// The reply ended, or was given up.
struct Ended {
  std::size_t Number = 0;
  Duration At{};
  Verdict Result;
};
using Event = std::variant<Sent, Token, Ended>;

/// What happened to one arrival.
struct Record {
  std::optional<Duration> SentAt;
  std::optional<Duration> FirstToken; // Since the planned arrival.
  Duration LastToken{};
  std::optional<Duration> EndedAt;
  Verdict Result;
};

/// One promise seen broken.
struct BreachNote {
  Breach Kind = Breach::LooksWhole;
  std::size_t Number = 0; // Of the arrival.
  std::string Detail;
};

/// Calls that were sent twice with one key.
struct RepeatCounts {
  std::size_t Equal = 0;
  std::size_t Different = 0;
  std::size_t Undecided = 0; // At least one was not answered.
};

/// The state of one phase.
struct Report {
  std::vector<Arrival> Plan;
  std::map<std::size_t, Record> Records; // By number of the arrival.
  /// Between two pieces of one answer, by LengthClass; bounded by MaxRequests
  /// and the mixes' answer lengths.
  std::array<std::vector<microseconds>, LengthClasses> Gaps;
  std::set<std::string> AnswerIds;
  std::vector<BreachNote> Breaches;
  std::size_t InFlight = 0;
  std::size_t MostInFlight = 0;
  std::array<std::size_t, Endings> Ended{}; // By Ending.
};

Report makeReport(std::vector<Arrival> Plan);
void reduce(Report &R, const Event &E);

/// Compares the answers of calls with one key. Call it once, at the end.
RepeatCounts compareRepeats(Report &R);

} // namespace pimento::load
