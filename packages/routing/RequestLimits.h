//===- RequestLimits.h - Limits that backend servers name -------*- C++ -*-===//
//
//   RequestLimits Limits;
//   observeLimit(Limits, Server, Incarnation, AnswerInfo.RequestLimit, Now);
//   if (std::optional<double> Rate = limitOf(Limits, Server, Incarnation)) ...
//
// A backend server in need names, in each of its answers, the requests a second
// that it takes from all hosts together. The limit holds for as long as it says
// so: the latest answer of an incarnation counts, whichever host received it.
// Hosts exchange what they know as records; the observation that is younger
// wins. Pattern: limits learned from servers, merged by last writer.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "routing/Servers.h"
#include "wire/SiteMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pimento {

/// What a backend server said of its limit last.
struct KnownLimit {
  IncarnationNumber Incarnation = 0; // Of the server.
  std::optional<double> PerSecond;   // Requests a second; empty: no limit any
                                     // more.
  TimePoint Since{};                 // First answer with this limit.
  TimePoint ObservedAt{};            // Latest answer.
  std::uint64_t Revision = 0; // Revision of the table at the last change.
};

struct RequestLimits {
  std::map<BackendId, KnownLimit> Servers;
  std::uint64_t Revision = 0; // Incremented by each change of a limit.
};

/// Records what an answer said. Returns true if the limit changed.
bool observeLimit(RequestLimits &Limits, const BackendId &Server,
                  IncarnationNumber Incarnation,
                  std::optional<double> PerSecond, TimePoint Now);

/// Merges another host's record. Returns true if the limit changed.
bool applyLimit(RequestLimits &Limits, const ServerLimit &Record,
                TimePoint Now);

/// Removes records of servers that are gone, and of ended limits, after a
/// while.
void expireLimits(RequestLimits &Limits, const ServerRegistry &Servers,
                  TimePoint Now);

/// The limit of the incarnation, in requests a second; empty: none.
std::optional<double> limitOf(const RequestLimits &Limits,
                              const BackendId &Server,
                              IncarnationNumber Incarnation);

/// The records that changed after revision \p Since, to be sent to another
/// host.
std::vector<ServerLimit> limitRecords(const RequestLimits &Limits,
                                      std::uint64_t Since, TimePoint Now);

/// Equal for hosts that know the same limits; zero: none.
std::uint64_t limitDigest(const RequestLimits &Limits);

/// Number of servers that are limited now.
std::size_t limitedServers(const RequestLimits &Limits);

} // namespace pimento
