//===- Scenarios.h - What the bench runs ------------------------*- C++ -*-===//
#pragma once

#include "Report.h"

#include <string>

namespace pimento::bench {

struct Options {
  bool Quick = false; // Fewer scenarios, shorter ones.
  std::string Only;   // Scenarios whose name contains it; empty: all.
  std::uint64_t Seed = 7;
};

/// Whether the options ask for the scenario.
inline bool wanted(const Options &O, const std::string &Name) {
  return Name.find(O.Only) != std::string::npos;
}

/// Both sites at every load, steady and in bursts, against the baselines.
void runLoads(const Options &O, Report &R);
/// What breaks, one at a time and all together: memory and answers.
void runFaults(const Options &O, Report &R);
/// All accounts with a backlog: shares against weights.
void runShares(const Options &O, Report &R);
/// One account sends twenty times its share: what it costs the others.
void runFlood(const Options &O, Report &R);
/// Processor time and bytes of a decision.
void runCost(const Options &O, Report &R);
/// Prints the best throughput of every policy under a backlog.
void printCapacity(const Options &O);

} // namespace pimento::bench
