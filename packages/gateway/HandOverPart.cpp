// Requests that this host cannot send to a backend server and hands over to
// another entry host, the relay. An attempt at a relay is one like any other:
// its events are those of an upstream exchange.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Time for which a request waits until it is known whether the path or the
/// servers are at fault, and for a host that can take it.
constexpr Duration PathWait = milliseconds(300);
/// Bytes of a body that travel with the head of a request.
constexpr std::size_t FirstBodyBytes = 16U << 10U;
/// Requests of which a relay that does not reply has sent nothing for this time
/// go on elsewhere, if they may.
constexpr Duration RelaySilence = milliseconds(300);
/// Retry-After where no host reaches a server. A path or server that is back is
/// found by probes within this time.
constexpr Duration NoPathRetryAfter = milliseconds(500);

void countHandOver(GatewayTurn &T, const char *Result) {
  count(T, "pimento_requests_handed_over_total",
        std::string("result=\"") + Result + "\"");
}

void waitForPath(GatewayTurn &T, GatewayCall &C) {
  if (C.PathWaitUntil == TimePoint())
    C.PathWaitUntil = T.Now + PathWait;
  C.Stage = CallStage::AwaitingPath;
  syncSoonForRelays(T);
  checkAt(T, C, std::min(C.Deadline, C.PathWaitUntil));
}

/// Whether a call that found no server to connect to waits until it is known
/// whether the path is at fault, instead of trying more servers.
bool shouldWait(const GatewayTurn &T, const GatewayCall &C) {
  constexpr std::uint32_t TriesBeforeWait = 2;
  std::size_t Ready = readyServers(T.S, C.Service);
  bool HasTried =
      C.LastFailure == Code::ConnectFailed &&
      C.AttemptCount >= std::min<std::size_t>(TriesBeforeWait, Ready);
  bool MayWait = C.PathWaitUntil == TimePoint() && !C.IsRelayed;
  return HasTried && MayWait && !T.S.Relays.Peers.Hosts.empty();
}

void failWithoutPath(GatewayTurn &T, GatewayCall &C, const char *Reason) {
  fail(T, C, C.MayHaveRun ? Code::BackendFailed : Code::NoPath, Reason,
       NoPathRetryAfter);
}

/// Servers that a relay may send the call to. One that may run again keeps a
/// send for another relay, in case the first one is late with its answer.
std::uint32_t sendsForRelay(const GatewayCall &C) {
  std::uint32_t Left = C.MaxSends - std::min(C.Sends, C.MaxSends);
  return mayRunAgain(C) && Left > 1 ? Left - 1 : Left;
}

RelayRequest relayRequest(const GatewayTurn &T, const GatewayCall &C) {
  RelayRequest M;
  M.Id = static_cast<std::uint64_t>(C.Attempt.Upstream);
  M.Info = C.Info;
  M.Info.LastEvent = C.Events.LastId;
  M.Method = static_cast<std::uint8_t>(C.Method);
  M.Target = C.Target;
  M.Body.Data = C.Body.text().substr(0, FirstBodyBytes);
  M.BodySize = C.Body.size();
  M.TimeLeft = C.Deadline - T.Now;
  M.Waited = T.Now - C.Arrived;
  M.Routing = T.S.Routes ? T.S.Routes->Config.Number : 0;
  M.SendsLeft = C.Attempt.RelaySends;
  M.Avoid = C.TriedServers;
  return M;
}

void logHandOver(GatewayTurn &T, const GatewayCall &C) {
  const RelayPeers &Peers = T.S.Relays.Peers;
  DecisionRecord Record =
      record(T, C, "handed_over", "this host does not reach the servers");
  Record.add("relay", C.Attempt.Relay.Value);
  Record.add("service", C.Service.Value);
  Record.add("relays",
             static_cast<std::int64_t>(relayCount(Peers, C.Service, T.Now)));
  const RelayPeer &Peer = Peers.Hosts.at(C.Attempt.Relay);
  Record.add("relay_load", static_cast<std::int64_t>(Peer.Load));
  Record.add("reply_age_ms",
             toMilliseconds(T.Now - Peer.ReachesAt.at(C.Service)));
  Record.add("sends", static_cast<std::int64_t>(C.Sends));
  log(T, std::move(Record));
}

