// Documents in force on this host, and the state derived from them: the
// directory that requests are checked against, and the cell table.

#include "node/Turn.h"

namespace pimento::node {

namespace {

CellTable readTable(Turn &T, const std::string &Text) {
  Failure Why;
  CellTable Table =
      valueOr<CellTable>([&] { return decodeCellTable(Text); }, T.S.Cells, Why);
  if (!Why.Detail.empty())
    T.Out.push_back(LogDecision{{"cells_unreadable", {}, Why.Detail, {}}});
  return Table;
}

calls::ServiceRule ruleOf(const ServiceDocument &D) {
  calls::ServiceRule Rule;
  for (const AccountEntry &Account : D.Accounts)
    Rule.Weights[Account.Account] = Account.Weight;
  for (const CallRule &Call : D.Calls) {
    calls::CallRule Plain;
    Plain.Path = Call.Path;
    Plain.Methods = Call.Methods;
    Plain.Repeatable = Call.Repeatable;
    Rule.Calls.push_back(std::move(Plain));
  }
  Rule.DefaultTimeLimit = D.DefaultTimeLimit;
  Rule.MaxTimeLimit = D.MaxTimeLimit;
  Rule.Retention = D.ClaimRetention;
  Rule.RetryShare = D.RetryBudget;
  return Rule;
}

void addModel(NodeState &S, const ServiceDocument &D, const ModelEntry &Model,
              const ModelName &Name) {
  calls::ModelRule Rule;
  Rule.Service = D.Service;
  Rule.ContextTokens = Model.ContextTokens;
  S.CallsDirectory.Models[Name].push_back(Rule);
  S.BaseModels[Name] = Model.Name;
}

void addDocument(NodeState &S, const ServiceDocument &D) {
  S.CallsDirectory.Services[D.Service] = ruleOf(D);
  for (const AccountEntry &Account : D.Accounts) {
    for (const std::string &Digest : Account.TokenSha256)
      S.CallsDirectory.Tokens[Digest][D.Service] = Account.Account;
  }
  for (const ModelEntry &Model : D.Models) {
    addModel(S, D, Model, Model.Name);
    for (const ModelName &Name : Model.Adapters)
      addModel(S, D, Model, Name);
    for (const ModelName &Name : Model.Versions)
      addModel(S, D, Model, Name);
  }
}

void rebuildDirectory(NodeState &S) {
  S.CallsDirectory.Tokens.clear();
  S.CallsDirectory.Models.clear();
  S.CallsDirectory.Services.clear();
  S.BaseModels.clear();
  for (const auto &[Service, Document] : S.Documents)
    addDocument(S, Document);
}

/// Puts a document in force. Its text was checked before it was accepted, but a
/// host of an older version may be unable to read it; such a host keeps the
/// previous document and logs the error.
bool applyDocument(Turn &T, const HeldDocument &Held) {
  DocumentCheck Check = checkDocument(Held.Text);
  DecisionRecord D;
  D.Kind = Check.good() ? "document_in_force" : "document_unreadable";
  D.add("service", Held.Service.Value)
      .add("number", static_cast<std::int64_t>(Held.Number));
  if (Check.good())
    T.S.Documents[Held.Service] = std::move(Check.Document);
  else
    D.Reason = formatError(Check.Errors.front());
  T.Out.push_back(LogDecision{std::move(D)});
  return Check.good();
}

void applyDocumentsInForce(Turn &T, const std::vector<ServiceId> &Services) {
  bool Documents = false;
  bool Cells = false;
  for (const ServiceId &Service : Services) {
    const HeldDocument *Held = documentInForce(T.S.Spread, Service);
    if (!Held)
      continue;
    if (Service.Value == CellTableService) {
      T.S.Cells = readTable(T, Held->Text);
      Cells = true;
    } else {
      Documents = applyDocument(T, *Held) || Documents;
    }
  }
  if (Documents)
    rebuildDirectory(T.S);
  if (Cells || Documents)
    applyCellTable(T);
}

} // namespace

void executeSpreadOutputs(Turn &T, SpreadOutputs Out) {
  sendAll(T, std::move(Out.Messages));
  logAll(T, std::move(Out.Decisions));
  applyDocumentsInForce(T, Out.InForce);
  for (const InForceAnswer &Answer : Out.Answers)
    inForceAnswered(T, Answer);
  if (Out.Accepted != 0)
    answerAcceptedEdits(T);
}

void tickDocuments(Turn &T) {
  if (T.Now < nextDeadline(T.S.Spread))
    return;
  SpreadOutputs Out;
  onTick(T.S.Spread, T.Now, Out);
  executeSpreadOutputs(T, std::move(Out));
}

bool documentMessage(Turn &T, const HostId &From, const Message &M) {
  SpreadOutputs Out;
  if (!onMessage(T.S.Spread, From, M, T.Now, Out))
    return false;
  executeSpreadOutputs(T, std::move(Out));
  return true;
}

void refreshServers(NodeState &S) {
  S.CallsDirectory.Servers.clear();
  for (const BackendRecord *Record : allBackends(S.Members)) {
    if (Record->Kind != BackendKind::Plain ||
        Record->Status != BackendStatus::Serving)
      continue;
    S.CallsDirectory.Servers[Record->Service].push_back(
        {Record->Id, Record->Incarnation, Record->Address, Record->DataCentre});
  }
}

} // namespace pimento::node
