//===- Figures.h - Figures computed from a run ------------------*- C++ -*-===//
#pragma once

#include "Simulation.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace pimento::bench {

/// Earlier arrivals are excluded, as the scheduler is still learning the rates.
constexpr Duration WarmUp = seconds(60);

/// Quantile \p Share of the samples; zero without samples.
double quantile(std::vector<double> Samples, double Share);

/// Jain's index of fairness: 1 where all values are equal.
double jainIndex(const std::vector<double> &Values);

/// Figures of one class of prompt lengths. Times in seconds.
struct ClassFigures {
  std::size_t Requests = 0;
  std::size_t Finished = 0; // Finished in time.
  std::size_t Refused = 0;  // Refused at once.
  std::size_t Dropped = 0;  // Admitted, then refused while waiting.
  std::size_t Missed = 0;   // Time limit passed or no attempt was left.
  double First50 = 0;       // Time to first token; the time limit if missed.
  double First95 = 0;
  double First99 = 0;
  double Total95 = 0;
};

struct Figures {
  std::array<ClassFigures, LengthClasses> Classes;
  std::map<std::string, std::size_t> Refusals; // Refusals by code.
  std::size_t Avoidable = 0;  // Refused although the fleet had room for them.
  double Goodput = 0;         // Engine seconds of work finished per second.
  double SavedShare = 0;      // Share of prompt tokens found in caches.
  double SlowestRefusal = 0;  // Seconds until the refusal reached the caller.
  std::size_t Unanswered = 0; // Without a final response at the time limit.
  std::size_t AnsweredTwice = 0;
};

Figures figuresOf(const RunResult &R, const Site &S,
                  const std::vector<Arrival> &Arrivals, Duration Length);

/// Quantiles of the total time of short requests, each divided by its time in a
/// run with short requests only.
struct Slowdown {
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
  double First95 = 0; // Slowdown of the time to first token, p95.
};
Slowdown slowdownOf(const RunResult &Shared, const RunResult &Alone,
                    const std::vector<Arrival> &Arrivals);

/// The arrivals of short requests only, in order.
std::vector<Arrival> shortOnly(const std::vector<Arrival> &Arrivals);

} // namespace pimento::bench
