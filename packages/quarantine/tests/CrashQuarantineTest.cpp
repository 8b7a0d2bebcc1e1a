#include <boost/test/unit_test.hpp>

#include "quarantine/CrashQuarantine.h"

#include <algorithm>

using namespace pimento;

namespace {

const TimePoint Start = TimePoint(seconds(1000));
constexpr PartId Common{1};
constexpr PartId Bad{0xbad};

struct Judge {
  CrashQuarantine S;
  TimePoint Now = Start;
  std::uint64_t NextEngine = 1;
  std::uint64_t NextRequest = 1;

  CrashedRequest request(const char *Account, std::vector<PartId> Parts) {
    return {AccountId(Account), RequestDigest{NextRequest++, 1},
            std::move(Parts)};
  }
  /// An engine crashes with these requests; time passes and is judged.
  void crash(std::vector<CrashedRequest> Requests,
             Duration After = milliseconds(400)) {
    ServerCrash C;
    C.Server = BackendId("e" + std::to_string(NextEngine++));
    C.Requests = std::move(Requests);
    addCrash(S, C, Now);
    pass(After);
  }
  void pass(Duration Time) {
    for (TimePoint End = Now + Time; Now < End;) {
      judgeCrashes(S, Now);
      Now += std::min<Duration>(End - Now, milliseconds(50));
    }
  }
  void answer(const char *Account, PartId Part) {
    addClearance(S, {suspectOf(AccountId(Account), Part), {}, {}}, Now);
  }
  /// So many answers, as entry hosts report them.
  void answers(const char *Account, PartId Part, std::uint64_t Count) {
    addClearance(S, {suspectOf(AccountId(Account), Part), {}, Count}, Now);
  }
  /// A bad request ends an engine beside a popular one.
  void crashOfBad() {
    crash({request("a", {Common, Bad, PartId{NextRequest + 100}}),
           request("a", {Common, PartId{NextRequest + 100}})});
  }
  void answer(const CrashedRequest &R) {
    addClearance(S, {suspectOf(R.Account, R.Request), {}, {}}, Now);
  }
  bool refuses(const CrashedRequest &R) const {
    return findQuarantine(S, R.Account, R.Request, {}).Entry != nullptr;
  }
  bool refuses(const char *Account, PartId Part) const {
    return findQuarantine(S, AccountId(Account), {}, {Part}).Entry != nullptr;
  }
};

} // namespace

/// Guards against sound requests that pay for a bad part: they share its
/// crashes and its other parts.
BOOST_AUTO_TEST_CASE(OnlyThePartThatAllCrashesShareIsQuarantined) {
  Judge J;
  J.answer("a", Common);
  J.answer("b", PartId{7});
  for (std::uint64_t I = 0; I < 3; ++I)
    J.crash({J.request("a", {Common, Bad, PartId{100 + I}}),
             J.request("a", {Common, PartId{200 + I}}),
             J.request("b", {PartId{7}, PartId{300 + I % 2}})});
  J.pass(seconds(1));
  BOOST_TEST(J.refuses("a", Bad));
  BOOST_TEST(activeQuarantines(J.S) == 1U);
}

/// Guards against crashes for a common reason, such as a loss of power, that
/// accuse the parts of all requests then running.
BOOST_AUTO_TEST_CASE(EnginesThatEndTogetherCountOnce) {
  Judge J;
  for (int I = 0; I < 20; ++I)
    J.crash({J.request("a", {Common, PartId{50}})}, milliseconds(2));
  J.pass(seconds(2));
  BOOST_TEST(activeQuarantines(J.S) == 0U);
}

/// Guards against a popular part that is accused since engines end by
/// themselves every now and then: its complete answers clear it.
BOOST_AUTO_TEST_CASE(CompleteAnswersClearAPart) {
  Judge J;
  for (int I = 0; I < 50; ++I) {
    J.crash({J.request("a", {Common, PartId{100U + I}})}, seconds(2));
    J.answer("a", Common);
  }
  BOOST_TEST(activeQuarantines(J.S) == 0U);
}

