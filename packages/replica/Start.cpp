#include "replica/Internal.h"

#include <algorithm>

namespace pimento::replica {

namespace {

/// Number of probe intervals after which another host's report is too old to
/// form the log.
constexpr int FormationIntervals = 5;

/// All hosts that may know this disk: configured voters, members and contacts.
std::vector<HostId> probeTargets(const ReplicaState &S) {
  std::vector<HostId> Hosts = S.Config.FormationVoters;
  for (const Member &Who : members(S).Members)
    Hosts.push_back(Who.Host);
  Hosts.insert(Hosts.end(), S.Contacts.begin(), S.Contacts.end());
  std::sort(Hosts.begin(), Hosts.end());
  Hosts.erase(std::unique(Hosts.begin(), Hosts.end()), Hosts.end());
  Hosts.erase(std::remove(Hosts.begin(), Hosts.end(), S.Config.Self),
              Hosts.end());
  return Hosts;
}

bool isKnownHost(const ReplicaState &S, const HostId &Host) {
  const auto &Forming = S.Config.FormationVoters;
  return findMember(members(S), Host) != nullptr ||
         std::find(Forming.begin(), Forming.end(), Host) != Forming.end();
}

DiskMark *findMark(ReplicaState &S, const HostId &Host,
                   IncarnationNumber Incarnation) {
  for (DiskMark &Mark : S.Hard.Marks) {
    if (Mark.Host == Host && Mark.Incarnation == Incarnation)
      return &Mark;
  }
  return nullptr;
}

/// Drops the marks of retired disks, which can no longer take part.
void pruneMarks(ReplicaState &S) {
  const VoterSet &CommittedVoters = membersAt(S, S.Commit);
  auto IsGone = [&](const DiskMark &Mark) {
    return isRetired(CommittedVoters, Mark.Host, Mark.Incarnation);
  };
  auto &Marks = S.Hard.Marks;
  Marks.erase(std::remove_if(Marks.begin(), Marks.end(), IsGone), Marks.end());
}

/// Returns the mark of a disk and creates it if necessary; null for hosts that
/// are neither members nor configured voters of this log.
DiskMark *ensureMark(ReplicaState &S, const HostId &Host,
                     IncarnationNumber Incarnation) {
  if (DiskMark *Mark = findMark(S, Host, Incarnation))
    return Mark;
  if (!isKnownHost(S, Host))
    return nullptr;
  pruneMarks(S);
  DiskMark New;
  New.Host = Host;
  New.Incarnation = Incarnation;
  S.Hard.Marks.push_back(New);
  return &S.Hard.Marks.back();
}

/// Compares a start of a disk with the newest start known here: a lower count
/// shows a rolled back disk, an equal count with another random half a copy.
DiskVerdict checkStart(const DiskMark &Mark, DiskStart Start) {
  if (startCount(Start) < startCount(Mark.Start))
    return DiskVerdict::RolledBack;
  if (startCount(Start) == startCount(Mark.Start) && Start != Mark.Start)
    return DiskVerdict::Copied;
  return DiskVerdict::Accepted;
}

DiskVerdict checkProbe(ReplicaState &S, const HostId &From,
                       const ReplicaProbe &M) {
  const ReplicaHeader &H = M.Header;
  if (isRetired(membersAt(S, S.Commit), From, H.Incarnation))
    return DiskVerdict::Retired;
  if (H.LogId != 0 && members(S).LogId != 0 && H.LogId != members(S).LogId)
    return DiskVerdict::OtherLog;
  DiskMark *Mark = ensureMark(S, From, H.Incarnation);
  if (Mark == nullptr)
    return DiskVerdict::Accepted;
  DiskVerdict Verdict = checkStart(*Mark, H.Start);
  if (Verdict != DiskVerdict::Accepted || H.Start == Mark->Start)
    return Verdict;
  bool HadMoreSynced = H.Term < Mark->Term ||
                       (H.Term == Mark->Term && M.LastIndex < Mark->Synced);
  if (HadMoreSynced)
    return DiskVerdict::RolledBack;
  Mark->Start = H.Start;
  S.HardDirty = true;
  return DiskVerdict::Accepted;
}

SeenDisk &ensureSeen(ReplicaState &S, const HostId &Host) {
  for (SeenDisk &Disk : S.Seen) {
    if (Disk.Host == Host)
      return Disk;
  }
  S.Seen.emplace_back();
  S.Seen.back().Host = Host;
  return S.Seen.back();
}

void recordSeenDisk(ReplicaState &S, const HostId &From, const ReplicaHeader &H,
                    bool Empty, TimePoint Now) {
  SeenDisk &Disk = ensureSeen(S, From);
  if (Disk.Incarnation != H.Incarnation)
    Disk.Confirmed = false;
  Disk.Incarnation = H.Incarnation;
  Disk.Start = H.Start;
  Disk.Term = H.Term;
  Disk.Empty = Empty;
  Disk.LogId = H.LogId;
  Disk.SeenAt = Now;
}

ReplicaProbeReply probeReply(ReplicaState &S, const HostId &From,
                             const ReplicaHeader &H, DiskVerdict Verdict) {
  ReplicaProbeReply Reply;
  Reply.Header = header(S);
  Reply.Empty = isEmpty(S);
  Reply.Verdict = Verdict;
  Reply.ProbedIncarnation = H.Incarnation;
  Reply.ProbedStart = H.Start;
  Reply.Idle = !S.HadLeader;
  if (const DiskMark *Mark = findMark(S, From, H.Incarnation))
    Reply.KnownStart = Mark->Start;
  return Reply;
}

const char *describe(DiskVerdict Verdict) {
  switch (Verdict) {
  case DiskVerdict::Accepted:
    return "good";
  case DiskVerdict::Retired:
    return "another disk has taken this disk's place";
  case DiskVerdict::RolledBack:
    return "this disk once held more than it holds now";
  case DiskVerdict::Copied:
    return "a copy of this disk was started elsewhere";
  case DiskVerdict::OtherLog:
    return "this disk holds the log of another site";
  case DiskVerdict::ProbeRequired:
    return "this start has sent no probe yet";
  }
  return "unknown verdict";
}

void refuseDisk(ReplicaState &S, const HostId &From, const ReplicaProbe &M,
                DiskVerdict Verdict, ReplicaEffects &E) {
  DecisionRecord &Record = decide(S, E, "refuse_disk", describe(Verdict));
  Record.add("member", From.Value);
  Record.add("starts", static_cast<std::int64_t>(startCount(M.Header.Start)));
  Record.add("its_term", static_cast<std::int64_t>(M.Header.Term));
  Record.add("its_last", static_cast<std::int64_t>(M.LastIndex));
  const DiskMark *Mark = findMark(S, From, M.Header.Incarnation);
  if (Mark == nullptr)
    return;
  Record.add("known_starts",
             static_cast<std::int64_t>(startCount(Mark->Start)));
  Record.add("known_term", static_cast<std::int64_t>(Mark->Term));
  Record.add("known_synced", static_cast<std::int64_t>(Mark->Synced));
}

/// Whether enough hosts accepted this disk. A voter needs a majority, itself
/// included. A replica that is no voter as far as it knows may not know the
/// current voters, so one acceptance is enough.
bool isDiskConfirmed(const ReplicaState &S) {
  std::size_t Voters = 1;
  std::size_t Acceptances = 0;
  for (const SeenDisk &Disk : S.Seen) {
    const Member *Who = findMember(members(S), Disk.Host);
    Acceptances += Disk.Confirmed ? 1 : 0;
    Voters += Disk.Confirmed && Who != nullptr && !Who->Learner ? 1 : 0;
  }
  return isSelfVoter(S) ? Voters >= majority(members(S)) : Acceptances > 0;
}

/// Whether no voter has had a leader since its start. Then no leader is left
/// that could rely on a vote promise of an earlier start of this replica.
bool areAllVotersIdle(const ReplicaState &S) {
  if (S.HadLeader || !isSelfVoter(S))
    return false;
  for (const Member &Who : members(S).Members) {
    if (Who.Learner || Who.Host == S.Config.Self)
      continue;
    const SeenDisk *Disk = findSeen(S, Who.Host);
    if (Disk == nullptr || Disk->Incarnation != Who.Incarnation || !Disk->Idle)
      return false;
  }
  return true;
}

/// Voids the vote promise of an earlier start once all voters have restarted,
/// so that an election need not wait for the promise to expire.
void releasePromise(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  if (S.PromiseReleased || !S.Admitted || !areAllVotersIdle(S))
    return;
  // A quarter of the timeout is jitter, against split votes.
  constexpr int JitterDivisor = 4;
  S.PromiseReleased = true;
  S.LastContact = TimePoint();
  Duration Jitter = S.Config.ElectionTimeout / JitterDivisor;
  S.ElectionDeadline = std::min(S.ElectionDeadline,
                                Now + between(S.Rng, Duration::zero(), Jitter));
  decide(S, E, "release_promise", "every voter has restarted");
}

/// Whether this replica may form the log: it is the first configured voter by
/// name, and every other one lately reported an empty disk and accepted this
/// one.
bool mayForm(const ReplicaState &S, TimePoint Now) {
  const auto &Hosts = S.Config.FormationVoters;
  if (!isEmpty(S) || S.Role != ReplicaRole::Follower || Hosts.empty() ||
      Hosts.front() != S.Config.Self)
    return false;
  for (const HostId &Host : Hosts) {
    if (Host == S.Config.Self)
      continue;
    const SeenDisk *Disk = findSeen(S, Host);
    if (Disk == nullptr || !Disk->Confirmed || !Disk->Empty ||
        Now > Disk->SeenAt + S.Config.ProbeInterval * FormationIntervals)
      return false;
  }
  return true;
}

} // namespace

const SeenDisk *findSeen(const ReplicaState &S, const HostId &Host) {
  for (const SeenDisk &Disk : S.Seen) {
    if (Disk.Host == Host)
      return &Disk;
  }
  return nullptr;
}

void markDisk(ReplicaState &S, const HostId &Host,
              IncarnationNumber Incarnation, DiskStart Start,
              std::uint64_t Term, std::uint64_t Synced) {
  DiskMark *Mark = ensureMark(S, Host, Incarnation);
  if (Mark == nullptr)
    return;
  if (Mark->Start == 0) {
    Mark->Start = Start;
    S.HardDirty = true;
  }
  // What a start that has not been checked yet has synced must not count
  // against the disk when it is checked.
  if (Start != Mark->Start || Term < Mark->Term)
    return;
  if (Term > Mark->Term)
    Mark->Synced = 0;
  Mark->Term = Term;
  Mark->Synced = std::max(Mark->Synced, Synced);
}

bool checkSender(ReplicaState &S, const HostId &From, const ReplicaHeader &H,
                 ReplicaEffects &E) {
  DiskVerdict Verdict = DiskVerdict::Accepted;
  DiskMark *Mark = ensureMark(S, From, H.Incarnation);
  if (isRetired(membersAt(S, S.Commit), From, H.Incarnation))
    Verdict = DiskVerdict::Retired;
  else if (Mark != nullptr)
    Verdict = checkStart(*Mark, H.Start);
  if (Verdict == DiskVerdict::Accepted && Mark != nullptr &&
      H.Start != Mark->Start)
    Verdict = DiskVerdict::ProbeRequired;
  if (Verdict != DiskVerdict::Accepted) {
    send(E, From, probeReply(S, From, H, Verdict));
    return false;
  }
  return H.LogId == 0 || members(S).LogId == 0 || H.LogId == members(S).LogId;
}

bool wantsProbe(const ReplicaState &S, TimePoint Now) {
  if (!S.Admitted || isEmpty(S))
    return true;
  // The entry that made this host a learner may have been lost with the leader
  // that appended it.
  return !isSelfVoter(S) && Now > S.LastContact + S.Config.ElectionTimeout;
}

namespace {

ReplicaProbe probe(const ReplicaState &S) {
  ReplicaProbe M;
  M.Header = header(S);
  M.Empty = isEmpty(S);
  M.LastIndex = S.Synced;
  return M;
}

} // namespace

void sendProbes(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  S.NextProbe = Now + S.Config.ProbeInterval;
  for (const HostId &Host : probeTargets(S))
    send(E, Host, probe(S));
}

void continueStart(ReplicaState &S, TimePoint Now, ReplicaEffects &E) {
  if (!S.Admitted && isDiskConfirmed(S)) {
    S.Admitted = true;
    resetElectionTimer(S, Now);
    decide(S, E, "admit", "enough hosts accepted the disk");
  }
  releasePromise(S, Now, E);
  if (!mayForm(S, Now))
    return;
  std::uint64_t Term = S.Hard.Term;
  for (const SeenDisk &Disk : S.Seen)
    Term = std::max(Term, Disk.Term);
  startFormation(S, Term + 1, Now, E);
}

void onProbe(ReplicaState &S, const HostId &From, const ReplicaProbe &M,
             TimePoint Now, ReplicaEffects &E) {
  DiskVerdict Verdict = checkProbe(S, From, M);
  if (Verdict == DiskVerdict::Accepted) {
    recordSeenDisk(S, From, M.Header, M.Empty, Now);
    // A voter sends probes only while it is not admitted after a start, and
    // therefore has had no leader since.
    ensureSeen(S, From).Idle = true;
    releasePromise(S, Now, E);
  } else {
    refuseDisk(S, From, M, Verdict, E);
  }
  sendAfter(S, ticketForHard(S), From, probeReply(S, From, M.Header, Verdict),
            E);
}

void onProbeReply(ReplicaState &S, const HostId &From,
                  const ReplicaProbeReply &M, TimePoint Now,
                  ReplicaEffects &E) {
  if (M.ProbedIncarnation != S.Config.Incarnation ||
      M.ProbedStart != S.Config.Start)
    return;
  if (M.Verdict == DiskVerdict::ProbeRequired) {
    send(E, From, probe(S));
    return;
  }
  if (M.Verdict != DiskVerdict::Accepted) {
    halt(S, Code::IdentityMismatch,
         From.Value + " reports that " + describe(M.Verdict), E);
    return;
  }
  recordSeenDisk(S, From, M.Header, M.Empty, Now);
  ensureSeen(S, From).Confirmed = true;
  ensureSeen(S, From).Idle = M.Idle;
  continueStart(S, Now, E);
}

} // namespace pimento::replica

namespace pimento {

void setContacts(ReplicaState &S, std::vector<HostId> Hosts) {
  S.Contacts = std::move(Hosts);
}

} // namespace pimento
