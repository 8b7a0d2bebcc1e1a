#include "document/Spread.h"

#include "document/SpreadParts.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t MaxTrackedStamps = 4; // Limit of SpreadState::Acks.

void send(SpreadOutputs &Out, const HostId &To, Message M) {
  Out.Messages.push_back({To, std::move(M)});
}

/// Whether \p Host recently left a pull unanswered. The connection to or from
/// it may be broken, so that other hosts are preferred.
bool isAvoided(const SpreadState &S, const HostId &Host, TimePoint Now) {
  auto Found = S.UnansweredPulls.find(Host);
  return Found != S.UnansweredPulls.end() &&
         Now < Found->second + S.Config.AvoidTime;
}

/// Returns a random live peer that is not avoided, if one is found in a few
/// draws. Draws from all peers if none is known to be alive; empty if there are
/// no peers.
HostId randomPeer(SpreadState &S, TimePoint Now) {
  const std::vector<HostId> &Peers = S.Alive.empty() ? S.Peers : S.Alive;
  if (Peers.empty())
    return HostId();
  constexpr int Draws = 8; // Draws before an avoided host is accepted.
  for (int Draw = 1; Draw < Draws; ++Draw) {
    const HostId &Peer = Peers[below(S.Rng, Peers.size())];
    if (!isAvoided(S, Peer, Now))
      return Peer;
  }
  return Peers[below(S.Rng, Peers.size())];
}

/// Returns up to \p Count distinct live peers other than \p Except.
std::vector<HostId> randomPeers(SpreadState &S, std::size_t Count,
                                const HostId &Except) {
  std::vector<HostId> Chosen;
  constexpr std::size_t MaxDrawsPerPeer = 4; // There may be few peers.
  std::size_t Draws = MaxDrawsPerPeer * Count;
  while (Chosen.size() < Count && Draws-- > 0 && !S.Alive.empty()) {
    const HostId &Peer = S.Alive[below(S.Rng, S.Alive.size())];
    if (Peer == Except ||
        std::find(Chosen.begin(), Chosen.end(), Peer) != Chosen.end())
      continue;
    Chosen.push_back(Peer);
  }
  return Chosen;
}

void sendNotices(SpreadState &S, const std::vector<HostId> &To,
                 SpreadOutputs &Out) {
  SpreadNotice Notice = {S.Freshness.Newest, S.Freshness.Complete};
  for (const HostId &Peer : To)
    send(Out, Peer, Notice);
}

void startPull(SpreadState &S, const HostId &From, std::uint64_t After,
               bool FullText, TimePoint Now, SpreadOutputs &Out) {
  if (From.empty())
    return;
  PendingPull &P = S.Pull;
  if (After == 0)
    P.Have = S.Freshness.Complete;
  P.Request = S.NextRequest++;
  P.From = From;
  P.SentAt = Now;
  P.After = After;
  P.FullText = FullText;
  SpreadPull Message;
  Message.Request = P.Request;
  Message.Have = P.Have;
  Message.After = After;
  Message.FullText = FullText;
  Message.Reports = wantsReports(S.Freshness, Now);
  send(Out, From, Message);
}

/// Pulls from the hinted host if it still has more than this host. Replaces a
/// pull in flight only if that one went to an avoided host and the hint does
/// not.
void followHint(SpreadState &S, TimePoint Now, SpreadOutputs &Out) {
  if (S.Hint.From.empty())
    return;
  bool PreferHint =
      isAvoided(S, S.Pull.From, Now) && !isAvoided(S, S.Hint.From, Now);
  if (S.Pull.Request != 0 && !PreferHint)
    return;
  SpreadHint Hint = S.Hint;
  S.Hint = SpreadHint();
  bool More =
      S.Freshness.Newest < Hint.Newest || S.Freshness.Complete < Hint.Complete;
  if (More)
    startPull(S, Hint.From, 0, false, Now, Out);
}

AckProgress *findAck(SpreadState &S, const Stamp &Held) {
  for (AckProgress &Ack : S.Acks) {
    if (Ack.Held == Held)
      return &Ack;
  }
  return nullptr;
}

/// Expected depth of a stamp's tree, in which each host notifies three others.
std::uint32_t expectedTreeDepth(const SpreadState &S) {
  std::uint32_t Levels = 2; // Margin for hosts that are reached late.
  for (std::size_t Hosts = S.Config.Hosts.size(); Hosts >= 3; Hosts /= 3)
    ++Levels;
  return Levels;
}

