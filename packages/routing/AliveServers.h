//===- AliveServers.h - Servers that report no change -----------*- C++ -*-===//
//
//   addAlive(Packed, Report);                       // At the sender.
//   for (const AliveServer &A : aliveServers(Packed))
//     if (applyAlive(Registry, A, SeenAt) == AliveResult::Unknown) ...
//
// Pattern of load: thousands of servers report to some control host every
// second that they are as before, and each control host tells all others. Such
// a report travels as a key and a sequence number of 16 bytes in all, which are
// read without parsing. Whole reports still follow now and then, so that a
// control host that missed one catches up.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "routing/Servers.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// A server's report that changes nothing.
struct AliveServer {
  ServerKey Key = 0;
  std::uint64_t Sequence = 0; // Number of the report in the incarnation.
};

enum class AliveResult : std::uint8_t {
  Applied,
  Changed, // The server was silent.
  Unknown, // The registry does not know this incarnation.
};

/// Whether the report may travel as an AliveServer, if it changed nothing at
/// the sender.
bool isAliveOnly(const ServerReport &Report);

/// Appends the report to a packed list.
void addAlive(std::string &Packed, const ServerReport &Report);

/// Reads a packed list; bytes after the last whole entry are ignored.
std::vector<AliveServer> aliveServers(std::string_view Packed);

/// Merges a report that was received at \p SeenAt. An outdated one is applied
/// without effect.
AliveResult applyAlive(ServerRegistry &Registry, const AliveServer &Alive,
                       TimePoint SeenAt);

} // namespace pimento
