// Operators' requests: edits, documents, their history, the versions in force
// on each host, and status.

#include "node/Turn.h"

#include "base/Json.h"
#include "base/Problem.h"
#include "base/Token.h"

#include <algorithm>

namespace pimento::node {

namespace {

constexpr Duration EditTimeout = seconds(8);
constexpr Duration EditResendInterval = milliseconds(300);
constexpr Duration QueryTimeout = seconds(2);
constexpr Duration QueryResendInterval = milliseconds(400);
constexpr std::string_view ServicesPrefix = "/v1/services/";

void answer(Turn &T, ExchangeId Exchange, HttpReply Reply) {
  T.Out.push_back(calls::SendReply{Exchange, std::move(Reply)});
}

void answerProblem(Turn &T, ExchangeId Exchange, Code Number,
                   std::string Detail = "") {
  Problem P;
  P.Number = Number;
  P.Detail = std::move(Detail);
  if (Number == Code::NoLeader || Number == Code::EditUnknown)
    P.RetryAfter = seconds(1);
  answer(T, Exchange, problemReply(P));
}

bool authorized(const Turn &T, const HttpRequest &Request) {
  std::string Header(headerValue(Request.Headers, "Authorization"));
  std::string Digest = sha256Hex(bearerToken(Header.c_str()));
  return equalConstantTime(Digest, T.S.Config.Security.OperatorTokenSha256);
}

//===----------------------------------------------------------------------===//
// Edits
//===----------------------------------------------------------------------===//

void answerInvalid(Turn &T, ExchangeId Exchange,
                   const std::vector<DocumentError> &Errors) {
  Problem P;
  P.Number = Code::DocumentInvalid;
  P.Detail = std::to_string(Errors.size()) + " errors";
  HttpReply Reply = problemReply(P);
  Json Body = Json::parse(Reply.Body);
  for (const DocumentError &Error : Errors)
    Body["errors"].push_back({{"path", Error.Path},
                              {"expected", Error.Expected},
                              {"found", Error.Found}});
  Reply.Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  answer(T, Exchange, std::move(Reply));
}

void sendEdit(Turn &T, OperatorWait &Wait) {
  ++Wait.Sends;
  Wait.NextSend = T.Now + EditResendInterval;
  sendToLeader(T, ControlGroup, Wait.Edit);
}

void putDocument(Turn &T, const OperatorRequest &E, const ServiceId &Service) {
  DocumentCheck Check = checkDocument(E.Request.Body);
  if (Check.good() && Check.Document.Service != Service)
    Check.Errors.push_back(
        {"service", "the service of the path", Check.Document.Service.Value});
  if (!Check.good()) {
    answerInvalid(T, E.Exchange, Check.Errors);
    return;
  }
  OperatorWait Wait;
  Wait.Exchange = E.Exchange;
  Wait.Service = Service;
  Wait.Until = T.Now + EditTimeout;
  Wait.Edit.Sequence = T.S.NextSequence++;
  Wait.Edit.Service = Service;
  Wait.Edit.Number = Check.Document.Number;
  Wait.Edit.EditId = headerValue(E.Request.Headers, "Idempotency-Key");
  if (Wait.Edit.EditId.empty())
    Wait.Edit.EditId = defaultEditId(E.Request.Body);
  Wait.Edit.Text.Data = E.Request.Body;
  std::uint64_t Sequence = Wait.Edit.Sequence;
  OperatorWait &Kept = T.S.Operators[Sequence] = std::move(Wait);
  sendEdit(T, Kept);
}

void answerEdit(Turn &T, const OperatorWait &Wait, const PutDocumentReply &R) {
  if (R.Result == Code::Ok) {
    Json Body = {{"number", R.Number}, {"outcome", "accepted"}};
    answer(T, Wait.Exchange, jsonReply(200, Body.dump() + "\n"));
    return;
  }
  Problem P;
  P.Number = R.Result;
  if (R.Result != Code::DocumentConflict) {
    answerProblem(T, Wait.Exchange, R.Result);
    return;
  }
  P.Detail = "the current number is " + std::to_string(R.Number);
  HttpReply Reply = problemReply(P);
  Json Body = Json::parse(Reply.Body);
  Body["number"] = R.Number;
  Reply.Body = Body.dump() + "\n";
  answer(T, Wait.Exchange, std::move(Reply));
}

/// Handles the reply to an edit. A reply from a leader that lost its term, or
/// from a host without a leader, is not final: the edit is resent under the
/// same id until its outcome is known.
void onEditReply(Turn &T, const PutDocumentReply &R) {
  auto Found = T.S.Operators.find(R.Sequence);
  if (Found == T.S.Operators.end())
    return;
  OperatorWait &Wait = Found->second;
  if (R.Result == Code::NoLeader) {
    ++Wait.Refusals;
    return;
  }
  if (R.Result == Code::EditUnknown)
    return;
  answerEdit(T, Wait, R);
  T.S.Operators.erase(Found);
}

//===----------------------------------------------------------------------===//
// Queries
//===----------------------------------------------------------------------===//

void getDocument(Turn &T, ExchangeId Exchange, const ServiceId &Service) {
  const HeldDocument *Held = documentInForce(T.S.Spread, Service);
  if (!Held) {
    answerProblem(T, Exchange, Code::UnknownService);
    return;
  }
  answer(T, Exchange, jsonReply(200, Held->Text));
}

HistoryReply historyOf(const Store &Documents, const HistoryRequest &R) {
  HistoryReply Reply;
  Reply.Sequence = R.Sequence;
  for (const StoredVersion &Version : history(Documents, R.Service)) {
    HistoryItem Item;
    Item.Number = Version.Number;
    Item.Revision = Version.Revision;
    Item.EditId = Version.EditId;
    Item.TextSha256 = Version.TextSha256;
    Item.At = Version.At;
    Item.HasText = !Version.Text.empty();
    Reply.Items.push_back(std::move(Item));
  }
  return Reply;
}

void sendQuery(Turn &T, std::uint64_t Sequence, OperatorWait &Wait) {
  Wait.NextSend = T.Now + QueryResendInterval;
  HistoryRequest R;
  R.Sequence = Sequence;
  R.Service = Wait.Service;
  if (!T.S.Control.Logs.empty())
    Wait.History = historyOf(T.S.Control.Documents, R);
  else
    sendToLeader(T, ControlGroup, R);
}

Json historyJson(const HistoryReply &History) {
  Json Versions = Json::array();
  for (const HistoryItem &Item : History.Items)
    Versions.push_back({{"number", Item.Number},
                        {"edit_id", Item.EditId},
                        {"text_sha256", Item.TextSha256},
                        {"at_ms", toMilliseconds(Item.At)},
                        {"text_kept", Item.HasText}});
  return Versions;
}

std::uint64_t numberAt(const HistoryReply &History, std::uint64_t Revision) {
  std::uint64_t Number = 0;
  for (const HistoryItem &Item : History.Items) {
    if (Item.Revision <= Revision)
      Number = Item.Number;
  }
  return Number;
}

Json inForceJson(const NodeState &S, const OperatorWait &Wait) {
  Json Hosts = Json::array();
  const std::vector<HostId> &Names = S.Spread.Config.Hosts;
  std::vector<bool> Answered(Names.size(), false);
  for (const HostInForce &Host : Wait.Answer->Hosts) {
    if (Host.Host >= Names.size())
      continue;
    Answered[Host.Host] = true;
    Hosts.push_back({{"host", Names[Host.Host].Value},
                     {"number", numberAt(*Wait.History, Host.Revision)},
                     {"serving", Host.Serving},
                     {"age_ms", toMilliseconds(Host.Age)}});
  }
  for (std::size_t I = 0; I < Names.size(); ++I) {
    if (!Answered[I])
      Hosts.push_back({{"host", Names[I].Value}, {"number", nullptr}});
  }
  return Hosts;
}

/// Replies to the operator where all results have arrived or the deadline has
/// passed. True where it replied.
bool answerQueryIfDone(Turn &T, const OperatorWait &Wait) {
  bool Late = T.Now >= Wait.Until;
  bool NeedsHosts = Wait.Kind == OperatorWaitKind::InForce;
  if (Wait.History && (!NeedsHosts || Wait.Answer)) {
    Json Body = {{"service", Wait.Service.Value}};
    if (NeedsHosts)
      Body["hosts"] = inForceJson(T.S, Wait);
    else
      Body["versions"] = historyJson(*Wait.History);
    answer(T, Wait.Exchange, jsonReply(200, Body.dump() + "\n"));
    return true;
  }
  if (!Late)
    return false;
  answerProblem(T, Wait.Exchange, Code::ControlUnavailable,
                "no control host answered");
  return true;
}

void startQuery(Turn &T, ExchangeId Exchange, const ServiceId &Service,
                OperatorWaitKind Kind) {
  std::uint64_t Sequence = T.S.NextSequence++;
  OperatorWait &Wait = T.S.Operators[Sequence];
  Wait.Kind = Kind;
  Wait.Exchange = Exchange;
  Wait.Service = Service;
  Wait.Until = T.Now + QueryTimeout;
  sendQuery(T, Sequence, Wait);
  if (Kind == OperatorWaitKind::InForce) {
    SpreadOutputs Out;
    Wait.Query = queryInForce(T.S.Spread, QueryTimeout / 2, T.Now, Out);
    executeSpreadOutputs(T, std::move(Out));
  }
  if (T.S.Operators.count(Sequence) && answerQueryIfDone(T, Wait))
    T.S.Operators.erase(Sequence);
}

//===----------------------------------------------------------------------===//
// Routes
//===----------------------------------------------------------------------===//

/// The resource below a service: "document", "history" or "in-force".
void serviceRequest(Turn &T, const OperatorRequest &E) {
  std::string_view Rest(E.Request.Path);
  Rest.remove_prefix(ServicesPrefix.size());
  std::size_t Slash = Rest.find('/');
  if (Slash == std::string_view::npos || Slash == 0) {
    answerProblem(T, E.Exchange, Code::NotFound);
    return;
  }
  ServiceId Service{std::string(Rest.substr(0, Slash))};
  std::string_view Resource = Rest.substr(Slash + 1);
  bool Get = E.Request.Method == HttpMethod::Get;
  if (Resource == "document" && E.Request.Method == HttpMethod::Put)
    putDocument(T, E, Service);
  else if (Resource == "document" && Get)
    getDocument(T, E.Exchange, Service);
  else if (Resource == "history" && Get)
    startQuery(T, E.Exchange, Service, OperatorWaitKind::History);
  else if (Resource == "in-force" && Get)
    startQuery(T, E.Exchange, Service, OperatorWaitKind::InForce);
  else
    answerProblem(T, E.Exchange, Get ? Code::NotFound : Code::MethodNotAllowed);
}

void plainRequest(Turn &T, const OperatorRequest &E) {
  const std::string &Path = E.Request.Path;
  if (E.Request.Method != HttpMethod::Get)
    answerProblem(T, E.Exchange, Code::MethodNotAllowed);
  else if (Path == "/v1/status")
    answer(T, E.Exchange, jsonReply(200, statusText(T.S, T.Now)));
  else if (Path == "/v1/hosts")
    answer(T, E.Exchange, jsonReply(200, hostsText(T.S, T.Now)));
  else if (Path == "/v1/backends")
    answer(T, E.Exchange, jsonReply(200, backendsText(T.S)));
  else
    answerProblem(T, E.Exchange, Code::NotFound);
}

} // namespace

void operatorRequest(Turn &T, const OperatorRequest &E) {
  if (!authorized(T, E.Request))
    answerProblem(T, E.Exchange, Code::Unauthorized);
  else if (E.Request.Path.compare(0, ServicesPrefix.size(), ServicesPrefix) ==
           0)
    serviceRequest(T, E);
  else
    plainRequest(T, E);
}

void operatorLeft(Turn &T, ExchangeId Exchange) {
  for (auto It = T.S.Operators.begin(); It != T.S.Operators.end(); ++It) {
    if (It->second.Exchange != Exchange)
      continue;
    T.S.Operators.erase(It);
    return;
  }
}

bool operatorMessage(Turn &T, const Message &M) {
  if (const auto *Edit = std::get_if<PutDocumentReply>(&M)) {
    onEditReply(T, *Edit);
    return true;
  }
  const auto *History = std::get_if<HistoryReply>(&M);
  if (!History)
    return false;
  auto Found = T.S.Operators.find(History->Sequence);
  if (Found == T.S.Operators.end())
    return true;
  Found->second.History = *History;
  if (answerQueryIfDone(T, Found->second))
    T.S.Operators.erase(Found);
  return true;
}

void inForceAnswered(Turn &T, const InForceAnswer &Answer) {
  for (auto It = T.S.Operators.begin(); It != T.S.Operators.end(); ++It) {
    if (It->second.Query != Answer.Query)
      continue;
    It->second.Answer = Answer;
    if (answerQueryIfDone(T, It->second))
      T.S.Operators.erase(It);
    return;
  }
}

bool historyRequested(Turn &T, const HostId &From, const HistoryRequest &M) {
  if (!T.S.Control.Logs.empty())
    send(T, From, historyOf(T.S.Control.Documents, M));
  return true;
}

void tickOperators(Turn &T) {
  for (auto It = T.S.Operators.begin(); It != T.S.Operators.end();) {
    OperatorWait &Wait = It->second;
    bool Edit = Wait.Kind == OperatorWaitKind::Edit;
    bool Settled = !Edit && answerQueryIfDone(T, Wait);
    if (Edit && T.Now >= Wait.Until) {
      bool AllRefused = Wait.Refusals >= Wait.Sends;
      answerProblem(T, Wait.Exchange,
                    AllRefused ? Code::NoLeader : Code::EditUnknown);
      Settled = true;
    }
    if (Settled) {
      It = T.S.Operators.erase(It);
      continue;
    }
    if (Edit && T.Now >= Wait.NextSend)
      sendEdit(T, Wait);
    else if (!Edit && !Wait.History && T.Now >= Wait.NextSend)
      sendQuery(T, It->first, Wait);
    ++It;
  }
}

} // namespace pimento::node
