#define BOOST_TEST_MODULE shell
#include <boost/test/unit_test.hpp>

#include "base/Problem.h"
#include "shell/HttpClient.h"
#include "shell/HttpServer.h"
#include "shell/tests/Socket.h"

#include <csignal>
#include <optional>

using namespace pimento;
using namespace pimento::test;

namespace {

constexpr Duration MaxWait = seconds(10);
constexpr std::size_t NoBytes = 0;
constexpr int SmallReceiveBytes = 64 << 10;

/// Server and client on one event loop.
struct Fixture {
  EventBasePtr Base = makeEventBase();
  std::uint64_t NextExchange = 1;
  std::vector<std::pair<ExchangeId, HttpRequest>> Requests;
  std::vector<ExchangeId> Left;
  std::vector<ExchangeId> Written; // Exchanges whose reply was fully written.
  std::vector<std::pair<ExchangeId, std::size_t>> Drained;
  std::vector<Code> Refused;
  std::string Address = freeAddress();
  HttpServer Server{Base.get(), limits(), hooks(), NextExchange};

  int Status = 0;
  std::string Body;
  bool Sent = false;
  bool Ended = false;
  bool Delimited = false;
  std::optional<UpstreamFailure> Failure;
  HttpClient Client{Base.get(), clientHooks()};

  Fixture() {
    std::signal(SIGPIPE, SIG_IGN); // As the host process does.
    BOOST_TEST_REQUIRE(Server.listen(Address));
  }

  static HttpServerLimits limits() {
    HttpServerLimits L;
    L.BodyBytes = 1000;
    L.HeaderBytes = 2000;
    L.Connections = 8;
    L.ReadTimeout = milliseconds(300);
    return L;
  }
  HttpServerHooks hooks() {
    HttpServerHooks H;
    H.Request = [this](ExchangeId Id, HttpRequest R) {
      Requests.emplace_back(Id, std::move(R));
    };
    H.Left = [this](ExchangeId Id, ConnectionEnd) { Left.push_back(Id); };
    H.Drained = [this](ExchangeId Id, std::size_t Pending) {
      Drained.emplace_back(Id, Pending);
      if (Pending == 0)
        Written.push_back(Id);
    };
    H.Refused = [this](Code C) { Refused.push_back(C); };
    return H;
  }
  HttpClientHooks clientHooks() {
    HttpClientHooks H;
    H.Sent = [this](UpstreamId, bool) { Sent = true; };
    H.Head = [this](UpstreamId, int S, const std::vector<HttpHeader> &) {
      Status = S;
    };
    H.Data = [this](UpstreamId, const std::string &Bytes) { Body += Bytes; };
    H.End = [this](UpstreamId, bool IsDelimited) {
      Ended = true;
      Delimited = IsDelimited;
    };
    H.Failed = [this](UpstreamId, const UpstreamFailure &Why) {
      Failure = Why;
    };
    return H;
  }

  /// Runs the loop until \p Done holds; returns false after MaxWait.
  template <class F> bool until(F Done) {
    return runUntil(Base.get(), MaxWait, Done);
  }

  void wait(Duration Time) {
    runUntil(Base.get(), Time, [] { return false; });
  }

  /// Sends raw bytes and returns all bytes received until the server closes.
  std::string rawExchange(const std::string &Bytes) {
    RawSocket Socket(Address);
    Socket.write(Bytes);
    until([&] { return Socket.readAvailable(); });
    return Socket.Received;
  }

  void open(const UpstreamRequest &R) { Client.open(UpstreamId{1}, R); }

  /// Whether the last report of the server says that the reply of this exchange
  /// was fully written.
  bool delivered(ExchangeId Id) const {
    return !Drained.empty() && Drained.back() == std::make_pair(Id, NoBytes);
  }
};

void expectProblem(const std::string &Answer, Code Number) {
  int Status = info(Number).HttpStatus;
  BOOST_TEST((Answer.find("HTTP/1.1 " + std::to_string(Status)) == 0), Answer);
  BOOST_TEST((Answer.find(ProblemContentType) != std::string::npos), Answer);
  std::string Field =
      "\"code\":" + std::to_string(static_cast<unsigned>(Number));
  BOOST_TEST((Answer.find(Field) != std::string::npos), Answer);
}

} // namespace

