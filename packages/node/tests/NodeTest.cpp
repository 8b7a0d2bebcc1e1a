#define BOOST_TEST_MODULE node
#include <boost/test/unit_test.hpp>

#include "base/Json.h"
#include "node/tests/VirtualSite.h"

using namespace pimento;
using namespace pimento::test;

namespace {

/// The text of a streamed answer, assembled from its chunks.
std::string textOf(const Answer &A) {
  std::string Text;
  std::size_t At = 0;
  while ((At = A.Body.find("data: {", At)) != std::string::npos) {
    std::size_t End = A.Body.find('\n', At);
    Json Event = Json::parse(A.Body.substr(At + 6, End - At - 6));
    if (Event.contains("choices"))
      Text += Event["choices"][0].value("text", "");
    At = End;
  }
  return Text;
}

bool isComplete(const Answer &A, const std::string &Prompt,
                std::uint64_t Tokens) {
  return A.Status == 200 && A.Complete && A.Finals == 1 &&
         A.Body.find("data: [DONE]") != std::string::npos &&
         textOf(A) == VirtualSite::expectedText(Prompt, Tokens);
}

int codeOf(const Answer &A) {
  Json Body = Json::parse(A.Body, nullptr, false);
  return Body.is_object() ? Body.value("code", -1) : -1;
}

/// Number of runs at the ledger servers with this key.
std::size_t runsOf(const VirtualSite &Site, const std::string &Key) {
  std::size_t Runs = 0;
  for (const LedgerRun &Run : Site.Runs)
    Runs += Run.Key == Key ? 1 : 0;
  return Runs;
}

std::string hostOtherThan(const std::string &Name) {
  for (const char *Host : {"north-1", "centre-1", "south-1"}) {
    if (Name != Host)
      return Host;
  }
  return "";
}

/// The checks at the end of every scenario: each request to a host that did not
/// fail got exactly one final answer in time, and engines hold no memory ten
/// seconds later.
void checkEnd(VirtualSite &Site) {
  Site.P.runFor(seconds(10));
  for (const Answer &A : Site.Answers) {
    if (A.HostDied || A.Left)
      continue;
    BOOST_TEST(A.Finals == 1);
    BOOST_TEST((A.Answered <= A.Limit));
  }
  BOOST_TEST(Site.tokensHeld() == 0U);
  std::map<std::string, std::size_t> Runs;
  for (const LedgerRun &Run : Site.Runs)
    BOOST_TEST(++Runs[Run.Account + "/" + Run.Key] == 1U, Run.Key);
}

/// Nine hosts. The three voters, one per data centre, come first.
SiteOptions nineHostSite() {
  SiteOptions Options;
  Options.Hosts = {"north-1",  "centre-1", "south-1", "north-2", "north-3",
                   "centre-2", "centre-3", "south-2", "south-3"};
  Options.Engines = 6;
  return Options;
}

} // namespace

BOOST_AUTO_TEST_CASE(StreamCarriesTheCompleteAnswer) {
  VirtualSite Site(SiteOptions(), 1);
  BOOST_TEST_REQUIRE(Site.start());
  std::vector<std::pair<Answer *, std::string>> Sent;
  for (int I = 0; I < 30; ++I) {
    std::string Prompt = "prompt number " + std::to_string(I);
    const char *Hosts[] = {"north-1", "centre-1", "south-1"};
    Sent.emplace_back(&Site.complete(Hosts[I % 3], Prompt, 20), Prompt);
    Site.P.runFor(milliseconds(20));
  }
  Site.P.runFor(seconds(3));
  for (auto &[A, Prompt] : Sent)
    BOOST_TEST(isComplete(*A, Prompt, 20), A->Body.substr(0, 300));
  checkEnd(Site);
}

BOOST_AUTO_TEST_CASE(PromptTooLongForTwoEnginesRunsInAGroup) {
  VirtualSite Site(SiteOptions(), 2);
  BOOST_TEST_REQUIRE(Site.start());
  std::string Prompt(std::size_t{4} * 220000, 'x');
  Answer &A = Site.complete("centre-1", Prompt, 10);
  Site.P.runFor(seconds(10));
  BOOST_TEST(isComplete(A, Prompt, 10), A.Body.substr(0, 300));
  checkEnd(Site);
}

