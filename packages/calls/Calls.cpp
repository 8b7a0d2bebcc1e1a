#include "calls/Calls.h"

#include "base/Token.h"
#include "calls/CallsInternal.h"
#include "engine/Replies.h"

#include <algorithm>

namespace pimento::calls {

namespace {

constexpr std::uint64_t BodyCopies = 2; // The prompt and the upstream request.

/// A request that has not been admitted yet.
struct Admission {
  Context &C;
  ExchangeId Exchange;
  HttpRequest &Incoming;
  Request R;
};

Result<void> checkRoom(const Context &C, const HttpRequest &Incoming) {
  const LimitSettings &Limits = C.S.Limits;
  if (C.Dir.RefuseNew)
    return fail(Code::Draining, "");
  if (!C.Dir.Fresh)
    return fail(Code::HostNotFresh, "");
  if (Incoming.Body.size() > Limits.BodyBytes)
    return fail(Code::BodyTooLarge,
                "the limit is " + std::to_string(Limits.BodyBytes) + " bytes");
  if (C.S.Requests.size() >= Limits.Requests)
    return fail(Code::Overloaded, "too many requests in progress");
  if (C.S.Bytes + BodyCopies * Incoming.Body.size() > Limits.TotalBufferBytes)
    return fail(Code::Overloaded,
                "the buffers of this host have no room for the body");
  return {};
}

/// Returns the accounts of the caller's token. Different teams write the
/// service documents, so a token is valid only for services that list it.
Result<const TokenAccounts *> authenticate(const Context &C,
                                           const HttpRequest &Incoming) {
  std::string Header(headerValue(Incoming.Headers, "Authorization"));
  std::string_view Token = bearerToken(Header.c_str());
  auto Found = C.Dir.Tokens.find(sha256Hex(Token));
  if (Token.empty() || Found == C.Dir.Tokens.end())
    return fail(Code::Unauthorized, "");
  return &Found->second;
}

/// Sets the deadline from the caller's time limit, capped by the limits of the
/// service document and of the host.
Result<void> setDeadline(Admission &A, const ServiceRule &Service) {
  const LimitSettings &Limits = A.C.S.Limits;
  BOOST_LEAF_AUTO(Stated, readTimeLimit(A.Incoming));
  Duration Limit = Stated.value_or(Service.DefaultTimeLimit > Duration::zero()
                                       ? Service.DefaultTimeLimit
                                       : Limits.DefaultTimeLimit);
  if (Service.MaxTimeLimit > Duration::zero())
    Limit = std::min(Limit, Service.MaxTimeLimit);
  Limit = std::min(Limit, Limits.MaxTimeLimit);
  Duration Margin = std::min(A.C.S.Times.AnswerMargin, Limit / 10);
  A.R.Deadline = A.C.Now + Limit - Margin;
  return {};
}

/// Returns the rule of the first service that offers the model and lists the
/// caller's token.
Result<const ModelRule *> findModel(const Context &C,
                                    const TokenAccounts &Accounts,
                                    const ModelName &Model) {
  auto Found = C.Dir.Models.find(Model);
  if (Found == C.Dir.Models.end() || Found->second.empty())
    return fail(Code::UnknownModel, "");
  for (const ModelRule &Rule : Found->second) {
    if (Accounts.count(Rule.Service) != 0)
      return &Rule;
  }
  return fail(Code::Forbidden, "");
}

Result<void> admitGeneration(Admission &A, const TokenAccounts &Accounts) {
  GenerationPart &G = A.R.Generation.emplace();
  BOOST_LEAF_ASSIGN(G.Params, readCompletion(A.Incoming));
  A.Incoming.Body = std::string();
  BOOST_LEAF_AUTO(Rule, findModel(A.C, Accounts, G.Params.Model));
  A.R.Service = Rule->Service;
  A.R.Account = Accounts.at(Rule->Service);
  const ServiceRule &Service = A.C.Dir.Services.at(Rule->Service);
  G.Weight = Service.Weights.at(A.R.Account);
  G.PromptTokens =
      estimateTokens(A.C.S.Ratios[G.Params.Model], G.Params.Prompt.size());
  if (Rule->ContextTokens != 0 &&
      G.PromptTokens + G.Params.MaxTokens > Rule->ContextTokens)
    return fail(Code::PromptTooLong, "about " + std::to_string(G.PromptTokens) +
                                         " prompt tokens; the model takes " +
                                         std::to_string(Rule->ContextTokens) +
                                         " with the answer");
  G.Prefixes = prefixHashes(G.Params.Prompt);
  return setDeadline(A, Service);
}

Result<void> admitCall(Admission &A, const TokenAccounts &Accounts) {
  CallPart &Call = A.R.Call.emplace();
  BOOST_LEAF_ASSIGN(Call.Params, readPlainCall(A.Incoming));
  auto Found = A.C.Dir.Services.find(Call.Params.Service);
  if (Found == A.C.Dir.Services.end())
    return fail(Code::UnknownService, "");
  const ServiceRule &Service = Found->second;
  auto Account = Accounts.find(Call.Params.Service);
  if (Account == Accounts.end())
    return fail(Code::Forbidden, "");
  A.R.Account = Account->second;
  A.R.Service = Call.Params.Service;
  const CallRule *Rule =
      callRule(Service, toString(Call.Params.Method), Call.Params.Path);
  if (Rule == nullptr)
    return fail(Code::NotFound, "the service offers no such call");
  Call.Repeatable = Rule->Repeatable;
  Call.Retention = Service.Retention;
  if (!Call.Repeatable && Call.Params.Key.empty())
    return fail(Code::IdempotencyKeyMissing, "");
  if (!Call.Repeatable && !A.C.Dir.ClaimsReachable)
    return fail(Code::ControlUnavailable,
                "this request was not sent; whether an earlier one with the "
                "same key ran is not known here: send it again with that key");
  return setDeadline(A, Service);
}

Result<void> admit(Admission &A) {
  BOOST_LEAF_CHECK(checkRoom(A.C, A.Incoming));
  BOOST_LEAF_AUTO(Accounts, authenticate(A.C, A.Incoming));
  if (isCompletionPath(A.Incoming.Path))
    return admitGeneration(A, *Accounts);
  if (isPlainCallPath(A.Incoming.Path))
    return admitCall(A, *Accounts);
  return fail(Code::NotFound, "");
}

void refuse(Admission &A, const Failure &Why) {
  constexpr Duration DefaultRetryAfter = seconds(1);
  Problem P{Why.Number, Why.Detail, A.R.Id, {}};
  if (info(Why.Number).HttpStatus >= 500)
    P.RetryAfter = DefaultRetryAfter;
  decide(A.C, "refuse", A.R.Id, info(Why.Number).Meaning)
      .add("code", static_cast<std::int64_t>(Why.Number))
      .add("requests", static_cast<std::int64_t>(A.C.S.Requests.size()))
      .add("held_bytes", static_cast<std::int64_t>(A.C.S.Bytes))
      .add("body_bytes", static_cast<std::int64_t>(A.Incoming.Body.size()));
  count(A.C, "pimento_requests_total",
        std::string("outcome=\"") + toString(info(Why.Number).Result) + "\"");
  A.C.Out.List.emplace_back(SendReply{A.Exchange, problemReply(P)});
}

void startRequest(Admission &A) {
  Context &C = A.C;
  RequestId Id = A.R.Id;
  A.R.Wake = TimePoint::max();
  A.R.Indexed = A.R.Deadline;
  C.S.Exchanges[static_cast<std::uint64_t>(A.Exchange)] = Id;
  Request &R = C.S.Requests.emplace(Id, std::move(A.R)).first->second;
  C.S.Timers.insert({R.Indexed, Id});
  decide(C, "admit", Id, R.Call ? "plain call" : "generation")
      .add("account", R.Account.Value)
      .add("service", R.Service.Value)
      .add("bytes", static_cast<std::int64_t>(bufferedBytes(R)))
      .add("left_ms", toMilliseconds(timeLeft(R, C.Now)))
      .add("requests", static_cast<std::int64_t>(C.S.Requests.size()));
  countFirstAttempt(C, R);
  if (R.Generation)
    startGeneration(C, R);
  else
    startCall(C, R);
  setHeldBytes(C, R, bufferedBytes(R) + R.Pending);
  reindex(C, R);
}

/// Returns the request of an exchange; null if it is not in progress.
const RequestId *findExchange(const CallsState &State, ExchangeId Exchange) {
  auto Found = State.Exchanges.find(static_cast<std::uint64_t>(Exchange));
  return Found == State.Exchanges.end() ? nullptr : &Found->second;
}

void dispatchExchange(Context &C, ExchangeId Exchange, const Event &E) {
  if (const RequestId *Id = findExchange(C.S, Exchange))
    dispatch(C, RequestId(*Id), E);
}

/// Dispatches an event of an upstream call to its request or cleanup. Events of
/// aborted calls, which are no longer registered, are counted and dropped.
void dispatchUpstream(Context &C, UpstreamId Upstream, const Event &E) {
  auto Found = C.S.Upstreams.find(static_cast<std::uint64_t>(Upstream));
  if (Found == C.S.Upstreams.end()) {
    count(C, "pimento_late_answers_total");
    return;
  }
  UpstreamOwner Owner = Found->second;
  bool HasEnded = E.Kind == EventKind::End || E.Kind == EventKind::Failed;
  if (HasEnded)
    C.S.Upstreams.erase(Found);
  if (Owner.Use == UpstreamUse::Main) {
    dispatch(C, Owner.Request, E);
    return;
  }
  if (Owner.Use != UpstreamUse::Cancel)
    return;
  if (E.Kind == EventKind::Head && confirmsFreed(E.Status)) {
    C.S.Upstreams.erase(static_cast<std::uint64_t>(Upstream));
    C.Out.List.emplace_back(AbortUpstream{Upstream});
    onCancelReply(C, Upstream, Owner.Attempt, /*Confirmed=*/true);
  } else if (HasEnded) {
    onCancelReply(C, Upstream, Owner.Attempt, /*Confirmed=*/false);
  }
}

bool isCurrent(const CallsState &State, const AttemptId &Attempt) {
  auto Found = State.Requests.find(Attempt.Request);
  return Found != State.Requests.end() && Found->second.Generation &&
         Found->second.Generation->CurrentAttempt.Id == Attempt;
}

} // namespace

CallsState makeCalls(const Settings &S, IncarnationNumber Incarnation,
                     std::uint64_t Seed) {
  constexpr std::size_t DigitsOfWord = 16;
  CallsState State;
  State.Host = S.Host.Name;
  State.Incarnation = Incarnation;
  std::string Digest =
      sha256Hex(S.Host.Name.Value + "\n" + std::to_string(Incarnation));
  State.IdHigh = std::stoull(Digest.substr(0, DigitsOfWord), nullptr, 16);
  State.Limits = S.Limits;
  State.Retries = S.Retries;
  State.Drain = S.Drain;
  State.Rng.seed(Seed);
  return State;
}

void onCallerRequest(CallsState &State, ExchangeId Exchange,
                     HttpRequest Incoming, const Directory &Dir, TimePoint Now,
                     CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Admission A{C, Exchange, Incoming, Request()};
  A.R.Id = {State.IdHigh, State.NextRequest++};
  A.R.Exchange = Exchange;
  A.R.Arrived = Now;
  Failure Why;
  bool Admitted = valueOr<bool>(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(admit(A));
        return true;
      },
      false, Why);
  if (Admitted)
    startRequest(A);
  else
    refuse(A, Why);
}

