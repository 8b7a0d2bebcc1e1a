#include <boost/test/unit_test.hpp>

#include "base/Codes.h"

#include <fstream>
#include <set>
#include <sstream>

using namespace pimento;

namespace {

std::string readFile(const std::string &Name) {
  std::ifstream File(std::string(PIMENTO_SOURCE_DIR) + "/" + Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string documentedRow(const CodeInfo &Row) {
  std::ostringstream OS;
  OS << "| " << static_cast<unsigned>(Row.Number) << " | " << Row.Name << " | "
     << Row.HttpStatus << " | " << toString(Row.Result) << " | " << Row.Meaning
     << " |";
  return OS.str();
}

} // namespace

BOOST_AUTO_TEST_CASE(CodeNumbersAreUniqueAndCanBeLookedUp) {
  std::set<unsigned> Seen;
  for (const CodeInfo *Row = codeTable(); Row->Name; ++Row) {
    auto Number = static_cast<std::uint16_t>(Row->Number);
    BOOST_TEST(Seen.insert(Number).second, Row->Name);
    Code Found = Code::Ok;
    BOOST_TEST(codeFromNumber(Number, Found));
    BOOST_TEST(Found == Row->Number);
  }
  Code Unused = Code::Ok;
  BOOST_TEST(!codeFromNumber(9999, Unused));
}

BOOST_AUTO_TEST_CASE(EveryCodeIsDocumented) {
  std::string Page = readFile("docs/ERRORS.md");
  for (const CodeInfo *Row = codeTable(); Row->Name; ++Row)
    BOOST_TEST((Page.find(documentedRow(*Row)) != std::string::npos),
               "docs/ERRORS.md lacks: " << documentedRow(*Row));
}

BOOST_AUTO_TEST_CASE(DocumentedCodesExist) {
  std::istringstream Page(readFile("docs/ERRORS.md"));
  std::string Line;
  while (std::getline(Page, Line)) {
    unsigned Number = 0;
    char Bar = 0;
    std::istringstream Row(Line);
    if (!(Row >> Bar >> Number) || Bar != '|')
      continue;
    Code Found = Code::Ok;
    BOOST_TEST(codeFromNumber(static_cast<std::uint16_t>(Number), Found), Line);
  }
}
