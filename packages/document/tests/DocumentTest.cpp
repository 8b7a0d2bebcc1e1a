#define BOOST_TEST_MODULE document
#include <boost/test/unit_test.hpp>

#include "base/Random.h"
#include "document/Document.h"

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace pimento;

namespace {

const std::string Digest(64, 'a');

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  std::size_t At = Text.find(Old);
  BOOST_REQUIRE_MESSAGE(At != std::string::npos, Old);
  return Text.replace(At, Old.size(), New);
}

std::string modelText() {
  return R"({"number": 3, "service": "crew", "kind": "model",
    "time_limit_ms": {"default": 60000, "max": 300000},
    "accounts": [{"account": "aero", "token_sha256": [")" +
         Digest + R"("], "weight": 10, "max_waiting": 50}],
    "models": [{"name": "atlas", "context_tokens": 1000000, "replicas": 4,
                "adapters": ["atlas-crew"], "versions": ["atlas-2"],
                "data_centres": ["north"]}],
    "retry_budget": 0.2, "ignores_fence": ["engine-3"]})";
}

std::string plainText() {
  return R"({"number": 1, "service": "ledger", "kind": "plain",
    "time_limit_ms": {"default": 1000, "max": 5000}, "accounts": [],
    "calls": [{"path": "signoffs", "methods": ["POST"], "repeatable": false},
              {"path": "signoffs/list", "methods": ["GET"],
               "repeatable": true}],
    "claim_retention_hours": 48})";
}

bool lists(const DocumentCheck &Check, const std::string &Path) {
  return std::any_of(Check.Errors.begin(), Check.Errors.end(),
                     [&](const DocumentError &E) { return E.Path == Path; });
}

std::string fileText(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

BOOST_AUTO_TEST_CASE(AModelDocumentIsRead) {
  DocumentCheck Check = checkDocument(modelText());
  BOOST_REQUIRE(Check.good());
  const ServiceDocument &D = Check.Document;
  BOOST_TEST(D.Number == 3U);
  BOOST_TEST(D.Service == ServiceId("crew"));
  BOOST_TEST((D.MaxTimeLimit == minutes(5)));
  BOOST_TEST(D.RetryBudget == 0.2);
  BOOST_TEST(D.IgnoresFence.size() == 1U);
  BOOST_TEST(findModel(D, ModelName("atlas-crew")) == D.Models.data());
  BOOST_TEST(findModel(D, ModelName("atlas-2")) == D.Models.data());
  BOOST_TEST(!findModel(D, ModelName("other")));
  BOOST_REQUIRE(findAccountByToken(D, Digest));
  BOOST_TEST(findAccountByToken(D, Digest)->Weight == 10U);
  BOOST_TEST(!findAccount(D, AccountId("nobody")));
}

BOOST_AUTO_TEST_CASE(APlainDocumentIsRead) {
  DocumentCheck Check = checkDocument(plainText());
  BOOST_REQUIRE(Check.good());
  const ServiceDocument &D = Check.Document;
  BOOST_TEST((D.ClaimRetention == hours(48)));
  BOOST_TEST(!findCall(D, "POST", "signoffs/17")->Repeatable);
  BOOST_TEST(findCall(D, "GET", "signoffs/list")->Repeatable);
  BOOST_TEST(!findCall(D, "POST", "signoffsextra"));
  BOOST_TEST(!findCall(D, "GET", "signoffs"));
}

BOOST_AUTO_TEST_CASE(TheSampleDocumentsAreValid) {
  for (const char *Name :
       {"crew-assistant", "crew-ledger", "design-assistant", "marketplace"}) {
    std::string Text = fileText(std::string(PIMENTO_SOURCE_DIR) +
                                "/examples/documents/" + Name + ".json");
    DocumentCheck Check = checkDocument(Text);
    for (const DocumentError &E : Check.Errors)
      BOOST_TEST_MESSAGE(Name << ": " << formatError(E));
    BOOST_TEST(Check.good(), Name);
  }
}

BOOST_AUTO_TEST_CASE(EveryErrorIsListedAtOnceWithItsPath) {
  std::string Text = modelText();
  Text = replaced(Text, "\"number\": 3", "\"number\": 0");
  Text = replaced(Text, "\"weight\": 10", "\"weight\": 101");
  Text = replaced(Text, Digest, "short");
  Text = replaced(Text, "\"default\": 60000", "\"default\": 400000");
  Text = replaced(Text, "\"replicas\": 4", "\"replicas\": -1");
  Text = replaced(Text, "\"atlas-2\"", "\"atlas\"");
  Text = replaced(Text, "\"retry_budget\": 0.2", "\"retry_budget\": 2");
  Text = replaced(Text, "\"ignores_fence\"", "\"ignore_fence\"");
  DocumentCheck Check = checkDocument(Text);
  for (const char *Path :
       {"number", "accounts[0].weight", "accounts[0].token_sha256",
        "time_limit_ms.default", "models[0].replicas", "models[0].name",
        "retry_budget", "\"ignore_fence\""})
    BOOST_TEST(lists(Check, Path), Path);
  BOOST_TEST(Check.Errors.size() == 8U);
}

BOOST_AUTO_TEST_CASE(EachInvalidValueIsReported) {
  struct Fault {
    const char *Old;
    const char *New;
    const char *Path;
  };
  const std::vector<Fault> Faults = {
      {"\"service\": \"crew\"", "\"service\": \"\"", "service"},
      {"\"service\": \"crew\"", "\"service\": 7", "service"},
      {"\"service\": \"crew\"", "\"service\": \"~cells\"", "service"},
      {"\"service\": \"crew\"", "\"service\": \"a/b\"", "service"},
      {"\"service\": \"crew\"", "\"service\": \"a\\u0001b\"", "service"},
      {"\"service\": \"crew\",", "", "service"},
      {"\"kind\": \"model\"", "\"kind\": \"modal\"", "kind"},
      {"\"kind\": \"model\"", "\"kind\": \"plain\"", "calls"},
      {"{\"default\": 60000, \"max\": 300000}", "5", "time_limit_ms"},
      {"\"max\": 300000", "\"max\": 1e9", "time_limit_ms.max"},
      {"[{\"account\"", "[7, {\"account\"", "accounts[0]"},
      {"\"weight\": 10", "\"weight\": 0", "accounts[0].weight"},
      {"\"weight\": 10", "\"weigth\": 10", "accounts[0].\"weigth\""},
      {"\"max_waiting\": 50", "\"max_waiting\": 1.5",
       "accounts[0].max_waiting"},
      {"[\"atlas-crew\"]", "[3]", "models[0].adapters[0]"},
      {"[\"atlas-crew\"]", "\"atlas-crew\"", "models[0].adapters"},
      {"\"context_tokens\": 1000000", "\"context_tokens\": 99999999",
       "models[0].context_tokens"},
      {"\"ignores_fence\"", "\"claim_retention_hours\": 5, \"ignores_fence\"",
       "claim_retention_hours"},
  };
  for (const Fault &F : Faults) {
    DocumentCheck Check = checkDocument(replaced(modelText(), F.Old, F.New));
    BOOST_TEST(lists(Check, F.Path), F.New);
  }
}

BOOST_AUTO_TEST_CASE(DuplicateNamesAreReported) {
  std::string Text = modelText();
  std::string Account =
      R"({"account": "aero", "token_sha256": [")" + Digest + R"("]}, )";
  Text = replaced(Text, "[{\"account\"", "[" + Account + "{\"account\"");
  DocumentCheck Check = checkDocument(Text);
  BOOST_TEST(lists(Check, "accounts[1].account"));
  BOOST_TEST(lists(Check, "accounts[1].token_sha256"));
}

BOOST_AUTO_TEST_CASE(DocumentsBeyondTheLimitsAreRefused) {
  std::string Deep = modelText();
  Deep =
      replaced(Deep, "\"service\": \"crew\"",
               "\"service\": " + std::string(100, '[') + std::string(100, ']'));
  BOOST_TEST(checkDocument(Deep).Errors.size() == 1U);
  BOOST_TEST(!checkDocument(std::string(MaxDocumentBytes + 1, ' ')).good());
  for (const char *Text : {"", "null", "[]", "7", "{", "\xff"})
    BOOST_TEST(checkDocument(Text).Errors.size() == 1U, Text);
  std::string ManyErrors = modelText();
  std::string Faulty;
  for (int I = 0; I < 5000; ++I)
    Faulty += "{\"nonsense\": 1}, ";
  ManyErrors =
      replaced(ManyErrors, "[{\"account\"", "[" + Faulty + "{\"account\"");
  BOOST_TEST(checkDocument(ManyErrors).Errors.size() == MaxDocumentErrors);
}

BOOST_AUTO_TEST_CASE(ADocumentWith5501AccountsIsAccepted) {
  std::string Accounts;
  for (int I = 0; I < 5500; ++I) {
    std::ostringstream Entry;
    int Number = 100000 + I;
    Entry << R"({"account": "account-)" << Number << R"(", "token_sha256": [")"
          << std::string(58, 'b') << Number << R"(", ")" << std::string(58, 'c')
          << Number << R"("], "weight": 5, "max_waiting": 100}, )";
    Accounts += Entry.str();
  }
  std::string Text =
      replaced(modelText(), "[{\"account\"", "[" + Accounts + "{\"account\"");
  DocumentCheck Check = checkDocument(Text);
  BOOST_TEST(Check.good());
  BOOST_TEST(Check.Document.Accounts.size() == 5501U);
}