/// Guards against parts that are accused by one request alone, which is sent
/// again and again: the request itself is refused, and others with its parts
/// are not.
BOOST_AUTO_TEST_CASE(OneRequestAloneAccusesNoneOfItsParts) {
  Judge J;
  CrashedRequest Bad = J.request("a", {PartId{5}, PartId{6}});
  for (int I = 0; I < 6; ++I)
    J.crash({Bad, J.request("b", {PartId{60U + I}})});
  BOOST_TEST(J.refuses(Bad));
  BOOST_TEST(!J.refuses("a", PartId{5}));
  BOOST_TEST(!J.refuses("a", PartId{6}));
  BOOST_TEST(activeQuarantines(J.S) == 1U);
}

/// Guards against a request that ends servers and is taken for a new one at
/// each repeat: the third crash suffices, also where the request is sent at
/// once to the next server, which ends within the time of a coincidence.
BOOST_AUTO_TEST_CASE(RequestIsQuarantinedAfterItsThirdCrash) {
  for (Duration Gap : {Duration(milliseconds(30)), Duration(seconds(2))}) {
    Judge J;
    CrashedRequest Bad = J.request("a", {});
    Bad.RanFor = milliseconds(25);
    for (int I = 0; I < 3; ++I) {
      BOOST_TEST(!J.refuses(Bad));
      J.crash({Bad, J.request("b", {})}, Gap);
    }
    J.pass(seconds(1));
    BOOST_TEST(J.refuses(Bad));
    BOOST_TEST(activeQuarantines(J.S) == 1U);
    CrashedRequest OfOther = Bad;
    OfOther.Account = AccountId("b");
    BOOST_TEST(!J.refuses(OfOther));
  }
}

/// Guards against a request that is accused since many servers ended at once,
/// or since it was cut off by several crashes that another request explains.
BOOST_AUTO_TEST_CASE(PopularRequestIsNotAccusedWithTheBadOne) {
  Judge J;
  CrashedRequest Popular = J.request("a", {});
  Popular.RanFor = seconds(1);
  for (int I = 0; I < 20; ++I)
    J.crash({Popular}, milliseconds(2));
  J.pass(seconds(1));
  BOOST_TEST(activeQuarantines(J.S) == 0U);
  J.answer(Popular);
  CrashedRequest Bad = J.request("a", {});
  for (int I = 0; I < 4; ++I)
    J.crash({Popular, Bad}, milliseconds(300));
  J.pass(seconds(1));
  BOOST_TEST(J.refuses(Bad));
  BOOST_TEST(!J.refuses(Popular));
}

/// Guards against a request that stays accused after a complete answer.
BOOST_AUTO_TEST_CASE(CompleteAnswersClearARequest) {
  Judge J;
  CrashedRequest Sound = J.request("a", {});
  for (int I = 0; I < 50; ++I) {
    J.crash({Sound}, seconds(2));
    if (I % 2 == 1)
      J.answer(Sound);
  }
  BOOST_TEST(activeQuarantines(J.S) == 0U);
}

/// Guards against a bad part that is never found, since each request with it is
/// put into quarantine before.
BOOST_AUTO_TEST_CASE(PartIsFoundThoughItsRequestsAreQuarantined) {
  Judge J;
  J.answer("a", Common);
  for (std::uint64_t I = 0; I < 3; ++I) {
    CrashedRequest R = J.request("a", {Common, Bad, PartId{100 + I}});
    for (int Repeat = 0; Repeat < 4; ++Repeat)
      J.crash({R});
    J.pass(seconds(1));
    BOOST_TEST((J.refuses(R) || J.refuses("a", Bad)));
    J.answer("a", Common);
  }
  BOOST_TEST(J.refuses("a", Bad));
  BOOST_TEST(!J.refuses("a", Common));
}

/// Guards against requests of many kinds that are bad at a time.
BOOST_AUTO_TEST_CASE(SeveralBadRequestsAreAllQuarantined) {
  Judge J;
  std::vector<CrashedRequest> Bad = {J.request("a", {}), J.request("a", {}),
                                     J.request("a", {}), J.request("a", {})};
  for (int I = 0; I < 12; ++I)
    J.crash({Bad[I % 4], J.request("b", {})}, milliseconds(150));
  J.pass(seconds(1));
  for (const CrashedRequest &R : Bad)
    BOOST_TEST(J.refuses(R));
  BOOST_TEST(activeQuarantines(J.S) == 4U);
}

