#define BOOST_TEST_MODULE text
#include <boost/test/unit_test.hpp>

#include "base/Random.h"
#include "text/Compress.h"
#include "text/Delta.h"

using namespace pimento;

namespace {

std::string repetitiveText(std::size_t Lines) {
  std::string Text;
  for (std::size_t I = 0; I < Lines; ++I)
    Text += "{\"account\": \"a" + std::to_string(I * 7919) +
            "\", \"weight\": 100},\n";
  return Text;
}

} // namespace

BOOST_AUTO_TEST_CASE(DecompressionRestoresTexts) {
  for (const std::string &Text :
       {std::string(), std::string("x"), std::string(1U << 20U, 'y'),
        repetitiveText(5000)}) {
    std::optional<std::string> Read = decompress(compress(Text), 2U << 20U);
    BOOST_REQUIRE(Read.has_value());
    BOOST_TEST((*Read == Text));
  }
  std::string Text = repetitiveText(5000);
  BOOST_TEST(compress(Text).size() * 4 < Text.size());
}

/// Guards against a short message that expands to more memory than a host has.
BOOST_AUTO_TEST_CASE(DecompressionStopsAtItsLimit) {
  std::string Packed = compress(std::string(8U << 20U, 'y'));
  BOOST_TEST(!decompress(Packed, 1U << 20U).has_value());
  BOOST_TEST(decompress(Packed, 8U << 20U).has_value());
}

BOOST_AUTO_TEST_CASE(DamagedBytesAreNotDecompressed) {
  std::string Text = repetitiveText(300);
  std::string Packed = compress(Text);
  Random R(5);
  for (int I = 0; I < 2000; ++I) {
    std::string Bad = Packed;
    Bad[below(R, Bad.size())] ^= static_cast<char>(1 + below(R, 255));
    std::optional<std::string> Read = decompress(Bad, 1U << 20U);
    // The header has bits without effect on the text.
    BOOST_REQUIRE(!Read || *Read == Text);
  }
  for (std::size_t Size = 0; Size < Packed.size(); ++Size)
    BOOST_REQUIRE(!decompress(Packed.substr(0, Size), 1U << 20U));
}
