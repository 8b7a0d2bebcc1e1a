//===- Document.h - The document of one service -----------------*- C++ -*-===//
//
//   DocumentCheck Check = checkDocument(Text);
//   if (!Check.good())
//     for (const DocumentError &E : Check.Errors) ...
//
// Index
//   ServiceDocument    the document as typed fields
//   checkDocument()    reads and checks a text; lists every error at once
//   diffDocuments()    what an edit changes, and for whom
//   findModel() ...    questions that a request asks of a document
//
// docs/operators/documents.md describes the JSON form. Unknown keys are
// refused, so that a misspelt key never silently falls back to a default.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

// Limits of one document.
constexpr std::size_t MaxDocumentBytes = 2U << 20U;
constexpr std::size_t MaxDocumentAccounts = 10000;
constexpr std::size_t MaxDocumentModels = 64;
constexpr std::size_t MaxDocumentNames = 256; // Adapters, versions, of a model.
constexpr std::size_t MaxDocumentCalls = 256;
constexpr std::size_t MaxDocumentTokens = 16; // Digests of one account.
constexpr std::size_t MaxDocumentIdBytes = 128;
constexpr char ReservedServicePrefix = '~';    // Names of the system's own.
constexpr std::size_t MaxDocumentErrors = 200; // Further ones are dropped.
constexpr std::uint64_t MaxContextTokens = 1U << 24U;
constexpr std::uint32_t MaxReplicas = 100000;
constexpr std::uint32_t MaxWeight = 100;
constexpr std::uint32_t MaxWaitingLimit = 1000000;
constexpr Duration MaxDocumentTimeLimit = hours(24);
constexpr Duration MaxClaimRetention = hours(24 * 90);

enum class ServiceKind : std::uint8_t { Model, Plain };

/// One client account that may use the service.
struct AccountEntry {
  AccountId Account;
  std::vector<std::string> TokenSha256; // Digests, lower-case hexadecimal.
  std::uint32_t Weight = 1;             // Paid priority, 1 to MaxWeight.
  std::uint32_t MaxWaiting = 0; // Requests waiting; zero: the host's limit.
};

/// One model of a model service.
struct ModelEntry {
  ModelName Name;
  std::uint64_t ContextTokens = 0;       // Longest prompt and answer together.
  std::uint32_t Replicas = 0;            // Wanted; zero: loaded nowhere.
  std::vector<ModelName> Adapters;       // Names that requests may use.
  std::vector<ModelName> Versions;       // Names that requests may use.
  std::vector<DataCentreId> DataCentres; // Empty: anywhere.
};

/// How calls below a path of a plain service are treated.
struct CallRule {
  std::string Path;                 // Prefix without a leading slash.
  std::vector<std::string> Methods; // Such as "POST"; at least one.
  bool Repeatable = false;          // Whether it may be sent a second time.
};

struct ServiceDocument {
  std::uint64_t Number = 0; // The first is 1.
  ServiceId Service;
  ServiceKind Kind = ServiceKind::Model;
  Duration DefaultTimeLimit = seconds(60); // Where the caller states none.
  Duration MaxTimeLimit = minutes(5);      // Whatever the caller states.
  std::vector<AccountEntry> Accounts;
  std::vector<ModelEntry> Models;      // Model services only.
  std::vector<CallRule> Calls;         // Plain services only.
  Duration ClaimRetention = hours(24); // Plain services only.
  double RetryBudget = -1; // Share of first tries; below zero: the host's.
  std::vector<BackendId> IgnoresFence; // Take orders with old numbers.
};

/// One thing that is wrong with a document.
struct DocumentError {
  std::string Path; // Such as "models[2].name"; empty: the whole text.
  std::string Expected;
  std::string Found;
};

/// "models[2].name: expected ..., found ...".
std::string formatError(const DocumentError &E);

struct DocumentCheck {
  ServiceDocument Document; // Only to be used where there is no error.
  std::vector<DocumentError> Errors;

  bool good() const { return Errors.empty(); }
};

/// Reads and checks \p Text. Never throws; lists every error at once.
DocumentCheck checkDocument(std::string_view Text);

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

/// One effect of an edit.
struct DocumentChange {
  ChangeKind Kind = ChangeKind::Changed;
  std::string Path;   // Such as "accounts.aero.weight".
  std::string Before; // Empty: was absent. Token digests are shortened.
  std::string After;  // Empty: is absent now.
  AccountId Account;  // Whom it touches; empty: everyone.
};

/// What changes from \p Old to \p New, in the order of the document. The
/// number itself is left out.
std::vector<DocumentChange> diffDocuments(const ServiceDocument &Old,
                                          const ServiceDocument &New);

/// "~ accounts.aero.weight: 10 -> 20 (account aero)".
std::string formatChange(const DocumentChange &C);

/// The model that offers \p Name as itself, an adapter or a version; null
/// where none does.
const ModelEntry *findModel(const ServiceDocument &D, const ModelName &Name);

/// The account; null where the document does not list it.
const AccountEntry *findAccount(const ServiceDocument &D,
                                const AccountId &Account);

/// The account that a token's digest belongs to; null for none.
const AccountEntry *findAccountByToken(const ServiceDocument &D,
                                       std::string_view TokenSha256);

/// The rule with the longest prefix of \p Path that lists \p Method; null
/// where the service offers no such call.
const CallRule *findCall(const ServiceDocument &D, std::string_view Method,
                         std::string_view Path);

} // namespace pimento
