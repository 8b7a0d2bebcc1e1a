#include "membership/Hashing.h"
#include "membership/MembershipParts.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr Duration SettleTime = seconds(1); // News gets this long to spread.
constexpr Duration StartRetry = milliseconds(500);

std::vector<std::uint64_t> hashesOf(const MembershipState &S) {
  std::vector<std::uint64_t> Hashes = {S.HostHash};
  Hashes.insert(Hashes.end(), S.Backends.Hashes.begin(),
                S.Backends.Hashes.end());
  return Hashes;
}

void pullFrom(MembershipState &S, const HostId &From, MembershipOutputs &Out) {
  Out.Messages.push_back({From, RegistryPull{hashesOf(S)}});
}

void addHosts(const MembershipState &S, RegistryPage &Page) {
  for (const auto &[Host, View] : S.Hosts) {
    if (View.Life != 0)
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
    if (P.Hashes[Bucket + 1] == S.Backends.Hashes[Bucket])
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

void noteDigest(MembershipState &S, std::uint64_t Digest, TimePoint Now) {
  if (Digest == digestOf(S))
    S.Backends.DiffersSince = TimePoint::max();
  else
    S.Backends.DiffersSince = std::min(S.Backends.DiffersSince, Now);
}

void syncWhenDue(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  BackendsState &B = S.Backends;
  bool Differs =
      B.DiffersSince != TimePoint::max() && Now - B.DiffersSince >= SettleTime;
  if (Now < B.NextSync || (B.Ready && !Differs))
    return;
  std::vector<HostId> Peer = randomHosts(S, 1, HostId());
  if (Peer.empty())
    return;
  B.NextSync = Now + (B.Ready ? S.Config.SyncInterval : StartRetry);
  B.DiffersSince = TimePoint::max();
  pullFrom(S, Peer.front(), Out);
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
  bool Learnt = false;
  for (const HostUpdate &U : P.Hosts)
    Learnt |= applyHostUpdate(S, U, false, Now, Out);
  for (const BackendRecord &R : P.Backends)
    Learnt |= applyRecord(S, R, false, Now, Out);
  if (P.More && Learnt) {
    pullFrom(S, From, Out);
    return;
  }
  S.Backends.Ready = true;
}

bool registryReady(const MembershipState &S) { return S.Backends.Ready; }

} // namespace pimento
