#include "schedule/CellInternal.h"

#include <algorithm>
#include <cmath>

namespace pimento {

namespace {

constexpr std::size_t HistoryLength = 24; // Length of Engine::History.
// Averaging time of demand and drain rates.
constexpr double DemandSeconds = 120;
// Time constant with which forecasts return to their defaults.
constexpr double RelaxSeconds = 20;
// Slowdown of decode steps by long prefills.
constexpr double BulkStepFactor = 1.3;
constexpr double ShortLoad = 0.9; // Target load of engines for short prompts.
// Time in which a backlog should be served.
constexpr double BacklogSeconds = 120;
constexpr Duration HealthCheckInterval = milliseconds(500);
/// Between two reductions of the bulk lane.
constexpr Duration LaneShrinkInterval = seconds(2);
// Time after its deadline at which a grant is cancelled.
constexpr Duration DeadlineGrace = seconds(5);
/// How long to wait for an engine's first memory report after a recovery.
constexpr Duration FirstSweepTimeout = seconds(1);
/// Leases without confirmation after which a queued request is dropped.
constexpr int UnconfirmedLeaseLimit = 3;

void finishRecovery(CellState &S, TimePoint Now, CellEffects &Out) {
  if (!S.Recovering || Now < S.RecoverUntil)
    return;
  S.Recovering = false;
  for (auto &[Id, E] : S.Engines)
    E.NextSweep = Now;
  DecisionRecord D{"recover", {}, "the recovery wait has ended", {}};
  D.add("epoch", static_cast<std::int64_t>(S.Config.Epoch));
  D.add("grants", static_cast<std::int64_t>(S.Grants.size()));
  D.add("waiting", static_cast<std::int64_t>(waitingCount(S.Queue)));
  Out.Decisions.push_back(std::move(D));
}

/// Uses engines that have not reported their memory in time. They limit their
/// memory themselves, and ejection covers their failures.
void stopWaitingForSweeps(CellState &S, TimePoint Now) {
  if (S.Recovering || Now < S.RecoverUntil + FirstSweepTimeout)
    return;
  for (auto &[Id, E] : S.Engines)
    E.Swept = true;
}

void expireLeases(CellState &S, TimePoint Now, CellEffects &Out) {
  std::vector<AttemptId> Expired;
  for (const auto &[Id, G] : S.Grants)
    if (Now >= G.LeaseUntil || Now >= G.Deadline + DeadlineGrace)
      Expired.push_back(Id);
  std::sort(Expired.begin(), Expired.end());
  for (const AttemptId &Id : Expired) {
    const LiveGrant &G = S.Grants.at(Id);
    DecisionRecord D{"cancel",
                     Id.Request,
                     Now >= G.LeaseUntil
                         ? "the grant's lease was not renewed"
                         : "the grant is long past its deadline",
                     {}};
    D.add("host", G.Host.Value);
    D.add("backend", G.Engines.front().Backend.Value);
    Out.Decisions.push_back(std::move(D));
    endGrant(S, Id, /*Confirmed=*/false, Now, Out);
  }
}

/// Refuses queued requests that can no longer meet their deadline.
void expireRequests(CellState &S, TimePoint Now, CellEffects &Out) {
  while (!S.Queue.Expiry.empty() && S.Queue.Expiry.begin()->first < Now) {
    QueuedRequest W;
    removeRequest(S.Queue, AttemptId(S.Queue.Expiry.begin()->second), &W);
    dropReservation(S, W.Request.Attempt);
    refuse(S, W.Host, W.Request.Attempt, Code::DeadlineUnreachable, seconds(1),
           "the deadline became unreachable while the request was queued", Out);
  }
}

/// Drops queued requests that their entry host has not confirmed for several
/// leases.
void dropUnconfirmedRequests(CellState &S, TimePoint Now) {
  if (Now < S.NextUnconfirmedCheck)
    return;
  S.NextUnconfirmedCheck = Now + S.Config.GrantLease;
  std::vector<AttemptId> Unconfirmed;
  for (const auto &[Id, W] : S.Queue.Asks)
    if (Now - W.Confirmed > UnconfirmedLeaseLimit * S.Config.GrantLease)
      Unconfirmed.push_back(Id);
  std::sort(Unconfirmed.begin(), Unconfirmed.end());
  for (const AttemptId &Id : Unconfirmed) {
    removeRequest(S.Queue, Id, nullptr);
    dropReservation(S, Id);
  }
}

void learnDemand(CellState &S, TimePoint Now) {
  const double Elapsed = toSeconds(Now - S.LastTick);
  if (Elapsed <= 0)
    return;
  const double Part = std::min(1.0, Elapsed / DemandSeconds);
  for (std::size_t C = 0; C < LengthClasses; ++C) {
    ClassDemand &D = S.Demand[C];
    D.Seconds += Elapsed;
    const double Newest = std::max(Part, Elapsed / D.Seconds);
    D.Rate += Newest * (D.Arrived / Elapsed - D.Rate);
    D.Arrived = 0;
    Estimate &Drain = S.DrainRate[C];
    const double Lane = laneRate(S, static_cast<LengthClass>(C));
    if (Drain.Samples == 0) {
      Drain.Mean = Lane;
      Drain.Samples = 1 / Part;
    }
    if (S.Queue.Classes[C].Ready.empty())
      relax(Drain, Lane, Part);
    else
      learn(Drain, S.Served[C] / Elapsed, Part);
    S.Served[C] = 0;
  }
}

/// Moves forecasts towards optimistic defaults, so that outdated ones do not
/// persist without new outcomes.
void relaxForecasts(CellState &S, TimePoint Now) {
  const double Part = std::min(1.0, toSeconds(Now - S.LastTick) / RelaxSeconds);
  double Fastest = S.Rates.StepSeconds.Mean;
  for (const auto &[Id, E] : S.Engines)
    Fastest = std::min(Fastest, stepSeconds(S.Rates, E.Rates));
  relax(S.Rates.LaneStep[0], Fastest, Part);
  relax(S.Rates.LaneStep[1], Fastest * BulkStepFactor, Part);
  for (std::size_t C = 0; C < LengthClasses; ++C) {
    relax(S.Rates.DecodeSeconds[C], Fastest, Part);
    relax(S.Rates.FirstTokenDelay[C], 0, Part);
  }
}

/// Returns the number of engines that the demand and backlog of a class keep
/// busy.
double engineLoad(const CellState &S, LengthClass Class) {
  const std::size_t C = classIndex(Class);
  const double Cost =
      S.Demand[C].Rate + S.Queue.Classes[C].WaitingCost / BacklogSeconds;
  return Cost / std::max(1.0, S.Rates.Prefill.Mean);
}

/// Returns the wanted size of the bulk lane. If there are too few engines to
/// separate short and longer prompts, all engines take both, and only the
/// engines' priorities protect short prompts.
std::size_t bulkLaneSize(const CellState &S, std::size_t Engines) {
  const double Bulk =
      (engineLoad(S, LengthClass::Medium) + engineLoad(S, LengthClass::Long)) /
      S.Config.LaneLoad;
  const double Short = engineLoad(S, LengthClass::Short) / ShortLoad;
  const auto Count = static_cast<double>(Engines);
  const double Most = Count - std::max(1.0, std::ceil(Short));
  if (Engines <= 2 || Bulk > Most * 1.1)
    return Engines;
  // Engines beyond the needs of short prompts join the bulk lane.
  const double Spare =
      Count - std::ceil(S.Config.ShortRoom * engineLoad(S, LengthClass::Short));
  return static_cast<std::size_t>(
      std::clamp(std::max(std::ceil(Bulk), Spare), 1.0, std::max(1.0, Most)));
}

/// Assigns engines to the bulk lane, those with the fewest attempts first. The
/// lane grows at once and shrinks by one engine at a time.
void assignLanes(CellState &S, TimePoint Now) {
  std::vector<Engine *> Usable;
  for (auto &[Id, E] : S.Engines) {
    if (E.Record.Status == BackendStatus::Serving &&
        E.Health.State != HealthState::Ejected)
      Usable.push_back(&E);
    else
      E.Bulk = false;
  }
  const std::size_t Wanted = bulkLaneSize(S, Usable.size());
  if (Wanted >= S.BulkEngines) {
    S.BulkEngines = Wanted;
    S.NextLaneShrink = Now + LaneShrinkInterval;
  } else if (Now >= S.NextLaneShrink) {
    --S.BulkEngines;
    S.NextLaneShrink = Now + LaneShrinkInterval;
  }
  S.BulkEngines = std::min(S.BulkEngines, Usable.size());
  std::stable_sort(Usable.begin(), Usable.end(), [](Engine *L, Engine *R) {
    if (L->Bulk != R->Bulk)
      return L->Bulk;
    return L->Running < R->Running;
  });
  std::array<double, 2> Running = {};
  for (std::size_t I = 0; I < Usable.size(); ++I) {
    Usable[I]->Bulk = I < S.BulkEngines;
    Running[Usable[I]->Bulk ? 1 : 0] += Usable[I]->Running;
  }
  const auto BulkCount = static_cast<double>(S.BulkEngines);
  const auto Others = static_cast<double>(Usable.size()) - BulkCount;
  S.LaneRunning = {Running[0] / std::max(1.0, Others),
                   Running[1] / std::max(1.0, BulkCount)};
}

void sampleRunning(CellState &S, TimePoint Now) {
  for (auto &[Id, E] : S.Engines) {
    if (E.History.size() >= HistoryLength)
      E.History.erase(E.History.begin());
    E.History.push_back({Now, E.Running});
  }
}

void sweepAndCancel(CellState &S, TimePoint Now, CellEffects &Out) {
  for (auto &[Id, E] : S.Engines) {
    sendCancels(S, E, Now, Out);
    if (Now < E.NextSweep)
      continue;
    E.NextSweep = Now + S.Config.SweepInterval;
    Out.Sweeps.push_back(Id);
  }
}

} // namespace

void tick(CellState &S, TimePoint Now, CellEffects &Out) {
  finishRecovery(S, Now, Out);
  stopWaitingForSweeps(S, Now);
  expireLeases(S, Now, Out);
  expireRequests(S, Now, Out);
  dropUnconfirmedRequests(S, Now);
  learnDemand(S, Now);
  relaxForecasts(S, Now);
  if (Now >= S.NextHealthCheck) {
    S.NextHealthCheck = Now + HealthCheckInterval;
    checkEngineHealth(S, Now, Out);
  }
  assignLanes(S, Now);
  sampleRunning(S, Now);
  sweepAndCancel(S, Now, Out);
  forgetIdleAccounts(S.Queue);
  S.LastTick = Now;
  dispatch(S, Now, Out);
}

} // namespace pimento
