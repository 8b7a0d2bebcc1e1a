#include "document/Document.h"

#include <map>
#include <set>

namespace pimento {

namespace {

constexpr std::size_t ShownDigits = 8; // Leading digits of a token digest.

/// One value of a document as text, and the account that it affects; an empty
/// account stands for all.
struct Item {
  std::string Value;
  AccountId Account;
};
using Items = std::map<std::string, Item>;

template <class List, class F> std::string joined(const List &Texts, F &&Show) {
  std::set<std::string> Sorted;
  for (const auto &Text : Texts)
    Sorted.insert(Show(Text));
  std::string Line;
  for (const std::string &Text : Sorted)
    Line += (Line.empty() ? "" : ", ") + Text;
  return Line.empty() ? "none" : Line;
}

template <class Id> std::string names(const std::vector<Id> &Ids) {
  return joined(Ids, [](const Id &Name) { return Name.Value; });
}

std::string millis(Duration D) {
  return std::to_string(toMilliseconds(D)) + " ms";
}

void addAccounts(const ServiceDocument &D, Items &Into) {
  for (const AccountEntry &A : D.Accounts) {
    std::string Path = "accounts." + A.Account.Value;
    Into[Path + ".weight"] = {std::to_string(A.Weight), A.Account};
    if (A.MaxWaiting != 0)
      Into[Path + ".max_waiting"] = {std::to_string(A.MaxWaiting), A.Account};
    Into[Path + ".token_sha256"] = {joined(A.TokenSha256,
                                           [](const std::string &Digest) {
                                             return Digest.substr(0,
                                                                  ShownDigits);
                                           }),
                                    A.Account};
  }
}

void addModels(const ServiceDocument &D, Items &Into) {
  for (const ModelEntry &M : D.Models) {
    std::string Path = "models." + M.Name.Value;
    Into[Path + ".context_tokens"] = {std::to_string(M.ContextTokens), {}};
    Into[Path + ".replicas"] = {std::to_string(M.Replicas), {}};
    Into[Path + ".adapters"] = {names(M.Adapters), {}};
    Into[Path + ".versions"] = {names(M.Versions), {}};
    if (!M.DataCentres.empty())
      Into[Path + ".data_centres"] = {names(M.DataCentres), {}};
  }
}

void addCalls(const ServiceDocument &D, Items &Into) {
  for (const CallRule &C : D.Calls) {
    for (const std::string &Method : C.Methods)
      Into["calls." + Method + " " + C.Path] = {
          C.Repeatable ? "repeatable" : "at most once", {}};
  }
  if (D.Kind == ServiceKind::Plain)
    Into["claim_retention_hours"] = {
        std::to_string(
            std::chrono::duration_cast<hours>(D.ClaimRetention).count()),
        {}};
}

Items itemsOf(const ServiceDocument &D) {
  Items All;
  All["kind"] = {D.Kind == ServiceKind::Model ? "model" : "plain", {}};
  All["time_limit_ms.default"] = {millis(D.DefaultTimeLimit), {}};
  All["time_limit_ms.max"] = {millis(D.MaxTimeLimit), {}};
  if (D.RetryBudget >= 0)
    All["retry_budget"] = {std::to_string(D.RetryBudget), {}};
  All["ignores_fence"] = {names(D.IgnoresFence), {}};
  addAccounts(D, All);
  addModels(D, All);
  addCalls(D, All);
  return All;
}

} // namespace

std::vector<DocumentChange> diffDocuments(const ServiceDocument &Old,
                                          const ServiceDocument &New) {
  Items Before = itemsOf(Old);
  Items After = itemsOf(New);
  std::vector<DocumentChange> Changes;
  for (const auto &[Path, Was] : Before) {
    auto Is = After.find(Path);
    if (Is == After.end())
      Changes.push_back(
          {ChangeKind::Removed, Path, Was.Value, "", Was.Account});
    else if (Is->second.Value != Was.Value)
      Changes.push_back({ChangeKind::Changed, Path, Was.Value, Is->second.Value,
                         Was.Account});
  }
  for (const auto &[Path, Is] : After) {
    if (Before.count(Path) == 0)
      Changes.push_back({ChangeKind::Added, Path, "", Is.Value, Is.Account});
  }
  return Changes;
}

std::string formatChange(const DocumentChange &C) {
  std::string Affected =
      C.Account.empty() ? "everyone" : "account " + C.Account.Value;
  switch (C.Kind) {
  case ChangeKind::Added:
    return "+ " + C.Path + ": " + C.After + " (" + Affected + ")";
  case ChangeKind::Removed:
    return "- " + C.Path + ": " + C.Before + " (" + Affected + ")";
  case ChangeKind::Changed:
    break;
  }
  return "~ " + C.Path + ": " + C.Before + " -> " + C.After + " (" + Affected +
         ")";
}

} // namespace pimento