/// Guards against memory that grows with the number of quarantines: the oldest
/// are forgotten first.
BOOST_AUTO_TEST_CASE(OldestQuarantinesAreForgotten) {
  Judge J;
  CrashedRequest First;
  CrashedRequest Last;
  for (std::size_t I = 0; I < MaxQuarantined + 20; ++I) {
    Last = J.request("a", {});
    if (I == 0)
      First = Last;
    for (int Crash = 0; Crash < 3; ++Crash)
      J.crash({Last}, milliseconds(300));
    J.pass(seconds(1));
  }
  BOOST_TEST(J.S.Entries.size() == MaxQuarantined);
  BOOST_TEST(J.refuses(Last));
  BOOST_TEST(!J.refuses(First));
  BOOST_TEST(J.S.Crashes.size() <= MaxCrashes);
}

BOOST_AUTO_TEST_CASE(TwoBadPartsAtOnceAreBothQuarantined) {
  Judge J;
  J.answer("a", Common);
  for (std::uint64_t I = 0; I < 6; ++I)
    J.crash({J.request("a", {Common, PartId{0xbad + I % 2}, PartId{100 + I}})});
  J.pass(seconds(1));
  BOOST_TEST(J.refuses("a", PartId{0xbad}));
  BOOST_TEST(J.refuses("a", PartId{0xbae}));
  BOOST_TEST(!J.refuses("a", Common));
}

/// Guards against a part that always accompanies the bad one before anything
/// was answered: both are accused alike, and the sound one is released by its
/// first complete answer.
BOOST_AUTO_TEST_CASE(SoundPartIsReleasedByItsFirstAnswer) {
  Judge J;
  for (std::uint64_t I = 0; I < 6; ++I)
    J.crash({J.request("a", {Common, Bad, PartId{100 + I}})});
  J.pass(seconds(1));
  BOOST_TEST(J.refuses("a", Bad));
  J.pass(seconds(1));
  J.answer("a", Common);
  BOOST_TEST(!J.refuses("a", Common));
  BOOST_TEST(J.refuses("a", Bad));
}

/// Guards against a popular part that was quarantined in place of the bad one
/// before anything was answered, since more requests with it had crashed.
BOOST_AUTO_TEST_CASE(PopularPartDoesNotHideTheBadOne) {
  Judge J;
  CrashedRequest Culprit;
  for (std::uint64_t I = 0; I < 6; ++I) {
    if (I % 2 == 0) // Each bad request is sent to two engines.
      Culprit = J.request("a", {Common, Bad, PartId{100 + I}});
    J.crash({Culprit, J.request("a", {Common, PartId{200 + I}}),
             J.request("a", {Common, PartId{300 + I}})});
  }
  J.pass(seconds(2));
  BOOST_TEST(J.refuses("a", Bad));
  J.answer("a", Common);
  BOOST_TEST(!J.refuses("a", Common));
  BOOST_TEST(J.refuses("a", Bad));
}

/// Guards against a judgement before the report with the culprit has arrived:
/// the host that sent it hears of the crash later than another one.
BOOST_AUTO_TEST_CASE(LateReportOfACrashIsAwaited) {
  Judge J;
  for (std::uint64_t I = 0; I < 6; ++I) {
    CrashedRequest Culprit = J.request("a", {Common, Bad, PartId{100 + I}});
    ServerCrash C;
    C.Server = BackendId("e" + std::to_string(I));
    C.Requests = {J.request("a", {Common, PartId{200 + I}})};
    addCrash(J.S, C, J.Now);
    J.pass(milliseconds(400));
    C.Requests = {Culprit};
    C.Age = milliseconds(400);
    addCrash(J.S, C, J.Now);
    J.pass(milliseconds(100));
  }
  J.pass(seconds(1));
  BOOST_TEST(J.refuses("a", Bad));
}

/// Guards against an account that has the part of another one quarantined by
/// naming it in requests that crash engines for another reason.
BOOST_AUTO_TEST_CASE(AccountCannotHaveAnothersPartQuarantined) {
  Judge J;
  for (std::uint64_t I = 0; I < 20; ++I)
    J.crash({J.request("attacker", {PartId{77}, PartId{100 + I}})});
  BOOST_TEST(J.refuses("attacker", PartId{77}));
  BOOST_TEST(!J.refuses("owner", PartId{77}));
}

