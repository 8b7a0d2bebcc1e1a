#include "membership/Membership.h"

#include "membership/Hashing.h"
#include "membership/MembershipParts.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t MaxProbes = 256; // Outstanding at one time.
// Dead hosts probed at once while no other host runs.
constexpr std::uint32_t ProbesWhenAlone = 3;

void send(MembershipOutputs &Out, const HostId &To, Message M) {
  Out.Messages.push_back({To, std::move(M)});
}

std::uint64_t hashOf(const HostUpdate &U) {
  if (U.Incarnation == 0)
    return 0; // The host was never seen.
  std::uint64_t Status = static_cast<std::uint64_t>(U.Status);
  return mix(hashText(U.Host.Value) ^ mix(U.Incarnation) ^
             mix(U.Version * 8 + Status));
}

bool runs(HostStatus Status) { return Status != HostStatus::Dead; }

/// Whether \p U supersedes the known view.
bool isNewer(const HostUpdate &U, const HostView &Known) {
  if (U.Incarnation != Known.Incarnation)
    return U.Incarnation > Known.Incarnation;
  if (U.Version != Known.Version)
    return U.Version > Known.Version;
  auto Rank = [](HostStatus Status) {
    switch (Status) {
    case HostStatus::Alive:
    case HostStatus::Leaving:
      return 0;
    case HostStatus::Suspect:
      return 1;
    case HostStatus::Dead:
      return 2;
    }
    return 0;
  };
  return Rank(U.Status) > Rank(Known.Status);
}

const char *toString(HostStatus Status) {
  switch (Status) {
  case HostStatus::Alive:
    return "alive";
  case HostStatus::Suspect:
    return "suspect";
  case HostStatus::Dead:
    return "dead";
  case HostStatus::Leaving:
    return "leaving";
  }
  return "";
}

void reportChange(const HostId &Host, HostChangeKind Kind, const HostView &View,
                  std::string Reason, MembershipOutputs &Out) {
  Out.Hosts.push_back({Host, Kind, View});
  DecisionRecord Decision;
  Decision.Kind = "host";
  Decision.Reason = std::move(Reason);
  Decision.add("host", Host.Value)
      .add("status", std::string(toString(View.Status)))
      .add("life", static_cast<std::int64_t>(View.Incarnation))
      .add("version", static_cast<std::int64_t>(View.Version))
      .add("direct", View.Direct)
      .add("slow", View.Slow);
  Out.Decisions.push_back(std::move(Decision));
}

void setRunning(MembershipState &S, const HostId &Host, bool Runs) {
  auto At = std::lower_bound(S.Running.begin(), S.Running.end(), Host);
  bool Listed = At != S.Running.end() && *At == Host;
  if (Runs == Listed)
    return;
  if (Runs) {
    S.Running.insert(At, Host);
    onHostUp(S, Host);
  } else {
    S.Running.erase(At);
    onHostDown(S, Host);
  }
}

/// Handles an update about this host itself. Raises this host's version where
/// the update contradicts its own status.
void refute(MembershipState &S, const HostUpdate &U, TimePoint Now,
            MembershipOutputs &Out) {
  if (U.Incarnation > S.Config.Incarnation) {
    DecisionRecord Decision;
    Decision.Kind = "identity";
    Decision.Reason = "another process runs under this host's name";
    Decision.add("life", static_cast<std::int64_t>(U.Incarnation));
    Out.Decisions.push_back(std::move(Decision));
    return;
  }
  bool NeedsRefutation = U.Incarnation == S.Config.Incarnation &&
                         U.Version >= S.Version && U.Status != S.OwnStatus;
  if (!NeedsRefutation)
    return;
  if (U.Status == HostStatus::Dead)
    // This host was partitioned or paused and missed updates: sync at once.
    S.Backends.NextSync = Now;
  S.HostHash ^= hashOf(ownUpdate(S));
  S.Version = U.Version + 1;
  S.HostHash ^= hashOf(ownUpdate(S));
  queueHostUpdate(S, S.Config.Self, true, Now);
}

