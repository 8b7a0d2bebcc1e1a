//===- EngineModel.h - A model engine for benchmarks ------------*- C++ -*-===//
//
// Models continuous batching: in each step every decoding attempt generates one
// token, and at most one chunk of prompts is prefilled, highest priority first.
// Memory is bounded; free memory caches the prefixes of earlier prompts.
//
//   step time = max(StepBase, chunk / PrefillRate)
//               + StepPerSequence * decoding
//
// Each step reads the weights once, whatever it computes. A chunk that takes no
// longer than this read does not slow down the decoding attempts.
//
// A prompt too long for one engine runs on a group of engines. Each engine
// prefills one share; the leader decodes once all shares are done. Groups do
// not use the prefix cache.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/MembershipMessages.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimento::bench {

struct EngineSpec {
  double PrefillRate = 40000;                   // Prompt tokens per second.
  Duration StepBase = milliseconds(18);         // Time to read the weights.
  Duration StepPerSequence = microseconds(120); // Per decoding attempt.
  std::uint32_t ChunkTokens = 1024;             // Prefill limit of a step.
  std::uint64_t MemoryTokens = 480000; // Less than half of the longest prompt.
  std::uint32_t MaxBatch = 64;         // Concurrent attempts.
  double GroupEfficiency = 0.9;        // Prefill rate in a group, relative.
};

/// Lower bound of the engine seconds that a request costs: prefill at the full
/// rate, and decode in steps whose base time is charged to prefill. Load is
/// measured in this unit; an engine serves at most one such second per second.
double workSeconds(const EngineSpec &Spec, double UncachedTokens,
                   double OutputTokens);

/// One attempt, or one share of it, at one engine.
struct Job {
  AttemptId Id;
  std::uint64_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0; // Tokens to generate.
  std::uint64_t Memory = 0;       // Tokens held from start to end.
  std::uint32_t Priority = 1;
  std::uint32_t GroupSize = 1;
  bool Leader = true;
  std::vector<std::uint64_t> Prefixes;

  double PrefillLeft = 0;
  std::uint64_t CachedTokens = 0;
  std::uint32_t Generated = 0;
  bool Decoding = false;
  bool Held = false; // Prefilled share that only holds memory.
};

/// Prefixes cached in free memory, with LRU eviction.
struct PrefixCache {
  struct Entry {
    std::uint64_t Hash = 0;
    std::uint64_t Tokens = 0; // Tokens beyond the next shorter prefix.
  };
  std::list<Entry> Recent; // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> ByHash;
  std::uint64_t Tokens = 0;
  std::vector<std::uint64_t> Added;   // Hashes added since the last report.
  std::vector<std::uint64_t> Removed; // Hashes evicted since the last report.
  std::uint64_t NextSequence = 1; // Sequence number of the first event above.
};

struct EngineModel {
  EngineSpec Spec;
  BackendId Id;
  IncarnationNumber Incarnation = 1;
  bool Alive = true;
  bool Silent = false; // Accepts work but never runs it.
  double Slowness = 1; // Multiplier of the step time.
  std::vector<Job> Running;
  std::deque<Job> Waiting; // Jobs waiting for memory or a batch slot.
  std::uint64_t UsedTokens = 0;
  PrefixCache Cache;
  bool Stepping = false;
  std::uint64_t Steps = 0; // Step number; events of earlier steps are dropped.
  std::vector<std::pair<AttemptId, double>> Plan; // Prefill of this step.
  std::uint64_t ReportSequence = 0;
};

enum class JobEventKind : std::uint8_t { ShareDone, FirstToken, Finished };
struct JobEvent {
  JobEventKind Kind = JobEventKind::FirstToken;
  Job At; // Job state after the step.
};

/// Submits a job, which may wait for memory.
void submitJob(EngineModel &E, Job J);
/// Ends a job and frees its memory. Returns false if the job is unknown.
bool dropJob(EngineModel &E, const AttemptId &Id);
Job *findJob(EngineModel &E, const AttemptId &Id);
/// Starts decoding at a group's leader, after all shares are prefilled.
void startDecode(EngineModel &E, const AttemptId &Id);

/// Plans the next step. Returns its length, or nothing if there is no work.
std::optional<Duration> startStep(EngineModel &E);
/// Completes the planned step and appends its events to \p Events.
void finishStep(EngineModel &E, std::vector<JobEvent> &Events);

/// Clears all jobs and the cache, for an engine that stops or restarts.
void restartEngine(EngineModel &E);

/// Makes a report of the current load. Clears the pending cache events.
LoadReport makeReport(EngineModel &E);

/// Whether the planned step leaves room for more prefill.
bool hasSpareChunk(const EngineModel &E);

} // namespace pimento::bench
