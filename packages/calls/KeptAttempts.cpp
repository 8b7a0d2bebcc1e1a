// An attempt at a silent engine goes on while another engine is tried: the
// engine may be slow, or its path may be lost for a moment. The first bytes of
// the silent engine, or the first token of the other one, decide which of them
// answers.

#include "calls/CallsInternal.h"

#include "engine/Adapter.h"

#include <algorithm>

namespace pimento::calls {

namespace {

KeptAttempt *findKept(Request &R, UpstreamId Upstream) {
  if (!R.Generation || Upstream == UpstreamId())
    return nullptr;
  for (KeptAttempt &Kept : R.Generation->Kept) {
    if (Kept.Attempt.Silent.Upstream == Upstream ||
        Kept.Resume.Upstream == Upstream)
      return &Kept;
  }
  return nullptr;
}

void erase(Request &R, KeptAttempt &Kept) {
  std::vector<KeptAttempt> &All = R.Generation->Kept;
  All.erase(All.begin() + (&Kept - All.data()));
}

/// Frees the engines of a kept attempt.
void endKept(Context &C, Request &R, KeptAttempt &Kept, const char *Reason) {
  decide(C, "cancel", R.Id, Reason)
      .add("backend", Kept.Attempt.CurrentGrant.Engines[0].Backend.Value)
      .add("offset", static_cast<std::int64_t>(Kept.Attempt.NextOffset));
  dropSilentCall(C, Kept.Resume);
  dropSilentCall(C, Kept.Attempt.Silent);
  bool HoldsNothing = holdsNothing(Kept.Attempt);
  releaseEngines(C, R, Kept.Attempt,
                 HoldsNothing ? AttemptEnd::Unused : AttemptEnd::Cancelled,
                 !HoldsNothing);
  erase(R, Kept);
}

/// Makes a kept attempt the current one, whose attempt has ended.
void restore(Context &C, Request &R, KeptAttempt &Kept) {
  GenerationPart &G = *R.Generation;
  dropSilentCall(C, Kept.Resume);
  G.CurrentAttempt = std::move(Kept.Attempt);
  G.Text = std::move(Kept.Text);
  erase(R, Kept);
  G.CurrentAttempt.Resumes = 0;
  R.AttemptServer = BackendId(); // A further retry needs the budget.
  continueSilentCall(C, R);
  decide(C, "resume", R.Id, "the silent engine's call continues")
      .add("backend", G.CurrentAttempt.CurrentGrant.Engines[0].Backend.Value)
      .add("offset", static_cast<std::int64_t>(G.CurrentAttempt.NextOffset));
}

/// Records that a kept attempt may have run. A failure that was known to be
/// "not run" before is no longer proved.
void noteRun(Context &C, Request &R, EngineAttempt &T) {
  if (T.SentAt == TimePoint())
    T.SentAt = C.Now;
  R.MayHaveRun = true;
  if (info(R.LastFailure.Number).Result == Outcome::NotRun)
    R.LastFailure.Number = Code::BackendFailed;
}

/// A call of a kept attempt ended without an answer. The attempt goes on while
/// another call of it is open.
void endCallOfKept(Context &C, Request &R, KeptAttempt &Kept,
                   UpstreamId Upstream) {
  SilentCall &Silent = Kept.Attempt.Silent;
  if (Upstream == Silent.Upstream)
    std::swap(Silent, Kept.Resume);
  Kept.Resume = SilentCall();
  if (Silent.Upstream == UpstreamId())
    endKept(C, R, Kept, "the silent engine's call ended");
}

void readHeadOfKept(Context &C, Request &R, KeptAttempt &Kept, const Event &E) {
  constexpr int UnknownAttempt = 404;
  noteRun(C, R, Kept.Attempt);
  bool OfResume = E.Upstream == Kept.Resume.Upstream;
  SilentCall &Call = OfResume ? Kept.Resume : Kept.Attempt.Silent;
  Call.Status = E.Status;
  Call.Headers = *E.Headers;
  if (E.Status == 200)
    return;
  if (OfResume && E.Status != UnknownAttempt)
    dropSilentCall(C, Kept.Resume);
  else
    endKept(C, R, Kept, "the silent engine refused the attempt");
}

void readDataOfKept(Context &C, Request &R, KeptAttempt &Kept, const Event &E) {
  SilentCall &Silent = Kept.Attempt.Silent;
  if (E.Upstream == Kept.Resume.Upstream) {
    dropSilentCall(C, Silent); // The resumed call replaces it.
    std::swap(Silent, Kept.Resume);
  }
  if (Silent.Status != 200) {
    endKept(C, R, Kept, "the silent engine refused the attempt");
    return;
  }
  if (R.State != Phase::BackingOff) // Otherwise it has ended already.
    concludeAttempt(C, R, AttemptEnd::Cancelled, /*Cancel=*/true);
  restore(C, R, Kept);
  readData(C, R, E);
}

} // namespace

void keepAttempt(Context &C, Request &R, const AttemptFailure &Why) {
  GenerationPart &G = *R.Generation;
  EngineAttempt &T = G.CurrentAttempt;
  avoidEngine(R, T);
  R.MayHaveRun = R.MayHaveRun || T.SentAt != TimePoint();
  R.LastFailure = {
      codeByProof(R, Why.NotRun, Code::BackendFailed), Why.Detail, {}};
  KeptAttempt &Kept = G.Kept.emplace_back();
  Kept.Attempt = std::move(T);
  Kept.Text = std::move(G.Text);
  Kept.NextResume = C.Now + C.S.Times.StreamIdleTimeout;
  T = EngineAttempt();
  G.Text.clear();
  backOff(C, R);
}

bool resumeKept(Context &C, Request &R) {
  if (R.Generation->Kept.empty())
    return false;
  restore(C, R, R.Generation->Kept.back());
  return true;
}

void dropKept(Context &C, Request &R) {
  while (R.Generation && !R.Generation->Kept.empty())
    endKept(C, R, R.Generation->Kept.back(),
            "the request ends, or another engine answers it");
}

bool isKept(const Request &R, const AttemptId &Attempt) {
  if (!R.Generation)
    return false;
  const std::vector<KeptAttempt> &All = R.Generation->Kept;
  return std::any_of(All.begin(), All.end(), [&](const KeptAttempt &Kept) {
    return Kept.Attempt.Id == Attempt;
  });
}

bool handleKept(Context &C, Request &R, const Event &E) {
  KeptAttempt *Kept = findKept(R, E.Upstream);
  if (Kept == nullptr)
    return false;
  if (E.Kind == EventKind::Sent) {
    noteRun(C, R, Kept->Attempt);
  } else if (E.Kind == EventKind::Head) {
    readHeadOfKept(C, R, *Kept, E);
  } else if (E.Kind == EventKind::Data) {
    readDataOfKept(C, R, *Kept, E);
  } else {
    if (E.Kind == EventKind::Failed && E.Failure->BytesSent)
      noteRun(C, R, Kept->Attempt);
    endCallOfKept(C, R, *Kept, E.Upstream);
  }
  return true;
}

void readKept(Context &C, Request &R, const Event &E) {
  if (!handleKept(C, R, E))
    ignore(C, R, E);
}

TimePoint nextKeptWork(const Request &R) {
  TimePoint Next = TimePoint::max();
  if (!R.Generation)
    return Next;
  for (const KeptAttempt &Kept : R.Generation->Kept) {
    Next = std::min(Next, Kept.NextResume);
    if (Kept.Attempt.CurrentGrant.Engines.size() > 1)
      Next = std::min(Next, Kept.Attempt.NextReservation);
  }
  return Next;
}

bool followKept(Context &C, Request &R) {
  if (nextKeptWork(R) > C.Now)
    return false;
  for (KeptAttempt &Kept : R.Generation->Kept) {
    EngineAttempt &T = Kept.Attempt;
    keepReservations(C, R.Id, T);
    if (Kept.NextResume > C.Now)
      continue;
    Kept.NextResume = C.Now + C.S.Times.StreamIdleTimeout;
    if (Kept.Resume.Upstream != UpstreamId())
      continue;
    Kept.Resume = SilentCall();
    Kept.Resume.Resumed = true;
    Kept.Resume.Upstream = openUpstreamFor(
        C, resumeRequest(T.CurrentGrant.Engines[0].Address, T.Id, T.NextOffset),
        {UpstreamUse::Main, R.Id, {}});
    count(C, "pimento_resumes_total");
  }
  return true;
}

} // namespace pimento::calls
