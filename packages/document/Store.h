//===- Store.h - Accepted documents and their history -----------*- C++ -*-===//
//
// The state machine that the replicated log applies. Every replica applies the
// same commands in the same order and so holds the same bytes.
//
//   PutDocumentOutcome O = apply(S, Command);
//   switch (O.Result) {
//   case Code::Ok:               // Accepted, now or by an earlier send.
//   case Code::DocumentConflict: // O.Number is the current number.
//   case Code::EditIdReused:     // The id came before with another text.
//
// Index
//   PutDocumentCommand   what the log carries; encodeCommand(), decodeCommand()
//   Store                documents by service, history, answers to edit ids
//   apply()              the only way to change a Store
//   currentDocument() .. questions
//   encodeStore() ...    snapshots
//
// What is kept, for each service: the newest text; older texts while
// MaxHistoryTexts and MaxHistoryBytes allow; number, edit id and time of the
// last MaxHistoryVersions edits; the answer to each edit id for at least
// MinAnswerAge and for the last MinAnswers edits, unless more than MaxAnswers
// came since. Refusals are remembered as well, so that a late duplicate of an
// edit that heard "conflict" is never applied when its number comes up. An
// accepted edit is never applied twice in any case: its number has passed.
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

constexpr std::size_t MaxHistoryTexts = 32;         // Of one service.
constexpr std::size_t MaxHistoryVersions = 512;     // Of one service.
constexpr std::size_t MaxHistoryBytes = 32U << 20U; // Of all services.
constexpr std::size_t MaxAnswers = 20000;           // Of one service.
constexpr std::size_t MinAnswers = 256;             // Of one service.
constexpr Duration MinAnswerAge = hours(24);
constexpr std::size_t MaxEditIdBytes = 256;
constexpr std::size_t MaxServices = 10000;
constexpr std::size_t MaxSnapshotBytes = 256U << 20U;

/// An edit that passed checkDocument(), on its way through the log.
struct PutDocumentCommand {
  ServiceId Service;
  std::uint64_t Number = 0;       // That the edit makes; as in its text.
  std::string EditId;             // Empty: the text's digest serves.
  std::string Text;               // JSON
  Duration At = Duration::zero(); // Leader's wall clock, since 1970.
};

struct PutDocumentOutcome {
  Code Result = Code::Ok;     // Ok, DocumentConflict, EditIdReused, Overloaded.
  std::uint64_t Number = 0;   // Accepted, or the current one of a conflict.
  std::uint64_t Revision = 0; // Of an accepted edit; zero: refused.
  bool Repeated = false;      // The answer to an earlier send of this edit.
};

/// One accepted edit.
struct StoredVersion {
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0; // Position among the edits of all services.
  std::string EditId;
  std::string TextSha256;
  Duration At = Duration::zero(); // Since 1970.
  std::string Text;               // Empty: dropped from the history.
};

/// The answer that an edit id heard.
struct RecordedAnswer {
  std::string EditId;
  std::string TextSha256;
  Code Result = Code::Ok;
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0;
  Duration At = Duration::zero(); // Since 1970.
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
  Duration Clock = Duration::zero(); // Latest time of a command.
};

/// Applies one command. Deterministic; never checks the schema, so that
/// replicas of different versions agree.
PutDocumentOutcome apply(Store &S, const PutDocumentCommand &C);

/// The current version; null where the service has no document.
const StoredVersion *currentDocument(const Store &S, const ServiceId &Service);

/// Edits of \p Service, oldest first; empty where it has no document.
std::vector<StoredVersion> history(const Store &S, const ServiceId &Service);

/// The number that \p Service had once every edit up to \p Revision was in
/// force; zero for none, or where the history no longer reaches that far.
std::uint64_t numberAt(const Store &S, const ServiceId &Service,
                       std::uint64_t Revision);

/// The edit id that serves where an operator gave none.
std::string defaultEditId(std::string_view Text);

std::string encodeCommand(const PutDocumentCommand &C);
/// Fails with WireMalformed or WireTooLarge.
Result<PutDocumentCommand> decodeCommand(std::string_view Bytes);

/// The whole store, for a snapshot of the log.
std::string encodeStore(const Store &S);
/// Fails with WireMalformed, WireTooLarge or WireVersion.
Result<Store> decodeStore(std::string_view Bytes);

} // namespace pimento
