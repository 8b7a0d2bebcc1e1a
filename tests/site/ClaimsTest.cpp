// Non-repeatable calls must run at most once when an entry host or a ledger is
// killed between the claim of a call's key and the response. A claim is the
// record in the control hosts' log that reserves a key for one run.

#include <boost/test/unit_test.hpp>

#include "site/Site.h"

#include <future>

using namespace pimento;
using namespace pimento::site;

namespace {

constexpr int OutcomeUnknown = 303;

bool isUnknown(const Reply &R) { return codeOf(R) == OutcomeUnknown; }

/// Checks that \p R is the recorded answer of the only run of \p Key, or says
/// that the outcome is unknown.
void checkSettled(const Site &S, const std::string &Key, const Reply &R) {
  BOOST_TEST_INFO(Key << ": " << R.Status << " " << R.Body);
  BOOST_TEST((isUnknown(R) || R.Status == 200));
  if (R.Status == 200) {
    BOOST_TEST(jsonOf(R).value("key", "") == Key);
    BOOST_TEST(S.runs(Key) == 1);
  }
  BOOST_TEST(S.runs(Key) <= 1);
}

/// Checks that two answers to one key are equal or at least one of them says
/// that the outcome is unknown.
void checkAgree(const Reply &A, const Reply &B) {
  BOOST_TEST((A.Body == B.Body || isUnknown(A) || isUnknown(B)));
}

std::size_t claimsAt(const Site &S, std::size_t Index) {
  Json Status = S.getFromOperator(Index, "/v1/status");
  std::size_t Records = 0;
  for (const Json &Partition : Status.value("claims", Json::array()))
    Records += Partition.value("records", std::size_t{0});
  return Records;
}

/// Kills \p Entry while the sign-offs of two client accounts are at the
/// ledgers, then resends both through another host and through the restarted
/// host.
void killEntryHost(Site &S, std::size_t Entry, bool BeforeItRuns) {
  const std::size_t Other = (Entry + 1) % HostCount;
  const std::map<std::string, std::string> Accounts = {
      {"aurora-air", "drill-a-" + std::to_string(Entry)},
      {"brisa-lines", "drill-b-" + std::to_string(Entry)}};
  S.setLedgers({{BeforeItRuns ? "slow_start_ms" : "slow_ms", 2000}});
  std::size_t ClaimsBefore = claimsAt(S, Other);
  std::vector<std::future<Reply>> Interrupted;
  Interrupted.reserve(Accounts.size());
  for (const auto &Each : Accounts)
    Interrupted.push_back(std::async(std::launch::async, [&S, &Each, Entry] {
      return S.signOff(Entry, Each.second, Each.first);
    }));
  BOOST_REQUIRE(waitUntil(SettleTimeout, [&] {
    if (BeforeItRuns)
      return claimsAt(S, Other) >= ClaimsBefore + Accounts.size();
    return S.runs("drill-a-" + std::to_string(Entry)) == 1 &&
           S.runs("drill-b-" + std::to_string(Entry)) == 1;
  }));
  S.Hosts[Entry].Run.kill();
  for (std::future<Reply> &Each : Interrupted)
    BOOST_TEST(Each.get().Status == 0);
  S.setLedgers({{"slow_start_ms", 0}, {"slow_ms", 0}});

  std::map<std::string, Reply> ThroughOther;
  for (const auto &[Account, Key] : Accounts) {
    ThroughOther[Key] = S.resend(Other, Key, Account);
    checkSettled(S, Key, ThroughOther[Key]);
  }
  S.startHost(Entry);
  BOOST_REQUIRE(waitUntil(SettleTimeout, [&] { return S.ready(Entry); }));
  for (const auto &[Account, Key] : Accounts) {
    Reply R = S.resend(Entry, Key, Account);
    checkSettled(S, Key, R);
    checkAgree(R, ThroughOther[Key]);
  }
  // Later calls of both accounts are served after the interrupted calls.
  for (const auto &[Account, Key] : Accounts) {
    Reply Next = S.resend(Other, Key + "-next", Account);
    BOOST_TEST(Next.Status == 200);
    BOOST_TEST(S.runs(Key + "-next") == 1);
    BOOST_TEST(S.runs(Key) <= 1);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(KilledEntryHostDoesNotCauseSecondRun) {
  Site S;
  std::size_t Leader = S.leader();
  killEntryHost(S, Leader, false);
  killEntryHost(S, (Leader + 1) % HostCount, false);
  killEntryHost(S, (Leader + 2) % HostCount, true);
}

BOOST_AUTO_TEST_CASE(KilledLedgerDoesNotCauseSecondRun) {
  Site S;
  S.setLedgers({{"die_after_run", true}});
  Reply First = S.signOff(0, "drill-1");
  BOOST_TEST(isUnknown(First));
  BOOST_TEST(S.runs("drill-1") == 1);
  // The other ledger still runs and must not run the call again.
  for (std::size_t I = 0; I < HostCount; ++I) {
    Reply R = S.resend(I, "drill-1");
    checkSettled(S, "drill-1", R);
    checkAgree(First, R);
  }
  for (auto &[Id, B] : S.Backends) {
    if (!B.Run.running())
      S.startBackend(Id);
  }
  S.setLedgers({{"die_after_run", false}});
  BOOST_TEST(waitUntil(SettleTimeout,
                       [&] { return S.resend(1, "drill-2").Status == 200; }));
  for (std::size_t I = 0; I < HostCount; ++I)
    checkSettled(S, "drill-1", S.resend(I, "drill-1"));
  BOOST_TEST(S.runs("drill-1") == 1);
  BOOST_TEST(S.runs("drill-2") == 1);
}
