// The hosts of a simulated site: the log and its leader, crashes and restarts.

#include "World.h"

namespace pimento::calls {

//===----------------------------------------------------------------------===//
// The log and its leader
//===----------------------------------------------------------------------===//

/// The host that a sender believes to be the leader; sometimes a wrong one.
HostId World::leaderFor() {
  if (Faults.LeaderChanges && chance(0.1))
    return Hosts[below(P.Rng, Hosts.size())];
  for (const HostId &Host : Hosts) {
    if (P.up(Host) && P.node(Host).Term == CurrentTerm)
      return Host;
  }
  return Hosts[0];
}

void World::propose(const HostId &Host, const ProposeClaims &E) {
  WorldHost &H = P.node(Host);
  std::uint64_t Term = H.Term;
  IncarnationNumber Incarnation = H.Incarnation;
  // The entry is committed after a delay unless the leader has changed by then.
  // The leader applies the entry after a further delay.
  P.at(between(P.Rng, milliseconds(1), milliseconds(8)),
       [this, Host, E, Term, Incarnation] {
         if (Term != CurrentTerm)
           return;
         Log.push_back({E.Entry, Host, Term, E.Ticket, P.now()});
         std::size_t Upto = Log.size();
         if (!P.up(Host) || P.node(Host).Incarnation != Incarnation)
           return;
         P.perform(Host, delay(),
                   [this, Host, Upto](WorldHost &Leader, TimePoint Now) {
                     apply(Leader, Host, Upto, Now);
                   });
       });
}

/// Applies the log up to an entry and passes the changes of the host's own
/// proposals to its ClaimLeader.
void World::apply(WorldHost &H, const HostId &Name, std::size_t Upto,
                  TimePoint Now) {
  while (H.AppliedEntries < Upto) {
    const WorldEntry Entry = Log[H.AppliedEntries++];
    std::vector<ClaimChange> Changes = applyClaims(H.Applied, Entry.Content);
    if (Entry.Host != Name || Entry.Term != H.Term)
      continue;
    ClaimEffects Out;
    onClaimsApplied(H.Leader, H.Applied, Entry.Ticket, Changes, Now, Out);
    execute(Name, Out);
  }
}

void World::execute(const HostId &Host, ClaimEffects &Out) {
  for (ClaimEffect &E : Out.List) {
    if (auto *Entry = std::get_if<ProposeClaims>(&E))
      propose(Host, *Entry);
    else if (auto *R = std::get_if<SendClaimReply>(&E))
      P.send(Host, R->To, R->Content);
    else if (auto *Ack = std::get_if<SendClaimAck>(&E))
      P.send(Host, Ack->To, Ack->Content);
  }
}

void World::changeLeader(const HostId &Host) {
  if (!P.running(Host))
    return;
  ++CurrentTerm;
  WorldHost &H = P.node(Host);
  H.Term = CurrentTerm;
  // A new leader first applies all committed entries. The snapshot round trip
  // stands for entries that a host receives as a snapshot.
  apply(H, Host, Log.size(), P.clock(Host));
  H.Applied = decodeClaims(encodeClaims(H.Applied), H.Applied.Limits).value();
  becomeLeader(H.Leader, H.Applied, P.clock(Host));
  for (const HostId &Other : Hosts)
    onHostIncarnation(H.Leader, Other, P.node(Other).Incarnation, !P.up(Other));
}

void World::onMessage(WorldHost &H, const HostId &From, const Message &M,
                      TimePoint Now) {
  CallsEffects Out;
  ClaimEffects Claims;
  if (const auto *Request = std::get_if<ClaimRequest>(&M))
    onClaimRequest(H.Leader, H.Applied, From, *Request, Now, Claims);
  else if (const auto *Ended = std::get_if<ClaimResult>(&M))
    onClaimResult(H.Leader, H.Applied, From, *Ended, Now, Claims);
  else if (const auto *Reply = std::get_if<ClaimReply>(&M))
    onClaimReply(H.Calls, *Reply, Dir, Now, Out);
  else if (const auto *Ack = std::get_if<ClaimResultAck>(&M))
    onClaimResultAck(H.Calls, *Ack);
  execute(nameOf(H), Claims);
  execute(nameOf(H), Out);
}

void World::onTick(WorldHost &H, TimePoint Now) {
  CallsEffects Out;
  tick(H.Calls, Dir, Now, Out);
  execute(nameOf(H), Out);
  ClaimEffects Claims;
  tickClaims(H.Leader, H.Applied, Now, Claims);
  execute(nameOf(H), Claims);
}

//===----------------------------------------------------------------------===//
// Crashes and restarts
//===----------------------------------------------------------------------===//

void World::crash(const HostId &Host) {
  if (!P.up(Host))
    return;
  EverCrashed = true;
  P.crash(Host);
  for (auto &[Key, C] : Connections) {
    bool IsReader = C->Host == Host && C->Open;
    C->Open = C->Open && C->Host != Host;
    if (IsReader)
      closeReader(*C);
  }
  for (auto &[Exchange, Call] : Calls) {
    if (Call.Host == Host && Call.FinalAnswers == 0)
      Call.HostDied = true;
  }
  for (const HostId &Other : Hosts) {
    if (P.up(Other))
      onHostIncarnation(P.node(Other).Leader, Host, P.node(Host).Incarnation,
                        true);
  }
}

void World::freeze(const HostId &Host) {
  EverFrozen = true;
  P.freeze(Host);
}

void World::restart(const HostId &Host) {
  WorldHost H;
  H.Incarnation =
      static_cast<IncarnationNumber>(P.now().time_since_epoch().count());
  Settings S;
  S.Host.Name = Host;
  H.Calls = makeCalls(S, H.Incarnation, P.Rng());
  IncarnationNumber Incarnation = H.Incarnation;
  P.add(Host, std::move(H));
  for (const HostId &Other : Hosts) {
    if (Other != Host && P.up(Other))
      onHostIncarnation(P.node(Other).Leader, Host, Incarnation, false);
  }
}

void World::runWithoutFaults(Duration Time) {
  WorldFaults None;
  Faults = None;
  P.Faults.Loss = 0;
  P.Faults.Duplicate = 0;
  P.Faults.Slow = 0;
  for (const HostId &Host : Hosts) {
    if (P.frozen(Host))
      P.thaw(Host);
    if (!P.up(Host))
      restart(Host);
  }
  changeLeader(Hosts[0]);
  P.runFor(Time);
}

} // namespace pimento::calls
