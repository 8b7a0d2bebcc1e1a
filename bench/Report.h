//===- Report.h - Table, JSON file and bounds -------------------*- C++ -*-===//
#pragma once

#include "Figures.h"

#include <string>
#include <vector>

namespace pimento::bench {

/// One figure that a stated target bounds.
struct Bound {
  std::string Name; // "pamoja-80-steady short slowdown p95"
  double Value = 0;
  double Limit = 0;     // From the target.
  bool AtLeast = false; // The value must not be below it, else not above.
  std::string Beside;   // The physical limit or another figure, for people.
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
/// Writes everything; false where the file cannot be written.
bool writeJson(const Report &R, const std::string &Path);

/// Bounds that do not hold and are not named in the file of known ones, a
/// line "bound: NAME" each, or "full bound: NAME" for what only the full run
/// misses. Prints all that do not hold.
std::size_t newMisses(const Report &R, const std::string &KnownPath,
                      bool Quick);

} // namespace pimento::bench
