#include <boost/test/unit_test.hpp>

#include "base/Problem.h"
#include "shell/HangupWatch.h"
#include "shell/HttpServer.h"
#include "shell/tests/LoopTurns.h"
#include "shell/tests/Socket.h"

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace pimento;
using namespace pimento::test;

namespace {

constexpr Duration MaxWait = seconds(10);
/// Beyond CallerSilence and the probes before it.
constexpr Duration MaxSilence = seconds(60);
constexpr Duration QuietTime = milliseconds(300);
constexpr std::size_t MoreThanSocketsHold = 32U << 20U;
/// Descriptors that may be ready for one connection, from a state to its end:
/// its own, the watch's, and a few writes.
constexpr std::uint64_t ReadyPerEnd = 16;

/// What a connection has come to when it ends.
enum class State {
  Silent,     // Nothing was sent.
  InHead,     // Half of a head was sent.
  InBody,     // Half of a body was sent.
  Waiting,    // Nothing of the answer was sent.
  SentAhead,  // The same, and more was sent than the server reads.
  Stream,     // The answer has begun, and was read so far.
  SlowStream, // The answer has begun, and nothing of it is read.
  SlowReader, // The answer is whole, and nothing of it is read.
};

struct StateRow {
  State S;
  const char *Name;
  ConnectionUse Use;
};

const std::vector<StateRow> States = {
    {State::Silent, "silent", ConnectionUse::Idle},
    {State::InHead, "in the head", ConnectionUse::Head},
    {State::InBody, "in the body", ConnectionUse::Body},
    {State::Waiting, "waiting", ConnectionUse::Waiting},
    {State::SentAhead, "sent ahead", ConnectionUse::Waiting},
    {State::Stream, "in a stream", ConnectionUse::Answering},
    {State::SlowStream, "in a stream, not read", ConnectionUse::Answering},
    {State::SlowReader, "in a whole answer, not read",
     ConnectionUse::Answering},
};

bool hasRequest(State S) {
  return S != State::Silent && S != State::InHead && S != State::InBody;
}

/// An answer that nobody reads lies at the caller, so that its system resets
/// the connection on a close, too.
bool leavesUnread(State S) {
  return S == State::SlowStream || S == State::SlowReader;
}

struct EndedLink {
  ConnectionEnd How;
  ConnectionUse Use;
};

struct Fixture {
  EventBasePtr Base = makeEventBase();
  std::uint64_t NextExchange = 1;
  std::vector<ExchangeId> Requests;
  std::vector<std::pair<ExchangeId, ConnectionEnd>> Left;
  std::vector<EndedLink> Ended;
  bool AnswersAtOnce = false;
  std::string Address = freeAddress();
  HttpServer Server{Base.get(), limits(), hooks(), NextExchange};

  Fixture() {
    std::signal(SIGPIPE, SIG_IGN); // As the host process does.
    BOOST_TEST_REQUIRE(Server.listen(Address));
  }

  static HttpServerLimits limits() {
    HttpServerLimits L;
    L.ReadTimeout = hours(1);
    return L;
  }
  HttpServerHooks hooks() {
    HttpServerHooks H;
    H.Request = [this](ExchangeId Id, const HttpRequest &) {
      Requests.push_back(Id);
      if (AnswersAtOnce)
        Server.reply(Id, jsonReply(200, "{}"));
    };
    H.Left = [this](ExchangeId Id, ConnectionEnd How) {
      Left.emplace_back(Id, How);
    };
    H.Ended = [this](ConnectionEnd How, ConnectionUse Use) {
      Ended.push_back({How, Use});
    };
    H.Drained = [](ExchangeId, std::size_t) {};
    H.Refused = [](Code) {};
    return H;
  }

  template <class F> bool until(F Done, Duration Max = MaxWait) {
    return runUntil(Base.get(), Max, Done);
  }
  void wait(Duration Time) {
    runUntil(Base.get(), Time, [] { return false; });
  }

  /// Opens a connection and brings it to a state.
  std::unique_ptr<RawSocket> open(State S) {
    constexpr int SmallReceiveBytes = 4096;
    auto Caller = std::make_unique<RawSocket>(
        Address, leavesUnread(S) ? SmallReceiveBytes : 0);
    std::size_t Links = Server.connections();
    BOOST_TEST_REQUIRE(until([&] { return Server.connections() > Links; }));
    std::size_t Before = Requests.size();
    std::size_t Held = Server.heldBytes();
    if (S == State::Silent)
      return Caller;
    if (S == State::InHead)
      Caller->write("POST / HTTP/1.1\r\nContent-Le");
    else if (S == State::InBody)
      Caller->write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf ");
    else
      Caller->write("GET / HTTP/1.1\r\n\r\n");
    if (!hasRequest(S)) {
      BOOST_TEST_REQUIRE(until([&] { return Server.heldBytes() > Held; }));
      return Caller;
    }
    BOOST_TEST_REQUIRE(until([&] { return Requests.size() > Before; }));
    answer(*Caller, S, Requests.back());
    return Caller;
  }

