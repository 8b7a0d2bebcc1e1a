#include <boost/test/unit_test.hpp>

#include "base/Problem.h"
#include "shell/HostProgram.h"
#include "shell/tests/Socket.h"

#include <cstdio>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

using namespace pimento;
using namespace pimento::test;

namespace {

TimePoint steadyTime() {
  return TimePoint(std::chrono::steady_clock::now().time_since_epoch());
}

Settings settings() {
  Settings S;
  S.Host.Name = HostId("h");
  S.Host.CallerAddress = freeAddress();
  S.Host.OperatorAddress = freeAddress();
  S.Host.PeerAddress = freeAddress();
  return S;
}

HostProgram program() {
  HostProgram P;
  P.Self = HostId("h");
  P.Now = &steadyTime;
  P.NextTick = [](TimePoint Now) { return Now + milliseconds(5); };
  P.Gauges = [](TimePoint) { return std::vector<MetricSample>(); };
  return P;
}

/// What the call writes to the standard error, where log lines go by default.
std::string standardErrorOf(const std::function<void()> &Call) {
  std::FILE *Kept = std::tmpfile();
  std::clog.flush();
  int Before = dup(STDERR_FILENO);
  dup2(fileno(Kept), STDERR_FILENO);
  Call();
  std::clog.flush();
  dup2(Before, STDERR_FILENO);
  close(Before);
  std::string Text(static_cast<std::size_t>(std::ftell(Kept)), '\0');
  std::rewind(Kept);
  Text.resize(std::fread(Text.data(), 1, Text.size(), Kept));
  std::fclose(Kept);
  return Text;
}

} // namespace

/// Guards against one unexpected error that takes a whole process down.
BOOST_AUTO_TEST_CASE(ErrorInOneEventDoesNotEndAnEntryHost) {
  HostProgram P = program();
  int Events = 0;
  P.Reduce = [&](const Event &, TimePoint) -> Effects {
    if (++Events == 1)
      throw std::out_of_range("an id is not known");
    return {Exit{0}};
  };
  DataFolder Folder;
  BOOST_TEST(runProgram(settings(), Folder, 1, P) == 0);
  BOOST_TEST(Events >= 2);
}

/// Guards against a planned stop that cuts off an answer: the last answers
/// leave only as fast as their callers read.
BOOST_AUTO_TEST_CASE(AnswersAreWrittenBeforeTheProcessExits) {
  constexpr std::size_t AnswerBytes = 12U << 20U; // More than sockets hold.
  Settings S = settings();
  HostProgram P = program();
  P.Reduce = [&](const Event &E, TimePoint) -> Effects {
    const auto *Request = std::get_if<CallerRequest>(&E);
    if (Request == nullptr)
      return {};
    HttpReply Reply = jsonReply(200, std::string(AnswerBytes, 'x'));
    return {calls::SendReply{Request->Exchange, Reply}, Exit{0}};
  };
  std::size_t Received = 0;
  std::thread Caller([&] {
    std::this_thread::sleep_for(milliseconds(200));
    RawSocket Socket(S.Host.CallerAddress);
    Socket.write("GET / HTTP/1.1\r\n\r\n");
    // The caller is busy for a moment before it reads.
    std::this_thread::sleep_for(milliseconds(200));
    while (!Socket.readAvailable())
      std::this_thread::sleep_for(milliseconds(1));
    Received = Socket.Received.size();
  });
  DataFolder Folder;
  BOOST_TEST(runProgram(S, Folder, 1, P) == 0);
  Caller.join();
  BOOST_TEST(Received >= AnswerBytes);
}

/// Guards against a planned stop that cuts off the answers of callers who read
/// steadily but slowly: the program says how long it may take.
BOOST_AUTO_TEST_CASE(SlowCallersGetTheirAnswersBeforeTheProcessExits) {
  constexpr std::size_t AnswerBytes = 12U << 20U;
  Settings S = settings();
  HostProgram P = program();
  P.Reduce = [&](const Event &E, TimePoint) -> Effects {
    const auto *Request = std::get_if<CallerRequest>(&E);
    if (Request == nullptr)
      return {};
    HttpReply Reply = jsonReply(200, std::string(AnswerBytes, 'x'));
    return {calls::SendReply{Request->Exchange, Reply}, Exit{0, seconds(20)}};
  };
  std::size_t Received = 0;
  TimePoint Began = steadyTime();
  std::thread Caller([&] {
    std::this_thread::sleep_for(milliseconds(200));
    RawSocket Socket(S.Host.CallerAddress);
    Socket.write("GET / HTTP/1.1\r\n\r\n");
    // It reads nothing for longer than a process waits by default.
    std::this_thread::sleep_for(milliseconds(1500));
    while (!Socket.readAvailable())
      std::this_thread::sleep_for(milliseconds(1));
    Received = Socket.Received.size();
  });
  DataFolder Folder;
  BOOST_TEST(runProgram(S, Folder, 1, P) == 0);
  Caller.join();
  BOOST_TEST(Received >= AnswerBytes);
  // It ends once the answer is written, and not after the whole time.
  BOOST_TEST((steadyTime() < Began + seconds(10)));
}

