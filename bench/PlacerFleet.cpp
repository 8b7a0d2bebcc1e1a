#include "PlacerFleet.h"

#include "base/Random.h"
#include "placement/EngineCost.h"
#include "placement/EngineSpeed.h"
#include "placement/Placer.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace pimento::bench {

namespace {

const TimePoint RunStart = TimePoint(seconds(1000));
const ServiceId Service("llm");
const HostId EntryHost("10.0.0.1");
/// Step of the virtual time.
constexpr Duration Step = milliseconds(5);
/// Time until the answer to a query of an engine's load.
constexpr Duration ReportLag = milliseconds(200);
/// Time after the last arrival until all requests have ended.
constexpr Duration CoolDown = seconds(16);
/// Utility of a late answer, as a share of that of one in time.
constexpr double LateUtility = 0.25;
/// A request is worth BaseUtility and, by prompt length in units of its kind's
/// mean, the rest; at most MaxUtility.
constexpr double BaseUtility = 0.3;
constexpr double MaxUtility = 4;
/// A caller that is refused returns at most after this share of its time left.
constexpr double MaxRetryShare = 1.0 / 3;

Duration scaled(Duration D, double Factor) {
  return fromSeconds(toSeconds(D) * Factor);
}

enum class CallerOutcome : std::uint8_t {
  Open,
  OnTime,
  Late,
  Refused,
  CallerLeft
};

struct Caller {
  std::size_t Kind = 0;
  std::uint64_t PromptTokens = 0;
  TimePoint At; // Arrival of the first attempt.
  double Utility = 0;
  CallerOutcome Result = CallerOutcome::Open;
  TimePoint EndedAt;
};

/// One attempt of a caller, known to the placer by its ticket.
struct FleetAttempt {
  std::size_t Caller = 0;
  bool IsRetry = false;
  TimePoint Arrived;
  TimePoint RetryAt{}; // Set while the caller waits to return.
  bool Placed = false;
  bool Decoding = false;
  std::size_t PartsLeft = 0; // Engines that have not finished their prefill.
  BackendId First;           // Engine that decodes.
  TimePoint DecodedAt{};     // End of the answer.
};

struct ModelEngine {
  double Slowness = 1;
  PrefillQueue Prefills; // Remaining times as on the data sheet.
  std::size_t DecodingCount = 0;
  std::uint64_t DecodingContext = 0;
};

struct Fleet {
  const FleetRun &Run;
  Random Rng;
  TimePoint Now = RunStart;
  PlacerState Placer;
  std::map<BackendId, ModelEngine> Engines;
  std::vector<Caller> Callers;
  std::map<std::uint64_t, FleetAttempt> Open; // By ticket.
  std::uint64_t NextTicket = 1;
  std::deque<std::pair<TimePoint, BackendId>> SpeedQueries; // Answers due.

  explicit Fleet(const FleetRun &R) : Run(R), Rng(R.Seed) {
    RoutingConfig Config;
    Config.Services = {{Service, 0, Run.Profile, ""}};
    ServerRegistry Registry;
    for (std::size_t I = 0; I < Run.Engines; ++I) {
      ServerReport Report;
      Report.Id = BackendId("engine-" + std::to_string(I));
      Report.Incarnation = 1;
      Report.Service = Service;
      Report.Address = "10.0.1." + std::to_string(I) + ":80";
      applyReport(Registry, Report, Now);
      Engines[Report.Id] = {};
    }
    setEngines(Placer, *makeRouteTable(Config), Registry);
  }

  double normal() {
    // Box-Muller: the same sequence with every standard library.
    double Radius = std::sqrt(-2 * std::log(1 - uniform(Rng)));
    return Radius * std::cos(2 * 3.14159265358979 * uniform(Rng));
  }

  std::uint64_t promptTokens(const FleetRequestKind &Kind) {
    double Tokens = Kind.MeanTokens * std::exp(Kind.Spread * normal() -
                                               Kind.Spread * Kind.Spread / 2);
    return static_cast<std::uint64_t>(std::min(Tokens, Kind.MostTokens));
  }

