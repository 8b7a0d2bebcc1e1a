// Admits callers' requests: finds route, client account and service, and starts
// the first attempt. Ends calls with their final answer.

#include "gateway/GatewayTurn.h"

#include "base/Problem.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Retry-After for requests refused before the first configuration.
constexpr Duration StartupRetryAfter = milliseconds(1500);
/// Time after the start within which a control host normally answers.
constexpr Duration StartupTime = milliseconds(2000);
/// A request is held for the first configuration at most for MaxHoldTime and
/// for its time limit divided by HoldTimeDivisor; without a time limit, for
/// MaxHoldTime divided by HoldTimeDivisor.
constexpr Duration MaxHoldTime = milliseconds(1000);
constexpr int HoldTimeDivisor = 5;
constexpr std::size_t MaxHeldRequests = 512;
/// Retry-After for requests refused for their size while this host holds many
/// bytes. Another host may have room.
constexpr Duration NoRoomRetryAfter = milliseconds(300);
/// Retry-After for requests refused while a newer configuration is missing;
/// most other hosts have it.
constexpr Duration StaleRetryAfter = milliseconds(100);
/// Retry-After for requests refused because no backend server is available.
constexpr Duration NoServerRetryAfter = milliseconds(300);

std::string_view pathOf(const std::string &Target) {
  return std::string_view(Target).substr(0, Target.find('?'));
}

HttpReply problem(const Gateway &S, Code Number, std::string Detail,
                  Duration RetryAfter) {
  Problem P;
  P.Number = Number;
  P.Detail = std::move(Detail);
  HttpReply Reply = problemReply(P);
  if (RetryAfter > Duration::zero())
    Reply.Headers.push_back(S.Platform.EncodeRetryAfter(RetryAfter));
  return Reply;
}

/// Refuses a request for which no call was created.
void refuse(GatewayTurn &T, ExchangeId Exchange, const RequestInfo &Info,
            Code Number, const char *Reason,
            Duration RetryAfter = Duration::zero()) {
  DecisionRecord Record{"refused", {}, Reason, {}};
  Record.add("try", Info.ClientAttemptId);
  Record.add("host_header", Info.Host);
  Record.add("code", static_cast<std::int64_t>(Number));
  Record.add("routing", static_cast<std::int64_t>(
                            T.S.Routes ? T.S.Routes->Config.Number : 0));
  Record.add("routing_age_ms", toMilliseconds(T.Now - T.S.Link.CurrentAt));
  log(T, std::move(Record));
  count(T, "pimento_requests_total",
        std::string("result=\"") + toString(Number) + "\"");
  if (isRelayed(Exchange))
    refuseRelayed(T, Exchange, Number, Reason, RetryAfter, /*Sends=*/0);
  else
    reply(T, Exchange, problem(T.S, Number, Reason, RetryAfter));
}

/// Time limit of the final answer: the smaller of the route's and the caller's.
Duration timeLimit(const Route &R, const RequestInfo &Info) {
  return Info.TimeLimit ? std::min(R.TimeLimit, *Info.TimeLimit) : R.TimeLimit;
}

/// Answer length to plan for: the caller's estimate with a margin of one half,
/// at most the longest answer that the caller accepts.
std::uint64_t answerTokens(const RequestInfo &Info) {
  if (Info.ExpectedTokens == 0)
    return Info.AnswerTokens;
  return std::min(Info.AnswerTokens, Info.ExpectedTokens * 3 / 2);
}

