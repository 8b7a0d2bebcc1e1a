#include "Workload.h"

#include "schedule/Prefix.h"

#include <algorithm>
#include <cmath>

namespace pimento::bench {

namespace {

constexpr Duration BurstEvery = seconds(120);
constexpr Duration BurstLength = seconds(20);
constexpr double BurstFactor = 2.5; // Rate in a burst, relative to the mean.
constexpr double QuietFactor =      // Rate outside bursts; keeps the mean.
    (120 - 20 * BurstFactor) / (120 - 20);
constexpr Duration BurstPromptsWithin = seconds(5);
/// Number of earlier prompts of an account that a later prompt may extend.
constexpr std::size_t RememberedPrompts = 4;
/// Length of the prefix shared by all prompts of an account, in tokens.
constexpr std::uint64_t SharedStart = FirstPrefixTokens;

std::vector<SiteAccount> tenAccounts() {
  constexpr double Shares[] = {.24, .2, .16, .1, .08, .06, .05, .05, .03, .03};
  constexpr std::uint32_t Weights[] = {4, 4, 2, 2, 1, 1, 1, 1, 1, 1};
  std::vector<SiteAccount> Accounts;
  Accounts.reserve(10);
  for (int I = 0; I < 10; ++I)
    Accounts.push_back(
        {AccountId("account-" + std::to_string(I)), Shares[I], Weights[I]});
  return Accounts;
}

struct OldPrompt {
  std::uint64_t Tokens = 0;
  std::vector<std::uint64_t> Prefixes;
};

/// State of the arrival generator.
struct Generator {
  const Site &S;
  const EngineSpec &Spec;
  Random R;
  // Indexed by account and kind.
  std::vector<std::vector<std::vector<OldPrompt>>> Old;
  std::vector<bool> Started; // By account: shared prefix was used.
};

Generator makeGenerator(const Site &S, const EngineSpec &Spec,
                        std::uint64_t Seed) {
  Generator G{S, Spec, Random(Seed), {}, {}};
  G.Old.assign(S.Accounts.size(),
               std::vector<std::vector<OldPrompt>>(S.Kinds.size()));
  G.Started.assign(S.Accounts.size(), false);
  return G;
}

template <class List> std::size_t drawShare(Random &R, const List &Items) {
  double Total = 0;
  for (const auto &Item : Items)
    Total += Item.Share;
  double Left = uniform(R) * Total;
  for (std::size_t I = 0; I < Items.size(); ++I) {
    Left -= Items[I].Share;
    if (Left < 0)
      return I;
  }
  return Items.size() - 1;
}

double drawLength(Random &R, const RequestKind &Kind) {
  const double Part = uniform(R);
  const double Ratio = Kind.MostTokens / Kind.LeastTokens;
  if (Kind.HeavyHead)
    return Kind.LeastTokens / (1 - Part * (1 - 1 / Ratio));
  return Kind.LeastTokens * std::exp(Part * std::log(Ratio));
}

std::size_t prefixCount(std::uint64_t Tokens) {
  std::size_t Count = 0;
  while ((FirstPrefixTokens << Count) <= Tokens)
    ++Count;
  return Count;
}

/// Fills in the prefixes and returns the tokens shared with an earlier prompt.
std::uint64_t drawPrefixes(Generator &G, Arrival &A, std::size_t KindIndex) {
  const RequestKind &Kind = G.S.Kinds[KindIndex];
  std::vector<OldPrompt> &Old = G.Old[A.Account][KindIndex];
  const std::size_t Count = prefixCount(A.PromptTokens);
  std::uint64_t Reused = 0;
  std::size_t Same = Count > 0 ? 1 : 0;
  if (!Old.empty() && uniform(G.R) < Kind.Reuse) {
    const OldPrompt &Earlier = Old[below(G.R, Old.size())];
    Same = std::min(Count, Earlier.Prefixes.size());
    A.Prefixes.assign(Earlier.Prefixes.begin(),
                      Earlier.Prefixes.begin() +
                          static_cast<std::ptrdiff_t>(Same));
  } else if (Count > 0) {
    A.Prefixes.push_back(0x5EED000000ULL + A.Account);
    Same = G.Started[A.Account] ? 1 : 0;
    G.Started[A.Account] = true;
  }
  if (Same > 0)
    Reused = std::min(FirstPrefixTokens << (Same - 1), A.PromptTokens - 1);
  while (A.Prefixes.size() < Count)
    A.Prefixes.push_back(G.R());
  if (Old.size() >= RememberedPrompts)
    Old.erase(Old.begin());
  Old.push_back({A.PromptTokens, A.Prefixes});
  return Reused;
}

Arrival drawArrival(Generator &G, std::size_t KindIndex, std::uint32_t Account,
                    TimePoint At) {
  const RequestKind &Kind = G.S.Kinds[KindIndex];
  Arrival A;
  A.At = At;
  A.Account = Account;
  A.Class = Kind.Class;
  A.PromptTokens = static_cast<std::uint64_t>(drawLength(G.R, Kind));
  A.OutputTokens =
      static_cast<std::uint32_t>(Kind.OutputTokens * (0.5 + uniform(G.R)));
  A.MaxOutput = static_cast<std::uint32_t>(2 * Kind.OutputTokens);
  A.Limit = Kind.Limit;
  const std::uint64_t Reused = drawPrefixes(G, A, KindIndex);
  A.Work = workSeconds(G.Spec, static_cast<double>(A.PromptTokens - Reused),
                       A.OutputTokens);
  return A;
}

double rateFactor(const Load &L, TimePoint At) {
  if (!L.Bursts)
    return 1;
  return (At - RunStart) % BurstEvery < BurstLength ? BurstFactor : QuietFactor;
}

/// Adds a few requests of the longest kind, from one account, almost at once.
void addBurstPrompts(Generator &G, std::vector<Arrival> &Arrivals,
                     Duration Length) {
  const std::size_t Kind = G.S.Kinds.size() - 1;
  for (Duration At = BurstEvery / 2; At < Length; At += BurstEvery) {
    const auto Account =
        static_cast<std::uint32_t>(drawShare(G.R, G.S.Accounts));
    for (std::size_t I = 0; I < G.S.BurstPrompts; ++I)
      Arrivals.push_back(drawArrival(
          G, Kind, Account,
          RunStart + At + between(G.R, Duration::zero(), BurstPromptsWithin)));
  }
}

void sortByTime(std::vector<Arrival> &Arrivals) {
  std::stable_sort(
      Arrivals.begin(), Arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
}

} // namespace

Site pamoja() {
  Site S;
  S.Name = "pamoja";
  S.Engines = 20;
  S.Kinds = {{"summary", LengthClass::Short, .80, 1024, 8192, false, 200,
              seconds(20), .3},
             {"review", LengthClass::Medium, .18, 8193, 100000, false, 150,
              seconds(90), .3},
             {"audit", LengthClass::Long, .02, 100001, 1000000, true, 200,
              seconds(600), 0}};
  S.Accounts = tenAccounts();
  S.BurstPrompts = 8;
  S.Capacity = 0.875;
  return S;
}

Site taller() {
  Site S;
  S.Name = "taller";
  S.Engines = 15;
  S.Kinds = {{"draft", LengthClass::Short, .94, 1024, 4096, false, 150,
              seconds(15), .3},
             {"brief", LengthClass::Medium, .04, 8193, 100000, false, 150,
              seconds(90), .3},
             {"portfolio", LengthClass::Long, .02, 100001, 1000000, true, 200,
              seconds(900), 0}};
  S.Accounts = tenAccounts();
  S.BurstPrompts = 5;
  S.Capacity = 0.83;
  // A late review costs the client account its pitch, so long prompts get more
  // engines here than by default.
  S.LaneLoad = 1;
  S.ShortMemoryShare = 0.05;
  return S;
}

double meanWork(const Site &S, const EngineSpec &Spec) {
  constexpr int Samples = 20000;
  Generator G = makeGenerator(S, Spec, /*Seed=*/1);
  double Total = 0;
  for (int I = 0; I < Samples; ++I) {
    const auto Account = static_cast<std::uint32_t>(drawShare(G.R, S.Accounts));
    Total += drawArrival(G, drawShare(G.R, S.Kinds), Account, RunStart).Work;
  }
  return Total / Samples;
}

std::vector<Arrival> makeArrivals(const Site &S, const EngineSpec &Spec,
                                  const Load &L, Duration Length,
                                  std::uint64_t Seed) {
  Generator G = makeGenerator(S, Spec, Seed);
  const double Capacity = static_cast<double>(S.Engines) * S.Capacity * L.Share;
  double Rate = Capacity / meanWork(S, Spec);
  std::vector<Arrival> Arrivals;
  if (L.Bursts) {
    addBurstPrompts(G, Arrivals, Length);
    double Work = 0;
    for (const Arrival &A : Arrivals)
      Work += A.Work;
    Rate *= std::max(0.1, 1 - Work / (Capacity * toSeconds(Length)));
  }
  TimePoint Now = RunStart;
  const TimePoint End = RunStart + Length;
  while (true) {
    const double Gap = -std::log(1 - uniform(G.R)) / Rate;
    Now += fromSeconds(Gap / rateFactor(L, Now));
    if (Now >= End)
      break;
    const std::size_t Kind = drawShare(G.R, S.Kinds);
    const auto Account = static_cast<std::uint32_t>(drawShare(G.R, S.Accounts));
    Arrivals.push_back(drawArrival(G, Kind, Account, Now));
  }
  sortByTime(Arrivals);
  return Arrivals;
}

void addFlood(std::vector<Arrival> &Arrivals, const Site &S,
              const EngineSpec &Spec, std::size_t Kind, std::uint32_t Account,
              double Rate, TimePoint From, TimePoint To, std::uint64_t Seed) {
  Generator G = makeGenerator(S, Spec, Seed);
  for (TimePoint Now = From; Now < To;) {
    Now += fromSeconds(-std::log(1 - uniform(G.R)) / Rate);
    Arrivals.push_back(drawArrival(G, Kind, Account, Now));
  }
  sortByTime(Arrivals);
}

} // namespace pimento::bench
