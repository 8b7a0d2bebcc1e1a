#include <boost/test/unit_test.hpp>

#include "ctl/Exchange.h"
#include "ctl/HttpNetwork.h"
#include "ctl/tests/Fakes.h"
#include "shell/tests/Socket.h"

#include <thread>

using namespace pimento;
using namespace pimento::ctl;
using namespace pimento::ctl::test;

namespace {

const std::vector<std::string> Hosts = {"127.0.0.1:1", "127.0.0.2:2"};

struct Fixture {
  FakeNetwork Fake;

  Exchange send(HttpMethod Method, std::deque<Attempt> Attempts) {
    Fake.Attempts = std::move(Attempts);
    UpstreamRequest R;
    R.Method = Method;
    return exchange(Fake.network(), Hosts, R, seconds(10));
  }
  Exchange put(std::deque<Attempt> Attempts) {
    return send(HttpMethod::Put, std::move(Attempts));
  }
};

const Attempt Accepted = answered(jsonReply(200, "{\"number\":2}"));

/// A listening socket. Connections get no reply unless a thread calls
/// answerOnce().
struct Listener {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  std::string Address;

  Listener() {
    sockaddr_in Any = pimento::test::loopback(0);
    socklen_t Size = sizeof(Any);
    auto *Raw = reinterpret_cast<sockaddr *>(&Any);
    BOOST_TEST_REQUIRE(::bind(Socket, Raw, Size) == 0);
    BOOST_TEST_REQUIRE(::listen(Socket, 4) == 0);
    ::getsockname(Socket, Raw, &Size);
    Address = "127.0.0.1:" + std::to_string(ntohs(Any.sin_port));
  }
  ~Listener() { ::close(Socket); }

