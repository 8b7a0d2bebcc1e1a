#include "Scenarios.h"

#include "schedule/Cell.h"
#include "schedule/CellMap.h"
#include "wire/Messages.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace pimento::bench {

namespace {

constexpr double DecisionMicroseconds = 20;
constexpr std::size_t Accounts = 5500;
constexpr std::size_t CellEngines = 32;
// The fleet of the letter.
constexpr double FleetRequests = 39000; // A second.
constexpr double FleetNodes = 800;
constexpr double FleetReplicas = 5900;
constexpr double NodeBytes = 17000; // A second, sent.

const ModelName Model("atlas");
const HostId Entry("host-1");

Ask makeAsk(std::uint64_t Lo, Random &R) {
  Ask A;
  A.Attempt = {{0x9E3779B97F4A7C15ULL, Lo}, 1};
  A.Account = AccountId("account-" + std::to_string(below(R, Accounts)));
  A.Service = ServiceId("chat");
  A.Model = Model;
  A.PromptTokens = 1024 + below(R, 8000);
  A.OutputTokens = 400;
  A.TimeLeft = minutes(20);
  A.Prefixes = {R(), R(), R()};
  A.Cell = cellId(Model, 0);
  return A;
}

/// A cell whose engines are full and which has \p Waiting asks.
CellState fullCell(std::size_t Waiting, Random &R, TimePoint Now) {
  CellConfig Config;
  Config.Cell = cellId(Model, 0);
  Config.QueueLength = 2 * Waiting;
  Config.AccountQueueLength = Waiting;
  CellState S = startCell(Config, Now);
  CellEffects Out;
  for (std::size_t I = 0; I < CellEngines; ++I) {
    BackendRecord B;
    B.Id = BackendId("engine-" + std::to_string(I));
    B.Life = 1;
    B.Address = "10.0.0.1:8000";
    B.Models = {Model};
    B.MemoryTokens = 480000;
    setBackend(S, B, Now, Out);
  }
  std::uint64_t Lo = 0;
  while (S.Queue.Asks.size() < Waiting) {
    onAsk(S, Entry, makeAsk(++Lo, R), Now, Out);
    Out = {};
  }
  return S;
}

/// Microseconds of one release, with the grant that follows, and one ask: the
/// median of several batches, which a busy machine disturbs least.
double decisionCost(std::size_t Waiting) {
  constexpr int Batches = 15;
  constexpr int BatchSize = 200;
  Random R(3);
  const TimePoint Now = TimePoint(hours(1));
  CellState S = fullCell(Waiting, R, Now);
  std::uint64_t Lo = 1U << 30U;
  std::vector<double> Costs;
  for (int B = 0; B < Batches; ++B) {
    std::vector<Release> Ends;
    for (const auto &[Id, G] : S.Grants) {
      if (Ends.size() == BatchSize)
        break;
      Release End;
      End.Attempt = Id;
      Ends.push_back(End);
    }
    std::vector<Ask> Asks;
    for (std::size_t I = 0; I < Ends.size(); ++I)
      Asks.push_back(makeAsk(++Lo, R));
    const auto Start = std::chrono::steady_clock::now();
    for (std::size_t I = 0; I < Ends.size(); ++I) {
      CellEffects Out;
      onRelease(S, Entry, Ends[I], Now, Out);
      onAsk(S, Entry, Asks[I], Now, Out);
    }
    const std::chrono::duration<double, std::micro> Spent =
        std::chrono::steady_clock::now() - Start;
    Costs.push_back(Spent.count() / static_cast<double>(Ends.size()));
  }
  return quantile(Costs, .5);
}

struct RequestBytes {
  double Entry = 0;     // Sent by the entry host.
  double Scheduler = 0; // Sent by the scheduler.
};

/// Bytes of one request's messages. Renewals and progress are shared by the
/// attempts of a host in a cell; \p Together of them at a time.
RequestBytes requestBytes(double Together) {
  Random R(5);
  const Ask A = makeAsk(123456, R);
  Grant G;
  G.Attempt = A.Attempt;
  G.Epoch = 7;
  G.Lease = seconds(2);
  G.Cell = A.Cell;
  G.Engines = {{BackendId("engine-17"), "10.12.13.14:8000", 9000}};
  Release End;
  End.Attempt = A.Attempt;
  End.PromptTokens = 5000;
  End.CachedTokens = 1024;
  End.OutputTokens = 210;
  End.FirstToken = milliseconds(230);
  End.Total = milliseconds(6700);
  End.Cell = A.Cell;
  RenewGrants Renew;
  Renew.Cell = A.Cell;
  Renew.Life = 1764800000;
  Renew.Hi = A.Attempt.Request.Hi;
  Progress Moved;
  Moved.Cell = A.Cell;
  Moved.Hi = A.Attempt.Request.Hi;
  const double EmptyRenew = static_cast<double>(encode(Renew).size());
  const double EmptyMoved = static_cast<double>(encode(Moved).size());
  Renew.Grants = {{123456, 1}};
  Moved.Attempts = {{{123456, 1}, 5000, 100}};
  const double OneRenew =
      static_cast<double>(encode(Renew).size()) - EmptyRenew;
  const double OneMoved =
      static_cast<double>(encode(Moved).size()) - EmptyMoved;
  // At the size of the letter an attempt lives 7 s, is renewed every 2 s under
  // a lease of 5 s and tells its progress as often.
  const double Times = 3.5;
  RequestBytes B;
  B.Entry =
      static_cast<double>(encode(A).size() + encode(End).size()) +
      Times * (OneRenew + OneMoved + (EmptyRenew + EmptyMoved) / Together);
  B.Scheduler = static_cast<double>(encode(G).size());
  return B;
}

} // namespace

void runCost(const Options &O, Report &R) {
  if (!wanted(O, "cost"))
    return;
  for (std::size_t Waiting : {100, 1000, 10000})
    R.Bounds.push_back({"cost: microseconds a decision, " +
                            std::to_string(Waiting) + " waiting",
                        decisionCost(Waiting), DecisionMicroseconds, false,
                        "one release with its grant, and one ask"});
  for (double Engines : {8, 16, 32, 64}) {
    const double Cells = FleetReplicas / Engines;
    const double LiveByNode = FleetRequests / FleetNodes * 7;
    const double Together = std::max(1.0, LiveByNode / Cells);
    const RequestBytes B = requestBytes(Together);
    const double AsEntry = FleetRequests / FleetNodes * B.Entry;
    const double AsHolder = FleetRequests / Cells * B.Scheduler;
    const double HolderShare = std::min(1.0, Cells / FleetNodes);
    char Name[80];
    std::snprintf(Name, sizeof Name, "cost: bytes a second, cells of %.0f",
                  Engines);
    char Beside[120];
    std::snprintf(Beside, sizeof Beside,
                  "mean of nodes %.0f; a request: entry %.0f, scheduler %.0f",
                  AsEntry + AsHolder * HolderShare, B.Entry, B.Scheduler);
    // A node that holds a cell and serves callers.
    R.Bounds.push_back({Name, AsEntry + AsHolder, NodeBytes, false, Beside});
  }
}

} // namespace pimento::bench
