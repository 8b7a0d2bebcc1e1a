// Requests that other entry hosts handed over to this one, the relay. Each is a
// call like those of callers, with its host in the place of the caller; it is
// not handed over again.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Exchange ids of relayed requests have this bit; those of callers do not.
constexpr std::uint64_t RelayBit = 1ULL << 63U;
constexpr std::size_t MaxTaken = 192;
/// Bytes of bodies and unsent answers of all relayed requests.
constexpr std::size_t MaxTakenBytes = 32U << 20U;
/// A server's answer is not read while more of it waits for the other host.
constexpr std::size_t HoldBackBytes = FlowWindowBytes;

std::size_t takenBytes(const Gateway &S) {
  std::size_t Sum = 0;
  for (const auto &[Exchange, R] : S.Relays.Taken)
    Sum += R.Request.BodySize + pendingBytes(R.Answer);
  return Sum;
}

RelayedRequest *findTaken(GatewayTurn &T, const HostId &From,
                          std::uint64_t Id) {
  auto Found = T.S.Relays.TakenById.find({From, Id});
  return Found == T.S.Relays.TakenById.end()
             ? nullptr
             : &T.S.Relays.Taken.at(Found->second);
}

void eraseTaken(GatewayTurn &T, ExchangeId Exchange) {
  auto Found = T.S.Relays.Taken.find(Exchange);
  if (Found == T.S.Relays.Taken.end())
    return;
  T.S.Relays.TakenById.erase({Found->second.From, Found->second.Id});
  T.S.Relays.Taken.erase(Found);
}

/// Whether the refusal concerns this host only, so that another one may take
/// the request.
bool isOfHost(Code Number) {
  switch (Number) {
  case Code::HostNotFresh:
  case Code::Draining:
  case Code::Overloaded:
  case Code::NoPath:
  case Code::ConnectFailed:
    return true;
  default:
    return false;
  }
}

void sendRefusal(GatewayTurn &T, const HostId &To, std::uint64_t Id,
                 Code Number, const char *Reason) {
  RelayRefusal M;
  M.Id = Id;
  M.Number = Number;
  M.Reason = Reason;
  M.IsOfHost = isOfHost(Number);
  send(T, To, std::move(M));
  count(T, "pimento_requests_relayed_total",
        std::string("result=\"") + toString(Number) + "\"");
}

/// Why the request cannot be taken; Ok if it can.
Code takeProblem(const Gateway &S, const RelayRequest &M) {
  if (!S.Routes || S.Stale || S.Routes->Config.Number < M.Routing)
    return Code::HostNotFresh;
  if (S.Stopping)
    return Code::Draining;
  if (M.BodySize > S.Config.Limits.BodyBytes || M.Body.Data.size() > M.BodySize)
    return Code::BodyTooLarge;
  if (S.Relays.Taken.size() >= MaxTaken ||
      takenBytes(S) + M.BodySize > MaxTakenBytes || !hasRoomFor(S, M.BodySize))
    return Code::Overloaded;
  return Code::Ok;
}

void admitTaken(GatewayTurn &T, ExchangeId Exchange, RelayedRequest &R) {
  R.IsAdmitted = true;
  RelayRequest Request = std::move(R.Request);
  R.Request = RelayRequest();
  R.Request.BodySize = Request.BodySize;
  admitRelayed(T, Exchange, std::move(Request));
}

/// Records arriving bytes of a body; admits the request once it is whole.
void takeBody(GatewayTurn &T, ExchangeId Exchange, RelayedRequest &R,
              std::uint64_t Offset, std::size_t Size) {
  bool IsWhole = R.Body.Received + Size == R.Request.BodySize;
  bool IsTooLong = R.Body.Received + Size > R.Request.BodySize;
  if (IsTooLong || !takeBytes(R.Body, Offset, Size)) {
    sendRefusal(T, R.From, R.Id, Code::BadRequest,
                "bytes of the request's body are missing");
    eraseTaken(T, Exchange);
    return;
  }
  if (IsWhole) {
    admitTaken(T, Exchange, R);
    return;
  }
  if (auto Until = creditDue(R.Body, 0))
    send(T, R.From, RelayBodyCredit{R.Id, *Until});
}

