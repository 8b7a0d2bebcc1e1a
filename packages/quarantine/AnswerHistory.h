//===- AnswerHistory.h - When suspects were last answered -------*- C++ -*-===//
//
//   AnswerHistory H;
//   noteAnswered(H, What, Now, 1);
//   if (std::optional<TimePoint> At = answeredAt(H, What)) ...
//   for (const CountedAnswers &A : recentAnswers(H, What)) ...
//
// Remembers the latest complete answer to a request, and to requests with a
// part, by account and by part alone, and how many there were lately. Takes
// bounded memory: what was not answered for longest is forgotten first.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"
#include "wire/SiteMessages.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pimento {

/// Entries per generation; two generations are kept.
constexpr std::size_t MaxHistoryEntries = 4096;
/// Answers are counted by spans of this length, the latest ones.
constexpr Duration AnswerSpan = seconds(2);
constexpr std::size_t AnswerSpans = 8;
/// Time for which all answers are counted.
constexpr Duration CountedTime = (AnswerSpans - 1) * AnswerSpan;

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

/// Complete answers to one suspect.
struct AnswerTimes {
  TimePoint Latest{};
  std::int64_t Span = 0; // Number of the latest span with an answer.
  std::array<std::uint16_t, AnswerSpans> Counts{}; // By span, in turn.
};

/// Complete answers within a span.
struct CountedAnswers {
  TimePoint Latest{};
  std::uint64_t Count = 0;
};

struct AnswerHistory {
  using Answers = std::unordered_map<HistoryKey, AnswerTimes, HashHistoryKey>;
  Answers Recent; // When it is full, it replaces Older.
  Answers Older;
};

/// Records complete answers, the latest of them at \p At.
void noteAnswered(AnswerHistory &H, const Suspect &What, TimePoint At,
                  std::uint64_t Count);

/// Returns the time of the latest complete answer to a request of the account
/// with the suspect; nothing if none is remembered.
std::optional<TimePoint> answeredAt(const AnswerHistory &H,
                                    const Suspect &What);

/// The same for requests of any account with the part.
std::optional<TimePoint> answeredAt(const AnswerHistory &H, PartId Part);

/// Returns the counted answers of the latest spans, the oldest first.
std::vector<CountedAnswers> recentAnswers(const AnswerHistory &H,
                                          const Suspect &What);

} // namespace pimento
