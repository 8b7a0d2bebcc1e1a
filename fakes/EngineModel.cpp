#include "fakes/EngineModel.h"

#include "fakes/EngineInternal.h"

#include <algorithm>

namespace pimento::fakes {

namespace {

std::uint64_t answerLength(const EngineConfig &Config, std::uint64_t Max) {
  return Config.AnswerTokens == 0 ? Max : std::min(Config.AnswerTokens, Max);
}

/// Memory that the attempt needs, summed over all engines of its group.
std::uint64_t memoryNeed(const Attempt &A) {
  return std::max<std::uint64_t>(1, A.PromptTokens + A.MaxTokens);
}

void fill(Attempt &A, const Engine &E, const GenerateOrder &Order) {
  A.Model = Order.Model;
  A.PromptHash = Order.PromptHash;
  A.PromptTokens = Order.PromptTokens;
  A.Prefixes = Order.Prefixes;
  A.MaxTokens = Order.MaxTokens;
  A.OutputTokens = answerLength(E.Config, Order.MaxTokens);
  A.Weight = Order.Weight > 0 ? Order.Weight : 1;
  A.Group = Order.Group;
}

/// Counts the attempt as a user of the prefixes that are already cached.
void usePrefixes(Engine &E, Attempt &A) {
  std::size_t Cached = cachedPrefixes(E.Cache, A.Prefixes);
  useSome(E.Cache, A.Prefixes, Cached);
  A.UsedPrefixes = Cached;
  std::uint64_t Tokens = Cached == 0 ? 0 : prefixTokens(Cached - 1);
  A.CachedTokens = std::max(A.CachedTokens, std::min(Tokens, A.PromptTokens));
}

/// Takes memory for the attempt and queues it.
bool start(Engine &E, Attempt &A, std::uint64_t Need, TimePoint Now) {
  // Must precede the allocation, which could evict these prefixes.
  usePrefixes(E, A);
  if (!takeMemory(E, Need)) {
    unuse(E.Cache, A.Prefixes, A.UsedPrefixes);
    A.UsedPrefixes = 0;
    return false;
  }
  A.Held = Need;
  A.Since = Now;
  A.PrefillLeft = static_cast<double>(A.PromptTokens - A.CachedTokens);
  A.State = AttemptState::Waiting;
  A.Order = ++E.Arrivals;
  E.Queue[{A.Weight, A.Order}] = &A;
  return true;
}

bool mayRun(const Engine &E, const GenerateOrder &Order, bool Imported) {
  if (E.Role == EngineRole::Prefill)
    return Order.MaxTokens == 0;
  return E.Role == EngineRole::Both || Imported;
}

Refusal check(const Engine &E, const GenerateOrder &Order) {
  if (E.Ended.Ids.count(Order.Id) > 0 || E.Reservations.count(Order.Id) > 0)
    return Refusal::Duplicate;
  auto Known = E.Attempts.find(Order.Id);
  bool Imported = Known != E.Attempts.end() &&
                  Known->second.State == AttemptState::Imported;
  if (Known != E.Attempts.end() && !Imported)
    return Refusal::Duplicate;
  if (E.Leaving)
    return Refusal::Leaving;
  if (E.Models.count(Order.Model) == 0)
    return Refusal::Model;
  return mayRun(E, Order, Imported) ? Refusal::None : Refusal::Role;
}

/// Frees the memory of an import. Returns how much of the prompt it saves.
std::uint64_t takeImport(Engine &E, const GenerateOrder &Order) {
  auto Known = E.Attempts.find(Order.Id);
  if (Known == E.Attempts.end())
    return 0;
  bool Same = Known->second.PromptHash == Order.PromptHash &&
              Known->second.Model == Order.Model;
  E.UsedTokens -= Known->second.Held;
  E.Attempts.erase(Known);
  return Same ? Order.PromptTokens : 0;
}

void finishAttempt(Engine &E, Attempt &A) {
  A.State = AttemptState::Done;
  // A prefill without an answer waits for its export, so it keeps its memory
  // for as long as an attempt without a connection does.
  if (A.MaxTokens > 0)
    releaseMemory(E, A);
  if (A.Streams == 0)
    expireAt(E, A, E.Clock + E.Config.ResumeTime);
}

/// Prefill rate of one attempt, in tokens per second.
double prefillRate(const Engine &E, const Attempt &A, double Weights) {
  return E.Config.PrefillRate / E.SlowFactor * A.Weight / Weights;
}

double prefillWeights(const Engine &E) {
  double Sum = 0;
  for (const Attempt *A : E.Batch)
    Sum += A->State == AttemptState::Prefill ? A->Weight : 0;
  return Sum;
}

void runPrefill(Engine &E, Duration Time) {
  double Weights = prefillWeights(E);
  if (Weights <= 0)
    return;
  for (Attempt *A : E.Batch) {
    if (A->State != AttemptState::Prefill)
      continue;
    double Done = prefillRate(E, *A, Weights) * toSeconds(Time);
    A->PrefillLeft = std::max(0.0, A->PrefillLeft - Done);
  }
}

void cachePrompt(Engine &E, Attempt &A) {
  // The leader of a group holds only a part of the prompt's memory.
  std::size_t Count = A.Prefixes.size();
  while (Count > A.UsedPrefixes && prefixTokens(Count - 1) > A.Held)
    --Count;
  std::vector<std::uint64_t> Whole(A.Prefixes);
  useSome(E.Cache, Whole, Count);
  unuse(E.Cache, Whole, A.UsedPrefixes);
  A.UsedPrefixes = Count;
}

void endPrefills(Engine &E) {
  constexpr double Rounding = 1e-6; // Tokens.
  for (Attempt *A : E.Batch) {
    if (A->State != AttemptState::Prefill || A->PrefillLeft > Rounding)
      continue;
    A->PrefillLeft = 0;
    cachePrompt(E, *A);
    A->State = AttemptState::Decode;
    A->Produced = std::min<std::uint64_t>(1, A->OutputTokens);
  }
}

void stepDecode(Engine &E) {
  if (E.Clock < E.NextStep)
    return;
  E.NextStep = Never;
  for (Attempt *A : E.Batch) {
    if (A->State == AttemptState::Decode)
      A->Produced = std::min(A->Produced + 1, A->OutputTokens);
  }
}

void leaveBatch(Engine &E) {
  std::vector<Attempt *> Staying;
  for (Attempt *A : E.Batch) {
    bool Over =
        A->State == AttemptState::Decode && A->Produced == A->OutputTokens;
    if (Over)
      finishAttempt(E, *A);
    else
      Staying.push_back(A);
  }
  E.Batch = std::move(Staying);
}

bool anyDecodes(const Engine &E) {
  for (const Attempt *A : E.Batch) {
    if (A->State == AttemptState::Decode)
      return true;
  }
  return false;
}

void scheduleStep(Engine &E) {
  if (E.NextStep != Never || !anyDecodes(E))
    return;
  E.NextStep =
      E.Clock + fromSeconds(toSeconds(E.Config.DecodeInterval) * E.SlowFactor);
}

void fillBatch(Engine &E) {
  while (!E.Queue.empty() && E.Batch.size() < E.Config.BatchSize) {
    Attempt *Next = E.Queue.begin()->second;
    E.Queue.erase(E.Queue.begin());
    Next->State = AttemptState::Prefill;
    E.Batch.push_back(Next);
  }
}

void expireAttempts(Engine &E) {
  if (E.Clock < E.NextExpiry)
    return;
  E.NextExpiry = Never;
  std::vector<std::string> Over;
  for (const auto &[Id, A] : E.Attempts) {
    if (A.ExpiresAt <= E.Clock)
      Over.push_back(Id);
    else
      E.NextExpiry = std::min(E.NextExpiry, A.ExpiresAt);
  }
  for (const std::string &Id : Over)
    giveUp(E, Id);
}

void expireReservations(Engine &E) {
  for (auto It = E.Reservations.begin(); It != E.Reservations.end();) {
    bool Kept = It->second.LeaseUntil > E.Clock || E.LeakCancels > 0;
    if (Kept) {
      ++It;
      continue;
    }
    E.UsedTokens -= It->second.Tokens;
    It = E.Reservations.erase(It);
  }
}

TimePoint prefillEnd(const Engine &E, const Attempt &A, double Weights) {
  double Seconds = A.PrefillLeft / prefillRate(E, A, Weights);
  // One nanosecond more, so that rounding leaves no remainder.
  return E.Clock + fromSeconds(Seconds) + Duration(1);
}

} // namespace

Refusal generate(Engine &E, const GenerateOrder &Order, TimePoint Now) {
  advance(E, Now);
  Refusal Reason = check(E, Order);
  if (Reason != Refusal::None)
    return Reason;
  Attempt A;
  A.CachedTokens = takeImport(E, Order);
  fill(A, E, Order);
  A.State = AttemptState::Checking;
  Attempt &Kept = E.Attempts[Order.Id] = std::move(A);
  if (!Order.Group && !start(E, Kept, memoryNeed(Kept), Now)) {
    E.Attempts.erase(Order.Id);
    return Refusal::Memory;
  }
  advance(E, Now);
  return Refusal::None;
}

Refusal confirmGroup(Engine &E, const std::string &Id,
                     std::uint64_t TokensElsewhere, TimePoint Now) {
  advance(E, Now);
  auto It = E.Attempts.find(Id);
  if (It == E.Attempts.end() || It->second.State != AttemptState::Checking)
    return Refusal::Duplicate; // The attempt was cancelled in the meantime.
  Attempt &A = It->second;
  std::uint64_t Need = memoryNeed(A);
  Need = Need > TokensElsewhere ? Need - TokensElsewhere : 1;
  if (!start(E, A, Need, Now)) {
    E.Attempts.erase(It);
    rememberEnded(E, Id);
    return Refusal::Memory;
  }
  advance(E, Now);
  return Refusal::None;
}

void loseGroup(Engine &E, const std::string &Id, TimePoint Now) {
  advance(E, Now);
  auto It = E.Attempts.find(Id);
  if (It == E.Attempts.end() || It->second.State == AttemptState::Done)
    return;
  Attempt &A = It->second;
  stopRunning(E, A);
  releaseMemory(E, A);
  A.State = AttemptState::Failed;
  if (A.Streams == 0)
    expireAt(E, A, Now + E.Config.ResumeTime);
  advance(E, Now);
}

void attach(Engine &E, const std::string &Id) {
  auto It = E.Attempts.find(Id);
  if (It == E.Attempts.end())
    return;
  ++It->second.Streams;
  It->second.ExpiresAt = Never;
}

void detach(Engine &E, const std::string &Id, TimePoint Now) {
  auto It = E.Attempts.find(Id);
  if (It == E.Attempts.end() || It->second.Streams == 0)
    return;
  if (--It->second.Streams == 0)
    expireAt(E, It->second, Now + E.Config.ResumeTime);
}

void advance(Engine &E, TimePoint Now) {
  while (true) {
    fillBatch(E);
    scheduleStep(E);
    TimePoint Next = std::max(E.Clock, std::min(nextEvent(E), Now));
    if (E.Clock == Next && nextEvent(E) > Next)
      return;
    runPrefill(E, Next - E.Clock);
    E.Clock = Next;
    endPrefills(E);
    stepDecode(E);
    leaveBatch(E);
    expireAttempts(E);
    expireReservations(E);
  }
}

TimePoint nextEvent(const Engine &E) {
  TimePoint Next = std::min(E.NextStep, E.NextExpiry);
  double Weights = prefillWeights(E);
  for (const Attempt *A : E.Batch) {
    if (A->State == AttemptState::Prefill)
      Next = std::min(Next, prefillEnd(E, *A, Weights));
  }
  if (E.LeakCancels > 0)
    return Next;
  for (const auto &[Id, R] : E.Reservations)
    Next = std::min(Next, R.LeaseUntil);
  return Next;
}

bool isIdle(const Engine &E) {
  for (const auto &[Id, A] : E.Attempts) {
    bool Over = A.State == AttemptState::Done ||
                A.State == AttemptState::Failed ||
                A.State == AttemptState::Orphan;
    if (!Over || A.Streams > 0)
      return false;
  }
  return E.Reservations.empty();
}

} // namespace pimento::fakes
