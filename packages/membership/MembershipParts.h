//===- MembershipParts.h - Parts of membership ------------------*- C++ -*-===//
//
// Internal to the package.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "membership/Membership.h"

namespace pimento {

// News (News.cpp).

/// What this host says of itself.
HostUpdate ownUpdate(const MembershipState &S);
/// What this host says of another.
HostUpdate updateOf(const HostId &Host, const HostView &View);

/// Has the news told on, first by gossip and then on pings.
/// \p Own: this host was the first to know.
void addHostNews(MembershipState &S, const HostId &Host, bool Own,
                 TimePoint Now);
void addBackendNews(MembershipState &S, const BackendId &Id, bool Own,
                    TimePoint Now);

/// A bounded amount of news for one ping; this host's own record first.
struct NewsPage {
  std::vector<HostUpdate> Hosts;
  std::vector<BackendRecord> Backends;
};
NewsPage takeNews(MembershipState &S, const HostId &To, TimePoint Now);

/// Sends what gossip has not carried yet to a few hosts.
void pushGossip(MembershipState &S, TimePoint Now, MembershipOutputs &Out);

/// About the bytes of a record on the wire.
std::size_t recordBytes(const BackendRecord &R);

/// Up to \p Count different hosts that run, other than \p Except.
std::vector<HostId> randomHosts(MembershipState &S, std::size_t Count,
                                const HostId &Except);

/// Hash of everything known, to compare with another host's.
std::uint64_t digestOf(const MembershipState &S);

// Hosts (Membership.cpp).

/// Whether what is taken in is told on.
enum class Telling : std::uint8_t {
  No,     // Others know it already.
  Relay,  // Another host told it.
  Origin, // This host found it out.
};

/// Takes in what is said of a host. True where it was news.
bool applyHostUpdate(MembershipState &S, const HostUpdate &U, Telling Tell,
                     TimePoint Now, MembershipOutputs &Out);

// Backend servers (Backends.cpp).

/// Takes in a record. True where it was news.
bool applyRecord(MembershipState &S, const BackendRecord &R, Telling Tell,
                 TimePoint Now, MembershipOutputs &Out);
/// A record as it travels.
BackendRecord recordToSend(const MembershipState &S, const BackendRecord &R,
                           TimePoint Now);
std::size_t bucketOf(const BackendId &Id);
void onBackendSeen(MembershipState &S, const HostId &From, const BackendSeen &M,
                   TimePoint Now);
void onBackendSeenQuery(MembershipState &S, const HostId &From,
                        const BackendSeenQuery &Q, TimePoint Now,
                        MembershipOutputs &Out);
/// Declares silent servers gone and forgets those long gone.
void sweepBackends(MembershipState &S, TimePoint Now, MembershipOutputs &Out);
/// Forgets every record: this host was cut off for too long to trust them.
void forgetBackends(MembershipState &S, MembershipOutputs &Out);
/// This process stood still for \p Gap: nobody is silent because of it.
void forgiveSilence(MembershipState &S, Duration Gap);

// Who watches which server (Watchers.cpp).

void watch(MembershipState &S, const BackendId &Id);
void unwatch(MembershipState &S, const BackendId &Id);
/// \p Host runs now, or runs no longer.
void hostJoins(MembershipState &S, const HostId &Host);
void hostLeaves(MembershipState &S, const HostId &Host);

// Comparing registries (Sync.cpp).

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