void setDirect(const HostId &Host, HostView &View, bool Direct,
               MembershipOutputs &Out) {
  if (View.Direct == Direct)
    return;
  View.Direct = Direct;
  reportChange(Host, HostChangeKind::Direct, View,
               Direct ? "the host acknowledges direct pings again"
                      : "only other hosts reach the host",
               Out);
}

void noteRoundTrip(const MembershipState &S, const HostId &Host, HostView &View,
                   Duration RoundTrip, MembershipOutputs &Out) {
  constexpr int Smoothing = 8;
  if (View.RoundTrip == Duration::zero())
    View.RoundTrip = RoundTrip;
  View.RoundTrip += (RoundTrip - View.RoundTrip) / Smoothing;
  bool Slow = RoundTrip > S.Config.Timing.ProbeTimeout;
  if (View.Slow == Slow)
    return;
  View.Slow = Slow;
  reportChange(Host, HostChangeKind::Slow, View,
               Slow ? "the acknowledgement came late"
                    : "the acknowledgement came in time",
               Out);
}

void startProbe(MembershipState &S, const HostId &Target, TimePoint Now,
                MembershipOutputs &Out) {
  if (S.Probes.size() >= MaxProbes)
    S.Probes.erase(S.Probes.begin());
  std::uint64_t Sequence = S.NextSequence++;
  S.Probes[Sequence] = {Target, Now, false};
  UpdatePage Updates = takeUpdates(S, Target, Now);
  send(Out, Target,
       Ping{Sequence, std::move(Updates.Hosts), std::move(Updates.Backends),
            digestOf(S)});
}

void shuffleOrder(MembershipState &S) {
  S.ProbeOrder = S.Running;
  for (std::size_t I = S.ProbeOrder.size(); I > 1; --I)
    std::swap(S.ProbeOrder[I - 1], S.ProbeOrder[below(S.Rng, I)]);
  S.NextInOrder = 0;
}

/// The next running host in the probe order; empty where none runs.
HostId nextTarget(MembershipState &S) {
  for (std::size_t Tries = 0; Tries <= S.Running.size() + 1; ++Tries) {
    if (S.NextInOrder >= S.ProbeOrder.size())
      shuffleOrder(S);
    if (S.ProbeOrder.empty())
      return HostId();
    const HostId &Host = S.ProbeOrder[S.NextInOrder++];
    if (runs(S.Hosts.at(Host).Status))
      return Host;
  }
  return HostId();
}

/// A random host that this host considers dead. It may have restarted since, or
/// may only have been unreachable. Empty: no host is considered dead.
HostId randomDeadHost(MembershipState &S) {
  std::vector<HostId> Dead;
  for (const auto &[Host, View] : S.Hosts) {
    if (!runs(View.Status))
      Dead.push_back(Host);
  }
  return Dead.empty() ? HostId() : Dead[below(S.Rng, Dead.size())];
}

void probeNext(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  if (Now < S.NextProbe || S.OwnStatus == HostStatus::Dead)
    return;
  Duration Interval = S.Config.Timing.ProbeInterval;
  S.NextProbe = Now + between(S.Rng, Interval * 9 / 10, Interval * 11 / 10);
  ++S.ProbeCount;
  HostId Target = nextTarget(S);
  if (!Target.empty())
    startProbe(S, Target, Now, Out);
  bool Alone = Target.empty();
  std::uint32_t Extra = Alone ? ProbesWhenAlone : 0;
  if (!Alone && S.ProbeCount % S.Config.DeadProbeEvery == 0)
    Extra = 1;
  for (; Extra > 0; --Extra) {
    HostId Dead = randomDeadHost(S);
    if (!Dead.empty())
      startProbe(S, Dead, Now, Out);
  }
}

void suspect(MembershipState &S, const HostId &Target, TimePoint Now,
             MembershipOutputs &Out) {
  const HostView &View = S.Hosts.at(Target);
  if (View.Status == HostStatus::Suspect || !runs(View.Status))
    return;
  HostUpdate U = updateOf(Target, View);
  U.Status = HostStatus::Suspect;
  applyHostUpdate(S, U, Propagation::Origin, Now, Out);
  startProbe(S, Target, Now, Out); // The ping lets the target refute.
}

