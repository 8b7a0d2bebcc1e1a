#include "gateway/PlacerSearch.h"

#include "gateway/EngineCost.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace pimento::placer {

namespace {

constexpr std::array<std::size_t, 8> PartCounts = {1, 2, 3, 4, 6, 8, 12, 16};
/// Of the longest pause that a request allows; the rest is for the way.
constexpr double EventGapShare = 0.85;
/// How far forecasts are off, as a share of the time that is left.
constexpr double ForecastSpread = 0.18;
/// A request counts as on time with at least this chance.
constexpr double MinOnTimeProbability = 0.7;
/// A request's worth grows with its size, but more slowly.
constexpr double UtilityExponent = 0.75;
/// What an engine's time costs, so that equal plans take less of it.
constexpr double UtilityPerSecond = 400;
constexpr double UtilityPerPart = 25;
/// Requests of another pace on the same engine hinder each other later.
constexpr double MixedObjectiveCost = 60;
constexpr double IdleEngineCost = 40; // To a short prompt: others need it more.
/// Engines keep memory in blocks, and answers grow longer than expected.
constexpr double UsableMemory = 0.97;
constexpr double CrossingCost = 2; // To another data centre.

Duration scaled(Duration D, double Factor) {
  return fromSeconds(toSeconds(D) * Factor);
}

/// A prompt that an engine reads for now.
struct PendingPrefill {
  Duration Before = {};         // Until it is read here.
  Duration Finish = {};         // Until all of its engines have read it.
  Duration Left = {};           // Until its first event is late.
  double OnTimeProbability = 0; // That it is not.
  double Utility = 0;
};

/// What is the same for an engine whatever part of the request it gets.
struct Candidate {
  const BackendId *Id = nullptr;
  const PlacerEngine *Engine = nullptr;
  Duration Backlog = {};
  Duration Interval = {}; // Of the request's own writing, were it the first.
  Duration IntervalWait = {}; // For the pass that is under way.
  double PrefillSlowdown = 1; // Of reading among those that write.
  double BaseCost = 0;
  std::uint64_t FreeTokens = 0;
  bool HasSlot = false;
  std::vector<PendingPrefill> Prefills; // Only where parts go ahead of them.
};

/// One engine with one part of the request on it.
struct Option {
  const BackendId *Id = nullptr;
  const PlacerEngine *Engine = nullptr;
  Duration PrefillEnd = {}; // From now until the part is read.
  Duration Interval = {};   // Of the request's own writing, were it the first.
  double Penalty = 0;
  double ExpectedPenalty =
      0;           // Utility that requests which are read there may lose.
  double Cost = 0; // Breaks ties; grows with what the choice hinders.
  std::uint64_t FreeTokens = 0;
  bool HasSlot = false;
};

/// When each prompt is read whole, from now.
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
  Duration FullPrefillTime; // PrefillTime time of the prompt on one engine.
  Duration MaxPrefill;      // Longest reading in one pass, of this prompt.

  bool isEligible(const BackendId &Id, const PlacerEngine &E,
                  bool AllowAvoided) const {
    bool Tried =
        std::find(Spec.Avoid.begin(), Spec.Avoid.end(), Id) != Spec.Avoid.end();
    return E.Service == Spec.Service && E.Ready && !Tried &&
           (AllowAvoided || E.AvoidUntil <= Now);
  }

  /// Chance that the first event of a request comes in time.
  static double onTimeProbability(Duration Forecast, Duration Left) {
    if (Left <= Duration::zero())
      return 0;
    double Ratio = toSeconds(Forecast) / toSeconds(Left);
    return 1 / (1 + std::exp((Ratio - 1) / ForecastSpread));
  }

  /// What the requests that are read on an engine lose by \p Reading ahead of
  /// them there.
  static double prefillDelayPenalty(const Candidate &C, Duration PrefillTime) {
    double Penalty = 0;
    for (const PendingPrefill &P : C.Prefills) {
      if (P.Before + PrefillTime <= P.Finish)
        continue; // Another engine takes longer with its part.
      double Lost = P.OnTimeProbability -
                    onTimeProbability(P.Before + PrefillTime, P.Left);
      Penalty += LateUtilityLoss * Lost * P.Utility;
    }
    return Penalty;
  }

  /// Utility of the requests on an engine whose next event comes too late in a
  /// pass of length \p Interval.
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

  /// How late the first events from an engine are: it reads something that is
  /// not known here, or stands still. Answers the pattern of a silent engine
  /// that looks idle and draws all new requests. It says which engine is
  /// better, not when a request would be read.
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
    C.Interval = eventIntervalTime(F, E.DecodingCount + 1,
                                   E.DecodingContext + Spec.PromptTokens);
    C.IntervalWait = intervalWait(E, C.Backlog, MaxPrefill);
    C.PrefillSlowdown = toSeconds(prefillTimeWhileDecoding(
        F, seconds(1), E.DecodingCount, E.DecodingContext));
    auto Usable = static_cast<std::uint64_t>(
        UsableMemory * static_cast<double>(F.MemoryTokens));
    C.FreeTokens = Usable - std::min(E.MemoryTokens, Usable);
    C.HasSlot = Active < F.Slots;
    C.BaseCost = toSeconds(C.Backlog + overdue(E)) * UtilityPerSecond +
                 objectiveCost(E, Active) +
                 (E.DataCentre == Spec.DataCentre ? 0 : CrossingCost) + E.Bias;
    return C;
  }

  Option optionAt(const Candidate &C, Duration PrefillTime, bool Spread) const {
    const PlacerEngine &E = *C.Engine;
    Option O;
    O.Id = C.Id;
    O.Engine = C.Engine;
    O.Interval = C.Interval;
    O.FreeTokens = C.FreeTokens;
    O.HasSlot = C.HasSlot;
    PrefillTime = scaled(PrefillTime, E.Slowness);
    Duration Ahead = Spread ? Duration::zero() : C.Backlog;
    O.PrefillEnd =
        C.IntervalWait + scaled(PrefillTime + Ahead, C.PrefillSlowdown);
    if (E.DecodingCount + E.PrefillingCount > 0)
      O.Penalty = eventDelayPenalty(
          E, O.Interval + std::min(C.Backlog + PrefillTime, MaxPrefill));
    if (Spread)
      O.ExpectedPenalty = prefillDelayPenalty(C, PrefillTime);
    O.Cost = O.Penalty + O.ExpectedPenalty + C.BaseCost;
    return O;
  }

  /// A pass that is under way ends before anything new is read.
  Duration intervalWait(const PlacerEngine &E, Duration Backlog,
                        Duration MaxPrefill) const {
    if (E.DecodingCount == 0)
      return Duration::zero();
    return (eventIntervalTime(F, E.DecodingCount, E.DecodingContext) +
            std::min(Backlog, MaxPrefill)) /
           2;
  }

  /// Short prompts go where others of their pace write already; long ones
  /// where nobody does.
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

  /// Whether the prompt is read within a pass without making anyone late.
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

  /// Adds the prompts that parts of this one would go ahead of.
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

  /// Cheapest first.
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

  /// Keeps at helpers what the first engine has no room for. False where they
  /// have too little together.
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

  /// The first engine needs a slot and, where possible, room for everything.
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

  /// What the plan is worth, its cost taken off.
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
      // Most prompts are short and fit somewhere: that is found at once.
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
