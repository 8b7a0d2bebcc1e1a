// Where a request ends is decided once: what the scan of the bytes and evhttp
// see as one request is passed on as one, or refused.

#include <boost/test/unit_test.hpp>

#include "base/Problem.h"
#include "intake/RequestScan.h"
#include "intake/tests/FramedRequests.h"
#include "shell/AnswerParser.h"
#include "shell/HttpClient.h"
#include "shell/HttpServer.h"
#include "shell/tests/Socket.h"

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace pimento;
using namespace pimento::test;

namespace {

constexpr Duration MaxWait = seconds(10);

bool isIdentity(std::string_view Name) { return Name == "x-identity"; }

/// Answers each request at once.
struct Fixture {
  EventBasePtr Base = makeEventBase();
  std::uint64_t NextExchange = 1;
  std::vector<HttpRequest> Requests;
  std::vector<Code> Refused;
  std::string Address = freeAddress();
  HttpServer Server{Base.get(), limits(), hooks(), NextExchange};

  Fixture() { BOOST_TEST_REQUIRE(Server.listen(Address)); }

  static HttpServerLimits limits() {
    HttpServerLimits L;
    L.IsReservedField = &isIdentity;
    return L;
  }
  HttpServerHooks hooks() {
    HttpServerHooks H;
    H.Request = [this](ExchangeId Id, HttpRequest R) {
      Requests.push_back(std::move(R));
      Server.reply(Id, jsonReply(200, "{}"));
    };
    H.Left = [](ExchangeId, ConnectionEnd) {};
    H.Drained = [](ExchangeId, std::size_t) {};
    H.Refused = [this](Code C) { Refused.push_back(C); };
    return H;
  }
  template <class F> bool until(F Done) {
    return runUntil(Base.get(), MaxWait, Done);
  }

  /// Sends the bytes in pieces, each of which is read before the next one, and
  /// closes the sending side if \p Ends. Returns what comes back until the
  /// server closes.
  std::string exchange(const std::string &Text, std::size_t PieceBytes,
                       bool Ends) {
    Requests.clear();
    Refused.clear();
    RawSocket Caller(Address);
    bool IsClosed = false;
    for (std::size_t At = 0; At < Text.size() && !IsClosed; At += PieceBytes) {
      Caller.write(Text.substr(At, PieceBytes));
      if (At + PieceBytes < Text.size()) {
        event_base_loop(Base.get(), EVLOOP_NONBLOCK);
        IsClosed = Caller.readAvailable();
      }
    }
    if (Ends) {
      for (int Turn = 0; Turn < 4; ++Turn)
        event_base_loop(Base.get(), EVLOOP_NONBLOCK);
      Caller.endOutput();
    }
    BOOST_TEST(until([&] { return Caller.readAvailable(); }));
    return Caller.Received;
  }

  void expectRefused(const FramedRequest &Form, std::size_t PieceBytes) {
    BOOST_TEST_CONTEXT(Form.Name << ", pieces of " << PieceBytes) {
      std::string Answer = exchange(Form.Text, PieceBytes, false);
      BOOST_TEST(Requests.size() == 0U);
      BOOST_TEST(Answer.find("HTTP/1.1 400 ") == 0U, Answer);
      BOOST_TEST(Answer.rfind("HTTP/1.1 ") == 0U, "one answer: " << Answer);
      BOOST_TEST(Answer.find(ProblemContentType) != std::string::npos);
      BOOST_TEST(Answer.find("\"not_run\"") != std::string::npos, Answer);
      BOOST_TEST(Refused.size() == 1U);
    }
  }
};

constexpr std::size_t PieceSizes[] = {1U << 20U, 1};

} // namespace

/// Guards against a body that runs as a request of its own (review/8): all that
/// follows a request without a certain end is left unread.
BOOST_FIXTURE_TEST_CASE(RequestsWithoutACertainEndAreRefused, Fixture) {
  for (const FramedRequest &Form : ambiguousRequests()) {
    for (std::size_t PieceBytes : PieceSizes)
      expectRefused(Form, PieceBytes);
  }
}

/// Guards against the same behind a request that is in progress or answered.
BOOST_FIXTURE_TEST_CASE(RequestsSentAheadWithoutACertainEndAreRefused,
                        Fixture) {
  const std::string First = "GET /first HTTP/1.1\r\n\r\n";
  for (const FramedRequest &Form : ambiguousRequests()) {
    for (std::size_t PieceBytes : PieceSizes) {
      BOOST_TEST_CONTEXT(Form.Name << ", pieces of " << PieceBytes) {
        std::string Answer = exchange(First + Form.Text, PieceBytes, false);
        BOOST_TEST_REQUIRE(Requests.size() == 1U);
        BOOST_TEST(Requests[0].Path == "/first");
        BOOST_TEST(Answer.find("HTTP/1.1 200 ") == 0U, Answer);
        BOOST_TEST(Answer.find("HTTP/1.1 400 ") != std::string::npos, Answer);
      }
    }
  }
}

