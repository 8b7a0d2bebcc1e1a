// Golden tests: the events and effects of each host in a session, in virtual
// time, are compared with recorded text. After an intended change of behaviour,
// regenerate the files with scripts/golden and review the diff.

#include <boost/test/unit_test.hpp>

#include "node/tests/VirtualSite.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace pimento;
using namespace pimento::test;

namespace {

constexpr std::uint64_t Seed = 7;

std::string goldenPath(const std::string &Name) {
  return std::string(PIMENTO_SOURCE_DIR) + "/packages/node/tests/golden/" +
         Name + ".txt";
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Describes the first line in which two texts differ; empty: equal.
std::string firstDifference(const std::string &Want, const std::string &Got) {
  std::istringstream A(Want);
  std::istringstream B(Got);
  std::string LineA;
  std::string LineB;
  for (int Line = 1;; ++Line) {
    bool MoreA = static_cast<bool>(std::getline(A, LineA));
    bool MoreB = static_cast<bool>(std::getline(B, LineB));
    if (!MoreA && !MoreB)
      return "";
    if (LineA != LineB || MoreA != MoreB)
      return "line " + std::to_string(Line) +
             ("\n  golden: " + LineA).append("\n  now:    " + LineB);
  }
}

/// A session, recorded from the time at which the site starts to serve.
struct Session {
  VirtualSite Site;
  std::string Text;
  TimePoint Began;
  /// Called with each recorded line.
  std::function<void(const std::string &)> OnLine;

  explicit Session(SiteOptions Options = SiteOptions())
      : Site(std::move(Options), Seed) {
    BOOST_TEST_REQUIRE(Site.start());
    Began = Site.P.now();
    Site.Record = [this](const std::string &Line) { append(Line); };
  }

  void append(const std::string &Line) {
    std::size_t Space = Line.find(' ');
    auto Base = toMilliseconds(Began.time_since_epoch());
    auto At = std::stoll(Line.substr(0, Space)) - Base;
    Text += std::to_string(At) + " ms" + Line.substr(Space) + "\n";
    if (OnLine)
      OnLine(Line);
  }

  void compare(const std::string &Name) {
    Site.Record = nullptr;
    if (std::getenv("PIMENTO_WRITE_GOLDEN")) {
      std::ofstream(goldenPath(Name)) << Text;
      return;
    }
    BOOST_TEST_REQUIRE(Text.size() > 100U);
    std::string Difference = firstDifference(readFile(goldenPath(Name)), Text);
    BOOST_TEST(Difference.empty(), Name << ": " << Difference);
  }
};

bool contains(const std::string &Line, const char *Part) {
  return Line.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Golden)

BOOST_AUTO_TEST_CASE(StreamedCompletion) {
  Session S;
  S.Site.complete("north-1", "Summarise the file of one trainee.", 8);
  S.Site.P.runFor(seconds(1));
  S.compare("streamed-completion");
}

BOOST_AUTO_TEST_CASE(LongPromptInAGroup) {
  Session S;
  S.Site.complete("centre-1", std::string(std::size_t{4} * 220000, 'x'), 8);
  S.Site.P.runFor(seconds(4));
  S.compare("long-prompt-in-a-group");
}

BOOST_AUTO_TEST_CASE(SignOffSentTwice) {
  Session S;
  S.Site.signOff("north-1", "drill-1");
  S.Site.P.runFor(milliseconds(500));
  S.Site.signOff("south-1", "drill-1");
  S.Site.P.runFor(milliseconds(500));
  S.compare("sign-off-sent-twice");
}

BOOST_AUTO_TEST_CASE(LeaderDiesBetweenClaimAndSend) {
  Session S;
  bool Killed = false;
  S.OnLine = [&](const std::string &Line) {
    std::string Leader = S.Site.leader();
    if (Killed || !contains(Line, "-> to ") || !contains(Line, "ClaimReply"))
      return;
    Killed = true;
    S.Site.P.at(Duration::zero(), [&S, Leader] { S.Site.kill(Leader); });
  };
  std::string Entry = S.Site.leader() == "north-1" ? "south-1" : "north-1";
  Answer &A = S.Site.signOff(Entry, "drill-2");
  S.Site.P.runFor(seconds(6));
  BOOST_TEST(Killed);
  BOOST_TEST(A.Finals == 1);
  BOOST_TEST(S.Site.Runs.size() <= 1U);
  S.compare("leader-dies-between-claim-and-send");
}

BOOST_AUTO_TEST_CASE(EngineDiesMidStream) {
  Session S;
  Answer &A = S.Site.complete("north-1", "Audit one base.", 200);
  S.Site.P.runFor(milliseconds(500));
  for (const char *Engine : {"engine-1", "engine-2", "engine-3"}) {
    if (S.Site.attemptsAt(Engine) == 0)
      continue;
    S.Site.faults(Engine).Down = true;
    S.Site.dropReaders(Engine);
  }
  S.Site.P.runFor(seconds(4));
  BOOST_TEST(A.Finals == 1);
  BOOST_TEST(A.Body.find("[DONE]") == std::string::npos);
  S.compare("engine-dies-mid-stream");
}

BOOST_AUTO_TEST_CASE(RefusalUnderLoad) {
  SiteOptions Options;
  Options.Engines = 1;
  Session S(Options);
  for (int I = 0; I < 6; ++I) { // Lets the cell measure the engine's rates.
    S.Site.complete("north-1", std::string(40000, 'a' + I), 4);
    S.Site.P.runFor(milliseconds(500));
  }
  S.Text.clear();
  for (int I = 0; I < 12; ++I)
    S.Site.complete("north-1", std::string(200000, 'a' + I), 50, false,
                    milliseconds(900));
  S.Site.P.runFor(seconds(2));
  BOOST_TEST(contains(S.Text, "not_run"));
  S.compare("refusal-under-load");
}

BOOST_AUTO_TEST_CASE(OperatorsRace) {
  Session S;
  S.Site.put("north-1", "text", VirtualSite::modelDocument(2, 5), "edit-a");
  S.Site.put("south-1", "text", VirtualSite::modelDocument(2, 6), "edit-b");
  S.Site.P.runFor(seconds(1));
  S.compare("operators-race");
}

BOOST_AUTO_TEST_CASE(Drain) {
  Session S;
  S.Site.complete("north-1", "Review one recurrent cycle.", 300);
  S.Site.P.runFor(milliseconds(200));
  S.Site.stop("north-1");
  S.Site.P.runFor(seconds(8));
  BOOST_TEST(S.Site.P.node(HostId("north-1")).ExitStatus == 0);
  S.compare("drain");
}

BOOST_AUTO_TEST_SUITE_END()