void requestIndirectProbes(MembershipState &S, std::uint64_t Sequence, Probe &P,
                           MembershipOutputs &Out) {
  P.Indirect = true;
  for (const HostId &Helper : randomHosts(S, S.Config.IndirectProbes, P.Target))
    send(Out, Helper, PingRequest{Sequence, P.Target});
}

void checkProbes(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  Duration Timeout = S.Config.Timing.ProbeTimeout;
  constexpr int TimeoutsPerProbe = 3; // Probe timeouts until a probe fails.
  std::vector<HostId> Silent;
  for (auto At = S.Probes.begin(); At != S.Probes.end();) {
    Probe &P = At->second;
    bool Dead = !runs(S.Hosts.at(P.Target).Status);
    if (!Dead && !P.Indirect && Now >= P.Sent + Timeout)
      requestIndirectProbes(S, At->first, P, Out);
    if (Now < P.Sent + Timeout * TimeoutsPerProbe) {
      ++At;
      continue;
    }
    if (!Dead)
      Silent.push_back(P.Target);
    At = S.Probes.erase(At);
  }
  for (const HostId &Target : Silent)
    suspect(S, Target, Now, Out);
}

void checkRelayed(MembershipState &S, TimePoint Now) {
  Duration Limit = S.Config.Timing.ProbeTimeout * 3;
  for (auto At = S.Relayed.begin(); At != S.Relayed.end();)
    At = Now >= At->second.Sent + Limit ? S.Relayed.erase(At) : std::next(At);
}

void checkSuspects(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  std::vector<HostId> Due;
  for (const auto &[Host, Deadline] : S.Suspects) {
    if (Now >= Deadline)
      Due.push_back(Host);
  }
  for (const HostId &Host : Due) {
    HostUpdate U = updateOf(Host, S.Hosts.at(Host));
    U.Status = HostStatus::Dead;
    applyHostUpdate(S, U, Propagation::Origin, Now, Out);
  }
}

/// After a pause of this process, discards outstanding probes and extends
/// deadlines, so that hosts and servers are not declared dead for the pause.
void checkTickGap(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  Duration Gap = Now - S.LastTick;
  S.LastTick = Now;
  if (Gap <= S.Config.Timing.ProbeInterval)
    return;
  S.Probes.clear();
  for (auto &Entry : S.Suspects)
    Entry.second += Gap;
  extendSilenceDeadlines(S, Gap);
  DecisionRecord Decision;
  Decision.Kind = "host";
  Decision.Reason = "this process was paused; outstanding probes are discarded";
  Decision.add("gap_ms", toMilliseconds(Gap));
  Out.Decisions.push_back(std::move(Decision));
}

void checkMajority(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  if (!seesMajority(S))
    return;
  if (Now - S.Backends.LastMajority > S.Config.TombstoneTime / 2)
    clearRegistry(S, Out);
  S.Backends.LastMajority = Now;
}

/// Applies the updates of one message. False where the message is ignored
/// because the sender is unknown, is not listed first, or is an earlier
/// incarnation of its host.
bool applyUpdates(MembershipState &S, const HostId &From,
                  const std::vector<HostUpdate> &Hosts,
                  const std::vector<BackendRecord> &Backends, TimePoint Now,
                  MembershipOutputs &Out) {
  auto Sender = S.Hosts.find(From);
  if (Sender == S.Hosts.end() || Hosts.empty() || Hosts.front().Host != From ||
      Hosts.front().Incarnation < Sender->second.Incarnation)
    return false;
  for (const HostUpdate &U : Hosts)
    applyHostUpdate(S, U, Propagation::Relay, Now, Out);
  for (const BackendRecord &R : Backends)
    applyRecord(S, R, Propagation::Relay, Now, Out);
  return true;
}

void onPing(MembershipState &S, const HostId &From, const Ping &M,
            TimePoint Now, MembershipOutputs &Out) {
  if (!applyUpdates(S, From, M.Hosts, M.Backends, Now, Out) ||
      S.OwnStatus == HostStatus::Dead)
    return;
  noteDigest(S, From, M.Digest, Now);
  UpdatePage Updates = takeUpdates(S, From, Now);
  send(Out, From,
       Ack{M.Sequence, std::move(Updates.Hosts), std::move(Updates.Backends),
           digestOf(S)});
}