void sendBody(GatewayTurn &T, const HostId &Relay, std::uint64_t Id) {
  auto Found = T.S.Relays.Bodies.find(Id);
  if (Found == T.S.Relays.Bodies.end())
    return;
  while (auto Chunk = takeChunk(Found->second))
    send(T, Relay, RelayBody{Id, Chunk->Offset, {std::move(Chunk->Bytes)}});
  if (pendingBytes(Found->second) == 0)
    T.S.Relays.Bodies.erase(Found);
}

void sendToRelay(GatewayTurn &T, GatewayCall &C, const HostId &Relay) {
  if (!chargeRetry(T, C))
    return;
  Gateway &S = T.S;
  C.Attempt.Upstream = UpstreamId{S.NextUpstream++};
  C.Attempt.Relay = Relay;
  C.Attempt.RelaySends = sendsForRelay(C);
  C.Attempt.Began = T.Now;
  C.Attempt.LastBytes = T.Now;
  C.Events.Partial.clear();
  C.Stage = CallStage::Sent;
  logHandOver(T, C);
  RelayRequest M = relayRequest(T, C);
  std::uint64_t Id = M.Id;
  bool HasMore = M.Body.Data.size() < M.BodySize;
  std::uint64_t Sent = M.Body.Data.size();
  send(T, Relay, std::move(M));
  if (HasMore) {
    ByteSource &Rest = S.Relays.Bodies[Id];
    Rest.Offset = Sent;
    addBytes(Rest, std::string_view(C.Body).substr(Sent));
    sendBody(T, Relay, Id);
  }
  // From now on the relay may send it, whatever becomes of the link.
  C.Attempt.BytesSent = true;
  C.Sends += C.Attempt.RelaySends;
  C.AttemptCount += 1;
  S.ByUpstream[C.Attempt.Upstream] = C.Ticket;
  S.Relays.Peers.Hosts.at(Relay).InFlight += 1;
  countHandOver(T, "sent");
  scheduleCheck(T, C);
}

/// The relay that is late with the call that \p C hedges; empty: there is none.
HostId lateRelay(GatewayTurn &T, const GatewayCall &C) {
  const GatewayCall *Late = C.HedgeOf == 0 ? nullptr : findCall(T, C.HedgeOf);
  return Late == nullptr ? HostId() : Late->Attempt.Relay;
}

/// Hands the call over, or lets it wait for a host that can take it.
void handOver(GatewayTurn &T, GatewayCall &C) {
  HostId Relay = chooseRelay(T.S.Relays.Peers, C.Service, T.S.Engines.Here,
                             T.S.Rng, T.Now, lateRelay(T, C));
  if (!Relay.empty()) {
    sendToRelay(T, C, Relay);
    return;
  }
  bool IsOver = C.PathWaitUntil != TimePoint() && T.Now >= C.PathWaitUntil;
  if (IsOver)
    failWithoutPath(T, C, "no other host takes the request");
  else
    waitForPath(T, C);
}

std::vector<std::uint64_t> callsAtRelay(const Gateway &S, const HostId &Host) {
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, C] : S.Calls) {
    if (C.Attempt.Relay == Host && C.Attempt.Upstream != UpstreamId{})
      Tickets.push_back(Ticket);
  }
  return Tickets;
}

/// The call whose current attempt is at the relay \p From, or null.
GatewayCall *callAt(GatewayTurn &T, const HostId &From, std::uint64_t Id) {
  auto Found = T.S.ByUpstream.find(UpstreamId{Id});
  GatewayCall *C =
      Found == T.S.ByUpstream.end() ? nullptr : findCall(T, Found->second);
  return C != nullptr && C->Attempt.Relay == From ? C : nullptr;
}

