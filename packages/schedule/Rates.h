//===- Rates.h - Rates learned from outcomes --------------------*- C++ -*-===//
//
// The speed of engines is not configured. Prefill and decode rates are learned
// from first tokens and progress reports. The estimates over all engines of a
// cell serve as the prior for each of them.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"
#include "schedule/Queue.h"

#include <array>

namespace pimento {

/// An exponentially weighted moving average with its mean deviation.
struct Estimate {
  double Mean = 0;
  double Deviation = 0;
  double Samples = 0; // Zero: no observation yet, Mean is the prior.
};

/// Adds one observation with weight \p Share; the first few observations weigh
/// more.
void learn(Estimate &E, double Observed, double Share);

/// Moves the mean by \p Share towards a default value. Without this, an
/// outdated high estimate could refuse all requests and thus never be corrected
/// by a new observation.
void relax(Estimate &E, double Towards, double Share);

/// Returns a value that few observations exceed.
inline double cautious(const Estimate &E) { return E.Mean + 2 * E.Deviation; }

/// Observations after which an estimate replaces the prior.
constexpr double TrustedSamples = 3;
inline bool isLearned(const Estimate &E) { return E.Samples >= TrustedSamples; }

/// Learned speed of one engine.
struct EngineRates {
  Estimate Prefill;     // Prompt tokens per second during prefill.
  Estimate StepSeconds; // Seconds between two output tokens of one attempt.
};

/// Estimates over all engines of the cell.
struct CellRates {
  Estimate Prefill;                 // Prior of engines.
  Estimate StepSeconds;             // Prior of engines.
  std::array<Estimate, 2> LaneStep; // Seconds per output token at engines of
                                    // the short lane and of the bulk lane.
  // Generated tokens per request, by class.
  std::array<Estimate, LengthClasses> OutputTokens;
  // Seconds to first token beyond the forecast, by class.
  std::array<Estimate, LengthClasses> FirstTokenDelay;
  // Seconds per output token, by class.
  std::array<Estimate, LengthClasses> DecodeSeconds;
};

CellRates initialRates();

/// Returns the engine's rate, or the cell's until the engine has enough
/// observations.
double prefillRate(const CellRates &Cell, const EngineRates &E);
double stepSeconds(const CellRates &Cell, const EngineRates &E);

} // namespace pimento