BOOST_AUTO_TEST_CASE(SignOffSentToAllHostsRunsOnce) {
  VirtualSite Site(SiteOptions(), 3);
  BOOST_TEST_REQUIRE(Site.start());
  Answer &First = Site.signOff("north-1", "drill-1");
  Answer &Second = Site.signOff("centre-1", "drill-1");
  Site.P.runFor(seconds(1));
  Answer &Third = Site.signOff("south-1", "drill-1");
  Answer &Other = Site.signOff("south-1", "drill-1", "{\"other\":1}");
  Answer &OtherAccount =
      Site.signOff("south-1", "drill-1", "{}", seconds(10), "b");
  Site.P.runFor(seconds(1));
  BOOST_TEST(First.Status == 200);
  BOOST_TEST(Second.Body == First.Body);
  BOOST_TEST(Third.Body == First.Body);
  BOOST_TEST(codeOf(Other) == 108);
  BOOST_TEST(OtherAccount.Status == 200);
  BOOST_TEST(runsOf(Site, "drill-1") == 2U); // Once for each account.
  checkEnd(Site);
}

BOOST_AUTO_TEST_CASE(RequestsSurviveFailureOfAnyHost) {
  for (std::uint64_t Seed = 10; Seed < 22; ++Seed) {
    VirtualSite Site(SiteOptions(), Seed);
    BOOST_TEST_REQUIRE(Site.start());
    const char *Hosts[] = {"north-1", "centre-1", "south-1"};
    std::string Failed = Hosts[Seed % 3];
    std::vector<std::pair<Answer *, std::string>> Sent;
    for (int I = 0; I < 200; ++I) {
      if (I == 40)
        Site.kill(Failed);
      std::string Prompt = "p" + std::to_string(I);
      std::string Host = Hosts[I % 3];
      if (I >= 40 && Host == Failed)
        Host = hostOtherThan(Failed);
      Sent.emplace_back(&Site.complete(Host, Prompt, 10), Prompt);
      if (I % 5 == 0)
        Site.signOff(Host, "k" + std::to_string(I));
      Site.P.runFor(milliseconds(25));
    }
    Site.P.runFor(seconds(5));
    Duration Longest = Duration::zero();
    for (auto &[A, Prompt] : Sent) {
      if (A->HostDied)
        continue;
      BOOST_TEST(isComplete(*A, Prompt, 10), "seed " << Seed << " failed host "
                                                     << Failed << ": "
                                                     << A->Body.substr(0, 200));
      Longest = std::max(Longest, A->Answered - A->Sent);
    }
    // Guaranteed: requests continue at most two seconds after a host failure.
    BOOST_TEST(toMilliseconds(Longest) <= 2000,
               "seed " << Seed << ": " << toMilliseconds(Longest));
    BOOST_TEST_MESSAGE("seed " << Seed << ": longest answer after the failure "
                               << toMilliseconds(Longest) << " ms");
    checkEnd(Site);
  }
}

// While the scheduler of a cell is paused, another host takes over the cell.
// The resumed host must not go on granting with its old state.
BOOST_AUTO_TEST_CASE(ResumedSchedulerDoesNotActOnExpiredLease) {
  for (std::uint64_t Seed = 20; Seed < 24; ++Seed) {
    VirtualSite Site(SiteOptions(), Seed);
    BOOST_TEST_REQUIRE(Site.start());
    std::string Holder = Site.holder("north-1");
    std::string Other = hostOtherThan(Holder);
    Site.complete(Other, "before", 10);
    Site.P.freeze(HostId(Holder));
    Site.P.runFor(seconds(5));
    Answer &During = Site.complete(Other, "during", 10);
    Site.P.runFor(seconds(2));
    Site.P.thaw(HostId(Holder));
    Site.P.runFor(seconds(1));
    Answer &After = Site.complete(Other, "after", 10);
    Site.P.runFor(seconds(3));
    BOOST_TEST(isComplete(During, "during", 10), During.Body);
    BOOST_TEST(isComplete(After, "after", 10), After.Body);
    BOOST_TEST(Site.holder(Other) != Holder);
    checkEnd(Site);
  }
}

// A host without contact to the others may miss edits of documents. It refuses
// requests instead of serving an outdated document, and catches up afterwards.
BOOST_AUTO_TEST_CASE(PartitionedHostRefusesRequests) {
  VirtualSite Site(SiteOptions(), 30);
  BOOST_TEST_REQUIRE(Site.start());
  Site.P.isolate(HostId("south-1"));
  Site.P.runFor(seconds(3));
  Answer &Refused = Site.complete("south-1", "alone", 5);
  Answer &SignOff = Site.signOff("south-1", "alone");
  Answer &Edit = Site.put("north-1", "text", VirtualSite::modelDocument(2, 7));
  Answer &Served = Site.complete("north-1", "together", 5);
  Site.P.runFor(seconds(2));
  BOOST_TEST(!Site.serves("south-1"));
  BOOST_TEST(codeOf(Refused) == 204);
  BOOST_TEST(codeOf(SignOff) == 204);
  BOOST_TEST(runsOf(Site, "alone") == 0U);
  BOOST_TEST(Edit.Status == 200, Edit.Body);
  BOOST_TEST(isComplete(Served, "together", 5), Served.Body);
  BOOST_TEST(Site.numberAt("south-1", "text") == 1U);
  Site.P.healAll();
  Site.P.runFor(seconds(3));
  BOOST_TEST(Site.serves("south-1"));
  BOOST_TEST(Site.numberAt("south-1", "text") == 2U);
  checkEnd(Site);
}

