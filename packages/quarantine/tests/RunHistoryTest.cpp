#include <boost/test/unit_test.hpp>

#include "quarantine/CrashQuarantine.h"

using namespace pimento;

namespace {

const TimePoint Start = TimePoint(seconds(1000));

UnfinishedRun run(const char *Server, std::uint64_t Request, TimePoint Began,
                  Duration Limit = seconds(10)) {
  UnfinishedRun Run;
  Run.Server = BackendId(Server);
  Run.Incarnation = 1;
  Run.Request.Account = AccountId("a");
  Run.Request.Request = RequestDigest{Request, 1};
  Run.Began = Began;
  Run.Until = Began + Limit;
  return Run;
}

ServerCrash endOf(const char *Server, IncarnationNumber Incarnation = 1) {
  ServerCrash Crash;
  Crash.Server = BackendId(Server);
  Crash.Incarnation = Incarnation;
  return Crash;
}

std::size_t suspects(const CrashQuarantine &S, const char *Server) {
  return S.Crashes.at({BackendId(Server), 1}).Requests.size();
}

} // namespace

/// Guards against evidence that is lost with a call which ended before its
/// server: it is found whether the end is known before or after the run.
BOOST_AUTO_TEST_CASE(RunsAreSuspectsOfTheEndOfTheirServer) {
  CrashQuarantine S;
  BOOST_TEST(!addRun(S, run("e1", 1, Start), Start));
  BOOST_TEST(!addRun(S, run("e2", 2, Start), Start));
  BOOST_TEST(addCrash(S, endOf("e1"), Start + milliseconds(40)));
  BOOST_TEST(suspects(S, "e1") == 1U);
  BOOST_TEST(addRun(S, run("e1", 3, Start), Start + milliseconds(50)));
  BOOST_TEST(suspects(S, "e1") == 2U);
  // Asked for once more: nothing is new.
  ServerCrash Again = endOf("e1");
  Again.Age = milliseconds(20);
  BOOST_TEST(!addCrash(S, Again, Start + milliseconds(60)));
}

/// Guards against a run that accuses another incarnation, or a server that was
/// at work on it no more.
BOOST_AUTO_TEST_CASE(RunsAccuseOnlyWhileTheServerMayBeAtWork) {
  CrashQuarantine S;
  addRun(S, run("e1", 1, Start, seconds(1)), Start);
  addCrash(S, endOf("e1", 2), Start);
  BOOST_TEST((S.Crashes.at({BackendId("e1"), 2}).Requests.empty()));
  addCrash(S, endOf("e1"), Start + seconds(1) + 2 * EndNoticeTime);
  BOOST_TEST(suspects(S, "e1") == 0U);
  // It was sent after the end.
  addCrash(S, endOf("e2"), Start);
  BOOST_TEST(!addRun(S, run("e2", 2, Start + seconds(1)), Start + seconds(2)));
}

/// Guards against memory that grows with the callers that leave.
BOOST_AUTO_TEST_CASE(RunsAreBounded) {
  RunHistory H;
  for (std::uint64_t I = 0; I < 3 * MaxUnfinishedRuns; ++I)
    noteRun(H, run("e1", I, Start), Start);
  BOOST_TEST(H.Runs.size() == MaxUnfinishedRuns);
  BOOST_TEST(runsAt(H, BackendId("e1"), 1, Start).front().Request.Hi ==
             3 * MaxUnfinishedRuns - 1);
  noteRun(H, run("e1", 0, Start + seconds(60)), Start + seconds(60));
  BOOST_TEST(H.Runs.size() == 1U);
}

/// Guards against a run that is counted twice, as its stream breaks off and its
/// call ends: one try is one run, and a further try another.
BOOST_AUTO_TEST_CASE(OneTryIsOneRun) {
  RunHistory H;
  noteRun(H, run("e1", 1, Start), Start);
  BOOST_TEST(isNoted(H, run("e1", 1, Start)));
  BOOST_TEST(!isNoted(H, run("e1", 1, Start + milliseconds(1))));
  BOOST_TEST(!isNoted(H, run("e2", 1, Start)));
  BOOST_TEST(!isNoted(H, run("e1", 2, Start)));
  noteRun(H, run("e2", 2, Start), Start);
  std::map<BackendId, IncarnationNumber> Servers = serversAtWork(H);
  BOOST_TEST(Servers.size() == 2U);
  BOOST_TEST(Servers.at(BackendId("e1")) == 1U);
}