void answerRequester(MembershipState &S, const HostId &From, const Ack &M,
                     MembershipOutputs &Out) {
  auto Found = S.Relayed.find(M.Sequence);
  if (Found == S.Relayed.end() || Found->second.Target != From)
    return;
  send(Out, Found->second.Requester,
       IndirectAck{Found->second.RequesterSequence, M.Hosts.front()});
  S.Relayed.erase(Found);
}

void onAck(MembershipState &S, const HostId &From, const Ack &M, TimePoint Now,
           MembershipOutputs &Out) {
  if (!applyUpdates(S, From, M.Hosts, M.Backends, Now, Out))
    return;
  noteDigest(S, From, M.Digest, Now);
  answerRequester(S, From, M, Out);
  auto Found = S.Probes.find(M.Sequence);
  if (Found == S.Probes.end() || Found->second.Target != From)
    return;
  HostView &View = S.Hosts.at(From);
  noteRoundTrip(S, From, View, Now - Found->second.Sent, Out);
  setDirect(From, View, true, Out);
  S.Probes.erase(Found);
}

void onPingRequest(MembershipState &S, const HostId &From, const PingRequest &M,
                   TimePoint Now, MembershipOutputs &Out) {
  if (S.Hosts.count(M.Target) == 0 || S.Relayed.size() >= MaxProbes)
    return;
  std::uint64_t Sequence = S.NextSequence++;
  S.Relayed[Sequence] = {From, M.Sequence, M.Target, Now};
  send(Out, M.Target, Ping{Sequence, {ownUpdate(S)}, {}, digestOf(S)});
}

void onIndirectAck(MembershipState &S, const IndirectAck &M, TimePoint Now,
                   MembershipOutputs &Out) {
  auto Found = S.Probes.find(M.Sequence);
  if (Found == S.Probes.end() || Found->second.Target != M.Target.Host)
    return;
  HostId Target = Found->second.Target;
  S.Probes.erase(Found);
  applyHostUpdate(S, M.Target, Propagation::Relay, Now, Out);
  setDirect(Target, S.Hosts.at(Target), false, Out);
}

} // namespace

bool applyHostUpdate(MembershipState &S, const HostUpdate &U,
                     Propagation Propagate, TimePoint Now,
                     MembershipOutputs &Out) {
  if (U.Host == S.Config.Self) {
    refute(S, U, Now, Out);
    return false;
  }
  auto Found = S.Hosts.find(U.Host);
  if (Found == S.Hosts.end() || !isNewer(U, Found->second))
    return false;
  HostView &View = Found->second;
  bool NewIncarnation = U.Incarnation != View.Incarnation;
  bool NewStatus = U.Status != View.Status;
  S.HostHash ^= hashOf(updateOf(U.Host, View)) ^ hashOf(U);
  View.Incarnation = U.Incarnation;
  View.Version = U.Version;
  View.Status = U.Status;
  if (NewStatus)
    View.Since = Now;
  S.Suspects.erase(U.Host);
  if (U.Status == HostStatus::Suspect)
    S.Suspects[U.Host] = Now + S.Config.Timing.SuspicionTimeout;
  setRunning(S, U.Host, runs(U.Status));
  if (Propagate != Propagation::No)
    queueHostUpdate(S, U.Host, Propagate == Propagation::Origin, Now);
  if (NewIncarnation)
    reportChange(U.Host, HostChangeKind::Incarnation, View,
                 "a new process runs on the host", Out);
  if (NewStatus)
    reportChange(U.Host, HostChangeKind::Status, View, "the status changed",
                 Out);
  return true;
}

MembershipState makeMembership(const MembershipConfig &Config,
                               std::uint64_t Seed, TimePoint Now) {
  MembershipState S;
  S.Config = Config;
  std::sort(S.Config.Hosts.begin(), S.Config.Hosts.end());
  S.Rng.seed(Seed);
  S.Started = Now;
  S.LastTick = Now;
  S.NextProbe = Now;
  S.Backends.LastMajority = Now;
  S.Backends.NextSweep = Now;
  S.Backends.NextSync = Now;
  S.Backends.Ready = Config.Hosts.size() <= 1;
  for (const HostId &Host : Config.Hosts) {
    if (Host != Config.Self)
      S.Hosts[Host].Since = Now;
  }
  S.HostHash = hashOf(ownUpdate(S));
  queueHostUpdate(S, Config.Self, true, Now);
  return S;
}

