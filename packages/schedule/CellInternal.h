//===- CellInternal.h - Shared by the files of the scheduler ----*- C++ -*-===//
//
// Internal; Cell.h is the manual.
//
//   Cell.cpp        engines, hosts, load, figures
//   CellAsk.cpp     admission and forecasts
//   CellPlace.cpp   choice of engines
//   CellGrant.cpp   grants from birth to end
//   CellHosts.cpp   renewals, registrations, hosts that go
//   CellLearn.cpp   rates and charges from outcomes
//   CellMemory.cpp  cancels, sweeps, leases of memory
//   CellHealth.cpp  ejection and warm-up
//   CellTick.cpp    what time brings
//
//===----------------------------------------------------------------------===//
#pragma once

#include "schedule/Cell.h"

#include <optional>

namespace pimento {

constexpr std::size_t classIndex(LengthClass C) {
  return static_cast<std::size_t>(C);
}
LengthClass classOf(const CellConfig &Config, std::uint64_t PromptTokens);

/// Where an ask would go.
struct Placement {
  std::vector<HeldEngine> Engines;
  double Uncached = 0;               // Tokens to prefill, over all engines.
  double Ahead = 0;                  // Tokens in front, at the slowest engine.
  double Share = 0;                  // Tokens of its own at the slowest engine.
  Duration First = Duration::zero(); // Forecast of the first token.
  std::uint32_t Priority = 1;
  const char *Reason = "";
};

/// Chooses engines; empty where the ask has to wait. May reserve engines for
/// a group.
std::optional<Placement> place(CellState &S, const QueuedRequest &A,
                               TimePoint Now);
/// Engines that an ask of this size needs; zero: more than the cell has.
std::size_t enginesNeeded(const CellState &S, const GrantRequest &A);
/// Whether any engine that has not gone offers the model.
bool offersModel(const CellState &S, const ModelName &Model);
/// Drops the reservation of an ask that waits no more.
void dropReservation(CellState &S, const AttemptId &Id);
/// Tokens of the prompt that some engine of the cell is thought to cache.
std::uint64_t bestCachedTokens(CellState &S, const GrantRequest &A);

/// Seconds from grant to the end, cautiously, for a prompt of \p Uncached.
double runSeconds(const CellState &S, LengthClass Class, double Uncached,
                  std::uint64_t MaxOutput);
/// Seconds that an ask of the account would wait, cautiously.
double waitSeconds(const CellState &S, const AccountId &Account, double Weight,
                   LengthClass Class, double Cost);
/// Prompt tokens a second that the engines of the class's lane prefill.
double laneRate(const CellState &S, LengthClass Class);

/// Grants whatever can be granted now.
void dispatch(CellState &S, TimePoint Now, CellEffects &Out);
/// Grants asks of one class, as far as engines can be found.
void dispatchClass(CellState &S, LengthClass Class, TimePoint Now,
                   CellEffects &Out);
/// Sends a refusal and remembers it.
void refuse(CellState &S, const HostId &To, const AttemptId &Id, Code Reason,
            Duration RetryAfter, const char *Why, CellEffects &Out);
void rememberEnded(CellState &S, const AttemptId &Id,
                   const EndedRequest &Outcome);
void sendGrant(const CellState &S, const LiveGrant &G, CellEffects &Out);

/// Ends a grant. Where \p Confirmed the leader is known to hold nothing.
void endGrant(CellState &S, const AttemptId &Id, bool Confirmed, TimePoint Now,
              CellEffects &Out);
/// Adds or takes the work of one grant at its engines.
void addWork(CellState &S, const LiveGrant &G);
void removeWork(CellState &S, const LiveGrant &G);
/// The prompt of a grant is prefilled.
void noteFirstToken(CellState &S, LiveGrant &G, TimePoint Now);

/// Learns the pace of decode from tokens that came in some seconds.
void learnDecode(CellState &S, const LiveGrant &G, double Seconds,
                 double Tokens);
/// Charges for output that was not charged yet.
void chargeOutput(CellState &S, LiveGrant &G, std::uint64_t Output);
/// Replaces the estimate of the prompt by what the engine counted.
void settle(CellState &S, LiveGrant &G, const Release &R);
/// Learns from an attempt that ended whole.
void learnFromRelease(CellState &S, LiveGrant &G, const Release &R);

/// Sends the cancels that are due at one engine.
void sendCancels(CellState &S, Engine &E, TimePoint Now, CellEffects &Out);
/// Forgets memory of an engine that started anew or went.
void forgetMemory(Engine &E);

void noteSuccess(Engine &E);
void noteFailure(CellState &S, Engine &E, const char *Why, TimePoint Now,
                 CellEffects &Out);
/// Overdue first tokens, slow engines, ends of ejections.
void checkEngineHealth(CellState &S, TimePoint Now, CellEffects &Out);

inline MetricSample counter(const char *Name, std::string Label = "",
                            double Value = 1) {
  return {SampleKind::Counter, Name, std::move(Label), Value};
}

} // namespace pimento
