#include <boost/test/unit_test.hpp>

#include "calls/ClaimLeader.h"

#include "base/Random.h"

using namespace pimento;
using namespace pimento::calls;

namespace {

using Change = ClaimChange::Kind;

ClaimKey key(const std::string &Key, const std::string &Account = "a") {
  return {ServiceId("s"), AccountId(Account), Key};
}

ClaimCommand command(ClaimCommandKind Kind, std::uint64_t Request,
                     const std::string &Key) {
  ClaimCommand C;
  C.Kind = Kind;
  C.Request = {1, Request};
  C.Key = key(Key);
  C.Host = HostId("h1");
  C.Incarnation = 1;
  C.BodySha256 = "digest";
  C.TimeLeft = seconds(60);
  C.Retention = hours(1);
  return C;
}

ClaimCommand finish(std::uint64_t Request, const std::string &Key,
                    ClaimOutcome End) {
  ClaimCommand C = command(ClaimCommandKind::Finish, Request, Key);
  C.End = End;
  C.Status = 200;
  C.Body.Data = "answer " + Key;
  return C;
}

/// Applies one batch and returns the kinds of the changes.
std::vector<Change> apply(ClaimsState &State, std::vector<ClaimCommand> List,
                          Duration Clock = Duration::zero()) {
  std::vector<Change> Kinds;
  for (const ClaimChange &C :
       applyClaims(State, encodeBatch({Clock, std::move(List)})))
    Kinds.push_back(C.Outcome);
  return Kinds;
}

std::vector<Change> claim(ClaimsState &State, std::uint64_t Request,
                          const std::string &Key,
                          Duration Clock = Duration::zero()) {
  return apply(State, {command(ClaimCommandKind::Claim, Request, Key)}, Clock);
}

bool is(const std::vector<Change> &Found, const std::vector<Change> &Expected) {
  return Found == Expected;
}

} // namespace

BOOST_AUTO_TEST_CASE(ClaimsGetTheirTurnInOrder) {
  ClaimsState S;
  BOOST_TEST(is(claim(S, 1, "k1"), {Change::Turn}));
  BOOST_TEST(is(claim(S, 2, "k2"), {Change::Queued}));
  BOOST_TEST(is(claim(S, 3, "k1"), {Change::Held}));
  BOOST_TEST(is(apply(S, {finish(1, "k1", ClaimOutcome::Answered)}),
                {Change::Ended, Change::Turn}));
  BOOST_TEST(S.Records.at(key("k2")).Owner.Lo == 2U);
  BOOST_TEST((S.Records.at(key("k2")).Phase == ClaimPhase::Turn));
}

BOOST_AUTO_TEST_CASE(KeysAreScopedToTheAccount) {
  ClaimsState S;
  claim(S, 1, "k1");
  ClaimCommand Other = command(ClaimCommandKind::Claim, 2, "k1");
  Other.Key = key("k1", "b");
  BOOST_TEST(is(apply(S, {Other}), {Change::Turn}));
}

BOOST_AUTO_TEST_CASE(SameKeyWithAnotherBodyIsRefused) {
  ClaimsState S;
  claim(S, 1, "k1");
  ClaimCommand Other = command(ClaimCommandKind::Claim, 2, "k1");
  Other.BodySha256 = "another";
  BOOST_TEST(is(apply(S, {Other}), {Change::Reused}));
  apply(S, {finish(1, "k1", ClaimOutcome::Answered)});
  BOOST_TEST(is(apply(S, {Other}), {Change::Reused}));
}

BOOST_AUTO_TEST_CASE(ReleasedKeyCanBeClaimedByOtherRequestsOnly) {
  ClaimsState S;
  claim(S, 1, "k1");
  apply(S, {finish(1, "k1", ClaimOutcome::NotRun)});
  // A late repeat of the released request doesn't claim the key again.
  BOOST_TEST(is(claim(S, 1, "k1"), {Change::Ended}));
  BOOST_TEST(is(claim(S, 2, "k1"), {Change::Turn}));
}

