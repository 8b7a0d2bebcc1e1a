#include "schedule/EntryInternal.h"

#include <algorithm>

namespace pimento {

namespace {

/// Share of an engine's memory that this host may fill. The rest is left for
/// requests that other hosts have sent since the last report, which this host
/// cannot see.
constexpr double LocalMemoryShare = 0.8;
/// Load reports older than this are not used.
constexpr Duration MaxReportAge = seconds(5);
constexpr Duration LocalLease = milliseconds(2000);

bool mayTake(const EngineView &V, const GrantRequest &A, TimePoint Now) {
  const BackendRecord &R = V.Record;
  if (R.Status != BackendStatus::Serving || Now - V.ReportedAt > MaxReportAge)
    return false;
  if (std::find(R.Models.begin(), R.Models.end(), A.Model) == R.Models.end() ||
      std::find(A.Avoid.begin(), A.Avoid.end(), R.Id) != A.Avoid.end())
    return false;
  const std::uint64_t Need = A.PromptTokens + A.OutputTokens;
  const auto Room = static_cast<std::uint64_t>(
      LocalMemoryShare * static_cast<double>(R.MemoryTokens));
  return V.Load.UsedTokens + V.TokensSince + Need <= Room;
}

std::uint64_t usedTokens(const EngineView &V) {
  return V.Load.UsedTokens + V.TokensSince;
}

/// Returns the less used of two random engines, or null if none fits.
EngineView *chooseLocally(EntryState &E, CellId Cell, const GrantRequest &A,
                          TimePoint Now) {
  std::vector<EngineView *> Fit;
  for (auto &[Id, V] : E.Engines[Cell])
    if (mayTake(V, A, Now))
      Fit.push_back(&V);
  if (Fit.empty())
    return nullptr;
  EngineView *First = Fit[below(E.Generator, Fit.size())];
  EngineView *Second = Fit[below(E.Generator, Fit.size())];
  return usedTokens(*Second) < usedTokens(*First) ? Second : First;
}

Grant localGrant(const EntryCell &Cell, CellId Id, const GrantRequest &A,
                 const EngineView &V) {
  Grant G;
  G.Attempt = A.Attempt;
  G.Epoch = Cell.Epoch;
  G.Lease = LocalLease;
  G.Cell = Id;
  G.Engines.push_back(
      {V.Record.Id, V.Record.Address, A.PromptTokens + A.OutputTokens});
  return G;
}

void recordLocal(const Grant &G, const EngineView &V, EntryEffects &Out) {
  DecisionRecord D{"grant",
                   G.Attempt.Request,
                   "no scheduler: better of two random engines",
                   {}};
  D.add("backend", V.Record.Id.Value);
  D.add("used_tokens", static_cast<std::int64_t>(usedTokens(V)));
  Out.Decisions.push_back(std::move(D));
  Out.Samples.push_back(
      {SampleKind::Counter, "pimento_local_grants_total", "", 1});
}

} // namespace

void placeWithoutHolder(EntryState &E, CellId Id, TimePoint Now,
                        EntryEffects &Out) {
  EntryCell &Cell = E.Cells[Id];
  if (!Cell.Holder.empty() ||
      Now < Cell.HolderLost + E.Config.LocalPlacementDelay)
    return;
  for (auto It = Cell.Pending.begin(); It != Cell.Pending.end();) {
    const PendingRequest P = It->second;
    EngineView *V = chooseLocally(E, Id, P.Request, Now);
    if (!V) {
      ++It;
      continue;
    }
    Grant G = localGrant(Cell, Id, P.Request, *V);
    ++V->SentSince;
    V->TokensSince += P.Request.PromptTokens + P.Request.OutputTokens;
    recordLocal(G, *V, Out);
    It = Cell.Pending.erase(It);
    Cell.Grants.emplace(G.Attempt,
                        EntryGrant{P.Request, G, P.Started, P.Deadline});
    EntryAnswer Answer;
    Answer.Attempt = G.Attempt;
    Answer.Given = std::move(G);
    Answer.Local = true;
    Out.Answers.push_back(std::move(Answer));
  }
}

void setEngineView(EntryState &E, CellId Cell, const BackendRecord &Record) {
  if (Record.Status == BackendStatus::Gone) {
    E.Engines[Cell].erase(Record.Id);
    return;
  }
  EngineView &V = E.Engines[Cell][Record.Id];
  if (Record.Incarnation > V.Record.Incarnation)
    V = {};
  V.Record = Record;
}

void setEngineLoad(EntryState &E, CellId Cell, const LoadReport &R,
                   TimePoint Now) {
  auto &Views = E.Engines[Cell];
  auto Found = Views.find(R.Backend);
  if (Found == Views.end() ||
      R.Incarnation != Found->second.Record.Incarnation ||
      R.Sequence <= Found->second.Load.Sequence)
    return;
  EngineView &V = Found->second;
  V.Load = R;
  V.Load.CacheAdded.clear();
  V.Load.CacheRemoved.clear();
  V.ReportedAt = Now - R.Age;
  V.SentSince = 0;
  V.TokensSince = 0;
}

} // namespace pimento
