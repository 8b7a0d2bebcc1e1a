#include <boost/test/unit_test.hpp>

#include "base/Random.h"
#include "membership/Announcement.h"

using namespace pimento;

namespace {

const std::string EngineText = R"({"id": "engine-1", "incarnation": 7,
  "sequence": 12, "address": "10.0.0.1:8000", "kind": "engine",
  "data_centre": "north", "models": ["atlas", "atlas-crew"],
  "memory_tokens": 500000, "checks_fence": true, "leaving": false,
  "load": {"used_tokens": 1000, "running": 3, "waiting": 1, "age_ms": 20},
  "cache": {"sequence": 40, "added": ["18446744073709551615"],
            "removed": ["1", "2"]}, "tomorrow": [1, 2]})";
const std::string PlainText = R"({"id": "ledger-1", "incarnation": 1,
  "sequence": 1, "address": "10.0.0.2:80", "kind": "plain",
  "data_centre": "north", "service": "ledger", "leaving": true})";

struct Parsed {
  Announcement Content;
  Failure Why; // An empty Detail means success.
};

Parsed parse(const std::string &Text) {
  Parsed P;
  P.Content = valueOr<Announcement>([&] { return parseAnnouncement(Text); },
                                    Announcement(), P.Why);
  return P;
}

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  std::size_t At = Text.find(Old);
  BOOST_REQUIRE_MESSAGE(At != std::string::npos, Old);
  return Text.replace(At, Old.size(), New);
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnnouncementSuite)

BOOST_AUTO_TEST_CASE(EngineAnnouncementIsParsed) {
  Parsed P = parse(EngineText);
  BOOST_REQUIRE_MESSAGE(P.Why.Detail.empty(), P.Why.Detail);
  const Announcement &A = P.Content;
  BOOST_TEST(A.Id == BackendId("engine-1"));
  BOOST_TEST(A.Incarnation == 7U);
  BOOST_TEST(A.Models.size() == 2U);
  BOOST_TEST(A.ChecksFence);
  BOOST_TEST((A.Load.Age == milliseconds(20)));
  BOOST_TEST(A.Load.Sequence == 12U);
  BOOST_TEST(A.Load.CacheAdded.front() == UINT64_MAX);
  BOOST_TEST(A.Load.CacheRemoved.size() == 2U);
}

BOOST_AUTO_TEST_CASE(PlainServerAnnouncementIsParsed) {
  Parsed P = parse(PlainText);
  BOOST_REQUIRE_MESSAGE(P.Why.Detail.empty(), P.Why.Detail);
  BOOST_TEST(P.Content.Service == ServiceId("ledger"));
  BOOST_TEST(P.Content.Leaving);
  BOOST_TEST((P.Content.Kind == BackendKind::Plain));
}

BOOST_AUTO_TEST_CASE(EveryFaultIsReported) {
  std::string Text =
      replaced(EngineText, "\"incarnation\": 7", "\"incarnation\": -7");
  Text = replaced(Text, "10.0.0.1:8000", "engine:8000");
  Text = replaced(Text, "\"leaving\": false", "\"leaving\": 0");
  Text = replaced(Text, "18446744073709551615", "18446744073709551616");
  Text = replaced(Text, "\"running\": 3", "\"running\": 4294967296");
  Parsed P = parse(Text);
  BOOST_TEST(P.Why.Number == Code::BadRequest);
  for (const char *Key :
       {"incarnation", "address", "leaving", "added", "running"})
    BOOST_TEST(P.Why.Detail.find(Key) != std::string::npos, P.Why.Detail);
}

BOOST_AUTO_TEST_CASE(LimitsAreEnforced) {
  std::string Many;
  for (std::size_t I = 0; I <= MaxAnnouncedModels; ++I)
    Many += "\"m" + std::to_string(I) + "\", ";
  BOOST_TEST(parse(replaced(EngineText, "[\"atlas\"", "[" + Many + "\"atlas\""))
                 .Why.Number == Code::BadRequest);
  BOOST_TEST(parse(std::string(MaxAnnouncementBytes + 1, ' ')).Why.Number ==
             Code::BodyTooLarge);
  for (const char *Text : {"", "[]", "null", "{}", "7"})
    BOOST_TEST(parse(Text).Why.Number == Code::BadRequest, Text);
  BOOST_TEST(
      parse(replaced(PlainText, "\"service\": \"ledger\", ", "")).Why.Number ==
      Code::BadRequest);
}

BOOST_AUTO_TEST_CASE(MalformedTextsDoNotCrashTheParser) {
  Random R(23);
  std::size_t Rejected = 0;
  for (int I = 0; I < 20000; ++I) {
    std::string Text = I % 2 == 0 ? EngineText : PlainText;
    for (std::uint64_t Hits = 1 + below(R, 4); Hits > 0; --Hits)
      Text[below(R, Text.size())] = static_cast<char>(below(R, 256));
    Rejected += !parse(Text).Why.Detail.empty();
  }
  BOOST_TEST(Rejected > 10000U);
}

BOOST_AUTO_TEST_SUITE_END()
