#define BOOST_TEST_MODULE calls
#include <boost/test/unit_test.hpp>

#include "calls/CallerApi.h"

#include "base/Json.h"
#include "base/Random.h"

using namespace pimento;
using namespace pimento::calls;

namespace {

HttpRequest post(std::string Path, std::string Body) {
  HttpRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Path = std::move(Path);
  Request.Body = std::move(Body);
  return Request;
}

template <class F> Code codeOf(F &&Read) {
  Failure Why;
  Why.Number = Code::Ok;
  bool Valid = valueOr<bool>(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Read());
        return true;
      },
      false, Why);
  return Valid ? Code::Ok : Why.Number;
}

Code completionCode(const std::string &Body,
                    const std::string &Path = "/v1/completions") {
  return codeOf([&] { return readCompletion(post(Path, Body)); });
}

Code callCode(const std::string &Path, const std::string &Key = "k") {
  HttpRequest Request = post(Path, "{}");
  Request.Headers.push_back({"Idempotency-Key", Key});
  return codeOf([&] { return readPlainCall(Request); });
}

} // namespace

BOOST_AUTO_TEST_CASE(CompletionsAreRead) {
  Completion Plain =
      readCompletion(post("/v1/completions",
                          "{\"model\":\"m\",\"prompt\":\"hi\",\"max_tokens\":5,"
                          "\"stream\":true,\"temperature\":0.5}"))
          .value();
  BOOST_TEST(Plain.Model.Value == "m");
  BOOST_TEST(Plain.Prompt == "hi");
  BOOST_TEST(Plain.MaxTokens == 5U);
  BOOST_TEST(Plain.Stream);
  Completion Chat =
      readCompletion(
          post("/v1/chat/completions",
               "{\"model\":\"m\",\"messages\":[{\"role\":\"system\","
               "\"content\":\"be brief\"},{\"role\":\"user\",\"content\":"
               "[{\"type\":\"text\",\"text\":\"hi\"}]}]}"))
          .value();
  BOOST_TEST(Chat.Prompt == "system: be brief\nuser: hi\nassistant:");
  BOOST_TEST(Chat.MaxTokens == DefaultMaxTokens);
  BOOST_TEST(!Chat.Stream);
}

BOOST_AUTO_TEST_CASE(MalformedCompletionsAreRefused) {
  BOOST_TEST(completionCode("{\"model\":\"m\",\"prompt\":\"x\"}") == Code::Ok);
  for (const char *Malformed :
       {"", "[]", "{\"prompt\":\"x\"}", "{\"model\":\"m\"}",
        "{\"model\":1,\"prompt\":\"x\"}", "{\"model\":\"\",\"prompt\":\"x\"}",
        "{\"model\":\"m\",\"prompt\":[\"x\",\"y\"]}",
        "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":0}",
        "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":-4}",
        "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1.5}",
        "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":1}",
        "{\"model\":\"m\",\"prompt\":\"x\",\"n\":2}",
        "{\"model\":\"m\",\"prompt\":\"\xff\"}"})
    BOOST_TEST(completionCode(Malformed) == Code::BadRequest, Malformed);
  for (const char *Malformed :
       {"{\"model\":\"m\",\"messages\":[]}", "{\"model\":\"m\",\"messages\":1}",
        "{\"model\":\"m\",\"messages\":[1]}",
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}",
        R"({"model":"m","messages":[{"role":"u","content":[{"a":1}]}]})"})
    BOOST_TEST(completionCode(Malformed, "/v1/chat/completions") ==
                   Code::BadRequest,
               Malformed);
}

BOOST_AUTO_TEST_CASE(BodiesWithManyValuesOrDeepNestingAreRefused) {
  std::string ManyValues = "{\"model\":\"m\",\"prompt\":\"x\",\"a\":[";
  for (int I = 0; I < 200000; ++I)
    ManyValues += "[],";
  BOOST_TEST(completionCode(ManyValues + "0]}") == Code::BadRequest);
  BOOST_TEST(completionCode("{\"a\":" + std::string(17, '[') +
                            std::string(17, ']') + "}") == Code::BadRequest);
  // A long prompt stays within the memory limit, with and without escapes.
  for (const char *Piece : {"word ", "\\n\\\"\\u00e9"}) {
    std::string Long = "{\"model\":\"m\",\"prompt\":\"";
    while (Long.size() < 1000000)
      Long += Piece;
    BOOST_TEST(completionCode(Long + "\"}") == Code::Ok);
  }
}

BOOST_AUTO_TEST_CASE(PlainCallsAreRead) {
  HttpRequest Request = post("/v1/services/ledger/calls/sign off/7", "{}");
  Request.Query = "a=b";
  Request.Headers = {{"idempotency-key", "k-1"},
                     {"Content-Type", "application/json"}};
  PlainCall Call = readPlainCall(Request).value();
  BOOST_TEST(Call.Service.Value == "ledger");
  BOOST_TEST(Call.Path == "sign off/7");
  BOOST_TEST(Call.Target == "/sign%20off/7?a=b");
  BOOST_TEST(Call.Key == "k-1");
  BOOST_TEST(Call.BodySha256.size() == 64U);
}

