#include "placement/PlacerSearch.h"

#include "placement/EngineCost.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace pimento::placer {

namespace {

constexpr std::array<std::size_t, 8> PartCounts = {1, 2, 3, 4, 6, 8, 12, 16};
/// Share of a request's longest event gap that an event interval may take; the
/// rest is for the network.
constexpr double EventGapShare = 0.85;
/// Scale of the forecast error, as a share of the time left.
constexpr double ForecastSpread = 0.18;
/// Least probability with which a request counts as on time.
constexpr double MinOnTimeProbability = 0.7;
/// A request's utility grows with its prompt length, but less than linearly.
constexpr double UtilityExponent = 0.75;
/// Cost of engine time and of each engine used. Among otherwise equal plans,
/// the one that uses less of both is chosen.
constexpr double UtilityPerSecond = 400;
constexpr double UtilityPerPart = 25;
/// Cost of sharing an engine with requests that have another inter-event
/// objective, since such requests delay each other later.
constexpr double MixedObjectiveCost = 60;
/// Cost for a short prompt of taking an idle engine, which long prompts need
/// more.
constexpr double IdleEngineCost = 40;
/// Share of an engine's memory that is used. The rest is a margin, because
/// engines allocate memory in blocks and answers may be longer than expected.
constexpr double UsableMemory = 0.97;
/// Cost of an engine that named a limit; a gain if it got no request for
/// LimitCheckInterval.
constexpr double LimitedEngineCost = 200;
constexpr Duration LimitCheckInterval = milliseconds(1000);
/// Cost of an engine in another data centre.
constexpr double CrossDataCentreCost = 2;

Duration scaled(Duration D, double Factor) {
  return fromSeconds(toSeconds(D) * Factor);
}

/// A prompt in an engine's prefill queue.
struct PendingPrefill {
  Duration Before = {}; // Time from now until the prefill here ends.
  Duration Finish = {}; // Time from now until the prefill ends at all engines.
  Duration Left = {};   // Time from now until the first event is late.
  double OnTimeProbability = 0; // Probability of a first event in time.
  double Utility = 0;
};

/// An engine that may take a part of the request, with the values that do not
/// depend on the part's size.
struct Candidate {
  const BackendId *Id = nullptr;
  const PlacerEngine *Engine = nullptr;
  Duration Backlog = {};
  Duration Interval = {}; // Event interval if this engine decodes the answer.
  Duration IntervalWait = {}; // Expected wait for the current event interval.
  Duration MaxPrefill = {};   // Most of the prompt's prefill in one interval.
  double PrefillSlowdown = 1; // Factor due to decode steps of other requests.
  double BaseCost = 0;
  std::uint64_t FreeTokens = 0;
  bool HasSlot = false;
  std::vector<PendingPrefill> Prefills; // Only set if the prompt is split.
};

/// A candidate with the effects of one part of the request on it.
struct Option {
  const BackendId *Id = nullptr;
  const PlacerEngine *Engine = nullptr;
  Duration PrefillEnd = {}; // Time from now until the part's prefill ends.
  Duration Interval = {};   // Event interval if this engine decodes the answer.
  double Penalty = 0;
  double ExpectedPenalty = 0; // Utility lost by delayed prefills, expected.
  double Cost = 0;            // Lower is preferred; includes both penalties.
  std::uint64_t FreeTokens = 0;
  bool HasSlot = false;
};

/// Time from now until each prompt's prefill ends at all of its engines.
std::map<PlacementKey, Duration> finishes(const PlacerState &S) {
  std::map<PlacementKey, Duration> Latest;
  for (const auto &[Id, E] : S.Engines) {
    Duration Sum = {};
    for (const PrefillItem &Item : E.Prefills.Items) {
      Sum += Item.Left;
      Duration &Finish = Latest[Item.Key];
      Finish = std::max(Finish, Sum);
    }
  }
  return Latest;
}

struct Search {
  const PlacerState &S;
  const PlacementRequest &Spec;
  TimePoint Now;
  const EngineProfile &F;
  Duration FullPrefillTime; // Prefill time of the whole prompt on one engine.
  Duration MaxPrefill; // Most of this prompt's prefill in one event interval of
                       // an engine as fast as its data sheet.

  bool isEligible(const BackendId &Id, const PlacerEngine &E,
                  bool AllowAvoided) const {
    bool AlreadyTried =
        std::find(Spec.Avoid.begin(), Spec.Avoid.end(), Id) != Spec.Avoid.end();
    return E.Service == Spec.Service && E.Ready && !AlreadyTried &&
           (AllowAvoided || E.AvoidUntil <= Now);
  }