/// Guards against refusals of proper requests, and against trailers that are
/// taken for fields of the head.
BOOST_FIXTURE_TEST_CASE(RequestsWithACertainEndAreServed, Fixture) {
  const std::string Next = "GET /next HTTP/1.1\r\n\r\n";
  for (const FramedRequest &Form : properRequests()) {
    for (std::size_t PieceBytes : PieceSizes) {
      BOOST_TEST_CONTEXT(Form.Name << ", pieces of " << PieceBytes) {
        // The answer to a request of HTTP/1.0 ends the connection.
        bool IsOld = Form.Text.find("HTTP/1.0") != std::string::npos;
        exchange(Form.Text + (IsOld ? "" : Next), PieceBytes, true);
        BOOST_TEST_REQUIRE(Requests.size() == (IsOld ? 1U : 2U));
        BOOST_TEST(Requests[0].Path == "/outer");
        BOOST_TEST(Requests[0].Body == Form.Body);
        BOOST_TEST(headerValue(Requests[0].Headers, "X-Sum").empty());
        BOOST_TEST((IsOld || Requests[1].Path == "/next"));
        BOOST_TEST(Refused.empty());
      }
    }
  }
}

/// Differential: whatever the bytes, each request that is passed on ends where
/// the scan says, and none behind the first one that is not certain.
/// PIMENTO_FUZZ_ROUNDS sets the number of inputs.
BOOST_FIXTURE_TEST_CASE(ScanAndServerAgreeOnMutatedRequests, Fixture) {
  constexpr int DefaultRounds = 400;
  constexpr unsigned Seed = 60;
  const char *Wanted = std::getenv("PIMENTO_FUZZ_ROUNDS");
  int Rounds = Wanted != nullptr ? std::atoi(Wanted) : DefaultRounds;
  std::vector<FramedRequest> Corpus = ambiguousRequests();
  for (const FramedRequest &Form : properRequests())
    Corpus.push_back(Form);
  const std::string Alphabet("\r\n \t:;,+-0159afx\0\x7f\xa0", 19);
  const std::vector<std::string> Words = {"\r\n",
                                          "\r\n\r\n",
                                          "Content-Length: ",
                                          "Transfer-Encoding: chunked",
                                          "0\r\n\r\n",
                                          "GET / HTTP/1.1\r\n\r\n",
                                          " HTTP/1.0"};
  std::mt19937 Rng(Seed);
  auto Draw = [&](std::size_t Count) { return Rng() % Count; };
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Text;
    for (std::size_t N = 1 + Draw(2); N > 0; --N)
      Text += Corpus[Draw(Corpus.size())].Text;
    for (std::size_t N = Draw(4); N > 0; --N) {
      std::size_t At = Draw(Text.size());
      std::size_t Kind = Draw(4);
      if (Kind == 0)
        Text.erase(At, 1 + Draw(3));
      else if (Kind == 1)
        Text.insert(At, 1, Alphabet[Draw(Alphabet.size())]);
      else if (Kind == 2)
        Text[At] = Alphabet[Draw(Alphabet.size())];
      else
        Text.insert(At, Words[Draw(Words.size())]);
    }
    std::vector<std::size_t> BodySizes;
    for (std::size_t At = 0; At < Text.size();) {
      RequestScan S;
      S.IsReserved = &isIdentity;
      scan(S, std::string_view(Text).substr(At));
      if (S.Fault != nullptr || S.Part != RequestPart::Whole)
        break;
      BodySizes.push_back(S.BodyBytes);
      At += S.WholeBytes;
    }
    constexpr std::size_t Pieces[] = {1U << 20U, 1, 7};
    exchange(Text, Pieces[Draw(3)], true);
    BOOST_TEST_REQUIRE(Requests.size() <= BodySizes.size(),
                       "round " << Round << ": " << Text);
    for (std::size_t I = 0; I < Requests.size(); ++I)
      BOOST_TEST_REQUIRE(Requests[I].Body.size() == BodySizes[I],
                         "round " << Round << ": " << Text);
  }
}

namespace {

struct ReadAnswer {
  bool IsHeadPassedOn = false;
  std::string Body;
  bool Failed = false;
  bool Done = false;
};

/// Parses an answer in pieces, up to the end of its connection.
ReadAnswer read(const std::string &Text, std::size_t PieceBytes) {
  ReadAnswer Result;
  AnswerHooks Hooks;
  Hooks.Head = [&](int, const std::vector<HttpHeader> &) {
    Result.IsHeadPassedOn = true;
  };
  Hooks.Body = [&](std::string_view Bytes) { Result.Body += Bytes; };
  AnswerParser Parser(Hooks);
  for (std::size_t At = 0; At < Text.size(); At += PieceBytes)
    Parser.feed(std::string_view(Text).substr(At, PieceBytes));
  Parser.end();
  Result.Failed = Parser.failed();
  Result.Done = Parser.done();
  return Result;
}

} // namespace