BOOST_FIXTURE_TEST_CASE(RequestAndReplyAreDelivered, Fixture) {
  UpstreamRequest R;
  R.Address = Address;
  R.Method = HttpMethod::Post;
  R.Target = "/a%20b?c=d";
  R.Headers = {{"X-Test", "1"}};
  R.Body = "hello";
  open(R);
  BOOST_TEST(until([&] { return !Requests.empty(); }));
  const HttpRequest &Seen = Requests[0].second;
  BOOST_TEST(Seen.Path == "/a b");
  BOOST_TEST(Seen.Query == "c=d");
  BOOST_TEST(Seen.Body == "hello");
  BOOST_TEST(headerValue(Seen.Headers, "x-test") == "1");
  Server.reply(Requests[0].first, jsonReply(201, "{}"));
  BOOST_TEST(until([&] { return Ended; }));
  BOOST_TEST(Status == 201);
  BOOST_TEST(Body == "{}");
  BOOST_TEST(Delimited);
  BOOST_TEST(Sent);
  BOOST_TEST(until([&] { return delivered(Requests[0].first); }));
  BOOST_TEST(!Server.holds(Requests[0].first));
}

BOOST_FIXTURE_TEST_CASE(ReplyToSlowCallerIsDeliveredInSteps, Fixture) {
  RawSocket Socket(Address);
  Socket.write("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(until([&] { return !Requests.empty(); }));
  ExchangeId Id = Requests[0].first;
  constexpr std::size_t Large = 32U << 20U; // Exceeds the socket buffers.
  Server.reply(Id, jsonReply(200, std::string(Large, ' ')));
  BOOST_TEST(until([&] { return !Drained.empty(); }));
  BOOST_TEST(Drained.back().second > 0U);
  std::size_t Before = Drained.back().second;
  // Empties the socket buffers once; filling them a second time does not
  // complete the reply.
  Socket.readAvailable();
  BOOST_TEST(until([&] { return Drained.back().second < Before; }));
  BOOST_TEST(Drained.back().second > 0U);
  BOOST_TEST(Server.holds(Id));
  BOOST_TEST(until([&] {
    Socket.readAvailable();
    return delivered(Id);
  }));
  // The next request on the same connection, aborted by the server.
  BOOST_TEST(until([&] { return Requests.size() == 2; }));
  ExchangeId Next = Requests[1].first;
  Server.reply(Next, jsonReply(200, std::string(Large, ' ')));
  BOOST_TEST(until([&] { return Drained.back().first == Next; }));
  Server.abort(Next);
  BOOST_TEST(!Server.holds(Next));
  BOOST_TEST(until([&] { return Socket.readAvailable(); }));
  BOOST_TEST(!delivered(Next));
  BOOST_TEST(Left.empty());
}

BOOST_FIXTURE_TEST_CASE(StreamChunksArriveSeparately, Fixture) {
  UpstreamRequest R;
  R.Address = Address;
  R.Target = "/";
  open(R);
  BOOST_TEST(until([&] { return !Requests.empty(); }));
  ExchangeId Id = Requests[0].first;
  Server.startStream(Id, 200, {{"Content-Type", "text/event-stream"}});
  Server.sendChunk(Id, "one");
  BOOST_TEST(until([&] { return Body == "one"; }));
  BOOST_TEST(!Ended);
  Server.sendChunk(Id, "two");
  Server.endStream(Id);
  BOOST_TEST(until([&] { return Ended; }));
  BOOST_TEST(Body == "onetwo");
  BOOST_TEST(until([&] { return delivered(Id); }));
}

BOOST_FIXTURE_TEST_CASE(AbortedStreamFails, Fixture) {
  UpstreamRequest R;
  R.Address = Address;
  R.Target = "/";
  open(R);
  BOOST_TEST(until([&] { return !Requests.empty(); }));
  ExchangeId Id = Requests[0].first;
  Server.startStream(Id, 200, {});
  Server.sendChunk(Id, "half");
  BOOST_TEST(until([&] { return Body == "half"; }));
  Server.abort(Id);
  BOOST_TEST(until([&] { return Failure.has_value(); }));
  BOOST_TEST(!Ended);
  BOOST_TEST(Failure->BytesSent);
}

BOOST_FIXTURE_TEST_CASE(BrokenStreamDeliversItsChunksBeforeFailing, Fixture) {
  UpstreamRequest R;
  R.Address = Address;
  R.Target = "/";
  open(R);
  BOOST_TEST(until([&] { return !Requests.empty(); }));
  ExchangeId Id = Requests[0].first;
  Server.startStream(Id, 200, {});
  Server.sendChunk(Id, "half");
  Server.sendChunk(Id, "why");
  Server.breakStream(Id);
  BOOST_TEST(until([&] { return Failure.has_value(); }));
  BOOST_TEST(Body == "halfwhy");
  BOOST_TEST(!Ended);
  BOOST_TEST(Server.exchanges() == 0U);
  BOOST_TEST(!Written.empty());
}

/// Guards against a caller that waited two minutes: nobody looked whether the
/// head of a stream was written that was broken off before its first chunk.
BOOST_FIXTURE_TEST_CASE(StreamBrokenOffRightBehindItsHeadFails, Fixture) {
  UpstreamRequest R;
  R.Address = Address;
  R.Target = "/";
  open(R);
  BOOST_TEST(until([&] { return !Requests.empty(); }));
  ExchangeId Id = Requests[0].first;
  Server.startStream(Id, 200, {});
  Server.breakStream(Id);
  BOOST_TEST(until([&] { return Failure.has_value(); }));
  BOOST_TEST(Body.empty());
  BOOST_TEST(!Ended);
  BOOST_TEST(Server.exchanges() == 0U);
}

BOOST_FIXTURE_TEST_CASE(EndedRepliesAreReportedWhenWritten, Fixture) {
  UpstreamRequest R;
  R.Address = Address;
  R.Target = "/";
  open(R);
  BOOST_TEST(until([&] { return !Requests.empty(); }));
  Server.reply(Requests[0].first, jsonReply(200, "{}"));
  BOOST_TEST(until([&] { return Ended; }));
  BOOST_TEST(until([&] { return !Written.empty(); }));
  BOOST_TEST((Written.back() == Requests[0].first));
  Client.open(UpstreamId{2}, R);
  BOOST_TEST(until([&] { return Requests.size() == 2; }));
  ExchangeId Stream = Requests[1].first;
  Server.startStream(Stream, 200, {});
  Server.sendChunk(Stream, "one");
  Server.endStream(Stream);
  BOOST_TEST(
      until([&] { return !Written.empty() && Written.back() == Stream; }));
  BOOST_TEST(until([&] { return Server.exchanges() == 0; }));
  BOOST_TEST(Left.empty());
}

BOOST_FIXTURE_TEST_CASE(UnreadRepliesAreReleasedOnClose, Fixture) {
  constexpr std::size_t MoreThanSocketsHold = 32U << 20U;
  for (bool ClosedByServer : {true, false}) {
    auto Socket = std::make_unique<RawSocket>(Address);
    Socket->write("GET / HTTP/1.1\r\n\r\n");
    std::size_t Before = Requests.size();
    BOOST_TEST_REQUIRE(until([&] { return Requests.size() > Before; }));
    ExchangeId Id = Requests.back().first;
    Server.reply(Id, jsonReply(200, std::string(MoreThanSocketsHold, 'x')));
    BOOST_TEST(Server.holds(Id));
    if (ClosedByServer)
      Server.abort(Id);
    else
      Socket.reset();
    BOOST_TEST(until([&] { return !Server.holds(Id); }));
    BOOST_TEST(until([&] { return Server.pendingBytes() == 0; }));
    BOOST_TEST(Left.size() == (ClosedByServer ? 0U : 1U));
  }
  BOOST_TEST(Written.empty());
}

BOOST_FIXTURE_TEST_CASE(RefusedConnectionReportsNoBytesSent, Fixture) {
  UpstreamRequest R;
  R.Address = freeAddress();
  R.Target = "/";
  R.Body = "never sent";
  open(R);
  BOOST_TEST(until([&] { return Failure.has_value(); }));
  BOOST_TEST(!Failure->BytesSent);
  BOOST_TEST(!Sent);
}

BOOST_FIXTURE_TEST_CASE(DisconnectedCallersAreReported, Fixture) {
  UpstreamRequest R;
  R.Address = Address;
  R.Target = "/";
  open(R);
  BOOST_TEST(until([&] { return !Requests.empty(); }));
  Client.abort(UpstreamId{1});
  BOOST_TEST(until([&] { return !Left.empty(); }));
  BOOST_TEST((Left[0] == Requests[0].first));
  // A reply after the disconnect has no effect.
  Server.reply(Requests[0].first, HttpReply());
}

BOOST_FIXTURE_TEST_CASE(RequestsRefusedByEvhttpGetProblemReply, Fixture) {
  expectProblem(rawExchange("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"),
                Code::BodyTooLarge);
  expectProblem(rawExchange("nonsense\r\n\r\n"), Code::BadRequest);
  expectProblem(rawExchange("GET / HTTP/1.1\r\nA: " + std::string(3000, 'x') +
                            "\r\n\r\n"),
                Code::HeaderTooLarge);
  expectProblem(rawExchange("TRACE / HTTP/1.1\r\n\r\n"),
                Code::MethodNotAllowed);
  BOOST_TEST(Requests.empty());
}

/// Guards against a header whose name ends with a blank: a server may take it
/// for one that only the host may set.
BOOST_FIXTURE_TEST_CASE(HeaderNamesThatEndWithABlankAreRefused, Fixture) {
  RawSocket Socket(Address);
  Socket.write("GET / HTTP/1.1\r\nX-Account : other\r\n\r\n");
  BOOST_TEST(until([&] {
    Socket.readAvailable();
    return !Socket.Received.empty();
  }));
  expectProblem(Socket.Received, Code::BadRequest);
  BOOST_TEST(Requests.empty());
}

namespace {

/// A server of long requests that holds few bytes.
struct SmallServer {
  EventBasePtr Base = makeEventBase();
  std::uint64_t NextExchange = 1;
  std::vector<std::pair<ExchangeId, HttpRequest>> Requests;
  std::vector<Code> Refused;
  std::size_t OtherBytes = 0;
  std::size_t MostHeld = 0;
  std::string Address = freeAddress();
  HttpServer Server{Base.get(), limits(), hooks(), NextExchange};

  SmallServer() { BOOST_TEST_REQUIRE(Server.listen(Address)); }

  static HttpServerLimits limits() {
    HttpServerLimits L;
    L.BodyBytes = 4U << 20U;
    L.HeldBytes = 8U << 20U;
    return L;
  }
  HttpServerHooks hooks() {
    HttpServerHooks H;
    H.Request = [this](ExchangeId Id, HttpRequest R) {
      Requests.emplace_back(Id, std::move(R));
    };
    H.Left = [](ExchangeId, ConnectionEnd) {};
    H.Drained = [](ExchangeId, std::size_t) {};
    H.Refused = [this](Code C) { Refused.push_back(C); };
    H.OtherHeldBytes = [this] { return OtherBytes; };
    return H;
  }
};

} // namespace

/// Guards against bodies that are being read beyond the memory of the process:
/// those that began first are read to their end, the others are told that they
/// were not.
BOOST_FIXTURE_TEST_CASE(LongRequestsBeyondTheMemoryAreRefusedUnread,
                        SmallServer) {
  constexpr int Callers = 20;
  constexpr std::size_t BodyBytes = 1U << 20U;
  const std::string Head =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(BodyBytes) +
      "\r\n\r\n";
  const std::string Piece(BodyBytes / 16, 'x');
  std::vector<std::unique_ptr<RawSocket>> Sockets;
  for (int I = 0; I < Callers; ++I) {
    Sockets.push_back(std::make_unique<RawSocket>(Address));
    Sockets.back()->write(Head);
    runUntil(Base.get(), milliseconds(4), [] { return false; });
  }
  for (int Round = 0; Round < 16; ++Round) {
    for (const auto &Socket : Sockets)
      Socket->write(Piece);
    runUntil(Base.get(), milliseconds(150), [&] {
      MostHeld = std::max(MostHeld, Server.heldBytes());
      return false;
    });
  }
  BOOST_TEST(Requests.size() >= 6U);
  BOOST_TEST(Requests.size() + Refused.size() == std::size_t(Callers));
  for (Code Number : Refused)
    BOOST_TEST((Number == Code::Overloaded));
  BOOST_TEST(MostHeld <= (10U << 20U));
  runUntil(Base.get(), milliseconds(300), [] { return false; });
  BOOST_TEST(Server.heldBytes() == 0U);
}

/// Guards against an account of the bytes that loses some with each connection.
BOOST_FIXTURE_TEST_CASE(HeldBytesReturnToZero, SmallServer) {
  for (int Round = 0; Round < 10; ++Round) {
    RawSocket Cut(Address);
    Cut.write("POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\nabc");
    RawSocket Whole(Address);
    Whole.write("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    std::size_t Before = Requests.size();
    BOOST_TEST_REQUIRE(runUntil(Base.get(), MaxWait, [&] {
      return Requests.size() > Before && Server.heldBytes() > 0;
    }));
    Server.reply(Requests.back().first,
                 jsonReply(200, std::string(1U << 20U, 'x')));
    if (Round % 2 == 0)
      continue; // The caller leaves before it has read its reply.
    runUntil(Base.get(), milliseconds(100), [&] {
      Whole.readAvailable();
      return false;
    });
  }
  BOOST_TEST(runUntil(Base.get(), MaxWait, [&] {
    return Server.connections() == 0 && Server.heldBytes() == 0;
  }));
}

BOOST_FIXTURE_TEST_CASE(SlowRequestsGetProblemReply, Fixture) {
  expectProblem(rawExchange("POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nab"),
                Code::RequestTimeout);
  expectProblem(rawExchange("GET / HT"), Code::RequestTimeout);
}

// If the socket of a closed connection is released too early, the state left in
// libevent disturbs the next connection with the same descriptor.
BOOST_FIXTURE_TEST_CASE(ConnectionReusingClosedDescriptorIsServed, Fixture) {
  for (std::size_t Round = 1; Round <= 20; ++Round) {
    auto Socket = std::make_unique<RawSocket>(Address);
    Socket->write("GET / HTTP/1.1\r\n\r\n");
    BOOST_TEST_REQUIRE(until([&] { return Requests.size() == 2 * Round - 1; }));
    // The connection closes while its reply is pending. The next one follows at
    // once and gets the same descriptor on the server side.
    Socket.reset();
    BOOST_TEST_REQUIRE(until([&] { return Left.size() == Round; }));
    RawSocket Next(Address);
    Next.write("GET / HTTP/1.1\r\n\r\n");
    BOOST_TEST_REQUIRE(until([&] { return Requests.size() == 2 * Round; }));
    Server.reply(Requests.back().first, jsonReply(200, "{}"));
    BOOST_TEST_REQUIRE(until([&] {
      Next.readAvailable();
      return !Next.Received.empty();
    }));
  }
}

BOOST_FIXTURE_TEST_CASE(ConnectionCountIsLimited, Fixture) {
  std::vector<std::unique_ptr<RawSocket>> Sockets;
  constexpr int Attempts = 12; // Above the limit of 8.
  Sockets.reserve(Attempts);
  for (int I = 0; I < Attempts; ++I)
    Sockets.push_back(std::make_unique<RawSocket>(Address));
  BOOST_TEST(until([&] { return Refused.size() >= 4; }));
  BOOST_TEST(until([&] { return Server.connections() <= 8; }));
}

BOOST_FIXTURE_TEST_CASE(ClosedConnectionsAreRemoved, Fixture) {
  for (int I = 0; I < 5; ++I) {
    RawSocket Socket(Address);
    Socket.write("GET /");
    BOOST_TEST(until([&] { return Server.connections() > 0; }));
  }
  BOOST_TEST(until([&] { return Server.connections() == 0; }));
}

/// Guards against requests that a caller sent behind another one, in one go,
/// and that end with the connection because the first answer closes it: a host
/// that stops closes with each answer.
BOOST_FIXTURE_TEST_CASE(RequestsSentTogetherAreAllAnswered, Fixture) {
  HttpReply Closing = jsonReply(200, "\"closing\"");
  Closing.Headers.push_back({"Connection", "close"});
  RawSocket Socket(Address);
  std::string Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  Socket.write(Request + Request + Request);
  std::size_t Answered = 0;
  bool HasEnded = until([&] {
    for (; Answered < Requests.size(); ++Answered)
      Server.reply(Requests[Answered].first, Closing);
    return Socket.readAvailable();
  });
  BOOST_TEST(HasEnded);
  BOOST_TEST(Answered == 3);
  std::size_t Bodies = 0, At = 0;
  while ((At = Socket.Received.find("\"closing\"", At)) != std::string::npos)
    ++Bodies, ++At;
  BOOST_TEST(Bodies == 3);
  // Only the last answer says that the connection ends.
  BOOST_TEST(Socket.Received.find("Connection: close") >
             Socket.Received.rfind("HTTP/1.1 200"));
}

/// Guards against an answer that loses its end, because the connection is
/// closed over bytes that its caller sent meanwhile: that resets it, and what
/// the caller has not read yet is gone.
BOOST_FIXTURE_TEST_CASE(AnswerIsWholeThoughItsCallerSendsMore, Fixture) {
  constexpr std::size_t AnswerBytes = 1U << 20U; // Fits into the socket.
  RawSocket Socket(Address, SmallReceiveBytes);
  Socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST_REQUIRE(until([&] { return !Requests.empty(); }));
  HttpReply Closing = jsonReply(200, std::string(AnswerBytes, 'x'));
  Closing.Headers.push_back({"Connection", "close"});
  Server.reply(Requests.front().first, Closing);
  // The caller reads nothing yet; the rest waits in the server's socket.
  BOOST_TEST_REQUIRE(until([&] { return Server.pendingBytes() == 0; }));
  wait(milliseconds(300));
  Socket.write("GET /b HTTP/1.1\r\n");
  wait(milliseconds(100));
  until([&] { return Socket.readAvailable(); });
  BOOST_TEST(Socket.Received.size() > AnswerBytes);
}

/// Guards against a caller that pauses while it reads and loses its answer: it
/// is alive, but its window stays closed for longer than TCP_USER_TIMEOUT.
BOOST_FIXTURE_TEST_CASE(CallerThatPausesWhileItReadsGetsItsAnswer, Fixture) {
  constexpr std::size_t AnswerBytes = 12U << 20U; // More than sockets hold.
  RawSocket Socket(Address, SmallReceiveBytes);
  Socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST_REQUIRE(until([&] { return !Requests.empty(); }));
  Server.reply(Requests.front().first,
               jsonReply(200, std::string(AnswerBytes, 'x')));
  wait(seconds(4));
  until([&] {
    return Socket.readAvailable() || Socket.Received.size() > AnswerBytes;
  });
  BOOST_TEST(Socket.Received.size() > AnswerBytes);
  BOOST_TEST(Left.empty());
}
