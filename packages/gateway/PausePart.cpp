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

SendBlock blockOf(const Gateway &S, const BackendId &Server,
                  IncarnationNumber Incarnation, std::uint64_t Ticket,
                  TimePoint Now) {
  bool HasFailures = S.Relays.Paths.FailedServers > 0;
  if (S.Leaving.empty() && S.Paused.empty() && !HasFailures)
    return SendBlock::None;
  if (isLeaving(S, Server, Incarnation))
    return SendBlock::Leaving;
  if (HasFailures && isPathBlocked(S, Server, Now))
    return SendBlock::NoPath;
  auto Found = S.Paused.find(Server);
  if (Found == S.Paused.end() || Found->second.Incarnation != Incarnation)
    return SendBlock::None;
  if (Now < Found->second.Until)
    return SendBlock::Paused;
  bool IsOwnProbe = Found->second.Probe == Ticket;
  return !IsOwnProbe && isProbed(S, Server, Found->second) ? SendBlock::Probed
                                                           : SendBlock::None;
}

const char *toString(SendBlock Block) {
  switch (Block) {
  case SendBlock::None:
    return "the backend server may get the request";
  case SendBlock::Leaving:
    return "the backend server is leaving";
  case SendBlock::Paused:
    return "the backend server wants no requests for a time";
  case SendBlock::Probed:
    return "one request is under way to see whether the backend server takes "
           "requests again";
  case SendBlock::NoPath:
    return "this host may not reach the backend server";
  }
  return "unknown";
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

bool isToBeSpared(const Gateway &S, const BackendId &Server, TimePoint Now) {
  auto Known = S.Servers.Servers.find(Server);
  if (Known == S.Servers.Servers.end())
    return false;
  IncarnationNumber Incarnation = Known->second.Report.Incarnation;
  auto Paused = S.Paused.find(Server);
  bool IsPaused = Paused != S.Paused.end() &&
                  Paused->second.Incarnation == Incarnation &&
                  Now < Paused->second.Until;
  return IsPaused || isLeaving(S, Server, Incarnation);
}

void noteProbe(GatewayTurn &T, const GatewayCall &C) {
  auto Found = T.S.Paused.find(C.Attempt.Server);
  if (Found != T.S.Paused.end())
    Found->second.Probe = C.Ticket;
}

std::vector<BackendId> blockedServers(const Gateway &S, std::uint64_t Ticket,
                                      TimePoint Now) {
  std::vector<BackendId> List;
  for (const auto &[Id, Leaving] : S.Leaving) {
    if (!Leaving.IsKnownByControl)
      List.push_back(Id);
  }
  for (const auto &[Id, Paused] : S.Paused) {
    if (blockOf(S, Id, Paused.Incarnation, Ticket, Now) != SendBlock::None)
      List.push_back(Id);
  }
  for (const auto &[Id, Path] : S.Relays.Paths.Servers) {
    if (Path.FailedAt != TimePoint() && isPathBlocked(S, Id, Now))
      List.push_back(Id);
  }
  return List;
}

std::optional<Duration> pauseOfAll(GatewayTurn &T, const GatewayCall &C) {
  Gateway &S = T.S;
  if (S.Paused.empty())
    return std::nullopt;
  std::optional<TimePoint> First;
  for (const auto &[Id, Known] : S.Servers.Servers) {
    const ServerReport &R = Known.Report;
    if (R.Service != C.Service || R.Phase != ServerPhase::Ready)
      continue;
    if (blockOf(S, Id, R.Incarnation, C.Ticket, T.Now) == SendBlock::None)
      return std::nullopt;
    auto Paused = S.Paused.find(Id);
    if (Paused != S.Paused.end())
      First =
          std::min(First.value_or(Paused->second.Until), Paused->second.Until);
  }
  if (!First)
    return std::nullopt;
  Duration Wait = std::max(*First - T.Now, Duration::zero());
  Duration Spread =
      std::max(MinReturnSpread, fromSeconds(toSeconds(Wait) * ReturnSpread));
  return Wait + fromSeconds(toSeconds(Spread) * uniform(S.Rng));
}

} // namespace pimento::gateway
