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
constexpr double LetterCellEngines = 8; // Engines in a cell, at the size below.
// Size of the target fleet.
constexpr double FleetRequests = 39000; // Per second.
constexpr double FleetNodes = 800;
constexpr double FleetReplicas = 5900;
constexpr double NodeBytes = 17000; // Sent per second.
constexpr double LifeSeconds = 7; // Length of an attempt: 210 tokens at 32 ms.
constexpr double RenewSeconds = 2.5; // Renewal interval of a 6 s lease.

const ModelName Model("atlas");
const HostId Entry("host-1");

GrantRequest makeGrantRequest(std::uint64_t Lo, Random &R) {
  GrantRequest A;
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

/// Makes a cell whose engines are full, with \p Waiting queued grant requests.
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
    B.Incarnation = 1;
    B.Address = "10.0.0.1:8000";
    B.Models = {Model};
    B.MemoryTokens = 480000;
    setBackend(S, B, Now, Out);
  }
  std::uint64_t Lo = 0;
  while (S.Queue.Asks.size() < Waiting) {
    onGrantRequest(S, Entry, makeGrantRequest(++Lo, R), Now, Out);
    Out = {};
  }
  return S;
}

using Clock = std::chrono::steady_clock;

double microsecondsSince(Clock::time_point Start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - Start)
      .count();
}

/// Time of one decision, in microseconds.
struct DecisionCosts {
  double Grant = 0; // A release and the resulting grant.
  double Ask = 0;   // A grant request admitted to the queue.
};

/// Medians of several batches, as these vary least on a busy host.
DecisionCosts decisionCosts(std::size_t Waiting) {
  constexpr int Batches = 15;
  constexpr std::size_t BatchSize = 200;
  Random R(3);
  const TimePoint Now = TimePoint(hours(1));
  CellState S = fullCell(Waiting, R, Now);
  std::uint64_t Lo = 1U << 30U;
  std::vector<double> Grants;
  std::vector<double> Asks;
  for (int B = 0; B < Batches; ++B) {
    std::vector<Release> Ends;
    std::vector<GrantRequest> New;
    for (const auto &[Id, G] : S.Grants) {
      if (Ends.size() == BatchSize)
        break;
      Ends.emplace_back().Attempt = Id;
      New.push_back(makeGrantRequest(++Lo, R));
    }
    const auto Count = static_cast<double>(Ends.size());
    Clock::time_point Start = Clock::now();
    for (const Release &End : Ends) {
      CellEffects Out;
      onRelease(S, Entry, End, Now, Out);
    }
    Grants.push_back(microsecondsSince(Start) / Count);
    Start = Clock::now();
    for (const GrantRequest &A : New) {
      CellEffects Out;
      onGrantRequest(S, Entry, A, Now, Out);
    }
    Asks.push_back(microsecondsSince(Start) / Count);
  }
  return {quantile(Grants, .5), quantile(Asks, .5)};
}

struct RequestBytes {
  double Entry = 0;     // Sent by the entry host.
  double Scheduler = 0; // Sent by the scheduler.
};

/// Bytes of one request's messages. One renewal covers all attempts of a host
/// in a cell, \p Together at a time.
RequestBytes requestBytes(double Together) {
  Random R(5);
  const GrantRequest A = makeGrantRequest(123456, R);
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
  Renew.Incarnation = 1764800000;
  Renew.Hi = A.Attempt.Request.Hi;
  const double EmptyRenew = static_cast<double>(encode(Renew).size());
  Renew.Grants = {{{123456, 1}, 5000, 100}};
  const double OneRenew =
      static_cast<double>(encode(Renew).size()) - EmptyRenew;
  RequestBytes B;
  B.Entry = static_cast<double>(encode(A).size() + encode(End).size()) +
            LifeSeconds / RenewSeconds * (OneRenew + EmptyRenew / Together);
  B.Scheduler = static_cast<double>(encode(G).size());
  return B;
}

void boundCosts(std::size_t Waiting, Report &R) {
  const DecisionCosts Costs = decisionCosts(Waiting);
  const std::string Where = ", " + std::to_string(Waiting) + " waiting";
  R.Bounds.push_back({"cost: microseconds a release and grant" + Where,
                      Costs.Grant, DecisionMicroseconds, false, ""});
  R.Bounds.push_back({"cost: microseconds an ask" + Where, Costs.Ask,
                      DecisionMicroseconds, false, ""});
}

} // namespace

void runCost(const Options &O, Report &R) {
  if (!wanted(O, "cost"))
    return;
  for (std::size_t Waiting : {100, 1000, 10000})
    boundCosts(Waiting, R);
  for (double Engines : {8, 16, 32, 64}) {
    const double Cells = FleetReplicas / Engines;
    const double LiveByNode = FleetRequests / FleetNodes * LifeSeconds;
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
    // A node that runs a cell's scheduler and serves callers. The target fixes
    // the cell size; larger cells are printed for comparison only.
    const double Bytes = AsEntry + AsHolder;
    if (Engines == LetterCellEngines)
      R.Bounds.push_back({Name, Bytes, NodeBytes, false, Beside});
    else
      std::printf("%s: %.0f, %s\n", Name, Bytes, Beside);
  }
}

} // namespace pimento::bench
