#include "calls/CallsInternal.h"

#include "engine/Adapter.h"

#include <algorithm>

namespace pimento::calls {

namespace {

void abortInFlight(Context &C, Cleanup &Work) {
  for (const auto &[Id, Backend] : Work.InFlight) {
    C.S.Upstreams.erase(Id);
    C.Out.List.emplace_back(AbortUpstream{UpstreamId(Id)});
  }
  Work.InFlight.clear();
}

void cancelRound(Context &C, Cleanup &Work) {
  constexpr std::uint32_t MaxDoublings = 16;
  abortInFlight(C, Work);
  for (const GrantedEngine &Engine : Work.Engines) {
    UpstreamId Id =
        openUpstreamFor(C, cancelRequest(Engine.Address, Work.Report.Attempt),
                        {UpstreamUse::Cancel, Work.Report.Attempt.Request,
                         Work.Report.Attempt});
    Work.InFlight[static_cast<std::uint64_t>(Id)] = Engine.Backend;
  }
  Duration Wait = C.S.Times.CancelRepeat;
  for (std::uint32_t I = 0; I < std::min(Work.Rounds, MaxDoublings); ++I)
    Wait = std::min(Wait * 2, C.S.Times.CancelLimit);
  Work.Next = C.Now + Wait;
  C.S.NextFollowUp = std::min(C.S.NextFollowUp, Work.Next);
  ++Work.Rounds;
}

void endCleanup(Context &C, const AttemptId &Attempt) {
  auto Found = C.S.Cleanups.find(Attempt);
  Cleanup &Work = Found->second;
  abortInFlight(C, Work);
  C.Out.List.emplace_back(SendRelease{Work.Report});
  C.S.Cleanups.erase(Found);
}

void removeEngine(Cleanup &Work, const BackendId &Backend) {
  auto HasBackend = [&](const GrantedEngine &Engine) {
    return Engine.Backend == Backend;
  };
  Work.Engines.erase(
      std::remove_if(Work.Engines.begin(), Work.Engines.end(), HasBackend),
      Work.Engines.end());
}

void repeatCancels(Context &C) {
  std::vector<AttemptId> GivenUp;
  for (auto &[Attempt, Work] : C.S.Cleanups) {
    if (Work.Next > C.Now)
      continue;
    if (Work.Rounds < C.S.Times.MaxCancelRounds) {
      cancelRound(C, Work);
      continue;
    }
    GivenUp.push_back(Attempt);
  }
  for (const AttemptId &Attempt : GivenUp) {
    Cleanup &Work = C.S.Cleanups.at(Attempt);
    Work.Report.End = AttemptEnd::Failed;
    decide(C, "cancel", Attempt.Request,
           "engines did not confirm the cancel of the attempt")
        .add("engines", static_cast<std::int64_t>(Work.Engines.size()))
        .add("rounds", static_cast<std::int64_t>(Work.Rounds));
    count(C, "pimento_unconfirmed_cancels_total");
    endCleanup(C, Attempt);
  }
}

void repeatResults(Context &C) {
  for (auto It = C.S.Results.begin(); It != C.S.Results.end();) {
    PendingClaimResult &PendingResult = It->second;
    if (PendingResult.Until <= C.Now) {
      decide(C, "claim", It->first,
             "the claim's outcome was not acknowledged in time");
      count(C, "pimento_unacknowledged_results_total");
      It = C.S.Results.erase(It);
      continue;
    }
    if (PendingResult.Next <= C.Now) {
      PendingResult.Next = C.Now + C.S.Times.ClaimRepeatInterval;
      C.Out.List.emplace_back(SendClaimResult{PendingResult.Result});
    }
    ++It;
  }
}

} // namespace

void startCleanup(Context &C, Cleanup Work) {
  AttemptId Attempt = Work.Report.Attempt;
  Cleanup &Kept = C.S.Cleanups[Attempt];
  Kept = std::move(Work);
  cancelRound(C, Kept);
}

void onCancelReply(Context &C, UpstreamId Upstream, const AttemptId &Attempt,
                   bool Confirmed) {
  auto Found = C.S.Cleanups.find(Attempt);
  if (Found == C.S.Cleanups.end())
    return;
  Cleanup &Work = Found->second;
  auto Call = Work.InFlight.find(static_cast<std::uint64_t>(Upstream));
  if (Call == Work.InFlight.end())
    return;
  BackendId Backend = Call->second;
  Work.InFlight.erase(Call);
  if (!Confirmed)
    return;
  removeEngine(Work, Backend);
  if (Work.Engines.empty())
    endCleanup(C, Attempt);
}

void repeatDueWork(Context &C) {
  if (C.S.NextFollowUp > C.Now)
    return;
  repeatCancels(C);
  repeatResults(C);
  TimePoint Next = TimePoint::max();
  for (const auto &[Attempt, Work] : C.S.Cleanups)
    Next = std::min(Next, Work.Next);
  for (const auto &[Id, PendingResult] : C.S.Results)
    Next = std::min(Next, PendingResult.Next);
  C.S.NextFollowUp = Next;
}

void onClaimResultAck(CallsState &State, const ClaimResultAck &A) {
  State.Results.erase(A.Request);
}

void onBackendGone(CallsState &State, const BackendId &Backend,
                   CallsEffects &Out) {
  Directory None;
  Context C{State, None, TimePoint(), Out};
  std::vector<AttemptId> Done;
  for (auto &[Attempt, Work] : State.Cleanups) {
    removeEngine(Work, Backend);
    if (Work.Engines.empty())
      Done.push_back(Attempt);
  }
  for (const AttemptId &Attempt : Done)
    endCleanup(C, Attempt);
}

} // namespace pimento::calls
