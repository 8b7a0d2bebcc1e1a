//===- LoopTurns.h - How often an event loop was woken ----------*- C++ -*-===//
#pragma once

#include <cstdint>

namespace pimento::test {

/// Descriptors that the system reported as ready to the event loops of this
/// program, in all turns. A loop that only waits for its timers adds none; one
/// that is woken for what nobody handles adds one in each turn.
std::uint64_t readyDescriptors();

} // namespace pimento::test
