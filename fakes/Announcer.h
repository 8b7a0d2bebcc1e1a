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

/// Announces to one host, and to the next one where that fails.
struct Announcer {
  /// \p Body gives one announcement without its sequence; a null value skips
  /// this turn. It must outlive the announcer, as \p Base must.
  Announcer(event_base *Base, AnnounceOptions Options,
            std::function<Json()> Body);

  /// Announces now and then every AnnounceInterval.
  void announce();

private:
  void send(std::size_t TriesLeft, const std::string &Body);

  AnnounceOptions Options;
  std::function<Json()> Body;
  std::size_t Host = 0;       // Index of the host that took the last one.
  std::uint64_t Sequence = 0; // Of the last announcement.
  HttpCaller Caller;
  Timer Next;
};

/// An incarnation that is above those of all earlier processes.
std::uint64_t newIncarnation();

} // namespace pimento::fakes
