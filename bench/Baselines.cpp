#include "SimulationInternal.h"

#include <algorithm>

namespace pimento::bench {

namespace {

/// Token equivalent of one waiting request in a delayed load report.
constexpr std::uint64_t WaitingTokens = 20000;

std::uint64_t reportedLoad(const Simulation &M, std::size_t Engine) {
  const LoadReport &R = M.LastReports[Engine];
  return R.UsedTokens + R.Waiting * WaitingTokens;
}

bool usable(const Simulation &M, std::size_t Engine) {
  return M.Engines[Engine].Alive;
}

bool contains(const std::vector<std::size_t> &List, std::size_t Item) {
  return std::find(List.begin(), List.end(), Item) != List.end();
}

std::vector<std::size_t> roundRobin(Simulation &M, std::size_t Host,
                                    std::size_t Count) {
  std::vector<std::size_t> Chosen;
  for (std::size_t I = 0; I < 2 * M.Engines.size() && Chosen.size() < Count;
       ++I) {
    const std::size_t Engine = M.NextEngine[Host]++ % M.Engines.size();
    if (usable(M, Engine) && !contains(Chosen, Engine))
      Chosen.push_back(Engine);
  }
  return Chosen;
}

std::vector<std::size_t> leastLoaded(Simulation &M, std::size_t Count) {
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < M.Engines.size(); ++I)
    if (usable(M, I))
      All.push_back(I);
  std::stable_sort(All.begin(), All.end(), [&](std::size_t A, std::size_t B) {
    return reportedLoad(M, A) < reportedLoad(M, B);
  });
  All.resize(std::min(All.size(), Count));
  return All;
}

std::vector<std::size_t> twoChoices(Simulation &M, std::size_t Count) {
  std::vector<std::size_t> Chosen;
  for (int Tries = 0; Tries < 1000 && Chosen.size() < Count; ++Tries) {
    const std::size_t A = below(M.R, M.Engines.size());
    const std::size_t B = below(M.R, M.Engines.size());
    const std::size_t Better = reportedLoad(M, B) < reportedLoad(M, A) ? B : A;
    if (usable(M, Better) && !contains(Chosen, Better))
      Chosen.push_back(Better);
  }
  return Chosen;
}

double prefillLeft(const EngineModel &E) {
  double Left = 0;
  for (const Job &J : E.Running)
    Left += J.PrefillLeft;
  return Left;
}

/// Engines that can admit the request now, least queued prefill first.
std::vector<std::size_t> withRoom(Simulation &M, const Arrival &A,
                                  std::size_t Count) {
  const std::uint64_t Need = (A.PromptTokens + Count - 1) / Count + A.MaxOutput;
  std::vector<std::size_t> Fit;
  for (std::size_t I = 0; I < M.Engines.size(); ++I) {
    const EngineModel &E = M.Engines[I];
    if (usable(M, I) && E.Waiting.empty() &&
        E.Running.size() < E.Spec.MaxBatch &&
        E.UsedTokens + Need <= E.Spec.MemoryTokens)
      Fit.push_back(I);
  }
  std::stable_sort(Fit.begin(), Fit.end(), [&](std::size_t L, std::size_t R) {
    return prefillLeft(M.Engines[L]) < prefillLeft(M.Engines[R]);
  });
  if (Fit.size() < Count)
    return {};
  Fit.resize(Count);
  return Fit;
}

} // namespace

void advanceFifo(Simulation &M) {
  while (!M.Fifo.empty()) {
    const std::size_t Index = M.Fifo.front();
    if (M.Requests[Index].Open) {
      const Arrival &A = M.Arrivals[Index];
      const std::vector<std::size_t> Engines = withRoom(M, A, groupSize(M, A));
      if (Engines.empty())
        return;
      M.Fifo.pop_front();
      sendToEngines(M, Index, Engines, /*Priority=*/1);
      // The job reaches its engine before the next engine is chosen.
      after(M, M.C.OneWay, [&M] { advanceFifo(M); });
      return;
    }
    M.Fifo.pop_front();
  }
}

void placeByBaseline(Simulation &M, std::size_t Index) {
  const std::size_t Count = groupSize(M, M.Arrivals[Index]);
  const std::size_t Host = M.Requests[Index].Host;
  std::vector<std::size_t> Engines;
  switch (M.C.Kind) {
  case Policy::RoundRobin:
    Engines = roundRobin(M, Host, Count);
    break;
  case Policy::LeastLoaded:
    Engines = leastLoaded(M, Count);
    break;
  case Policy::TwoChoices:
    Engines = twoChoices(M, Count);
    break;
  case Policy::SingleFifo:
  case Policy::Scheduler:
    M.Fifo.push_back(Index);
    if (M.Fifo.size() == 1)
      advanceFifo(M);
    return;
  }
  if (Engines.size() < Count) {
    finishRequest(M, Index, RequestEnd::Refused, Code::NoBackend);
    return;
  }
  sendToEngines(M, Index, Engines, /*Priority=*/1);
}

} // namespace pimento::bench
