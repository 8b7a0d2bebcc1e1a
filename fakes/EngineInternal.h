//===- EngineInternal.h - Shared by the model's own files -------*- C++ -*-===//
#pragma once

#include "fakes/EngineModel.h"

namespace pimento::fakes {

/// Takes \p Tokens and evicts idle prefixes if needed. False if out of memory.
bool takeMemory(Engine &E, std::uint64_t Tokens);
/// Frees all memory that the attempt holds.
void releaseMemory(Engine &E, Attempt &A);
/// Removes an attempt without readers, or leaks its memory if so configured.
void giveUp(Engine &E, const std::string &Id);
/// Removes the attempt from the batch or the queue.
void stopRunning(Engine &E, Attempt &A);
/// Sets the expiry time of the attempt to \p At and, if that is earlier, also
/// the engine's next expiry. advance() then gives the attempt up, unless a
/// connection has resumed it and so cleared the time.
void expireAt(Engine &E, Attempt &A, TimePoint At);
void rememberEnded(Engine &E, const std::string &Id);

} // namespace pimento::fakes