  void makeCallers() {
    for (std::size_t I = 0; I < Run.Kinds.size(); ++I) {
      const FleetRequestKind &Kind = Run.Kinds[I];
      TimePoint At = RunStart;
      while (true) {
        At += fromSeconds(-std::log(1 - uniform(Rng)) / Kind.PerSecond);
        if (At >= RunStart + Run.Length)
          break;
        Caller C;
        C.Kind = I;
        C.PromptTokens = promptTokens(Kind);
        C.At = At;
        C.Utility = std::min(
            MaxUtility, BaseUtility + (1 - BaseUtility) *
                                          static_cast<double>(C.PromptTokens) /
                                          Kind.MeanTokens);
        Callers.push_back(C);
      }
    }
    std::sort(Callers.begin(), Callers.end(),
              [](const Caller &A, const Caller &B) { return A.At < B.At; });
  }

  void setSlowness() {
    for (auto &[Id, E] : Engines)
      E.Slowness = 1;
    for (const SlowPeriod &Period : Run.Slow) {
      if (Now < RunStart + Period.From || Now >= RunStart + Period.To)
        continue;
      auto Count = static_cast<std::size_t>(
          std::lround(Period.Share * static_cast<double>(Engines.size())));
      for (auto &[Id, E] : Engines) {
        if (Count-- == 0)
          break;
        E.Slowness = Period.Factor;
      }
    }
  }

  PlacementRequest specOf(std::uint64_t Ticket, const FleetAttempt &A) const {
    const Caller &C = Callers[A.Caller];
    const FleetRequestKind &Kind = Run.Kinds[C.Kind];
    PlacementRequest Spec;
    Spec.Ticket = Ticket;
    Spec.Service = Service;
    Spec.PromptTokens = C.PromptTokens;
    Spec.AnswerTokens = static_cast<std::uint64_t>(Kind.AnswerTokens);
    Spec.Objective = Kind.Objective;
    Spec.InterEventObjective = Kind.InterEventObjective;
    Spec.EventTimeLeft = Kind.EventTimeout;
    Spec.TimeLeft = C.At + Kind.TimeLimit - Now;
    return Spec;
  }

  void end(std::size_t Caller, CallerOutcome Result) {
    Callers[Caller].Result = Result;
    Callers[Caller].EndedAt = Now;
  }

  /// Returns true if the attempt stays open: its caller will return.
  bool refused(FleetAttempt &A, const PlacementReply &Reply) {
    const Caller &C = Callers[A.Caller];
    Duration Left = C.At + Run.Kinds[C.Kind].TimeLimit - Now;
    if (A.IsRetry || Left <= Duration::zero()) {
      end(A.Caller, CallerOutcome::Refused);
      return false;
    }
    A.IsRetry = true;
    A.RetryAt = Now + std::min(Reply.RetryAfter, scaled(Left, MaxRetryShare));
    return true;
  }

  void placed(std::uint64_t Ticket, FleetAttempt &A,
              const PlacementReply &Reply) {
    A.Placed = true;
    A.First = Reply.First.Engine;
    A.PartsLeft = 1 + Reply.Helpers.size();
    bool IsSplit = !Reply.Helpers.empty();
    Duration Part = prefillTime(Run.Profile, Callers[A.Caller].PromptTokens) /
                    static_cast<std::int64_t>(A.PartsLeft);
    PlacementKey Key = {EntryHost, Ticket};
    pushPrefill(Engines[A.First].Prefills, Key, Part, IsSplit);
    for (const EnginePart &Helper : Reply.Helpers)
      pushPrefill(Engines[Helper.Engine].Prefills, Key, Part, IsSplit);
  }

  /// Returns true if the attempt stays open.
  bool requestEngines(std::uint64_t Ticket, FleetAttempt &A) {
    A.RetryAt = TimePoint();
    A.Arrived = Now;
    PlacementOutcome Outcome =
        placeRequest(Placer, {EntryHost, Ticket}, specOf(Ticket, A), Now);
    if (Outcome.Verdict == PlacementVerdict::Refused)
      return refused(A, Outcome.Reply);
    if (Outcome.Verdict == PlacementVerdict::Placed)
      placed(Ticket, A, Outcome.Reply);
    return true;
  }

