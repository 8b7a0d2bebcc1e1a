#define BOOST_TEST_MODULE ctl
#include <boost/test/unit_test.hpp>

#include "ctl/Command.h"

#include <fstream>
#include <sstream>

using namespace pimento;
using namespace pimento::ctl;

namespace {

bool parses(const std::vector<std::string> &Words, Command &C,
            const Options &O = Options()) {
  std::string Why;
  bool Good = parseCommand(Words, O, C, Why);
  BOOST_TEST(Good == Why.empty(), Why);
  return Good;
}

} // namespace

BOOST_AUTO_TEST_CASE(ValidArgumentsAreParsed) {
  Command C;
  BOOST_TEST(parses({"document", "get", "crew-ledger"}, C));
  BOOST_TEST((C.Kind == CommandKind::DocumentGet));
  BOOST_TEST(C.Service.Value == "crew-ledger");
  BOOST_TEST(parses({"document", "diff", "a.json", "-"}, C));
  BOOST_TEST((C.Kind == CommandKind::DocumentDiff));
  BOOST_TEST(C.Service.empty());
  BOOST_TEST(C.Files.size() == 2U);
  BOOST_TEST(parses({"status"}, C));
  BOOST_TEST((C.Kind == CommandKind::Status));
}

BOOST_AUTO_TEST_CASE(InvalidArgumentsAreRejected) {
  Command C;
  BOOST_TEST(!parses({}, C));
  BOOST_TEST(!parses({"document"}, C));
  BOOST_TEST(!parses({"document", "burn", "x"}, C));
  BOOST_TEST(!parses({"document", "put"}, C));
  BOOST_TEST(!parses({"document", "put", "a", "b"}, C));
  BOOST_TEST(!parses({"in-force", ""}, C));
  BOOST_TEST(!parses({"status", "now"}, C));
  BOOST_TEST(!parses({"document", "diff", "-", "-"}, C));
}

BOOST_AUTO_TEST_CASE(EditIdIsAcceptedOnlyForPut) {
  Options O;
  O.EditId = "rise-7";
  Command C;
  BOOST_TEST(parses({"document", "put", "a"}, C, O));
  BOOST_TEST(!parses({"document", "get", "a"}, C, O));
  O.EditId = "a\nHost: b";
  BOOST_TEST(!parses({"document", "put", "a"}, C, O));
  O.EditId = std::string(300, 'a');
  BOOST_TEST(!parses({"document", "put", "a"}, C, O));
}

BOOST_AUTO_TEST_CASE(OperatorAddressesMustBeNumeric) {
  std::vector<std::string> Addresses;
  std::string Why;
  BOOST_TEST(parseOperators("http://127.0.0.1:81,[::1]:82,127.0.0.3:83/",
                            Addresses, Why));
  std::vector<std::string> Expected = {"127.0.0.1:81", "[::1]:82",
                                       "127.0.0.3:83"};
  BOOST_TEST(Addresses == Expected, boost::test_tools::per_element());
  for (const char *Bad : {"http://localhost:81", "127.0.0.1", "",
                          "127.0.0.1:81,", "https://127.0.0.1:81"})
    BOOST_TEST(!parseOperators(Bad, Addresses, Why), Bad);
}

BOOST_AUTO_TEST_CASE(HelpAndManualNameEveryCommandAndExitCode) {
  std::ifstream File(std::string(PIMENTO_SOURCE_DIR) + "/docs/CTL.md");
  std::stringstream Manual;
  Manual << File.rdbuf();
  for (const CommandInfo &Row : commandTable()) {
    std::string Words = Row.Group;
    if (*Row.Verb != '\0')
      Words += std::string(" ") + Row.Verb;
    BOOST_TEST((usage().find(Words) != std::string::npos), Words);
    BOOST_TEST((Manual.str().find("## " + Words) != std::string::npos), Words);
  }
  for (int I = 0; I <= static_cast<int>(ExitCode::UnknownService); ++I) {
    std::string Row = "| " + std::to_string(I) + " |";
    BOOST_TEST((Manual.str().find(Row) != std::string::npos), Row);
  }
}
