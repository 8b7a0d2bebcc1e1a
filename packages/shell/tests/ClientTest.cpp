#include <boost/test/unit_test.hpp>

#include "shell/HttpClient.h"
#include "shell/LineWriter.h"
#include "shell/Logger.h"
#include "shell/tests/RawServer.h"
#include "shell/tests/Socket.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <unistd.h>

using namespace pimento;
using namespace pimento::test;

namespace {

constexpr Duration MaxWait = seconds(10);

struct CallOutcome {
  int Status = 0;
  std::string Body;
  bool Sent = false;
  bool IsKept = false;
  bool Ended = false;
  bool Delimited = false;
  bool Failed = false;
  UpstreamFailure Why;
};

struct Fixture {
  EventBasePtr Base = makeEventBase();
  RawServer Server{Base.get()};
  std::map<UpstreamId, CallOutcome> Calls;
  HttpClient Client{Base.get(), hooks()};

  Fixture() { std::signal(SIGPIPE, SIG_IGN); }

  HttpClientHooks hooks() {
    HttpClientHooks H;
    H.Sent = [this](UpstreamId Id, bool IsKept) {
      Calls[Id].Sent = true;
      Calls[Id].IsKept = IsKept;
    };
    H.Head = [this](UpstreamId Id, int Status,
                    const std::vector<HttpHeader> &) {
      Calls[Id].Status = Status;
    };
    H.Data = [this](UpstreamId Id, const std::string &Bytes) {
      Calls[Id].Body += Bytes;
    };
    H.End = [this](UpstreamId Id, bool Delimited) {
      Calls[Id].Ended = true;
      Calls[Id].Delimited = Delimited;
    };
    H.Failed = [this](UpstreamId Id, const UpstreamFailure &Why) {
      Calls[Id].Failed = true;
      Calls[Id].Why = Why;
    };
    return H;
  }

  template <class F> bool until(F Done) {
    return runUntil(Base.get(), MaxWait, Done);
  }
  void runBriefly() {
    runUntil(Base.get(), milliseconds(60), [] { return false; });
  }

  CallOutcome &open(std::uint64_t Number, std::string Body = "",
                    std::uint32_t Limit = 0) {
    UpstreamRequest R;
    R.Address = Server.Address;
    R.Method = Body.empty() ? HttpMethod::Get : HttpMethod::Post;
    R.Target = "/x";
    R.Body = std::move(Body);
    R.MayReuse = true;
    R.EchoHeader = {"Echo", std::to_string(Number)};
    R.ConnectionLimit = Limit;
    UpstreamId Id{Number};
    Client.open(Id, R);
    return Calls[Id];
  }

  /// Waits for the connection with this index, counted from 0 in the order of
  /// acceptance, and for a request head on it.
  RawServer::Connection &connection(std::size_t Index) {
    until([&] { return Server.Connections.size() > Index; });
    RawServer::Connection &C = *std::next(Server.Connections.begin(),
                                          static_cast<std::ptrdiff_t>(Index));
    until([&] { return C.Received.find("\r\n\r\n") != std::string::npos; });
    return C;
  }

