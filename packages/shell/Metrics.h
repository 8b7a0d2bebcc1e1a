//===- Metrics.h - Samples as Prometheus text -------------------*- C++ -*-===//
#pragma once

#include "base/Decision.h"

#include <memory>
#include <string>

namespace pimento {

/// Keeps counters, gauges and, by Boost.Accumulators, distributions.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void record(const MetricSample &Sample);

  /// The Prometheus text format. Distributions come as summaries with the
  /// quantiles 0.5, 0.95 and 0.99.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