void relayAttemptFailed(GatewayTurn &T, GatewayCall &C, bool Ran, Code Number,
                        const char *Reason) {
  countHandOver(T, "failed");
  C.Attempt.Fault = FaultSide::Nobody;
  attemptFailed(T, C, Ran, Number, Reason);
}

/// The relay's own count of sends replaces those that it was allowed.
void countSends(GatewayCall &C, std::uint32_t Sends) {
  C.Sends += Sends;
  C.Sends -= C.Attempt.RelaySends;
  C.Attempt.RelaySends = Sends;
}

/// Whether the relay refuses the call since it has used the sends that it was
/// allowed, and others are left.
bool hasUsedItsSends(GatewayTurn &T, const GatewayCall &C,
                     const RelayRefusal &M) {
  return M.Sends > 0 && mayRunAgain(C) && maySendAgain(T, C);
}

void grantAnswer(GatewayTurn &T, GatewayCall &C) {
  std::uint64_t Unread = C.Attempt.IsForwarded ? C.UnreadBytes : 0;
  if (auto Until = creditDue(C.Attempt.Taken, Unread))
    send(T, C.Attempt.Relay,
         RelayCredit{static_cast<std::uint64_t>(C.Attempt.Upstream), *Until});
}

} // namespace

bool usesOtherPath(GatewayTurn &T, GatewayCall &C) {
  PathState State = pathState(T.S.Relays.Paths, C.Service);
  if (C.IsRelayed && (State == PathState::Cut || State == PathState::NoneUp)) {
    failWithoutPath(T, C, "this host does not reach the servers either");
    return true;
  }
  switch (State) {
  case PathState::Direct:
    return false;
  case PathState::Watched:
    if (!shouldWait(T, C))
      return false;
    waitForPath(T, C);
    return true;
  case PathState::Cut:
    handOver(T, C);
    return true;
  case PathState::NoneUp:
    failWithoutPath(T, C, "no host that was asked reaches a backend server");
    return true;
  }
  return false;
}

void leavePathWait(GatewayTurn &T, GatewayCall &C) {
  bool IsOver = T.Now >= C.PathWaitUntil;
  if (pathState(T.S.Relays.Paths, C.Service) == PathState::Watched && !IsOver)
    return;
  beginAttempt(T, C);
}

void closeRelay(GatewayTurn &T, GatewayCall &C, bool Abort) {
  auto Id = static_cast<std::uint64_t>(C.Attempt.Upstream);
  if (Abort)
    send(T, C.Attempt.Relay, RelayCancel{Id});
  T.S.Relays.Bodies.erase(Id);
  auto Peer = T.S.Relays.Peers.Hosts.find(C.Attempt.Relay);
  if (Peer != T.S.Relays.Peers.Hosts.end() && Peer->second.InFlight > 0)
    Peer->second.InFlight -= 1;
}

void onRelayBodyCredit(GatewayTurn &T, const HostId &From,
                       const RelayBodyCredit &M) {
  auto Found = T.S.Relays.Bodies.find(M.Id);
  if (callAt(T, From, M.Id) == nullptr || Found == T.S.Relays.Bodies.end())
    return;
  grantCredit(Found->second, M.Until);
  sendBody(T, From, M.Id);
}

void onRelayHead(GatewayTurn &T, const HostId &From, const RelayHead &M) {
  GatewayCall *C = callAt(T, From, M.Id);
  if (C == nullptr)
    return;
  C->Attempt.Server = M.Server;
  C->Attempt.ServerIncarnation = M.Incarnation;
  upstreamHead(T, UpstreamHead{UpstreamId{M.Id}, M.Status, M.Headers});
}

