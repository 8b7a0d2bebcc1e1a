#include <boost/test/unit_test.hpp>

#include "Samples.h"
#include "base/Random.h"
#include "schedule/Queue.h"

#include <map>

using namespace pimento;
using namespace pimento::test;

namespace {

QueuedRequest waiting(std::uint64_t Lo, const std::string &Account, double Cost,
                      std::uint32_t Weight = 1, Duration Slack = hours(1)) {
  QueuedRequest W;
  W.Request = makeGrantRequest(Lo, 1000, Account);
  W.Request.Weight = Weight;
  W.Cost = Cost;
  W.Arrived = Start + microseconds(Lo);
  W.LatestStart = W.Arrived + Slack;
  return W;
}

/// Serves the next request. Returns its account and stores its number in \p Lo.
std::string serve(FairQueue &Q, TimePoint Now, std::uint64_t *Lo = nullptr) {
  const QueuedRequest *Next = nextRequest(Q, LengthClass::Short, Now);
  if (!Next)
    return "";
  QueuedRequest Taken;
  removeRequest(Q, AttemptId(Next->Request.Attempt), &Taken);
  chargeAccount(Q, Taken.Request.Account, Taken.Request.Weight,
                LengthClass::Short, Taken.Cost);
  if (Lo)
    *Lo = Taken.Request.Attempt.Request.Lo;
  return Taken.Request.Account.Value;
}

} // namespace

// Sharing by number of requests would favour accounts with expensive requests.
BOOST_AUTO_TEST_CASE(AccountsShareByWeightAndCost) {
  FairQueue Q;
  Random R(1);
  std::uint64_t Lo = 0;
  for (int I = 0; I < 3000; ++I) {
    enqueueRequest(Q, waiting(++Lo, "heavy", 100 + double(below(R, 5000)), 4));
    enqueueRequest(Q, waiting(++Lo, "light", 100 + double(below(R, 500)), 1));
    enqueueRequest(Q, waiting(++Lo, "plain", 100 + double(below(R, 1000)), 1));
  }
  std::map<std::string, double> Served;
  for (int I = 0; I < 2500; ++I) {
    const QueuedRequest *Next = nextRequest(Q, LengthClass::Short, Start);
    Served[Next->Request.Account.Value] += Next->Cost;
    serve(Q, Start);
  }
  BOOST_REQUIRE(Q.Classes[0].Ready.size() == 3U);
  BOOST_TEST(Served["heavy"] / Served["light"] > 4 * 0.95);
  BOOST_TEST(Served["heavy"] / Served["light"] < 4 * 1.05);
  BOOST_TEST(Served["plain"] / Served["light"] > 0.95);
  BOOST_TEST(Served["plain"] / Served["light"] < 1.05);
}

BOOST_AUTO_TEST_CASE(RequestsOfOneAccountAreServedInArrivalOrder) {
  FairQueue Q;
  for (std::uint64_t Lo : {3, 1, 2, 5, 4})
    enqueueRequest(Q, waiting(Lo, "a", 10));
  removeRequest(Q, attempt(2), nullptr);
  std::uint64_t Lo = 0;
  for (std::uint64_t Expected : {1, 3, 4, 5}) {
    BOOST_TEST(serve(Q, Start, &Lo) == "a");
    BOOST_TEST(Lo == Expected);
  }
  BOOST_TEST(serve(Q, Start).empty());
  BOOST_TEST(waitingCount(Q) == 0U);
}

// If idle time earned credit, an account could return with a burst and keep all
// others waiting.
BOOST_AUTO_TEST_CASE(IdleAccountAccumulatesNoCredit) {
  FairQueue Q;
  std::uint64_t Lo = 0;
  for (int I = 0; I < 100; ++I)
    enqueueRequest(Q, waiting(++Lo, "busy", 1000));
  for (int I = 0; I < 50; ++I)
    serve(Q, Start);
  for (int I = 0; I < 20; ++I)
    enqueueRequest(Q, waiting(++Lo, "late", 1000));
  int Late = 0;
  for (int I = 0; I < 10; ++I)
    Late += serve(Q, Start) == "late" ? 1 : 0;
  BOOST_TEST(Late >= 4);
  BOOST_TEST(Late <= 6);
}

// Urgent requests are served early. Without a limit, an account could take the
// share of others by setting short deadlines.
BOOST_AUTO_TEST_CASE(TightDeadlinesGetAheadByABoundedCost) {
  FairQueue Q;
  std::uint64_t Lo = 0;
  for (int I = 0; I < 1000; ++I) {
    enqueueRequest(Q, waiting(++Lo, "patient", 5000));
    enqueueRequest(Q, waiting(++Lo, "urgent", 5000, 1, seconds(1)));
  }
  double Patient = 0;
  double Urgent = 0;
  for (int I = 0; I < 400; ++I)
    (serve(Q, Start + seconds(10)) == "urgent" ? Urgent : Patient) += 5000;
  BOOST_TEST(Urgent > Patient);
  BOOST_TEST(Urgent - Patient <= BorrowLimit * 0.25 + 2 * 5000);
}

// Admission refuses requests by this forecast. An error would refuse requests
// in time or admit requests that miss their deadline.
BOOST_AUTO_TEST_CASE(CostAheadForecastMatchesServedCost) {
  FairQueue Q;
  Random R(5);
  std::uint64_t Lo = 0;
  for (int I = 0; I < 200; ++I) {
    const std::uint64_t Account = below(R, 9);
    enqueueRequest(Q, waiting(++Lo, "a" + std::to_string(Account),
                              10 + double(below(R, 100)), 1 + Account % 3));
  }
  for (int I = 0; I < 20; ++I)
    serve(Q, Start);
  const double Ahead = costAhead(Q, AccountId("a4"), 2, LengthClass::Short, 50);
  enqueueRequest(Q, waiting(++Lo, "a4", 50, 2));
  double Served = 0;
  for (std::uint64_t Taken = 0; Taken != Lo;) {
    const double Cost = nextRequest(Q, LengthClass::Short, Start)->Cost;
    serve(Q, Start, &Taken);
    Served += Taken == Lo ? 0 : Cost;
  }
  // Requests are served whole, so each other account may be off by one request.
  BOOST_TEST(Served > Ahead - 9 * 110);
  BOOST_TEST(Served < Ahead + 9 * 110);
}

// Without removal, each account that ever sent a request would keep its state
// for ever.
BOOST_AUTO_TEST_CASE(AccountStateIsBounded) {
  FairQueue Q;
  std::uint64_t Lo = 0;
  for (int I = 0; I < 30000; ++I) {
    enqueueRequest(Q, waiting(++Lo, "account-" + std::to_string(I), 10));
    serve(Q, Start);
    if (I % 100 == 0)
      forgetIdleAccounts(Q);
  }
  BOOST_TEST(Q.ByName.size() < 8400U);
  BOOST_TEST(Q.Accounts.size() < 8400U);
}