/// Creates the call of a request, or refuses the request and returns null.
GatewayCall *createCall(GatewayTurn &T, ExchangeId Exchange, RequestInfo Info,
                        HttpMethod Method, const std::string &Target,
                        TimePoint Arrived) {
  Gateway &S = T.S;
  const Route *Path = findRoute(*S.Routes, Info.Host, pathOf(Target));
  if (Path == nullptr) {
    refuse(T, Exchange, Info, Code::NotFound,
           "no route matches the request's host and path");
    return nullptr;
  }
  const RoutedAccount *Account = findAccount(*S.Routes, Info.Key);
  if (Account == nullptr && !Path->Public && needsKeys(*S.Routes)) {
    refuse(T, Exchange, Info, Code::Unauthorized,
           "the API key is missing or unknown");
    return nullptr;
  }
  std::uint64_t Ticket = S.NextTicket++;
  GatewayCall &C = S.Calls[Ticket];
  C.Ticket = Ticket;
  C.Exchange = Exchange;
  C.Method = Method;
  C.Target = Target;
  C.Table = S.Routes;
  C.Path = Path;
  C.Service = chooseTarget(*Path, S.Rng());
  auto Service = S.Routes->ByService.find(C.Service);
  C.OnEngine = Service != S.Routes->ByService.end() &&
               Service->second->Engine.has_value() && Info.PromptTokens > 0;
  C.Priority = Path->Priority;
  if (Account != nullptr) {
    C.Account = Account->Name;
    C.Priority = Account->Priority.value_or(Path->Priority);
  }
  C.Arrived = Arrived;
  C.Deadline = Arrived + timeLimit(*Path, Info);
  C.Info = std::move(Info);
  C.Info.AnswerTokens = answerTokens(C.Info);
  C.Events.LastId = C.Info.LastEvent;
  S.ByExchange[Exchange] = Ticket;
  return &C;
}

/// Logs a stream that ends without its end, with what led to it: the attempt
/// that failed last, and why no other one followed.
void logBrokenOff(GatewayTurn &T, const GatewayCall &C, Code Number,
                  const char *Reason) {
  DecisionRecord Record = record(T, C, "answer_broken_off", Reason);
  Record.add("code", static_cast<std::int64_t>(Number));
  Record.add("stage", std::string(toString(C.Stage)));
  Record.add("events", static_cast<std::int64_t>(C.Events.Events));
  Record.add("since_event_ms", toMilliseconds(T.Now - C.LastEventAt));
  Record.add("last_try_code", static_cast<std::int64_t>(C.LastFailure));
  Record.add("last_try_reason", C.LastFailureReason);
  constexpr std::int64_t NoneFailed = -1;
  Record.add("since_last_try_ms",
             C.LastFailureReason.empty()
                 ? NoneFailed
                 : toMilliseconds(T.Now - C.LastFailureAt));
  std::string Servers;
  for (const BackendId &Server : C.TriedServers)
    Servers += (Servers.empty() ? "" : " ") + Server.Value;
  Record.add("tried", std::move(Servers));
  Record.add("sends", static_cast<std::int64_t>(C.Sends));
  Record.add("sends_allowed", static_cast<std::int64_t>(C.MaxSends));
  Record.add("time_left_ms", toMilliseconds(C.Deadline - T.Now));
  Record.add("stopping", T.S.Stopping);
  Record.add("routing", static_cast<std::int64_t>(C.Table->Config.Number));
  Record.add("routing_in_force",
             static_cast<std::int64_t>(T.S.Routes->Config.Number));
  log(T, std::move(Record));
  count(T, "pimento_answers_broken_off_total",
        std::string("code=\"") + toString(Number) + "\"");
}

/// Logs an answer that ended as far as the call is concerned, and whose caller
/// is gone before all of it was written. The call's line has the same exchange.
void logUnwritten(GatewayTurn &T, ExchangeId Exchange) {
  DecisionRecord Record{
      "answer_unwritten",
      {},
      "the connection ended before all of the answer was written",
      {}};
  Record.add("exchange", static_cast<std::int64_t>(Exchange));
  Record.add("stopping", T.S.Stopping);
  log(T, std::move(Record));
  count(T, "pimento_answers_unwritten_total");
}

/// What the caller got of its answer, in logs.
const char *answerText(const GatewayCall &C, Code Result) {
  if (Result == Code::CallerLeft)
    return "caller_left";
  if (Result == Code::Ok)
    return "whole";
  return C.Replying ? "broken_off" : "failure";
}

/// Ends what the call has under way at servers, the placer and helpers.
void endWork(GatewayTurn &T, GatewayCall &C) {
  closeAttempt(T, C, true);
  withdrawPermit(T, C);
  freeReservations(T, C);
  if (C.Placed)
    reportStage(T, C, PlacementStage::Ended);
}

void eraseCall(GatewayTurn &T, const GatewayCall &C) {
  if (C.CheckAt != TimePoint())
    T.S.Timers.erase({C.CheckAt, C.Ticket});
  T.S.ByExchange.erase(C.Exchange);
  T.S.Calls.erase(C.Ticket);
}

