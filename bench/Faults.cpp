#include "SimulationInternal.h"

namespace pimento::bench {

namespace {

/// Time from an engine's failure until membership reports it.
constexpr Duration DetectEngine = milliseconds(2500);
/// Time from a host's failure until membership reports it.
constexpr Duration DetectHost = milliseconds(1000);
/// Time that a new holder waits for the old holder's lease to expire.
constexpr Duration RecoveryWait = milliseconds(700);

void killEngine(Simulation &M, const Fault &F) {
  EngineModel &E = M.Engines[F.Index];
  restartEngine(E);
  E.Alive = false;
  for (std::size_t I = 0; I < M.Requests.size(); ++I) {
    Request &Q = M.Requests[I];
    if (!Q.Open || !Q.Running)
      continue;
    for (std::size_t Engine : Q.Engines)
      if (Engine == F.Index) {
        after(M, M.C.OneWay, [&M, I, Id = Q.Attempt] {
          if (M.Requests[I].Attempt == Id)
            attemptFailed(M, I);
        });
        break;
      }
  }
  after(M, DetectEngine, [&M, Index = F.Index] {
    if (!M.Engines[Index].Alive)
      announceEngine(M, Index, BackendStatus::Gone);
  });
  after(M, F.Length, [&M, Index = F.Index] {
    M.Engines[Index].Alive = true;
    announceEngine(M, Index, BackendStatus::Serving);
  });
}

void silenceEngine(Simulation &M, const Fault &F) {
  M.Engines[F.Index].Silent = true;
  after(M, F.Length, [&M, Index = F.Index] {
    M.Engines[Index].Silent = false;
    kick(M, Index);
  });
}

void killScheduler(Simulation &M, const Fault &F) {
  M.Cell.reset();
  ++M.Epoch;
  after(M, DetectHost, [&M, Epoch = M.Epoch] { loseHolder(M, Epoch); });
  after(M, F.Length, [&M] {
    ++M.Epoch;
    startHolder(M, RecoveryWait);
  });
}

void freezeScheduler(Simulation &M, const Fault &F) {
  M.Frozen = true;
  after(M, F.Length, [&M] {
    M.Frozen = false;
    std::vector<std::function<void()>> Late;
    Late.swap(M.Thawing);
    for (const auto &Input : Late)
      if (M.Cell)
        Input();
  });
}

void killEntry(Simulation &M, const Fault &F) {
  Host &H = M.Hosts[F.Index];
  H.Alive = false;
  for (std::size_t I = 0; I < M.Requests.size(); ++I)
    if (M.Requests[I].Open && M.Requests[I].Host == F.Index)
      finishRequest(M, I, RequestEnd::Left, Code::CallerLeft);
  const HostId Name = H.State.Config.Self;
  const IncarnationNumber Incarnation = H.State.Config.Incarnation;
  after(M, DetectHost, [&M, Name] { tellHostGone(M, Name); });
  after(M, F.Length, [&M, Index = F.Index, Incarnation] {
    startHost(M, Index, Incarnation + 1);
  });
}

void strike(Simulation &M, const Fault &F) {
  switch (F.Kind) {
  case FaultKind::EngineDies:
    killEngine(M, F);
    return;
  case FaultKind::EngineSlows:
    M.Engines[F.Index].Slowness = F.Factor;
    after(M, F.Length,
          [&M, Index = F.Index] { M.Engines[Index].Slowness = 1; });
    return;
  case FaultKind::EngineSilent:
    silenceEngine(M, F);
    return;
  case FaultKind::ReportsLost:
    M.ReportsLost[F.Index] = true;
    after(M, F.Length, [&M, Index = F.Index] { M.ReportsLost[Index] = false; });
    return;
  case FaultKind::SchedulerDies:
    killScheduler(M, F);
    return;
  case FaultKind::SchedulerStops:
    freezeScheduler(M, F);
    return;
  case FaultKind::EntryDies:
    killEntry(M, F);
    return;
  case FaultKind::LossyNetwork:
    M.Loss = F.Factor;
    after(M, F.Length, [&M] { M.Loss = 0; });
    return;
  }
}

} // namespace

void scheduleFaults(Simulation &M) {
  for (const Fault &F : M.C.Faults)
    at(M, RunStart + F.At, [&M, &F] { strike(M, F); });
}

} // namespace pimento::bench