void pauseServer(GatewayTurn &T, RelayedRequest &R, GatewayCall &C) {
  setUnread(T, C, pendingBytes(R.Answer));
  bool Pause = R.IsPaused ? C.UnreadBytes > HoldBackBytes / 2
                          : C.UnreadBytes > HoldBackBytes;
  if (Pause == R.IsPaused || C.Attempt.Upstream == UpstreamId{})
    return;
  R.IsPaused = Pause;
  // The server was not silent meanwhile.
  C.Attempt.LastBytes = T.Now;
  T.Out.push_back(calls::PauseUpstream{C.Attempt.Upstream, Pause});
}

/// Sends what may be sent of an answer. Invalidates \p R if that is all.
void sendAnswer(GatewayTurn &T, ExchangeId Exchange, RelayedRequest &R) {
  while (auto Chunk = takeChunk(R.Answer))
    send(T, R.From, RelayData{R.Id, Chunk->Offset, {std::move(Chunk->Bytes)}});
  if (!R.HasEnded) {
    auto Ticket = T.S.ByExchange.find(Exchange);
    GatewayCall *C =
        Ticket == T.S.ByExchange.end() ? nullptr : findCall(T, Ticket->second);
    if (C != nullptr)
      pauseServer(T, R, *C);
    return;
  }
  if (pendingBytes(R.Answer) > 0)
    return;
  RelayEnd M;
  M.Id = R.Id;
  M.IsComplete = R.IsComplete;
  M.Size = R.Answer.Offset;
  M.Sends = R.Sends;
  send(T, R.From, M);
  count(T, "pimento_requests_relayed_total",
        R.IsComplete ? "result=\"answered\"" : "result=\"broken\"");
  eraseTaken(T, Exchange);
}

void noteServer(RelayedRequest &R, const GatewayCall &C) {
  R.Server = C.Attempt.Server;
  R.ServerIncarnation = C.Attempt.ServerIncarnation;
}

void sendHead(GatewayTurn &T, ExchangeId Exchange, RelayedRequest &R,
              const HttpReply &Head) {
  R.HasHead = true;
  RelayHead M;
  M.Id = R.Id;
  M.Status = Head.Status;
  M.Headers = Head.Headers;
  auto Ticket = T.S.ByExchange.find(Exchange);
  if (Ticket != T.S.ByExchange.end())
    noteServer(R, *findCall(T, Ticket->second));
  M.Server = R.Server;
  M.Incarnation = R.ServerIncarnation;
  send(T, R.From, std::move(M));
}

/// Turns effects on the exchanges of relayed requests into messages.
struct Redirect {
  GatewayTurn &T;
  ExchangeId Exchange;
  RelayedRequest &R;

  void operator()(const calls::SendReply &E) const {
    sendHead(T, Exchange, R, E.Reply);
    addBytes(R.Answer, E.Reply.Body);
    R.HasEnded = true;
    R.IsComplete = true;
  }
  void operator()(const calls::StartStream &E) const {
    sendHead(T, Exchange, R, E.Head);
  }
  void operator()(const calls::StreamBytes &E) const {
    addBytes(R.Answer, E.Bytes);
  }
  void operator()(const calls::EndStream &E) const {
    R.HasEnded = true;
    R.IsComplete = E.IsComplete;
  }
  template <class Other> void operator()(const Other &) const {}
};

/// The exchange that an effect on a caller's answer belongs to, or zero.
ExchangeId exchangeOf(const Effect &E) {
  if (const auto *Reply = std::get_if<calls::SendReply>(&E))
    return Reply->Exchange;
  if (const auto *Start = std::get_if<calls::StartStream>(&E))
    return Start->Exchange;
  if (const auto *Bytes = std::get_if<calls::StreamBytes>(&E))
    return Bytes->Exchange;
  if (const auto *End = std::get_if<calls::EndStream>(&E))
    return End->Exchange;
  return ExchangeId{};
}

} // namespace

bool isRelayed(ExchangeId Exchange) {
  return (static_cast<std::uint64_t>(Exchange) & RelayBit) != 0;
}

bool takesRelays(const Gateway &S) {
  return isReady(S) && S.Relays.Taken.size() < MaxTaken;
}

