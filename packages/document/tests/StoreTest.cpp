#include <boost/test/unit_test.hpp>

#include "base/Random.h"
#include "document/Store.h"
#include "text/Delta.h"

#include <algorithm>

using namespace pimento;

namespace {

const ServiceId Service("service");

PutDocumentCommand command(std::uint64_t Number, const std::string &EditId,
                           const std::string &Text,
                           Duration At = Duration::zero()) {
  return {Service, Number, EditId, Text, At};
}

Store throughSnapshot(const Store &S) {
  Failure Why;
  Store Back =
      valueOr<Store>([&] { return decodeStore(encodeStore(S)); }, Store(), Why);
  BOOST_TEST(Why.Detail == "");
  return Back;
}

template <class F> Code codeOf(F &&Decode) {
  Failure Why;
  Why.Number = Code::Ok;
  bool Good = valueOr<bool>(
      [&]() -> Result<bool> {
        auto Value = Decode();
        if (!Value)
          return Value.error();
        return true;
      },
      false, Why);
  return Good ? Code::Ok : Why.Number;
}

/// One attempt to submit an edit.
struct Attempt {
  char Edit;
  std::uint64_t Number;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreSuite)

BOOST_AUTO_TEST_CASE(NumbersFollowEachOther) {
  Store S;
  BOOST_TEST(apply(S, command(2, "a", "x")).Result == Code::DocumentConflict);
  BOOST_TEST(apply(S, command(1, "b", "x")).Result == Code::Ok);
  BOOST_TEST(apply(S, command(3, "c", "x")).Result == Code::DocumentConflict);
  PutDocumentOutcome O = apply(S, command(2, "d", "y"));
  BOOST_TEST(O.Result == Code::Ok);
  BOOST_TEST(O.Number == 2U);
  BOOST_TEST(O.Revision == 2U);
  BOOST_TEST(currentDocument(S, Service)->Text == "y");
  BOOST_TEST(apply(S, command(1, "e", "z")).Number == 2U);
  BOOST_TEST(S.Revision == 2U);
}

// Tries all orders of two concurrent edits, their retries and a following edit,
// with a snapshot and restore before each position in turn.
BOOST_AUTO_TEST_CASE(EveryOrderOfConcurrentEditsHasOneWinnerAndStableAnswers) {
  std::vector<Attempt> Attempts = {{'a', 1}, {'a', 1}, {'b', 1}, {'b', 1},
                                   {'b', 1}, {'c', 2}, {'c', 2}};
  auto Less = [](const Attempt &X, const Attempt &Y) {
    return X.Edit < Y.Edit;
  };
  std::size_t Orders = 0;
  do {
    for (std::size_t SnapshotAt = 0; SnapshotAt <= Attempts.size();
         ++SnapshotAt) {
      Store S;
      std::map<char, PutDocumentOutcome> First;
      for (std::size_t I = 0; I < Attempts.size(); ++I) {
        if (I == SnapshotAt)
          S = throughSnapshot(S);
        std::string Name(1, Attempts[I].Edit);
        PutDocumentOutcome O =
            apply(S, command(Attempts[I].Number, Name, "text " + Name));
        auto Added = First.emplace(Attempts[I].Edit, O);
        BOOST_REQUIRE(O.Result == Added.first->second.Result);
        BOOST_REQUIRE(O.Number == Added.first->second.Number);
        BOOST_REQUIRE(O.Repeated == !Added.second);
      }
      bool A = First['a'].Result == Code::Ok;
      bool B = First['b'].Result == Code::Ok;
      BOOST_REQUIRE(A != B);
      std::size_t Accepted = 1 + (First['c'].Result == Code::Ok);
      BOOST_REQUIRE(history(S, Service).size() == Accepted);
      BOOST_REQUIRE(S.Revision == Accepted);
    }
    ++Orders;
  } while (std::next_permutation(Attempts.begin(), Attempts.end(), Less));
  BOOST_TEST(Orders == 210U); // 7! / (2! 3! 2!)
}

BOOST_AUTO_TEST_CASE(ARetryGetsItsFirstAnswerAfterNewerEdits) {
  Store S;
  for (std::uint64_t Number = 1; Number <= 1000; ++Number)
    apply(S, command(Number, "edit-" + std::to_string(Number),
                     std::to_string(Number), seconds(Number)));
  S = throughSnapshot(S);
  for (std::uint64_t Number : {1U, 2U, 500U, 1000U}) {
    PutDocumentOutcome O =
        apply(S, command(Number, "edit-" + std::to_string(Number),
                         std::to_string(Number), seconds(1001)));
    BOOST_TEST(O.Result == Code::Ok);
    BOOST_TEST(O.Number == Number);
    BOOST_TEST(O.Repeated);
  }
  BOOST_TEST(currentDocument(S, Service)->Number == 1000U);
}

// A duplicate of a refused edit may arrive when the edit's number has become
// the next one. It must get the recorded refusal instead of being applied.
BOOST_AUTO_TEST_CASE(ARefusedEditIsNeverAppliedByALateDuplicate) {
  Store S;
  apply(S, command(1, "a", "x"));
  BOOST_TEST(apply(S, command(3, "early", "y")).Result ==
             Code::DocumentConflict);
  apply(S, command(2, "b", "z"));
  PutDocumentOutcome Late = apply(S, command(3, "early", "y"));
  BOOST_TEST(Late.Result == Code::DocumentConflict);
  BOOST_TEST(Late.Number == 1U); // The recorded first answer.
  BOOST_TEST(currentDocument(S, Service)->Number == 2U);
}

BOOST_AUTO_TEST_CASE(AnEditIdIsBoundToOneText) {
  Store S;
  apply(S, command(1, "a", "x"));
  BOOST_TEST(apply(S, command(2, "a", "y")).Result == Code::EditIdReused);
  BOOST_TEST(apply(S, command(2, "", "y")).Result == Code::Ok);
  PutDocumentOutcome Again = apply(S, command(2, "", "y"));
  BOOST_TEST(Again.Repeated);
  BOOST_TEST(Again.Number == 2U);
}

BOOST_AUTO_TEST_CASE(AnswersOutliveRetriesAndAreBounded) {
  Store S;
  apply(S, command(1, "first", "x"));
  for (std::uint64_t I = 0; I < MinAnswers - 1; ++I)
    apply(S, command(9, std::to_string(I), "y", hours(48)));
  // Older than MinAnswerAge, but among the last MinAnswers.
  BOOST_TEST(apply(S, command(1, "first", "x", hours(48))).Repeated);
  apply(S, command(9, "one more", "y", hours(48)));
  apply(S, command(9, "another", "y", hours(48)));
  PutDocumentOutcome Forgotten = apply(S, command(1, "first", "x", hours(48)));
  BOOST_TEST(!Forgotten.Repeated);
  BOOST_TEST(Forgotten.Result == Code::DocumentConflict); // Not applied twice.
  for (std::uint64_t I = 0; I < MaxAnswers + 100; ++I)
    apply(S, command(9, "more " + std::to_string(I), "y", hours(48)));
  BOOST_TEST(S.Services[Service].Answers.size() <= MaxAnswers + 1);
  BOOST_TEST(S.Services[Service].AnswerIndex.size() ==
             S.Services[Service].Answers.size());
}

BOOST_AUTO_TEST_CASE(HistoryIsBounded) {
  Store S;
  std::string Large(1U << 20U, 'x');
  for (std::uint64_t Number = 1; Number <= 600; ++Number)
    apply(S, command(Number, std::to_string(Number),
                     Number % 10 == 0 ? Large : "small"));
  std::vector<StoredVersion> All = history(S, Service);
  BOOST_TEST(All.size() == MaxHistoryVersions);
  std::size_t Texts = 0;
  std::size_t Bytes = 0;
  for (const StoredVersion &V : All) {
    Texts += !V.Text.empty();
    Bytes += V.Text.size();
  }
  BOOST_TEST(Texts <= MaxHistoryTexts + 1);
  BOOST_TEST(Bytes <= MaxHistoryBytes + (1U << 20U));
  BOOST_TEST(currentDocument(S, Service)->Text == Large);
  BOOST_TEST(numberAt(S, Service, 599) == 599U);
}

BOOST_AUTO_TEST_CASE(ReplicasHoldTheSameBytes) {
  Random R(5);
  Store Unrestored;
  Store Restored;
  for (int I = 0; I < 2000; ++I) {
    PutDocumentCommand C =
        command(below(R, 40), std::to_string(below(R, 600)),
                std::to_string(below(R, 3)), minutes(static_cast<int>(I)));
    C.Service = ServiceId(std::to_string(below(R, 3)));
    if (const StoredVersion *Current = currentDocument(Unrestored, C.Service)) {
      if (below(R, 2) == 0)
        C.Number = Current->Number + 1;
    }
    apply(Unrestored, C);
    apply(Restored, C);
    if (I % 100 == 0)
      Restored = throughSnapshot(Restored);
  }
  BOOST_TEST(Unrestored.Revision > 100U);
  BOOST_TEST((encodeStore(Unrestored) == encodeStore(Restored)));
}

BOOST_AUTO_TEST_CASE(CommandsSurviveEncodingAndDecoding) {
  PutDocumentCommand C = command(7, "id", "\xff not text", hours(24 * 20000));
  Failure Why;
  PutDocumentCommand Back = valueOr<PutDocumentCommand>(
      [&] { return decodeCommand(encodeCommand(C)); }, {}, Why);
  BOOST_TEST(Why.Detail == "");
  BOOST_TEST(Back.Service == C.Service);
  BOOST_TEST(Back.Number == C.Number);
  BOOST_TEST(Back.EditId == C.EditId);
  BOOST_TEST(Back.Text == C.Text);
  BOOST_TEST((Back.At == C.At));
}

BOOST_AUTO_TEST_CASE(MangledBytesNeverCrash) {
  Store S;
  for (std::uint64_t Number = 1; Number <= 5; ++Number)
    apply(S, command(Number, std::to_string(Number), "text"));
  std::string Snapshot = encodeStore(S);
  std::string Command = encodeCommand(command(1, "id", "text"));
  Random R(11);
  std::size_t Refused = 0;
  for (int I = 0; I < 20000; ++I) {
    std::string Bad = I % 2 == 0 ? Snapshot : Command;
    for (std::uint64_t Hits = 1 + below(R, 4); Hits > 0; --Hits)
      Bad[below(R, Bad.size())] = static_cast<char>(below(R, 256));
    if (below(R, 3) == 0)
      Bad.resize(below(R, Bad.size()));
    Refused += codeOf([&] { return decodeStore(Bad); }) != Code::Ok;
    Refused += codeOf([&] { return decodeCommand(Bad); }) != Code::Ok;
  }
  BOOST_TEST(Refused > 10000U);
  BOOST_TEST(codeOf([&] { return decodeStore(Snapshot); }) == Code::Ok);
}

BOOST_AUTO_TEST_CASE(DeltasMakeTheNewTextAndAreShort) {
  Random R(3);
  std::string Old;
  for (int I = 0; I < 5000; ++I)
    Old += "{\"account\": \"a" + std::to_string(I) +
           "\", \"weight\": " + std::to_string(below(R, 100)) + "},\n";
  for (int Round = 0; Round < 200; ++Round) {
    std::string New = Old;
    for (std::uint64_t Edits = below(R, 4); Edits > 0; --Edits) {
      std::size_t At = below(R, New.size());
      New.replace(At, below(R, 100), std::string(below(R, 100), '!'));
    }
    std::vector<DeltaPiece> Delta = makeDelta(Old, New);
    std::string Made;
    BOOST_REQUIRE(applyDelta(Old, Delta, 1U << 20U, Made));
    BOOST_REQUIRE(Made == New);
    BOOST_REQUIRE(deltaBytes(Delta) < 1000U);
    BOOST_REQUIRE(Made.empty() ||
                  !applyDelta(Old, Delta, Made.size() - 1, Made));
  }
  std::string Made;
  BOOST_TEST(!applyDelta("short", {{3, 10, {}}}, 100, Made));
  BOOST_TEST(!applyDelta("short", {{UINT64_MAX, 1, {}}}, 100, Made));
  BOOST_TEST(!applyDelta("short", {{1, UINT64_MAX, {}}}, 100, Made));
}

BOOST_AUTO_TEST_SUITE_END()