  void leaveEngines(std::uint64_t Ticket, const FleetAttempt &A) {
    PlacementKey Key = {EntryHost, Ticket};
    for (auto &[Id, E] : Engines)
      removePrefill(E.Prefills, Key);
    if (!A.Decoding)
      return;
    ModelEngine &E = Engines[A.First];
    E.DecodingCount -= 1;
    E.DecodingContext -= Callers[A.Caller].PromptTokens;
  }

  void firstEvent(std::uint64_t Ticket, FleetAttempt &A) {
    const Caller &C = Callers[A.Caller];
    const FleetRequestKind &Kind = Run.Kinds[C.Kind];
    ModelEngine &E = Engines[A.First];
    A.Decoding = true;
    E.DecodingCount += 1;
    E.DecodingContext += C.PromptTokens;
    Duration Interval = scaled(
        eventIntervalTime(Run.Profile, E.DecodingCount, E.DecodingContext),
        E.Slowness);
    A.DecodedAt =
        Now + decodeTime(Run.Profile,
                         static_cast<std::uint64_t>(Kind.AnswerTokens),
                         Interval);
    end(A.Caller, Now - C.At <= Kind.Objective ? CallerOutcome::OnTime
                                               : CallerOutcome::Late);
    updateStage(Placer, {EntryHost, Ticket}, PlacementStage::Decoding, {}, Now);
  }

  /// Lets each engine work for one step.
  void advanceEngines() {
    std::map<std::uint64_t, std::size_t> Before = partsAtEngines();
    for (auto &[Id, E] : Engines) {
      if (E.Prefills.Items.empty())
        continue;
      Duration Slowed = prefillTimeWhileDecoding(
          Run.Profile, Step, E.DecodingCount, E.DecodingContext);
      double Share = toSeconds(Step) / toSeconds(Slowed);
      advancePrefills(E.Prefills, scaled(Step, Share / E.Slowness));
    }
    std::map<std::uint64_t, std::size_t> After = partsAtEngines();
    for (const auto &[Ticket, Parts] : Before) {
      if (After.count(Ticket) != 0)
        continue;
      FleetAttempt &A = Open.at(Ticket);
      firstEvent(Ticket, A);
    }
  }

  std::map<std::uint64_t, std::size_t> partsAtEngines() const {
    std::map<std::uint64_t, std::size_t> Parts;
    for (const auto &[Id, E] : Engines) {
      for (const PrefillItem &Item : E.Prefills.Items)
        ++Parts[Item.Key.second];
    }
    return Parts;
  }

  /// Whether the attempt has ended, with its answer or because its caller left.
  bool hasEnded(const FleetAttempt &A) {
    if (A.Decoding)
      return Now >= A.DecodedAt;
    if (A.RetryAt != TimePoint())
      return false;
    const FleetRequestKind &Kind = Run.Kinds[Callers[A.Caller].Kind];
    if (Now < A.Arrived + Kind.EventTimeout &&
        Now < Callers[A.Caller].At + Kind.TimeLimit)
      return false;
    end(A.Caller, CallerOutcome::CallerLeft);
    return true;
  }

  void advanceAttempts() {
    for (auto It = Open.begin(); It != Open.end();) {
      auto &[Ticket, A] = *It;
      bool Stays = true;
      if (hasEnded(A)) {
        leaveEngines(Ticket, A);
        updateStage(Placer, {EntryHost, Ticket}, PlacementStage::Ended, {},
                    Now);
        Stays = false;
      } else if (A.RetryAt != TimePoint() && Now >= A.RetryAt) {
        Stays = requestEngines(Ticket, A);
      }
      It = Stays ? std::next(It) : Open.erase(It);
    }
  }