void refuseRelayed(GatewayTurn &T, ExchangeId Exchange, Code Number,
                   const char *Reason, Duration RetryAfter,
                   std::uint32_t Sends) {
  auto Found = T.S.Relays.Taken.find(Exchange);
  if (Found == T.S.Relays.Taken.end())
    return;
  RelayRefusal M;
  M.Id = Found->second.Id;
  M.Number = Number;
  M.Reason = Reason;
  M.RetryAfter = RetryAfter;
  M.MayHaveRun = info(Number).Result != Outcome::NotRun;
  M.Sends = Sends;
  M.IsOfHost = isOfHost(Number);
  send(T, Found->second.From, std::move(M));
  count(T, "pimento_requests_relayed_total",
        std::string("result=\"") + toString(Number) + "\"");
  eraseTaken(T, Exchange);
}

void relayedEnds(GatewayTurn &T, const GatewayCall &C) {
  auto Found = T.S.Relays.Taken.find(C.Exchange);
  if (Found == T.S.Relays.Taken.end())
    return;
  Found->second.Sends = C.Sends;
  noteServer(Found->second, C);
}

void forwardRelayedAnswers(GatewayTurn &T) {
  if (T.S.Relays.Taken.empty())
    return;
  Effects All = std::move(T.Out);
  T.Out.clear();
  std::vector<ExchangeId> Touched;
  for (Effect &E : All) {
    ExchangeId Exchange = exchangeOf(E);
    auto Found = T.S.Relays.Taken.find(Exchange);
    if (Found == T.S.Relays.Taken.end()) {
      if (!isRelayed(Exchange))
        T.Out.push_back(std::move(E));
      continue;
    }
    std::visit(Redirect{T, Exchange, Found->second}, E);
    Touched.push_back(Exchange);
  }
  for (ExchangeId Exchange : Touched) {
    auto Found = T.S.Relays.Taken.find(Exchange);
    if (Found != T.S.Relays.Taken.end())
      sendAnswer(T, Exchange, Found->second);
  }
}

void onRelayRequest(GatewayTurn &T, const HostId &From,
                    IncarnationNumber Incarnation, const RelayRequest &M) {
  RelayState &S = T.S.Relays;
  if (RelayedRequest *Known = findTaken(T, From, M.Id)) {
    if (Known->Incarnation == Incarnation)
      return;
    dropTaken(T, From); // The host restarted.
  }
  Code Problem = takeProblem(T.S, M);
  if (Problem != Code::Ok) {
    sendRefusal(T, From, M.Id, Problem, info(Problem).Meaning);
    return;
  }
  ExchangeId Exchange{RelayBit | S.NextTaken++};
  RelayedRequest &R = S.Taken[Exchange];
  R.From = From;
  R.Id = M.Id;
  R.Incarnation = Incarnation;
  R.Request = M;
  S.TakenById[{From, M.Id}] = Exchange;
  takeBody(T, Exchange, R, 0, M.Body.Data.size());
}

void onRelayBody(GatewayTurn &T, const HostId &From, const RelayBody &M) {
  RelayedRequest *R = findTaken(T, From, M.Id);
  if (R == nullptr || R->IsAdmitted)
    return;
  R->Request.Body.Data += M.Bytes.Data;
  takeBody(T, T.S.Relays.TakenById.at({From, M.Id}), *R, M.Offset,
           M.Bytes.Data.size());
}

void onRelayCredit(GatewayTurn &T, const HostId &From, const RelayCredit &M) {
  RelayedRequest *R = findTaken(T, From, M.Id);
  if (R == nullptr)
    return;
  grantCredit(R->Answer, M.Until);
  sendAnswer(T, T.S.Relays.TakenById.at({From, M.Id}), *R);
}

namespace {

/// Ends a request that this host relays, since nobody waits for its answer.
void endTaken(GatewayTurn &T, const HostId &From, std::uint64_t Id,
              const char *Reason) {
  auto Found = T.S.Relays.TakenById.find({From, Id});
  if (Found == T.S.Relays.TakenById.end())
    return;
  ExchangeId Exchange = Found->second;
  callerLeft(T, Exchange, Reason);
  eraseTaken(T, Exchange);
}

} // namespace

void onRelayCancel(GatewayTurn &T, const HostId &From, std::uint64_t Id) {
  endTaken(T, From, Id, "the host that handed the request over cancelled it");
}

void dropTaken(GatewayTurn &T, const HostId &From) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Key, Exchange] : T.S.Relays.TakenById) {
    if (Key.first == From)
      Ids.push_back(Key.second);
  }
  for (std::uint64_t Id : Ids)
    endTaken(T, From, Id, "the host that handed the request over is lost");
}

} // namespace pimento::gateway
