#include "SimulationInternal.h"

#include <algorithm>

namespace pimento::bench {

namespace {

constexpr std::uint32_t MaxAttempts = 3;
/// Time after the last request in which leases expire and cancels and sweeps
/// complete.
constexpr Duration RestTime = seconds(10);
constexpr double GroupMemoryShare = 0.9;

void noteSpare(Simulation &M, Duration Length) {
  const auto Bucket = static_cast<std::size_t>(toSeconds(M.Now - RunStart));
  if (M.Result.SpareSeconds.size() <= Bucket)
    M.Result.SpareSeconds.resize(Bucket + 1, static_cast<double>(M.S.Engines));
  M.Result.SpareSeconds[Bucket] -= toSeconds(Length);
}

void onShareDone(Simulation &M, const Job &J) {
  auto Found = M.ByAttempt.find(J.Id);
  if (Found == M.ByAttempt.end())
    return;
  Request &Q = M.Requests[Found->second];
  if (Q.Attempt != J.Id || Q.SharesLeft == 0 || --Q.SharesLeft > 0)
    return;
  startDecode(M.Engines[Q.Engines.front()], J.Id);
  kick(M, Q.Engines.front());
}

void onFirstToken(Simulation &M, const Job &J) {
  auto Found = M.ByAttempt.find(J.Id);
  if (Found == M.ByAttempt.end())
    return;
  Request &Q = M.Requests[Found->second];
  RequestResult &Result = M.Result.Requests[Found->second];
  if (Q.Attempt != J.Id || !Q.Open)
    return;
  Q.FirstToken = M.Now + M.C.OneWay;
  if (Result.FirstToken == Duration::zero())
    Result.FirstToken = Q.FirstToken - M.Arrivals[Found->second].At;
  Result.CachedTokens = J.CachedTokens;
  M.Result.PrefillSaved += static_cast<double>(J.CachedTokens);
  M.Result.PrefillTokens += static_cast<double>(J.PromptTokens);
}

void onFinished(Simulation &M, const Job &J) {
  auto Found = M.ByAttempt.find(J.Id);
  if (Found == M.ByAttempt.end())
    return;
  const std::size_t Index = Found->second;
  after(M, M.C.OneWay, [&M, Index, J] {
    Request &Q = M.Requests[Index];
    if (Q.Attempt != J.Id || !Q.Open || !Q.Running)
      return;
    if (M.C.Kind == Policy::Scheduler)
      tellFinished(M, Index, J);
    else
      dropAtEngines(M, Index);
    finishRequest(M, Index, RequestEnd::Finished, Code::Ok);
    advanceFifo(M);
  });
}

void endStep(Simulation &M, std::size_t Engine, std::uint64_t Step) {
  EngineModel &E = M.Engines[Engine];
  if (E.Steps != Step || !E.Alive)
    return;
  std::vector<JobEvent> Done;
  finishStep(E, Done);
  E.Stepping = false;
  for (const JobEvent &Event : Done) {
    if (Event.Kind == JobEventKind::ShareDone)
      onShareDone(M, Event.At);
    else if (Event.Kind == JobEventKind::FirstToken)
      onFirstToken(M, Event.At);
    else
      onFinished(M, Event.At);
  }
  kick(M, Engine);
}

void report(Simulation &M, std::size_t Engine) {
  after(M, M.C.ReportInterval, [&M, Engine] { report(M, Engine); });
  EngineModel &E = M.Engines[Engine];
  if (!E.Alive)
    return;
  LoadReport R = makeReport(E);
  if (M.ReportsLost[Engine] || uniform(M.R) < M.C.ReportLoss)
    return;
  R.Age = M.C.ReportLag;
  after(M, M.C.ReportLag, [&M, Engine, R] {
    M.LastReports[Engine] = R;
    if (M.C.Kind == Policy::Scheduler)
      reportToScheduler(M, R);
  });
}

void passDeadline(Simulation &M, std::size_t Index) {
  Request &Q = M.Requests[Index];
  if (!Q.Open)
    return;
  if (M.C.Kind == Policy::Scheduler)
    tellWithdrawn(M, Index);
  else
    dropAtEngines(M, Index);
  finishRequest(M, Index, RequestEnd::Missed, Code::DeadlineExceeded);
  advanceFifo(M);
}

void arrive(Simulation &M, std::size_t Index) {
  --M.ToCome;
  Request &Q = M.Requests[Index];
  Q.Open = true;
  ++M.Open;
  Q.Host = Index % M.Hosts.size();
  while (!M.Hosts[Q.Host].Alive)
    Q.Host = (Q.Host + 1) % M.Hosts.size();
  after(M, M.Arrivals[Index].Limit, [&M, Index] { passDeadline(M, Index); });
  beginAttempt(M, Index);
}

void makeEngines(Simulation &M) {
  M.Engines.resize(M.S.Engines);
  M.ReportsLost.assign(M.S.Engines, false);
  M.LastReports.resize(M.S.Engines);
  for (std::size_t I = 0; I < M.S.Engines; ++I) {
    EngineModel &E = M.Engines[I];
    E.Spec = M.C.Engine;
    E.Id = BackendId("engine-" + std::string(I < 10 ? "0" : "") +
                     std::to_string(I));
    const Duration Phase =
        M.C.ReportInterval * I / static_cast<std::int64_t>(M.S.Engines);
    after(M, Phase, [&M, I] { report(M, I); });
  }
}

/// Records how long engines hold memory for requests that have ended.
void checkHolds(Simulation &M) {
  after(M, seconds(1), [&M] { checkHolds(M); });
  for (const EngineModel &E : M.Engines) {
    for (const Job &J : E.Running) {
      auto Found = M.ByAttempt.find(J.Id);
      const Request &Q = M.Requests[Found->second];
      if (Q.Open && Q.Attempt == J.Id)
        continue;
      M.Result.LongestHold =
          std::max<Duration>(M.Result.LongestHold, M.Now - Q.OverAt);
    }
  }
}

void noteEnd(Simulation &M) {
  for (const EngineModel &E : M.Engines)
    M.Result.HeldAtEnd += E.UsedTokens;
  if (M.Cell)
    M.Result.LedgerAtEnd = cellFigures(*M.Cell).HeldTokens;
}

} // namespace

const char *toString(Policy P) {
  switch (P) {
  case Policy::Scheduler:
    return "scheduler";
  case Policy::RoundRobin:
    return "round robin";
  case Policy::LeastLoaded:
    return "least loaded";
  case Policy::TwoChoices:
    return "two choices";
  case Policy::SingleFifo:
    return "single fifo";
  }
  return "";
}

void at(Simulation &M, TimePoint When, std::function<void()> Run) {
  M.Events.push({When, ++M.Order, std::move(Run)});
}

BackendRecord recordOf(const Simulation &M, std::size_t Engine) {
  const EngineModel &E = M.Engines[Engine];
  BackendRecord R;
  R.Id = E.Id;
  R.Incarnation = E.Incarnation;
  R.Address = "127.0.0.1:" + std::to_string(1000 + Engine);
  R.DataCentre = DataCentreId("dc-" + std::to_string(Engine % 3));
  R.Models = {ModelName(M.S.Name)};
  R.MemoryTokens = E.Spec.MemoryTokens;
  return R;
}

std::size_t groupSize(const Simulation &M, const Arrival &A) {
  const auto Memory = static_cast<double>(M.C.Engine.MemoryTokens);
  if (static_cast<double>(A.PromptTokens + A.MaxOutput) <= Memory)
    return 1;
  std::size_t Count = 2;
  while (static_cast<double>(A.PromptTokens) / static_cast<double>(Count) +
             A.MaxOutput >
         GroupMemoryShare * Memory)
    ++Count;
  return Count;
}

void kick(Simulation &M, std::size_t Engine) {
  EngineModel &E = M.Engines[Engine];
  if (E.Stepping)
    return;
  const std::optional<Duration> Length = startStep(E);
  if (!Length)
    return;
  E.Stepping = true;
  const std::uint64_t Step = ++E.Steps;
  if (!hasSpareChunk(E))
    noteSpare(M, *Length);
  after(M, *Length, [&M, Engine, Step] { endStep(M, Engine, Step); });
}

void sendToEngines(Simulation &M, std::size_t Index,
                   const std::vector<std::size_t> &Engines,
                   std::uint32_t Priority) {
  Request &Q = M.Requests[Index];
  const Arrival &A = M.Arrivals[Index];
  Q.Running = true;
  Q.Engines = Engines;
  Q.SharesLeft = Engines.size();
  Q.Sent = M.Now;
  Q.FirstToken = {};
  M.Hosts[Q.Host].Active.insert(Index);
  Job J;
  J.Id = Q.Attempt;
  J.PromptTokens = A.PromptTokens;
  J.OutputTokens = A.OutputTokens;
  J.Memory =
      (A.PromptTokens + Engines.size() - 1) / Engines.size() + A.MaxOutput;
  J.Priority = Priority;
  J.GroupSize = static_cast<std::uint32_t>(Engines.size());
  J.Prefixes = A.Prefixes;
  for (std::size_t Engine : Engines) {
    J.Leader = Engine == Engines.front();
    after(M, M.C.OneWay, [&M, Engine, J, Index] {
      EngineModel &E = M.Engines[Engine];
      if (M.Requests[Index].Attempt != J.Id || !M.Requests[Index].Open)
        return;
      if (!E.Alive) {
        attemptFailed(M, Index);
        return;
      }
      if (findJob(E, J.Id))
        ++M.Result.DoubleRuns;
      submitJob(E, J);
      M.Result.EngineWaits += E.Waiting.empty() ? 0 : 1;
      kick(M, Engine);
    });
  }
}

void dropAtEngines(Simulation &M, std::size_t Index) {
  for (std::size_t Engine : M.Requests[Index].Engines) {
    dropJob(M.Engines[Engine], M.Requests[Index].Attempt);
    kick(M, Engine);
  }
}

void finishRequest(Simulation &M, std::size_t Index, RequestEnd End,
                   Code Reason) {
  Request &Q = M.Requests[Index];
  if (!Q.Open)
    return;
  RequestResult &Result = M.Result.Requests[Index];
  Q.Open = false;
  Q.Running = false;
  Q.OverAt = M.Now;
  --M.Open;
  M.Hosts[Q.Host].Active.erase(Index);
  Result.End = End;
  Result.Reason = Reason;
  Result.Total = M.Now - M.Arrivals[Index].At;
  ++Result.Answers;
}

void beginAttempt(Simulation &M, std::size_t Index) {
  Request &Q = M.Requests[Index];
  Host &Entry = M.Hosts[Q.Host];
  ++M.Result.Requests[Index].Attempts;
  Q.Running = false;
  Q.Queued = false;
  Q.Attempt = {{Entry.State.Config.Hi, Entry.Next++}, 1};
  M.ByAttempt[Q.Attempt] = Index;
  if (M.C.Kind == Policy::Scheduler)
    askScheduler(M, Index);
  else
    placeByBaseline(M, Index);
}

void attemptFailed(Simulation &M, std::size_t Index) {
  Request &Q = M.Requests[Index];
  if (!Q.Open || !Q.Running)
    return;
  Q.OverAt = M.Now;
  M.Hosts[Q.Host].Active.erase(Index);
  if (M.C.Kind == Policy::Scheduler)
    tellFailed(M, Index);
  else
    dropAtEngines(M, Index);
  if (M.Result.Requests[Index].Attempts < MaxAttempts)
    beginAttempt(M, Index);
  else
    finishRequest(M, Index, RequestEnd::Failed, Code::BackendFailed);
}

RunResult run(const RunConfig &C, const Site &S,
              const std::vector<Arrival> &Arrivals) {
  Simulation M{C, S, Arrivals};
  M.Result.Requests.resize(Arrivals.size());
  M.Requests.resize(Arrivals.size());
  M.ToCome = Arrivals.size();
  makeEngines(M);
  startSystem(M);
  scheduleFaults(M);
  checkHolds(M);
  for (std::size_t I = 0; I < Arrivals.size(); ++I)
    at(M, Arrivals[I].At, [&M, I] { arrive(M, I); });
  TimePoint Rest =
      C.StopAt == Duration::zero() ? TimePoint::max() : RunStart + C.StopAt;
  while (!M.Events.empty() && M.Events.top().At <= Rest) {
    Event Next = std::move(const_cast<Event &>(M.Events.top()));
    M.Events.pop();
    M.Now = Next.At;
    Next.Run();
    ++M.Result.Events;
    if (M.Open == 0 && M.ToCome == 0 && Rest == TimePoint::max())
      Rest = M.Now + RestTime;
  }
  noteEnd(M);
  return std::move(M.Result);
}

} // namespace pimento::bench