/// Schedules the acknowledgement of the newest stamp. Hosts near the leader
/// wait longer, so that the counts of their subtree go into one message.
/// \p Urgent: the stamp includes a new edit whose operator waits for the
/// answer.
void startAck(SpreadState &S, const HostId &Parent, std::uint32_t Hops,
              bool Urgent, TimePoint Now) {
  AckProgress Ack;
  Ack.Held = S.Freshness.Newest;
  Ack.Parent = Parent;
  Ack.Hops = Hops;
  std::uint32_t Levels = expectedTreeDepth(S);
  std::uint32_t Below = Hops < Levels ? Levels - Hops : 0;
  Ack.Delay = Urgent ? S.Config.AckDelay : S.Config.LazyAckDelay;
  if (!Parent.empty())
    Ack.Due = Now + Ack.Delay * Below + Ack.Delay / 2;
  S.Acks.push_back(std::move(Ack));
  if (S.Acks.size() > MaxTrackedStamps)
    S.Acks.erase(S.Acks.begin());
}

/// Hosts known to hold the stamp in this host's subtree. A host that has not
/// joined does not count itself, since an earlier incarnation of it may have
/// been counted already.
std::uint32_t countHolders(const SpreadState &S, const AckProgress &Ack) {
  std::uint32_t Count = S.Freshness.Joined ? 1 : 0;
  for (const auto &Child : Ack.Below)
    Count += Child.second;
  return Count;
}

void sendAck(SpreadState &S, AckProgress &Ack, TimePoint Now,
             SpreadOutputs &Out) {
  std::uint32_t Count = countHolders(S, Ack);
  Ack.Due = TimePoint::max();
  if (Count == 0)
    return;
  bool Repeat = Count == Ack.Sent;
  Ack.Sent = Count;
  send(Out, Ack.Parent, StampAck{Ack.Held, Count});
  Ack.Delay *= 2;
  if (!Ack.Below.empty() && !Repeat)
    Ack.Due = Now + Ack.Delay;
}

void sendDueAcks(SpreadState &S, TimePoint Now, SpreadOutputs &Out) {
  for (AckProgress &Ack : S.Acks) {
    if (Now >= Ack.Due)
      sendAck(S, Ack, Now, Out);
  }
}

/// Whether the last stamp issued is held by a majority, or none was issued.
bool lastStampHeldByMajority(const SpreadState &S) {
  const FreshnessState &F = S.Freshness;
  return F.Recent.empty() || F.MajorityHeld == F.Recent.back().Content;
}

void issueIfDue(SpreadState &S, TimePoint Now, SpreadOutputs &Out) {
  FreshnessState &F = S.Freshness;
  if (!leads(F, Now))
    return;
  bool Edited = F.Complete > S.StampedRevision && lastStampHeldByMajority(S);
  if (!Edited && Now < S.NextStamp)
    return;
  bool Urgent = F.Complete > S.StampedRevision;
  issueStamp(F, Now);
  S.StampedRevision = F.Complete;
  S.NextStamp = Now + S.Config.StampInterval;
  S.LastStampTime = Now;
  startAck(S, HostId(), 0, Urgent, Now);
  std::uint32_t Count = Urgent ? S.Config.EditFanout : S.Config.Fanout;
  sendNotices(S, randomPeers(S, Count, HostId()), Out);
}

void reportAccepted(SpreadState &S, SpreadOutputs &Out) {
  std::uint64_t Known = S.Freshness.MajorityHeld.Revision;
  if (Known <= S.AcceptedRevision)
    return;
  S.AcceptedRevision = Known;
  Out.Accepted = Known;
}

void onStampAck(SpreadState &S, const HostId &From, const StampAck &A,
                TimePoint Now, SpreadOutputs &Out) {
  AckProgress *Ack = findAck(S, A.Held);
  if (!Ack || A.Hosts > S.Config.Hosts.size())
    return;
  std::uint32_t &Below = Ack->Below[From];
  if (A.Hosts <= Below)
    return;
  Below = A.Hosts;
  if (!Ack->Parent.empty()) {
    Ack->Due = std::min(Ack->Due, Now + Ack->Delay);
    return;
  }
  if (noteHolders(S.Freshness, A.Held, countHolders(S, *Ack)))
    issueIfDue(S, Now, Out);
  reportAccepted(S, Out);
}

void onNotice(SpreadState &S, const HostId &From, const SpreadNotice &N,
              TimePoint Now, SpreadOutputs &Out) {
  bool Preferred = S.Hint.From.empty() || S.Hint.Newest < N.Newest ||
                   S.Hint.Complete < N.Complete ||
                   isAvoided(S, S.Hint.From, Now);
  bool Avoided = !S.Hint.From.empty() && isAvoided(S, From, Now) &&
                 !isAvoided(S, S.Hint.From, Now);
  if (Preferred && !Avoided)
    S.Hint = {From, N.Newest, N.Complete};
  followHint(S, Now, Out);
}

