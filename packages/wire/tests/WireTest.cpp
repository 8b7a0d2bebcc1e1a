#define BOOST_TEST_MODULE wire
#include <boost/test/unit_test.hpp>

#include "base/Random.h"
#include "wire/Fields.h"
#include "wire/Messages.h"

#include <fstream>
#include <set>
#include <sstream>

using namespace pimento;

namespace {

Code decodeCode(std::string_view Frame) {
  Failure Why;
  bool Valid = valueOr<bool>(
      [&]() -> Result<bool> {
        auto M = decode(Frame);
        if (!M)
          return M.error();
        return true;
      },
      false, Why);
  return Valid ? Code::Ok : Why.Number;
}

Message decoded(std::string_view Frame) {
  Failure Why;
  Message M = valueOr<Message>([&] { return decode(Frame); }, Ack(), Why);
  BOOST_TEST((Why.Detail.empty()), Why.Detail);
  return M;
}

template <std::size_t Index = 0> void collectTypes(std::vector<int> &Types) {
  if constexpr (Index < std::variant_size_v<MessageVariant>) {
    Types.push_back(
        std::variant_alternative_t<Index, MessageVariant>::WireType);
    collectTypes<Index + 1>(Types);
  }
}

GrantRequest sampleGrantRequest() {
  GrantRequest R;
  R.Attempt = {{5, 6}, 2};
  R.Account = AccountId("aero");
  R.Model = ModelName("atlas");
  R.PromptTokens = 1000000;
  R.TimeLeft = milliseconds(1500);
  R.Prefixes = {1, 2, 3};
  R.Avoid = {BackendId("e1")};
  return R;
}

} // namespace

BOOST_AUTO_TEST_CASE(DecodingRestoresEncodedMessage) {
  Message M = decoded(encode(sampleGrantRequest()));
  const auto &Read = std::get<GrantRequest>(M);
  BOOST_TEST(Read.Attempt == sampleGrantRequest().Attempt);
  BOOST_TEST(Read.Account == sampleGrantRequest().Account);
  BOOST_TEST(Read.PromptTokens == 1000000U);
  BOOST_TEST((Read.TimeLeft == milliseconds(1500)));
  BOOST_TEST(Read.Prefixes == sampleGrantRequest().Prefixes);
  BOOST_TEST(Read.Avoid.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DecodingRestoresBytesThatAreNotUtf8) {
  ClaimReply Reply;
  Reply.Body.Data = std::string("\0\xff\x80", 3);
  Message M = decoded(encode(Reply));
  BOOST_TEST(std::get<ClaimReply>(M).Body.Data == Reply.Body.Data);
}

BOOST_AUTO_TEST_CASE(MessageTypeNumbersAreUnique) {
  std::vector<int> Types;
  collectTypes(Types);
  std::set<int> Unique(Types.begin(), Types.end());
  BOOST_TEST(Unique.size() == Types.size());
}

BOOST_AUTO_TEST_CASE(MissingAndExtraFieldsAreAcceptedButNotOtherVersions) {
  Json Frame = Json::array({WireVersion, Withdraw::WireType, Json::array()});
  std::string Bytes;
  Json::to_cbor(Frame, Bytes);
  BOOST_TEST(std::get<Withdraw>(decoded(Bytes)).Attempt.Number == 0U);

  Frame[2] =
      Json::array({Json::array({1, 2, 3}), 4, "a field of a newer version"});
  Bytes.clear();
  Json::to_cbor(Frame, Bytes);
  BOOST_TEST(std::get<Withdraw>(decoded(Bytes)).Attempt.Number == 3U);
  BOOST_TEST((std::get<Withdraw>(decoded(Bytes)).Cell == CellId(4)));

  Frame[0] = WireVersion + 1;
  Bytes.clear();
  Json::to_cbor(Frame, Bytes);
  BOOST_TEST(decodeCode(Bytes) == Code::WireVersion);
}

BOOST_AUTO_TEST_CASE(FieldsOfWrongTypeOrRangeAreRejected) {
  for (const Json &Fields :
       {Json("text"), Json::array({"not an id"}), Json::array({-1}),
        Json::array({Json::array({1, 2, 1LL << 40})}), Json(nullptr)}) {
    std::string Bytes;
    Json::to_cbor(Json::array({WireVersion, Withdraw::WireType, Fields}),
                  Bytes);
    BOOST_TEST(decodeCode(Bytes) == Code::WireMalformed, Fields.dump());
  }
}

BOOST_AUTO_TEST_CASE(CorruptedFramesDoNotCrashDecoder) {
  Random R(11);
  std::string Valid = encode(sampleGrantRequest());
  for (int I = 0; I < 20000; ++I) {
    std::string Corrupted = Valid;
    for (std::uint64_t Changes = 1 + below(R, 4); Changes > 0; --Changes)
      Corrupted[below(R, Corrupted.size())] = static_cast<char>(below(R, 256));
    if (below(R, 3) == 0)
      Corrupted.resize(below(R, Corrupted.size()));
    decodeCode(Corrupted);
  }
  BOOST_TEST(decodeCode(Valid) == Code::Ok);
}

BOOST_AUTO_TEST_CASE(MessageTypeNumbersAreDocumented) {
  std::ifstream File(std::string(PIMENTO_SOURCE_DIR) + "/docs/WIRE.md");
  std::ostringstream Page;
  Page << File.rdbuf();
  std::vector<int> Types;
  collectTypes(Types);
  for (int Type : Types)
    BOOST_TEST((Page.str().find("| " + std::to_string(Type) + " | ") !=
                std::string::npos),
               "docs/WIRE.md lacks type " << Type);
}