// Completions need no replicated log and must continue when two of three
// voters fail. Calls that need a claim, and edits, are refused.
BOOST_AUTO_TEST_CASE(CompletionsContinueWithoutControlMajority) {
  VirtualSite Site(nineHostSite(), 40);
  BOOST_TEST_REQUIRE(Site.start());
  Site.kill("centre-1");
  Site.kill("south-1");
  Site.P.runFor(seconds(6));
  std::vector<std::pair<Answer *, std::string>> Sent;
  for (int I = 0; I < 20; ++I) {
    const char *Hosts[] = {"north-2", "centre-2", "south-3"};
    std::string Prompt = "p" + std::to_string(I);
    Sent.emplace_back(&Site.complete(Hosts[I % 3], Prompt, 5), Prompt);
    Site.P.runFor(milliseconds(100));
  }
  Answer &SignOff = Site.signOff("north-2", "k", "{}", seconds(3));
  Answer &Edit = Site.put("north-2", "text", VirtualSite::modelDocument(2));
  Site.P.runFor(seconds(12));
  for (auto &[A, Prompt] : Sent)
    BOOST_TEST(isComplete(*A, Prompt, 5), A->Body.substr(0, 200));
  BOOST_TEST(Json::parse(SignOff.Body)["outcome"] == "not_run");
  BOOST_TEST(Edit.Status == 503, Edit.Body);
  BOOST_TEST(runsOf(Site, "k") == 0U);
  checkEnd(Site);
}

BOOST_AUTO_TEST_CASE(RestartedHostIsUpToDateBeforeItServes) {
  VirtualSite Site(SiteOptions(), 50);
  BOOST_TEST_REQUIRE(Site.start());
  Site.kill("south-1");
  for (std::uint64_t Number = 2; Number <= 301; ++Number) {
    Answer &A = Site.put("north-1", "text",
                         VirtualSite::modelDocument(Number, 1 + Number % 9));
    BOOST_TEST_REQUIRE(
        Site.P.runUntilDone(seconds(10), [&] { return A.Finals > 0; }));
    BOOST_TEST_REQUIRE(A.Status == 200, A.Body);
  }
  Site.startHost("south-1");
  BOOST_TEST(
      Site.P.runUntilDone(seconds(10), [&] { return Site.serves("south-1"); }));
  BOOST_TEST(Site.numberAt("south-1", "text") == 301U);
  checkEnd(Site);
}

BOOST_AUTO_TEST_CASE(ExactlyOneOfTwoConcurrentEditsSucceeds) {
  for (std::uint64_t Seed = 60; Seed < 70; ++Seed) {
    VirtualSite Site(SiteOptions(), Seed);
    BOOST_TEST_REQUIRE(Site.start());
    Answer &A =
        Site.put("north-1", "text", VirtualSite::modelDocument(2, 5), "a");
    Answer &B =
        Site.put("south-1", "text", VirtualSite::modelDocument(2, 6), "b");
    Site.P.runFor(seconds(2));
    BOOST_TEST(((A.Status == 200) != (B.Status == 200)));
    Answer &Rejected = A.Status == 200 ? B : A;
    BOOST_TEST(Rejected.Status == 409);
    // A resend gets the same answer as the first send, also after a newer edit.
    Site.put("centre-1", "text", VirtualSite::modelDocument(3, 7), "c");
    Site.P.runFor(seconds(1));
    bool AWon = A.Status == 200;
    Answer &Again =
        Site.put("centre-1", "text",
                 VirtualSite::modelDocument(2, AWon ? 5 : 6), AWon ? "a" : "b");
    Site.P.runFor(seconds(1));
    BOOST_TEST(Again.Status == 200, Again.Body);
    BOOST_TEST(Json::parse(Again.Body)["number"] == 2);
    checkEnd(Site);
  }
}

double gauge(VirtualSite &Site, const std::string &Host,
             std::string_view Name) {
  double Sum = 0;
  for (const MetricSample &Sample :
       nodeGauges(Site.node(Host), Site.P.clock(HostId(Host)))) {
    if (Sample.Name == Name)
      Sum += Sample.Value;
  }
  return Sum;
}

