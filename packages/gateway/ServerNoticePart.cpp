// What backend servers say of themselves in their answers: a limit of requests,
// that they leave, and until when they want no requests. Every answer is heard
// here, whether it is one to a request, an order, a query or a probe.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// The server at an address; empty if none is known there.
BackendId serverAt(const Gateway &S, const std::string &Address) {
  for (const auto &[Id, E] : S.Engines.Engines) {
    if (E.Address == Address)
      return Id;
  }
  return BackendId();
}

/// The server that a reservation order of a call went to; empty if the exchange
/// is no such order.
BackendId serverOfOrder(GatewayTurn &T, UpstreamId Upstream) {
  for (const PendingRelease &Release : T.S.Releases) {
    if (Release.Order == Upstream)
      return serverAt(T.S, Release.Address);
  }
  auto Found = T.S.ByUpstream.find(Upstream);
  if (Found == T.S.ByUpstream.end())
    return BackendId();
  for (const Reservation &R : findCall(T, Found->second)->Reserved) {
    if (R.Order == Upstream)
      return R.Engine;
  }
  return BackendId();
}

/// The server that was asked by an order, a query or a probe; empty if the
/// exchange carries a request.
BackendId serverOfQuery(GatewayTurn &T, UpstreamId Upstream) {
  const Gateway &S = T.S;
  if (auto Query = S.SpeedQueries.find(Upstream); Query != S.SpeedQueries.end())
    return Query->second.Engine;
  if (auto Check = S.CrashChecks.find(Upstream); Check != S.CrashChecks.end())
    return Check->second.Crash.Server;
  if (auto Probe = S.Relays.Probes.find(Upstream);
      Probe != S.Relays.Probes.end())
    return Probe->second.Server;
  if (auto Query = S.EndQueries.find(Upstream); Query != S.EndQueries.end())
    return findCall(T, Query->second.Ticket)->Attempt.Server;
  return serverOfOrder(T, Upstream);
}

/// Whether the answer is that of the server that was asked. Another one may
/// have its address by now; it says so, or names the server at fault. An answer
/// need not repeat the request's id, but one with another id is late.
bool isOwnAnswer(const AnsweringServer &From, const AnswerInfo &Answer) {
  bool IsOtherId = !Answer.ClientAttemptId.empty() &&
                   Answer.ClientAttemptId != From.ClientAttemptId;
  bool IsOtherServer =
      Answer.Misdirected ||
      (!Answer.Server.empty() && Answer.Server != From.Server) ||
      (!Answer.FaultyServer.empty() && Answer.FaultyServer != From.Address);
  return !From.Server.empty() && !IsOtherId && !IsOtherServer;
}

} // namespace

void noteAnswer(GatewayTurn &T, const GatewayCall &C) {
  AnsweringServer From;
  From.Server = C.Attempt.Server;
  From.Incarnation = C.Attempt.ServerIncarnation;
  From.Address = C.Attempt.Address;
  From.ClientAttemptId = C.Info.ClientAttemptId;
  From.IsRequest = true;
  const AnswerInfo &Answer = C.Attempt.Answer;
  bool IsRelayed = !C.Attempt.Relay.empty();
  if (IsRelayed)
    From.Address = Answer.FaultyServer; // The relay has compared it.
  if (!isOwnAnswer(From, Answer))
    return;
  noteLeaving(T, From, Answer);
  // Limits and pauses hold for the host that sends, which a relay is.
  if (IsRelayed)
    return;
  noteLimit(T, From, C.Attempt.Status, Answer);
  notePause(T, From, C.Attempt.Status, Answer);
}

void noteQueryAnswer(GatewayTurn &T, const UpstreamHead &E) {
  AnsweringServer From;
  From.Server = serverOfQuery(T, E.Call);
  auto Known = T.S.Servers.Servers.find(From.Server);
  if (From.Server.empty() || Known == T.S.Servers.Servers.end())
    return;
  From.Incarnation = Known->second.Report.Incarnation;
  From.Address = Known->second.Report.Address;
  AnswerInfo Answer = T.S.Platform.DecodeAnswer(E.Status, E.Headers);
  if (!isOwnAnswer(From, Answer))
    return;
  noteLeaving(T, From, Answer);
  noteLimit(T, From, E.Status, Answer);
  if (Answer.WarmupTime)
    noteWarmup(T, From.Server, *Answer.WarmupTime);
  notePause(T, From, E.Status, Answer);
}

} // namespace pimento::gateway