/// Guards against answers of servers that another reader would end elsewhere:
/// nothing of them is passed on.
BOOST_AUTO_TEST_CASE(AnswersWithoutACertainEndFail) {
  const std::string Start = "HTTP/1.1 200 OK\r\n";
  const std::string Chunks = "3\r\nabc\r\n0\r\n\r\n";
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<std::pair<std::string, std::string>> Forms = {
      {"two lengths", "Content-Length: 0\r\nContent-Length: 3\r\n\r\nabc"},
      {"the same length twice",
       "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
      {"lengths in a list", "Content-Length: 3, 3\r\n\r\nabc"},
      {"a length with a plus", "Content-Length: +3\r\n\r\nabc"},
      {"a length and chunks",
       "Content-Length: 3\r\n" + Chunked + "\r\n" + Chunks},
      {"chunks and a length", Chunked + "Content-Length: 3\r\n\r\n" + Chunks},
      {"identity", "Transfer-Encoding: identity\r\n\r\nabc"},
      {"gzip, chunked", "Transfer-Encoding: gzip, chunked\r\n\r\n" + Chunks},
      {"chunked, identity",
       "Transfer-Encoding: chunked, identity\r\n\r\n" + Chunks},
      {"chunked twice", Chunked + Chunked + "\r\n" + Chunks},
      {"a folded field", "X: 1\r\n Content-Length: 3\r\n\r\nabc"},
      {"a field folded with a tab",
       "X: 1\r\n\t2\r\nContent-Length: 3\r\n\r\nabc"},
      {"a blank before the colon", "Content-Length : 3\r\n\r\nabc"},
      {"a CR within a field", "X: 1\rContent-Length: 3\r\n\r\nabc"},
  };
  for (const auto &[Name, Text] : Forms) {
    for (std::size_t PieceBytes : PieceSizes) {
      BOOST_TEST_CONTEXT(Name << ", pieces of " << PieceBytes) {
        ReadAnswer Answer = read(Start + Text, PieceBytes);
        BOOST_TEST(Answer.Failed);
        BOOST_TEST(!Answer.IsHeadPassedOn);
        BOOST_TEST(Answer.Body.empty());
      }
    }
  }
  ReadAnswer Old = read("HTTP/1.0 200 OK\r\n" + Chunked + "\r\n" + Chunks, 1);
  BOOST_TEST(Old.Failed);
  for (const std::string &Text :
       {"Content-Length: 3\r\n\r\nabc", "X: 1\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}) {
    for (std::size_t PieceBytes : PieceSizes) {
      ReadAnswer Answer = read(Start + Text, PieceBytes);
      BOOST_TEST(Answer.Done);
      BOOST_TEST(Answer.Body == "abc");
    }
  }
  // Blanks that begin a line of the body fold nothing.
  BOOST_TEST(read(Start + "Content-Length: 4\r\n\r\na\n b", 1).Done);
}

/// Guards against a head that is written with lines of somebody else, such as a
/// peer that hands a request over.
BOOST_FIXTURE_TEST_CASE(RequestsWithForbiddenBytesAreNotSent, Fixture) {
  int Failed = 0;
  HttpClientHooks Hooks;
  Hooks.Sent = [](UpstreamId, bool) {};
  Hooks.Head = [](UpstreamId, int, const std::vector<HttpHeader> &) {};
  Hooks.Data = [](UpstreamId, const std::string &) {};
  Hooks.End = [](UpstreamId, bool) {};
  Hooks.Failed = [&](UpstreamId, const UpstreamFailure &Why) {
    Failed += Why.BytesSent ? 0 : 1;
  };
  HttpClient Client(Base.get(), Hooks);
  const std::string Inner = "\r\n\r\n" + innerRequest();
  UpstreamRequest Proper;
  Proper.Address = Address;
  Proper.Target = "/";
  std::vector<UpstreamRequest> Forms(5, Proper);
  Forms[0].Target = "/ HTTP/1.1" + Inner;
  Forms[1].Headers = {{"X", "1" + Inner}};
  Forms[2].Headers = {{"X: 1" + Inner + "Y", "1"}};
  Forms[3].Headers = {{"X", std::string("a\0b", 3)}};
  Forms[4].Headers = {{"Content-Length ", "5"}};
  for (std::size_t I = 0; I < Forms.size(); ++I)
    Client.open(UpstreamId{I + 1}, Forms[I]);
  BOOST_TEST(Failed == static_cast<int>(Forms.size()));
  BOOST_TEST(Client.connections() == 0U);
}
