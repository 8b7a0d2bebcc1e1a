// Requests that are malformed, too large, truncated, slow or not authorised, on
// each port of a host. Each must be refused with its code, or its connection be
// closed, and the hosts must go on serving.

#include <boost/test/unit_test.hpp>

#include "site/Site.h"

#include "wire/Messages.h"

using namespace pimento;
using namespace pimento::site;

namespace {

constexpr Duration ReadTimeout = seconds(1);
constexpr Duration Slack = seconds(2);
constexpr const char *Limits = "read_timeout = 1s\n"
                               "body = 64KiB\n"
                               "headers = 4KiB\n";

/// Bytes that a client sends, and the expected response: a status and a code,
/// or a closed connection.
struct Case {
  std::string Name;
  std::string Bytes;
  int Status = 0; // 0: closed, possibly after an error or an upgrade.
  int Code = 0;
  bool ClosesEarly = false; // The client closes without reading a response.
};

void check(const std::string &Address, const Case &C) {
  BOOST_TEST_CONTEXT(C.Name) {
    Connection Link(Address);
    BOOST_REQUIRE(Link.connected());
    Link.write(C.Bytes);
    if (C.ClosesEarly)
      return;
    BOOST_TEST(Link.readAll(now() + ReadTimeout + Slack));
    Reply R = readReply(Link.Received);
    BOOST_TEST_INFO("received " << Link.Received.substr(0, 400));
    if (C.Status == 0) {
      BOOST_TEST((R.Status == 0 || R.Status == 101 || R.Status >= 400));
      return;
    }
    BOOST_TEST(R.Status == C.Status);
    BOOST_TEST(R.Complete);
    BOOST_TEST(codeOf(R) == C.Code);
  }
}

std::string caller(const std::string &Method, const std::string &Path,
                   const std::string &Body,
                   const std::string &Token = accountToken("aurora-air")) {
  return textOf({"host", Method, Path, Token, Body, {}});
}

std::string completion() {
  return completionBody("a prompt", false, AnswerTokens);
}

/// Cases with the same response on the callers' and the operators' port.
std::vector<Case> commonCases(const std::string &LargeBytes) {
  return {
      {"no HTTP", "\x16\x03\x01\x02 nonsense\r\n\r\n", 400, 100},
      {"no colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n", 400, 100},
      {"length", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n", 400, 100},
      {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400,
       100},
      {"method", "BREW / HTTP/1.1\r\n\r\n", 405, 111},
      {"long headers",
       "GET / HTTP/1.1\r\nX-Long: " + std::string(8192, 'x') + "\r\n\r\n", 431,
       102},
      {"endless line", "GET /" + std::string(8192, 'x'), 431, 102},
      {"large body",
       "POST / HTTP/1.1\r\nContent-Length: " + LargeBytes + "\r\n\r\n{", 413,
       101},
      {"slow headers", "GET /readyz HTTP/1.1\r\nHost:", 408, 113},
      {"slow body", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n{", 408, 113},
      {"slow chunks",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", 408,
       113},
      {"truncated headers", "GET /readyz HTTP/1.1\r\nHo", 0, 0, true},
      {"truncated body", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n{", 0, 0,
       true},
      {"nothing at all", "", 0, 0, true},
  };
}

std::vector<Case> callerCases() {
  const std::string SignOffs =
      std::string("/v1/services/") + LedgerService + "/calls/signoffs";
  return {
      {"no token", caller("POST", "/v1/completions", completion(), ""), 401,
       103},
      {"operators' token",
       caller("POST", "/v1/completions", completion(), OperatorToken), 401,
       103},
      {"announcement without its token",
       caller("POST", "/v1/backends/announce", "{}"), 401, 103},
      {"no JSON", caller("POST", "/v1/completions", "{\"model\": "), 400, 100},
      {"deep JSON", caller("POST", "/v1/completions", std::string(20000, '[')),
       400, 100},
      {"fields", caller("POST", "/v1/completions", "{\"prompt\": 3}"), 400,
       100},
      {"model",
       caller("POST", "/v1/completions",
              R"({"model": "other", "prompt": "a", "max_tokens": 1})"),
       404, 106},
      {"path", caller("GET", "/v1/nothing", ""), 404, 110},
      {"no key", caller("POST", SignOffs, "{}"), 400, 107},
      {"service", caller("GET", "/v1/services/other/calls/lookups/1", ""), 404,
       105},
  };
}

std::vector<Case> operatorCases() {
  const std::string Path =
      std::string("/v1/services/") + LedgerService + "/document";
  Json InvalidDocument = exampleDocument(LedgerService);
  InvalidDocument["number"] = 2;
  InvalidDocument["accounts"][0]["weight"] = 0;
  Json OutdatedDocument = exampleDocument(LedgerService);
  OutdatedDocument["claim_retention_hours"] = 1;
  return {
      {"no token", caller("GET", "/v1/status", "", ""), 401, 103},
      {"a caller's token", caller("PUT", Path, OutdatedDocument.dump()), 401,
       103},
      {"no JSON", caller("PUT", Path, "{", OperatorToken), 422, 400},
      {"schema", caller("PUT", Path, InvalidDocument.dump(), OperatorToken),
       422, 400},
      {"old number",
       caller("PUT", Path, OutdatedDocument.dump(), OperatorToken), 409, 401},
      {"path", caller("GET", "/v1/nothing", "", OperatorToken), 404, 110},
      {"method", caller("DELETE", Path, "", OperatorToken), 405, 111},
  };
}

/// One unfragmented binary WebSocket frame of a client, masked with zeros.
std::string frameOf(const std::string &Payload) {
  std::string Frame = "\x82";
  Frame += '\xfe'; // Masked; 16 bits of length follow.
  Frame += static_cast<char>(Payload.size() >> 8U);
  Frame += static_cast<char>(Payload.size() & 0xFFU);
  return Frame + std::string(4, '\0') + Payload;
}

std::vector<Case> peerCases(const Site &S) {
  const std::string Upgrade =
      "GET / HTTP/1.1\r\nHost: host\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
  Hello WrongProof{HostId(S.Hosts[1].Name), 1, linkProof("wrong", "", {}, 1)};
  const std::string Huge("\x82\xff\0\0\0\1\0\0\0\0\0\0\0\0", 14);
  return {
      {"no HTTP", "\x16\x03\x01\x02 nonsense\r\n\r\n"},
      {"plain HTTP", "GET / HTTP/1.1\r\nHost: host\r\n\r\n"},
      {"endless line", "GET /" + std::string(65536, 'x')},
      {"slow headers", "GET / HTTP/1.1\r\nUpgrade:"},
      {"nothing at all", ""},
      {"no Hello", Upgrade},
      {"no frame", Upgrade + "\xff\xff\xff\xff"},
      {"no message", Upgrade + frameOf("nonsense")},
      {"a message before the Hello", Upgrade + frameOf(encode(Ping{}))},
      {"a Hello with a wrong proof", Upgrade + frameOf(encode(WrongProof))},
      {"a frame past the limit", Upgrade + Huge},
      {"a truncated frame", Upgrade + frameOf("nonsense").substr(0, 9)},
      {"closes early", Upgrade, 0, 0, true},
  };
}

} // namespace

BOOST_AUTO_TEST_CASE(InvalidRequestsDoNotDisturbHosts) {
  Site S(Limits);
  const Host &H = S.Hosts[0];
  for (const Case &C : commonCases("65537"))
    check(H.Caller, C);
  for (const Case &C : callerCases())
    check(H.Caller, C);
  for (const Case &C : commonCases("4194305"))
    check(H.Operator, C);
  for (const Case &C : operatorCases())
    check(H.Operator, C);
  for (const Case &C : peerCases(S)) {
    BOOST_TEST_CONTEXT("peer port")
    check(H.Peer, C);
  }
  for (std::size_t I = 0; I < HostCount; ++I) {
    BOOST_TEST(S.Hosts[I].Run.running());
    BOOST_TEST(S.ready(I));
    BOOST_TEST(S.serves(I));
    BOOST_TEST(S.documentAt(I) == 1);
  }
  BOOST_TEST(S.putUntilSettled(0, 2, "edit-2", 24).Status == 200);
  BOOST_TEST(S.signOff(0, "drill-1").Status == 200);
  BOOST_TEST(S.runs("drill-1") == 1);
}
