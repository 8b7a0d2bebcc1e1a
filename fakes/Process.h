//===- Process.h - Start and stop of the fake servers -----------*- C++ -*-===//
#pragma once

#include "fakes/Libevent.h"

#include <functional>
#include <string>
#include <vector>

namespace pimento::fakes {

/// Splits a comma-separated list; empty parts are skipped.
std::vector<std::string> splitList(const std::string &Text);

/// Runs the loop until it is stopped. The first SIGTERM or SIGINT calls
/// \p OnStop, the second one stops the loop at once.
void runUntilStopped(event_base *Base, std::function<void()> OnStop);

} // namespace pimento::fakes
