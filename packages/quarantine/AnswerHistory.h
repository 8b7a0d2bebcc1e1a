//===- AnswerHistory.h - When suspects were last answered -------*- C++ -*-===//
//
//   AnswerHistory H;
//   noteAnswered(H, What, Now);
//   if (std::optional<TimePoint> At = answeredAt(H, What)) ...
//
// Remembers the latest complete answer to a request, and to requests with a
// part, by account and by part alone. Takes bounded memory: what was not
// answered for longest is forgotten first.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"
#include "wire/SiteMessages.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace pimento {

/// Entries per generation; two generations are kept.
constexpr std::size_t MaxHistoryEntries = 4096;

struct HistoryKey {
  std::uint64_t Hi = 0; // Hash of account and part, or the request's digest.
  std::uint64_t Lo = 0; // Rest of the digest; zero for parts.

  friend bool operator==(const HistoryKey &A, const HistoryKey &B) {
    return A.Hi == B.Hi && A.Lo == B.Lo;
  }
};

struct HashHistoryKey {
  std::size_t operator()(const HistoryKey &Key) const { return Key.Hi; }
};

struct AnswerHistory {
  using Answers = std::unordered_map<HistoryKey, TimePoint, HashHistoryKey>;
  Answers Recent; // When it is full, it replaces Older.
  Answers Older;
};

/// Records a complete answer; an earlier time than the known one is ignored.
void noteAnswered(AnswerHistory &H, const Suspect &What, TimePoint At);

/// Returns the time of the latest complete answer to a request of the account
/// with the suspect; nothing if none is remembered.
std::optional<TimePoint> answeredAt(const AnswerHistory &H,
                                    const Suspect &What);

/// The same for requests of any account with the part.
std::optional<TimePoint> answeredAt(const AnswerHistory &H, PartId Part);

} // namespace pimento
