#include "fakes/EngineInternal.h"

#include <algorithm>

namespace pimento::fakes {

namespace {

/// Whether the cancel number \p Times of an attempt frees its memory.
bool cancelFrees(const Engine &E, std::uint64_t Times) {
  return Times >= E.LeakCancels;
}

std::uint64_t dropExportsOf(Engine &E, const std::string &Id) {
  std::uint64_t Tokens = 0;
  for (auto It = E.Exports.begin(); It != E.Exports.end();) {
    if (It->second.Attempt != Id) {
      ++It;
      continue;
    }
    Tokens += It->second.Tokens;
    It = E.Exports.erase(It);
  }
  E.UsedTokens -= Tokens;
  return Tokens;
}

std::uint64_t exportedTokens(const Engine &E, const std::string &Id) {
  std::uint64_t Tokens = 0;
  for (const auto &[Handle, X] : E.Exports)
    Tokens += X.Attempt == Id ? X.Tokens : 0;
  return Tokens;
}

void becomeOrphan(Engine &E, Attempt &A) {
  stopRunning(E, A);
  A.State = AttemptState::Orphan;
  A.ExpiresAt = Never;
}

void cancelAttempt(Engine &E, const std::string &Id, CancelResult &Result) {
  auto It = E.Attempts.find(Id);
  if (It == E.Attempts.end())
    return;
  Attempt &A = It->second;
  Result.Outcome = CancelOutcome::Freed;
  if (!cancelFrees(E, ++A.Cancels) && A.Held > 0) {
    becomeOrphan(E, A);
    Result = {CancelOutcome::Held, A.Held};
    return;
  }
  Result.Tokens += A.Held;
  stopRunning(E, A);
  releaseMemory(E, A);
  E.Attempts.erase(It);
}

void cancelReservation(Engine &E, const std::string &Id, CancelResult &Result) {
  auto It = E.Reservations.find(Id);
  if (It == E.Reservations.end())
    return;
  if (!cancelFrees(E, ++It->second.Cancels)) {
    Result = {CancelOutcome::Held, It->second.Tokens};
    return;
  }
  Result.Outcome = CancelOutcome::Freed;
  Result.Tokens += It->second.Tokens;
  E.UsedTokens -= It->second.Tokens;
  E.Reservations.erase(It);
}

} // namespace

bool takeMemory(Engine &E, std::uint64_t Tokens) {
  if (Tokens > E.Config.MemoryTokens - E.UsedTokens)
    return false;
  E.UsedTokens += Tokens;
  shrinkTo(E.Cache, E.Config.MemoryTokens - E.UsedTokens);
  return true;
}

void releaseMemory(Engine &E, Attempt &A) {
  E.UsedTokens -= A.Held;
  A.Held = 0;
  unuse(E.Cache, A.Prefixes, A.UsedPrefixes);
  A.UsedPrefixes = 0;
  shrinkTo(E.Cache, E.Config.MemoryTokens - E.UsedTokens);
}

void giveUp(Engine &E, const std::string &Id) {
  auto It = E.Attempts.find(Id);
  if (It == E.Attempts.end())
    return;
  if (E.LeakCancels > 0 && It->second.Held > 0) {
    becomeOrphan(E, It->second);
    return;
  }
  stopRunning(E, It->second);
  releaseMemory(E, It->second);
  E.Attempts.erase(It);
  rememberEnded(E, Id);
}

void stopRunning(Engine &E, Attempt &A) {
  if (A.State == AttemptState::Waiting)
    E.Queue.erase({A.Weight, A.Order});
  auto It = std::find(E.Batch.begin(), E.Batch.end(), &A);
  if (It == E.Batch.end())
    return;
  *It = E.Batch.back();
  E.Batch.pop_back();
}

void expireAt(Engine &E, Attempt &A, TimePoint At) {
  A.ExpiresAt = At;
  E.NextExpiry = std::min(E.NextExpiry, At);
}

void rememberEnded(Engine &E, const std::string &Id) {
  if (!E.Ended.Ids.insert(Id).second)
    return;
  E.Ended.Order.push_back(Id);
  if (E.Ended.Order.size() <= MaxEndedIds)
    return;
  E.Ended.Ids.erase(E.Ended.Order.front());
  E.Ended.Order.pop_front();
}

Refusal reserve(Engine &E, const std::string &Id, std::uint64_t Tokens,
                Duration Lease, TimePoint Now) {
  advance(E, Now);
  if (E.Ended.Ids.count(Id) > 0 || E.Attempts.count(Id) > 0)
    return Refusal::Duplicate;
  auto It = E.Reservations.find(Id);
  std::uint64_t Had = It == E.Reservations.end() ? 0 : It->second.Tokens;
  if (Had == 0 && E.Leaving)
    return Refusal::Leaving;
  E.UsedTokens -= Had;
  if (Tokens == 0 || !takeMemory(E, Tokens)) {
    E.UsedTokens += Had;
    return Refusal::Memory;
  }
  Reservation &R = E.Reservations[Id];
  R.Tokens = Tokens;
  R.Since = Had == 0 ? Now : R.Since;
  R.LeaseUntil = Now + Lease;
  return Refusal::None;
}

CancelResult cancel(Engine &E, const std::string &Id, TimePoint Now) {
  advance(E, Now);
  CancelResult Result;
  cancelAttempt(E, Id, Result);
  cancelReservation(E, Id, Result);
  bool Leaks = Result.Outcome == CancelOutcome::Held;
  if (!Leaks && exportedTokens(E, Id) > 0) {
    Result.Outcome = CancelOutcome::Freed;
    Result.Tokens += dropExportsOf(E, Id);
  }
  rememberEnded(E, Id);
  shrinkTo(E.Cache, E.Config.MemoryTokens - E.UsedTokens);
  advance(E, Now);
  return Result;
}

Refusal exportAttempt(Engine &E, const std::string &Id, TimePoint Now,
                      std::string &Handle) {
  advance(E, Now);
  auto It = E.Attempts.find(Id);
  if (It == E.Attempts.end() || It->second.Held == 0)
    return Refusal::Missing;
  Attempt &A = It->second;
  if (A.Group)
    return Refusal::Group;
  bool Over = A.State == AttemptState::Done;
  if (!Over && A.State != AttemptState::Decode)
    return Refusal::Missing;
  Export X;
  X.Attempt = Id;
  X.Model = A.Model;
  X.PromptHash = A.PromptHash;
  X.Tokens = std::max<std::uint64_t>(1, A.PromptTokens + A.Produced);
  X.Since = Now;
  // A finished prefill frees its memory before the export takes the same
  // amount, so that export is never refused for lack of memory. A running
  // attempt keeps its memory, so its export needs memory in addition and may be
  // refused.
  if (Over)
    releaseMemory(E, A);
  if (!takeMemory(E, X.Tokens))
    return Refusal::Memory;
  Handle = "kv-" + std::to_string(++E.ExportsMade);
  E.Exports[Handle] = std::move(X);
  return Refusal::None;
}

bool dropExport(Engine &E, const std::string &Handle) {
  auto It = E.Exports.find(Handle);
  if (It == E.Exports.end())
    return false;
  E.UsedTokens -= It->second.Tokens;
  E.Exports.erase(It);
  return true;
}

Refusal importAttempt(Engine &E, const std::string &Id, const Export &From,
                      TimePoint Now) {
  advance(E, Now);
  if (E.Ended.Ids.count(Id) > 0 || E.Attempts.count(Id) > 0)
    return Refusal::Duplicate;
  if (E.Leaving)
    return Refusal::Leaving;
  if (E.Models.count(From.Model) == 0)
    return Refusal::Model;
  if (!takeMemory(E, From.Tokens))
    return Refusal::Memory;
  Attempt A;
  A.State = AttemptState::Imported;
  A.Model = From.Model;
  A.PromptHash = From.PromptHash;
  A.Held = From.Tokens;
  A.Since = Now;
  expireAt(E, A, Now + E.Config.ResumeTime);
  E.Attempts[Id] = std::move(A);
  return Refusal::None;
}

const char *toString(Refusal R) {
  switch (R) {
  case Refusal::None:
    return "none";
  case Refusal::Memory:
    return "memory";
  case Refusal::Model:
    return "model";
  case Refusal::Leaving:
    return "leaving";
  case Refusal::Group:
    return "group";
  case Refusal::Duplicate:
    return "duplicate";
  case Refusal::Role:
    return "role";
  case Refusal::Missing:
    return "missing";
  }
  return "none";
}

const char *toString(AttemptState S) {
  switch (S) {
  case AttemptState::Imported:
    return "imported";
  case AttemptState::Checking:
    return "checking";
  case AttemptState::Waiting:
    return "waiting";
  case AttemptState::Prefill:
    return "prefill";
  case AttemptState::Decode:
    return "decode";
  case AttemptState::Done:
    return "done";
  case AttemptState::Failed:
    return "failed";
  case AttemptState::Orphan:
    return "orphan";
  }
  return "failed";
}

const char *toString(EngineRole R) {
  switch (R) {
  case EngineRole::Both:
    return "both";
  case EngineRole::Prefill:
    return "prefill";
  case EngineRole::Decode:
    return "decode";
  }
  return "both";
}

} // namespace pimento::fakes
