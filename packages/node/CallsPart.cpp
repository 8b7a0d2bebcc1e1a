// Callers' requests: passes events to the calls package, executes its effects,
// and routes grant requests to cells and claims to the leaders of the logs.

#include "node/Turn.h"

#include "base/Problem.h"
#include "schedule/CellMap.h"

#include <algorithm>

namespace pimento::node {

namespace {

constexpr const char *AnnouncePath = "/v1/backends/announce";

void healthReply(Turn &T, ExchangeId Exchange, bool Healthy) {
  HttpReply Reply =
      jsonReply(Healthy ? 200 : 503,
                Healthy ? "{\"ready\":true}\n" : "{\"ready\":false}\n");
  T.Out.push_back(calls::SendReply{Exchange, std::move(Reply)});
}

/// The cell of the base model to which the first prefix of the grant request
/// hashes, or where it has no prefix, the request's id.
CellId cellFor(const NodeState &S, const GrantRequest &Request) {
  auto Base = S.BaseModels.find(Request.Model);
  const ModelName &Model =
      Base == S.BaseModels.end() ? Request.Model : Base->second;
  std::size_t Cells = std::max<std::size_t>(1, cellsOf(S.Cells, Model).size());
  std::uint64_t Hash = Request.Prefixes.empty() ? Request.Attempt.Request.Lo
                                                : Request.Prefixes.front();
  return cellId(Model, static_cast<std::uint32_t>(Hash % Cells));
}

/// Executes one effect of the calls package, or passes it on as an effect of
/// the host.
struct ExecuteEffect {
  Turn &T;

  void operator()(calls::SendGrantRequest &E) const {
    E.Content.Cell = cellFor(T.S, E.Content);
    EntryEffects Out;
    startGrantRequest(T.S.Entry, E.Content, T.Now, Out);
    executeEntryEffects(T, std::move(Out));
  }
  void operator()(calls::SendWithdraw &E) const {
    EntryEffects Out;
    withdrawGrantRequest(T.S.Entry, E.Attempt, T.Now, Out);
    executeEntryEffects(T, std::move(Out));
  }
  void operator()(calls::SendRelease &E) const {
    EntryEffects Out;
    endAttempt(T.S.Entry, E.Content, T.Now, Out);
    executeEntryEffects(T, std::move(Out));
  }
  void operator()(calls::NoteProgress &E) const {
    noteProgress(T.S.Entry, E.Attempt,
                 static_cast<std::uint32_t>(E.PrefillTokens),
                 static_cast<std::uint32_t>(E.OutputTokens));
  }
  void operator()(calls::SendClaim &E) const {
    GroupId Group = claimGroup(T.S, E.Content.Key);
    sendToLeader(T, Group, std::move(E.Content));
  }
  void operator()(calls::SendClaimResult &E) const {
    GroupId Group = claimGroup(T.S, E.Content.Key);
    sendToLeader(T, Group, std::move(E.Content));
  }
  template <class HostEffect> void operator()(HostEffect &E) const {
    T.Out.push_back(std::move(E));
  }
};

struct OnEvent {
  Turn &T;
  calls::CallsEffects &Out;

  void operator()(const ExchangeLeft &E) const {
    onCallerLeft(T.S.Calls, E.Exchange, T.S.CallsDirectory, T.Now, Out);
  }
  void operator()(const ExchangeDrained &E) const {
    onCallerDrained(T.S.Calls, E.Exchange, E.PendingBytes, T.S.CallsDirectory,
                    T.Now, Out);
  }
  void operator()(const UpstreamSent &E) const {
    onUpstreamSent(T.S.Calls, E.Call, T.S.CallsDirectory, T.Now, Out);
  }
  void operator()(const UpstreamHead &E) const {
    onUpstreamHead(T.S.Calls, E.Call, E.Status, E.Headers, T.S.CallsDirectory,
                   T.Now, Out);
  }
  void operator()(const UpstreamData &E) const {
    onUpstreamData(T.S.Calls, E.Call, E.Bytes, T.S.CallsDirectory, T.Now, Out);
  }
  void operator()(const UpstreamEnd &E) const {
    if (E.Delimited) {
      onUpstreamEnd(T.S.Calls, E.Call, T.S.CallsDirectory, T.Now, Out);
      return;
    }
    UpstreamFailure Why;
    Why.Detail = "the response ended without content length or last chunk";
    onUpstreamFailed(T.S.Calls, E.Call, Why, T.S.CallsDirectory, T.Now, Out);
  }
  void operator()(const UpstreamFailed &E) const {
    onUpstreamFailed(T.S.Calls, E.Call, E.Why, T.S.CallsDirectory, T.Now, Out);
  }
  template <class Other> void operator()(const Other &) const {}
};

void refreshFlags(Turn &T) {
  ServeVerdict Verdict = verdict(T.S.Spread, T.Now);
  T.S.CallsDirectory.Fresh = Verdict.Serve;
  T.S.CallsDirectory.ClaimsReachable =
      Verdict.Reason != ServeReason::ByMajority;
  T.S.CallsDirectory.RefuseNew = T.S.Drain >= DrainPhase::Refusing;
}

} // namespace

void executeCallsEffects(Turn &T, calls::CallsEffects Out) {
  logAll(T, std::move(Out.Decisions));
  recordAll(T, std::move(Out.Samples));
  for (calls::CallsEffect &E : Out.List)
    std::visit(ExecuteEffect{T}, E);
}

void callerRequest(Turn &T, const CallerRequest &E) {
  const std::string &Path = E.Request.Path;
  if (Path == AnnouncePath) {
    announce(T, E.Exchange, E.Request);
    return;
  }
  if (Path == "/healthz" || Path == "/readyz") {
    healthReply(T, E.Exchange, Path == "/healthz" || isReady(T.S, T.Now));
    return;
  }
  refreshFlags(T);
  calls::CallsEffects Out;
  onCallerRequest(T.S.Calls, E.Exchange, E.Request, T.S.CallsDirectory, T.Now,
                  Out);
  executeCallsEffects(T, std::move(Out));
}

void callsEvent(Turn &T, const Event &E) {
  calls::CallsEffects Out;
  std::visit(OnEvent{T, Out}, E);
  executeCallsEffects(T, std::move(Out));
}

bool callsMessage(Turn &T, const HostId &, const Message &M) {
  calls::CallsEffects Out;
  if (const auto *Reply = std::get_if<ClaimReply>(&M))
    onClaimReply(T.S.Calls, *Reply, T.S.CallsDirectory, T.Now, Out);
  else if (const auto *Done = std::get_if<ClaimResultAck>(&M))
    onClaimResultAck(T.S.Calls, *Done);
  else
    return false;
  executeCallsEffects(T, std::move(Out));
  return true;
}

void tickCalls(Turn &T) {
  if (T.Now < nextWakeup(T.S.Calls))
    return;
  refreshFlags(T);
  calls::CallsEffects Out;
  tick(T.S.Calls, T.S.CallsDirectory, T.Now, Out);
  executeCallsEffects(T, std::move(Out));
}

} // namespace pimento::node
