#include "EngineModel.h"

#include "schedule/Prefix.h"

#include <algorithm>

namespace pimento::bench {

namespace {

/// Limit of cache events in one report; more appear as a gap in the sequence.
constexpr std::size_t MaxReportedEvents = 512;

std::uint64_t coveredTokens(std::size_t Index) {
  return FirstPrefixTokens << Index;
}

void evict(EngineModel &E) {
  PrefixCache &C = E.Cache;
  const std::uint64_t Room = E.Spec.MemoryTokens > E.UsedTokens
                                 ? E.Spec.MemoryTokens - E.UsedTokens
                                 : 0;
  while (C.Tokens > Room && !C.Recent.empty()) {
    const PrefixCache::Entry Last = C.Recent.back();
    C.Tokens -= Last.Tokens;
    C.ByHash.erase(Last.Hash);
    C.Recent.pop_back();
    C.Removed.push_back(Last.Hash);
  }
}

void cachePrompt(EngineModel &E, const Job &J) {
  PrefixCache &C = E.Cache;
  for (std::size_t I = J.Prefixes.size(); I > 0; --I) {
    const std::uint64_t Hash = J.Prefixes[I - 1];
    auto Found = C.ByHash.find(Hash);
    if (Found != C.ByHash.end()) {
      C.Recent.splice(C.Recent.begin(), C.Recent, Found->second);
      continue;
    }
    const std::uint64_t Shorter = I > 1 ? coveredTokens(I - 2) : 0;
    C.Recent.push_front({Hash, coveredTokens(I - 1) - Shorter});
    C.ByHash.emplace(Hash, C.Recent.begin());
    C.Tokens += C.Recent.front().Tokens;
    C.Added.push_back(Hash);
  }
  evict(E);
}

std::uint64_t lookUp(EngineModel &E, const Job &J) {
  for (std::size_t I = J.Prefixes.size(); I > 0; --I) {
    auto Found = E.Cache.ByHash.find(J.Prefixes[I - 1]);
    if (Found == E.Cache.ByHash.end())
      continue;
    E.Cache.Recent.splice(E.Cache.Recent.begin(), E.Cache.Recent,
                          Found->second);
    return std::min(coveredTokens(I - 1), J.PromptTokens - 1);
  }
  return 0;
}

void begin(EngineModel &E, Job J) {
  if (J.GroupSize == 1) {
    J.CachedTokens = lookUp(E, J);
    J.PrefillLeft = static_cast<double>(J.PromptTokens - J.CachedTokens);
  } else {
    J.PrefillLeft = static_cast<double>(J.PromptTokens) / J.GroupSize /
                    E.Spec.GroupEfficiency;
  }
  E.UsedTokens += J.Memory;
  evict(E);
  E.Running.push_back(std::move(J));
}

void admitWaiting(EngineModel &E) {
  while (!E.Waiting.empty() && E.Running.size() < E.Spec.MaxBatch &&
         E.UsedTokens + E.Waiting.front().Memory <= E.Spec.MemoryTokens) {
    Job J = std::move(E.Waiting.front());
    E.Waiting.pop_front();
    begin(E, std::move(J));
  }
}

void planChunk(EngineModel &E) {
  E.Plan.clear();
  std::vector<const Job *> Prompts;
  for (const Job &J : E.Running)
    if (!J.Decoding && !J.Held)
      Prompts.push_back(&J);
  std::stable_sort(
      Prompts.begin(), Prompts.end(),
      [](const Job *A, const Job *B) { return A->Priority > B->Priority; });
  double Left = E.Spec.ChunkTokens;
  for (const Job *J : Prompts) {
    if (Left <= 0)
      break;
    const double Part = std::min(Left, J->PrefillLeft);
    E.Plan.emplace_back(J->Id, Part);
    Left -= Part;
  }
}

/// Adds one generated token to a decoding attempt.
void generate(EngineModel &E, Job &J, std::vector<JobEvent> &Events) {
  ++J.Generated;
  if (J.Generated == 1)
    Events.push_back({JobEventKind::FirstToken, J});
  if (J.Generated >= J.OutputTokens)
    Events.push_back({JobEventKind::Finished, J});
  (void)E;
}

void finishPrefill(EngineModel &E, Job &J, std::vector<JobEvent> &Events) {
  if (J.GroupSize > 1) {
    J.Held = true;
    Events.push_back({JobEventKind::ShareDone, J});
    return;
  }
  cachePrompt(E, J);
  J.Decoding = true;
}

} // namespace

double workSeconds(const EngineSpec &Spec, double UncachedTokens,
                   double OutputTokens) {
  return UncachedTokens / Spec.PrefillRate +
         OutputTokens * toSeconds(Spec.StepPerSequence);
}

void submitJob(EngineModel &E, Job J) {
  E.Waiting.push_back(std::move(J));
  admitWaiting(E);
}

Job *findJob(EngineModel &E, const AttemptId &Id) {
  for (Job &J : E.Running)
    if (J.Id == Id)
      return &J;
  return nullptr;
}

bool dropJob(EngineModel &E, const AttemptId &Id) {
  auto Same = [&](const Job &J) { return J.Id == Id; };
  auto Found = std::find_if(E.Running.begin(), E.Running.end(), Same);
  if (Found != E.Running.end()) {
    E.UsedTokens -= Found->Memory;
    E.Running.erase(Found);
    admitWaiting(E);
    return true;
  }
  auto Queued = std::find_if(E.Waiting.begin(), E.Waiting.end(), Same);
  if (Queued == E.Waiting.end())
    return false;
  E.Waiting.erase(Queued);
  return true;
}

void startDecode(EngineModel &E, const AttemptId &Id) {
  Job *J = findJob(E, Id);
  if (!J)
    return;
  J->Held = false;
  J->Decoding = true;
}

std::optional<Duration> startStep(EngineModel &E) {
  if (!E.Alive || E.Silent)
    return std::nullopt;
  admitWaiting(E);
  planChunk(E);
  double Decoding = 0;
  double Chunk = 0;
  for (const Job &J : E.Running)
    Decoding += J.Decoding ? 1 : 0;
  for (const auto &[Id, Tokens] : E.Plan)
    Chunk += Tokens;
  if (Decoding == 0 && Chunk == 0)
    return std::nullopt;
  const double Seconds =
      std::max(toSeconds(E.Spec.StepBase), Chunk / E.Spec.PrefillRate) +
      toSeconds(E.Spec.StepPerSequence) * Decoding;
  return fromSeconds(Seconds * E.Slowness);
}

void finishStep(EngineModel &E, std::vector<JobEvent> &Events) {
  for (Job &J : E.Running)
    if (J.Decoding)
      generate(E, J, Events);
  for (const auto &[Id, Tokens] : E.Plan) {
    Job *J = findJob(E, Id);
    if (!J)
      continue;
    J->PrefillLeft -= Tokens;
    if (J->PrefillLeft > 0.5)
      continue;
    finishPrefill(E, *J, Events);
    if (J->Decoding)
      generate(E, *J, Events);
  }
  for (const JobEvent &Event : Events)
    if (Event.Kind == JobEventKind::Finished)
      dropJob(E, Event.At.Id);
}

void restartEngine(EngineModel &E) {
  ++E.Incarnation;
  ++E.Steps;
  E.Running.clear();
  E.Waiting.clear();
  E.UsedTokens = 0;
  E.Cache = {};
  E.Stepping = false;
  E.ReportSequence = 0;
}

LoadReport makeReport(EngineModel &E) {
  PrefixCache &C = E.Cache;
  LoadReport R;
  R.Backend = E.Id;
  R.Incarnation = E.Incarnation;
  R.Sequence = ++E.ReportSequence;
  R.UsedTokens = E.UsedTokens;
  R.Running = static_cast<std::uint32_t>(E.Running.size());
  R.Waiting = static_cast<std::uint32_t>(E.Waiting.size());
  R.CacheSequence = C.NextSequence;
  C.NextSequence += C.Added.size() + C.Removed.size();
  if (C.Added.size() + C.Removed.size() <= MaxReportedEvents) {
    R.CacheAdded = C.Added;
    R.CacheRemoved = C.Removed;
  } else {
    R.CacheSequence = C.NextSequence;
  }
  C.Added.clear();
  C.Removed.clear();
  return R;
}

bool hasSpareChunk(const EngineModel &E) {
  double Chunk = 0;
  for (const auto &[Id, Tokens] : E.Plan)
    Chunk += Tokens;
  return Chunk < E.Spec.ChunkTokens;
}

} // namespace pimento::bench
