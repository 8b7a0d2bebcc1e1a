// Benchmarks the placer of a site of entry hosts (gateway/Placer.h) against a
// model of its engines.
//
//   placerBench                 all scenarios; a table and the bounds
//   placerBench --check         exit 1 if a bound is missed that the --known
//                               file does not list
//   placerBench --only TEXT     scenarios whose name contains it
//   placerBench --seed N

#include "PlacerFleet.h"
#include "Report.h"

#include <cstdio>
#include <cstdlib>

using namespace pimento;
using namespace pimento::bench;

namespace {

/// Least share of the long prompts' utility that the users accept on a day of
/// long bursts.
constexpr double MinLongUtility = 0.38;
/// Least rate at which the longest tenth of prompts is served, relative to all
/// prompts of their kind.
constexpr double MinLongestServed = 0.5;

/// Index of the long prompts in FleetRun::Kinds.
constexpr std::size_t Audits = 2;

EngineProfile engineProfile() {
  EngineProfile F;
  F.Slots = 12;
  F.MemoryTokens = 197200;
  F.StepsPerEvent = 48;
  F.ChunkTokens = 2048;
  F.Step = microseconds(1020);
  F.StepTimePerSequence = Duration(2260);
  F.StepTimePerThousandContext = Duration(4310);
  F.PrefillTokensPerSecond = 206000;
  F.PrefillTimePerMillionPairs = microseconds(138);
  return F;
}

/// The design offices' fleet with three times as many audits as usual and fewer
/// drafts.
FleetRun longBurst(std::uint64_t Seed) {
  FleetRun Run;
  Run.Engines = 54;
  Run.Profile = engineProfile();
  FleetRequestKind Draft;
  Draft.Name = "drafts";
  Draft.PerSecond = 36;
  Draft.MeanTokens = 4960;
  Draft.Spread = 0.9;
  Draft.MostTokens = 23800;
  Draft.AnswerTokens = 1450;
  Draft.Objective = milliseconds(300);
  Draft.InterEventObjective = milliseconds(250);
  Draft.EventTimeout = seconds(2);
  Draft.TimeLimit = seconds(10);
  FleetRequestKind Review;
  Review.Name = "reviews";
  Review.PerSecond = 6.1;
  Review.MeanTokens = 45000;
  Review.Spread = 0.5;
  Review.MostTokens = 110000;
  Review.AnswerTokens = 880;
  Review.Objective = milliseconds(1500);
  Review.InterEventObjective = milliseconds(600);
  Review.EventTimeout = seconds(6);
  Review.TimeLimit = seconds(10);
  FleetRequestKind Audit;
  Audit.Name = "audits";
  Audit.PerSecond = 10.6;
  Audit.MeanTokens = 190000;
  Audit.Spread = 0.55;
  Audit.MostTokens = 600000;
  Audit.AnswerTokens = 735;
  Audit.Objective = seconds(3);
  Audit.InterEventObjective = seconds(1);
  Audit.EventTimeout = seconds(12);
  Audit.TimeLimit = seconds(15);
  Run.Kinds = {Draft, Review, Audit};
  Run.Length = seconds(30);
  Run.Seed = Seed;
  return Run;
}

void printKind(const FleetRequestKind &Kind, const FleetFigures &F) {
  std::printf("  %-9s%6zu%8zu%6zu%9zu%6zu%9.3f%8.3f%9.3f%12.2f\n",
              Kind.Name.c_str(), F.Requests, F.OnTime, F.Late, F.Refused,
              F.CallerLeft, F.UtilityShare, F.ServedShare, F.ServedShareLongest,
              toSeconds(F.RefusedAfter));
}

/// Plays a scenario and checks the users' two limits for long prompts.
void runScenario(const std::string &Name, const FleetRun &Run, Report &R) {
  FleetResult Result = runFleet(Run);
  std::printf("%s\n", Name.c_str());
  for (std::size_t I = 0; I < Run.Kinds.size(); ++I)
    printKind(Run.Kinds[I], Result.ByKind[I]);
  const FleetFigures &Long = Result.ByKind[Audits];
  R.Bounds.push_back({Name + " long utility share", Long.UtilityShare,
                      MinLongUtility, /*AtLeast=*/true, ""});
  R.Bounds.push_back({Name + " longest tenth served, relative to all",
                      Long.ServedShareLongest / Long.ServedShare,
                      MinLongestServed, /*AtLeast=*/true, ""});
}

} // namespace

int main(int Count, char **Arguments) {
  bool Check = false;
  std::string Only;
  std::string Known = "KNOWN-RED.txt";
  std::uint64_t Seed = 7;
  for (int I = 1; I < Count; ++I) {
    const std::string Name = Arguments[I];
    const char *Value = I + 1 < Count ? Arguments[I + 1] : "";
    if (Name == "--check") {
      Check = true;
      continue;
    }
    ++I;
    if (Name == "--only") {
      Only = Value;
    } else if (Name == "--seed") {
      Seed = std::strtoull(Value, nullptr, 10);
    } else if (Name == "--known") {
      Known = Value;
    } else {
      std::fprintf(stderr, "unknown option %s\n", Name.c_str());
      return 2;
    }
  }
  struct Scenario {
    std::string Name;
    std::vector<SlowPeriod> Slow;
  };
  const std::vector<Scenario> Scenarios = {
      {"long-burst", {}},
      {"long-burst-few-slow", {{0.15, 4, seconds(5), seconds(17)}}},
      {"long-burst-many-slow", {{0.35, 4, seconds(5), seconds(25)}}},
  };
  std::printf("           count on time  late  refused  left  utility  served  "
              "longest  refused after, s\n");
  Report R;
  for (const Scenario &S : Scenarios) {
    if (S.Name.find(Only) == std::string::npos)
      continue;
    FleetRun Run = longBurst(Seed);
    Run.Slow = S.Slow;
    runScenario(S.Name, Run, R);
  }
  printBounds(R.Bounds);
  const std::size_t Misses = newMisses(R, Known, /*Quick=*/true);
  std::printf("%zu bounds, %zu new misses\n", R.Bounds.size(), Misses);
  return Check && Misses > 0 ? 1 : 0;
}
