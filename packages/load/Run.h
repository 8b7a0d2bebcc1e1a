//===- Run.h - Event loop that sends a plan ---------------------*- C++ -*-===//
//
//   Report R = runPhase(Phase, Progress);
//
// One libevent loop on one thread. Requests are sent at their planned times
// whether or not earlier ones were answered, unless the limit of requests in
// flight is reached.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "load/Options.h"
#include "load/Report.h"

#include <ostream>
#include <string>
#include <vector>

namespace pimento::load {

/// Time after a request's time limit for its refusal to arrive.
constexpr Duration AnswerGrace = seconds(5);

/// One phase of a run.
struct Phase {
  std::string Name; // Prefix of progress lines.
  /// Unique per run and phase; part of idempotency keys and prompts.
  std::string RunName;
  const Target *Site = nullptr;
  std::vector<Arrival> Plan;
  bool ExactCounts = false;
  std::size_t InFlight = MaxInFlight; // Limit of requests in flight.
  Duration Grace = AnswerGrace; // Added to the time limit of each request.
};

/// Sends the plan and returns when every request has ended or has exceeded its
/// time limit plus Grace. Writes one line per second to \p Progress. Sets
/// SIGPIPE to be ignored.
Report runPhase(Phase P, std::ostream &Progress);

/// Returns the HTTP request of an arrival.
UpstreamRequest requestFor(const Phase &P, const Arrival &A);

} // namespace pimento::load
