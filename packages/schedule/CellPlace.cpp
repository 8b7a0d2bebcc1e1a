#include "schedule/CellInternal.h"

#include <algorithm>
#include <cmath>

namespace pimento {

namespace {

/// Most seconds of prefill work at an engine before a new prompt, by class.
/// Beyond that the prompt stays in the queue, where its order can still change.
constexpr std::array<double, LengthClasses> WindowSeconds = {0.25, 0.5, 0.3};

// Seconds added for an engine in another data centre.
constexpr double RemoteDataCentrePenalty = 0.001;
// Seconds added for an engine that failed this request before.
constexpr double AvoidPenalty = 30;
// Seconds of random noise against herding.
constexpr double PlacementJitter = 0.0005;
// Relative slowdown of decode steps at a full batch.
constexpr double FullBatchSlowdown = 0.4;
/// An engine's own step time is used if it exceeds this multiple of its lane's
/// mean.
constexpr double SlowStepRatio = 2;
/// Most long requests with reserved engines at a time. A request reserves all
/// of its engines or none, which prevents deadlock.
constexpr std::size_t MaxReservations = 4;
/// Most engines in one group.
constexpr std::size_t MaxGroup = 8;
/// Relative gain in time to first token that each further engine of a group
/// must bring.
constexpr double GroupCost = 0.08;
/// Largest share of an engine's memory that is reserved for a queued prompt.
constexpr double ReservedShare = 0.35;
/// Largest share of an engine's memory that one member of a group may take.
constexpr double GroupShare = 0.85;
/// Largest share of an engine's memory that an attempt on one engine may take.
constexpr double SingleShare = 0.92;

/// Returns true if half of the time until the request's latest start has
/// passed.
bool isHalfSlackUsed(const QueuedRequest &A, TimePoint Now) {
  return Now - A.Arrived > (A.LatestStart - A.Arrived) / 2;
}

/// Returns the priority for the engine, which prefills higher ones first.
std::uint32_t priorityOf(const QueuedRequest &A, TimePoint Now) {
  constexpr std::uint32_t ShortPriority = 4;
  constexpr std::uint32_t AgedPriority = 3;
  if (A.Class == LengthClass::Short)
    return ShortPriority;
  if (isHalfSlackUsed(A, Now))
    return AgedPriority;
  return AgedPriority - static_cast<std::uint32_t>(serviceRank(A.Class));
}

bool offers(const Engine &E, const ModelName &Model) {
  return std::find(E.Record.Models.begin(), E.Record.Models.end(), Model) !=
         E.Record.Models.end();
}

/// Returns the tokens free for this attempt, without memory reserved for other
/// requests or, for longer prompts, kept for short ones.
std::uint64_t freeFor(const CellState &S, const Engine &E, const AttemptId &Id,
                      LengthClass Class) {
  std::uint64_t Free = freeTokens(E);
  if (Class != LengthClass::Short) {
    const auto Kept = static_cast<std::uint64_t>(
        S.Config.ShortMemoryShare * static_cast<double>(E.Record.MemoryTokens));
    Free = Free > Kept ? Free - Kept : 0;
  }
  if (E.Reserved.Request.empty() || E.Reserved == Id)
    return Free;
  return Free > E.ReservedTokens ? Free - E.ReservedTokens : 0;
}

bool takesWork(const CellState &S, const Engine &E, const GrantRequest &A) {
  return E.Running < S.Config.MaxRunning &&
         E.Record.Status == BackendStatus::Serving && E.Swept &&
         admitsByHealth(E) && offers(E, A.Model);
}

/// An engine that could take a prompt or a share of it.
struct Candidate {
  Engine *E = nullptr;
  double Uncached = 0;
  double Ahead = 0;
  // Forecast seconds to completion, with penalties; lower is better.
  double Seconds = 0;
  double First = 0; // Forecast seconds to first token.
};

std::uint64_t cachedAt(const CellState &S, const Engine &E) {
  return S.CachedScratch[E.Slot];
}

/// Returns a pseudorandom number in [0, 1) for a placement and an engine.
double jitter(std::uint64_t Salt, unsigned Slot) {
  constexpr std::uint64_t OddMultiplier = 0x9E3779B97F4A7C15ULL;
  return static_cast<double>(((Salt + Slot) * OddMultiplier) >> 40U) /
         (1U << 24U);
}

/// Returns the index of the engine's lane: 1 for the bulk lane while there is
/// demand for medium or long prompts, else 0.
std::size_t laneOf(const CellState &S, const Engine &E) {
  const double Demand = S.Demand[classIndex(LengthClass::Medium)].Rate +
                        S.Demand[classIndex(LengthClass::Long)].Rate;
  return E.Bulk && Demand > 1 ? 1 : 0;
}

/// Returns the expected seconds between two output tokens at the engine. The
/// mean of the lane is preferred because an engine's own estimate lags behind
/// changes of its batch.
double expectedStep(const CellState &S, const Engine &E) {
  const double LaneMean = S.Rates.LaneStep[laneOf(S, E)].Mean;
  const double EngineStep = stepSeconds(S.Rates, E.Rates);
  return EngineStep > SlowStepRatio * LaneMean ? EngineStep : LaneMean;
}

Candidate score(CellState &S, Engine &E, const QueuedRequest &A,
                const DataCentreId &Near, double Share, TimePoint Now) {
  drainPrefills(E, S.Rates, Now);
  const GrantRequest &R = A.Request;
  Candidate C;
  C.E = &E;
  const double Cached = static_cast<double>(cachedAt(S, E));
  C.Uncached =
      std::max(1.0, static_cast<double>(R.PromptTokens) - Cached) * Share;
  C.Ahead =
      prefillAhead(E, isHalfSlackUsed(A, Now) ? LengthClass::Short : A.Class);
  const double Rate = prefillRate(S.Rates, E.Rates);
  C.First = (C.Ahead + C.Uncached) / Rate;
  const double BatchFill = (static_cast<double>(E.Running + E.ForeignRunning) -
                            S.LaneRunning[laneOf(S, E)]) /
                           static_cast<double>(S.Config.MaxRunning);
  const double Output =
      std::min(static_cast<double>(R.OutputTokens),
               S.Rates.OutputTokens[classIndex(A.Class)].Mean);
  const double Step = expectedStep(S, E) * (1 + FullBatchSlowdown * BatchFill);
  C.Seconds = C.First + Output * Step;
  if (!Near.empty() && E.Record.DataCentre != Near)
    C.Seconds += RemoteDataCentrePenalty;
  if (std::find(R.Avoid.begin(), R.Avoid.end(), E.Record.Id) != R.Avoid.end())
    C.Seconds += AvoidPenalty;
  C.Seconds += PlacementJitter * jitter(S.PlacementSalt, E.Slot);
  return C;
}

/// Returns true if the lane of the class and the window of prefill work allow
/// the engine to take the prompt.
bool inLane(const CellState &S, const Candidate &C, LengthClass Class) {
  const Engine &E = *C.E;
  if (Class != LengthClass::Short && !E.Bulk)
    return false;
  if (Class == LengthClass::Short && !E.Bulk &&
      E.Running >= S.Config.ShortRunning)
    return false;
  const double Window =
      WindowSeconds[classIndex(Class)] * prefillRate(S.Rates, E.Rates);
  const double Front = Class == LengthClass::Long
                           ? E.Prefills[classIndex(LengthClass::Long)].Tokens
                           : C.Ahead;
  return Front <= Window;
}

HeldEngine heldAt(const Candidate &C, std::uint64_t Tokens) {
  return {C.E->Record.Id, C.E->Record.Incarnation, Tokens, C.Uncached};
}

const char *reasonFor(const CellState &S, const Candidate &C) {
  if (cachedAt(S, *C.E) > 0)
    return "cached prefix and earliest forecast completion";
  return "earliest forecast completion";
}

std::uint64_t groupTokens(const GrantRequest &A, std::size_t Engines) {
  return (A.PromptTokens + Engines - 1) / Engines + A.OutputTokens;
}

/// Returns how many engines to reserve for a long prompt. More engines need
/// less memory each, which becomes free sooner.
std::size_t reservationSize(const CellState &S, const GrantRequest &A,
                            std::size_t Least) {
  std::uint64_t Memory = 0;
  for (const auto &[Id, E] : S.Engines)
    Memory = std::max(Memory, E.Record.MemoryTokens);
  std::size_t Count = Least;
  while (Count < std::min(MaxGroup, S.Engines.size()) &&
         static_cast<double>(groupTokens(A, Count)) >
             ReservedShare * static_cast<double>(Memory))
    ++Count;
  return Count;
}

/// Reserves engines for a request, bulk lane first and then those with the most
/// free memory, which should be free soonest.
void reserveEngines(CellState &S, const QueuedRequest &A, std::size_t Count,
                    std::uint64_t Tokens) {
  const AttemptId &Id = A.Request.Attempt;
  if (S.Reservations.size() >= MaxReservations)
    return;
  for (const AttemptId &Reserved : S.Reservations)
    if (Reserved == Id)
      return;
  std::vector<Engine *> Fit;
  for (auto &[Name, E] : S.Engines)
    if (E.Record.Status == BackendStatus::Serving &&
        offers(E, A.Request.Model) && E.Health.State != HealthState::Ejected &&
        E.Reserved.Request.empty() && (Count > 1 || E.Bulk) &&
        E.Record.MemoryTokens >= Tokens)
      Fit.push_back(&E);
  if (Fit.size() < Count)
    return;
  std::stable_sort(Fit.begin(), Fit.end(), [](Engine *L, Engine *R) {
    if (L->Bulk != R->Bulk)
      return L->Bulk;
    return freeTokens(*L) > freeTokens(*R);
  });
  for (std::size_t I = 0; I < Count; ++I) {
    Fit[I]->Reserved = Id;
    Fit[I]->ReservedTokens = Tokens;
  }
  S.Reservations.push_back(Id);
}

std::optional<Placement> placeOne(CellState &S, const QueuedRequest &A,
                                  const DataCentreId &Near, TimePoint Now) {
  const std::uint64_t Need = A.Request.PromptTokens + A.Request.OutputTokens;
  Candidate Best;
  for (auto &[Id, E] : S.Engines) {
    if (!takesWork(S, E, A.Request) ||
        freeFor(S, E, A.Request.Attempt, A.Class) < Need)
      continue;
    Candidate C = score(S, E, A, Near, 1, Now);
    if (!inLane(S, C, A.Class))
      continue;
    if (!Best.E || C.Seconds < Best.Seconds)
      Best = C;
  }
  if (!Best.E)
    return std::nullopt;
  Placement P;
  P.Engines.push_back(heldAt(Best, Need));
  P.Uncached = Best.Uncached;
  P.Ahead = Best.Ahead;
  P.Share = Best.Uncached;
  P.First = fromSeconds(Best.First);
  P.Priority = priorityOf(A, Now);
  P.Reason = reasonFor(S, Best);
  return P;
}

/// Returns the best \p Count engines that can each take a share now, or nothing
/// if there are fewer.
std::vector<Candidate> groupOf(CellState &S, const QueuedRequest &A,
                               std::size_t Count, const DataCentreId &Near,
                               TimePoint Now) {
  const AttemptId &Id = A.Request.Attempt;
  const std::uint64_t Tokens = groupTokens(A.Request, Count);
  const double Share = 1.0 / static_cast<double>(Count);
  std::vector<Candidate> Fit;
  for (auto &[Name, E] : S.Engines) {
    if (!takesWork(S, E, A.Request) || freeFor(S, E, Id, A.Class) < Tokens)
      continue;
    Candidate C = score(S, E, A, Near, Share, Now);
    if (E.Reserved == Id || inLane(S, C, LengthClass::Long))
      Fit.push_back(C);
  }
  if (Fit.size() < Count)
    return {};
  std::stable_sort(Fit.begin(), Fit.end(),
                   [](const Candidate &L, const Candidate &R) {
                     return L.Seconds < R.Seconds;
                   });
  Fit.resize(Count);
  return Fit;
}

Placement groupPlacement(const QueuedRequest &A,
                         const std::vector<Candidate> &Members, TimePoint Now) {
  Placement P;
  for (const Candidate &C : Members) {
    P.Engines.push_back(heldAt(
        C, Members.size() == 1 ? A.Request.PromptTokens + A.Request.OutputTokens
                               : groupTokens(A.Request, Members.size())));
    P.Uncached += C.Uncached;
    P.Ahead = std::max(P.Ahead, C.Ahead);
    P.Share = std::max(P.Share, C.Uncached);
    P.First = std::max(P.First, fromSeconds(C.First));
  }
  P.Priority = priorityOf(A, Now);
  return P;
}

/// Places a long prompt. With a backlog it takes the smallest group that has
/// room now, otherwise the group with the earliest first token.
std::optional<Placement> placeLong(CellState &S, const QueuedRequest &A,
                                   std::size_t Least, const DataCentreId &Near,
                                   TimePoint Now) {
  const bool Backlog =
      S.Queue.Classes[classIndex(LengthClass::Long)].Ready.size() > 1 ||
      !S.Queue.Classes[classIndex(LengthClass::Medium)].Ready.empty();
  std::vector<Candidate> Best;
  double BestSeconds = 0;
  for (std::size_t Count = Least; Count <= MaxGroup; ++Count) {
    std::vector<Candidate> Members = groupOf(S, A, Count, Near, Now);
    if (Members.empty())
      continue;
    double Seconds = 0;
    for (const Candidate &C : Members)
      Seconds = std::max(Seconds, C.First);
    Seconds *= 1 + GroupCost * static_cast<double>(Count - 1);
    if (Best.empty() || Seconds < BestSeconds) {
      Best = std::move(Members);
      BestSeconds = Seconds;
    }
    if (Backlog)
      break;
  }
  if (Best.empty()) {
    const std::size_t Count = reservationSize(S, A.Request, Least);
    reserveEngines(S, A, Count, groupTokens(A.Request, Count));
    return std::nullopt;
  }
  Placement P = groupPlacement(A, Best, Now);
  P.Reason = Best.size() == 1 ? reasonFor(S, Best.front())
             : Least > 1      ? "group: request exceeds one engine's memory"
                         : "group: earlier first token, or too little free "
                           "memory at one engine";
  return P;
}

} // namespace

bool offersModel(const CellState &S, const ModelName &Model) {
  for (const auto &[Id, E] : S.Engines)
    if (E.Record.Status == BackendStatus::Serving && offers(E, Model))
      return true;
  return false;
}

std::size_t enginesNeeded(const CellState &S, const GrantRequest &A) {
  std::uint64_t Largest = 0;
  for (const auto &[Id, E] : S.Engines)
    if (E.Record.MemoryTokens > Largest &&
        E.Record.Status == BackendStatus::Serving && offers(E, A.Model))
      Largest = E.Record.MemoryTokens;
  if (static_cast<double>(A.PromptTokens + A.OutputTokens) <=
      SingleShare * static_cast<double>(Largest))
    return 1;
  std::vector<std::uint64_t> Room;
  for (const auto &[Id, E] : S.Engines)
    if (E.Record.Status == BackendStatus::Serving && offers(E, A.Model))
      Room.push_back(E.Record.MemoryTokens);
  std::sort(Room.rbegin(), Room.rend());

  for (std::size_t Count = 2; Count <= Room.size(); ++Count)
    if (static_cast<double>(groupTokens(A, Count)) <=
        GroupShare * static_cast<double>(Room[Count - 1]))
      return Count;
  return 0;
}

void dropReservation(CellState &S, const AttemptId &Id) {
  auto Found = std::find(S.Reservations.begin(), S.Reservations.end(), Id);
  if (Found == S.Reservations.end())
    return;
  S.Reservations.erase(Found);
  for (auto &[Name, E] : S.Engines) {
    if (E.Reserved != Id)
      continue;
    E.Reserved = {};
    E.ReservedTokens = 0;
  }
}

std::uint64_t bestCachedTokens(CellState &S, const GrantRequest &A) {
  cachedTokens(S.Prefixes, A.Prefixes, A.PromptTokens, S.CachedScratch);
  return *std::max_element(S.CachedScratch.begin(), S.CachedScratch.end());
}

std::optional<Placement> place(CellState &S, const QueuedRequest &A,
                               TimePoint Now) {
  bestCachedTokens(S, A.Request);
  S.PlacementSalt = S.Generator();
  auto Host = S.Hosts.find(A.Host);
  const DataCentreId Near =
      Host == S.Hosts.end() ? DataCentreId() : Host->second.DataCentre;
  const std::size_t Count = enginesNeeded(S, A.Request);
  if (Count == 0)
    return std::nullopt;
  if (A.Class == LengthClass::Long || Count > 1)
    return placeLong(S, A, Count, Near, Now);
  return placeOne(S, A, Near, Now);
}

} // namespace pimento
