//===- Store.h - Accepted documents and their history -----------*- C++ -*-===//
//
// The state machine of the replicated log for documents. Every replica applies
// the same commands in the same order and so holds identical bytes.
//
//   PutDocumentOutcome O = apply(S, Command);
//   switch (O.Result) {
//   case Code::Ok:               // Accepted, now or by an earlier attempt.
//   case Code::DocumentConflict: // O.Number is the current number.
//   case Code::EditIdReused:     // The id was used before with another text.
//
// Index
//   PutDocumentCommand   payload of a log entry; encodeCommand() ...
//   Store                documents by service, history, outcomes by edit id
//   apply()              the only way to change a Store
//   currentDocument() .. queries
//   encodeStore() ...    snapshots
//
// The store keeps for each service: the newest text; older texts within
// MaxHistoryTexts and MaxHistoryBytes; number, edit id and time of the last
// MaxHistoryVersions edits; the answer to each edit id for at least
// MinAnswerAge and for the last MinAnswers edits, unless more than MaxAnswers
// followed. Refusals are kept as well, so that a late duplicate of an edit that
// was answered with a conflict is not applied once its number is next. An
// accepted edit is never applied twice, since its number is no longer the next
// one.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

constexpr std::size_t MaxHistoryTexts = 32;         // Per service.
constexpr std::size_t MaxHistoryVersions = 512;     // Per service.
constexpr std::size_t MaxHistoryBytes = 32U << 20U; // All services together.
constexpr std::size_t MaxAnswers = 20000;           // Per service.
constexpr std::size_t MinAnswers = 256;             // Per service.
constexpr Duration MinAnswerAge = hours(24);
constexpr std::size_t MaxEditIdBytes = 256;
constexpr std::size_t MaxServices = 10000;
constexpr std::size_t MaxSnapshotBytes = 256U << 20U;

/// An edit that passed checkDocument(), as stored in the replicated log.
struct PutDocumentCommand {
  ServiceId Service;
  std::uint64_t Number = 0;       // New number, the same as in Text.
  std::string EditId;             // Empty: defaultEditId(Text) is used.
  std::string Text;               // JSON
  Duration At = Duration::zero(); // Leader's wall clock, since 1970.
};

struct PutDocumentOutcome {
  Code Result = Code::Ok;     // Ok, DocumentConflict, EditIdReused, Overloaded.
  std::uint64_t Number = 0;   // Accepted number; after a conflict: current one.
  std::uint64_t Revision = 0; // Revision of an accepted edit; zero: refused.
  bool Repeated = false;      // Recorded answer to an earlier attempt.
};

/// One accepted edit.
struct StoredVersion {
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0; // Position among the edits of all services.
  std::string EditId;
  std::string TextSha256;
  Duration At = Duration::zero(); // Time of acceptance, since 1970.
  std::string Text;               // Empty: dropped from the history.
};

/// The outcome recorded for an edit id.
struct RecordedAnswer {
  std::string EditId;
  std::string TextSha256;
  Code Result = Code::Ok;
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0;
  Duration At = Duration::zero(); // Time of the outcome, since 1970.
};

struct ServiceHistory {
  std::vector<StoredVersion> Versions; // Oldest first; the last is current.
  std::deque<RecordedAnswer> Answers;  // Oldest first.
  std::map<std::string, std::uint64_t> AnswerIndex; // Edit id to position.
  std::uint64_t AnswersDropped = 0; // Position of Answers.front().
};

struct Store {
  std::map<ServiceId, ServiceHistory> Services;
  std::uint64_t Revision = 0;        // Edits accepted so far, of all services.
  Duration Clock = Duration::zero(); // Latest time of any command applied.
};

/// Applies one command. Deterministic. Does not check the document's schema, so
/// that replicas of different software versions agree.
PutDocumentOutcome apply(Store &S, const PutDocumentCommand &C);

/// Returns the current version, or null if the service has no document.
const StoredVersion *currentDocument(const Store &S, const ServiceId &Service);

/// Returns the kept versions of \p Service, oldest first.
std::vector<StoredVersion> history(const Store &S, const ServiceId &Service);

/// Returns the number that the document of \p Service had at \p Revision. Zero
/// if there was none or if the history no longer reaches back that far.
std::uint64_t numberAt(const Store &S, const ServiceId &Service,
                       std::uint64_t Revision);

/// Edit id of an edit without one: the text's SHA-256 digest.
std::string defaultEditId(std::string_view Text);

std::string encodeCommand(const PutDocumentCommand &C);
/// Fails with WireMalformed or WireTooLarge.
Result<PutDocumentCommand> decodeCommand(std::string_view Bytes);

/// Encodes the whole store for a snapshot of the log.
std::string encodeStore(const Store &S);
/// Fails with WireMalformed, WireTooLarge or WireVersion.
Result<Store> decodeStore(std::string_view Bytes);

} // namespace pimento
