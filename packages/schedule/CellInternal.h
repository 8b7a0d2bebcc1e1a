//===- CellInternal.h - Shared by the files of the scheduler ----*- C++ -*-===//
//
// Internal; see Cell.h for the interface.
//
//   Cell.cpp        engines, hosts, load reports, figures
//   CellAsk.cpp     admission and forecasts
//   CellPlace.cpp   choice of engines
//   CellGrant.cpp   grants from dispatch to release
//   CellHosts.cpp   renewals, registrations, hosts that leave
//   CellLearn.cpp   rates and charges from outcomes
//   CellMemory.cpp  cancels and memory reports (sweeps)
//   CellHealth.cpp  ejection and warm-up
//   CellTick.cpp    periodic work
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

/// Engines chosen for a request, with forecasts.
struct Placement {
  std::vector<HeldEngine> Engines;
  double Uncached = 0; // Tokens to prefill, summed over all engines.
  // Tokens to prefill before this request at the slowest engine.
  double Ahead = 0;
  double Share = 0; // Tokens of this request to prefill at the slowest engine.
  Duration First = Duration::zero(); // Forecast time to first token.
  std::uint32_t Priority = 1;
  const char *Reason = "";
};

/// Chooses engines for a request. Returns nothing if the request has to wait;
/// may reserve engines for a group then.
std::optional<Placement> place(CellState &S, const QueuedRequest &A,
                               TimePoint Now);
/// Returns how many engines a request of this size needs, or 0 if the cell has
/// too few.
std::size_t enginesNeeded(const CellState &S, const GrantRequest &A);
/// Returns true if any serving engine offers the model.
bool offersModel(const CellState &S, const ModelName &Model);
/// Releases the engines reserved for a request, if any.
void dropReservation(CellState &S, const AttemptId &Id);
/// Returns the longest cached prefix of the prompt at any engine, in tokens,
/// and leaves the figures of all engines in CachedScratch. An estimate.
std::uint64_t bestCachedTokens(CellState &S, const GrantRequest &A);

/// Returns a cautious forecast of the seconds from grant to completion for \p
/// Uncached prompt tokens.
double runSeconds(const CellState &S, LengthClass Class, double Uncached,
                  std::uint64_t MaxOutput);
/// Returns a cautious forecast of the seconds that a new request of the account
/// would wait in the queue.
double waitSeconds(const CellState &S, const AccountId &Account, double Weight,
                   LengthClass Class, double Cost);
/// Returns the prefill rate of all engines open to the class, in prompt tokens
/// per second.
double laneRate(const CellState &S, LengthClass Class);

/// Grants queued requests of all classes as long as engines can be found.
void dispatch(CellState &S, TimePoint Now, CellEffects &Out);
/// Grants queued requests of one class as long as engines can be found.
void dispatchClass(CellState &S, LengthClass Class, TimePoint Now,
                   CellEffects &Out);
/// Sends a refusal and records it for repeated requests.
void refuse(CellState &S, const HostId &To, const AttemptId &Id, Code Reason,
            Duration RetryAfter, const char *Why, CellEffects &Out);
void rememberEnded(CellState &S, const AttemptId &Id,
                   const EndedRequest &Outcome);
void sendGrant(const CellState &S, const LiveGrant &G, CellEffects &Out);

/// Ends a grant and cancels its memory. If \p Confirmed, the leading engine is
/// known to hold no memory and is not cancelled.
void endGrant(CellState &S, const AttemptId &Id, bool Confirmed, TimePoint Now,
              CellEffects &Out);
/// Adds or removes the work of a grant at its engines.
void addWork(CellState &S, const LiveGrant &G);
void removeWork(CellState &S, const LiveGrant &G);
/// Records that the prompt of a grant is prefilled.
void noteFirstToken(CellState &S, LiveGrant &G, TimePoint Now);

/// Updates the decode estimates: \p Tokens output tokens took \p Seconds.
void learnDecode(CellState &S, const LiveGrant &G, double Seconds,
                 double Tokens);
/// Charges the account for output tokens beyond those already charged; \p
/// Output is the total.
void chargeOutput(CellState &S, LiveGrant &G, std::uint64_t Output);
/// Corrects the account's charge from the estimated to the counted prompt
/// tokens.
void settle(CellState &S, LiveGrant &G, const Release &R);
/// Updates estimates from an attempt that finished.
void learnFromRelease(CellState &S, LiveGrant &G, const Release &R);

/// Appends the cancels that are due at one engine.
void sendCancels(CellState &S, Engine &E, TimePoint Now, CellEffects &Out);
/// Clears the memory ledger of an engine that restarted or left.
void forgetMemory(Engine &E);

void noteSuccess(Engine &E);
void noteFailure(CellState &S, Engine &E, const char *Why, TimePoint Now,
                 CellEffects &Out);
/// Ejects engines with overdue first tokens or low prefill rates and readmits
/// engines whose ejection has expired.
void checkEngineHealth(CellState &S, TimePoint Now, CellEffects &Out);

inline MetricSample counter(const char *Name, std::string Label = "",
                            double Value = 1) {
  return {SampleKind::Counter, Name, std::move(Label), Value};
}

} // namespace pimento
