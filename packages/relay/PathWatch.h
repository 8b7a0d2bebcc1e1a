//===- PathWatch.h - This host's paths to backend servers -------*- C++ -*-===//
//
//   noteReached(W, Service, Server, Now);  // A new connection was made,
//   noteFailed(W, Service, Server, Now);   // or could not be made.
//   noteFinding(W, Server, Finding, Now);  // What another host found.
//   for (const BackendId &Server : takeProbes(W, Service, Ready, Now)) ...
//   if (pathState(W, Service) == PathState::Cut) ...
//
// Tells a host that has lost its paths from servers that are down. A server to
// which no connection could be made is in doubt until another host says whether
// it can connect, or a time has passed. A host is cut off from a service if
// other hosts reach servers of it that this host does not reach, and these are
// more than those that it reached since. Only new connections count: an open
// one may live on, or hang by itself.
//
// While a service is watched, a sample of its servers is probed, so that a lost
// path is found, and a path that is back is used, without callers' requests.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/RelayMessages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimento {

/// What this host knows of its path to one server.
struct ServerPath {
  ServiceId Service;
  TimePoint ReachedAt{};    // Latest new connection; the epoch: none.
  TimePoint FailedAt{};     // First failure since then; the epoch: none.
  TimePoint LastFailedAt{}; // Latest failure.
  PathFinding Finding = PathFinding::Unknown; // Of other hosts since FailedAt.
  TimePoint FoundAt{};                        // Time of Finding.
  TimePoint AskedAt{}; // Other hosts were last asked; the epoch: never.
};

enum class PathState : std::uint8_t {
  Direct,  // The host reaches the service's servers.
  Watched, // It failed to reach some; servers are probed.
  Cut,     // Other hosts reach servers that this host does not reach.
  NoneUp,  // No host that was asked reaches any server of the service.
};

const char *toString(PathState State);

/// What this host knows of its paths to the servers of one service.
struct ServicePath {
  PathState State = PathState::Direct;
  TimePoint StateSince{};
  std::vector<BackendId> Sample; // Servers that are probed in turn.
  std::size_t NextProbe = 0;     // Index in Sample.
  std::size_t Burst = 0;         // Probes that are sent without a pause.
  TimePoint ProbeAt{};           // Next probe.
  TimePoint ReachedSince{}; // Since then more of the sample are reached than
                            // not; the epoch: they are not.
  TimePoint CutEndedAt{};   // The latest cut ended; the epoch: there was none.
  std::size_t Flaps = 0;    // Cuts that followed each other closely.
};

struct PathWatch {
  std::map<BackendId, ServerPath> Servers;
  std::map<ServiceId, ServicePath> Services;
  TimePoint AnyReachedAt{};   // Latest new connection to any server.
  std::set<BackendId> Failed; // Servers that failed and were not reached since.
  TimePoint ForgetAt{};       // Next time at which forgetPaths() does anything.
};

/// What is known of a failure to connect.
enum class FailureVerdict : std::uint8_t {
  Open,          // Other hosts may still answer.
  PathAtFault,   // Another host reaches the server.
  ServerAtFault, // It is not reached by others, or is reached again.
  Undecided,     // Nobody could tell, and this host reached no server since.
};

/// A new connection to the server was made.
void noteReached(PathWatch &W, const ServiceId &Service,
                 const BackendId &Server, TimePoint Now);
/// No connection to the server could be made.
void noteFailed(PathWatch &W, const ServiceId &Service, const BackendId &Server,
                TimePoint Now);
/// Another host says whether it reaches a server that this host does not.
void noteFinding(PathWatch &W, const BackendId &Server, PathFinding Finding,
                 TimePoint Now);

/// What is known of a failure to connect to the server at \p FailedAt.
FailureVerdict verdictOf(const PathWatch &W, const BackendId &Server,
                         TimePoint FailedAt, TimePoint Now);
/// Whether requests should be sent to other servers: the path to this one is
/// lost, or in doubt.
bool isPathDoubted(const PathWatch &W, const BackendId &Server, TimePoint Now);

/// Servers that other hosts are to be asked about now, \p Max at most, those
/// that were asked about longest ago first. They count as asked.
std::vector<DoubtedServer> takeDoubts(PathWatch &W, std::size_t Max,
                                      TimePoint Now);
/// Servers that this host does not reach, \p Max at most, of each service from
/// which it is cut off as many.
std::vector<DoubtedServer> lostServers(const PathWatch &W, std::size_t Max,
                                       TimePoint Now);

PathState pathState(const PathWatch &W, const ServiceId &Service);
/// Updates the service's state from what is known of its servers, of which
/// \p Ready accept requests. Returns whether the state changed.
bool updateState(PathWatch &W, const ServiceId &Service,
                 const std::vector<BackendId> &Ready, TimePoint Now);
/// Begins to watch the service, if it is not watched yet: its servers are
/// silent, or could not be reached.
void watchService(PathWatch &W, const ServiceId &Service, TimePoint Now);
/// Servers of a watched service to be probed by a new connection now.
std::vector<BackendId> takeProbes(PathWatch &W, const ServiceId &Service,
                                  const std::vector<BackendId> &Ready,
                                  TimePoint Now);

/// Services whose servers are probed.
std::vector<ServiceId> watchedServices(const PathWatch &W);
/// Services from which this host is cut off.
std::vector<ServiceId> cutServices(const PathWatch &W);
/// Services of which this host reaches no server, or too few: those from which
/// it is cut off, and those that nobody reaches.
std::vector<ServiceId> unreachedServices(const PathWatch &W);
/// Time by which updateState() and takeProbes() are due again.
TimePoint nextProbe(const PathWatch &W);
/// Time by which takeDoubts() is due again.
TimePoint nextDoubt(const PathWatch &W, TimePoint Now);
/// Forgets servers and services of which nothing is to be remembered.
void forgetPaths(PathWatch &W, TimePoint Now);

} // namespace pimento
