#include <boost/test/unit_test.hpp>

#include "intake/RequestScan.h"
#include "intake/tests/FramedRequests.h"

#include <algorithm>
#include <string>

using namespace pimento;

namespace {

RequestScan scanned(const std::string &Text,
                    std::size_t PieceBytes = SIZE_MAX) {
  RequestScan S;
  S.IsReserved = [](std::string_view Name) { return Name == "x-identity"; };
  for (std::size_t At = 0; At < Text.size();
       At += std::min(PieceBytes, Text.size() - At))
    scan(S, std::string_view(Text).substr(At, PieceBytes));
  return S;
}

std::string repeated(const std::string &Text, int Count) {
  std::string All;
  for (int I = 0; I < Count; ++I)
    All += Text;
  return All;
}

} // namespace

/// Guards against a scan that depends on how the bytes are cut into pieces.
BOOST_AUTO_TEST_CASE(PiecesDoNotChangeTheScan) {
  const std::string Length =
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-LENGTH:  7\r\n\r\na\nb\r\n\nc";
  const std::string Chunked =
      "POST /x HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\na\nb\r\nA\r\n"
      "0123\n56\n89\r\n0\r\nT: 1\r\nU: 2\r\n\r\n";
  for (std::size_t PieceBytes : {std::size_t(1), std::size_t(2), std::size_t(7),
                                 std::size_t(64), SIZE_MAX}) {
    RequestScan S = scanned(Length, PieceBytes);
    BOOST_TEST((S.Part == RequestPart::Whole));
    BOOST_TEST(S.Fields == 3U);
    BOOST_TEST(S.Bytes == Length.size());
    BOOST_TEST(S.HeadBytes == Length.size() - 7);
    S = scanned(Chunked, PieceBytes);
    BOOST_TEST((S.Part == RequestPart::Whole));
    BOOST_TEST(S.Fields == 4U);
    BOOST_TEST(S.HeadFields == 1U);
    BOOST_TEST(S.BodyBytes == 13U);
    BOOST_TEST(S.WholeBytes == Chunked.size());
  }
}

/// Guards against requests whose end two readers see in different places.
BOOST_AUTO_TEST_CASE(RequestsWithoutACertainEndAreFaulty) {
  for (const test::FramedRequest &Form : test::ambiguousRequests()) {
    BOOST_TEST_CONTEXT(Form.Name) {
      BOOST_TEST(scanned(Form.Text).Fault != nullptr);
      BOOST_TEST(scanned(Form.Text, 1).Fault == scanned(Form.Text).Fault);
      BOOST_TEST((scanned(Form.Text).Part != RequestPart::Whole));
    }
  }
}

/// Guards against faults that are found in proper requests.
BOOST_AUTO_TEST_CASE(RequestsWithACertainEndEndThere) {
  for (const test::FramedRequest &Form : test::properRequests()) {
    for (std::size_t PieceBytes : {std::size_t(1), std::size_t(3), SIZE_MAX}) {
      BOOST_TEST_CONTEXT(Form.Name << ", pieces of " << PieceBytes) {
        RequestScan S = scanned(Form.Text + "GET", PieceBytes);
        BOOST_TEST((S.Fault == nullptr));
        BOOST_TEST((S.Part == RequestPart::Whole));
        BOOST_TEST(S.WholeBytes == Form.Text.size());
        BOOST_TEST(S.BodyBytes == Form.Body.size());
      }
    }
  }
}

/// Guards against an account of bytes alone: a bare field is four of them.
BOOST_AUTO_TEST_CASE(EachFieldIsCharged) {
  const std::string Head = "GET / HTTP/1.1\r\n" + repeated("a:\r\n", 3900);
  RequestScan S = scanned(Head);
  BOOST_TEST(S.Fields == 3901U);
  BOOST_TEST(cost(S) >= 3900 * FieldBytes);
  BOOST_TEST(cost(S) == headCost(S));
}

/// Guards against lines of a body that are charged as if they were fields.
BOOST_AUTO_TEST_CASE(LinesOfBodiesAreBytes) {
  const std::string Lines = repeated("a:\r\n", 1000);
  RequestScan S =
      scanned("POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + Lines);
  BOOST_TEST((S.Part == RequestPart::Body));
  BOOST_TEST(S.Fields == 2U);
  BOOST_TEST(cost(S) == headCost(S) + Lines.size());
  S = scanned("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n" +
              Lines);
  BOOST_TEST((S.Part == RequestPart::Chunk));
  BOOST_TEST(S.Fields == 2U);
}

/// Guards against requests sent ahead that are charged to the one before them.
BOOST_AUTO_TEST_CASE(BytesBehindTheRequestAreBytes) {
  RequestScan S =
      scanned("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + repeated("a:\r\n", 100));
  BOOST_TEST((S.Part == RequestPart::Whole));
  BOOST_TEST(S.Fields == 2U);
}

/// Guards against memory of the scan itself, for lines without an end.
BOOST_AUTO_TEST_CASE(EndlessLinesAreNotKept) {
  RequestScan S = scanned(std::string(1U << 20U, 'x'), 4096);
  BOOST_TEST(S.Line.size() <= 64U);
  BOOST_TEST(cost(S) >= (1U << 20U));
  BOOST_TEST(cost(RequestScan()) == 0U);
}
