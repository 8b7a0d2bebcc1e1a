#include "schedule/CellInternal.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::uint32_t FailuresToEject = 3; // Consecutive failures.
// Overdue attempts without any success in between.
constexpr std::uint32_t OverdueToEject = 3;
// Share of the median prefill rate below which an engine is ejected.
constexpr double SlowRatio = 0.25;
constexpr double SlowSamples = 8;
// An attempt without a first token is overdue after this multiple of the
// forecast time, plus OverdueSlack.
constexpr double OverdueFactor = 4;
constexpr Duration OverdueSlack = seconds(2);
// Time without a token after which a stream is overdue.
constexpr Duration SilentAfter = seconds(5);
constexpr Duration FirstEjection = seconds(5);
constexpr std::uint32_t MaxDoublings = 4;
// Allowance at which a warming engine becomes Serving.
constexpr std::uint32_t WarmAllowance = 16;
/// Largest share of the engines that may be ejected at a time.
constexpr double EjectedShare = 1.0 / 3;

bool mayEject(const CellState &S) {
  std::size_t Ejected = 1;
  for (const auto &[Id, E] : S.Engines)
    Ejected += E.Health.State == HealthState::Ejected ? 1 : 0;
  return static_cast<double>(Ejected) <=
         EjectedShare * static_cast<double>(S.Engines.size());
}

/// Ejects an engine. If too many engines are ejected already, the engine keeps
/// serving and warms up anew.
void eject(CellState &S, Engine &E, const char *Why, TimePoint Now,
           CellEffects &Out) {
  if (E.Health.State == HealthState::Ejected)
    return;
  const bool LimitReached = !mayEject(S);
  DecisionRecord D{LimitReached ? "keep" : "eject", {}, Why, {}};
  D.add("backend", E.Record.Id.Value);
  D.add("failures", static_cast<std::int64_t>(E.Health.Failures));
  D.add("overdue", static_cast<std::int64_t>(E.Health.Overdue));
  E.Health.Failures = 0;
  E.Health.Overdue = 0;
  E.Health.Allowance = 1;
  if (LimitReached) {
    E.Health.State = HealthState::Warming;
  } else {
    const std::uint32_t Doublings = std::min(E.Health.Ejections, MaxDoublings);
    E.Health.State = HealthState::Ejected;
    E.Health.Until = Now + FirstEjection * (1U << Doublings);
    ++E.Health.Ejections;
    D.add("until_ms", toMilliseconds(E.Health.Until - Now));
    if (!E.Reserved.Request.empty())
      dropReservation(S, AttemptId(E.Reserved));
    Out.Samples.push_back(counter("pimento_ejections_total"));
  }
  Out.Decisions.push_back(std::move(D));
}

void readmit(Engine &E, TimePoint Now, CellEffects &Out) {
  if (E.Health.State != HealthState::Ejected || Now < E.Health.Until)
    return;
  E.Health.State = HealthState::Warming;
  E.Health.Allowance = 1;
  E.Rates = {};
  DecisionRecord D{"readmit", {}, "the ejection has expired", {}};
  D.add("backend", E.Record.Id.Value);
  Out.Decisions.push_back(std::move(D));
}

double medianRate(const CellState &S) {
  std::vector<double> Rates;
  for (const auto &[Id, E] : S.Engines)
    if (E.Rates.Prefill.Samples >= SlowSamples)
      Rates.push_back(E.Rates.Prefill.Mean);
  if (Rates.size() < 3)
    return 0;
  std::nth_element(Rates.begin(), Rates.begin() + Rates.size() / 2,
                   Rates.end());
  return Rates[Rates.size() / 2];
}

bool overdue(const CellState &S, const LiveGrant &G, TimePoint Now) {
  if (G.FirstTokenSeen)
    return Now - G.ProgressAt > SilentAfter;
  const double Delay =
      std::max(0.0, cautious(S.Rates.FirstTokenDelay[classIndex(G.Class)]));
  const Duration Limit =
      fromSeconds(OverdueFactor * (Delay + toSeconds(G.PredictedFirst))) +
      OverdueSlack;
  return Now - G.ProgressAt > Limit;
}

} // namespace

void noteSuccess(Engine &E) {
  E.Health.Failures = 0;
  E.Health.Overdue = 0;
  if (E.Health.State != HealthState::Warming)
    return;
  E.Health.Allowance *= 2;
  if (E.Health.Allowance < WarmAllowance)
    return;
  E.Health.State = HealthState::Serving;
  E.Health.Ejections = 0;
}

void noteFailure(CellState &S, Engine &E, const char *Why, TimePoint Now,
                 CellEffects &Out) {
  ++E.Health.Failures;
  // A readmitted engine is ejected again by its first failure.
  const bool Readmitted =
      E.Health.State == HealthState::Warming && E.Health.Ejections > 0;
  if (E.Health.Failures >= FailuresToEject || Readmitted)
    eject(S, E, Why, Now, Out);
}

void checkEngineHealth(CellState &S, TimePoint Now, CellEffects &Out) {
  for (auto &[Id, G] : S.Grants) {
    if (G.Overdue || !overdue(S, G, Now))
      continue;
    G.Overdue = true;
    for (const HeldEngine &H : G.Engines) {
      auto Found = S.Engines.find(H.Backend);
      if (Found != S.Engines.end())
        ++Found->second.Health.Overdue;
    }
  }
  const double Median = medianRate(S);
  for (auto &[Id, E] : S.Engines) {
    readmit(E, Now, Out);
    if (E.Health.Overdue >= OverdueToEject)
      eject(S, E, "several attempts are overdue", Now, Out);
    if (E.Rates.Prefill.Samples >= SlowSamples &&
        E.Rates.Prefill.Mean < SlowRatio * Median)
      eject(S, E, "prefill rate is far below the cell's median", Now, Out);
  }
}

} // namespace pimento
