#include "quarantine/AnswerHistory.h"

#include <algorithm>

namespace pimento {

namespace {

/// Spreads the bits of a part's id, since ids may be small numbers.
std::uint64_t spread(PartId Part) {
  constexpr std::uint64_t Odd = 0x9E3779B97F4A7C15ULL;
  std::uint64_t Bits = (static_cast<std::uint64_t>(Part) + 1) * Odd;
  return Bits ^ (Bits >> 31U);
}

HistoryKey keyOf(PartId Part) { return {spread(Part), 0}; }

HistoryKey keyOf(const Suspect &What) {
  if (What.isRequest())
    return {What.Request.Hi, What.Request.Lo};
  constexpr std::uint64_t Odd = 0xC2B2AE3D27D4EB4FULL;
  return {spread(What.Part) ^ (std::hash<AccountId>()(What.Account) * Odd + 1),
          0};
}

constexpr auto SpanCount = static_cast<std::int64_t>(AnswerSpans);

const AnswerTimes *find(const AnswerHistory &H, const HistoryKey &Key) {
  auto Recent = H.Recent.find(Key);
  if (Recent != H.Recent.end())
    return &Recent->second;
  auto Older = H.Older.find(Key);
  return Older == H.Older.end() ? nullptr : &Older->second;
}

std::optional<TimePoint> latest(const AnswerHistory &H, const HistoryKey &Key) {
  const AnswerTimes *Known = find(H, Key);
  return Known == nullptr ? std::nullopt : std::optional(Known->Latest);
}

std::uint16_t &countOf(AnswerTimes &Times, std::int64_t Span) {
  return Times.Counts[static_cast<std::size_t>(Span % SpanCount)];
}

/// Makes room for a later span.
void advance(AnswerTimes &Times, std::int64_t Span) {
  std::int64_t First = std::max(Times.Span + 1, Span - SpanCount + 1);
  for (std::int64_t I = First; I <= Span; ++I)
    countOf(Times, I) = 0;
  Times.Span = std::max(Times.Span, Span);
}

void note(AnswerHistory &H, const HistoryKey &Key, TimePoint At,
          std::uint64_t Count) {
  if (H.Recent.size() >= MaxHistoryEntries) {
    H.Older = std::move(H.Recent);
    H.Recent.clear();
  }
  auto [It, IsNew] = H.Recent.try_emplace(Key);
  AnswerTimes &Times = It->second;
  auto Older = H.Older.find(Key);
  if (IsNew && Older != H.Older.end())
    Times = Older->second;
  Times.Latest = std::max(Times.Latest, At);
  std::int64_t Span = At.time_since_epoch() / AnswerSpan;
  advance(Times, Span);
  if (Span <= Times.Span - SpanCount)
    return;
  constexpr std::uint64_t MaxCount = 0xFFFF;
  std::uint16_t &Counted = countOf(Times, Span);
  Counted = static_cast<std::uint16_t>(std::min(MaxCount, Counted + Count));
}

} // namespace

void noteAnswered(AnswerHistory &H, const Suspect &What, TimePoint At,
                  std::uint64_t Count) {
  note(H, keyOf(What), At, Count);
  if (!What.isRequest())
    note(H, keyOf(What.Part), At, Count);
}

std::optional<TimePoint> answeredAt(const AnswerHistory &H,
                                    const Suspect &What) {
  return latest(H, keyOf(What));
}

std::optional<TimePoint> answeredAt(const AnswerHistory &H, PartId Part) {
  return latest(H, keyOf(Part));
}

std::vector<CountedAnswers> recentAnswers(const AnswerHistory &H,
                                          const Suspect &What) {
  std::vector<CountedAnswers> List;
  const AnswerTimes *Known = find(H, keyOf(What));
  if (Known == nullptr)
    return List;
  AnswerTimes Times = *Known;
  for (std::int64_t Span = Times.Span - SpanCount + 1; Span <= Times.Span;
       ++Span) {
    std::uint64_t Count = countOf(Times, Span);
    TimePoint End = TimePoint((Span + 1) * AnswerSpan);
    if (Count > 0)
      List.push_back({std::min(End, Times.Latest), Count});
  }
  return List;
}

} // namespace pimento
