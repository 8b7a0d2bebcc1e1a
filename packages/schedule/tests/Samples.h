//===- Samples.h - Sample objects for the scheduler's tests -----*- C++ -*-===//
#pragma once

#include "schedule/Cell.h"

#include <string>
#include <vector>

namespace pimento::test {

const TimePoint Start = TimePoint(hours(1));
const ModelName Model("atlas");
const HostId Entry1("entry-1");
const HostId Entry2("entry-2");
constexpr std::uint64_t Hi1 = 7; // Upper half of the request ids of Entry1.

inline BackendRecord engineRecord(const std::string &Name,
                                  std::uint64_t Memory = 100000,
                                  IncarnationNumber Incarnation = 1) {
  BackendRecord R;
  R.Id = BackendId(Name);
  R.Incarnation = Incarnation;
  R.Address = "127.0.0.1:1";
  R.Models = {Model};
  R.MemoryTokens = Memory;
  return R;
}

inline AttemptId attempt(std::uint64_t Lo, std::uint64_t Hi = Hi1) {
  return {{Hi, Lo}, 1};
}

inline GrantRequest makeGrantRequest(std::uint64_t Lo,
                                     std::uint64_t Prompt = 1000,
                                     const std::string &Account = "aero") {
  GrantRequest A;
  A.Attempt = attempt(Lo);
  A.Account = AccountId(Account);
  A.Model = Model;
  A.PromptTokens = Prompt;
  A.OutputTokens = 100;
  A.TimeLeft = minutes(10);
  return A;
}

inline Release finished(std::uint64_t Lo,
                        AttemptEnd End = AttemptEnd::Finished) {
  Release R;
  R.Attempt = attempt(Lo);
  R.End = End;
  R.PromptTokens = 1000;
  R.OutputTokens = 50;
  R.FirstToken = milliseconds(100);
  R.Total = milliseconds(1600);
  return R;
}

template <class T, class Effects> std::vector<T> sent(const Effects &Out) {
  std::vector<T> Found;
  for (const Outbound &M : Out.Messages)
    if (const T *Content = std::get_if<T>(&M.Content))
      Found.push_back(*Content);
  return Found;
}

/// Returns a cell with \p Count engines at time Start.
inline CellState makeCell(std::size_t Count, std::uint64_t Memory = 100000,
                          const CellConfig &Config = {}) {
  CellState S = startCell(Config, Start);
  CellEffects Out;
  for (std::size_t I = 0; I < Count; ++I)
    setBackend(S, engineRecord("e" + std::to_string(I), Memory), Start, Out);
  return S;
}

/// Ticks from \p From to \p To, renewing \p Held at each tick, and returns all
/// effects.
inline CellEffects tickUntil(CellState &S, TimePoint From, TimePoint To,
                             const RenewGrants *Held = nullptr) {
  CellEffects Out;
  for (TimePoint Now = From; Now <= To; Now += TickInterval) {
    if (Held)
      onRenew(S, Entry1, *Held, Now, Out);
    tick(S, Now, Out);
  }
  return Out;
}

} // namespace pimento::test
