//===- HostPaths.h - Connections of hosts to backend servers ----*- C++ -*-===//
//
//   HostPaths Paths;
//   Paths.Cuts[Host] = {CutKind::Hang, {}};       // From all servers.
//   switch (openPath(Paths, Host, Address, MayReuse)) ...
//
// Which connections of entry hosts to backend servers work, in virtual time. A
// cut leaves callers, control hosts and other entry hosts in reach of a host.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pimento::testing {

enum class CutKind : std::uint8_t {
  Hang,       // Bytes are lost both ways, without a sign.
  Reset,      // Connections are reset, idle ones when they are used; new ones
              // are refused.
  NewRefused, // Open connections live on, new ones are refused.
};

struct HostCut {
  CutKind Kind = CutKind::Hang;
  std::set<std::string> Addresses; // Servers behind the cut; empty: all.
};

/// What a host finds that opens a call to a server.
enum class PathResult : std::uint8_t {
  New,        // A new connection is made.
  Kept,       // A kept connection is used and works.
  Refused,    // A new connection is refused.
  Hangs,      // A new connection is not made in time.
  KeptHangs,  // The request is lost on a kept connection.
  KeptBreaks, // The kept connection is reset by the request.
};

struct HostPaths {
  std::map<HostId, HostCut> Cuts;
  std::set<std::string> Silent; // Servers that neither answer nor accept.
  std::map<std::pair<HostId, std::string>, std::size_t>
      Idle; // Kept connections that are idle, by host and address.
};

/// Whether the host's connections to the address are cut.
bool isCut(const HostPaths &Paths, const HostId &Host,
           const std::string &Address);
/// Whether bytes on open connections are lost without a sign.
bool losesBytes(const HostPaths &Paths, const HostId &Host,
                const std::string &Address);
/// Takes a kept connection if there is one and \p MayReuse is set.
PathResult openPath(HostPaths &Paths, const HostId &Host,
                    const std::string &Address, bool MayReuse);
/// A call has ended and its connection is kept.
void keepPath(HostPaths &Paths, const HostId &Host, const std::string &Address);
/// Forgets the kept connections to a server that ended.
void dropAddress(HostPaths &Paths, const std::string &Address);

} // namespace pimento::testing
