//===- Quantiles.h - Quantiles of measured durations ------------*- C++ -*-===//
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pimento::bench {

/// Quantile \p Share of the samples; zero without samples.
inline Duration quantile(std::vector<Duration> Samples, double Share) {
  if (Samples.empty())
    return Duration::zero();
  auto Last = static_cast<double>(Samples.size() - 1);
  auto Index = static_cast<std::ptrdiff_t>(std::lround(Last * Share));
  std::nth_element(Samples.begin(), Samples.begin() + Index, Samples.end());
  return Samples[static_cast<std::size_t>(Index)];
}

} // namespace pimento::bench
