//===- Exchange.h - Sends a command's request to the hosts ------*- C++ -*-===//
//
// Chooses the host for each attempt, retries on other hosts and determines the
// outcome of an edit whose reply was lost. Time and network are injected.
//
// If an attempt fails before its first byte is sent, the host has not run the
// request, and the next address is tried. A read whose reply is lost is retried
// on the next host. An edit whose reply is lost is resent under the same edit
// id until a host reports the outcome of that edit or the timeout expires.
// After a lost reply only such a report is final: if a second host replies "not
// run", the first host may still have accepted the edit.
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

/// Result of one attempt.
struct Attempt {
  bool Answered = false;   // A complete reply was received.
  HttpReply Reply;         // Valid if Answered.
  UpstreamFailure Failure; // Valid if not Answered.
};

/// Network and clock; replaced by a fake in tests.
struct Network {
  /// Sends one request and waits up to \p Limit for the reply.
  std::function<Attempt(const UpstreamRequest &, Duration Limit)> Send;
  std::function<TimePoint()> Now;
  std::function<void(Duration)> Sleep;
};

/// Result of all attempts of one command.
struct Exchange {
  bool Answered = false;
  HttpReply Reply;        // Last reply received; valid if Answered.
  std::string Address;    // Host that sent Reply.
  std::uint32_t Lost = 0; // Attempts that may have run, outcome unknown.
  bool Unsettled = false; // The edit may or may not have been accepted.
  std::string Failures;   // Failed attempts: "ip:port: cause; ip:port: cause".
};

/// Sends \p Request once to each of \p Addresses in order until a reply is
/// final or \p Timeout expires. PUT requests are treated as edits; while the
/// outcome of an edit is unknown, further rounds over all addresses follow.
Exchange exchange(const Network &N, const std::vector<std::string> &Addresses,
                  const UpstreamRequest &Request, Duration Timeout);

/// Returns whether \p Reply states the outcome of the edit, whichever of its
/// attempts was run.
bool settlesEdit(const HttpReply &Reply);

} // namespace pimento::ctl
