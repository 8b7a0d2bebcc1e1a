#include "schedule/CellInternal.h"

#include <algorithm>

namespace pimento {

namespace {

/// Memory younger than this may belong to a grant whose registration or request
/// has not arrived yet.
constexpr Duration SweepGrace = milliseconds(1000);

CancelOrder orderFor(const Engine &E, const AttemptId &Id) {
  return {E.Record.Id, Id, {}};
}

bool due(CellState &S, Hold &H, TimePoint Now) {
  if (H.State != HoldState::Cancelling || Now < H.NextCancel)
    return false;
  H.NextCancel = Now + S.Config.CancelInterval;
  ++H.Cancels;
  return true;
}

void holdUnclaimedMemory(Engine &E, const HeldMemory &M, TimePoint Now,
                         CellEffects &Out) {
  DecisionRecord D{"sweep",
                   M.Attempt.Request,
                   "the engine holds memory of no known grant",
                   {}};
  D.add("backend", E.Record.Id.Value);
  D.add("tokens", static_cast<std::int64_t>(M.Tokens));
  D.add("age_ms", toMilliseconds(M.Age));
  Out.Decisions.push_back(std::move(D));
  Out.Samples.push_back(counter("pimento_memory_unclaimed_tokens_total", "",
                                static_cast<double>(M.Tokens)));
  if (M.Kind != HeldKind::Export) {
    holdMemory(E, M.Attempt, M.Tokens, HoldState::Cancelling, Now);
    return;
  }
  Hold &H = E.Exports[M.ExportHandle];
  E.HeldTokens += M.Tokens - H.Tokens;
  H.Tokens = M.Tokens;
  H.State = HoldState::Cancelling;
  H.Since = Now;
  H.NextCancel = Now;
  H.ExportHandle = M.ExportHandle;
}

bool lists(const std::vector<HeldMemory> &Held, const AttemptId &Id) {
  return std::any_of(Held.begin(), Held.end(), [&](const HeldMemory &M) {
    return M.Kind != HeldKind::Export && M.Attempt == Id;
  });
}

bool listsExport(const std::vector<HeldMemory> &Held,
                 const std::string &Handle) {
  return std::any_of(Held.begin(), Held.end(), [&](const HeldMemory &M) {
    return M.Kind == HeldKind::Export && M.ExportHandle == Handle;
  });
}

/// Frees cancelled memory that the engine's report no longer lists. An attempt
/// must have been cancelled at least twice, so that a cancel precedes the
/// report.
void confirmUnlisted(Engine &E, const std::vector<HeldMemory> &Held) {
  for (auto It = E.Holds.begin(); It != E.Holds.end();) {
    const Hold &H = It->second;
    const bool Sent = H.State == HoldState::Cancelling && H.Cancels > 1;
    if (!Sent || lists(Held, It->first)) {
      ++It;
      continue;
    }
    E.HeldTokens -= H.Tokens;
    It = E.Holds.erase(It);
  }
  for (auto It = E.Exports.begin(); It != E.Exports.end();) {
    if (listsExport(Held, It->first)) {
      ++It;
      continue;
    }
    E.HeldTokens -= It->second.Tokens;
    It = E.Exports.erase(It);
  }
}

} // namespace

void sendCancels(CellState &S, Engine &E, TimePoint Now, CellEffects &Out) {
  for (auto &[Id, H] : E.Holds)
    if (due(S, H, Now))
      Out.Cancels.push_back(orderFor(E, Id));
  for (auto &[Handle, H] : E.Exports)
    if (due(S, H, Now))
      Out.Cancels.push_back({E.Record.Id, {}, Handle});
}

void forgetMemory(Engine &E) {
  E.Holds.clear();
  E.Exports.clear();
  E.HeldTokens = 0;
}

void onCancelled(CellState &S, const CancelOrder &Order, TimePoint Now,
                 CellEffects &Out) {
  auto Found = S.Engines.find(Order.Backend);
  if (Found == S.Engines.end())
    return;
  Engine &E = Found->second;
  if (!Order.ExportHandle.empty()) {
    auto Export = E.Exports.find(Order.ExportHandle);
    if (Export == E.Exports.end())
      return;
    E.HeldTokens -= Export->second.Tokens;
    E.Exports.erase(Export);
  } else {
    auto Held = E.Holds.find(Order.Attempt);
    if (Held == E.Holds.end() || Held->second.State != HoldState::Cancelling)
      return;
    freeMemory(E, Order.Attempt);
  }
  dispatch(S, Now, Out);
}

void onMemoryReport(CellState &S, const BackendId &Id,
                    IncarnationNumber Incarnation,
                    const std::vector<HeldMemory> &Held, TimePoint Now,
                    CellEffects &Out) {
  auto Found = S.Engines.find(Id);
  if (Found == S.Engines.end() ||
      Found->second.Record.Incarnation != Incarnation)
    return;
  Engine &E = Found->second;
  E.Swept = E.Swept || !S.Recovering;
  for (const HeldMemory &M : Held) {
    const bool Known = M.Kind == HeldKind::Export
                           ? E.Exports.count(M.ExportHandle) != 0 ||
                                 S.Grants.count(M.Attempt) != 0
                           : E.Holds.count(M.Attempt) != 0;
    if (Known || M.Age < SweepGrace || S.Recovering)
      continue;
    holdUnclaimedMemory(E, M, Now, Out);
  }
  confirmUnlisted(E, Held);
  sendCancels(S, E, Now, Out);
  dispatch(S, Now, Out);
}

} // namespace pimento
