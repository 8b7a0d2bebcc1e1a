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

std::uint64_t keyOf(const AccountId &Account, PartId Part) {
  constexpr std::uint64_t Odd = 0xC2B2AE3D27D4EB4FULL;
  return spread(Part) ^ (std::hash<AccountId>()(Account) * Odd + 1);
}

std::optional<TimePoint> find(const AnswerHistory &H, std::uint64_t Key) {
  auto Recent = H.Recent.find(Key);
  if (Recent != H.Recent.end())
    return Recent->second;
  auto Older = H.Older.find(Key);
  if (Older != H.Older.end())
    return Older->second;
  return std::nullopt;
}

void note(AnswerHistory &H, std::uint64_t Key, TimePoint At) {
  if (H.Recent.size() >= MaxHistoryEntries) {
    H.Older = std::move(H.Recent);
    H.Recent.clear();
  }
  TimePoint Known = find(H, Key).value_or(At);
  H.Recent[Key] = std::max(Known, At);
}

} // namespace

void noteAnswered(AnswerHistory &H, const AccountId &Account, PartId Part,
                  TimePoint At) {
  note(H, keyOf(Account, Part), At);
  note(H, spread(Part), At);
}

std::optional<TimePoint> answeredAt(const AnswerHistory &H,
                                    const AccountId &Account, PartId Part) {
  return find(H, keyOf(Account, Part));
}

std::optional<TimePoint> answeredAt(const AnswerHistory &H, PartId Part) {
  return find(H, spread(Part));
}

} // namespace pimento