void onTick(MembershipState &S, TimePoint Now, MembershipOutputs &Out) {
  checkTickGap(S, Now, Out);
  checkMajority(S, Now, Out);
  checkSuspects(S, Now, Out);
  checkProbes(S, Now, Out);
  checkRelayed(S, Now);
  probeNext(S, Now, Out);
  sweepBackends(S, Now, Out);
  syncWhenDue(S, Now, Out);
  if (Now >= S.NextGossip)
    pushGossip(S, Now, Out);
}

TimePoint nextDeadline(const MembershipState &S) {
  TimePoint Next = std::min(S.NextProbe, S.NextGossip);
  Next = std::min(Next, S.Backends.NextSweep);
  for (const auto &Entry : S.Suspects)
    Next = std::min(Next, Entry.second);
  return Next;
}

bool onMessage(MembershipState &S, const HostId &From, const Message &M,
               TimePoint Now, MembershipOutputs &Out) {
  if (const auto *P = std::get_if<Ping>(&M))
    onPing(S, From, *P, Now, Out);
  else if (const auto *A = std::get_if<Ack>(&M))
    onAck(S, From, *A, Now, Out);
  else if (const auto *G = std::get_if<Gossip>(&M))
    applyUpdates(S, From, G->Hosts, G->Backends, Now, Out);
  else if (const auto *Request = std::get_if<PingRequest>(&M))
    onPingRequest(S, From, *Request, Now, Out);
  else if (const auto *Indirect = std::get_if<IndirectAck>(&M))
    onIndirectAck(S, *Indirect, Now, Out);
  else if (const auto *Seen = std::get_if<BackendSeen>(&M))
    onBackendSeen(S, From, *Seen, Now);
  else if (const auto *Q = std::get_if<BackendSeenQuery>(&M))
    onBackendSeenQuery(S, From, *Q, Now, Out);
  else if (const auto *Pull = std::get_if<RegistryPull>(&M))
    onRegistryPull(S, From, *Pull, Now, Out);
  else if (const auto *Page = std::get_if<RegistryPage>(&M))
    onRegistryPage(S, From, *Page, Now, Out);
  else
    return false;
  return true;
}

void onLinkLost(MembershipState &S, const HostId &Host, TimePoint Now,
                MembershipOutputs &Out) {
  const HostView *View = hostView(S, Host);
  if (View && View->Status == HostStatus::Alive)
    startProbe(S, Host, Now, Out);
}

void leave(MembershipState &S, bool Final, TimePoint Now,
           MembershipOutputs &Out) {
  S.HostHash ^= hashOf(ownUpdate(S));
  S.OwnStatus = Final ? HostStatus::Dead : HostStatus::Leaving;
  ++S.Version;
  S.HostHash ^= hashOf(ownUpdate(S));
  queueHostUpdate(S, S.Config.Self, true, Now);
  pushGossip(S, Now, Out);
}

bool isAlive(const MembershipState &S, const HostId &Host) {
  if (Host == S.Config.Self)
    return true;
  auto Found = S.Hosts.find(Host);
  return Found != S.Hosts.end() && runs(Found->second.Status);
}

std::vector<HostId> aliveHosts(const MembershipState &S) {
  std::vector<HostId> Alive = S.Running;
  Alive.insert(std::lower_bound(Alive.begin(), Alive.end(), S.Config.Self),
               S.Config.Self);
  return Alive;
}

const HostView *hostView(const MembershipState &S, const HostId &Host) {
  auto Found = S.Hosts.find(Host);
  return Found == S.Hosts.end() ? nullptr : &Found->second;
}

bool seesMajority(const MembershipState &S) {
  return S.Running.size() + 1 >= S.Config.Hosts.size() / 2 + 1;
}

} // namespace pimento
