#include "intake/IntakeAccount.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace pimento {

namespace {

/// Part of the limit that unfinished requests have for themselves.
constexpr std::size_t UnfinishedShare = 8; // One eighth.
/// Reserve beyond the limit, as a part of it.
constexpr std::size_t ReserveShare = 4; // One quarter.
/// A refusal frees this part of what all unfinished requests hold, at least, so
/// that the next bytes do not need another.
constexpr std::size_t FreedShare = 16;

std::size_t wholeBytes(const IntakeAccount &A) {
  return A.HeadBytes + A.OutputBytes + A.StateBytes;
}

std::size_t beyond(std::size_t Bytes, std::size_t Limit) {
  return Bytes > Limit ? Bytes - Limit : 0;
}

std::size_t withReserve(const IntakeAccount &A) {
  return A.LimitBytes == SIZE_MAX ? SIZE_MAX
                                  : A.LimitBytes + A.LimitBytes / ReserveShare;
}

/// Zero for requests larger than half of the largest, one for those larger than
/// a quarter, and so on.
int sizeClass(std::size_t Bytes, std::size_t Largest) {
  int Class = 0;
  for (Largest /= 2; Bytes <= Largest && Largest > 0; Largest /= 2)
    Class += 1;
  return Class;
}

} // namespace

std::size_t connectionBytes(const IntakeAccount &A) {
  return A.UnfinishedBytes + A.OutputBytes;
}

std::size_t totalBytes(const IntakeAccount &A) {
  return A.UnfinishedBytes + wholeBytes(A);
}

std::size_t excessBytes(const IntakeAccount &A) {
  std::size_t Room = std::max(beyond(A.LimitBytes, wholeBytes(A)),
                              A.LimitBytes / UnfinishedShare);
  return beyond(A.UnfinishedBytes, Room);
}

bool hasRoomForWhole(const IntakeAccount &A, std::size_t Bytes) {
  return wholeBytes(A) + Bytes <= withReserve(A);
}

std::size_t excessOutputBytes(const IntakeAccount &A) {
  return std::min(A.OutputBytes, beyond(wholeBytes(A), withReserve(A)));
}

std::vector<std::size_t>
chooseRefused(const std::vector<UnfinishedRequest> &Requests,
              std::size_t Excess, Duration Now) {
  std::size_t Held = 0;
  std::size_t Largest = 0;
  for (const UnfinishedRequest &R : Requests) {
    Held += R.Bytes;
    Largest = std::max(Largest, R.Bytes);
  }
  std::vector<std::size_t> Order(Requests.size());
  std::iota(Order.begin(), Order.end(), std::size_t(0));
  auto Key = [&](std::size_t Index) {
    const UnfinishedRequest &R = Requests[Index];
    bool HasStopped = Now - R.LastBytes >= StoppedAfter;
    return std::make_tuple(sizeClass(R.Bytes, Largest), !HasStopped, -R.Since);
  };
  std::sort(Order.begin(), Order.end(),
            [&](std::size_t A, std::size_t B) { return Key(A) < Key(B); });
  std::vector<std::size_t> Refused;
  std::size_t Freed = 0;
  std::size_t Wanted = std::min(Held, Excess + Held / FreedShare);
  for (std::size_t Index : Order) {
    if (Excess == 0 || Freed >= Wanted)
      break;
    Refused.push_back(Index);
    Freed += Requests[Index].Bytes;
  }
  return Refused;
}

} // namespace pimento
