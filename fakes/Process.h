//===- Process.h - What both programs do at start and stop ------*- C++ -*-===//
#pragma once

#include "fakes/Libevent.h"

#include <functional>
#include <string>
#include <vector>

namespace pimento::fakes {

/// The parts of a comma list; empty parts are left out.
std::vector<std::string> splitList(const std::string &Text);

/// Runs the loop until something breaks it; the first SIGTERM or SIGINT calls
/// \p OnStop, the second one ends it at once.
void runUntilStopped(event_base *Base, std::function<void()> OnStop);

} // namespace pimento::fakes
