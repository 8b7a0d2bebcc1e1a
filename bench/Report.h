//===- Report.h - Table, JSON file and bounds -------------------*- C++ -*-===//
#pragma once

#include "Figures.h"

#include <string>
#include <vector>

namespace pimento::bench {

/// One figure with the target that limits it.
struct Bound {
  std::string Name; // "pamoja-80-steady short slowdown p95"
  double Value = 0;
  double Limit = 0;     // From the target.
  bool AtLeast = false; // Limit is a minimum, otherwise a maximum.
  std::string Beside;   // Printed for comparison: physical limit or a figure.
};
bool holds(const Bound &B);

/// One policy under one load.
struct PolicyRow {
  std::string Scenario;
  std::string Policy;
  Figures F;
  Slowdown Slow;
};

struct Report {
  std::vector<PolicyRow> Rows;
  std::vector<Bound> Bounds;
};

void printRows(const std::vector<PolicyRow> &Rows);
void printBounds(const std::vector<Bound> &Bounds);
/// Writes rows and bounds; returns false if the file cannot be written.
bool writeJson(const Report &R, const std::string &Path);

/// Counts the missed bounds that the file at \p KnownPath does not list. The
/// file has a line "bound: NAME" for each known miss, or "full bound: NAME" for
/// one that only the full run misses. Prints every missed bound.
std::size_t newMisses(const Report &R, const std::string &KnownPath,
                      bool Quick);

} // namespace pimento::bench
