//===- Report.h - Event reducer of one load phase ---------------*- C++ -*-===//
//
//   Report R = makeReport(Plan);
//   reduce(R, Sent{Number, At});   // And so on, in order of time.
//
// All times are since the start of the phase. Time to first token is measured
// from the planned arrival, not from sending, so that it includes delays caused
// by the load generator or by a full host.
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

/// The request was sent.
struct Sent {
  std::size_t Number = 0;
  Duration At{};
};
/// An event with generated text was received.
struct Token {
  std::size_t Number = 0;
  Duration At{};
};
/// The reply ended, or the request was aborted at its time limit.
struct Ended {
  std::size_t Number = 0;
  Duration At{};
  Verdict Result;
};
using Event = std::variant<Sent, Token, Ended>;

/// Measurements of one arrival.
struct Record {
  std::optional<Duration> SentAt;
  std::optional<Duration> FirstToken; // Since the planned arrival.
  Duration LastToken{};
  std::optional<Duration> EndedAt;
  Verdict Result;
};

/// A detected violation.
struct ViolationRecord {
  Violation Kind = Violation::IncompleteAnswer;
  std::size_t Number = 0; // Number of the arrival.
  std::string Detail;
};

/// Comparison of calls that were sent twice with the same key.
struct RepeatCounts {
  std::size_t Equal = 0;
  std::size_t Different = 0;
  std::size_t Undecided = 0; // At least one was not answered.
};

/// State of one phase.
struct Report {
  std::vector<Arrival> Plan;
  std::map<std::size_t, Record> Records; // Key: number of the arrival.
  /// Time between two events of one answer, by LengthClass. The size is bounded
  /// by MaxRequests and the answer lengths of the mixes.
  std::array<std::vector<microseconds>, LengthClasses> Gaps;
  std::set<std::string> AnswerIds;
  std::vector<ViolationRecord> Violations;
  std::size_t InFlight = 0;
  std::size_t PeakInFlight = 0;
  std::array<std::size_t, ResultKinds> Ended{}; // Requests by ResultKind.
};

/// Returns the initial state. \p Plan must be ordered by number.
Report makeReport(std::vector<Arrival> Plan);
/// Applies \p E to \p R.
void reduce(Report &R, const Event &E);

/// Compares the answers of calls with the same key and records violations. Call
/// it once, after the last event.
RepeatCounts compareRepeats(Report &R);

} // namespace pimento::load