  static std::string answer(const char *Echo, const std::string &Body = "ok") {
    return "HTTP/1.1 200 OK\r\nEcho: " + std::string(Echo) +
           "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(IdleConnectionsAreReused, Fixture) {
  open(1);
  connection(0).write(answer("1"));
  BOOST_TEST(until([&] { return Calls[UpstreamId{1}].Ended; }));
  CallOutcome &Second = open(2);
  runBriefly();
  BOOST_TEST(Server.Connections.size() == 1U);
  connection(0).write(answer("2", "again"));
  BOOST_TEST(until([&] { return Second.Ended; }));
  BOOST_TEST(Second.Body == "again");
  BOOST_TEST(Client.counters().Reused == 1U);
}

/// Guards against a failure on a kept connection that is taken for one of a new
/// connection, which says more of the path to the server.
BOOST_FIXTURE_TEST_CASE(KeptConnectionsAreTold, Fixture) {
  CallOutcome &First = open(1);
  connection(0).write(answer("1"));
  BOOST_TEST(until([&] { return First.Ended; }));
  BOOST_TEST(!First.IsKept);
  CallOutcome &Second = open(2);
  BOOST_TEST(until([&] { return Second.Sent; }));
  BOOST_TEST(Second.IsKept);
  bufferevent_free(connection(0).Stream);
  connection(0).Stream = nullptr;
  BOOST_TEST(until([&] { return Second.Failed; }));
  BOOST_TEST(Second.Why.IsKept);
  BOOST_TEST(!Second.Why.IsLocal);
}

/// Guards against a host that holds as many connections as it may and takes
/// that for a lost path.
BOOST_FIXTURE_TEST_CASE(CallBeyondTheConnectionLimitIsALocalFailure, Fixture) {
  open(1, "", /*Limit=*/1);
  connection(0);
  CallOutcome &Second = open(2, "", /*Limit=*/1);
  BOOST_TEST(Second.Failed);
  BOOST_TEST(Second.Why.IsLocal);
  BOOST_TEST(!Second.Why.BytesSent);
}

// A server may send an extra answer after the call has ended. The next call
// must not receive it.
BOOST_FIXTURE_TEST_CASE(AnswerOnIdleConnectionIsDropped, Fixture) {
  open(1);
  connection(0).write(answer("1"));
  BOOST_TEST(until([&] { return Calls[UpstreamId{1}].Ended; }));
  // A connection that receives bytes while idle must not be reused.
  connection(0).write(answer("1", "late"));
  runBriefly();
  CallOutcome &Second = open(2);
  connection(1).write(answer("2", "mine"));
  BOOST_TEST(until([&] { return Second.Ended; }));
  BOOST_TEST(Second.Body == "mine");
}

/// Guards against a second copy of an answer that arrives after the next
/// request was sent, if that request has no id of its own, such as an order.
BOOST_FIXTURE_TEST_CASE(LateCopyIsNotTheAnswerToARequestWithoutId, Fixture) {
  open(1);
  connection(0).write(answer("1"));
  BOOST_TEST(until([&] { return Calls[UpstreamId{1}].Ended; }));
  UpstreamRequest Order;
  Order.Address = Server.Address;
  Order.Target = "/order";
  Order.MayReuse = true;
  Order.EchoHeader = {"Echo", ""};
  Client.open(UpstreamId{2}, Order);
  runBriefly();
  RawServer::Connection &Used = Server.Connections.back();
  Used.write(answer("1", "late"));
  Used.write("HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nmine");
  BOOST_TEST(until([&] { return Calls[UpstreamId{2}].Ended; }));
  BOOST_TEST(Calls[UpstreamId{2}].Status == 409);
  BOOST_TEST(Calls[UpstreamId{2}].Body == "mine");
}

/// Guards against the reverse: an answer without an id, such as the late copy
/// of an order's answer, on a connection that carries a request.
BOOST_FIXTURE_TEST_CASE(RequestsWithAndWithoutIdShareNoConnection, Fixture) {
  UpstreamRequest Order;
  Order.Address = Server.Address;
  Order.Target = "/order";
  Order.MayReuse = true;
  Order.EchoHeader = {"Echo", ""};
  Client.open(UpstreamId{1}, Order);
  connection(0).write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_TEST(until([&] { return Calls[UpstreamId{1}].Ended; }));
  CallOutcome &Second = open(2);
  connection(1).write(answer("2", "mine"));
  BOOST_TEST(until([&] { return Second.Ended; }));
  BOOST_TEST(Second.Body == "mine");
  BOOST_TEST(Client.counters().Reused == 0U);
}

/// Guards against bytes without end that are no answer to the request: in a
/// head, as answers to other requests, as interim answers, and in the length of
/// a chunk, its extension or the lines after the last one.
BOOST_FIXTURE_TEST_CASE(BytesWithoutEndAreBrokenOff, Fixture) {
  const std::string OtherHead = "HTTP/1.1 200 OK\r\nEcho: 6\r\n\r\n";
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string ChunkedHead =
      "HTTP/1.1 200 OK\r\nEcho: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct Case {
    std::string Head;
    std::string Repeated;
  };
  for (const Case &Endless :
       {Case{"", "x"}, Case{"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        Case{OtherHead, "x"}, Case{"", Interim}, Case{ChunkedHead, "0"},
        Case{ChunkedHead + "5;", "x"},
        Case{ChunkedHead + "0\r\n", "A: b\r\n"}}) {
    Calls.clear();
    std::size_t Before = Server.Connections.size();
    CallOutcome &Call = open(7);
    RawServer::Connection &C = connection(Before);
    C.write(Endless.Head);
    std::string Piece;
    while (Piece.size() < (64U << 10U))
      Piece += Endless.Repeated;
    for (int I = 0; I < 64 && !Call.Failed; ++I) {
      C.write(Piece);
      runUntil(Base.get(), milliseconds(20), [&] { return Call.Failed; });
    }
    BOOST_TEST(Call.Failed, "repeated: " << Endless.Repeated);
    BOOST_TEST(Call.Body.empty());
    BOOST_TEST(Call.Why.Malformed);
  }
}

BOOST_FIXTURE_TEST_CASE(AnswerToAnotherRequestIsSkipped, Fixture) {
  CallOutcome &Call = open(7);
  connection(0).write(answer("6", "late") + answer("7", "mine"));
  BOOST_TEST(until([&] { return Call.Ended; }));
  BOOST_TEST(Call.Body == "mine");
  BOOST_TEST(Client.counters().MismatchedAnswers == 1U);
  runBriefly();
  BOOST_TEST(Client.connections() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ConnectionWithBytesAfterAnswerIsNotReused, Fixture) {
  CallOutcome &Call = open(1);
  connection(0).write(answer("1") + "more");
  BOOST_TEST(until([&] { return Call.Ended; }));
  runBriefly();
  BOOST_TEST(Client.connections() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ConnectionAnsweredBeforeRequestIsWrittenIsNotReused,
                        Fixture) {
  CallOutcome &Call = open(1, std::string(16U << 20U, 'x'));
  bufferevent_disable(connection(0).Stream, EV_READ);
  connection(0).write(answer("1"));
  BOOST_TEST(until([&] { return Call.Ended || Call.Failed; }));
  runBriefly();
  BOOST_TEST(Client.connections() == 0U);
}

// The connection closes at several points of an answer. None of these answers
// may count as complete.
BOOST_FIXTURE_TEST_CASE(TruncatedAnswersFail, Fixture) {
  const std::string TruncatedChunk =
      "HTTP/1.1 200 OK\r\nEcho: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n";
  const std::string TruncatedBody =
      "HTTP/1.1 200 OK\r\nEcho: 1\r\nContent-Length: 9\r\n\r\nabc";
  for (const std::string &Bytes :
       {std::string(), std::string("HTTP/1.1 200 OK\r\nEcho: 1\r\n"),
        TruncatedBody, TruncatedChunk, std::string("what is this\r\n\r\n")}) {
    Calls.clear();
    std::size_t Before = Server.Connections.size();
    CallOutcome &Call = open(1);
    RawServer::Connection &C = connection(Before);
    C.write(Bytes);
    runBriefly();
    bufferevent_free(C.Stream);
    C.Stream = nullptr;
    BOOST_TEST(until([&] { return Call.Failed || Call.Ended; }));
    BOOST_TEST(Call.Failed, Bytes);
    BOOST_TEST(Call.Why.BytesSent);
  }
}

/// Guards against a server that stops within its answer's head and closes: its
/// caller got a status of 200 and an empty or short body, framed as whole.
BOOST_FIXTURE_TEST_CASE(AnswerWithoutAWholeHeadFails, Fixture) {
  for (const char *Framing :
       {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    const std::string Head = std::string("HTTP/1.1 200 OK\r\nEcho: 1\r\n"
                                         "Stamp: 3e1b\r\n") +
                             Framing + "\r\n";
    for (std::size_t Cut = 1; Cut < Head.size(); ++Cut) {
      Calls.clear();
      std::size_t Before = Server.Connections.size();
      CallOutcome &Call = open(1);
      RawServer::Connection &C = connection(Before);
      C.write(Head.substr(0, Cut));
      until([&] {
        return evbuffer_get_length(bufferevent_get_output(C.Stream)) == 0;
      });
      bufferevent_free(C.Stream);
      C.Stream = nullptr;
      BOOST_TEST_REQUIRE(until([&] { return Call.Failed || Call.Ended; }));
      BOOST_TEST(Call.Failed, Framing << " cut at " << Cut);
      BOOST_TEST(Call.Status == 0);
      BOOST_TEST(Call.Body.empty());
    }
  }
}

BOOST_FIXTURE_TEST_CASE(AnswerWithoutLengthEndsWhenConnectionCloses, Fixture) {
  CallOutcome &Call = open(1);
  RawServer::Connection &C = connection(0);
  C.write("HTTP/1.1 200 OK\r\nEcho: 1\r\n\r\nabc");
  BOOST_TEST(until([&] { return Call.Body == "abc"; }));
  bufferevent_free(C.Stream);
  C.Stream = nullptr;
  BOOST_TEST(until([&] { return Call.Ended; }));
  BOOST_TEST(!Call.Delimited);
}

BOOST_FIXTURE_TEST_CASE(ChunkSplitAcrossReadsIsReassembled, Fixture) {
  CallOutcome &Call = open(1);
  RawServer::Connection &C = connection(0);
  C.write("HTTP/1.1 200 OK\r\nEcho: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
          "5\r\nfir");
  runBriefly();
  C.write("st\r\n6\r\nsecond\r\n0\r\n\r\n");
  BOOST_TEST(until([&] { return Call.Ended; }));
  BOOST_TEST(Call.Body == "firstsecond");
  BOOST_TEST(Call.Delimited);
}

BOOST_FIXTURE_TEST_CASE(ConnectionLimitIsEnforced, Fixture) {
  open(1, "", 2);
  open(2, "", 2);
  CallOutcome &Third = open(3, "", 2);
  BOOST_TEST(Third.Failed);
  BOOST_TEST(!Third.Why.BytesSent);
  connection(0).write(answer("1"));
  BOOST_TEST(until([&] { return Calls[UpstreamId{1}].Ended; }));
  BOOST_TEST(!open(4, "", 2).Failed);
}

// A reader that stops reading standard output must not block the host.
BOOST_AUTO_TEST_CASE(LinesNeverBlockTheirWriter) {
  int Pipe[2];
  BOOST_REQUIRE(::pipe(Pipe) == 0);
  LineWriter W = makeLineWriter(Pipe[1]);
  W.MaxBufferedBytes = 4096;
  std::string Line(99, 'x');
  for (int I = 0; I < 3000; ++I) { // Exceeds the capacity of a pipe.
    addLine(W, Line, false);
    flushLines(W);
  }
  BOOST_TEST(W.DroppedLines > 0U);
  BOOST_TEST(W.Buffer.size() <= 4096U);
  addLine(W, "last", true); // Part of the buffer is reserved for urgent lines.
  BOOST_TEST(W.Buffer.find("last\n") != std::string::npos);
  std::string Read;
  char Chunk[65536];
  fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
  for (;;) {
    ssize_t Size = ::read(Pipe[0], Chunk, sizeof(Chunk));
    if (Size <= 0)
      break;
    Read.append(Chunk, static_cast<std::size_t>(Size));
    flushLines(W);
  }
  BOOST_TEST(W.Buffer.empty());
  BOOST_TEST(Read.size() % 100 == 5U); // Whole lines, and "last".
  ::close(Pipe[0]);
  ::close(Pipe[1]);
}

/// Log lines are searched by the name of the host that wrote them. A record
/// with a field "host" about another host must not replace that name.
BOOST_AUTO_TEST_CASE(RecordFieldDoesNotReplaceHostOfLogLine) {
  char Path[] = "/tmp/pimento-log-XXXXXX";
  int File = ::mkstemp(Path);
  BOOST_REQUIRE(File >= 0);
  ::close(File);
  LogSettings Settings;
  Settings.File = Path;
  Settings.LinesPerSecond = 3;
  {
    Logger Log(Settings, HostId("me"));
    DecisionRecord Record;
    Record.Kind = "placer";
    Record.add("host", std::string("other"));
    for (int I = 0; I < 9; ++I)
      Log.write(LogLevel::Info, Record);
  }
  std::ifstream Input(Path);
  std::size_t Lines = 0;
  for (std::string Line; std::getline(Input, Line);) {
    ++Lines;
    BOOST_TEST(Line.find("\"host\":\"me\"") != std::string::npos);
    BOOST_TEST(Line.find("\"about_host\":\"other\"") != std::string::npos);
  }
  BOOST_TEST(Lines >= 3U);
  BOOST_TEST(Lines <= 6U); // The limit of one second, or of two.
  std::remove(Path);
}

/// Guards against connections from another address of the host than the one
/// that is set.
BOOST_FIXTURE_TEST_CASE(ConnectionsComeFromTheSourceAddress, Fixture) {
  HttpClient Bound(Base.get(), hooks(), "127.0.0.7");
  UpstreamRequest R;
  R.Address = Server.Address;
  R.Target = "/x";
  Bound.open(UpstreamId{1}, R);
  BOOST_TEST(connection(0).From == "127.0.0.7");
  BOOST_TEST(Calls[UpstreamId{1}].Sent);
}