BOOST_AUTO_TEST_CASE(MangledTextsNeverCrash) {
  Random R(17);
  std::size_t Bad = 0;
  for (int I = 0; I < 20000; ++I) {
    std::string Text = I % 2 == 0 ? modelText() : plainText();
    for (std::uint64_t Hits = 1 + below(R, 4); Hits > 0; --Hits)
      Text[below(R, Text.size())] = static_cast<char>(below(R, 256));
    Bad += !checkDocument(Text).good();
  }
  BOOST_TEST(Bad > 10000U);
}

BOOST_AUTO_TEST_CASE(ADiffListsChangesAndAffectedAccounts) {
  std::string Text = modelText();
  ServiceDocument Old = checkDocument(Text).Document;
  Text = replaced(Text, "\"number\": 3", "\"number\": 4");
  Text = replaced(Text, "\"weight\": 10", "\"weight\": 20");
  Text = replaced(Text, "[\"atlas-crew\"]", "[\"atlas-crew\", \"atlas-b\"]");
  Text = replaced(Text, "\"max_waiting\": 50", "\"max_waiting\": 0");
  DocumentCheck New = checkDocument(Text);
  BOOST_REQUIRE(New.good());
  std::vector<std::string> Lines;
  for (const DocumentChange &C : diffDocuments(Old, New.Document))
    Lines.push_back(formatChange(C));
  std::vector<std::string> Expected = {
      "- accounts.aero.max_waiting: 50 (account aero)",
      "~ accounts.aero.weight: 10 -> 20 (account aero)",
      "~ models.atlas.adapters: atlas-crew -> atlas-b, atlas-crew (everyone)"};
  BOOST_TEST(Lines == Expected, boost::test_tools::per_element());
  BOOST_TEST(diffDocuments(Old, Old).empty());
}