BOOST_AUTO_TEST_CASE(PartThatCrashesForSeveralAccountsIsQuarantinedForAll) {
  Judge J;
  J.answer("x", Common);
  for (const char *Account : {"a", "b", "c"})
    J.crash({J.request(Account, {Bad, PartId{J.NextRequest + 100}})});
  J.pass(seconds(1));
  BOOST_TEST(J.refuses("d", Bad));
  // One account first, others later.
  Judge K;
  for (int I = 0; I < 3; ++I)
    K.crash({K.request("a", {Bad, PartId{K.NextRequest + 100}})});
  K.pass(seconds(1));
  BOOST_TEST(K.refuses("a", Bad));
  BOOST_TEST(!K.refuses("d", Bad));
  for (const char *Account : {"b", "c"})
    K.crash({K.request(Account, {Bad, PartId{K.NextRequest + 100}})});
  K.pass(seconds(1));
  BOOST_TEST(K.refuses("d", Bad));
  BOOST_TEST(activeQuarantines(K.S) == 1U);
}

/// The reports of several hosts about one crash are one crash, in any order and
/// any number.
BOOST_AUTO_TEST_CASE(RepeatedReportsCountOnce) {
  Judge J;
  ServerCrash C;
  C.Server = BackendId("e");
  C.Requests = {J.request("a", {Bad, PartId{100}})};
  for (int I = 0; I < 10; ++I) {
    addCrash(J.S, C, J.Now);
    J.pass(milliseconds(500));
  }
  BOOST_TEST(J.S.Crashes.size() == 1U);
  BOOST_TEST(activeQuarantines(J.S) == 0U);
}

BOOST_AUTO_TEST_CASE(TrialsAreFewAndAnAnswerEndsTheQuarantine) {
  Judge J;
  for (int I = 0; I < 3; ++I)
    J.crash({J.request("a", {Bad, PartId{J.NextRequest + 100}})});
  J.pass(seconds(1));
  std::uint32_t Trials = 0;
  for (int Minute = 0; Minute < 600; ++Minute) {
    J.Now += std::chrono::minutes(1);
    QuarantineMatch Match = findQuarantine(J.S, AccountId("a"), {}, {Bad});
    BOOST_REQUIRE(Match.Entry != nullptr);
    if (J.Now < Match.Entry->TrialAt)
      continue;
    beginTrial(J.S, Match.Scope, J.Now);
    ++Trials;
  }
  BOOST_TEST(Trials == MaxTrials);
  J.answer("a", Bad);
  BOOST_TEST(!J.refuses("a", Bad));
}

/// Guards against a lift or a quarantine that an older record of another host
/// reverts.
BOOST_AUTO_TEST_CASE(NewestRecordHolds) {
  Judge J;
  for (int I = 0; I < 3; ++I)
    J.crash({J.request("a", {Bad, PartId{J.NextRequest + 100}})});
  J.pass(seconds(1));
  std::vector<QuarantineRecord> Old = quarantineRecords(J.S, J.Now);
  CrashQuarantine Other;
  for (const QuarantineRecord &R : Old)
    BOOST_TEST(applyRecord(Other, R, J.Now));
  BOOST_TEST(quarantineDigest(Other) == quarantineDigest(J.S));
  BOOST_TEST(
      (findQuarantine(Other, AccountId("a"), {}, {Bad}).Entry != nullptr));
  BOOST_TEST(liftQuarantine(J.S, scopeOf(suspectOf(AccountId("a"), Bad), false),
                            J.Now));
  BOOST_TEST(quarantineDigest(Other) != quarantineDigest(J.S));
  for (const QuarantineRecord &R : Old)
    BOOST_TEST(!applyRecord(J.S, R, J.Now));
  BOOST_TEST(!J.refuses("a", Bad));
  for (const QuarantineRecord &R : quarantineRecords(J.S, J.Now))
    applyRecord(Other, R, J.Now);
  BOOST_TEST(quarantineDigest(Other) == quarantineDigest(J.S));
}