void onCallerLeft(CallsState &State, ExchangeId Exchange, const Directory &Dir,
                  TimePoint Now, CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::CallerLeft;
  dispatchExchange(C, Exchange, E);
}

void onCallerDrained(CallsState &State, ExchangeId Exchange,
                     std::uint64_t Pending, const Directory &Dir, TimePoint Now,
                     CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::Drained;
  E.Pending = Pending;
  dispatchExchange(C, Exchange, E);
}

void onGrant(CallsState &State, const Grant &G, const Directory &Dir,
             TimePoint Now, CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::Granted;
  E.Granted = &G;
  if (isCurrent(State, G.Attempt)) {
    dispatch(C, G.Attempt.Request, E);
    return;
  }
  auto Found = State.Requests.find(G.Attempt.Request);
  if (Found != State.Requests.end() && isKept(Found->second, G.Attempt))
    return; // A repeat of the grant in use.
  // The attempt has ended. If its engines are still being cancelled, the
  // release that follows informs the scheduler; otherwise return the grant.
  if (State.Cleanups.count(G.Attempt) == 0)
    Out.List.emplace_back(SendWithdraw{G.Attempt});
}

void onRefusal(CallsState &State, const Refusal &R, const Directory &Dir,
               TimePoint Now, CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::Refused;
  E.Refused = &R;
  if (isCurrent(State, R.Attempt))
    dispatch(C, R.Attempt.Request, E);
}

