//===- Fakes.h - Fake network with scripted replies -------------*- C++ -*-===//
#pragma once

#include "base/Problem.h"
#include "ctl/Exchange.h"

#include <deque>
#include <string>
#include <vector>

namespace pimento::ctl::test {

inline Attempt answered(HttpReply Reply) {
  Attempt A;
  A.Answered = true;
  A.Reply = std::move(Reply);
  return A;
}

inline Attempt answered(Code Number) {
  Problem P;
  P.Number = Number;
  return answered(problemReply(P));
}

inline Attempt failedAttempt(bool BytesSent) {
  Attempt A;
  A.Failure.BytesSent = BytesSent;
  A.Failure.Detail = BytesSent ? "connection closed" : "no connection";
  return A;
}

/// Returns the scripted attempts in order and repeats the last one. Each
/// attempt advances the clock by Cost. Records the requests and their timeouts.
struct FakeNetwork {
  std::deque<Attempt> Attempts;
  Duration Cost = milliseconds(10);
  std::vector<UpstreamRequest> Sent;
  std::vector<Duration> Limits;
  TimePoint Clock{};

  Network network() {
    Network N;
    N.Send = [this](const UpstreamRequest &R, Duration Limit) {
      Sent.push_back(R);
      Limits.push_back(Limit);
      Clock += Cost;
      Attempt A = Attempts.front();
      if (Attempts.size() > 1)
        Attempts.pop_front();
      return A;
    };
    N.Now = [this] { return Clock; };
    N.Sleep = [this](Duration D) { Clock += D; };
    return N;
  }
};

} // namespace pimento::ctl::test