BOOST_AUTO_TEST_CASE(EvidenceIsBoundedAndForgotten) {
  Judge J;
  for (std::uint64_t I = 0; I < 1000; ++I)
    J.crash({J.request("a", {PartId{1000 + I}})}, milliseconds(50));
  BOOST_TEST(J.S.Crashes.size() <= MaxCrashes);
  J.crash({J.request("a", {PartId{1}})});
  J.Now += EvidenceRetention + seconds(1);
  J.crash({J.request("a", {PartId{1}})});
  BOOST_TEST(J.S.Crashes.size() == 1U);
}

/// Guards against a part that one answer in two, or in four, clears of all
/// crashes, and against a popular part that pays for it.
BOOST_AUTO_TEST_CASE(AnswersAreWeighedAgainstCrashes) {
  for (std::uint64_t Answers : {1, 3}) {
    Judge J;
    J.answers("a", Common, 20);
    std::size_t Crashes = 0;
    for (; Crashes < 10 && !J.refuses("a", Bad); ++Crashes) {
      J.crashOfBad();
      J.answers("a", Bad, Answers);
      J.answers("a", Common, 25);
      J.pass(seconds(1));
    }
    BOOST_TEST(J.refuses("a", Bad));
    BOOST_TEST(Crashes <= 8U);
    BOOST_TEST(!J.refuses("a", Common));
    // Nor does one answer end the quarantine.
    J.answers("a", Bad, 1);
    J.pass(seconds(1));
    BOOST_TEST(J.refuses("a", Bad));
  }
}

/// Guards against a part that is held since servers end every now and then,
/// while nearly all requests with it are answered.
BOOST_AUTO_TEST_CASE(PopularPartIsNotHeldForCrashesOfServers) {
  Judge J;
  for (int I = 0; I < 50; ++I) {
    J.crash({J.request("a", {Common, PartId{100U + I}}),
             J.request("a", {Common, PartId{400U + I}})});
    J.answers("a", Common, 30);
    J.pass(seconds(1));
  }
  BOOST_TEST(activeQuarantines(J.S) == 0U);
}

/// Guards against a popular part that is held since servers ended in series for
/// another reason: answers before and after speak for it.
BOOST_AUTO_TEST_CASE(PopularPartOutlivesASeriesOfCrashes) {
  Judge J;
  // What entry hosts report as soon as the part is watched.
  J.crash({J.request("a", {Common})});
  J.crash({J.request("a", {Common})}, seconds(1));
  SuspectClearance History = {suspectOf(AccountId("a"), Common), seconds(5),
                              100};
  addClearance(J.S, History, J.Now);
  for (int Series = 0; Series < 4; ++Series) {
    for (int I = 0; I < 8; ++I) {
      J.crash({J.request("a", {Common, PartId{J.NextRequest + 100}}),
               J.request("a", {Common, PartId{J.NextRequest + 100}})},
              milliseconds(120));
      J.answers("a", Common, 3);
    }
    for (int I = 0; I < 10; ++I) {
      J.answers("a", Common, 20);
      J.pass(seconds(1));
      BOOST_TEST(!J.refuses("a", Common));
    }
  }
}

/// Guards against a part that was sound and is held only after eight crashes.
BOOST_AUTO_TEST_CASE(SuspectThatWasSoundIsHeldAfterFiveCrashes) {
  Judge J;
  J.answer("a", Common);
  J.answer("a", Bad);
  J.pass(seconds(2));
  for (std::size_t I = 0; I < AccusingCrashesOfProven; ++I) {
    BOOST_TEST(!J.refuses("a", Bad));
    J.crashOfBad();
    J.answers("a", Common, 5);
  }
  J.pass(seconds(2));
  BOOST_TEST(J.refuses("a", Bad));
  BOOST_TEST(!J.refuses("a", Common));
}

/// Guards against a cured suspect that is held again for its old crashes, and
/// against one that goes on and has to earn all of them anew.
BOOST_AUTO_TEST_CASE(EndedQuarantineBeginsAgainOnlyAfterAnotherCrash) {
  Judge J;
  J.answers("a", Common, 20);
  for (int I = 0; I < 5; ++I)
    J.crashOfBad();
  J.pass(seconds(2));
  BOOST_TEST(J.refuses("a", Bad));
  J.answers("a", Bad, 1);
  BOOST_TEST(!J.refuses("a", Bad));
  J.pass(seconds(5));
  BOOST_TEST(!J.refuses("a", Bad));
  J.crashOfBad();
  J.pass(seconds(2));
  BOOST_TEST(J.refuses("a", Bad));
  QuarantineScope Scope = scopeOf(suspectOf(AccountId("a"), Bad), false);
  BOOST_TEST(liftQuarantine(J.S, Scope, J.Now));
  J.crashOfBad(); // An operator's order forgives what was before.
  J.pass(seconds(2));
  BOOST_TEST(!J.refuses("a", Bad));
}

