#include "Figures.h"
#include "Simulation.h"
#include "Workload.h"

#include <cstdio>
#include <cstring>
#include <ctime>

using namespace pimento;
using namespace pimento::bench;

int main(int argc, char **argv) {
  const Duration Length = seconds(argc > 1 ? std::atoi(argv[1]) : 300);
  const char *Only = argc > 2 ? argv[2] : "";
  for (const Site &S : {pamoja(), taller()})
    for (bool Bursts : {false, true})
      for (double Share : {.5, .8, .95, 1.2}) {
        char Name[64];
        std::snprintf(Name, sizeof Name, "%s-%d-%s", S.Name.c_str(),
                      int(Share * 100 + .5), Bursts ? "bursts" : "steady");
        if (*Only && !std::strstr(Name, Only))
          continue;
        RunConfig C;
        auto Arrivals = makeArrivals(S, C.Engine, {Share, Bursts}, Length, 7);
        auto Short = shortOnly(Arrivals);
        RunResult Alone = run(C, S, Short);
        std::printf("%s: %zu requests, %zu short\n", Name, Arrivals.size(),
                    Short.size());
        Figures FA = figuresOf(Alone, S, Short, Length);
        std::printf("alone s50 %.2f s95 %.2f total95 %.2f ref %zu drop %zu "
                    "miss %zu good %.2f saved %.3f\n",
                    FA.Classes[0].First50, FA.Classes[0].First95,
                    FA.Classes[0].Total95, FA.Classes[0].Refused,
                    FA.Classes[0].Dropped, FA.Classes[0].Missed, FA.Goodput,
                    FA.SavedShare);
        std::printf("%-12s %6s %6s %6s %6s |%6s %6s %6s |%6s %6s %6s %5s|%6s "
                    "%6s %6s %5s| %5s %5s %5s %s\n",
                    "policy", "slow50", "slow95", "slow99", "first", "s50",
                    "s95", "s99", "m50", "m95", "m99", "ok", "l50", "l95",
                    "l99", "ok", "good", "saved", "avoid", "ref/drop/miss");
        for (Policy P : AllPolicies) {
          C.Kind = P;
          std::clock_t T = std::clock();
          RunResult R = run(C, S, Arrivals);
          double Cpu = double(std::clock() - T) / CLOCKS_PER_SEC;
          Figures F = figuresOf(R, S, Arrivals, Length);
          Slowdown D = slowdownOf(R, Alone, Arrivals);
          auto &Sh = F.Classes[0], &Me = F.Classes[1], &Lo = F.Classes[2];
          std::printf(
              "%-12s r95 %.2f tot %.2f %6.2f %6.2f %6.2f %6.2f |%6.2f %6.2f "
              "%6.2f |%6.2f %6.2f "
              "%6.2f %5.3f|%6.1f %6.1f %6.1f %5.3f| %5.2f %5.3f %5zu "
              "%zu/%zu/%zu %zu/%zu/%zu %zu/%zu/%zu cpu %.1f dbl %lu ew %lu "
              "held %lu/%lu hold %.1f un %zu tw %zu mw %lu\n",
              toString(P), Sh.Total95 / FA.Classes[0].Total95, Sh.Total95,
              D.P50, D.P95, D.P99, D.First95, Sh.First50, Sh.First95,
              Sh.First99, Me.First50, Me.First95, Me.First99,
              double(Me.Finished) / Me.Requests, Lo.First50, Lo.First95,
              Lo.First99, double(Lo.Finished) / Lo.Requests, F.Goodput,
              F.SavedShare, F.Avoidable, Sh.Refused, Sh.Dropped, Sh.Missed,
              Me.Refused, Me.Dropped, Me.Missed, Lo.Refused, Lo.Dropped,
              Lo.Missed, Cpu, R.DoubleRuns, R.EngineWaits, R.HeldAtEnd,
              R.LedgerAtEnd, toSeconds(R.LongestHold), F.Unanswered,
              F.AnsweredTwice, R.MaxWaiting);
        }
      }
}
