//===- Workload.h - Arrivals of the two sites -------------------*- C++ -*-===//
//
//   Site S = pamoja();            // or taller()
//   std::vector<Arrival> A = makeArrivals(S, Spec, {0.8, Bursts}, Length,
//   Seed);
//
// Load is the share of the fleet's measured capacity that the arrivals need,
// counting every prefix shared with an earlier prompt as cached.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "EngineModel.h"
#include "base/Random.h"
#include "schedule/Queue.h"

#include <string>
#include <vector>

namespace pimento::bench {

/// One kind of request of a site.
struct RequestKind {
  const char *Name = "";
  LengthClass Class = LengthClass::Short;
  double Share = 0;        // Share of all requests.
  double LeastTokens = 0;  // Minimum prompt length.
  double MostTokens = 0;   // Maximum prompt length.
  bool HeavyHead = false;  // Prompt lengths have density 1/x^2 rather than 1/x.
  double OutputTokens = 0; // Mean; drawn from 0.5 to 1.5 times this.
  Duration Limit;          // The caller's time limit.
  double Reuse = 0; // Share that extends an earlier prompt of the account.
};

struct SiteAccount {
  AccountId Name;
  double Share = 0;         // Share of the site's requests.
  std::uint32_t Weight = 1; // Paid priority.
};

struct Site {
  std::string Name;
  std::size_t Engines = 0;
  std::vector<RequestKind> Kinds;
  std::vector<SiteAccount> Accounts;
  /// Maximum engine seconds of work that an engine completes per second: the
  /// best of all policies under an unlimited backlog, measured by `policyBench
  /// --capacity`. Below 1, as decode and memory limit it too.
  double Capacity = 1;
  /// CellConfig::LaneLoad: whether the site favours short or long requests.
  double LaneLoad = 1.1;
  double ShortMemoryShare = 0.08;
  std::size_t BurstPrompts = 0; // Longest prompts in a burst by one account.
};

Site pamoja(); // 20 replicas; inspections cause bursts of long audits.
Site taller(); // 15 replicas; chat drafts compete with portfolio reviews.

struct Arrival {
  TimePoint At;
  std::uint32_t Account = 0; // Index in the site.
  LengthClass Class = LengthClass::Short;
  std::uint64_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0; // Tokens generated.
  std::uint32_t MaxOutput = 0;    // Limit set by the caller.
  Duration Limit = Duration::zero();
  double Work = 0; // Engine seconds, excluding reused prefixes.
  std::vector<std::uint64_t> Prefixes;
};

struct Load {
  double Share = 0.8;  // Share of the fleet's capacity, see Site::Capacity.
  bool Bursts = false; // Varies the rate and sends long prompts in bursts.
};

/// Mean engine seconds of one request.
double meanWork(const Site &S, const EngineSpec &Spec);

/// Generates the arrivals in [RunStart, RunStart + Length), ordered by time.
std::vector<Arrival> makeArrivals(const Site &S, const EngineSpec &Spec,
                                  const Load &L, Duration Length,
                                  std::uint64_t Seed);

/// Adds requests of one kind from one account at \p Rate per second.
void addFlood(std::vector<Arrival> &Arrivals, const Site &S,
              const EngineSpec &Spec, std::size_t Kind, std::uint32_t Account,
              double Rate, TimePoint From, TimePoint To, std::uint64_t Seed);

/// Virtual start time of every run.
constexpr TimePoint RunStart = TimePoint(hours(1));

} // namespace pimento::bench