void onPull(SpreadState &S, const HostId &From, const SpreadPull &P,
            TimePoint Now, SpreadOutputs &Out) {
  SpreadReply Reply;
  Reply.Request = P.Request;
  Reply.Newest = S.Freshness.Newest;
  if (Reply.Newest.Term != 0)
    Reply.Age = newestAge(S.Freshness, Now);
  Reply.Complete = S.Freshness.Complete;
  if (P.Reports)
    Reply.Reports.Data = encodeReports(S.Freshness, Now);
  if (const AckProgress *Ack = findAck(S, Reply.Newest))
    Reply.Hops = Ack->Hops;
  fillItems(S, P, Reply);
  send(Out, From, std::move(Reply));
}

/// Applies the documents of a reply and continues the pull if there are further
/// parts or a delta did not apply. Returns whether the pull is complete.
bool applyItems(SpreadState &S, const HostId &From, const SpreadReply &R,
                TimePoint Now, SpreadOutputs &Out) {
  for (const DocumentItem &Item : R.Items) {
    if (applyItem(S, Item, Out))
      continue;
    startPull(S, From, 0, /*FullText=*/true, Now, Out);
    return false;
  }
  if (R.Next != 0) {
    startPull(S, From, R.Next, S.Pull.FullText, Now, Out);
    return false;
  }
  setComplete(S.Freshness, R.Complete);
  return true;
}

void onReply(SpreadState &S, const HostId &From, const SpreadReply &R,
             TimePoint Now, SpreadOutputs &Out) {
  if (S.Pull.Request == 0 || R.Request != S.Pull.Request || From != S.Pull.From)
    return;
  TimePoint SentAt = S.Pull.SentAt;
  S.Pull.Request = 0;
  S.UnansweredPulls.erase(From);
  std::uint64_t CompleteBefore = S.Freshness.Complete;
  std::uint64_t RevisionBefore = S.Freshness.Newest.Revision;
  applyItems(S, From, R, Now, Out);
  bool Newer = adoptStamp(S.Freshness, R.Newest, R.Age, SentAt);
  adoptReports(S.Freshness, R.Newest, R.Reports.Data, SentAt);
  if (Newer) {
    S.LastStampTime = Now;
    bool Urgent = S.Freshness.Newest.Revision > RevisionBefore;
    startAck(S, From, R.Hops + 1, Urgent, Now);
  }
  if (Newer || S.Freshness.Complete > CompleteBefore)
    sendNotices(S, randomPeers(S, S.Config.Fanout, From), Out);
  followHint(S, Now, Out);
}

/// Abandons a pull after PullTimeout and pulls from another host.
void checkPull(SpreadState &S, TimePoint Now, SpreadOutputs &Out) {
  if (S.Pull.Request == 0 || Now < S.Pull.SentAt + S.Config.PullTimeout)
    return;
  S.Pull.Request = 0;
  S.UnansweredPulls[S.Pull.From] = Now;
  followHint(S, Now, Out);
  if (S.Pull.Request == 0)
    startPull(S, randomPeer(S, Now), 0, false, Now, Out);
}

TimePoint idlePullDue(const SpreadState &S) {
  if (S.Freshness.Newest.Revision > S.Freshness.Complete)
    return S.NextIdlePull;  // An edit is known but missing here.
  constexpr int Halves = 3; // One and a half stamp intervals.
  return std::max(S.NextIdlePull,
                  S.LastStampTime + S.Config.StampInterval * Halves / 2);
}

void pullWhenIdle(SpreadState &S, TimePoint Now, SpreadOutputs &Out) {
  if (S.Pull.Request != 0 || Now < idlePullDue(S) || leads(S.Freshness, Now))
    return;
  S.NextIdlePull = Now + between(S.Rng, S.Config.IdlePullInterval * 3 / 4,
                                 S.Config.IdlePullInterval);
  startPull(S, randomPeer(S, Now), 0, false, Now, Out);
}

void recordVerdictChange(SpreadState &S, TimePoint Now, SpreadOutputs &Out) {
  ServeVerdict V = mayServe(S.Freshness, Now);
  if (V.Reason == S.LastReason)
    return;
  S.LastReason = V.Reason;
  DecisionRecord Decision;
  Decision.Kind = "freshness";
  Decision.Reason = toString(V.Reason);
  Decision.add("serve", V.Serve)
      .add("age_ms", V.Age == Duration::max() ? -1 : toMilliseconds(V.Age))
      .add("reports", static_cast<std::int64_t>(V.Reports))
      .add("revision", static_cast<std::int64_t>(S.Freshness.Complete));
  Out.Decisions.push_back(std::move(Decision));
}

} // namespace