/// Holds a request for a short time right after the start, while the first
/// configuration is expected. Returns false if the request must not be held.
bool hold(GatewayTurn &T, ExchangeId Exchange, const HttpRequest &R,
          const RequestInfo &Info) {
  Gateway &S = T.S;
  if (T.Now > S.Started + StartupTime || S.Held.size() >= MaxHeldRequests)
    return false;
  Duration Limit = Info.TimeLimit.value_or(MaxHoldTime) / HoldTimeDivisor;
  HeldRequest Request;
  Request.Exchange = Exchange;
  Request.Request = R;
  Request.Arrived = T.Now;
  Request.HoldUntil = T.Now + std::min(Limit, MaxHoldTime);
  S.Held.push_back(std::move(Request));
  return true;
}

} // namespace

void tickHeld(GatewayTurn &T) {
  Gateway &S = T.S;
  std::vector<HeldRequest> Held = std::move(S.Held);
  S.Held.clear();
  for (HeldRequest &Request : Held) {
    if (isReady(S))
      admit(T, Request.Exchange, Request.Request, Request.Arrived);
    else if (T.Now >= Request.HoldUntil)
      refuse(T, Request.Exchange, S.Platform.DecodeRequestInfo(Request.Request),
             Code::HostNotFresh, "this host has no configuration yet",
             StartupRetryAfter);
    else
      S.Held.push_back(std::move(Request));
  }
}

void admit(GatewayTurn &T, ExchangeId Exchange, const HttpRequest &R,
           TimePoint Arrived) {
  Gateway &S = T.S;
  RequestInfo Info = S.Platform.DecodeRequestInfo(R);
  if (!hasRoomFor(S, R.Body.size())) {
    refuse(T, Exchange, Info, Code::Overloaded,
           "the host holds too many bytes of requests and answers",
           NoRoomRetryAfter);
    return;
  }
  if (!S.Routes && hold(T, Exchange, R, Info))
    return;
  if (!S.Routes) {
    refuse(T, Exchange, Info, Code::HostNotFresh,
           "this host has no configuration yet", StartupRetryAfter);
    return;
  }
  checkStale(T);
  if (S.Stale) {
    refuse(T, Exchange, Info, Code::HostNotFresh,
           "this host lacks a newer configuration", StaleRetryAfter);
    return;
  }
  if (S.Stopping && T.Now >= S.RefuseAt) {
    refuse(T, Exchange, Info, Code::Draining, "this host is shutting down",
           StopRetryAfter);
    return;
  }
  GatewayCall *C =
      createCall(T, Exchange, std::move(Info), R.Method, R.Target, Arrived);
  if (C == nullptr)
    return;
  C->Body = R.Body;
  C->Digest = digestOf(C->Account, C->Target, C->Body);
  C->MaxSends = C->Path->Attempts;
  onRequest(S.Retries, C->Service, S.RetryRules, T.Now);
  hedge::onRequest(S.SlowAnswers, C->Path->Name);
  startAttempt(T, *C);
}

void admitRelayed(GatewayTurn &T, ExchangeId Exchange, RelayRequest R) {
  // The host that took it from its caller has counted it as a request and
  // estimated the length of its answer.
  GatewayCall *C =
      createCall(T, Exchange, std::move(R.Info),
                 static_cast<HttpMethod>(R.Method), R.Target, T.Now - R.Waited);
  if (C == nullptr)
    return;
  C->Body = std::move(R.Body.Data);
  C->Digest = digestOf(C->Account, C->Target, C->Body);
  C->Deadline = std::min(C->Deadline, T.Now + R.TimeLeft);
  C->IsRelayed = true;
  C->MaxSends = std::min<std::uint32_t>(C->Path->Attempts, R.SendsLeft);
  C->TriedServers = std::move(R.Avoid);
  startAttempt(T, *C);
}

void fail(GatewayTurn &T, GatewayCall &C, Code Number, const char *Reason,
          Duration RetryAfter) {
  if (C.HedgeOf != 0) {
    hedgeFailed(T, C, Reason);
    return;
  }
  bool NotRun = info(Number).Result == Outcome::NotRun;
  if (NotRun && RetryAfter == Duration::zero())
    RetryAfter = NoServerRetryAfter;
  int Status = info(Number).HttpStatus;
  if (C.Replying) {
    logBrokenOff(T, C, Number, Reason);
    T.Out.push_back(calls::EndStream{C.Exchange, false});
  } else if (isRelayed(C.Exchange)) {
    refuseRelayed(T, C.Exchange, Number, Reason, RetryAfter, C.Sends);
  } else {
    reply(T, C.Exchange,
          problem(T.S, Number, Reason, NotRun ? RetryAfter : Duration::zero()));
  }
  finish(T, C, Status, Number, Reason);
}