/// Guards against an entry host of an earlier version, which ends a quarantine
/// with the first answer, for all hosts.
BOOST_AUTO_TEST_CASE(EndThatTheEvidenceDeniesIsContested) {
  Judge J;
  J.answers("a", Common, 20);
  for (int I = 0; I < 8; ++I) {
    J.crashOfBad();
    J.answers("a", Bad, 1);
    J.answers("a", Common, 20);
    J.pass(seconds(1));
  }
  BOOST_TEST_REQUIRE(J.refuses("a", Bad));
  for (QuarantineRecord R : quarantineRecords(J.S, J.Now)) {
    R.Version += 1;
    BOOST_TEST(contestEnd(J.S, R));
    BOOST_TEST(!applyRecord(J.S, R, J.Now));
    BOOST_TEST(!contestEnd(J.S, R));
  }
  BOOST_TEST(J.refuses("a", Bad));
}

/// Guards against BUDGET: two bad requests ended one server together, and the
/// one that was held first took that crash from the other.
BOOST_AUTO_TEST_CASE(CrashOfTwoBadRequestsAccusesBoth) {
  Judge J;
  CrashedRequest First = J.request("a", {});
  CrashedRequest Second = J.request("a", {});
  J.crash({Second});
  J.crash({First, Second});
  for (int I = 0; I < 2; ++I)
    J.crash({First});
  J.pass(seconds(1));
  BOOST_TEST(J.refuses(First));
  BOOST_TEST(!J.refuses(Second));
  J.crash({Second});
  J.pass(seconds(1));
  BOOST_TEST(J.refuses(Second));
}

/// Guards against a sound request that is held since it ran beside a bad one,
/// and once where a server ended by itself.
BOOST_AUTO_TEST_CASE(NeighbourOfABadRequestIsNotAccused) {
  Judge J;
  CrashedRequest Bad = J.request("a", {});
  CrashedRequest Sound = J.request("a", {});
  for (int I = 0; I < 4; ++I)
    J.crash({Bad, Sound});
  J.crash({Bad, J.request("a", {})});
  J.crash({Sound});
  J.pass(seconds(2));
  BOOST_TEST(J.refuses(Bad));
  BOOST_TEST(!J.refuses(Sound));
}

/// Guards against a sound part that stays refused for ten minutes, since it was
/// in seven crashes beside few answers: two answered trials end that. A part
/// that ends servers in half of the cases has three trials at most.
BOOST_AUTO_TEST_CASE(AnsweredTrialsEndAMixedQuarantine) {
  for (std::uint64_t AnswersPerCrash : {0, 1}) {
    Judge J;
    J.answers("a", Common, 20);
    J.answer("a", Bad);
    for (int I = 0; I < 8; ++I) {
      J.crashOfBad();
      J.answers("a", Common, 20);
      if (AnswersPerCrash > 0)
        J.answers("a", Bad, AnswersPerCrash);
      J.pass(seconds(1));
    }
    BOOST_TEST_REQUIRE(J.refuses("a", Bad));
    std::uint32_t Trials = 0;
    for (int Second = 0; Second < 3000 && J.refuses("a", Bad); ++Second) {
      J.pass(seconds(1));
      QuarantineMatch Match = findQuarantine(J.S, AccountId("a"), {}, {Bad});
      if (Match.Entry == nullptr || J.Now < Match.Entry->TrialAt)
        continue;
      beginTrial(J.S, Match.Scope, J.Now);
      ++Trials;
      J.answers("a", Bad, 1);
    }
    BOOST_TEST(!J.refuses("a", Bad));
    BOOST_TEST(Trials == (AnswersPerCrash == 0 ? 2U : MaxMixedTrials));
  }
}