  /// Probability that a first event forecast for \p Forecast arrives within
  /// \p Left.
  static double onTimeProbability(Duration Forecast, Duration Left) {
    if (Left <= Duration::zero())
      return 0;
    double Ratio = toSeconds(Forecast) / toSeconds(Left);
    return 1 / (1 + std::exp((Ratio - 1) / ForecastSpread));
  }

  /// Expected utility lost by the prompts in the engine's queue if
  /// \p PrefillTime of other prefill goes ahead of them.
  static double prefillDelayPenalty(const Candidate &C, Duration PrefillTime) {
    double Penalty = 0;
    for (const PendingPrefill &P : C.Prefills) {
      if (P.Before + PrefillTime <= P.Finish)
        continue; // A part at another engine still ends later.
      double Lost = P.OnTimeProbability -
                    onTimeProbability(P.Before + PrefillTime, P.Left);
      Penalty += LateUtilityLoss * Lost * P.Utility;
    }
    return Penalty;
  }

  /// Utility lost by the engine's requests whose next event is late if the
  /// event interval takes \p Interval.
  static double eventDelayPenalty(const PlacerEngine &E, Duration Interval) {
    if (E.MaxEventGap == Duration::zero() ||
        Interval <= scaled(E.MaxEventGap, EventGapShare))
      return 0;
    double Penalty = 0;
    for (const EngineShare &Share : E.Shares) {
      if (Share.IsFirstPart && Share.MaxEventGap > Duration::zero() &&
          Interval > scaled(Share.MaxEventGap, EventGapShare))
        Penalty += LateUtilityLoss * Share.Utility;
    }
    return Penalty;
  }

  /// Time by which first events from the engine are overdue. An overdue engine
  /// has stalled or runs requests that this placer does not know. Without this
  /// cost, a silent engine would look idle and attract all new requests. The
  /// value affects the choice between engines, but no forecast.
  Duration overdue(const PlacerEngine &E) const {
    Duration Longest = {};
    for (const EngineShare &Share : E.Shares) {
      if (Share.IsFirstPart && Share.IsOnlyPart && !Share.Decoding)
        Longest = std::max(Longest, Now - Share.FirstEventForecast);
    }
    return Longest;
  }

  Candidate candidateAt(const BackendId &Id, const PlacerEngine &E) const {
    Candidate C;
    C.Id = &Id;
    C.Engine = &E;
    C.Backlog = prefillBacklog(E.Prefills);
    std::size_t Active = E.DecodingCount + E.PrefillingCount;
    C.Interval =
        scaled(eventIntervalTime(F, E.DecodingCount + 1,
                                 E.DecodingContext + Spec.PromptTokens),
               E.Slowness);
    C.MaxPrefill = scaled(MaxPrefill, E.Slowness);
    C.IntervalWait = intervalWait(E, C.Backlog, C.MaxPrefill);
    C.PrefillSlowdown = toSeconds(prefillTimeWhileDecoding(
        F, seconds(1), E.DecodingCount, E.DecodingContext));
    auto Usable = static_cast<std::uint64_t>(
        UsableMemory * static_cast<double>(F.MemoryTokens));
    C.FreeTokens = Usable - std::min(E.MemoryTokens, Usable);
    C.HasSlot = Active < F.Slots && hasTokenAt(Id);
    C.BaseCost = toSeconds(C.Backlog + overdue(E)) * UtilityPerSecond +
                 objectiveCost(E, Active) +
                 (E.DataCentre == Spec.DataCentre ? 0 : CrossDataCentreCost) +
                 E.Bias + limitCost(Id);
    return C;
  }

  /// Whether a request may be sent to the engine now. Parts of prompts that it
  /// prefills for other engines are no requests.
  bool hasTokenAt(const BackendId &Id) const {
    auto Limit = S.Limits.find(Id);
    return Limit == S.Limits.end() || hasToken(Limit->second, Now);
  }

  /// Work goes to engines without a limit first. A limited engine that got no
  /// request for a while gets the next one, whose answer tells how it is. A
  /// cold engine needs none for that.
  double limitCost(const BackendId &Id) const {
    auto Limit = S.Limits.find(Id);
    if (Limit == S.Limits.end())
      return 0;
    if (Limit->second.Cause == LimitCause::MayBeCold)
      return 0;
    bool IsDue = Limit->second.Cause == LimitCause::Named &&
                 Now >= Limit->second.LastTaken + LimitCheckInterval;
    return IsDue && isShort() ? -LimitedEngineCost : LimitedEngineCost;
  }