void finish(GatewayTurn &T, GatewayCall &C, int Status, Code Result,
            const char *Reason) {
  dropHedge(T, C, "the call has ended");
  endWork(T, C);
  relayedEnds(T, C);
  DecisionRecord Record = record(T, C, "request", Reason);
  Record.add("route", C.Path->Name);
  Record.add("service", C.Service.Value);
  Record.add("account", C.Account.Value);
  Record.add("server", C.Attempt.Server.Value);
  Record.add("status", static_cast<std::int64_t>(Status));
  Record.add("code", static_cast<std::int64_t>(Result));
  Record.add("sends", static_cast<std::int64_t>(C.Sends));
  Record.add("events", static_cast<std::int64_t>(C.Events.Events));
  Record.add("answer", std::string(answerText(C, Result)));
  Record.add("exchange", static_cast<std::int64_t>(C.Exchange));
  Record.add("relay", C.Attempt.Relay.Value);
  Record.add("relayed", C.IsRelayed);
  if (C.Info.PromptTokens > 0)
    Record.add("prompt_tokens", static_cast<std::int64_t>(C.Info.PromptTokens));
  if (C.FirstEventAt != TimePoint())
    Record.add("first_event_ms", toMilliseconds(C.FirstEventAt - C.Arrived));
  if (C.Events.Events > 1)
    Record.add("longest_pause_ms", toMilliseconds(C.LongestEventGap));
  if (C.Attempt.Forecast > Duration::zero())
    Record.add("forecast_ms", toMilliseconds(C.Attempt.Forecast));
  Record.add("routing", static_cast<std::int64_t>(C.Table->Config.Number));
  log(T, std::move(Record));
  count(T, "pimento_requests_total",
        std::string("result=\"") + toString(Result) + "\"");
  std::string Kind = std::string("kind=\"") + toString(C.Path->Kind) + "\"";
  sample(T, "pimento_request_seconds", Kind, T.Now - C.Arrived);
  if (C.FirstEventAt != TimePoint())
    sample(T, "pimento_first_event_seconds", Kind, C.FirstEventAt - C.Arrived);
  eraseCall(T, C);
}

void removeCall(GatewayTurn &T, GatewayCall &C) {
  if (C.Stage == CallStage::Placing)
    withdrawPlacement(T, C);
  endWork(T, C);
  eraseCall(T, C);
}

void callerLeft(GatewayTurn &T, ExchangeId Exchange, const char *Reason) {
  auto IsHeld = [&](const HeldRequest &H) { return H.Exchange == Exchange; };
  auto &Held = T.S.Held;
  auto Dropped = std::find_if(Held.begin(), Held.end(), IsHeld);
  bool WasHeld = Dropped != Held.end();
  if (WasHeld) {
    DecisionRecord Record{"held_request_dropped", {}, Reason, {}};
    Record.add(
        "try",
        T.S.Platform.DecodeRequestInfo(Dropped->Request).ClientAttemptId);
    log(T, std::move(Record));
    Held.erase(Dropped);
  }
  auto Found = T.S.ByExchange.find(Exchange);
  if (Found == T.S.ByExchange.end()) {
    if (!WasHeld && !isRelayed(Exchange))
      logUnwritten(T, Exchange);
    return;
  }
  GatewayCall &C = *findCall(T, Found->second);
  T.S.ByExchange.erase(Found);
  C.Exchange = ExchangeId{};
  // A call that must run at most once continues, since aborting it could leave
  // it half done.
  bool AtServer = C.Stage == CallStage::Sent || C.Stage == CallStage::Answering;
  if (C.Path->Kind == CallKind::Once && AtServer && C.Attempt.BytesSent)
    log(T, record(T, C, "call_goes_on", Reason));
  else
    finish(T, C, 0, Code::CallerLeft, Reason);
}

} // namespace pimento::gateway
