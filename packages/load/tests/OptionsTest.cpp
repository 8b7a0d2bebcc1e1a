#include <boost/test/unit_test.hpp>

#include "load/Options.h"
#include "load/Plan.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <set>

using namespace pimento;
using namespace pimento::load;

namespace {

constexpr const char *SiteText = R"({
  "hosts": [{"caller": "http://127.0.0.1:7001"},
            {"caller": "http://127.0.0.2:7001"}],
  "accounts": {"aurora": "token-a", "brisa": "token-b"},
  "weights": {"aurora": 4},
  "models": ["atlas"], "plainService": "crew-ledger",
  "nonRepeatableCall": "signoffs"})";

/// A file that is removed at the end of the test.
struct TemporaryFile {
  std::string Path = (std::filesystem::temp_directory_path() /
                      ("load-test-" + std::to_string(::getpid())))
                         .string();
  explicit TemporaryFile(const std::string &Text) {
    std::ofstream(Path) << Text;
  }
  ~TemporaryFile() { std::filesystem::remove(Path); }
};

/// Parses the arguments and returns the result code.
Code codeOf(const std::vector<std::string> &Arguments, Options &O) {
  Failure Why;
  Why.Number = Code::Ok;
  O = valueOr([&] { return readOptions(Arguments); }, Options(), Why);
  return Why.Number;
}

PlanSettings highRatePlan() {
  PlanSettings S;
  S.Rate = 100;
  S.Length = seconds(60);
  S.Accounts = 10;
  S.Hosts = 3;
  return S;
}

} // namespace

BOOST_AUTO_TEST_CASE(SiteFileIsParsed) {
  TemporaryFile File(SiteText);
  Options O;
  Code Number = codeOf({"--site=" + File.Path, "--mix=taller", "--rate=50",
                        "--seconds=20", "--seed=9", "--scale=0.01", "--alone",
                        "--weights=brisa:2"},
                       O);
  BOOST_TEST(Number == Code::Ok);
  BOOST_TEST(O.Site.Hosts.size() == 2U);
  BOOST_TEST(O.Site.Hosts[0] == "127.0.0.1:7001");
  BOOST_TEST(O.Site.Accounts[0].Token == "token-a");
  BOOST_TEST(O.Site.Accounts[0].Weight.value_or(0) == 4);
  BOOST_TEST(O.Site.Accounts[1].Weight.value_or(0) == 2);
  BOOST_TEST((O.Plan.Workload == WorkloadKind::Taller));
  BOOST_TEST(O.Plan.Accounts == 2U);
  BOOST_TEST(O.Plan.Hosts == 2U);
  BOOST_TEST(O.Plan.PlainCalls);
  BOOST_TEST(O.Plan.Requests == MaxRequests / 2); // Halved for two phases.
  BOOST_TEST(O.ExactCounts);
}

BOOST_AUTO_TEST_CASE(TargetRequiresTokenFileAndModel) {
  TemporaryFile File("token-a\n");
  std::string Account = "--account=aurora:" + File.Path;
  Options O;
  BOOST_TEST(codeOf({"--target=http://127.0.0.1:1/,http://127.0.0.2:2", Account,
                     "--model=atlas"},
                    O) == Code::Ok);
  BOOST_TEST(O.Site.Hosts[1] == "127.0.0.2:2");
  BOOST_TEST(O.Site.Accounts[0].Token == "token-a");
  BOOST_TEST(!O.Plan.PlainCalls);
  BOOST_TEST(!O.ExactCounts);
  BOOST_TEST(codeOf({"--target=http://127.0.0.1:1", Account}, O) ==
             Code::SettingMissing);
  BOOST_TEST(codeOf({"--target=http://127.0.0.1:1", "--model=atlas",
                     Account + ".none"},
                    O) == Code::SettingsUnreadable);
}