void onClaimReply(CallsState &State, const ClaimReply &R, const Directory &Dir,
                  TimePoint Now, CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::ClaimReplied;
  E.Claimed = &R;
  if (State.Requests.count(R.Request) != 0) {
    dispatch(C, R.Request, E);
    return;
  }
  // The request has ended at this host. If the reply is a send permit, the
  // claim must be closed, but not as "not run": whether the call was sent is no
  // longer known.
  bool Open = R.State == ClaimState::Granted &&
              State.Results.count(R.Request) == 0 &&
              R.Request.Hi == State.IdHigh;
  if (!Open)
    return;
  ClaimResult Ended;
  Ended.Request = R.Request;
  Ended.Key = R.Key;
  Ended.End = ClaimOutcome::Unknown;
  Out.List.emplace_back(SendClaimResult{std::move(Ended)});
}

void onUpstreamSent(CallsState &State, UpstreamId Upstream,
                    const Directory &Dir, TimePoint Now, CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::Sent;
  E.Upstream = Upstream;
  dispatchUpstream(C, Upstream, E);
}

void onUpstreamHead(CallsState &State, UpstreamId Upstream, int Status,
                    const std::vector<HttpHeader> &Headers,
                    const Directory &Dir, TimePoint Now, CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::Head;
  E.Upstream = Upstream;
  E.Status = Status;
  E.Headers = &Headers;
  dispatchUpstream(C, Upstream, E);
}