  void tickWaiting() {
    for (auto &[Key, Reply] : tickPlacer(Placer, Now)) {
      auto Found = Open.find(Key.second);
      if (Found == Open.end())
        continue;
      if (Reply.Result == Code::Ok)
        placed(Key.second, Found->second, Reply);
      else if (!refused(Found->second, Reply))
        Open.erase(Found);
    }
  }

  /// Answers the placer's queries with the slowness of some time ago.
  void answerSpeedQueries() {
    for (const BackendId &Id : takeSpeedQueries(Placer, Now))
      SpeedQueries.emplace_back(Now + ReportLag, Id);
    for (; !SpeedQueries.empty() && SpeedQueries.front().first <= Now;
         SpeedQueries.pop_front())
      recordSlowness(Placer, SpeedQueries.front().second,
                     Engines.at(SpeedQueries.front().second).Slowness, Now);
  }

  void play() {
    makeCallers();
    std::size_t Next = 0;
    TimePoint TickAt = Now;
    for (; Now < RunStart + Run.Length + CoolDown; Now += Step) {
      setSlowness();
      advanceEngines();
      advanceAttempts();
      for (; Next < Callers.size() && Callers[Next].At <= Now; ++Next) {
        std::uint64_t Ticket = NextTicket++;
        FleetAttempt A;
        A.Caller = Next;
        if (requestEngines(Ticket, A))
          Open[Ticket] = std::move(A);
      }
      answerSpeedQueries();
      if (Now < TickAt)
        continue;
      tickWaiting();
      TickAt = std::min(nextPlacerTick(Placer, Now), Now + seconds(1));
    }
  }
};

/// Shortest prompt of the longest tenth of a kind.
std::uint64_t longestTenth(const std::vector<Caller> &Callers,
                           std::size_t Kind) {
  std::vector<std::uint64_t> Lengths;
  for (const Caller &C : Callers) {
    if (C.Kind == Kind)
      Lengths.push_back(C.PromptTokens);
  }
  if (Lengths.empty())
    return 0;
  std::sort(Lengths.begin(), Lengths.end());
  return Lengths[Lengths.size() * 9 / 10];
}

FleetFigures figuresOf(const std::vector<Caller> &Callers, std::size_t Kind) {
  FleetFigures F;
  std::uint64_t Longest = longestTenth(Callers, Kind);
  double Earned = 0;
  double Owed = 0;
  std::size_t LongestServed = 0;
  std::size_t LongestCount = 0;
  for (const Caller &C : Callers) {
    if (C.Kind != Kind)
      continue;
    ++F.Requests;
    Owed += C.Utility;
    bool Served =
        C.Result == CallerOutcome::OnTime || C.Result == CallerOutcome::Late;
    F.OnTime += C.Result == CallerOutcome::OnTime ? 1 : 0;
    F.Late += C.Result == CallerOutcome::Late ? 1 : 0;
    F.CallerLeft += C.Result == CallerOutcome::CallerLeft ? 1 : 0;
    if (C.Result == CallerOutcome::OnTime)
      Earned += C.Utility;
    if (C.Result == CallerOutcome::Late)
      Earned += C.Utility * LateUtility;
    if (C.Result == CallerOutcome::Refused) {
      ++F.Refused;
      F.RefusedAfter += C.EndedAt - C.At;
    }
    if (C.PromptTokens < Longest)
      continue;
    ++LongestCount;
    LongestServed += Served ? 1 : 0;
  }
  if (F.Requests == 0)
    return F;
  F.UtilityShare = Earned / Owed;
  F.ServedShare =
      static_cast<double>(F.OnTime + F.Late) / static_cast<double>(F.Requests);
  F.ServedShareLongest =
      static_cast<double>(LongestServed) / static_cast<double>(LongestCount);
  if (F.Refused > 0)
    F.RefusedAfter /= static_cast<std::int64_t>(F.Refused);
  return F;
}

} // namespace

FleetResult runFleet(const FleetRun &Run) {
  Fleet Model(Run);
  Model.play();
  FleetResult Result;
  for (std::size_t I = 0; I < Run.Kinds.size(); ++I)
    Result.ByKind.push_back(figuresOf(Model.Callers, I));
  return Result;
}

} // namespace pimento::bench
