//===- Figures.h - What a run is judged by ----------------------*- C++ -*-===//
#pragma once

#include "Simulation.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace pimento::bench {

/// Arrivals before this are left out: rates are being learned.
constexpr Duration WarmUp = seconds(60);

/// The value that \p Share of the samples do not pass; zero without samples.
double quantile(std::vector<double> Samples, double Share);

/// Jain's index of fairness: 1 where all values are equal.
double jainIndex(const std::vector<double> &Values);

/// One class of prompt length. Times in seconds.
struct ClassFigures {
  std::size_t Requests = 0;
  std::size_t Finished = 0; // In time.
  std::size_t Refused = 0;  // At once.
  std::size_t Dropped = 0;  // Admitted, then refused while it waited.
  std::size_t Missed = 0;   // Its limit passed, or no try was left.
  double First50 = 0; // To the first token; a missed one counts its limit.
  double First95 = 0;
  double First99 = 0;
  double Total95 = 0;
};

struct Figures {
  std::array<ClassFigures, LengthClasses> Classes;
  std::map<std::string, std::size_t> Refusals; // By code.
  std::size_t Avoidable = 0;  // Refused though the fleet had room after all.
  double Goodput = 0;         // Engine seconds of work finished, a second.
  double SavedShare = 0;      // Of prompt tokens, found in caches.
  double SlowestRefusal = 0;  // Seconds until a refused one heard so.
  std::size_t Unanswered = 0; // Without a final answer at their limit.
  std::size_t AnsweredTwice = 0;
};

Figures figuresOf(const RunResult &R, const Site &S,
                  const std::vector<Arrival> &Arrivals, Duration Length);

/// Total time of each short request, by its time in the run without others.
struct Slowdown {
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
  double First95 = 0; // Of the time to first token.
};
Slowdown slowdownOf(const RunResult &Shared, const RunResult &Alone,
                    const std::vector<Arrival> &Arrivals);

/// The arrivals of short requests only, in order.
std::vector<Arrival> shortOnly(const std::vector<Arrival> &Arrivals);

} // namespace pimento::bench
