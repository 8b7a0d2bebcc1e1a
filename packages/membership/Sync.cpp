#include "membership/Hashing.h"
#include "membership/MembershipParts.h"

#include <algorithm>

namespace pimento {

namespace {

// A digest must differ for this long before a pull, so that updates which are
// still being disseminated cause none.
constexpr Duration PropagationTime = milliseconds(500);
// Time between pulls of a host that has not learned the registry yet.
constexpr Duration StartPullInterval = milliseconds(500);

/// Includes gone servers only for a joining host, which has to learn which
/// servers it must not revive. Two established hosts may remove tombstones at
/// different times, so their hashes exclude them.
std::uint64_t bucketHash(const BackendsState &B, std::size_t Bucket,
                         bool Joining) {
  return Joining ? mix(B.Hashes[Bucket]) ^ B.GoneHashes[Bucket]
                 : B.Hashes[Bucket];
}

void pullFrom(MembershipState &S, const HostId &From, MembershipOutputs &Out) {
  RegistryPull Pull;
  Pull.Joining = !S.Backends.Ready;
  Pull.Hashes.push_back(S.HostHash);
  for (std::size_t Bucket = 0; Bucket < RegistryBuckets; ++Bucket)
    Pull.Hashes.push_back(bucketHash(S.Backends, Bucket, Pull.Joining));
  Out.Messages.push_back({From, std::move(Pull)});
}

void addHosts(const MembershipState &S, RegistryPage &Page) {
  for (const auto &[Host, View] : S.Hosts) {
    if (View.Incarnation != 0)
      Page.Hosts.push_back(updateOf(Host, View));
  }
}

/// Adds differing buckets, each complete, as long as they fit. Starts at a
/// random bucket so that one that always differs does not starve the others.
void addBuckets(MembershipState &S, const RegistryPull &P, TimePoint Now,
                RegistryPage &Page) {
  std::array<std::vector<const BackendRecord *>, RegistryBuckets> Buckets;
  for (const auto &Entry : S.Backends.Records)
    Buckets[bucketOf(Entry.first)].push_back(&Entry.second);
  std::size_t Bytes = 0;
  std::size_t First = below(S.Rng, RegistryBuckets);
  for (std::size_t I = 0; I < RegistryBuckets; ++I) {
    std::size_t Bucket = (First + I) % RegistryBuckets;
    if (P.Hashes[Bucket + 1] == bucketHash(S.Backends, Bucket, P.Joining))
      continue;
    std::size_t Size = 0;
    for (const BackendRecord *R : Buckets[Bucket])
      Size += recordBytes(*R);
    if (Bytes != 0 && Bytes + Size > S.Config.PageBytes) {
      Page.More = true;
      continue;
    }
    Bytes += Size;
    for (const BackendRecord *R : Buckets[Bucket])
      Page.Backends.push_back(recordToSend(S, *R, Now));
  }
}

} // namespace

std::uint64_t digestOf(const MembershipState &S) {
  std::uint64_t Digest = mix(S.HostHash);
  for (std::uint64_t Hash : S.Backends.Hashes)
    Digest = mix(Digest ^ Hash);
  return Digest;
}

void noteDigest(MembershipState &S, const HostId &From, std::uint64_t Digest,
                TimePoint Now) {
  BackendsState &B = S.Backends;
  bool Same = Digest == digestOf(S);
  if (Same && B.DiffersFromPeer == From)
    B.DiffersFromPeer = HostId();
  if (Same || !B.DiffersFromPeer.empty())
    return; // The peer that differed first stays the next one to pull from.
  B.DiffersFromPeer = From;
  B.DiffersSince = Now;
}

void syncWhenDue(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  BackendsState &B = S.Backends;
  bool Differs =
      !B.DiffersFromPeer.empty() && Now - B.DiffersSince >= PropagationTime;
  if (Now < B.NextSync || (B.Ready && !Differs))
    return;
  std::vector<HostId> Peers = {B.DiffersFromPeer};
  if (!B.Ready)
    Peers = randomHosts(S, 1, HostId());
  if (Peers.empty())
    return;
  B.NextSync = Now + (B.Ready ? S.Config.SyncInterval : StartPullInterval);
  B.DiffersFromPeer = HostId();
  pullFrom(S, Peers.front(), Out);
}

void onRegistryPull(MembershipState &S, const HostId &From,
                    const RegistryPull &P, TimePoint Now,
                    MembershipOutputs &Out) {
  if (P.Hashes.size() != RegistryBuckets + 1)
    return;
  RegistryPage Page;
  if (P.Hashes[0] != S.HostHash)
    addHosts(S, Page);
  addBuckets(S, P, Now, Page);
  Out.Messages.push_back({From, std::move(Page)});
}

void onRegistryPage(MembershipState &S, const HostId &From,
                    const RegistryPage &P, TimePoint Now,
                    MembershipOutputs &Out) {
  // A host that is ready relays what it missed, since other hosts may have
  // missed it too. A starting host misses what the others already know.
  Propagation Propagate =
      S.Backends.Ready ? Propagation::Relay : Propagation::No;
  bool Learned = false;
  for (const HostUpdate &U : P.Hosts)
    Learned |= applyHostUpdate(S, U, Propagate, Now, Out);
  for (const BackendRecord &R : P.Backends)
    Learned |= applyRecord(S, R, Propagate, Now, Out);
  if (P.More && Learned) {
    pullFrom(S, From, Out);
    return;
  }
  S.Backends.Ready = true;
}

bool registryReady(const MembershipState &S) { return S.Backends.Ready; }

} // namespace pimento