BOOST_AUTO_TEST_CASE(ReleaseBeforeItsClaimBlocksTheLateClaim) {
  ClaimsState S;
  apply(S, {finish(1, "k1", ClaimOutcome::NotRun)});
  BOOST_TEST(is(claim(S, 1, "k1"), {Change::Ended}));
  BOOST_TEST(S.Queues.empty());
}

BOOST_AUTO_TEST_CASE(OwnerMayReplaceUnknownOutcomeButNotAnAnswer) {
  ClaimsState S;
  claim(S, 1, "k1");
  apply(S, {command(ClaimCommandKind::Lost, 1, "k1")});
  BOOST_TEST((S.Records.at(key("k1")).Phase == ClaimPhase::Unknown));
  // Another request can't change the outcome, but the owner can.
  BOOST_TEST(
      is(apply(S, {finish(2, "k1", ClaimOutcome::NotRun)}), {Change::Ignored}));
  BOOST_TEST(
      is(apply(S, {finish(1, "k1", ClaimOutcome::Answered)}), {Change::Ended}));
  // A recorded answer is final.
  BOOST_TEST(
      is(apply(S, {finish(1, "k1", ClaimOutcome::NotRun)}), {Change::Ignored}));
  BOOST_TEST((S.Records.at(key("k1")).Phase == ClaimPhase::Answered));
}

BOOST_AUTO_TEST_CASE(LostClaimWithoutTurnIsReleased) {
  ClaimsState S;
  claim(S, 1, "k1");
  claim(S, 2, "k2");
  apply(S, {command(ClaimCommandKind::Lost, 2, "k2"),
            command(ClaimCommandKind::Lost, 1, "k1")});
  BOOST_TEST((S.Records.at(key("k2")).Phase == ClaimPhase::Released));
  BOOST_TEST((S.Records.at(key("k1")).Phase == ClaimPhase::Unknown));
  BOOST_TEST(S.Queues.empty());
}

BOOST_AUTO_TEST_CASE(KeyPastItsRetentionIsRefusedForever) {
  ClaimsState S;
  claim(S, 1, "k1");
  apply(S, {finish(1, "k1", ClaimOutcome::Answered)});
  BOOST_TEST(is(claim(S, 2, "k1", minutes(59)), {Change::Held}));
  BOOST_TEST(is(claim(S, 3, "k1", minutes(61)), {Change::Expired}));
  BOOST_TEST(S.Records.empty());
  BOOST_TEST(S.AnswerBytes == 0U);
  BOOST_TEST(is(claim(S, 4, "k1", hours(50000)), {Change::Expired}));
}

BOOST_AUTO_TEST_CASE(ExpiredRecordIsKeptWithoutRoomForItsDigest) {
  ClaimsState S;
  S.Limits.UsedKeys = 3;
  for (std::uint64_t I = 1; I <= 3; ++I) {
    std::string Name = "k" + std::to_string(I);
    BOOST_TEST(is(claim(S, I, Name, hours(2 * I)), {Change::Turn}));
    apply(S, {finish(I, Name, ClaimOutcome::Answered)}, hours(2 * I));
  }
  // New keys are refused, and used keys still can't run again.
  BOOST_TEST(is(claim(S, 9, "new", hours(10)), {Change::Full}));
  for (const char *Old : {"k1", "k2", "k3"})
    BOOST_TEST(is(claim(S, 10, Old, hours(10)), {Change::Expired}));
}

BOOST_AUTO_TEST_CASE(RecordsQueuesAndAnswersAreBounded) {
  ClaimsState S;
  S.Limits.Records = 3;
  S.Limits.QueueLength = 2;
  S.Limits.AnswerBytes = 10;
  claim(S, 1, "k1");
  claim(S, 2, "k2");
  // The queue of the account is full.
  BOOST_TEST(is(claim(S, 3, "k3"), {Change::Full}));
  apply(S, {finish(1, "k1", ClaimOutcome::Answered)});
  claim(S, 3, "k3");
  // The limit of records is reached.
  BOOST_TEST(is(claim(S, 4, "k4"), {Change::Full}));
  BOOST_TEST(S.AnswerBytes == 9U);
  apply(S, {finish(2, "k2", ClaimOutcome::Answered)});
  BOOST_TEST(S.AnswerBytes == 9U);
  BOOST_TEST(S.Records.at(key("k2")).Truncated);
}

