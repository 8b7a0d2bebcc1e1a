//===- Servers.h - Backend servers by their own reports ---------*- C++ -*-===//
//
//   ServerRegistry Book;
//   if (takeReport(Book, Report, Heard)) ...   // Something changed.
//   tickServers(Book, Limits, Now);            // Silence.
//
// Reports arrive late, twice, out of order and from servers that are dead by
// then. A server's start orders its lives, a count orders the reports of one
// life, and what a life said last of leaving stays said. An address belongs to
// the server that was born last among those that name it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/SiteMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimento {

struct KnownServer {
  ServerReport Report;        // Age is unused.
  TimePoint LastSeen;         // When it was last heard by any control host.
  std::uint64_t Revision = 0; // Of its last change.
};

struct ServerLimits {
  Duration SilentAfter = seconds(5);  // Then it takes nothing new.
  Duration ForgetAfter = seconds(60); // Silent or gone for so long.
};

struct ServerRegistry {
  std::map<BackendId, KnownServer> Servers;
  std::uint64_t Revision = 0; // Counts changes.
};

/// Takes one report that was heard at \p Heard. True where what may be sent to
/// the server changed; a report that only shows that it lives is no change.
bool takeReport(ServerRegistry &Registry, const ServerReport &Report,
                TimePoint SeenAt);

/// The server says that it leaves; zero \p Incarnation means whichever life is
/// known. True where that was news.
bool takeLeave(ServerRegistry &Registry, const BackendId &Id,
               std::uint64_t Incarnation, TimePoint Now);

/// Marks servers silent and forgets old ones. True where something changed.
bool tickServers(ServerRegistry &Registry, const ServerLimits &Limits,
                 TimePoint Now);

/// When tickServers() is needed next at the latest.
TimePoint nextServerTick(const ServerRegistry &Registry,
                         const ServerLimits &Limits, TimePoint Now);

/// Reports of the servers that changed after \p Revision, with their ages.
std::vector<ServerReport> changedServers(const ServerRegistry &Registry,
                                         std::uint64_t Revision, TimePoint Now);

const char *toString(ServerPhase P);

} // namespace pimento