/// Guards against a planned stop that resets a connection: its caller has sent
/// part of a further request, and not yet read the end of its answer.
BOOST_AUTO_TEST_CASE(AnswersAreWholeThoughCallersSendMoreAsTheProcessExits) {
  constexpr std::size_t AnswerBytes = 1U << 20U; // Fits into the socket.
  constexpr int ReceiveBytes = 64 << 10;
  Settings S = settings();
  HostProgram P = program();
  P.Reduce = [&](const Event &E, TimePoint) -> Effects {
    const auto *Request = std::get_if<CallerRequest>(&E);
    if (Request == nullptr)
      return {};
    HttpReply Reply = jsonReply(200, std::string(AnswerBytes, 'x'));
    return {calls::SendReply{Request->Exchange, Reply}, Exit{0, seconds(5)}};
  };
  std::size_t Received = 0;
  std::thread Caller([&] {
    std::this_thread::sleep_for(milliseconds(200));
    RawSocket Socket(S.Host.CallerAddress, ReceiveBytes);
    Socket.write("GET / HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(100));
    Socket.write("GET /b HTTP/1.1\r\n");
    std::this_thread::sleep_for(milliseconds(100));
    while (!Socket.readAvailable())
      std::this_thread::sleep_for(milliseconds(20));
    Received = Socket.Received.size();
  });
  DataFolder Folder;
  BOOST_TEST(runProgram(S, Folder, 1, P) == 0);
  Caller.join();
  BOOST_TEST(Received >= AnswerBytes);
}

/// Guards against a lost answer that no log line tells of: the process ended
/// before its caller had read it, and its request counts as answered.
BOOST_AUTO_TEST_CASE(StopLineTellsWhetherRepliesWereUnwritten) {
  constexpr std::size_t AnswerBytes = 12U << 20U; // More than sockets hold.
  Settings S = settings();
  HostProgram P = program();
  P.Reduce = [&](const Event &E, TimePoint) -> Effects {
    const auto *Request = std::get_if<CallerRequest>(&E);
    if (Request == nullptr)
      return {};
    HttpReply Reply = jsonReply(200, std::string(AnswerBytes, 'x'));
    return {calls::SendReply{Request->Exchange, Reply},
            Exit{0, milliseconds(200)}};
  };
  std::thread Caller([&] {
    std::this_thread::sleep_for(milliseconds(200));
    RawSocket Socket(S.Host.CallerAddress);
    Socket.write("GET / HTTP/1.1\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(800));
  });
  DataFolder Folder;
  std::string Lines =
      standardErrorOf([&] { BOOST_TEST(runProgram(S, Folder, 1, P) == 0); });
  Caller.join();
  BOOST_TEST(Lines.find("\"replies_unwritten\":true") != std::string::npos);
}

/// Guards against a caller's path that the host answers itself: a route may
/// have it, and the host's figures are nobody else's.
BOOST_AUTO_TEST_CASE(PathsOfCallersAreNotTheHostsOwn) {
  Settings S = settings();
  HostProgram P = program();
  std::string Target;
  TimePoint GivesUp = steadyTime() + seconds(5);
  P.Reduce = [&](const Event &E, TimePoint Now) -> Effects {
    const auto *Request = std::get_if<CallerRequest>(&E);
    if (Request == nullptr)
      return Now < GivesUp ? Effects{} : Effects{Exit{0}};
    Target = Request->Request.Target;
    return {calls::SendReply{Request->Exchange, jsonReply(200, "\"server\"")},
            Exit{0}};
  };
  std::string Received;
  std::thread Caller([&] {
    std::this_thread::sleep_for(milliseconds(200));
    RawSocket Socket(S.Host.CallerAddress);
    Socket.write("GET /metrics?crew=7 HTTP/1.1\r\n\r\n");
    while (!Socket.readAvailable() &&
           Socket.Received.find("server") == std::string::npos)
      std::this_thread::sleep_for(milliseconds(1));
    Received = Socket.Received;
  });
  DataFolder Folder;
  BOOST_TEST(runProgram(S, Folder, 1, P) == 0);
  Caller.join();
  BOOST_TEST(Target == "/metrics?crew=7");
  BOOST_TEST(Received.find("pimento_") == std::string::npos);
}
