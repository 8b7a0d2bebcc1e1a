#define BOOST_TEST_MODULE engine
#include <boost/test/unit_test.hpp>

#include "engine/Adapter.h"
#include "engine/Replies.h"

#include "base/Json.h"

using namespace pimento;

namespace {

const AttemptId Attempt{{0xab, 7}, 2};

template <class T>
bool failed(Result<T> (*Read)(const HttpReply &), int Status,
            const std::string &Body) {
  Failure Why;
  bool Valid = valueOr<bool>(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Read({Status, {}, Body}));
        return true;
      },
      false, Why);
  return !Valid && Why.Number == Code::BackendFailed;
}

} // namespace

BOOST_AUTO_TEST_CASE(GenerateRequestNamesAttemptAndGroup) {
  GenerateOrder Order;
  Order.Attempt = Attempt;
  Order.Model = ModelName("m");
  Order.Prompt = "say \"hi\"\n";
  Order.MaxTokens = 3;
  Order.Epoch = 9;
  Order.Members = {"10.0.0.2:1"};
  UpstreamRequest R = generateRequest("10.0.0.1:1", Order);
  BOOST_TEST(R.Target == "/v1/generate");
  BOOST_TEST(R.Address == "10.0.0.1:1");
  BOOST_TEST(!R.MayReuse);
  BOOST_TEST(R.Body ==
             "{\"attempt\":\"00000000000000ab0000000000000007-2\",\"epoch\":9,"
             "\"group\":{\"members\":[\"10.0.0.2:1\"]},\"max_tokens\":3,"
             "\"model\":\"m\",\"weight\":1,"
             "\"prompt\":\"say \\\"hi\\\"\\u000a\"}");
}

BOOST_AUTO_TEST_CASE(PromptsAreEscapedAsJson) {
  std::string Prompt =
      "a\"b\\c/\x01\x1f\n\t\x7f \xc3\xa9 \xf0\x9f\x98\x80 \\u0041";
  GenerateOrder Order;
  Order.Attempt = Attempt;
  Order.Prompt = Prompt;
  Json Body = parseJson(generateRequest("a", Order).Body, JsonLimits()).value();
  BOOST_TEST(Body["prompt"].get<std::string>() == Prompt);
}

BOOST_AUTO_TEST_CASE(OperationsUseTheirPaths) {
  std::string Id = toString(Attempt);
  BOOST_TEST(resumeRequest("a", Attempt, 12).Target ==
             "/v1/attempts/" + Id + "/stream?offset=12");
  BOOST_TEST((cancelRequest("a", Attempt).Method == HttpMethod::Delete));
  BOOST_TEST(attemptRequest("a", Attempt).Target == "/v1/attempts/" + Id);
  BOOST_TEST(exportRequest("a", Attempt).Target ==
             "/v1/attempts/" + Id + "/export");
  BOOST_TEST(dropExportRequest("a", "h").Target == "/v1/exports/h");
  BOOST_TEST(importRequest("a", Attempt, "b:1", "h").Target == "/v1/imports");
  BOOST_TEST(memoryRequest("a").Target == "/v1/memory");
  BOOST_TEST(stateRequest("a").Target == "/v1/state");
  BOOST_TEST(orderRequest("a", {4, OrderKind::Load, "m"}).Body ==
             "{\"fence\":4,\"name\":\"m\",\"order\":\"load\"}");
  UpstreamRequest R = reserveRequest("a", Attempt, 5, seconds(2));
  BOOST_TEST(R.Body.text().find("\"lease_ms\":2000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(OnlyTheHeaderProvesThatNothingRan) {
  std::string Body = "{\"reason\":\"memory\",\"detail\":\"full\"}";
  EngineRefusal Proved = readRefusal({409, {{"x-not-run", "1"}}, Body});
  BOOST_TEST(Proved.ProvedNotRun);
  BOOST_TEST((Proved.Reason == RefusalReason::Memory));
  BOOST_TEST(Proved.Detail == "status 409: full");
  BOOST_TEST(!readRefusal({409, {}, Body}).ProvedNotRun);
  BOOST_TEST(!readRefusal({409, {{"X-Not-Run", "0"}}, Body}).ProvedNotRun);
  BOOST_TEST(!readRefusal({500, {{"X-Not-Run", "1"}}, Body}).ProvedNotRun);
  EngineRefusal NotAnObject = readRefusal({503, {{"X-Not-Run", "1"}}, "[]"});
  BOOST_TEST(NotAnObject.ProvedNotRun);
  BOOST_TEST((NotAnObject.Reason == RefusalReason::Other));
}

BOOST_AUTO_TEST_CASE(RepliesAreRead) {
  EngineMemory Memory = readMemory({200,
                                    {},
                                    "{\"incarnation\":3,\"total_tokens\":10,"
                                    "\"used_tokens\":4,\"held\":[{\"kind\":"
                                    "\"export\",\"id\":\"h\",\"tokens\":4,"
                                    "\"age_ms\":1500}]}"})
                            .value();
  BOOST_TEST(Memory.UsedTokens == 4U);
  BOOST_REQUIRE(Memory.Held.size() == 1U);
  BOOST_TEST((Memory.Held[0].Kind == HoldKind::Export));
  BOOST_TEST((Memory.Held[0].Age == milliseconds(1500)));
  EngineState State =
      readState({200,
                 {},
                 "{\"fence\":5,\"models\":[\"a\"],\"role\":\"both\","
                 "\"loading\":null,\"incarnation\":1}"})
          .value();
  BOOST_TEST(State.Fence == 5U);
  BOOST_TEST(State.Loading.empty());
  OrderReply Order = readOrder({409, {}, "{\"fence\":8}"}).value();
  BOOST_TEST((Order.State == OrderState::Fenced));
  BOOST_TEST(Order.HighestFence == 8U);
  BOOST_TEST(
      readExport({200, {}, "{\"handle\":\"h\",\"tokens\":2}"}).value().Handle ==
      "h");
  BOOST_TEST(readTokens({200, {}, "{\"tokens\":2}"}).value() == 2U);
}

BOOST_AUTO_TEST_CASE(MalformedRepliesAreRefused) {
  BOOST_TEST(failed(readMemory, 500, "{\"held\":[]}"));
  BOOST_TEST(failed(readMemory, 200, "{}"));
  BOOST_TEST(failed(readMemory, 200, "{\"held\":[{\"kind\":\"x\"}]}"));
  BOOST_TEST(failed(readState, 200, "{\"models\":[1]}"));
  BOOST_TEST(failed(readExport, 200, "{}"));
  BOOST_TEST(failed(readOrder, 404, "{}"));
  BOOST_TEST(failed(readTokens, 200, "not json"));
}

BOOST_AUTO_TEST_CASE(StatusOkOrNotFoundConfirmsFreedMemory) {
  BOOST_TEST(confirmsFreed(200));
  BOOST_TEST(confirmsFreed(404));
  BOOST_TEST(!confirmsFreed(500));
}
