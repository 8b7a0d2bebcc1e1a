//===- IntakeAccount.h - Memory for callers, and who is refused -*- C++ -*-===//
//
// Load: crowds of callers that send requests and never end them, or read no
// answers, until the process is out of memory. Each listener of a process
// charges what its connections hold to one account. Once it is full, unfinished
// requests are refused until it has some room again.
//
// 1. IntakeAccount   the sums, and the questions to them
// 2. chooseRefused   which unfinished requests go
//
// Whole requests and answers are others' decisions: admission bounds the
// bodies, and flow control the streams. Unfinished requests have a part of the
// account for themselves, so that ordinary short requests are read while whole
// ones fill the rest.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <vector>

namespace pimento {

/// Bytes that the connections of one process hold.
struct IntakeAccount {
  std::size_t LimitBytes = SIZE_MAX;
  std::size_t UnfinishedBytes = 0; // Of requests that are being read.
  std::size_t HeadBytes = 0;       // Heads of whole requests, until answered.
  std::size_t OutputBytes = 0;     // Answers that are not written yet.
  std::size_t StateBytes = 0;      // Bodies and answers in the host's state.
};

/// Of unfinished requests and of answers.
std::size_t connectionBytes(const IntakeAccount &A);
std::size_t totalBytes(const IntakeAccount &A);
/// Bytes of unfinished requests beyond the room for them; 0: none.
std::size_t excessBytes(const IntakeAccount &A);
/// Whether there is room for a whole request that takes \p Bytes. There is a
/// reserve beyond the limit: the host's admission refuses long requests at the
/// limit itself, which leaves the reserve to short ones.
bool hasRoomForWhole(const IntakeAccount &A, std::size_t Bytes);
/// Bytes of answers that must be given up, since nothing else can be; 0: none.
std::size_t excessOutputBytes(const IntakeAccount &A);

/// A request that is being read.
struct UnfinishedRequest {
  std::size_t Bytes = 0;
  Duration Since = Duration::zero();     // Time of its first byte.
  Duration LastBytes = Duration::zero(); // Time of the latest bytes.
};

/// A request of which nothing has come for this time has stopped.
constexpr Duration StoppedAfter = seconds(1);

/// Returns the indices of requests to refuse so that \p Excess bytes and some
/// more become free: large ones first, and of those of like size the ones that
/// have stopped, then those that began last, because those that began first are
/// the next to be whole. Short requests stay as long as there are large ones.
std::vector<std::size_t>
chooseRefused(const std::vector<UnfinishedRequest> &Requests,
              std::size_t Excess, Duration Now);

} // namespace pimento
