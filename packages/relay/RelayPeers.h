//===- RelayPeers.h - Other hosts that may send requests on -----*- C++ -*-===//
//
//   setCandidates(P, List, Now);             // Named by a control host.
//   for (auto &[Host, Sequence] : takeHostsToAsk(P, Rng, 2, Now)) ...
//   noteReply(P, From, Reply, Services, Now);
//   HostId Host = chooseRelay(P, Service, Here, Rng, Now);
//
// Which entry hosts reach the servers of a service that this host does not
// reach, and how many relayed requests they have. Requests are spread over
// them: of two drawn at random, the one with fewer gets the request. Pattern:
// two random choices on reported load, corrected by own requests under way.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Time.h"
#include "wire/RelayMessages.h"
#include "wire/SiteMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace pimento {

/// What this host knows of another entry host as a relay.
struct RelayPeer {
  DataCentreId DataCentre;
  std::map<ServiceId, TimePoint> ReachesAt; // Latest reply that it reaches
                                            // servers of the service.
  std::uint64_t Load = 0;   // Relayed requests there, by its latest reply.
  std::size_t InFlight = 0; // Requests of this host under way there.
  std::uint64_t PendingQuery = 0; // Sequence of the query without a reply;
                                  // zero: none.
  TimePoint AskedAt{};            // Latest query; the epoch: none.
  TimePoint AvoidUntil{};         // It did not reply, or refused requests.
};

struct RelayPeers {
  std::map<HostId, RelayPeer> Hosts;
  std::uint64_t LastSequence = 0;
  TimePoint ListedAt{}; // Latest list of candidates; the epoch: none.
};

/// Replaces the candidates. Hosts with requests under way are kept.
void setCandidates(RelayPeers &P, const std::vector<RelayCandidate> &List,
                   TimePoint Now);

/// Chooses up to \p Count hosts to be asked now, at random, with the sequences
/// of the queries. At least one is in another data centre than \p Here if there
/// is one.
std::vector<std::pair<HostId, std::uint64_t>>
takeHostsToAsk(RelayPeers &P, const DataCentreId &Here, Random &Rng,
               std::size_t Count, TimePoint Now);
/// Hosts in use as relays, or known to reach a service, that are due to be
/// asked again.
std::vector<std::pair<HostId, std::uint64_t>> takeRelaysToAsk(RelayPeers &P,
                                                              TimePoint Now);

/// Records a reply. \p Reached: services of which the host reaches servers.
void noteReply(RelayPeers &P, const HostId &From, const PathReply &Reply,
               const std::vector<ServiceId> &Reached, TimePoint Now);
/// The host refused a request for a reason of its own, or cannot be reached.
void avoidRelay(RelayPeers &P, const HostId &Host, TimePoint Now);
/// Hosts whose replies are overdue. They count as lost.
std::vector<HostId> takeSilentHosts(RelayPeers &P, TimePoint Now);

/// The host that is to get the next request of the service; empty if none but
/// \p Avoid is known to reach it.
HostId chooseRelay(const RelayPeers &P, const ServiceId &Service,
                   const DataCentreId &Here, Random &Rng, TimePoint Now,
                   const HostId &Avoid = HostId());
/// Number of hosts that chooseRelay() chooses from.
std::size_t relayCount(const RelayPeers &P, const ServiceId &Service,
                       TimePoint Now);

/// Time by which takeSilentHosts() is due; TimePoint::max() if no query is
/// pending.
TimePoint nextReplyTimeout(const RelayPeers &P);

} // namespace pimento
