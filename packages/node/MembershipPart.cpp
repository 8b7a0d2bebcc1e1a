// Hosts and backend servers: passes changes that membership detects to the
// other parts.

#include "node/Turn.h"

#include "base/Problem.h"
#include "base/Token.h"

namespace pimento::node {

namespace {

void applyHostChange(Turn &T, const HostChange &Change) {
  bool Ended = Change.Kind == HostChangeKind::Incarnation ||
               Change.View.Status == HostStatus::Dead;
  if (Ended)
    hostGone(T, Change.Host);
  for (auto &[Group, Partition] : T.S.Control.Claims)
    onHostIncarnation(Partition.Leader, Change.Host, Change.View.Incarnation,
                      Change.View.Status == HostStatus::Dead);
}

void applyBackendChange(Turn &T, const BackendRecord &Record) {
  if (Record.Status == BackendStatus::Gone) {
    calls::CallsEffects Out;
    onBackendGone(T.S.Calls, Record.Id, Out);
    executeCallsEffects(T, std::move(Out));
  }
  if (Record.Kind == BackendKind::Engine)
    engineChanged(T, Record);
  else
    refreshServers(T.S);
}

void executeMembershipOutputs(Turn &T, MembershipOutputs Out) {
  sendAll(T, std::move(Out.Messages));
  logAll(T, std::move(Out.Decisions));
  for (const HostChange &Change : Out.Hosts)
    applyHostChange(T, Change);
  if (!Out.Hosts.empty()) {
    onHosts(T.S.Spread, aliveHosts(T.S.Members));
    updateCellHolders(T);
  }
  for (const BackendChange &Change : Out.Backends)
    applyBackendChange(T, Change.Record);
  for (const LoadReport &Report : Out.Loads)
    engineLoad(T, Report);
}

HttpReply announceReply(Turn &T, const HttpRequest &Request) {
  Problem P;
  P.Number = Code::MethodNotAllowed;
  if (Request.Method != HttpMethod::Post)
    return problemReply(P);
  std::string Header(headerValue(Request.Headers, "Authorization"));
  std::string Digest = sha256Hex(bearerToken(Header.c_str()));
  P.Number = Code::Unauthorized;
  if (!equalConstantTime(Digest, T.S.Config.Security.BackendTokenSha256))
    return problemReply(P);
  Failure Why;
  Announcement A = valueOr<Announcement>(
      [&] { return parseAnnouncement(Request.Body); }, Announcement(), Why);
  if (A.Id.empty()) {
    P.Number = Why.Number;
    P.Detail = Why.Detail;
    return problemReply(P);
  }
  MembershipOutputs Out;
  onAnnounce(T.S.Members, A, T.Now, Out);
  executeMembershipOutputs(T, std::move(Out));
  HttpReply Reply;
  Reply.Status = 204;
  return Reply;
}

} // namespace

void tickMembership(Turn &T) {
  if (T.Now < nextDeadline(T.S.Members))
    return;
  MembershipOutputs Out;
  onTick(T.S.Members, T.Now, Out);
  executeMembershipOutputs(T, std::move(Out));
}

void peerLost(Turn &T, const HostId &Host) {
  MembershipOutputs Out;
  onLinkLost(T.S.Members, Host, T.Now, Out);
  executeMembershipOutputs(T, std::move(Out));
  for (auto &[Group, Log] : T.S.Control.Logs)
    onLinkLost(Log, Host);
}

bool membershipMessage(Turn &T, const HostId &From, const Message &M) {
  MembershipOutputs Out;
  if (!onMessage(T.S.Members, From, M, T.Now, Out))
    return false;
  executeMembershipOutputs(T, std::move(Out));
  return true;
}

void announce(Turn &T, ExchangeId Exchange, const HttpRequest &Request) {
  T.Out.push_back(calls::SendReply{Exchange, announceReply(T, Request)});
}

} // namespace pimento::node
