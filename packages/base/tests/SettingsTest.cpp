#include <boost/test/unit_test.hpp>

#include "base/Settings.h"

#include <fstream>
#include <sstream>

using namespace pimento;

namespace {

const std::string Digest(64, 'a');

std::string validText() {
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

void expectOneProblem(const std::string &Extra, Code Number,
                      const std::string &Key) {
  std::vector<SettingProblem> Problems = problemsOf(validText() + Extra);
  BOOST_TEST_REQUIRE(Problems.size() == 1U, Extra);
  BOOST_TEST(Problems[0].Number == Number);
  BOOST_TEST(Problems[0].Key == Key);
}

} // namespace

BOOST_AUTO_TEST_CASE(ValidSettingsAreRead) {
  Settings S;
  std::vector<SettingProblem> Problems;
  std::string Text = validText() + "[limits]\nbody = 2MiB\nread_timeout = 5s\n";
  BOOST_TEST(readSettings(Text, "site.ini", S, Problems));
  BOOST_TEST(S.Limits.BodyBytes == 2U << 20U);
  BOOST_TEST((S.Limits.ReadTimeout == seconds(5)));
  BOOST_TEST_REQUIRE(S.Peers.size() == 1U);
  BOOST_TEST(S.Peers[0].Voter);
}

BOOST_AUTO_TEST_CASE(EachKindOfErrorHasItsCodeAndKey) {
  expectOneProblem("[limits]\nbdoy = 2MiB\n", Code::SettingUnknown, "bdoy");
  expectOneProblem("[limits]\nbody = 2\n", Code::SettingInvalid, "body");
  expectOneProblem("[limits]\nbody = 2s\n", Code::SettingInvalid, "body");
  expectOneProblem("[limits]\nbody = 1B\n", Code::SettingInvalid, "body");
  expectOneProblem("[limits]\nread_timeout = 5\n", Code::SettingInvalid,
                   "read_timeout");
  expectOneProblem("[limits]\nbody = 2MiB\nbody = 3MiB\n", Code::SettingClash,
                   "body");
  expectOneProblem("[control]\nelection_timeout = 150ms\n", Code::SettingClash,
                   "election_timeout");
  expectOneProblem("[retries]\nbudget_share = 1.5\n", Code::SettingInvalid,
                   "budget_share");
  expectOneProblem("[log]\nlevel = loud\n", Code::SettingInvalid, "level");
}

BOOST_AUTO_TEST_CASE(ErrorTextNamesFileLineExpectedAndFoundValue) {
  auto Problems = problemsOf(validText() + "[limits]\nbody = 2\n");
  BOOST_TEST_REQUIRE(Problems.size() == 1U);
  BOOST_TEST(formatProblem(Problems[0]) ==
             "site.ini:15: [limits] body: expected bytes, 1KiB to 256MiB, "
             "found '2' (601 SettingInvalid)");
}

BOOST_AUTO_TEST_CASE(AllErrorsAreReportedTogether) {
  auto Problems = problemsOf("[host]\nname = a b\n[limits]\nbody = x\n");
  BOOST_TEST(Problems.size() > 5U);
}

BOOST_AUTO_TEST_CASE(ErrorsDoNotContainSecrets) {
  std::string Text = validText();
  Text.replace(Text.find(Digest), Digest.size(), "my-secret");
  auto Problems = problemsOf(Text);
  BOOST_TEST_REQUIRE(Problems.size() == 1U);
  BOOST_TEST(Problems[0].Found.find("my-secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(HostMissingFromPeersIsRejected) {
  std::string Text = validText();
  Text.replace(Text.find("[peers]\nn1"), 10, "[peers]\nn2");
  auto Problems = problemsOf(Text);
  BOOST_TEST_REQUIRE(Problems.size() == 1U);
  BOOST_TEST(Problems[0].Number == Code::SettingClash);
}

// inih splits a long line in two, which would give a wrong entry.
BOOST_AUTO_TEST_CASE(TooLongLineIsRejected) {
  auto Problems =
      problemsOf(validText() + "[log]\nfile = " + std::string(300, 'x') + "\n");
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