BOOST_AUTO_TEST_CASE(GaugesShowMemoryHeldAndReleased) {
  VirtualSite Site(SiteOptions(), 95);
  BOOST_TEST_REQUIRE(Site.start());
  auto Total = [&](std::string_view Name) {
    double Sum = 0;
    for (const char *Host : {"north-1", "centre-1", "south-1"})
      Sum += gauge(Site, Host, Name);
    return Sum;
  };
  BOOST_TEST(Total("pimento_serving") == 3);
  BOOST_TEST(Total("pimento_cells_held") == 1);
  BOOST_TEST(Total("pimento_cells_held_tokens") == 0);
  Site.complete("north-1", "a prompt", 200);
  Site.P.runFor(milliseconds(500));
  BOOST_TEST(Total("pimento_requests") == 1);
  BOOST_TEST(Total("pimento_cells_grants") == 1);
  BOOST_TEST(Total("pimento_cells_held_tokens") >= 200);
  Site.P.runFor(seconds(20));
  BOOST_TEST(Total("pimento_requests") == 0);
  BOOST_TEST(Total("pimento_cells_held_tokens") == 0);
  checkEnd(Site);
}

BOOST_AUTO_TEST_CASE(DrainInterruptsNoRequest) {
  for (std::uint64_t Seed = 80; Seed < 83; ++Seed) {
    VirtualSite Site(SiteOptions(), Seed);
    BOOST_TEST_REQUIRE(Site.start());
    const char *Hosts[] = {"north-1", "centre-1", "south-1"};
    std::string Leaving = Hosts[Seed % 3];
    std::vector<std::pair<Answer *, std::string>> Sent;
    for (int I = 0; I < 10; ++I) {
      std::string Prompt = "p" + std::to_string(I);
      Sent.emplace_back(&Site.complete(Leaving, Prompt, 500), Prompt);
    }
    Site.P.runFor(milliseconds(500));
    Site.stop(Leaving);
    Site.P.runFor(milliseconds(500));
    BOOST_TEST(!Site.serves(Leaving));
    for (int I = 10; I < 60; ++I) {
      std::string Prompt = "p" + std::to_string(I);
      Sent.emplace_back(&Site.complete(hostOtherThan(Leaving), Prompt, 10),
                        Prompt);
      Site.P.runFor(milliseconds(50));
    }
    Answer &Late = Site.complete(Leaving, "late", 10);
    Site.P.runFor(seconds(8));
    for (auto &[A, Prompt] : Sent)
      BOOST_TEST(isComplete(*A, Prompt, A->Host.Value == Leaving ? 500 : 10),
                 A->Body.substr(0, 200));
    BOOST_TEST((Late.HostDied || codeOf(Late) == 205));
    BOOST_TEST(Site.P.node(HostId(Leaving)).ExitStatus == 0);
    checkEnd(Site);
  }
}

BOOST_AUTO_TEST_CASE(LeavingAndSilentServersGetNoNewRequests) {
  VirtualSite Site(SiteOptions(), 90);
  BOOST_TEST_REQUIRE(Site.start());
  Site.faults("ledger-1").Leaving = true;
  Site.faults("engine-1").SkipsAnnouncements = true;
  Site.P.runFor(seconds(3)); // Guaranteed: no new requests after 3 s.
  std::size_t Before = Site.Runs.size();
  for (int I = 0; I < 20; ++I)
    Site.signOff("north-1", "late-" + std::to_string(I));
  std::vector<Answer *> Sent;
  Sent.reserve(20);
  for (int I = 0; I < 20; ++I)
    Sent.push_back(&Site.complete("south-1", "p" + std::to_string(I), 5));
  Site.P.runFor(seconds(3));
  BOOST_TEST(Site.Runs.size() == Before + 20);
  for (std::size_t I = Before; I < Site.Runs.size(); ++I)
    BOOST_TEST(Site.Runs[I].Server.Value == "ledger-2");
  for (Answer *A : Sent)
    BOOST_TEST(A->Status == 200);
  BOOST_TEST(Site.attemptsAt("engine-1") == 0U);
  checkEnd(Site);
}

BOOST_AUTO_TEST_CASE(EngineFailureLosesNoRequest) {
  for (std::uint64_t Seed = 100; Seed < 104; ++Seed) {
    VirtualSite Site(SiteOptions(), Seed);
    BOOST_TEST_REQUIRE(Site.start());
    std::vector<std::pair<Answer *, std::string>> Sent;
    for (int I = 0; I < 20; ++I) {
      std::string Prompt = "p" + std::to_string(I);
      Sent.emplace_back(&Site.complete("north-1", Prompt, 60, false), Prompt);
    }
    Site.P.runFor(milliseconds(200));
    Site.faults("engine-1").Down = true;
    Site.dropReaders("engine-1");
    Site.P.runFor(seconds(8));
    for (auto &[A, Prompt] : Sent)
      BOOST_TEST(A->Status == 200, A->Body.substr(0, 200));
    Site.restartBackend("engine-1");
    checkEnd(Site);
  }
}
