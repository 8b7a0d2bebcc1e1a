#include <boost/test/unit_test.hpp>

#include "relay/ByteFlow.h"

#include <algorithm>

using namespace pimento;

namespace {

std::string text(std::size_t Size) {
  std::string Text;
  for (std::size_t I = 0; I < Size; ++I)
    Text += static_cast<char>('a' + I * 7 % 26);
  return Text;
}

} // namespace

/// Guards against a reader that is slow and gets more than it asked for.
BOOST_AUTO_TEST_CASE(NoMoreIsSentThanWasGranted) {
  ByteSource Out;
  addBytes(Out, text(300000));
  std::size_t Sent = 0;
  while (auto Chunk = takeChunk(Out))
    Sent += Chunk->Bytes.size();
  BOOST_TEST(Sent == FlowWindowBytes);
  grantCredit(Out, FlowWindowBytes + 100);
  grantCredit(Out, 10); // An older one that arrives late.
  BOOST_TEST(takeChunk(Out)->Bytes.size() == 100U);
  BOOST_TEST(!takeChunk(Out));
}

/// Guards against bytes that are lost, doubled or in the wrong order.
BOOST_AUTO_TEST_CASE(AllBytesArriveInOrder) {
  std::string Whole = text(1000000);
  ByteSource Out;
  ByteSink In;
  std::string Arrived;
  for (std::size_t At = 0; At < Whole.size(); At += 1234)
    addBytes(Out, std::string_view(Whole).substr(At, 1234));
  while (pendingBytes(Out) > 0) {
    while (auto Chunk = takeChunk(Out)) {
      BOOST_TEST_REQUIRE(takeBytes(In, Chunk->Offset, Chunk->Bytes.size()));
      Arrived += Chunk->Bytes;
    }
    if (pendingBytes(Out) == 0)
      break;
    auto Until = creditDue(In, 0);
    BOOST_TEST_REQUIRE(Until.has_value());
    grantCredit(Out, *Until);
  }
  BOOST_TEST((Arrived == Whole));
}

/// Guards against an answer that looks whole although a message was lost.
BOOST_AUTO_TEST_CASE(MissingBytesAreNoticed) {
  ByteSink In;
  BOOST_TEST(takeBytes(In, 0, 10));
  BOOST_TEST(!takeBytes(In, 20, 10));
  BOOST_TEST(!takeBytes(In, 0, 10));
  BOOST_TEST(!takeBytes(In, 10, FlowWindowBytes));
  BOOST_TEST(takeBytes(In, 10, 10));
}

/// Guards against credit for a reader that does not read.
BOOST_AUTO_TEST_CASE(UnreadBytesHoldBackCredit) {
  ByteSink In;
  BOOST_TEST(takeBytes(In, 0, FlowWindowBytes));
  BOOST_TEST(!creditDue(In, FlowWindowBytes));
  BOOST_TEST(!creditDue(In, 2 * FlowWindowBytes));
  auto Until = creditDue(In, 0);
  BOOST_TEST_REQUIRE(Until.has_value());
  BOOST_TEST(*Until == 2 * FlowWindowBytes);
}
