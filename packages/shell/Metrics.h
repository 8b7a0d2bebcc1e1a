//===- Metrics.h - Metrics in Prometheus format -----------------*- C++ -*-===//
#pragma once

#include "base/Decision.h"

#include <memory>
#include <string>

namespace pimento {

/// Stores counters, gauges and distributions (by Boost.Accumulators).
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void record(const MetricSample &Sample);

  /// Returns all metrics in the Prometheus text format. Distributions are
  /// summaries with the quantiles 0.5, 0.95 and 0.99.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
