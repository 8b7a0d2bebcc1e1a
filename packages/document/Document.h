//===- Document.h - The document of one service -----------------*- C++ -*-===//
//
//   DocumentCheck Check = checkDocument(Text);
//   if (!Check.good())
//     for (const DocumentError &E : Check.Errors) ...
//
// Index
//   ServiceDocument    the document as typed fields
//   checkDocument()    reads and checks a text; lists every error at once
//   diffDocuments()    what an edit changes, with the accounts affected
//   findModel() ...    look-ups for a request: model, account, call rule
//
// A service document is the configuration of one service: the client accounts
// that may use it, its models or calls, and its limits. Operators edit it as a
// whole; each edit increments the document's number.
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
constexpr std::size_t MaxDocumentNames = 256; // Entries in one list of names.
constexpr std::size_t MaxDocumentCalls = 256;
constexpr std::size_t MaxDocumentTokens = 16; // Token digests per account.
constexpr std::size_t MaxDocumentIdBytes = 128;
constexpr char ReservedServicePrefix = '~'; // First byte of internal services.
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
  std::vector<std::string> TokenSha256; // Lower-case hexadecimal.
  std::uint32_t Weight = 1;             // Paid priority, from 1 to MaxWeight.
  std::uint32_t MaxWaiting = 0; // Longest queue; zero: the host's setting.
};

/// One model of a model service.
struct ModelEntry {
  ModelName Name;
  std::uint64_t ContextTokens = 0;       // Longest prompt and answer together.
  std::uint32_t Replicas = 0;            // Target count; zero: loaded nowhere.
  std::vector<ModelName> Adapters;       // Further names for requests.
  std::vector<ModelName> Versions;       // Further names for requests.
  std::vector<DataCentreId> DataCentres; // Allowed ones; empty: all.
};

/// Methods allowed below a path of a plain service, and whether calls to it
/// may be retried.
struct CallRule {
  std::string Path;                 // Path prefix without a leading slash.
  std::vector<std::string> Methods; // HTTP methods; at least one.
  bool Repeatable = false; // Whether a call may be sent more than once.
};

struct ServiceDocument {
  std::uint64_t Number = 0; // Version; the first edit makes 1.
  ServiceId Service;
  ServiceKind Kind = ServiceKind::Model;
  Duration DefaultTimeLimit = seconds(60); // For requests without one.
  Duration MaxTimeLimit = minutes(5);      // Cap on the caller's value.
  std::vector<AccountEntry> Accounts;
  std::vector<ModelEntry> Models;      // Empty in plain services.
  std::vector<CallRule> Calls;         // Empty in model services.
  Duration ClaimRetention = hours(24); // Plain services: how long a claim, the
                                       // record of an idempotency key, is
                                       // kept after its call ended.
  double RetryBudget = -1; // Retries as a share of first attempts; negative:
                           // the host's setting.
  std::vector<BackendId> IgnoresFence; // Backend servers that also accept
                                       // orders with outdated fence numbers.
};

/// One violation of the document's schema or limits.
struct DocumentError {
  std::string Path; // Such as "models[2].name"; empty: the whole document.
  std::string Expected;
  std::string Found;
};

/// "models[2].name: expected ..., found ...".
std::string formatError(const DocumentError &E);

struct DocumentCheck {
  ServiceDocument Document; // Valid only if Errors is empty.
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
  std::string Before; // Old value, token digests shortened; empty: absent.
  std::string After;  // New value, token digests shortened; empty: absent.
  AccountId Account;  // Affected client account; empty: all of them.
};

/// Lists the differences between \p Old and \p New: removed and changed paths
/// in the order of their names, then the added ones. Ignores the number.
std::vector<DocumentChange> diffDocuments(const ServiceDocument &Old,
                                          const ServiceDocument &New);

/// "~ accounts.aero.weight: 10 -> 20 (account aero)".
std::string formatChange(const DocumentChange &C);

/// Returns the model whose name, adapters or versions include \p Name, or
/// null.
const ModelEntry *findModel(const ServiceDocument &D, const ModelName &Name);

/// Returns the entry of \p Account, or null if the document does not list it.
const AccountEntry *findAccount(const ServiceDocument &D,
                                const AccountId &Account);

/// Returns the account with the token digest \p TokenSha256, or null.
const AccountEntry *findAccountByToken(const ServiceDocument &D,
                                       std::string_view TokenSha256);

/// Returns the rule with the longest prefix of \p Path that lists \p Method, or
/// null if the service offers no such call.
const CallRule *findCall(const ServiceDocument &D, std::string_view Method,
                         std::string_view Path);

} // namespace pimento
