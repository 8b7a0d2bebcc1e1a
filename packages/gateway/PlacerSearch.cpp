#include "gateway/PlacerSearch.h"

#include "gateway/EngineCost.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace pimento::placer {

namespace {

constexpr std::array<std::size_t, 8> PartCounts = {1, 2, 3, 4, 6, 8, 12, 16};
/// Of the longest pause that a request allows; the rest is for the way.
constexpr double PauseShare = 0.85;
/// How far forecasts are off, as a share of the time that is left.
constexpr double ForecastSpread = 0.18;
/// A request counts as on time with at least this chance.
constexpr double OnTimeChance = 0.7;
/// A request's worth grows with its size, but more slowly.
constexpr double WorthExponent = 0.75;
/// What an engine's time costs, so that equal plans take less of it.
constexpr double WorthPerSecond = 400;
constexpr double WorthPerPart = 25;
/// Requests of another pace on the same engine hinder each other later.
constexpr double MixedPaceCost = 60;
constexpr double IdleEngineCost = 40; // To a short prompt: others need it more.
/// Engines keep memory in blocks, and answers grow longer than expected.
constexpr double UsableMemory = 0.97;
constexpr double CrossingCost = 2; // To another data centre.

Duration scaled(Duration D, double Factor) {
  return fromSeconds(toSeconds(D) * Factor);
}

/// A prompt that an engine reads for now.
struct Pending {
  Duration Before = {}; // Until it is read here.
  Duration Finish = {}; // Until all of its engines have read it.
  Duration Left = {};   // Until its first event is late.
  double Chance = 0;    // That it is not.
  double Worth = 0;
};

/// What is the same for an engine whatever part of the request it gets.
struct Candidate {
  const BackendId *Id = nullptr;
  const PlacerEngine *Engine = nullptr;
  Duration Backlog = {};
  Duration Pass = {};     // Of the request's own writing, were it the first.
  Duration PassWait = {}; // For the pass that is under way.
  double ReadFactor = 1;  // Of reading among those that write.
  double BaseCost = 0;
  std::uint64_t FreeTokens = 0;
  bool HasSlot = false;
  std::vector<Pending> Reads; // Only where parts go ahead of them.
};

/// One engine with one part of the request on it.
struct Option {
  const BackendId *Id = nullptr;
  const PlacerEngine *Engine = nullptr;
  Duration ReadBy = {}; // From now until the part is read.
  Duration Pass = {};   // Of the request's own writing, were it the first.
  double Harm = 0;
  double Hindrance = 0; // Worth that requests which are read there may lose.
  double Cost = 0;      // Breaks ties; grows with what the choice hinders.
  std::uint64_t FreeTokens = 0;
  bool HasSlot = false;
};

/// When each prompt is read whole, from now.
std::map<PlacementKey, Duration> finishes(const PlacerState &S) {
  std::map<PlacementKey, Duration> Latest;
  for (const auto &[Id, E] : S.Engines) {
    Duration Sum = {};
    for (const ReadItem &Item : E.Reads.Items) {
      Sum += Item.Left;
      Duration &Finish = Latest[Item.Key];
      Finish = std::max(Finish, Sum);
    }
  }
  return Latest;
}

struct Search {
  const PlacerState &S;
  const PlacementRequest &Ask;
  TimePoint Now;
  const EngineProfile &F;
  Duration Whole; // Reading time of the prompt on one engine.
  Duration Limit; // Longest reading in one pass, of this prompt.

  bool isEligible(const BackendId &Id, const PlacerEngine &E,
                  bool TakeAvoided) const {
    bool Tried =
        std::find(Ask.Avoid.begin(), Ask.Avoid.end(), Id) != Ask.Avoid.end();
    return E.Service == Ask.Service && E.Ready && !Tried &&
           (TakeAvoided || E.AvoidUntil <= Now);
  }

  /// Chance that the first event of a request comes in time.
  static double chanceOf(Duration Forecast, Duration Left) {
    if (Left <= Duration::zero())
      return 0;
    double Ratio = toSeconds(Forecast) / toSeconds(Left);
    return 1 / (1 + std::exp((Ratio - 1) / ForecastSpread));
  }

  /// What the requests that are read on an engine lose by \p Reading ahead of
  /// them there.
  static double delayHarm(const Candidate &C, Duration Reading) {
    double Harm = 0;
    for (const Pending &P : C.Reads) {
      if (P.Before + Reading <= P.Finish)
        continue; // Another engine takes longer with its part.
      double Lost = P.Chance - chanceOf(P.Before + Reading, P.Left);
      Harm += LateLoss * Lost * P.Worth;
    }
    return Harm;
  }

