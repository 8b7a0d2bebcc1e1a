//===- PathCost.h - What the way through a host costs -----------*- C++ -*-===//
//
// Three measurements against one engine and one entry host:
//   measureLatency()   time to first token and between tokens, by both ways
//   measureMemory()    the host's memory for idle connections and streams
//   measureStreams()   how many streams are held with tokens flowing
//
// Each is bounded in count and time.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "bench/PathCost/StreamClient.h"

#include <string>
#include <vector>

namespace pimento::bench {

struct PathCostOptions {
  std::string Engine; // ip:port; required.
  std::string Host;   // ip:port of its callers' listener; empty: none.
  std::string Token;  // Of a client account that may use Model.
  std::string Model = "base";
  int HostPid = 0;              // For its memory; zero: memory is not measured.
  std::uint64_t Requests = 200; // For latency, by each way.
  std::uint64_t Concurrency = 4; // Of these, in progress by each way.
  std::uint64_t PromptTokens = 1000;
  std::uint64_t AnswerTokens = 25;
  Duration Pause = milliseconds(100); // Longest wait before a request.
  std::uint64_t Seed = 1;             // Of the waits.
  std::uint64_t Streams = 200;        // To hold at once; also connections.
  Duration Hold = seconds(5);         // How long they are held.
  Duration Limit = seconds(60);       // Of each measurement.
};

/// What one way gave.
struct LatencyFigures {
  std::vector<Duration> FirstTokens;
  std::vector<Duration> Gaps;
  std::uint64_t Whole = 0;  // Whole answers to their own prompts.
  std::uint64_t Wrong = 0;  // Ended well with any other text.
  std::uint64_t Failed = 0; // Refused, cut, or not ended in time.
};

struct LatencyReport {
  LatencyFigures Direct;
  LatencyFigures Host; // Empty without a host.
};

struct MemoryReport {
  std::uint64_t Connections = 0; // Idle ones that were open.
  std::uint64_t Streams = 0;     // With tokens flowing.
  std::uint64_t BaseBytes = 0;   // Resident, before.
  std::uint64_t IdleBytes = 0;   // With the idle connections.
  std::uint64_t StreamBytes = 0; // With the streams, idle ones closed.
};

struct StreamsReport {
  std::uint64_t Asked = 0;
  std::uint64_t Held = 0; // Had a token within the last second of Hold.
  std::uint64_t Ended = 0;
  std::vector<Duration> Gaps;
  Duration HostCpu = Duration::zero(); // That the host used during Hold.
};

LatencyReport measureLatency(event_base *Base, const PathCostOptions &Options);
MemoryReport measureMemory(event_base *Base, const PathCostOptions &Options);
StreamsReport measureStreams(event_base *Base, const PathCostOptions &Options,
                             Path Via);

/// Resident bytes of a process; zero where it can't be read.
std::uint64_t residentBytes(int Pid);
/// Processor time that a process has used; zero where it can't be read.
Duration processorTime(int Pid);

} // namespace pimento::bench