BOOST_AUTO_TEST_CASE(SnapshotRoundTripKeepsTheState) {
  Random Rng(5);
  ClaimsState S;
  for (std::uint64_t I = 0; I < 300; ++I) {
    std::string Name = "k" + std::to_string(below(Rng, 40));
    auto Kind = static_cast<ClaimOutcome>(below(Rng, 3));
    Duration Clock = minutes(static_cast<std::int64_t>(I));
    claim(S, I, Name, Clock);
    if (I % 2 == 0)
      apply(S, {finish(below(Rng, I + 1), Name, Kind)}, Clock);
    Blob Bytes = encodeClaims(S);
    ClaimsState Copy = decodeClaims(Bytes, S.Limits).value();
    BOOST_REQUIRE(encodeClaims(Copy) == Bytes);
    BOOST_REQUIRE((Copy.Expiries == S.Expiries));
    BOOST_REQUIRE(Copy.AnswerBytes == S.AnswerBytes);
    S = std::move(Copy); // Continue from the decoded copy.
  }
}

BOOST_AUTO_TEST_CASE(CorruptedEntriesAndSnapshotsAreRefused) {
  Random Rng(6);
  ClaimsState S;
  claim(S, 1, "k1");
  claim(S, 2, "k2");
  Blob Snapshot = encodeClaims(S);
  Blob Entry =
      encodeBatch({seconds(1), {command(ClaimCommandKind::Claim, 3, "k3")}});
  std::size_t Refused = 0;
  for (int Round = 0; Round < 2000; ++Round) {
    Blob Corrupted = Round % 2 == 0 ? Snapshot : Entry;
    Corrupted.Data[below(Rng, Corrupted.Data.size())] ^=
        static_cast<char>(1 + below(Rng, 255));
    if (Round % 3 == 0)
      Corrupted.Data.resize(below(Rng, Corrupted.Data.size()));
    Failure Why;
    ClaimsState Read = valueOr<ClaimsState>(
        [&] { return decodeClaims(Corrupted, ClaimLimits()); }, ClaimsState(),
        Why);
    Refused += Why.Detail.empty() ? 0 : 1;
    ClaimsState Copy = S;
    applyClaims(Copy, Corrupted);
    // Invariants hold even after a corrupted entry that could be decoded.
    for (const auto &[Name, Keys] : Copy.Queues)
      BOOST_REQUIRE(!Keys.empty());
  }
  BOOST_TEST(Refused > 500U);
}

BOOST_AUTO_TEST_CASE(CallsOfOneAccountMapToOnePartition) {
  std::uint32_t Seen = 0;
  for (int I = 0; I < 64; ++I) {
    AccountId Account("a" + std::to_string(I));
    std::uint32_t P = claimPartition(ServiceId("s"), Account, 8);
    BOOST_TEST(P < 8U);
    BOOST_TEST(claimPartition(ServiceId("s"), Account, 8) == P);
    Seen |= 1U << P;
  }
  BOOST_TEST(Seen == 255U);
}

//===----------------------------------------------------------------------===//
// The leader
//===----------------------------------------------------------------------===//

namespace {

/// A ClaimLeader with a log that commits only in commitOne() and commit().
struct LeaderRig {
  ClaimsState Applied;
  ClaimLeader Leader;
  ClaimEffects Out;
  TimePoint Now = TimePoint(hours(1));
  std::deque<ProposeClaims> Log;
  std::vector<ClaimReply> Replies; // Replies since the last input.
  std::size_t Acks = 0;

  LeaderRig() { becomeLeader(Leader, Applied, Now); }