  /// Worth of the requests on an engine whose next event comes too late in a
  /// pass of length \p Pass.
  static double harmAt(const PlacerEngine &E, Duration Pass) {
    if (E.PauseLimit == Duration::zero() ||
        Pass <= scaled(E.PauseLimit, PauseShare))
      return 0;
    double Harm = 0;
    for (const EngineShare &Share : E.Shares) {
      if (Share.First && Share.PauseLimit > Duration::zero() &&
          Pass > scaled(Share.PauseLimit, PauseShare))
        Harm += LateLoss * Share.Worth;
    }
    return Harm;
  }

  /// How late the first events from an engine are: it reads something that is
  /// not known here, or stands still. Answers the pattern of a silent engine
  /// that looks idle and draws all new requests. It says which engine is
  /// better, not when a request would be read.
  Duration overdue(const PlacerEngine &E) const {
    Duration Longest = {};
    for (const EngineShare &Share : E.Shares) {
      if (Share.First && Share.Alone && !Share.Writing)
        Longest = std::max(Longest, Now - Share.ReadBy);
    }
    return Longest;
  }

  Candidate candidateAt(const BackendId &Id, const PlacerEngine &E) const {
    Candidate C;
    C.Id = &Id;
    C.Engine = &E;
    C.Backlog = totalReading(E.Reads);
    std::size_t Active = E.Writers + E.Readers;
    C.Pass = passTime(F, E.Writers + 1, E.WriterContext + Ask.PromptTokens);
    C.PassWait = passWait(E, C.Backlog, Limit);
    C.ReadFactor =
        toSeconds(sharedReadingTime(F, seconds(1), E.Writers, E.WriterContext));
    auto Usable = static_cast<std::uint64_t>(
        UsableMemory * static_cast<double>(F.MemoryTokens));
    C.FreeTokens = Usable - std::min(E.MemoryTokens, Usable);
    C.HasSlot = Active < F.Slots;
    C.BaseCost = toSeconds(C.Backlog + overdue(E)) * WorthPerSecond +
                 paceCost(E, Active) +
                 (E.DataCentre == Ask.DataCentre ? 0 : CrossingCost) + E.Bias;
    return C;
  }

  Option optionAt(const Candidate &C, Duration Reading, bool Spread) const {
    const PlacerEngine &E = *C.Engine;
    Option O;
    O.Id = C.Id;
    O.Engine = C.Engine;
    O.Pass = C.Pass;
    O.FreeTokens = C.FreeTokens;
    O.HasSlot = C.HasSlot;
    Reading = scaled(Reading, E.Slowness);
    Duration Ahead = Spread ? Duration::zero() : C.Backlog;
    O.ReadBy = C.PassWait + scaled(Reading + Ahead, C.ReadFactor);
    if (E.Writers + E.Readers > 0)
      O.Harm = harmAt(E, O.Pass + std::min(C.Backlog + Reading, Limit));
    if (Spread)
      O.Hindrance = delayHarm(C, Reading);
    O.Cost = O.Harm + O.Hindrance + C.BaseCost;
    return O;
  }

  /// A pass that is under way ends before anything new is read.
  Duration passWait(const PlacerEngine &E, Duration Backlog,
                    Duration Limit) const {
    if (E.Writers == 0)
      return Duration::zero();
    return (passTime(F, E.Writers, E.WriterContext) +
            std::min(Backlog, Limit)) /
           2;
  }

  /// Short prompts go where others of their pace write already; long ones
  /// where nobody does.
  double paceCost(const PlacerEngine &E, std::size_t Active) const {
    bool Idle = Active == 0;
    bool Short = isShort();
    if (Idle)
      return Short ? IdleEngineCost : 0;
    if (E.PauseLimit != Ask.InterEventObjective)
      return MixedPaceCost;
    return Short ? -static_cast<double>(E.Writers)
                 : 2 * static_cast<double>(Active);
  }

  /// Whether the prompt is read within a pass without making anyone late.
  bool isShort() const {
    return Ask.InterEventObjective > Duration::zero() &&
           Whole < scaled(Ask.InterEventObjective, 1 - PauseShare + 0.35);
  }

  std::vector<Candidate> candidates(bool TakeAvoided) const {
    std::vector<Candidate> List;
    List.reserve(S.Engines.size());
    for (const auto &[Id, E] : S.Engines) {
      if (isEligible(Id, E, TakeAvoided))
        List.push_back(candidateAt(Id, E));
    }
    return List;
  }

