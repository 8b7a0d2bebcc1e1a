#include "schedule/Cell.h"

#include "schedule/CellInternal.h"

#include <algorithm>

namespace pimento {

namespace {

/// Largest distance between a load report and a ledger sample that may count
/// the same attempts.
constexpr Duration HistoryTolerance = milliseconds(150);
/// Concurrent requests that a new engine takes at first.
constexpr std::uint32_t FirstAllowance = 2;
/// If no more than this share of the engines is warm, a new engine serves
/// without warm-up.
constexpr double WarmShare = 0.5;

/// Returns true if enough engines are warm for a new engine to warm up first.
/// In a cell that has just started there are none.
bool startsWarming(const CellState &S) {
  std::size_t Warm = 0;
  for (const auto &[Id, E] : S.Engines)
    Warm += E.Health.State == HealthState::Serving ? 1 : 0;
  return static_cast<double>(Warm) >
         WarmShare * static_cast<double>(S.Engines.size() + 1);
}

Engine newEngine(CellState &S, const BackendRecord &Record, TimePoint Now) {
  Engine E;
  E.Record = Record;
  E.Slot = takePrefixSlot(S.Prefixes);
  E.NextSweep = Now;
  E.Drained = Now;
  E.Swept = !S.Recovering;
  E.Health.Allowance = FirstAllowance;
  E.Health.State =
      startsWarming(S) ? HealthState::Warming : HealthState::Serving;
  return E;
}

/// Ends all grants that include the engine, since its memory and work are lost.
void endGrantsAt(CellState &S, const BackendId &Id, TimePoint Now,
                 CellEffects &Out) {
  std::vector<AttemptId> Lost;
  for (const auto &[Attempt, G] : S.Grants)
    for (const HeldEngine &H : G.Engines)
      if (H.Backend == Id)
        Lost.push_back(Attempt);
  std::sort(Lost.begin(), Lost.end());
  for (const AttemptId &Attempt : Lost) {
    DecisionRecord D{"lose",
                     Attempt.Request,
                     "an engine of the grant left or restarted",
                     {}};
    D.add("backend", Id.Value);
    D.add("engines",
          static_cast<std::int64_t>(S.Grants.at(Attempt).Engines.size()));
    Out.Decisions.push_back(std::move(D));
    endGrant(S, Attempt, /*Confirmed=*/false, Now, Out);
  }
}

std::uint32_t ledgerRunningAt(const Engine &E, TimePoint At) {
  std::uint32_t Most = E.History.empty() ? E.Running : 0;
  for (const RunningSample &Sample : E.History) {
    const Duration Off = Sample.At > At ? Sample.At - At : At - Sample.At;
    if (Off <= HistoryTolerance)
      Most = std::max(Most, Sample.Running);
  }
  return Most;
}

} // namespace

LengthClass classOf(const CellConfig &Config, std::uint64_t PromptTokens) {
  if (PromptTokens <= Config.ShortTokens)
    return LengthClass::Short;
  return PromptTokens <= Config.MediumTokens ? LengthClass::Medium
                                             : LengthClass::Long;
}

CellState startCell(const CellConfig &Config, TimePoint Now) {
  CellState S;
  S.Config = Config;
  S.Generator.seed(Config.Seed ^ Config.Epoch);
  S.Recovering = Config.RecoveryWait > Duration::zero();
  S.RecoverUntil = Now + Config.RecoveryWait;
  S.Prefixes = makePrefixIndex(Config.PrefixIndexBytes);
  S.Rates = initialRates();
  S.LastTick = Now;
  S.CachedScratch.resize(PrefixSlots + 1);
  return S;
}

void setBackend(CellState &S, const BackendRecord &Record, TimePoint Now,
                CellEffects &Out) {
  if (Record.Status == BackendStatus::Gone) {
    removeBackend(S, Record.Id, Now, Out);
    return;
  }
  auto Found = S.Engines.find(Record.Id);
  if (Found == S.Engines.end()) {
    S.Engines.emplace(Record.Id, newEngine(S, Record, Now));
    dispatch(S, Now, Out);
    return;
  }
  Engine &E = Found->second;
  if (Record.Incarnation < E.Record.Incarnation)
    return;
  if (Record.Incarnation > E.Record.Incarnation) {
    removeBackend(S, Record.Id, Now, Out);
    setBackend(S, Record, Now, Out);
    return;
  }
  E.Record = Record;
  dispatch(S, Now, Out);
}

void removeBackend(CellState &S, const BackendId &Id, TimePoint Now,
                   CellEffects &Out) {
  auto Found = S.Engines.find(Id);
  if (Found == S.Engines.end())
    return;
  forgetMemory(Found->second);
  endGrantsAt(S, Id, Now, Out);
  if (!Found->second.Reserved.Request.empty())
    dropReservation(S, Found->second.Reserved);
  freePrefixSlot(S.Prefixes, Found->second.Slot);
  S.Engines.erase(Found);
  dispatch(S, Now, Out);
}

void setHost(CellState &S, const HostId &Host, const DataCentreId &Where) {
  S.Hosts[Host].DataCentre = Where;
}

void onLoad(CellState &S, const LoadReport &R, TimePoint Now,
            CellEffects &Out) {
  auto Found = S.Engines.find(R.Backend);
  if (Found == S.Engines.end())
    return;
  Engine &E = Found->second;
  if (R.Incarnation != E.Record.Incarnation || R.Sequence <= E.LastReport)
    return;
  E.LastReport = R.Sequence;
  E.ReportedAt = Now - R.Age;
  const std::uint32_t Known = ledgerRunningAt(E, E.ReportedAt);
  const std::uint32_t Reported = R.Running + R.Waiting;
  E.ForeignRunning = Reported > Known ? Reported - Known : 0;
  E.ForeignTokens =
      R.UsedTokens > E.HeldTokens ? R.UsedTokens - E.HeldTokens : 0;
  if (!applyCacheEvents(S.Prefixes, E.Slot, R)) {
    DecisionRecord D{
        "distrust", {}, "the sequence of cache events has a gap", {}};
    D.add("backend", R.Backend.Value);
    Out.Decisions.push_back(std::move(D));
  }
}

CellFigures cellFigures(const CellState &S) {
  CellFigures F;
  F.Waiting = waitingCount(S.Queue);
  F.Grants = S.Grants.size();
  F.Engines = S.Engines.size();
  F.BulkEngines = S.BulkEngines;
  F.Accounts = S.Queue.ByName.size();
  F.PrefixEntries = S.Prefixes.ByHash.size();
  for (const auto &[Id, E] : S.Engines) {
    F.Ejected += E.Health.State == HealthState::Ejected ? 1 : 0;
    F.MemoryTokens += E.Record.MemoryTokens;
    F.HeldTokens += E.HeldTokens;
    for (const auto &[Attempt, H] : E.Holds)
      if (H.State == HoldState::Cancelling)
        F.CancellingTokens += H.Tokens;
    for (const auto &[Handle, H] : E.Exports)
      F.CancellingTokens += H.Tokens;
  }
  return F;
}

} // namespace pimento