  void answer(RawSocket &Caller, State S, ExchangeId Id) {
    if (S == State::SentAhead) {
      constexpr int Count = 2000;
      for (int I = 0; I < Count; ++I)
        Caller.write("GET /next HTTP/1.1\r\n\r\n");
      wait(QuietTime);
    } else if (S == State::Stream) {
      Server.startStream(Id, 200, {});
      Server.sendChunk(Id, "one");
      BOOST_TEST_REQUIRE(until([&] {
        Caller.readAvailable();
        return Caller.Received.find("one") != std::string::npos;
      }));
    } else if (S == State::SlowStream) {
      Server.startStream(Id, 200, {});
      Server.sendChunk(Id, std::string(MoreThanSocketsHold, 'x'));
      wait(QuietTime);
    } else if (S == State::SlowReader) {
      Server.reply(Id, jsonReply(200, std::string(MoreThanSocketsHold, 'x')));
      wait(QuietTime);
    }
  }

  /// Checks one row of the table of states and ends.
  void checkEnd(const StateRow &Row, ConnectionEnd How) {
    BOOST_TEST_CONTEXT(Row.Name << ", " << toString(How)) {
      auto Caller = open(Row.S);
      std::size_t LeftBefore = Left.size();
      std::size_t EndedBefore = Ended.size();
      std::uint64_t ReadyBefore = readyDescriptors();
      bool HasRequest = hasRequest(Row.S);
      ExchangeId Id = HasRequest ? Requests.back() : ExchangeId{};
      Caller->end(How);
      BOOST_TEST(until([&] { return Server.connections() == 0; }));
      BOOST_TEST(readyDescriptors() - ReadyBefore <= ReadyPerEnd);
      BOOST_TEST(Left.size() - LeftBefore == (HasRequest ? 1U : 0U));
      bool IsReset = How == ConnectionEnd::Reset || leavesUnread(Row.S);
      ConnectionEnd Seen = IsReset ? ConnectionEnd::Reset : How;
      if (HasRequest && Left.size() > LeftBefore) {
        BOOST_TEST((Left.back().first == Id));
        BOOST_TEST(toString(Left.back().second) == toString(Seen));
      }
      BOOST_TEST_REQUIRE(Ended.size() - EndedBefore == 1U);
      BOOST_TEST(toString(Ended.back().How) == toString(Seen));
      BOOST_TEST(toString(Ended.back().Use) == toString(Row.Use));
      BOOST_TEST(Server.exchanges() == 0U);
      BOOST_TEST(Server.heldBytes() == 0U);
    }
  }
};

} // namespace

/// Guards against callers that leave and are not noticed, in any state: their
/// work would go on at servers.
BOOST_FIXTURE_TEST_CASE(CallersThatCloseAreNoticedInEachState, Fixture) {
  for (const StateRow &Row : States)
    checkEnd(Row, ConnectionEnd::Close);
}

/// Guards against callers that leave by a reset and are not noticed, while the
/// error wakes the loop again and again (review/9).
BOOST_FIXTURE_TEST_CASE(CallersThatResetAreNoticedInEachState, Fixture) {
  for (const StateRow &Row : States)
    checkEnd(Row, ConnectionEnd::Reset);
}

/// Guards against callers whose host is gone without a word: the time-out of
/// the connection is an error, as a reset is.
BOOST_FIXTURE_TEST_CASE(CallersThatFallSilentAreNoticedInEachState, Fixture) {
  std::vector<std::unique_ptr<RawSocket>> Callers;
  std::size_t WithRequest = 0;
  for (const StateRow &Row : States) {
    if (!hasRequest(Row.S))
      continue; // The time to read a request ends these.
    ++WithRequest;
    Callers.push_back(open(Row.S));
  }
  std::uint64_t Before = readyDescriptors();
  for (const auto &Caller : Callers)
    Caller->end(ConnectionEnd::Silence);
  BOOST_TEST(until([&] { return Left.size() == WithRequest; }, MaxSilence));
  BOOST_TEST(readyDescriptors() - Before <= ReadyPerEnd * WithRequest);
  for (const auto &[Id, How] : Left)
    BOOST_TEST(toString(How) == toString(ConnectionEnd::Silence));
  BOOST_TEST(Ended.size() == WithRequest);
}

/// Guards against callers that are taken as gone, though they only read slowly,
/// send nothing or have sent ahead; and against a loop that they keep awake.
BOOST_FIXTURE_TEST_CASE(SlowCallersAreNotGone, Fixture) {
  std::vector<std::unique_ptr<RawSocket>> Callers;
  Callers.reserve(States.size());
  for (const StateRow &Row : States)
    Callers.push_back(open(Row.S));
  wait(QuietTime);
  std::uint64_t Before = readyDescriptors();
  wait(QuietTime);
  BOOST_TEST(readyDescriptors() - Before <= ReadyPerEnd);
  BOOST_TEST(Left.empty());
  BOOST_TEST(Ended.empty());
  BOOST_TEST(Server.connections() == States.size());
}