void onRelayData(GatewayTurn &T, const HostId &From, const RelayData &M) {
  GatewayCall *C = callAt(T, From, M.Id);
  if (C == nullptr)
    return;
  if (!takeBytes(C->Attempt.Taken, M.Offset, M.Bytes.Data.size())) {
    relayAttemptFailed(T, *C, true, Code::StreamCut,
                       "bytes of the relay's answer are missing");
    return;
  }
  upstreamData(T, UpstreamData{UpstreamId{M.Id}, M.Bytes.Data});
  C = callAt(T, From, M.Id);
  if (C != nullptr)
    grantAnswer(T, *C);
}

void onRelayEnd(GatewayTurn &T, const HostId &From, const RelayEnd &M) {
  GatewayCall *C = callAt(T, From, M.Id);
  if (C == nullptr)
    return;
  countSends(*C, std::max<std::uint32_t>(M.Sends, 1));
  if (!M.IsComplete || M.Size != C->Attempt.Taken.Received) {
    relayAttemptFailed(T, *C, true, Code::StreamCut,
                       "the relay's answer ended early");
    return;
  }
  countHandOver(T, "answered");
  upstreamEnd(T, UpstreamEnd{UpstreamId{M.Id}, /*Delimited=*/true});
}

void onRelayRefusal(GatewayTurn &T, const HostId &From, const RelayRefusal &M) {
  GatewayCall *C = callAt(T, From, M.Id);
  if (C == nullptr)
    return;
  countSends(*C, std::max<std::uint32_t>(M.Sends, M.MayHaveRun ? 1 : 0));
  if (!M.MayHaveRun)
    C->Attempt.BytesSent = false;
  // Only what reached a server counts as a retry.
  if (!M.MayHaveRun && M.Sends == 0 && C->HedgeOf != 0) {
    returnSiteRetry(T.S.Retries, C->Service);
    C->IsRetryDue = true;
  }
  if (M.IsOfHost) {
    avoidRelay(T.S.Relays.Peers, From, T.Now);
    relayAttemptFailed(T, *C, M.MayHaveRun, M.Number, M.Reason.c_str());
    return;
  }
  countHandOver(T, "refused");
  if (hasUsedItsSends(T, *C, M)) {
    C->Attempt.Fault = FaultSide::Nobody;
    attemptFailed(T, *C, M.MayHaveRun, M.Number, M.Reason.c_str());
    return;
  }
  C->MayHaveRun = C->MayHaveRun || M.MayHaveRun;
  closeAttempt(T, *C, /*Abort=*/false);
  if (continueWithHedge(T, *C))
    return;
  fail(T, *C, finalCode(*C, M.Number), M.Reason.c_str(), M.RetryAfter);
}

void relayLost(GatewayTurn &T, const HostId &Host) {
  avoidRelay(T.S.Relays.Peers, Host, T.Now);
  for (std::uint64_t Ticket : callsAtRelay(T.S, Host)) {
    GatewayCall *C = findCall(T, Ticket);
    if (C == nullptr || C->Attempt.Relay != Host)
      continue;
    closeAttempt(T, *C, /*Abort=*/false);
    relayAttemptFailed(T, *C, true, Code::BackendFailed,
                       "the link to the relay was lost");
  }
}

void relaySilent(GatewayTurn &T, const HostId &Host) {
  for (std::uint64_t Ticket : callsAtRelay(T.S, Host)) {
    GatewayCall *C = findCall(T, Ticket);
    bool IsWaiting = C != nullptr && C->Attempt.Relay == Host &&
                     T.Now >= C->Attempt.LastBytes + RelaySilence;
    if (IsWaiting)
      startHedge(T, *C, "the relay does not reply");
  }
}

void callerRead(GatewayTurn &T, ExchangeId Exchange, std::size_t PendingBytes) {
  auto Found = T.S.ByExchange.find(Exchange);
  if (Found == T.S.ByExchange.end())
    return;
  GatewayCall &C = *findCall(T, Found->second);
  setUnread(T, C, std::min(C.UnreadBytes, PendingBytes));
  if (!C.Attempt.Relay.empty() && C.Attempt.Upstream != UpstreamId{})
    grantAnswer(T, C);
  else
    followReader(T, C);
}

} // namespace pimento::gateway