  void collectEffects() {
    Replies.clear();
    Acks = 0;
    for (ClaimEffect &E : Out.List) {
      if (auto *P = std::get_if<ProposeClaims>(&E))
        Log.push_back(std::move(*P));
      else if (auto *R = std::get_if<SendClaimReply>(&E))
        Replies.push_back(std::move(R->Content));
      else
        ++Acks;
    }
    Out = ClaimEffects();
  }
  ClaimRequest sendRequest(std::uint64_t Request, const std::string &Key,
                           std::uint64_t Sequence = 1,
                           IncarnationNumber Incarnation = 1) {
    ClaimRequest R;
    R.Request = {1, Request};
    R.Key = key(Key);
    R.BodySha256 = "digest";
    R.Incarnation = Incarnation;
    R.TimeLeft = seconds(30);
    R.Retention = hours(1);
    R.Sequence = Sequence;
    onClaimRequest(Leader, Applied, HostId("h1"), R, Now, Out);
    collectEffects();
    return R;
  }
  void end(std::uint64_t Request, const std::string &Key, ClaimOutcome End) {
    ClaimResult R;
    R.Request = {1, Request};
    R.Key = key(Key);
    R.End = End;
    R.Status = 200;
    onClaimResult(Leader, Applied, HostId("h1"), R, Now, Out);
    collectEffects();
  }
  /// Commits and applies the oldest entry.
  void commitOne() {
    ProposeClaims P = std::move(Log.front());
    Log.pop_front();
    std::vector<ClaimChange> Changes = applyClaims(Applied, P.Entry);
    onClaimsApplied(Leader, Applied, P.Ticket, Changes, Now, Out);
    collectEffects();
  }
  /// Commits and applies all proposed entries; keeps the replies to all.
  void commit() {
    std::vector<ClaimReply> All;
    std::size_t AllAcks = 0;
    while (!Log.empty()) {
      commitOne();
      All.insert(All.end(), Replies.begin(), Replies.end());
      AllAcks += Acks;
    }
    Replies = std::move(All);
    Acks = AllAcks;
  }
  void pass(Duration Time) {
    Now += Time;
    tickClaims(Leader, Applied, Now, Out);
    collectEffects();
  }
  ClaimState only() const {
    return Replies.size() == 1 ? Replies[0].State : ClaimState::Refused;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(SendPermitRequiresACommit) {
  LeaderRig R;
  R.sendRequest(1, "k1");
  BOOST_TEST(R.Replies.empty());
  R.commit();
  BOOST_TEST((R.only() == ClaimState::Granted));
  BOOST_TEST(R.Replies[0].Sequence == 1U);
  // A repeated request gets the same permit, not a new lease.
  R.Now += milliseconds(500);
  R.sendRequest(1, "k1", 2);
  BOOST_TEST((R.only() == ClaimState::Granted));
  BOOST_TEST(R.Replies[0].Sequence == 1U);
  // After the lease a new permit requires another log entry.
  R.Now += seconds(2);
  R.sendRequest(1, "k1", 3);
  BOOST_TEST(R.Replies.empty());
  BOOST_TEST(R.Log.size() == 1U);
  R.commit();
  BOOST_TEST(R.Replies[0].Sequence == 3U);
}

BOOST_AUTO_TEST_CASE(LateCommitGrantsNoSendPermit) {
  LeaderRig R;
  R.sendRequest(1, "k1");
  // The leader was frozen, and a repeat arrives before the commit is applied.
  // A later leader may have passed the turn on in the meantime, so only an
  // entry that is proposed from now on may lead to a permit.
  R.Now += seconds(5);
  R.sendRequest(1, "k1", 2);
  R.commitOne();
  BOOST_TEST(R.Replies.empty());
  R.commit();
  BOOST_TEST((R.only() == ClaimState::Granted));
  BOOST_TEST(R.Replies[0].Sequence == 2U);
}

BOOST_AUTO_TEST_CASE(ResentRequestsGetTheSameAnswer) {
  LeaderRig R;
  R.sendRequest(1, "k1");
  R.commit();
  R.sendRequest(2, "k1");
  BOOST_TEST((R.only() == ClaimState::Waiting));
  BOOST_TEST(R.Replies[0].Joined);
  R.end(1, "k1", ClaimOutcome::Answered);
  R.commit();
  BOOST_TEST((R.only() == ClaimState::Recorded));
  BOOST_TEST(R.Acks == 1U);
  R.sendRequest(3, "k1");
  BOOST_TEST((R.only() == ClaimState::Recorded));
}

BOOST_AUTO_TEST_CASE(ResentRequestClaimsAReleasedKey) {
  LeaderRig R;
  R.sendRequest(1, "k1");
  R.commit();
  R.sendRequest(2, "k1");
  R.end(1, "k1", ClaimOutcome::NotRun);
  R.commit();
  BOOST_TEST((R.only() == ClaimState::Granted));
  BOOST_TEST(R.Replies[0].Request.Lo == 2U);
}

BOOST_AUTO_TEST_CASE(TurnOfADeadHostBecomesUnknownAfterItsLease) {
  LeaderRig R;
  R.sendRequest(1, "k1");
  R.commit();
  R.sendRequest(2, "k2");
  R.commit();
  onHostIncarnation(R.Leader, HostId("h1"), 1, /*Dead=*/true);
  R.pass(milliseconds(1900));
  // The waiting call was never sent, so its claim is released at once.
  R.commit();
  BOOST_TEST((R.Applied.Records.at(key("k2")).Phase == ClaimPhase::Released));
  BOOST_TEST((R.Applied.Records.at(key("k1")).Phase == ClaimPhase::Turn));
  R.pass(milliseconds(600));
  R.commit();
  BOOST_TEST((R.Applied.Records.at(key("k1")).Phase == ClaimPhase::Unknown));
}

BOOST_AUTO_TEST_CASE(NewLeaderWaitsForTheLeaseBeforeEndingClaims) {
  LeaderRig R;
  R.sendRequest(1, "k1");
  R.commit();
  R.Now += seconds(1);
  becomeLeader(R.Leader, R.Applied, R.Now);
  // The entry host restarted.
  onHostIncarnation(R.Leader, HostId("h1"), 2, /*Dead=*/false);
  R.pass(milliseconds(1900));
  BOOST_TEST(R.Log.empty());
  R.pass(milliseconds(600));
  R.commit();
  BOOST_TEST((R.Applied.Records.at(key("k1")).Phase == ClaimPhase::Unknown));
  // Requests of the host's earlier incarnation are ignored.
  R.sendRequest(1, "k1", 9, 1);
  BOOST_TEST(R.Replies.empty());
}

BOOST_AUTO_TEST_CASE(SilentOwnerIsLostOnlyPastItsDeadline) {
  LeaderRig R;
  R.sendRequest(1, "k1");
  R.commit();
  for (int I = 0; I < 60; ++I)
    R.pass(milliseconds(500));
  BOOST_TEST(R.Log.empty());
  for (int I = 0; I < 22; ++I)
    R.pass(milliseconds(500));
  R.commit();
  BOOST_TEST((R.Applied.Records.at(key("k1")).Phase == ClaimPhase::Unknown));
}

BOOST_AUTO_TEST_CASE(CommandsAreBatchedWhileEntriesAreInFlight) {
  LeaderRig R;
  for (std::uint64_t I = 0; I < 600; ++I) {
    ClaimRequest Sent = R.sendRequest(I + 1, "k" + std::to_string(I));
    BOOST_TEST(Sent.Sequence == 1U);
  }
  BOOST_TEST(R.Log.size() == 2U);
  std::size_t Entries = 0;
  while (!R.Log.empty()) {
    ++Entries;
    R.commitOne();
  }
  BOOST_TEST(R.Applied.Records.size() == 600U);
  BOOST_TEST(Entries == 5U); // Entries of 1, 1, 256, 256 and 86 commands.
}

BOOST_AUTO_TEST_CASE(IdleLeaderAdvancesTheClock) {
  LeaderRig R;
  R.sendRequest(1, "k1");
  R.commit();
  R.end(1, "k1", ClaimOutcome::Answered);
  R.commit();
  for (int I = 0; I < 400; ++I) {
    R.pass(seconds(10));
    R.commit();
  }
  BOOST_TEST(R.Applied.Records.empty());
  R.sendRequest(2, "k1");
  BOOST_TEST((R.only() == ClaimState::Expired));
}
