#include <boost/test/unit_test.hpp>

#include "base/Settings.h"

#include <fstream>
#include <sstream>

using namespace pimento;

namespace {

const std::string Digest(64, 'a');

std::string goodText() {
  return "[host]\nname = n1\ndata_centre = north\n"
         "caller_address = 127.0.0.1:7001\n"
         "operator_address = 127.0.0.1:7101\n"
         "peer_address = 127.0.0.1:7201\ndata_folder = data\n"
         "[security]\noperator_token_sha256 = " +
         Digest + "\nbackend_token_sha256 = " + Digest +
         "\npeer_token = hidden\n"
         "[peers]\nn1 = north 127.0.0.1:7201 voter\n";
}

std::vector<SettingProblem> problemsOf(const std::string &Text) {
  Settings S;
  std::vector<SettingProblem> Problems;
  readSettings(Text, "site.ini", S, Problems);
  return Problems;
}

void expectOne(const std::string &Extra, Code Number, const std::string &Key) {
  std::vector<SettingProblem> Problems = problemsOf(goodText() + Extra);
  BOOST_TEST_REQUIRE(Problems.size() == 1U, Extra);
  BOOST_TEST(Problems[0].Number == Number);
  BOOST_TEST(Problems[0].Key == Key);
}

} // namespace

BOOST_AUTO_TEST_CASE(GoodSettingsAreRead) {
  Settings S;
  std::vector<SettingProblem> Problems;
  std::string Text = goodText() + "[limits]\nbody = 2MiB\nread_timeout = 5s\n";
  BOOST_TEST(readSettings(Text, "site.ini", S, Problems));
  BOOST_TEST(S.Limits.BodyBytes == 2U << 20U);
  BOOST_TEST((S.Limits.ReadTimeout == seconds(5)));
  BOOST_TEST_REQUIRE(S.Peers.size() == 1U);
  BOOST_TEST(S.Peers[0].Voter);
}

BOOST_AUTO_TEST_CASE(EachKindOfProblemIsNamed) {
  expectOne("[limits]\nbdoy = 2MiB\n", Code::SettingUnknown, "bdoy");
  expectOne("[limits]\nbody = 2\n", Code::SettingInvalid, "body");
  expectOne("[limits]\nbody = 2s\n", Code::SettingInvalid, "body");
  expectOne("[limits]\nbody = 1B\n", Code::SettingInvalid, "body");
  expectOne("[limits]\nread_timeout = 5\n", Code::SettingInvalid,
            "read_timeout");
  expectOne("[limits]\nbody = 2MiB\nbody = 3MiB\n", Code::SettingClash, "body");
  expectOne("[control]\nelection_timeout = 150ms\n", Code::SettingClash,
            "election_timeout");
  expectOne("[retries]\nbudget_share = 1.5\n", Code::SettingInvalid,
            "budget_share");
  expectOne("[log]\nlevel = loud\n", Code::SettingInvalid, "level");
}

BOOST_AUTO_TEST_CASE(ProblemsTellFileLineAndExpectation) {
  auto Problems = problemsOf(goodText() + "[limits]\nbody = 2\n");
  BOOST_TEST_REQUIRE(Problems.size() == 1U);
  BOOST_TEST(formatProblem(Problems[0]) ==
             "site.ini:15: [limits] body: expected bytes, 1KiB to 256MiB, "
             "found '2' (601 SettingInvalid)");
}

BOOST_AUTO_TEST_CASE(AllProblemsAreListedAtOnce) {
  auto Problems = problemsOf("[host]\nname = a b\n[limits]\nbody = x\n");
  BOOST_TEST(Problems.size() > 5U);
}

BOOST_AUTO_TEST_CASE(SecretsAreNotEchoed) {
  std::string Text = goodText();
  Text.replace(Text.find(Digest), Digest.size(), "my-secret");
  auto Problems = problemsOf(Text);
  BOOST_TEST_REQUIRE(Problems.size() == 1U);
  BOOST_TEST(Problems[0].Found.find("my-secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(HostMustStandInItsOwnPeerList) {
  std::string Text = goodText();
  Text.replace(Text.find("[peers]\nn1"), 10, "[peers]\nn2");
  auto Problems = problemsOf(Text);
  BOOST_TEST_REQUIRE(Problems.size() == 1U);
  BOOST_TEST(Problems[0].Number == Code::SettingClash);
}

BOOST_AUTO_TEST_CASE(LongLinesAreNotCutInTwo) {
  auto Problems =
      problemsOf(goodText() + "[log]\nfile = " + std::string(300, 'x') + "\n");
  BOOST_TEST_REQUIRE(Problems.size() == 1U);
  BOOST_TEST(Problems[0].Number == Code::SettingsUnreadable);
}

BOOST_AUTO_TEST_CASE(EverySettingIsDocumented) {
  std::ifstream File(std::string(PIMENTO_SOURCE_DIR) + "/docs/SETTINGS.md");
  std::ostringstream Text;
  Text << File.rdbuf();
  for (const SettingInfo &Info : settingTable()) {
    std::ostringstream Row;
    Row << "| " << Info.Section << " | " << Info.Key << " | " << Info.Type
        << " | " << Info.Range << " | "
        << (Info.Required ? "required" : Info.Default) << " | " << Info.Meaning
        << " |";
    BOOST_TEST((Text.str().find(Row.str()) != std::string::npos),
               "docs/SETTINGS.md lacks: " << Row.str());
  }
}
