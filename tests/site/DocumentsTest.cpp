// Edits of documents while control hosts are suspended, killed or lose their
// disks. A suspended leader could serve old documents after it resumes; a voter
// with an empty disk could lose committed edits and claims.

#include <boost/test/unit_test.hpp>

#include "site/Site.h"

#include <algorithm>
#include <csignal>
#include <future>

using namespace pimento;
using namespace pimento::site;

namespace {

/// Limit for an accepted edit to be in force at every host.
constexpr Duration InForceBound = seconds(4);
/// Longer than the leader's lease and the hosts' freshness bound of 900 ms.
constexpr Duration SuspendTime = seconds(3);

bool holdsEverywhere(const Site &S, std::uint64_t Number) {
  for (std::size_t I = 0; I < HostCount; ++I) {
    if (S.documentAt(I) != Number)
      return false;
  }
  return true;
}

/// Whether each serving host has this document or a newer one in force. False
/// if \p InForce has no list of hosts.
bool servedBy(const Json &InForce, std::uint64_t Number) {
  if (!InForce.is_object())
    return false;
  const Json &Hosts = InForce["hosts"];
  return std::all_of(Hosts.begin(), Hosts.end(), [&](const Json &Host) {
    return !Host.value("serving", false) || Host["number"] >= Number;
  });
}

struct Edit {
  std::size_t Host;
  std::string Id;
  int Retention; // Hours; makes the texts of edits differ.
};

/// Sends edits with the same number concurrently. Checks that exactly one is
/// accepted and the others get a conflict, and that each edit gets the same
/// response when it is resent through any host of \p Alive.
void race(const Site &S, std::uint64_t Number, const std::vector<Edit> &Edits,
          const std::vector<std::size_t> &Alive) {
  std::vector<std::future<Reply>> Sent;
  Sent.reserve(Edits.size());
  for (const Edit &E : Edits)
    Sent.push_back(std::async(std::launch::async, [&S, &E, Number] {
      return S.putUntilSettled(E.Host, Number, E.Id, E.Retention);
    }));
  std::size_t Won = 0;
  for (std::size_t I = 0; I < Edits.size(); ++I) {
    Reply R = Sent[I].get();
    BOOST_TEST_INFO(Edits[I].Id << ": " << R.Status << " " << R.Body);
    BOOST_TEST((R.Status == 200 || R.Status == 409));
    BOOST_TEST(jsonOf(R).value("number", std::uint64_t{0}) == Number);
    Won += R.Status == 200;
    for (std::size_t Host : Alive) {
      Reply Again =
          S.putUntilSettled(Host, Number, Edits[I].Id, Edits[I].Retention);
      BOOST_TEST(Again.Status == R.Status);
      BOOST_TEST(Again.Body == R.Body);
    }
  }
  BOOST_TEST(Won == 1);
}

/// Whether the host's current disk votes and has all entries that it knows to
/// be committed, in every log. Only the host itself is queried, because the
/// other hosts detect the loss of a disk with a delay.
bool votesAgain(const Site &S, std::size_t Index) {
  Json Status = S.getFromOperator(Index, "/v1/status");
  if (!Status.is_object())
    return false;
  const Json &Logs = Status["logs"];
  return std::all_of(Logs.begin(), Logs.end(), [&](const Json &Log) {
    const Json &Members = Log["members"];
    return Log["formed"] == true && Members.size() == HostCount &&
           std::any_of(Members.begin(), Members.end(), [&](const Json &M) {
             return M["host"] == S.Hosts[Index].Name && M["learner"] == false &&
                    M["caught_up"] == true;
           });
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(SuspendedLeaderServesNoOldDocuments) {
  Site S;
  const std::size_t Suspended = S.leader();
  const std::size_t One = (Suspended + 1) % HostCount;
  const std::size_t Two = (Suspended + 2) % HostCount;
  const std::vector<std::size_t> Everyone = {Suspended, One, Two};
  race(S, 2, {{One, "one-2", 12}, {Two, "two-2", 24}}, Everyone);
  race(S, 3,
       {{One, "one-3", 12}, {One, "two-3", 24}, {Suspended, "three-3", 36}},
       Everyone);
  BOOST_TEST(waitUntil(InForceBound, [&] { return holdsEverywhere(S, 3); }));

  S.Hosts[Suspended].Run.signal(SIGSTOP);
  TimePoint Since = now();
  // Requests of an operator and of a caller that wait in the socket buffers of
  // the suspended host.
  auto Late = std::async(std::launch::async,
                         [&] { return S.put(Suspended, 4, "late-4", 36); });
  race(S, 4, {{One, "one-4", 12}, {Two, "two-4", 24}}, {One, Two});
  // Removes the account brisa-lines from the service.
  Json Without = exampleDocument(LedgerService);
  Without["number"] = 5;
  Without["accounts"].erase(1);
  Reply Removed =
      exchange({S.Hosts[Two].Operator,
                "PUT",
                std::string("/v1/services/") + LedgerService + "/document",
                OperatorToken,
                Without.dump(),
                {}});
  BOOST_TEST(Removed.Status == 200);
  BOOST_TEST(waitUntil(InForceBound, [&] {
    return S.documentAt(One) == 5 && S.documentAt(Two) == 5;
  }));
  BOOST_TEST(S.lookUp(One, "brisa-lines").Status == 403);
  auto LateCall = std::async(
      std::launch::async, [&] { return S.lookUp(Suspended, "brisa-lines"); });
  pause(std::max(Duration::zero(), SuspendTime - (now() - Since)));
  S.Hosts[Suspended].Run.signal(SIGCONT);
  TimePoint Resumed = now();
  bool CaughtUp = false;
  std::uint64_t Highest = 0;
  while (now() < Resumed + InForceBound) {
    Reply R = S.lookUp(Suspended, "brisa-lines");
    BOOST_TEST((R.Status == 403 || R.Status == 503));
    Json InForce = S.getFromOperator(One, std::string("/v1/services/") +
                                              LedgerService + "/in-force");
    BOOST_TEST_INFO(InForce.dump());
    BOOST_TEST((InForce.is_null() || servedBy(InForce, 5)));
    std::uint64_t Held = S.documentAt(Suspended);
    BOOST_TEST((Held == 0 || Held >= Highest));
    Highest = std::max(Highest, Held);
    CaughtUp = CaughtUp || Held == 5;
    pause(milliseconds(10));
  }
  BOOST_TEST(CaughtUp);
  BOOST_TEST(LateCall.get().Status != 200);
  Reply LateReply = Late.get();
  BOOST_TEST((LateReply.Status == 409 || LateReply.Status == 503));
  BOOST_TEST(S.putUntilSettled(Suspended, 4, "late-4", 36).Status == 409);
  BOOST_TEST(holdsEverywhere(S, 5));
  BOOST_TEST(waitUntil(SettleTimeout, [&] { return S.serves(Suspended); }));
}

BOOST_AUTO_TEST_CASE(WipedVoterKeepsCommittedDataAfterAnotherHostDies) {
  Site S;
  std::uint64_t Number = 1;
  while (Number < 5) {
    ++Number;
    BOOST_REQUIRE_EQUAL(
        S.putUntilSettled(0, Number, "edit-" + std::to_string(Number)).Status,
        200);
  }
  const std::size_t Killed = S.leader();
  const std::size_t Wiped = (Killed + 1) % HostCount;
  const std::size_t Third = (Killed + 2) % HostCount;
  S.Hosts[Wiped].Run.kill();
  std::filesystem::remove_all(S.Hosts[Wiped].DataFolder);
  S.startHost(Wiped);
  BOOST_REQUIRE(waitUntil(SettleTimeout, [&] { return votesAgain(S, Wiped); }));
  BOOST_REQUIRE(waitUntil(SettleTimeout, [&] { return S.ready(Wiped); }));
  Reply Before = S.signOff(Wiped, "drill-1");
  BOOST_TEST(Before.Status == 200);

  S.Hosts[Killed].Run.kill();
  std::size_t Leader = S.leader();
  BOOST_TEST(Leader != Killed);
  for (std::size_t Host : {Wiped, Third}) {
    BOOST_TEST(S.documentAt(Host) == Number);
    Reply Again = S.resend(Host, "drill-1");
    BOOST_TEST(Again.Status == 200);
    BOOST_TEST(Again.Body == Before.Body);
    // Recorded outcomes of edits are kept too.
    BOOST_TEST(S.putUntilSettled(Host, 3, "edit-3").Status == 200);
  }
  BOOST_TEST(S.runs("drill-1") == 1);

  // The killed host misses these edits.
  const std::uint64_t Newest = Number + 50;
  while (Number < Newest) {
    ++Number;
    BOOST_REQUIRE_EQUAL(
        S.putUntilSettled(Wiped, Number, "edit-" + std::to_string(Number))
            .Status,
        200);
  }
  S.startHost(Killed);
  BOOST_TEST(waitUntil(SettleTimeout, [&] { return S.ready(Killed); }));
  // A ready host has the current documents.
  BOOST_TEST(S.documentAt(Killed) == Newest);
  BOOST_TEST(
      waitUntil(InForceBound, [&] { return holdsEverywhere(S, Newest); }));
  BOOST_TEST(S.putUntilSettled(Killed, 30, "edit-30").Status == 200);
  BOOST_TEST(S.serves(Killed));
}
