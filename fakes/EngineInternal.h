//===- EngineInternal.h - Shared by the model's own files -------*- C++ -*-===//
#pragma once

#include "fakes/EngineModel.h"

namespace pimento::fakes {

/// Takes \p Tokens, pushing idle prefixes out. False where they don't fit.
bool takeMemory(Engine &E, std::uint64_t Tokens);
/// Gives back all that the attempt holds.
void releaseMemory(Engine &E, Attempt &A);
/// Forgets an attempt that nobody reads any more, or leaks it.
void giveUp(Engine &E, const std::string &Id);
/// Takes the attempt out of the batch or the queue.
void stopRunning(Engine &E, Attempt &A);
/// Forgets the attempt at \p At unless a connection comes back to it.
void expireAt(Engine &E, Attempt &A, TimePoint At);
void rememberEnded(Engine &E, const std::string &Id);

} // namespace pimento::fakes
