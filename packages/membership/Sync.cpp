#include "membership/Hashing.h"
#include "membership/MembershipParts.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr Duration SettleTime =
    milliseconds(500); // News gets this long to spread.
constexpr Duration StartRetry = milliseconds(500);

/// Gone servers count only for a host that joins: it has to learn whom it must
/// not revive, whereas two others may forget them at different times.
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

/// Adds whole buckets that differ while they fit, from a random one on, so
/// that one bucket that always differs never starves the rest.
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
  if (Same && B.DiffersFrom == From)
    B.DiffersFrom = HostId();
  if (Same || !B.DiffersFrom.empty())
    return; // Whoever differed first is asked first.
  B.DiffersFrom = From;
  B.DiffersSince = Now;
}

void syncWhenDue(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  BackendsState &B = S.Backends;
  bool Differs = !B.DiffersFrom.empty() && Now - B.DiffersSince >= SettleTime;
  if (Now < B.NextSync || (B.Ready && !Differs))
    return;
  std::vector<HostId> Peers = {B.DiffersFrom};
  if (!B.Ready)
    Peers = randomHosts(S, 1, HostId());
  if (Peers.empty())
    return;
  B.NextSync = Now + (B.Ready ? S.Config.SyncInterval : StartRetry);
  B.DiffersFrom = HostId();
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
  // What a host lacks that is not just starting, its neighbours may lack too.
  Telling Tell = S.Backends.Ready ? Telling::Relay : Telling::No;
  bool Learnt = false;
  for (const HostUpdate &U : P.Hosts)
    Learnt |= applyHostUpdate(S, U, Tell, Now, Out);
  for (const BackendRecord &R : P.Backends)
    Learnt |= applyRecord(S, R, Tell, Now, Out);
  if (P.More && Learnt) {
    pullFrom(S, From, Out);
    return;
  }
  S.Backends.Ready = true;
}

bool registryReady(const MembershipState &S) { return S.Backends.Ready; }

} // namespace pimento