  Option optionAt(const Candidate &C, Duration PrefillTime,
                  bool IsSplit) const {
    const PlacerEngine &E = *C.Engine;
    Option O;
    O.Id = C.Id;
    O.Engine = C.Engine;
    O.Interval = C.Interval;
    O.FreeTokens = C.FreeTokens;
    O.HasSlot = C.HasSlot;
    PrefillTime = scaled(PrefillTime, E.Slowness);
    Duration Ahead = IsSplit ? Duration::zero() : C.Backlog;
    O.PrefillEnd =
        C.IntervalWait + scaled(PrefillTime + Ahead, C.PrefillSlowdown);
    if (E.DecodingCount + E.PrefillingCount > 0)
      O.Penalty = eventDelayPenalty(
          E, O.Interval + std::min(C.Backlog + PrefillTime, C.MaxPrefill));
    if (IsSplit)
      O.ExpectedPenalty = prefillDelayPenalty(C, PrefillTime);
    O.Cost = O.Penalty + O.ExpectedPenalty + C.BaseCost +
             toSeconds(PrefillTime) * UtilityPerSecond;
    return O;
  }

  /// Expected wait for the current event interval, which ends before a new
  /// prefill starts.
  Duration intervalWait(const PlacerEngine &E, Duration Backlog,
                        Duration MaxPrefill) const {
    if (E.DecodingCount == 0)
      return Duration::zero();
    Duration Interval = scaled(
        eventIntervalTime(F, E.DecodingCount, E.DecodingContext), E.Slowness);
    return (Interval + std::min(Backlog, MaxPrefill)) / 2;
  }

  /// Cost that steers short prompts to engines which already decode for
  /// requests with the same inter-event objective, and long prompts to idle
  /// engines.
  double objectiveCost(const PlacerEngine &E, std::size_t Active) const {
    bool Idle = Active == 0;
    bool Short = isShort();
    if (Idle)
      return Short ? IdleEngineCost : 0;
    if (E.MaxEventGap != Spec.InterEventObjective)
      return MixedObjectiveCost;
    return Short ? -static_cast<double>(E.DecodingCount)
                 : 2 * static_cast<double>(Active);
  }

  /// Whether the prompt fits into an event interval without delaying events of
  /// requests with the same inter-event objective.
  bool isShort() const {
    return Spec.InterEventObjective > Duration::zero() &&
           FullPrefillTime <
               scaled(Spec.InterEventObjective, 1 - EventGapShare + 0.35);
  }

  std::vector<Candidate> candidates(bool AllowAvoided) const {
    std::vector<Candidate> List;
    List.reserve(S.Engines.size());
    for (const auto &[Id, E] : S.Engines) {
      if (isEligible(Id, E, AllowAvoided))
        List.push_back(candidateAt(Id, E));
    }
    return List;
  }

  /// Adds the queued prompts that parts of this prompt would go ahead of.
  void addPrefills(std::vector<Candidate> &List) const {
    std::map<PlacementKey, Duration> Finishes = finishes(S);
    for (Candidate &C : List) {
      Duration Before = {};
      for (const PrefillItem &Item : C.Engine->Prefills.Items) {
        Before += Item.Left;
        auto Request = S.Placed.find(Item.Key);
        if (Request == S.Placed.end())
          continue;
        PendingPrefill P;
        P.Before = Before;
        P.Finish = Finishes.at(Item.Key);
        P.Left = Request->second.Since + Request->second.Spec.Objective - Now;
        P.OnTimeProbability = onTimeProbability(P.Finish, P.Left);
        P.Utility = Request->second.Utility;
        C.Prefills.push_back(P);
      }
    }
  }

  /// Returns the candidates with a prompt split into \p Count parts, lowest
  /// cost first.
  std::vector<Option> options(const std::vector<Candidate> &From,
                              std::size_t Count) const {
    Duration PrefillTime = FullPrefillTime / static_cast<std::int64_t>(Count);
    std::vector<Option> List;
    List.reserve(From.size());
    for (const Candidate &C : From)
      List.push_back(optionAt(C, PrefillTime, Count > 1));
    std::sort(List.begin(), List.end(),
              [](const Option &A, const Option &B) { return A.Cost < B.Cost; });
    return List;
  }

  std::uint64_t neededTokens() const {
    return Spec.PromptTokens + Spec.AnswerTokens;
  }

  /// Distributes the memory that does not fit at the first engine over the
  /// helpers. Returns false if their free memory does not suffice.
  bool spreadMemory(Plan &P, const std::vector<const Option *> &Chosen) const {
    std::uint64_t Needed = neededTokens();
    std::uint64_t AtFirst = std::min(Chosen.front()->FreeTokens, Needed);
    P.Parts.front().MemoryTokens = AtFirst;
    std::uint64_t Left = Needed - AtFirst;
    for (std::size_t I = 1; I < Chosen.size() && Left > 0; ++I) {
      std::uint64_t Here = std::min(Chosen[I]->FreeTokens, Left);
      P.Parts[I].MemoryTokens = Here;
      Left -= Here;
    }
    return Left == 0;
  }