  /// Adds the prompts that parts of this one would go ahead of.
  void addReads(std::vector<Candidate> &List) const {
    std::map<PlacementKey, Duration> Finishes = finishes(S);
    for (Candidate &C : List) {
      Duration Before = {};
      for (const ReadItem &Item : C.Engine->Reads.Items) {
        Before += Item.Left;
        auto Request = S.Placed.find(Item.Key);
        if (Request == S.Placed.end())
          continue;
        Pending P;
        P.Before = Before;
        P.Finish = Finishes.at(Item.Key);
        P.Left = Request->second.Since + Request->second.Ask.Objective - Now;
        P.Chance = chanceOf(P.Finish, P.Left);
        P.Worth = Request->second.Worth;
        C.Reads.push_back(P);
      }
    }
  }

  /// Cheapest first.
  std::vector<Option> options(const std::vector<Candidate> &From,
                              std::size_t Count) const {
    Duration Reading = Whole / static_cast<std::int64_t>(Count);
    std::vector<Option> List;
    List.reserve(From.size());
    for (const Candidate &C : From)
      List.push_back(optionAt(C, Reading, Count > 1));
    std::sort(List.begin(), List.end(),
              [](const Option &A, const Option &B) { return A.Cost < B.Cost; });
    return List;
  }

  std::uint64_t neededTokens() const {
    return Ask.PromptTokens + Ask.AnswerTokens;
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
      if (&O != First && O.Engine->Helping < F.Slots)
        Chosen.push_back(&O);
    }
    if (Chosen.size() < Count)
      return std::nullopt;
    Plan P;
    Duration Part = Whole / static_cast<std::int64_t>(Count);
    for (const Option *O : Chosen) {
      P.Parts.push_back({*O->Id, scaled(Part, O->Engine->Slowness), 0});
      P.Forecast = std::max(P.Forecast, O->ReadBy);
      P.Harm += O->Harm;
      P.Hindrance += O->Hindrance;
    }
    P.Forecast += First->Engine->Writers > 0 ? First->Pass : First->Pass / 2;
    P.Chance = chanceOf(P.Forecast, Ask.Objective);
    P.OnTime = P.Chance >= OnTimeChance;
    if (!spreadMemory(P, Chosen))
      return std::nullopt;
    return P;
  }

  /// What the plan is worth, its cost taken off.
  double valueOf(const Plan &P) const {
    double Gain = worthOf(Ask) * (1 - LateLoss + LateLoss * P.Chance);
    auto Parts = static_cast<double>(P.Parts.size());
    return Gain - P.Harm - P.Hindrance - Parts * WorthPerPart;
  }

  std::optional<Plan> best(bool TakeAvoided) const {
    std::optional<Plan> Best;
    std::vector<Candidate> All = candidates(TakeAvoided);
    bool HasReads = false;
    for (std::size_t Count : PartCounts) {
      if (Count > All.size())
        break;
      if (Count > 1 && !HasReads)
        addReads(All);
      HasReads = Count > 1;
      std::vector<Option> List = options(All, Count);
      std::optional<Plan> P = planOf(Count, List);
      if (P && (!Best || valueOf(*P) > valueOf(*Best)))
        Best = std::move(P);
      // Most prompts are short and fit somewhere: that is found at once.
      if (Count == 1 && isShort() && Best && Best->OnTime && Best->Harm == 0)
        break;
    }
    return Best;
  }
};

} // namespace

double worthOf(const PlacementRequest &Ask) {
  return std::pow(static_cast<double>(Ask.PromptTokens + 1), WorthExponent);
}

std::optional<Plan> findPlan(const PlacerState &S, const PlacementRequest &Ask,
                             TimePoint Now) {
  auto Facts = S.Facts.find(Ask.Service);
  if (Facts == S.Facts.end())
    return std::nullopt;
  Search Try{S,
             Ask,
             Now,
             Facts->second,
             readingTime(Facts->second, Ask.PromptTokens),
             passReadingLimit(Facts->second, Ask.PromptTokens)};
  std::optional<Plan> Found = Try.best(false);
  return Found ? Found : Try.best(true);
}

Duration leastTime(const EngineProfile &F, const PlacementRequest &Ask,
                   std::size_t Engines) {
  std::size_t Parts =
      std::min(PartCounts.back(), std::max<std::size_t>(1, Engines));
  return readingTime(F, Ask.PromptTokens) / static_cast<std::int64_t>(Parts) +
         passTime(F, 1, Ask.PromptTokens);
}

} // namespace pimento::placer
