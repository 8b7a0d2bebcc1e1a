//===- Exchange.h - One command's talk with the hosts -----------*- C++ -*-===//
//
// Decides which host is asked, when the next one is, and what may be said of
// an edit whose answer was lost. Time and network come in as functions.
//
// An attempt that failed before its first byte left proves nothing was done
// there: the next address is tried. A question whose answer is lost is asked
// again elsewhere. An edit whose answer is lost is sent again under the same
// edit id until a host that knows the edit answers or time is over. From then
// on only an answer that settles the edit counts: "not run" of a second host
// says nothing about the first.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"
#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pimento::ctl {

/// How one attempt ended.
struct Attempt {
  bool Answered = false;   // A whole reply came.
  HttpReply Reply;         // Only where Answered.
  UpstreamFailure Failure; // Only where not.
};

/// The world outside; tests put a fake here.
struct Network {
  /// Sends one request and waits \p Limit at most.
  std::function<Attempt(const UpstreamRequest &, Duration Limit)> Send;
  std::function<TimePoint()> Now;
  std::function<void(Duration)> Sleep;
};

struct Exchange {
  bool Answered = false;
  HttpReply Reply;        // Only where Answered; the last one.
  std::string Address;    // Of the host that answered.
  std::uint32_t Lost = 0; // Attempts that may have run without an answer.
  bool Unsettled = false; // An edit that may or may not have been accepted.
  std::string Failures;   // For people: "ip:port: why; ip:port: why".
};

/// Sends \p Request to one of \p Addresses after the other.
Exchange exchange(const Network &N, const std::vector<std::string> &Addresses,
                  const UpstreamRequest &Request, Duration Timeout);

/// Whether \p Reply tells what became of the edit, whichever send of it ran.
bool settlesEdit(const HttpReply &Reply);

} // namespace pimento::ctl
