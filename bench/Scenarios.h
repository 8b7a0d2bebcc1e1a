//===- Scenarios.h - Scenarios of the policy benchmark ----------*- C++ -*-===//
#pragma once

#include "Report.h"

#include <string>

namespace pimento::bench {

struct Options {
  bool Quick = false; // Runs fewer and shorter scenarios.
  std::string Only;   // Substring of the scenario names; empty: all.
  std::uint64_t Seed = 7;
};

/// Whether the options select the scenario.
inline bool wanted(const Options &O, const std::string &Name) {
  return Name.find(O.Only) != std::string::npos;
}

/// Compares the scheduler with the baselines on both sites, at every load, with
/// steady and bursty arrivals.
void runLoads(const Options &O, Report &R);
/// Injects faults one at a time and all together; checks that memory is
/// released and requests are answered.
void runFaults(const Options &O, Report &R);
/// Compares the accounts' shares with their weights while all have a backlog.
void runShares(const Options &O, Report &R);
/// Measures the effect on other accounts when one account sends twenty times
/// its share.
void runFlood(const Options &O, Report &R);
/// Measures the processor time and message bytes of a scheduling decision.
void runCost(const Options &O, Report &R);
/// Prints the best throughput of every policy under a backlog.
void printCapacity(const Options &O);

} // namespace pimento::bench