  /// Returns the cheapest engine with a free slot and enough memory for the
  /// whole request; failing that, the one with a slot and the most free memory.
  const Option *chooseFirst(const std::vector<Option> &List) const {
    const Option *Best = nullptr;
    for (const Option &O : List) {
      if (!O.HasSlot)
        continue;
      if (O.FreeTokens >= neededTokens())
        return &O;
      if (Best == nullptr || O.FreeTokens > Best->FreeTokens)
        Best = &O;
    }
    return Best;
  }

  std::optional<Plan> planOf(std::size_t Count,
                             const std::vector<Option> &List) const {
    const Option *First = chooseFirst(List);
    if (First == nullptr || List.size() < Count)
      return std::nullopt;
    std::vector<const Option *> Chosen = {First};
    for (const Option &O : List) {
      if (Chosen.size() == Count)
        break;
      if (&O != First && O.Engine->HelperPartCount < F.Slots)
        Chosen.push_back(&O);
    }
    if (Chosen.size() < Count)
      return std::nullopt;
    Plan P;
    Duration Part = FullPrefillTime / static_cast<std::int64_t>(Count);
    for (const Option *O : Chosen) {
      P.Parts.push_back({*O->Id, scaled(Part, O->Engine->Slowness), 0});
      P.Forecast = std::max(P.Forecast, O->PrefillEnd);
      P.Penalty += O->Penalty;
      P.ExpectedPenalty += O->ExpectedPenalty;
    }
    P.Forecast += First->Engine->DecodingCount > 0 ? First->Interval
                                                   : First->Interval / 2;
    P.OnTimeProbability = onTimeProbability(P.Forecast, Spec.Objective);
    P.OnTime = P.OnTimeProbability >= MinOnTimeProbability;
    if (!spreadMemory(P, Chosen))
      return std::nullopt;
    return P;
  }

  /// Expected utility of the plan, less its penalties and its cost.
  double netUtility(const Plan &P) const {
    double Gain = utilityOf(Spec) *
                  (1 - LateUtilityLoss + LateUtilityLoss * P.OnTimeProbability);
    auto Parts = static_cast<double>(P.Parts.size());
    return Gain - P.Penalty - P.ExpectedPenalty - Parts * UtilityPerPart;
  }

  std::optional<Plan> best(bool AllowAvoided) const {
    std::optional<Plan> Best;
    std::vector<Candidate> All = candidates(AllowAvoided);
    bool HasPrefills = false;
    for (std::size_t Count : PartCounts) {
      if (Count > All.size())
        break;
      if (Count > 1 && !HasPrefills)
        addPrefills(All);
      HasPrefills = Count > 1;
      std::vector<Option> List = options(All, Count);
      std::optional<Plan> P = planOf(Count, List);
      if (P && (!Best || netUtility(*P) > netUtility(*Best)))
        Best = std::move(P);
      // Ends the search early for the most frequent case: a short prompt that
      // fits on one engine.
      if (Count == 1 && isShort() && Best && Best->OnTime && Best->Penalty == 0)
        break;
    }
    return Best;
  }
};

} // namespace

double utilityOf(const PlacementRequest &Spec) {
  return std::pow(static_cast<double>(Spec.PromptTokens + 1), UtilityExponent);
}

std::optional<Plan> findPlan(const PlacerState &S, const PlacementRequest &Spec,
                             TimePoint Now) {
  auto Profile = S.Profiles.find(Spec.Service);
  if (Profile == S.Profiles.end())
    return std::nullopt;
  Search Searcher{S,
                  Spec,
                  Now,
                  Profile->second,
                  prefillTime(Profile->second, Spec.PromptTokens),
                  maxPrefillPerInterval(Profile->second, Spec.PromptTokens)};
  std::optional<Plan> Found = Searcher.best(false);
  return Found ? Found : Searcher.best(true);
}

Duration minTimeToFirstEvent(const EngineProfile &F,
                             const PlacementRequest &Spec,
                             std::size_t Engines) {
  std::size_t Parts =
      std::min(PartCounts.back(), std::max<std::size_t>(1, Engines));
  return prefillTime(F, Spec.PromptTokens) / static_cast<std::int64_t>(Parts) +
         eventIntervalTime(F, 1, Spec.PromptTokens);
}

} // namespace pimento::placer
