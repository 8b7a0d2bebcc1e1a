//===- Announcer.h - A backend server's announcements -----------*- C++ -*-===//
#pragma once

#include "fakes/Http.h"

#include <functional>
#include <string>
#include <vector>

namespace pimento::fakes {

/// Time between two announcements.
constexpr Duration AnnounceInterval = milliseconds(500);

struct AnnounceOptions {
  std::vector<std::string> Hosts; // ip:port each; none: announces nothing.
  std::string Token;              // Bearer token.
};

/// Announces to one host and switches to the next one on a failure.
struct Announcer {
  /// \p Body returns one announcement without its sequence; a null value skips
  /// this interval. \p Body and \p Base must outlive the announcer.
  Announcer(event_base *Base, AnnounceOptions Options,
            std::function<Json()> Body);

  /// Announces at once and then every AnnounceInterval.
  void announce();

private:
  void send(std::size_t TriesLeft, const std::string &Body);

  AnnounceOptions Options;
  std::function<Json()> Body;
  /// Index of the host that is tried first; moves on when a host fails.
  std::size_t Host = 0;
  std::uint64_t Sequence = 0; // Number of the last announcement.
  HttpCaller Caller;
  Timer Next;
};

/// Returns an incarnation (number of one run of a process) that is higher than
/// those of all earlier processes.
std::uint64_t newIncarnation();

} // namespace pimento::fakes
