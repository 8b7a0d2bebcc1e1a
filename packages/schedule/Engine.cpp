#include "schedule/Engine.h"

#include <algorithm>

namespace pimento {

std::uint64_t freeTokens(const Engine &E) {
  const std::uint64_t Used = E.HeldTokens + E.ForeignTokens;
  return Used >= E.Record.MemoryTokens ? 0 : E.Record.MemoryTokens - Used;
}

void holdMemory(Engine &E, const AttemptId &Id, std::uint64_t Tokens,
                HoldState State, TimePoint Now) {
  Hold &H = E.Holds[Id];
  E.HeldTokens += Tokens - H.Tokens;
  H = {};
  H.Tokens = Tokens;
  H.State = State;
  H.Since = Now;
  H.NextCancel = Now;
}

bool freeMemory(Engine &E, const AttemptId &Id) {
  auto Found = E.Holds.find(Id);
  if (Found == E.Holds.end())
    return false;
  E.HeldTokens -= Found->second.Tokens;
  E.Holds.erase(Found);
  return true;
}

void cancelMemory(Engine &E, const AttemptId &Id, TimePoint Now) {
  auto Found = E.Holds.find(Id);
  if (Found == E.Holds.end() || Found->second.State == HoldState::Cancelling)
    return;
  Found->second.State = HoldState::Cancelling;
  Found->second.NextCancel = Now;
}

void drainPrefills(Engine &E, const CellRates &Cell, TimePoint Now) {
  if (E.Drained == Now)
    return;
  double Done = prefillRate(Cell, E.Rates) * toSeconds(Now - E.Drained);
  E.Drained = Now;
  for (LengthClass C : ServiceOrder) {
    PrefillWork &Work = E.Prefills[static_cast<std::size_t>(C)];
    const double Part = std::min(Done, Work.Tokens);
    Work.Tokens -= Part;
    Done -= Part;
  }
}

double prefillAhead(const Engine &E, LengthClass Class) {
  double Ahead = 0;
  for (LengthClass C : ServiceOrder) {
    Ahead += E.Prefills[static_cast<std::size_t>(C)].Tokens;
    if (C == Class)
      break;
  }
  return Ahead;
}

bool admitsByHealth(const Engine &E) {
  switch (E.Health.State) {
  case HealthState::Serving:
    return true;
  case HealthState::Warming:
    return E.Running < E.Health.Allowance;
  case HealthState::Ejected:
    return false;
  }
  return true;
}

} // namespace pimento