BOOST_AUTO_TEST_CASE(MalformedPlainCallsAreRefused) {
  BOOST_TEST(callCode("/v1/services/l/calls/a") == Code::Ok);
  BOOST_TEST(callCode("/v1/services/l/calls/") == Code::NotFound);
  BOOST_TEST(callCode("/v1/services/calls/a") == Code::NotFound);
  BOOST_TEST(callCode("/v1/services/l/calls/../a") == Code::NotFound);
  BOOST_TEST(callCode("/v1/services/l/calls/a/..") == Code::NotFound);
  BOOST_TEST(callCode("/v1/services/l/calls/a", "with space") ==
             Code::BadRequest);
  BOOST_TEST(callCode("/v1/services/l/calls/a", std::string(256, 'k')) ==
             Code::BadRequest);
}

BOOST_AUTO_TEST_CASE(TheDigestCoversMethodPathQueryAndBody) {
  HttpRequest First = post("/v1/services/l/calls/a", "{}");
  HttpRequest Second = First;
  HttpRequest Other = First;
  std::string Digest = readPlainCall(First).value().BodySha256;
  BOOST_TEST(readPlainCall(Second).value().BodySha256 == Digest);
  Other.Body = "{ }";
  BOOST_TEST(readPlainCall(Other).value().BodySha256 != Digest);
  Other = post("/v1/services/l/calls/b", "{}");
  BOOST_TEST(readPlainCall(Other).value().BodySha256 != Digest);
  Other = post("/v1/services/l/calls/a", "{}");
  Other.Method = HttpMethod::Put;
  BOOST_TEST(readPlainCall(Other).value().BodySha256 != Digest);
}

BOOST_AUTO_TEST_CASE(RandomlyCorruptedRequestsAreReadOrRefused) {
  std::string Valid =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
      "\"content\":[{\"type\":\"text\",\"text\":\"hi \\u00e9\"}]}],"
      "\"max_tokens\":5,\"stream\":true}";
  Random Rng(9);
  std::size_t Refused = 0;
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Corrupted = Valid;
    for (std::uint64_t I = 0; I <= below(Rng, 3); ++I)
      Corrupted[below(Rng, Corrupted.size())] =
          static_cast<char>(below(Rng, 256));
    Code Found = completionCode(Corrupted, "/v1/chat/completions");
    BOOST_REQUIRE((Found == Code::Ok || Found == Code::BadRequest));
    Refused += Found == Code::Ok ? 0 : 1;
    HttpRequest Call = post("/v1/services/s/calls/" + Corrupted, Corrupted);
    Call.Query = Corrupted;
    Call.Headers = {{"Idempotency-Key", Corrupted},
                    {"X-Request-Timeout-Ms", Corrupted}};
    codeOf([&] { return readPlainCall(Call); });
    codeOf([&] { return readTimeLimit(Call); });
  }
  BOOST_TEST(Refused > 1000U);
}

BOOST_AUTO_TEST_CASE(TimeLimitsAreRead) {
  HttpRequest Request;
  BOOST_TEST(!readTimeLimit(Request).value().has_value());
  Request.Headers = {{"X-Request-Timeout-Ms", "1500"}};
  BOOST_TEST((readTimeLimit(Request).value() == Duration(milliseconds(1500))));
  for (const char *Malformed :
       {"0", "-1", "1s", "1e3", "99999999999999999999"}) {
    Request.Headers[0].Value = Malformed;
    BOOST_TEST(
        (codeOf([&] { return readTimeLimit(Request); }) == Code::BadRequest));
  }
}

BOOST_AUTO_TEST_CASE(StreamsEndWithDoneOnlyWhenComplete) {
  CompletionHead Head{{1, 2}, ModelName("m"), false};
  BOOST_TEST(chunkText(Head, "a\"b").find("\"text\":\"a\\\"b\"") !=
             std::string::npos);
  std::string End = chunkEnd(Head, {true, 3, 1, 2});
  BOOST_TEST(End.find("\"finish_reason\":\"length\"") != std::string::npos);
  BOOST_TEST(End.substr(End.size() - 14) == "data: [DONE]\n\n");
  std::string Problem = chunkProblem({Code::StreamCut, "", {1, 2}, {}});
  BOOST_TEST(Problem.find("[DONE]") == std::string::npos);
  BOOST_TEST(Problem.find("\"code\":302") != std::string::npos);
  Head.Chat = true;
  BOOST_TEST(chunkText(Head, "x").find("\"delta\":{\"content\":\"x\"}") !=
             std::string::npos);
  HttpReply Complete = completionReply(Head, "hello", {});
  Json Body = parseJson(Complete.Body, JsonLimits()).value();
  BOOST_TEST(Body["choices"][0]["message"]["content"] == "hello");
}
