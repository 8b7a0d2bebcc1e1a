//===- MembershipParts.h - Parts of membership ------------------*- C++ -*-===//
//
// Internal to the package.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "membership/Membership.h"

namespace pimento {

// Dissemination of updates (News.cpp).

/// This host's update about itself.
HostUpdate ownUpdate(const MembershipState &S);
/// This host's update about another host.
HostUpdate updateOf(const HostId &Host, const HostView &View);

/// Queues an update for dissemination, first by gossip and then on pings.
/// \p IsOrigin: this host was the first to know.
void queueHostUpdate(MembershipState &S, const HostId &Host, bool IsOrigin,
                     TimePoint Now);
void queueBackendUpdate(MembershipState &S, const BackendId &Id, bool IsOrigin,
                        TimePoint Now);

/// A bounded number of updates for one ping; this host's own update is first.
struct UpdatePage {
  std::vector<HostUpdate> Hosts;
  std::vector<BackendRecord> Backends;
};
UpdatePage takeUpdates(MembershipState &S, const HostId &To, TimePoint Now);

/// Sends the updates that gossip has not carried yet to a few random hosts.
void pushGossip(MembershipState &S, TimePoint Now, MembershipOutputs &Out);

/// Approximate size of a record on the wire, in bytes.
std::size_t recordBytes(const BackendRecord &R);

/// Up to \p Count distinct running hosts other than \p Except.
std::vector<HostId> randomHosts(MembershipState &S, std::size_t Count,
                                const HostId &Except);

/// Hash of all known hosts and backend servers, for comparison with peers.
std::uint64_t digestOf(const MembershipState &S);

// Hosts (Membership.cpp).

/// Whether an applied update is disseminated further.
enum class Propagation : std::uint8_t {
  No,     // Not disseminated, because other hosts know it already.
  Relay,  // Received from another host.
  Origin, // Discovered by this host.
};

/// Applies an update about a host. True where it changed this host's view.
bool applyHostUpdate(MembershipState &S, const HostUpdate &U,
                     Propagation Propagate, TimePoint Now,
                     MembershipOutputs &Out);

// Backend servers (Backends.cpp).

/// Applies a record of a backend server. True where it was newer.
bool applyRecord(MembershipState &S, const BackendRecord &R,
                 Propagation Propagate, TimePoint Now, MembershipOutputs &Out);
/// A copy of \p R with GoneFor filled in for sending.
BackendRecord recordToSend(const MembershipState &S, const BackendRecord &R,
                           TimePoint Now);
std::size_t bucketOf(const BackendId &Id);
void onBackendSeen(MembershipState &S, const HostId &From, const BackendSeen &M,
                   TimePoint Now);
void onBackendSeenQuery(MembershipState &S, const HostId &From,
                        const BackendSeenQuery &Q, TimePoint Now,
                        MembershipOutputs &Out);
/// Declares silent servers gone and removes expired tombstones.
void sweepBackends(MembershipState &S, TimePoint Now, MembershipOutputs &Out);
/// Removes every record, because this host lost the majority of hosts for too
/// long to trust them.
void clearRegistry(MembershipState &S, MembershipOutputs &Out);
/// Extends every silence deadline by \p Gap, during which this process did not
/// run and could not receive announcements.
void extendSilenceDeadlines(MembershipState &S, Duration Gap);

// Assignment of watchers to servers (Watchers.cpp).

void watch(MembershipState &S, const BackendId &Id);
void unwatch(MembershipState &S, const BackendId &Id);
/// Updates the watchers of all servers after \p Host started to run.
void onHostUp(MembershipState &S, const HostId &Host);
/// Updates the watchers of all servers after \p Host stopped running.
void onHostDown(MembershipState &S, const HostId &Host);

// Anti-entropy: comparing registries with peers (Sync.cpp).

void noteDigest(MembershipState &S, const HostId &From, std::uint64_t Digest,
                TimePoint Now);
void syncWhenDue(MembershipState &S, TimePoint Now, MembershipOutputs &Out);
void onRegistryPull(MembershipState &S, const HostId &From,
                    const RegistryPull &P, TimePoint Now,
                    MembershipOutputs &Out);
void onRegistryPage(MembershipState &S, const HostId &From,
                    const RegistryPage &P, TimePoint Now,
                    MembershipOutputs &Out);

} // namespace pimento