SpreadState makeSpread(const SpreadConfig &Config, std::uint64_t Seed,
                       TimePoint Now) {
  SpreadState S;
  S.Config = Config;
  std::sort(S.Config.Hosts.begin(), S.Config.Hosts.end());
  constexpr int PullsInBound = 12;
  constexpr int TimeoutsInBound = 6;
  Duration Bound = Config.Freshness.Bound;
  S.Config.IdlePullInterval =
      std::min(Config.IdlePullInterval, Bound / PullsInBound);
  S.Config.PullTimeout = std::min(Config.PullTimeout, Bound / TimeoutsInBound);
  S.Rng.seed(Seed);
  FreshnessConfig Freshness = Config.Freshness;
  Freshness.Hosts = static_cast<std::uint32_t>(Config.Hosts.size());
  Freshness.Self = hostIndex(S, Config.Self);
  S.Freshness = makeFreshness(Freshness, Now);
  S.LastStampTime = Now - Config.StampInterval * 2; // First pull at once.
  S.NextIdlePull = Now;
  S.NextStamp = Now;
  for (const HostId &Host : S.Config.Hosts) {
    if (Host != Config.Self)
      S.Peers.push_back(Host);
  }
  S.Alive = S.Peers;
  return S;
}

void onTick(SpreadState &S, TimePoint Now, SpreadOutputs &Out) {
  issueIfDue(S, Now, Out);
  reportAccepted(S, Out);
  sendDueAcks(S, Now, Out);
  checkPull(S, Now, Out);
  pullWhenIdle(S, Now, Out);
  tickInForce(S, Now, Out);
  recordVerdictChange(S, Now, Out);
}

TimePoint nextDeadline(const SpreadState &S) {
  TimePoint Next = nextInForceDeadline(S);
  for (const AckProgress &Ack : S.Acks)
    Next = std::min(Next, Ack.Due);
  if (S.Freshness.Term != 0)
    Next = std::min(Next, S.NextStamp);
  if (S.Pull.Request != 0)
    return std::min(Next, S.Pull.SentAt + S.Config.PullTimeout);
  return std::min(Next, idlePullDue(S));
}

bool onMessage(SpreadState &S, const HostId &From, const Message &M,
               TimePoint Now, SpreadOutputs &Out) {
  if (const auto *Notice = std::get_if<SpreadNotice>(&M))
    onNotice(S, From, *Notice, Now, Out);
  else if (const auto *Pull = std::get_if<SpreadPull>(&M))
    onPull(S, From, *Pull, Now, Out);
  else if (const auto *Reply = std::get_if<SpreadReply>(&M))
    onReply(S, From, *Reply, Now, Out);
  else if (const auto *Ack = std::get_if<StampAck>(&M))
    onStampAck(S, From, *Ack, Now, Out);
  else if (const auto *Query = std::get_if<InForceQuery>(&M))
    onInForceQuery(S, From, *Query, Now, Out);
  else if (const auto *Answer = std::get_if<InForceReply>(&M))
    onInForceReply(S, *Answer, Out);
  else
    return false;
  return true;
}

void onStored(SpreadState &S, const Store &From, TimePoint Now,
              SpreadOutputs &Out) {
  if (From.Revision <= S.Freshness.Complete)
    return;
  for (const auto &[Service, History] : From.Services) {
    for (const StoredVersion &V : History.Versions) {
      bool Last = &V == &History.Versions.back();
      if (V.Text.empty() && !Last)
        continue; // Text dropped from the history.
      if (V.Revision > S.Freshness.Complete)
        installDocument(S, Service, V.Number, V.Revision, V.Text, {}, Out);
    }
  }
  setComplete(S.Freshness, From.Revision);
  issueIfDue(S, Now, Out);
}

void onLeadership(SpreadState &S, std::uint64_t Term, TimePoint LeaseUntil,
                  TimePoint Now, SpreadOutputs &Out) {
  bool NewTerm = Term != S.Freshness.Term;
  setLeader(S.Freshness, Term, LeaseUntil);
  if (!NewTerm || Term == 0)
    return;
  S.NextStamp = Now;
  S.StampedRevision = 0;
  S.AcceptedRevision = 0;
  issueIfDue(S, Now, Out);
}

void onHosts(SpreadState &S, const std::vector<HostId> &Alive) {
  S.Alive.clear();
  for (const HostId &Host : Alive) {
    if (Host != S.Config.Self)
      S.Alive.push_back(Host);
  }
}

const HeldDocument *documentInForce(const SpreadState &S,
                                    const ServiceId &Service) {
  auto Found = S.Documents.find(Service);
  return Found == S.Documents.end() ? nullptr : &Found->second;
}

} // namespace pimento
