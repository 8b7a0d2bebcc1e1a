//===- AnswerHistory.h - When parts of prompts were last answered -*- C++
//-*-===//
//
//   AnswerHistory H;
//   noteAnswered(H, Account, Part, Now);
//   if (std::optional<TimePoint> At = answeredAt(H, Account, Part)) ...
//
// Remembers the latest complete answer to a request with a part, by account and
// by part alone. Takes bounded memory: the parts that were not answered for
// longest are forgotten first.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace pimento {

/// Entries per generation; two generations are kept.
constexpr std::size_t MaxHistoryEntries = 4096;

struct AnswerHistory {
  /// By hash of account and part. When Recent is full, it replaces Older.
  std::unordered_map<std::uint64_t, TimePoint> Recent;
  std::unordered_map<std::uint64_t, TimePoint> Older;
};

/// Records a complete answer; an earlier time than the known one is ignored.
void noteAnswered(AnswerHistory &H, const AccountId &Account, PartId Part,
                  TimePoint At);

/// Returns the time of the latest complete answer to a request of the account
/// with the part; nothing if none is remembered.
std::optional<TimePoint> answeredAt(const AnswerHistory &H,
                                    const AccountId &Account, PartId Part);

/// The same for requests of any account.
std::optional<TimePoint> answeredAt(const AnswerHistory &H, PartId Part);

} // namespace pimento
