#include "schedule/Rates.h"

#include <algorithm>
#include <cmath>

namespace pimento {

namespace {

/// Priors of a cell before its first request has ended.
constexpr double PriorPrefill = 8000;     // Tokens per second.
constexpr double PriorStepSeconds = 0.03; // Seconds per output token.
constexpr double PriorOutputTokens = 256;
// Slowdown of decode steps by long prefills.
constexpr double PriorBulkFactor = 1.3;

} // namespace

void learn(Estimate &E, double Observed, double Share) {
  const double Part = std::max(Share, 1 / (E.Samples + 1));
  const double Error = Observed - E.Mean;
  E.Mean += Part * Error;
  E.Deviation += Part * (std::abs(Observed - E.Mean) - E.Deviation);
  E.Samples += 1;
}

void relax(Estimate &E, double Towards, double Share) {
  E.Mean += Share * (Towards - E.Mean);
  E.Deviation -= Share * E.Deviation;
}

CellRates initialRates() {
  CellRates R;
  R.Prefill.Mean = PriorPrefill;
  R.StepSeconds.Mean = PriorStepSeconds;
  R.LaneStep[0].Mean = PriorStepSeconds;
  R.LaneStep[1].Mean = PriorStepSeconds * PriorBulkFactor;
  for (Estimate &E : R.OutputTokens)
    E.Mean = PriorOutputTokens;
  for (Estimate &E : R.DecodeSeconds)
    E.Mean = PriorStepSeconds;
  return R;
}

double prefillRate(const CellRates &Cell, const EngineRates &E) {
  return E.Prefill.Samples < TrustedSamples ? Cell.Prefill.Mean
                                            : E.Prefill.Mean;
}

double stepSeconds(const CellRates &Cell, const EngineRates &E) {
  return E.StepSeconds.Samples < TrustedSamples ? Cell.StepSeconds.Mean
                                                : E.StepSeconds.Mean;
}

} // namespace pimento
