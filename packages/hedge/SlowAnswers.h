//===- SlowAnswers.h - Extra attempts beside slow ones ----------*- C++ -*-===//
//
//   SlowAnswers S;
//   applySettings(S, Settings.Hedge);         // Also when they change.
//   onRequest(S, Route);                      // Each request earns a share.
//   onAnswer(S, {Route, Service, Objective}, Took, Now);
//   if (Now >= slowAt(S, {Route, Service, Objective}, Began)) {
//     if (judge(S, A) == HoldBack::None) ... // Ask another server as well.
//
// Answers a load in which a few answers are slow while most are fast: a server
// that pauses, loses a packet or works on something else. A second server is
// then asked as well, for requests that may be repeated, and the first answer
// counts. An operator says how much extra work that may be; by default there is
// none. Where many answers are slow, extra requests would make it worse, and
// none are sent. Nothing here needs a network, a clock or a random number.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Settings.h"
#include "hedge/AnswerTimes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pimento::hedge {

/// What extra attempts may still be sent. It starts empty and each request
/// earns a share of one, so that they never exceed the share of all requests.
struct TokenBucket {
  double Tokens = 0;
};

/// A route, by its name, and the service that a request of it goes to.
struct RouteAtService {
  std::string Route;
  ServiceId Service;
  Duration Objective =
      Duration::zero(); // Target time to the answer; zero: none.
};

bool operator<(const RouteAtService &A, const RouteAtService &B);

struct SlowAnswers {
  double Share = 0; // Extra attempts per request; zero: none.
  std::map<std::string, double> RouteShares; // The same for single routes.
  SlowRule Rule;
  TokenBucket All;
  std::map<std::string, TokenBucket>
      ByRoute; // Those with a share of their own.
  std::map<RouteAtService, AnswerTimes> Times;
};

/// Why no other server is asked beside a slow attempt.
enum class HoldBack : std::uint8_t {
  None,
  NotRepeatable, // The request may run once only, or has no attempts left.
  Stopping,      // The host is about to end.
  Suspect,       // The request may crash servers.
  Loaded,        // Servers of the service want fewer requests, or most answers
                 // are slow.
  NoServer,      // No other server is free of this host's requests.
  RetryBudget,   // What is left of it is for attempts that fail.
  Budget,        // The operator's share is used up.
};

/// Returns the reason as a label of metrics and log lines.
const char *toString(HoldBack H);

/// What is known of a slow attempt and of the servers that could help.
struct SlowAttempt {
  RouteAtService At;
  bool MayRepeat = false; // May run again, with attempts and time left.
  bool IsStopping = false;
  bool IsSuspect = false;
  bool WantsLess = false; // A server wants no requests now, or named a limit.
  std::size_t QuietServers = 0; // Others that would answer at once.
  double RetriesLeft = 0;       // Of the site's retry budget.
};

/// Follows the operator's settings; keeps what is known, where it still
/// applies.
void applySettings(SlowAnswers &S, const HedgeSettings &Settings);

/// Whether the operator allows extra attempts on the route.
bool isOn(const SlowAnswers &S, const std::string &Route);

/// Counts a caller's request, which earns its share of an extra attempt.
void onRequest(SlowAnswers &S, const std::string &Route);

/// Records the time to the first byte of an answer, or the age of an attempt
/// that was given up for a faster one. On an engine times count from the
/// forecast time of the answer.
void onAnswer(SlowAnswers &S, const RouteAtService &At, Duration Took,
              TimePoint Now);

/// Time from which an attempt without an answer is slow; the maximum: never.
/// Half of the objective stands for the quantile until that is known; the other
/// half is left to the extra attempt.
TimePoint slowAt(const SlowAnswers &S, const RouteAtService &At,
                 TimePoint Began);

/// Decides about an attempt that has just become slow, and records that it has.
/// Uses up a token if the result is None.
HoldBack judge(SlowAnswers &S, const SlowAttempt &A);

/// Whether an engine that the placer chose at once may take an extra attempt.
/// \p PenaltyShare: what other requests lose by it, relative to what the
/// request gains. \p Helpers: further engines that would prefill parts of the
/// prompt.
bool hasRoom(double PenaltyShare, std::size_t Helpers);

/// Returns the token of an extra attempt that reached no server.
void giveBack(SlowAnswers &S, const std::string &Route);

} // namespace pimento::hedge