/// Guards against a crowd that leaves at once and holds up the other callers: a
/// request that comes at the same time waits for one turn's ends only.
BOOST_FIXTURE_TEST_CASE(ManyCallersThatLeaveDoNotHoldUpOthers, Fixture) {
  constexpr std::size_t Crowd = 200;
  std::vector<std::unique_ptr<RawSocket>> Callers;
  for (std::size_t I = 0; I < Crowd; ++I)
    Callers.push_back(open(State::Waiting));
  RawSocket Other(Address);
  BOOST_TEST_REQUIRE(until([&] { return Server.connections() == Crowd + 1; }));
  std::uint64_t Before = readyDescriptors();
  Other.write("GET / HTTP/1.1\r\n\r\n");
  for (std::size_t I = 0; I < Crowd; ++I)
    Callers[I]->end(I % 2 == 0 ? ConnectionEnd::Reset : ConnectionEnd::Close);
  std::size_t LeftBeforeRequest = 0;
  BOOST_TEST(until([&] {
    if (Requests.size() == Crowd)
      LeftBeforeRequest = Left.size();
    return Left.size() == Crowd;
  }));
  BOOST_TEST(Requests.size() == Crowd + 1);
  constexpr std::size_t Turns = 4;
  BOOST_TEST(LeftBeforeRequest <= Turns * HangupWatch::EndsPerTurn);
  BOOST_TEST(readyDescriptors() - Before <= ReadyPerEnd * Crowd);
  BOOST_TEST(Ended.size() == Crowd);
}

/// Guards against a watch that takes the end of a caller's output for the end
/// of one whose answer is ready at once.
BOOST_FIXTURE_TEST_CASE(CallersThatEndTheirOutputGetAReadyAnswer, Fixture) {
  AnswersAtOnce = true;
  RawSocket Caller(Address);
  Caller.write("GET / HTTP/1.1\r\n\r\n");
  Caller.endOutput();
  BOOST_TEST(until([&] { return Caller.readAvailable(); }));
  BOOST_TEST(Caller.Received.find("HTTP/1.1 200") == 0U);
  BOOST_TEST(Left.empty());
  BOOST_TEST(until([&] { return Server.connections() == 0; }));
}

/// Guards against an end that came before its request was whole, and is not
/// reported again for the request.
BOOST_FIXTURE_TEST_CASE(RequestsOfCallersThatLeftBeforeAreEnded, Fixture) {
  for (ConnectionEnd How : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
    std::size_t Before = Requests.size();
    std::size_t LeftBefore = Left.size();
    auto Caller = open(State::InBody);
    Caller->write("rest.");
    Caller->end(How);
    BOOST_TEST(until([&] { return Server.connections() == 0; }));
    BOOST_TEST(Left.size() - LeftBefore == Requests.size() - Before);
    BOOST_TEST(Server.exchanges() == 0U);
  }
}

/// Guards against connections that this host ends and that count as callers
/// that left.
BOOST_FIXTURE_TEST_CASE(EndsOfTheHostCountAsItsOwn, Fixture) {
  auto Aborted = open(State::Waiting);
  Server.abort(Requests.back());
  auto Broken = open(State::Stream);
  Server.breakStream(Requests.back());
  RawSocket Refused(Address);
  Refused.write("nonsense\r\n\r\n");
  BOOST_TEST(until([&] {
    bool IsRefused = Refused.readAvailable();
    return IsRefused && Aborted->readAvailable() && Broken->readAvailable();
  }));
  BOOST_TEST(until([&] { return Server.connections() == 0; }));
  BOOST_TEST(Left.empty());
  BOOST_TEST(Ended.size() == 3U);
  for (const EndedLink &E : Ended)
    BOOST_TEST(toString(E.How) == toString(ConnectionEnd::Host));
}

/// Guards against an end that is reported to a connection which is gone: its
/// socket is closed in a later turn, and the caller's close may come before.
BOOST_FIXTURE_TEST_CASE(EndsOfReleasedConnectionsAreNotReported, Fixture) {
  constexpr std::size_t Count = 64;
  mallopt(M_PERTURB, 1); // Freed memory is overwritten.
  std::vector<std::unique_ptr<RawSocket>> Callers;
  for (std::size_t I = 0; I < Count; ++I)
    Callers.push_back(open(State::Waiting));
  for (ExchangeId Id : Requests)
    Server.abort(Id);
  // A turn in which the server lets go of the connections, then the callers
  // close, and an event of high priority asks for another turn at once.
  EventPtr Urgent(event_new(
      Base.get(), -1, 0, [](evutil_socket_t, short, void *) {}, nullptr));
  event_priority_set(Urgent.get(), HighPriority);
  Timer Close(Base.get(), [&] {
    BOOST_TEST(Server.connections() == 0U);
    for (const auto &Caller : Callers)
      Caller->end(ConnectionEnd::Close);
    event_active(Urgent.get(), 0, 0);
  });
  Close.start(milliseconds(150));
  Timer Block(Base.get(),
              [] { std::this_thread::sleep_for(milliseconds(300)); });
  Block.start(Duration::zero());
  wait(2 * QuietTime);
  mallopt(M_PERTURB, 0);
  BOOST_TEST(Ended.size() == Count);
  BOOST_TEST(Left.empty());
}
