#define BOOST_TEST_MODULE explain
#include <boost/test/unit_test.hpp>

#include "explain/Explain.h"

#include <sstream>

using namespace pimento::explain;

namespace {

const std::string RefusedLog =
    R"({"host":"e1","kind":"routing_in_force","number":7,"time":"2026-01-01T09:00:01.000Z"}
{"host":"e1","kind":"placer","before":"10.0.0.1","time":"2026-01-01T09:00:02.000Z"}
{"age_ms":4014,"code":201,"host":"e1","kind":"request","reason":"no engine can answer in time","sends":0,"server":"","status":503,"time":"2026-01-01T09:00:03.000Z","try":"aa"}
{"host":"e1","kind":"routing_in_force","number":8,"time":"2026-01-01T09:00:04.000Z"}
)";

const std::string BrokenStreamLog =
    R"(12.1 e2 {"host":"e2","kind":"placed","server":"i-9","helpers":"","time":"2026-01-01T09:00:01.000Z","try":"bb"}
12.2 e2 {"host":"e2","kind":"try_failed","server":"i-9","reason":"the connection broke","time":"2026-01-01T09:00:02.000Z","try":"bb"}
12.3 e2 {"age_ms":900,"code":302,"host":"e2","kind":"request","reason":"the connection broke","sends":2,"server":"i-9","status":502,"time":"2026-01-01T09:00:03.000Z","try":"bb"}
)";

const std::string OtherRequestsLog =
    R"({"host":"e3","kind":"try_failed","server":"i-9","reason":"the connection broke","time":"2026-01-01T08:00:02.000Z","try":"cc"}
{"host":"e3","kind":"placed","server":"i-1","helpers":"i-2 i-9","prompt_tokens":132151,"time":"2026-01-01T08:00:03.000Z","try":"dd"}
)";

const std::string RelayedLog =
    R"({"host":"e1","kind":"path","service":"llm","state":"cut","time":"2026-01-01T09:00:00.000Z"}
{"host":"e1","kind":"handed_over","relay":"e2","service":"llm","time":"2026-01-01T09:00:01.000Z","try":"ee"}
{"age_ms":180,"code":0,"host":"e1","kind":"request","relay":"e2","relayed":false,"server":"","status":200,"time":"2026-01-01T09:00:01.200Z","try":"ee"}
{"host":"e2","kind":"path","service":"llm","state":"direct","time":"2026-01-01T08:00:00.000Z"}
{"age_ms":170,"code":0,"host":"e2","kind":"request","relay":"","relayed":true,"server":"i-7","status":200,"time":"2026-01-01T09:00:01.195Z","try":"ee"}
)";

bool has(const Explanation &E, const char *Text) {
  return E.Text.find(Text) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(RefusalShowsReasonAndHostState) {
  Explanation E = explain("aa", {{"log", RefusedLog}});
  BOOST_TEST(E.Found);
  BOOST_TEST(has(E, "QueueFull"));
  BOOST_TEST(has(E, "no engine can answer in time; reached 0 server(s)"));
  BOOST_TEST(has(E, "number=7"));
  BOOST_TEST(!has(E, "number=8")); // Logged after the request.
  BOOST_TEST(has(E, "placer"));
}

BOOST_AUTO_TEST_CASE(ServerFailuresAreCountedAcrossHosts) {
  Explanation E = explain(
      "bb", {{"a", RefusedLog + BrokenStreamLog}, {"b", OtherRequestsLog}});
  BOOST_TEST(has(E, "StreamCut"));
  BOOST_TEST(has(E, "2 tries failed: the connection broke"));
  BOOST_TEST(has(E, "at 2 host(s)"));
  BOOST_TEST(has(E, "1 other prompts, the longest of 132151 tokens"));
}

BOOST_AUTO_TEST_CASE(RequestsByWayOfAnotherHostShowBothHosts) {
  Explanation E = explain("ee", {{"log", RelayedLog}});
  BOOST_TEST(has(E, "at e1:\n"));
  BOOST_TEST(has(E, "answered by a server by way of host e2 after 180 ms"));
  BOOST_TEST(has(E, "state=cut"));
  BOOST_TEST(has(E, "at e2, for a host that had no path to the servers:\n"));
  BOOST_TEST(has(E, "answered by i-7 after 170 ms"));
}

BOOST_AUTO_TEST_CASE(MalformedLinesAreCountedAndSkipped) {
  std::string Text =
      "what\n{\"host\":\n[1]\n{}\n" + RefusedLog + "{\"kind\":\"requ";
  Explanation E = explain("aa", {{"log", Text}});
  BOOST_TEST(E.Found);
  BOOST_TEST(E.Unreadable == 5U);
  BOOST_TEST(E.Lines == 9U);
  for (std::size_t Size = 0; Size < RefusedLog.size(); Size += 7)
    explain("aa", {{"log", RefusedLog.substr(0, Size)}});
}

BOOST_AUTO_TEST_CASE(MissingFinalLineIsReported) {
  Explanation E = explain("cc", {{"log", OtherRequestsLog}});
  BOOST_TEST(has(E, "its last line is missing"));
  BOOST_TEST(!explain("zz", {{"log", OtherRequestsLog}}).Found);
}

BOOST_AUTO_TEST_CASE(CommandRejectsInvalidArguments) {
  std::ostringstream Out;
  std::ostringstream Err;
  BOOST_TEST(explainCommand({}, Out, Err) == 2);
  BOOST_TEST(explainCommand({"aa"}, Out, Err) == 2);
  BOOST_TEST(explainCommand({"aa", "/nowhere/at/all"}, Out, Err) == 2);
  BOOST_TEST(Err.str().find("cannot read") != std::string::npos);
}
