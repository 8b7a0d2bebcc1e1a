//===- PathCost.h - Overhead of the path through an entry host --*- C++ -*-===//
//
// Three measurements against one engine and one entry host:
//   measureLatency()   time to first token and between tokens, on both paths
//   measureMemory()    the host's memory for idle connections and streams
//   measureStreams()   how many streams are held with tokens flowing
//
// Each measurement is bounded in count and time.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "bench/PathCost/StreamClient.h"

#include <string>
#include <vector>

namespace pimento::bench {

struct PathCostOptions {
  std::string Engine; // ip:port; required.
  std::string Host; // ip:port of the entry host's caller listener; empty: none.
  std::string Token; // Token of a client account that may use Model.
  std::string Model = "base";
  int HostPid = 0;              // Process whose memory is measured; zero: none.
  std::uint64_t Requests = 200; // Latency requests per path.
  std::uint64_t Concurrency = 4; // Latency requests in flight per path.
  std::uint64_t PromptTokens = 1000;
  std::uint64_t AnswerTokens = 25;
  Duration Pause = milliseconds(100); // Maximum wait before a request.
  std::uint64_t Seed = 1;             // Seed of the random waits.
  std::uint64_t Streams = 200;  // Streams held open at once; also connections.
  Duration Hold = seconds(5);   // Time that streams are held open.
  Duration Limit = seconds(60); // Time limit of each measurement.
};

/// Latency over one path.
struct LatencyFigures {
  std::vector<Duration> FirstTokens;
  std::vector<Duration> Gaps;
  std::uint64_t Whole = 0;  // Complete answers that match their prompts.
  std::uint64_t Wrong = 0;  // Completed with a different text.
  std::uint64_t Failed = 0; // Refused, truncated or not ended in time.
};

struct LatencyReport {
  LatencyFigures Direct;
  LatencyFigures Host; // Empty without a host.
};

struct MemoryReport {
  std::uint64_t Connections = 0; // Open idle connections.
  std::uint64_t Streams = 0;     // Streams that receive tokens.
  std::uint64_t BaseBytes = 0;   // Resident memory before the measurement.
  std::uint64_t IdleBytes = 0;   // Resident memory with the idle connections.
  std::uint64_t StreamBytes = 0; // Resident memory with only the streams.
};

struct StreamsReport {
  std::uint64_t Asked = 0;
  std::uint64_t Held = 0; // Received a token within the last second of Hold.
  std::uint64_t Ended = 0;
  std::vector<Duration> Gaps;
  Duration HostCpu = Duration::zero(); // Used by the host during Hold.
};

LatencyReport measureLatency(event_base *Base, const PathCostOptions &Options);
MemoryReport measureMemory(event_base *Base, const PathCostOptions &Options);
StreamsReport measureStreams(event_base *Base, const PathCostOptions &Options,
                             Path Via);

/// Resident memory of a process in bytes; zero if it cannot be read.
std::uint64_t residentBytes(int Pid);
/// Processor time used by a process; zero if it cannot be read.
Duration processorTime(int Pid);

} // namespace pimento::bench
