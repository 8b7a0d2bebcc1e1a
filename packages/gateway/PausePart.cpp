// Backend servers that turned a request of this host away and named the time
// until which they want none from it.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

constexpr int ServiceUnavailable = 503;
/// A server that names a longer time is asked again after this one.
constexpr Duration MaxPause = std::chrono::hours(1);
/// Servers that are remembered; the pause that ends first is forgotten first.
constexpr std::size_t MaxPaused = 1024;
/// Callers are told to come back within this share of the wait after its end,
/// so that they do not come at the same moment.
constexpr double ReturnSpread = 0.25;
constexpr Duration MinReturnSpread = milliseconds(300);

void dropFirstToEnd(Gateway &S) {
  auto Earlier = [](const auto &A, const auto &B) {
    return A.second.Until < B.second.Until;
  };
  S.Paused.erase(std::min_element(S.Paused.begin(), S.Paused.end(), Earlier));
}

/// Whether a request of this host is under way to see whether the server takes
/// requests again.
bool isProbed(const Gateway &S, const BackendId &Server,
              const PausedServer &Paused) {
  auto Call = S.Calls.find(Paused.Probe);
  return Call != S.Calls.end() && Call->second.Attempt.Server == Server &&
         Call->second.Attempt.Upstream != UpstreamId{};
}

void logPause(GatewayTurn &T, const AnsweringServer &From, const char *Reason,
              Duration Time) {
  DecisionRecord Record{"server_paused", {}, Reason, {}};
  Record.add("try", From.ClientAttemptId);
  Record.add("server", From.Server.Value);
  Record.add("for_ms", toMilliseconds(Time));
  log(T, std::move(Record));
}

void pauseServer(GatewayTurn &T, const AnsweringServer &From, Duration Time) {
  Gateway &S = T.S;
  auto Known = S.Paused.find(From.Server);
  bool IsOlder =
      Known != S.Paused.end() && From.Incarnation < Known->second.Incarnation;
  if (IsOlder)
    return;
  if (S.Paused.size() >= MaxPaused && Known == S.Paused.end())
    dropFirstToEnd(S);
  PausedServer &Paused = S.Paused[From.Server];
  if (Paused.Incarnation != From.Incarnation)
    Paused = PausedServer{From.Incarnation, {}, 0};
  Paused.Until = std::max(Paused.Until, T.Now + std::min(Time, MaxPause));
  Paused.Probe = 0;
  count(T, "pimento_servers_paused_total");
  logPause(T, From, "the backend server wants no requests for a time", Time);
}

} // namespace

SendBlock pauseOf(const Gateway &S, const BackendId &Server,
                  IncarnationNumber Incarnation, std::uint64_t Ticket,
                  TimePoint Now) {
  auto Found = S.Paused.find(Server);
  bool IsKnown =
      Found != S.Paused.end() && Found->second.Incarnation == Incarnation;
  return IsKnown ? pauseOf(S, Server, Found->second, Ticket, Now)
                 : SendBlock::None;
}

SendBlock pauseOf(const Gateway &S, const BackendId &Server,
                  const PausedServer &Paused, std::uint64_t Ticket,
                  TimePoint Now) {
  if (Now < Paused.Until)
    return SendBlock::Paused;
  bool IsOwnProbe = Paused.Probe == Ticket;
  return !IsOwnProbe && isProbed(S, Server, Paused) ? SendBlock::Probed
                                                    : SendBlock::None;
}

void notePause(GatewayTurn &T, const AnsweringServer &From, int Status,
               const AnswerInfo &Answer) {
  bool IsTurnedAway = Status == ServiceUnavailable && Answer.RetryAfter;
  if (IsTurnedAway && *Answer.RetryAfter > Duration::zero()) {
    pauseServer(T, From, *Answer.RetryAfter);
    return;
  }
  auto Found = T.S.Paused.find(From.Server);
  if (!From.IsRequest || Found == T.S.Paused.end() ||
      T.Now < Found->second.Until)
    return;
  logPause(T, From, "the backend server takes requests again",
           Duration::zero());
  T.S.Paused.erase(Found);
}

void noteProbe(GatewayTurn &T, const GatewayCall &C) {
  auto Found = T.S.Paused.find(C.Attempt.Server);
  if (Found != T.S.Paused.end())
    Found->second.Probe = C.Ticket;
}

Duration untilReturn(GatewayTurn &T, TimePoint Until) {
  Duration Wait = std::max(Until - T.Now, Duration::zero());
  Duration Spread =
      std::max(MinReturnSpread, fromSeconds(toSeconds(Wait) * ReturnSpread));
  return Wait + fromSeconds(toSeconds(Spread) * uniform(T.S.Rng));
}

void failPaused(GatewayTurn &T, GatewayCall &C, Duration Wait) {
  fail(T, C, C.MayHaveRun ? Code::BackendFailed : Code::QueueFull,
       "all backend servers of the service want no requests for a time", Wait);
}

} // namespace pimento::gateway