  void answerOnce(const std::string &Bytes, std::string &Request) const {
    int Peer = ::accept(Socket, nullptr, nullptr);
    char Buffer[4096];
    while (Request.find("\r\n\r\n") == std::string::npos) {
      ssize_t Count = ::read(Peer, Buffer, sizeof Buffer);
      if (Count <= 0)
        break;
      Request.append(Buffer, static_cast<std::size_t>(Count));
    }
    if (::write(Peer, Bytes.data(), Bytes.size()) < 0)
      Request.clear();
    ::close(Peer);
  }
};

Attempt overHttp(const std::string &Address, Duration Limit) {
  UpstreamRequest R;
  R.Address = Address;
  R.Target = "/v1/status";
  return httpNetwork().Send(R, Limit);
}

Attempt answeredWith(const std::string &Bytes, std::string &Request) {
  Listener L;
  std::thread Server([&] { L.answerOnce(Bytes, Request); });
  Attempt A = overHttp(L.Address, seconds(10));
  Server.join();
  return A;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(FailedConnectionMovesToNextHost, Fixture) {
  Exchange E = put({failedAttempt(false), Accepted});
  BOOST_TEST(E.Answered);
  BOOST_TEST(E.Address == Hosts[1]);
  BOOST_TEST(E.Lost == 0U);
  BOOST_TEST(Fake.Sent.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(EditWithoutAnyConnectionFailsAfterOneRound, Fixture) {
  Exchange E = put({failedAttempt(false)});
  BOOST_TEST(!E.Answered);
  BOOST_TEST(!E.Unsettled);
  BOOST_TEST(Fake.Sent.size() == Hosts.size());
  BOOST_TEST(E.Failures ==
             "127.0.0.1:1: no connection; 127.0.0.2:2: no connection");
}

BOOST_FIXTURE_TEST_CASE(ResentEditSettlesLostReply, Fixture) {
  for (const Attempt &Settled : {Accepted, answered(Code::DocumentConflict),
                                 answered(Code::EditIdReused)}) {
    Fake.Sent.clear();
    Exchange E = put({failedAttempt(true), Settled});
    BOOST_TEST(!E.Unsettled);
    BOOST_TEST(E.Lost == 1U);
    BOOST_TEST(E.Reply.Status == Settled.Reply.Status);
    BOOST_TEST(Fake.Sent.size() == 2U);
  }
}

// After a lost reply, "not run" from a second host is not final: the first host
// may have accepted the edit.
BOOST_FIXTURE_TEST_CASE(RefusalDoesNotSettleLostReply, Fixture) {
  for (Code Number : {Code::NoLeader, Code::Draining, Code::Unauthorized,
                      Code::DocumentInvalid, Code::EditUnknown}) {
    Fake.Clock = TimePoint();
    Exchange E = put({failedAttempt(true), answered(Number)});
    BOOST_TEST(E.Unsettled, Number);
    BOOST_TEST((Fake.Clock - TimePoint() <= seconds(10)));
  }
}

BOOST_FIXTURE_TEST_CASE(EditWithUnknownOutcomeIsResentUntilSettled, Fixture) {
  Exchange E = put({answered(Code::EditUnknown), answered(Code::NoLeader),
                    failedAttempt(false), Accepted});
  BOOST_TEST(!E.Unsettled);
  BOOST_TEST(E.Reply.Status == 200);
  BOOST_TEST(E.Lost == 1U);
}

BOOST_FIXTURE_TEST_CASE(RefusalWithoutLostReplyIsFinal, Fixture) {
  Exchange E = put({answered(Code::NoLeader), Accepted});
  BOOST_TEST(!E.Unsettled);
  BOOST_TEST(E.Reply.Status == 503);
  BOOST_TEST(Fake.Sent.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ReadIsAttemptedOnceAtEachHost, Fixture) {
  Exchange E = send(HttpMethod::Get, {failedAttempt(true)});
  BOOST_TEST(!E.Answered);
  BOOST_TEST(!E.Unsettled);
  BOOST_TEST(Fake.Sent.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(UnresponsiveHostLeavesTimeForOtherHosts, Fixture) {
  Fake.Cost = seconds(5);
  BOOST_TEST(send(HttpMethod::Get, {failedAttempt(true), Accepted}).Answered);
  BOOST_TEST((Fake.Limits[0] == seconds(5)));
  Fake.Limits.clear();
  Fake.Cost = seconds(9); // Enough to learn that no leader accepted the edit.
  BOOST_TEST(!put({failedAttempt(true), Accepted}).Unsettled);
  BOOST_TEST((Fake.Limits[0] == seconds(9)));
  BOOST_TEST((Fake.Limits[1] == seconds(1)));
}

BOOST_AUTO_TEST_CASE(HttpNetworkSendsRequestAndReturnsReply) {
  std::string Request;
  Attempt A = answeredWith("HTTP/1.1 503 Service Unavailable\r\n"
                           "Retry-After: 1\r\nContent-Length: 2\r\n\r\n{}",
                           Request);
  BOOST_TEST(A.Answered);
  BOOST_TEST(A.Reply.Status == 503);
  BOOST_TEST(A.Reply.Body == "{}");
  BOOST_TEST(headerValue(A.Reply.Headers, "Retry-After") == "1");
  BOOST_TEST(Request.rfind("GET /v1/status HTTP/1.1\r\n", 0) == 0U, Request);
}

BOOST_AUTO_TEST_CASE(TruncatedReplyIsFailedAttempt) {
  for (const char *Bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
                            "HTTP/1.1 200 OK\r\n\r\n{}", ""}) {
    std::string Request;
    Attempt A = answeredWith(Bytes, Request);
    BOOST_TEST(!A.Answered, Bytes);
    BOOST_TEST(A.Failure.BytesSent, Bytes);
    BOOST_TEST(!A.Failure.Detail.empty(), Bytes);
  }
}

BOOST_AUTO_TEST_CASE(HttpNetworkDistinguishesTimeoutFromRefusedConnection) {
  Attempt Refused = overHttp(pimento::test::freeAddress(), seconds(10));
  BOOST_TEST(!Refused.Answered);
  BOOST_TEST(!Refused.Failure.BytesSent);
  Listener L;
  Attempt Silent = overHttp(L.Address, milliseconds(100));
  BOOST_TEST(!Silent.Answered);
  BOOST_TEST(Silent.Failure.BytesSent);
  BOOST_TEST(Silent.Failure.TimedOut);
}

BOOST_AUTO_TEST_CASE(PathSegmentsArePercentEncoded) {
  BOOST_TEST(encodeSegment("a b/../c?d") == "a%20b%2F..%2Fc%3Fd");
}