void onUpstreamData(CallsState &State, UpstreamId Upstream,
                    std::string_view Bytes, const Directory &Dir, TimePoint Now,
                    CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::Data;
  E.Upstream = Upstream;
  E.Bytes = Bytes;
  dispatchUpstream(C, Upstream, E);
}

void onUpstreamEnd(CallsState &State, UpstreamId Upstream, const Directory &Dir,
                   TimePoint Now, CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::End;
  E.Upstream = Upstream;
  dispatchUpstream(C, Upstream, E);
}

void onUpstreamFailed(CallsState &State, UpstreamId Upstream,
                      const UpstreamFailure &Why, const Directory &Dir,
                      TimePoint Now, CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  Event E;
  E.Kind = EventKind::Failed;
  E.Upstream = Upstream;
  E.Failure = &Why;
  dispatchUpstream(C, Upstream, E);
}

void tick(CallsState &State, const Directory &Dir, TimePoint Now,
          CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  while (!State.Timers.empty() && State.Timers.begin()->first <= Now) {
    RequestId Id = State.Timers.begin()->second;
    Request &R = State.Requests.at(Id);
    if (followKept(C, R)) {
      reindex(C, R);
      continue;
    }
    Event E;
    E.Kind = R.Deadline <= Now ? EventKind::Deadline : EventKind::Wake;
    dispatch(C, Id, E);
  }
  repeatDueWork(C);
  if (State.DrainUntil != TimePoint() && State.DrainUntil <= Now)
    cutAll(State, Dir, Now, Out);
}

TimePoint nextWakeup(const CallsState &State) {
  TimePoint Next = TimePoint::max();
  if (!State.Timers.empty())
    Next = State.Timers.begin()->first;
  Next = std::min(Next, State.NextFollowUp);
  if (State.DrainUntil != TimePoint() && !State.Requests.empty())
    Next = std::min(Next, State.DrainUntil);
  return Next;
}

void beginDrain(CallsState &State, TimePoint Now, CallsEffects &Out) {
  State.DrainUntil = Now + State.Drain.Limit;
  DecisionRecord Record;
  Record.Kind = "drain";
  Record.Reason = "the host is stopping; requests in progress continue";
  Record.add("requests", static_cast<std::int64_t>(State.Requests.size()))
      .add("limit_ms", toMilliseconds(State.Drain.Limit));
  Out.Decisions.push_back(std::move(Record));
}

void cutAll(CallsState &State, const Directory &Dir, TimePoint Now,
            CallsEffects &Out) {
  Context C{State, Dir, Now, Out};
  std::vector<RequestId> All;
  for (const auto &[Id, R] : State.Requests)
    All.push_back(Id);
  Event E;
  E.Kind = EventKind::Cut;
  for (const RequestId &Id : All)
    dispatch(C, Id, E);
  // Leave time to write the answers that were just sent.
  if (State.DrainUntil != TimePoint())
    State.DrainUntil = Now + State.Times.ForcedStopGrace;
}

bool idle(const CallsState &State) {
  return State.Requests.empty() && State.Cleanups.empty() &&
         State.Results.empty();
}

} // namespace pimento::calls
