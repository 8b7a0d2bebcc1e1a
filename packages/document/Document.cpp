#include "document/Document.h"

#include "document/DocumentReader.h"

#include <algorithm>
#include <set>

namespace pimento {

namespace {

constexpr JsonLimits DocumentLimits = {MaxDocumentBytes, /*Depth=*/8,
                                       /*Values=*/1U << 18U};

bool isSha256(const std::string &Text) {
  constexpr std::size_t Digits = 64;
  constexpr const char *Allowed = "0123456789abcdef";
  return Text.size() == Digits &&
         Text.find_first_not_of(Allowed) == std::string::npos;
}

bool isMethod(const std::string &Text) {
  static const std::set<std::string> Known = {"DELETE", "GET",  "HEAD",
                                              "PATCH",  "POST", "PUT"};
  return Known.count(Text) != 0;
}

AccountEntry readAccount(DocumentReader &R, const Json &From) {
  AccountEntry A;
  R.expectKeys(From, {"account", "token_sha256", "weight", "max_waiting"});
  R.id(From, "account", A.Account);
  for (std::string &Digest :
       R.texts(From, "token_sha256", MaxDocumentTokens, /*Least=*/1)) {
    if (!isSha256(Digest))
      R.error("token_sha256", "64 lower-case hexadecimal digits",
              "a text of another form");
    A.TokenSha256.push_back(std::move(Digest));
  }
  A.Weight = R.number(From, "weight", {1, MaxWeight}, A.Weight);
  A.MaxWaiting = R.number(From, "max_waiting", {0, MaxWaitingLimit}, 0);
  return A;
}

ModelEntry readModel(DocumentReader &R, const Json &From) {
  ModelEntry M;
  R.expectKeys(From, {"name", "context_tokens", "replicas", "adapters",
                      "versions", "data_centres"});
  R.id(From, "name", M.Name);
  M.ContextTokens = R.required(From, "context_tokens", {1, MaxContextTokens});
  M.Replicas = static_cast<std::uint32_t>(
      R.required(From, "replicas", {0, MaxReplicas}));
  R.ids(From, "adapters", MaxDocumentNames, M.Adapters);
  R.ids(From, "versions", MaxDocumentNames, M.Versions);
  R.ids(From, "data_centres", MaxDocumentNames, M.DataCentres);
  return M;
}

CallRule readCall(DocumentReader &R, const Json &From) {
  CallRule C;
  R.expectKeys(From, {"path", "methods", "repeatable"});
  C.Path = R.text(From, "path", /*AllowEmpty=*/true);
  if (!C.Path.empty() && C.Path.front() == '/')
    R.error("path", "a prefix without a leading slash", C.Path);
  for (std::string &Method : R.texts(From, "methods", 8, /*Least=*/1)) {
    if (!isMethod(Method))
      R.error("methods", "DELETE, GET, HEAD, PATCH, POST or PUT", Method);
    C.Methods.push_back(std::move(Method));
  }
  C.Repeatable = R.flag(From, "repeatable");
  return C;
}

void readTimeLimit(DocumentReader &R, const Json &From, ServiceDocument &D) {
  const Json *Limit = R.object(From, "time_limit_ms", /*Required=*/true);
  if (!Limit)
    return;
  DocumentReader::Scope Inside(R, "time_limit_ms");
  R.expectKeys(*Limit, {"default", "max"});
  auto Most = static_cast<std::uint64_t>(toMilliseconds(MaxDocumentTimeLimit));
  auto Default = R.required(*Limit, "default", {1, Most});
  auto Max = R.required(*Limit, "max", {1, Most});
  if (Default > Max && Max > 0)
    R.error("default", "at most max, " + std::to_string(Max),
            std::to_string(Default));
  D.DefaultTimeLimit = milliseconds(Default);
  D.MaxTimeLimit = milliseconds(Max);
}

void readKind(DocumentReader &R, const Json &From, ServiceDocument &D) {
  std::string Kind = R.text(From, "kind");
  if (Kind == "plain")
    D.Kind = ServiceKind::Plain;
  else if (!Kind.empty() && Kind != "model")
    R.error("kind", "\"model\" or \"plain\"", Kind);
}

void readModelPart(DocumentReader &R, const Json &From, ServiceDocument &D) {
  R.list(From, "models", {1, MaxDocumentModels}, [&](const Json &Element) {
    D.Models.push_back(readModel(R, Element));
  });
  R.rejectKey(From, "calls", "plain");
  R.rejectKey(From, "claim_retention_hours", "plain");
}

void readPlainPart(DocumentReader &R, const Json &From, ServiceDocument &D) {
  R.list(From, "calls", {1, MaxDocumentCalls},
         [&](const Json &Element) { D.Calls.push_back(readCall(R, Element)); });
  auto Most = std::chrono::duration_cast<hours>(MaxClaimRetention).count();
  D.ClaimRetention = hours(R.number(From, "claim_retention_hours",
                                    {1, static_cast<std::uint64_t>(Most)}, 24));
  R.rejectKey(From, "models", "model");
}

/// Reads the service's name. A name must fit into one segment of a path and
/// must not clash with internal services.
void readService(DocumentReader &R, const Json &From, ServiceDocument &D) {
  R.id(From, "service", D.Service);
  const std::string &Name = D.Service.Value;
  if (Name.find('/') != std::string::npos ||
      (!Name.empty() && Name.front() == ReservedServicePrefix))
    R.error("service", "a name without '/' that does not begin with '~'", Name);
}

void readTop(DocumentReader &R, const Json &From, ServiceDocument &D) {
  R.expectKeys(From, {"number", "service", "kind", "time_limit_ms", "accounts",
                      "models", "calls", "claim_retention_hours",
                      "retry_budget", "ignores_fence"});
  constexpr std::uint64_t MaxNumber = 1ULL << 53U; // Exact in any JSON reader.
  D.Number = R.required(From, "number", {1, MaxNumber});
  readService(R, From, D);
  readKind(R, From, D);
  readTimeLimit(R, From, D);
  R.list(From, "accounts", {0, MaxDocumentAccounts}, [&](const Json &Element) {
    D.Accounts.push_back(readAccount(R, Element));
  });
  if (D.Kind == ServiceKind::Model)
    readModelPart(R, From, D);
  else
    readPlainPart(R, From, D);
  D.RetryBudget = R.share(From, "retry_budget", D.RetryBudget);
  R.ids(From, "ignores_fence", MaxDocumentNames, D.IgnoresFence);
}

/// Reports names used by more than one entry. Called after the whole document
/// is read.
void checkUnique(DocumentReader &R, const ServiceDocument &D) {
  UniqueNames Accounts(R, "accounts", "account");
  UniqueNames Tokens(R, "accounts", "token_sha256");
  for (const AccountEntry &A : D.Accounts) {
    Accounts.add(A.Account.Value);
    for (const std::string &Digest : A.TokenSha256)
      Tokens.add(Digest);
    Accounts.next();
    Tokens.next();
  }
  UniqueNames Names(R, "models", "name");
  for (const ModelEntry &M : D.Models) {
    Names.add(M.Name.Value);
    for (const ModelName &Adapter : M.Adapters)
      Names.add(Adapter.Value);
    for (const ModelName &Version : M.Versions)
      Names.add(Version.Value);
    Names.next();
  }
  UniqueNames Calls(R, "calls", "path");
  for (const CallRule &C : D.Calls) {
    for (const std::string &Method : C.Methods)
      Calls.add(Method + " " + C.Path);
    Calls.next();
  }
}

bool hasPrefix(std::string_view Path, std::string_view Prefix) {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Prefix.empty() || Prefix.back() == '/' ||
         Path.size() == Prefix.size() || Path[Prefix.size()] == '/';
}

template <class T> bool contains(const std::vector<T> &List, const T &Item) {
  return std::find(List.begin(), List.end(), Item) != List.end();
}

} // namespace

std::string formatError(const DocumentError &E) {
  std::string Where = E.Path.empty() ? "document" : E.Path;
  return Where + ": expected " + E.Expected + ", found " + E.Found;
}

DocumentCheck checkDocument(std::string_view Text) {
  DocumentCheck Check;
  DocumentReader R(Check.Errors);
  Failure Why;
  Json Parsed = valueOr<Json>([&] { return parseJson(Text, DocumentLimits); },
                              Json(), Why);
  if (!Why.Detail.empty()) {
    R.error("", "a JSON document within limits", Why.Detail);
    return Check;
  }
  if (!Parsed.is_object()) {
    R.error("", "an object", Parsed.type_name());
    return Check;
  }
  readTop(R, Parsed, Check.Document);
  checkUnique(R, Check.Document);
  return Check;
}

const ModelEntry *findModel(const ServiceDocument &D, const ModelName &Name) {
  for (const ModelEntry &M : D.Models) {
    if (M.Name == Name || contains(M.Adapters, Name) ||
        contains(M.Versions, Name))
      return &M;
  }
  return nullptr;
}

const AccountEntry *findAccount(const ServiceDocument &D,
                                const AccountId &Account) {
  for (const AccountEntry &A : D.Accounts) {
    if (A.Account == Account)
      return &A;
  }
  return nullptr;
}

const AccountEntry *findAccountByToken(const ServiceDocument &D,
                                       std::string_view TokenSha256) {
  for (const AccountEntry &A : D.Accounts) {
    for (const std::string &Digest : A.TokenSha256) {
      if (Digest == TokenSha256)
        return &A;
    }
  }
  return nullptr;
}

const CallRule *findCall(const ServiceDocument &D, std::string_view Method,
                         std::string_view Path) {
  const CallRule *Best = nullptr;
  for (const CallRule &C : D.Calls) {
    if (!hasPrefix(Path, C.Path) || !contains(C.Methods, std::string(Method)))
      continue;
    if (!Best || C.Path.size() > Best->Path.size())
      Best = &C;
  }
  return Best;
}

} // namespace pimento
