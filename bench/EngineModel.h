//===- EngineModel.h - A model engine for benchmarks ------------*- C++ -*-===//
//
// Batches continuously: in each step every decoding attempt generates one
// token and prompts are prefilled by at most one chunk, the highest priority
// first. Memory is bounded; prefixes of earlier prompts stay cached in what is
// free.
//
//   step time = max(StepBase, chunk / PrefillRate)
//               + StepPerSequence * decoding
//
// A step reads the weights once, whatever it computes: a chunk that is no
// longer than that time costs the decoding attempts nothing.
//
// A group prefills one share at each of its engines; its leader decodes once
// all shares are done. Groups use no prefix cache.
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
  double PrefillRate = 40000;                   // Prompt tokens a second.
  Duration StepBase = milliseconds(18);         // Of reading the weights.
  Duration StepPerSequence = microseconds(120); // For each decoding attempt.
  std::uint32_t ChunkTokens = 1024;             // Prefilled in one step.
  std::uint64_t MemoryTokens = 480000; // Less than half of the longest prompt.
  std::uint32_t MaxBatch = 64;         // Attempts at a time.
  double GroupEfficiency = 0.9;        // Of each engine of a group, in prefill.
};

/// Engine seconds that a request costs at least: prefill at the full rate, and
/// decode in steps that are paid for by prefill. The unit of load: nothing can
/// serve more than one second of it a second on each engine.
double workSeconds(const EngineSpec &Spec, double UncachedTokens,
                   double OutputTokens);

/// One attempt, or one share of it, at one engine.
struct Job {
  AttemptId Id;
  std::uint64_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0; // That it will generate.
  std::uint64_t Memory = 0;       // Tokens held from start to end.
  std::uint32_t Priority = 1;
  std::uint32_t GroupSize = 1;
  bool Leader = true;
  std::vector<std::uint64_t> Prefixes;

  double PrefillLeft = 0;
  std::uint64_t CachedTokens = 0;
  std::uint32_t Generated = 0;
  bool Decoding = false;
  bool Held = false; // A share that is prefilled; only holds memory.
};

/// Prefixes kept in free memory; the ones used least recently go first.
struct PrefixCache {
  struct Entry {
    std::uint64_t Hash = 0;
    std::uint64_t Tokens = 0; // Beyond the next shorter prefix.
  };
  std::list<Entry> Recent; // Newest first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> ByHash;
  std::uint64_t Tokens = 0;
  std::vector<std::uint64_t> Added;   // Since the last report.
  std::vector<std::uint64_t> Removed; // Since the last report.
  std::uint64_t NextSequence = 1;     // Of the first of these.
};

struct EngineModel {
  EngineSpec Spec;
  BackendId Id;
  IncarnationNumber Incarnation = 1;
  bool Alive = true;
  bool Silent = false; // Accepts work and never says a word of it.
  double Slowness = 1; // Factor on every step's time.
  std::vector<Job> Running;
  std::deque<Job> Waiting; // For memory or a place in the batch.
  std::uint64_t UsedTokens = 0;
  PrefixCache Cache;
  bool Stepping = false;
  std::uint64_t Steps = 0; // Names a step; old events of it are dropped.
  std::vector<std::pair<AttemptId, double>> Plan; // Chunk of this step.
  std::uint64_t ReportSequence = 0;
};

enum class JobEventKind : std::uint8_t { ShareDone, FirstToken, Finished };
struct JobEvent {
  JobEventKind Kind = JobEventKind::FirstToken;
  Job At; // As it is after the step.
};

/// Takes a job in; it may wait for memory.
void submitJob(EngineModel &E, Job J);
/// Ends a job and frees its memory; false where there is none.
bool dropJob(EngineModel &E, const AttemptId &Id);
Job *findJob(EngineModel &E, const AttemptId &Id);
/// All shares of a group are prefilled: its leader decodes from now on.
void startDecode(EngineModel &E, const AttemptId &Id);

/// Plans the next step. Returns its length, nothing where there is no work.
std::optional<Duration> startStep(EngineModel &E);
/// Ends the step that was planned.
void finishStep(EngineModel &E, std::vector<JobEvent> &Events);

/// The engine dies or starts anew: it forgets everything.
void restartEngine(EngineModel &E);

/// The report of now. Takes the cache events.
LoadReport makeReport(EngineModel &E);

/// Whether the step leaves room for more prefill.
bool hasSpareChunk(const EngineModel &E);

} // namespace pimento::bench