BOOST_AUTO_TEST_CASE(ArgumentsOutOfRangeAreRejected) {
  TemporaryFile File(SiteText);
  std::string Site = "--site=" + File.Path;
  Options O;
  for (const char *Bad :
       {"--rate=2001", "--rate=0", "--rate=nan", "--rate=5x", "--seconds=601",
        "--seconds=0", "--requests=100001", "--requests=-1", "--requests=0",
        "--scale=2", "--seed=x", "--mix=other", "--rate="})
    BOOST_TEST(codeOf({Site, Bad}, O) == Code::SettingInvalid, Bad);
  BOOST_TEST(codeOf({Site, "--seconds=301", "--alone"}, O) ==
             Code::SettingInvalid);
  for (const char *Bad : {"--speed=3", "rate", "--rate"})
    BOOST_TEST(codeOf({Site, Bad}, O) == Code::SettingUnknown, Bad);
  BOOST_TEST(codeOf({}, O) == Code::SettingMissing);
}

BOOST_AUTO_TEST_CASE(PlanIsReproducibleAndWithinLimits) {
  PlanSettings S = highRatePlan();
  std::vector<Arrival> Plan = makePlan(S);
  std::vector<Arrival> Again = makePlan(S);
  S.Seed = 2;
  std::vector<Arrival> Other = makePlan(S);
  BOOST_TEST_REQUIRE(Plan.size() == Again.size());
  bool Same = true;
  for (std::size_t I = 0; I != Plan.size(); ++I) {
    Same = Same && Plan[I].At == Again[I].At &&
           Plan[I].PromptTokens == Again[I].PromptTokens;
    BOOST_TEST_REQUIRE(Plan[I].Number == I);
    BOOST_TEST_REQUIRE((I == 0 || Plan[I].At >= Plan[I - 1].At));
  }
  BOOST_TEST(Same);
  BOOST_TEST((Other.front().At != Plan.front().At));
  S.Requests = 50;
  BOOST_TEST(makePlan(S).size() == 50U);
}

BOOST_AUTO_TEST_CASE(OnePromptInFiftyIsLong) {
  for (WorkloadKind Workload : {WorkloadKind::Pamoja, WorkloadKind::Taller}) {
    PlanSettings S = highRatePlan();
    S.Workload = Workload;
    std::size_t Completions = 0;
    std::size_t Long = 0;
    for (const Arrival &A : makePlan(S)) {
      if (A.Kind != RequestKind::Completion)
        continue;
      ++Completions;
      Long += A.PromptTokens > LongTokens ? 1 : 0;
      BOOST_TEST_REQUIRE(A.PromptTokens <= LongestTokens);
      BOOST_TEST_REQUIRE((A.PromptTokens > LongTokens) ==
                         (A.Class == LengthClass::Long));
    }
    BOOST_TEST(Long >= Completions / 50);
    BOOST_TEST(Long <= Completions / 50 + 1);
  }
}

BOOST_AUTO_TEST_CASE(RepeatsHaveSameKeyAndAnotherHost) {
  std::vector<Arrival> Plan = makePlan(highRatePlan());
  std::set<std::string> Keys;
  std::size_t Repeats = 0;
  for (const Arrival &A : Plan) {
    if (A.Kind != RequestKind::NonRepeatable)
      continue;
    Keys.insert(keyText("run", A));
    if (!A.RepeatOf)
      continue;
    ++Repeats;
    const Arrival &First = Plan[*A.RepeatOf];
    BOOST_TEST_REQUIRE(!First.RepeatOf);
    BOOST_TEST_REQUIRE((First.Kind == RequestKind::NonRepeatable));
    BOOST_TEST_REQUIRE(First.Host != A.Host);
    BOOST_TEST_REQUIRE(keyText("run", First) == keyText("run", A));
  }
  BOOST_TEST(Repeats > 0U);
  BOOST_TEST(keyText("run", Plan[0]) != keyText("other", Plan[0]));
}

BOOST_AUTO_TEST_CASE(PromptsHavePlannedLengthAndUniquePrefix) {
  std::set<std::string> Starts;
  for (const Arrival &A : shortOnly(makePlan(highRatePlan()))) {
    BOOST_TEST_REQUIRE((A.Class == LengthClass::Short));
    std::string Text = promptText("load-0123456789abcdef-shared", A);
    BOOST_TEST_REQUIRE(Text.size() == A.PromptTokens * BytesPerToken);
    BOOST_TEST_REQUIRE(
        Starts.insert(Text.substr(0, MinPromptTokens * BytesPerToken)).second);
  }
  BOOST_TEST(!Starts.empty());
}
