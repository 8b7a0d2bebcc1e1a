#include <boost/test/unit_test.hpp>

#include "base/Json.h"

using namespace pimento;

namespace {

Code codeOf(std::string_view Text, const JsonLimits &Limits) {
  Failure Why;
  Json Value = valueOr<Json>([&] { return parseJson(Text, Limits); },
                             Json("refused"), Why);
  return Value == Json("refused") ? Why.Number : Code::Ok;
}

} // namespace

BOOST_AUTO_TEST_CASE(JsonThatIsMalformedOrExceedsALimitIsRejected) {
  JsonLimits Limits;
  Limits.Depth = 3;
  Limits.Values = 8;
  Limits.Bytes = 64;
  BOOST_TEST(codeOf("[[[1]]]", Limits) == Code::Ok);
  BOOST_TEST(codeOf("[[[[1]]]]", Limits) == Code::BadRequest);
  BOOST_TEST(codeOf("[1,2,3,4,5,6,7]", Limits) == Code::Ok);
  BOOST_TEST(codeOf("[1,2,3,4,5,6,7,8]", Limits) == Code::BadRequest);
  BOOST_TEST(codeOf(std::string(65, ' '), Limits) == Code::BodyTooLarge);
  BOOST_TEST(codeOf("{\"a\":1", Limits) == Code::BadRequest);
  BOOST_TEST(codeOf("", Limits) == Code::BadRequest);
  BOOST_TEST(codeOf("{} x", Limits) == Code::BadRequest);
}

BOOST_AUTO_TEST_CASE(CborWithHugeDeclaredArraySizeIsRejected) {
  // An array whose header declares 2^32 - 1 elements, followed by no element.
  std::string Bytes("\x9a\xff\xff\xff\xff", 5);
  Failure Why;
  Json Value = valueOr<Json>([&] { return parseCbor(Bytes, JsonLimits()); },
                             Json("refused"), Why);
  BOOST_TEST(Value == Json("refused"));
  BOOST_TEST(Why.Number == Code::WireTooLarge);
}
