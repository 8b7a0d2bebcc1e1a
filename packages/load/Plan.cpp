#include "load/Plan.h"

#include "base/Random.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace pimento::load {

namespace {

constexpr std::size_t LargeAccountOneIn = 3;
constexpr unsigned LargeAccountDemand = 4; // Relative to a small account.
constexpr Duration RepeatDelay = milliseconds(200); // Maximum.
constexpr Duration PlainCallLimit = seconds(10);

/// Draws length bands without replacement from sets of 50 completions, so that
/// each set has exactly the counts of the mix.
struct BandDeck {
  std::vector<std::size_t> Remaining; // Indices into Mix::Bands.
};

std::size_t drawBand(BandDeck &Deck, const Mix &M, Random &R) {
  if (Deck.Remaining.empty()) {
    for (std::size_t I = 0; I != M.Bands.size(); ++I)
      Deck.Remaining.insert(Deck.Remaining.end(), M.Bands[I].CountPerFifty, I);
  }
  std::size_t Chosen = below(R, Deck.Remaining.size());
  std::swap(Deck.Remaining[Chosen], Deck.Remaining.back());
  std::size_t Band = Deck.Remaining.back();
  Deck.Remaining.pop_back();
  return Band;
}

/// Draws a log-uniform length: each doubling of the length is equally likely.
std::uint64_t drawTokens(const LengthBand &B, double Scale, Random &R) {
  double LogMin = std::log(static_cast<double>(B.MinTokens));
  double LogMax = std::log(static_cast<double>(B.MaxTokens));
  double Tokens = std::exp(LogMin + uniform(R) * (LogMax - LogMin)) * Scale;
  return std::max(MinPromptTokens, static_cast<std::uint64_t>(Tokens));
}

/// Draws an account. One account in three is large and sends four times as many
/// requests as the others.
std::size_t drawAccount(std::size_t Accounts, Random &R) {
  std::size_t Large = (Accounts + LargeAccountOneIn - 1) / LargeAccountOneIn;
  std::size_t Tickets = Large * LargeAccountDemand + (Accounts - Large);
  std::size_t Ticket = below(R, Tickets);
  if (Ticket < Large * LargeAccountDemand)
    return Ticket / LargeAccountDemand;
  return Ticket - Large * LargeAccountDemand + Large;
}

Duration drawGap(double Rate, Random &R) {
  return fromSeconds(-std::log(1.0 - uniform(R)) / Rate);
}

RequestKind drawKind(const PlanSettings &S, const Mix &M, Random &R) {
  double Ticket = uniform(R);
  if (!S.PlainCalls)
    return RequestKind::Completion;
  if (Ticket < M.LookupShare)
    return RequestKind::Lookup;
  if (Ticket < M.LookupShare + M.NonRepeatableShare)
    return RequestKind::NonRepeatable;
  return RequestKind::Completion;
}

void fillCompletion(Arrival &A, const PlanSettings &S, const LengthBand &B,
                    Random &R) {
  A.Class = B.Class;
  A.PromptTokens = drawTokens(B, S.Scale, R);
  A.AnswerTokens = B.AnswerTokens;
  A.Model = below(R, S.Models);
  A.Limit = B.Limit;
}

/// Returns a repeat of the same call through the next host, which differs if
/// there is more than one.
Arrival repeatOf(const Arrival &First, std::size_t Hosts, Random &R) {
  Arrival Again = First;
  Again.RepeatOf = First.Number;
  Again.At += between(R, Duration::zero(), RepeatDelay);
  Again.Host = (First.Host + 1) % Hosts;
  return Again;
}

/// Sorts the plan by time and renumbers it, including references of repeats.
void orderByTime(std::vector<Arrival> &Plan) {
  std::stable_sort(
      Plan.begin(), Plan.end(),
      [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  std::vector<std::size_t> Position(Plan.size());
  for (std::size_t I = 0; I != Plan.size(); ++I)
    Position[Plan[I].Number] = I;
  for (Arrival &A : Plan) {
    A.Number = Position[A.Number];
    if (A.RepeatOf)
      A.RepeatOf = Position[*A.RepeatOf];
  }
}

} // namespace

const char *toString(LengthClass C) {
  switch (C) {
  case LengthClass::Short:
    return "short";
  case LengthClass::Medium:
    return "medium";
  case LengthClass::Large:
    return "large";
  case LengthClass::Long:
    break;
  }
  return "long";
}

const char *toString(WorkloadKind K) {
  return K == WorkloadKind::Pamoja ? "pamoja" : "taller";
}

Mix mixOf(WorkloadKind K) {
  constexpr auto Short = LengthClass::Short;
  constexpr auto Medium = LengthClass::Medium;
  constexpr auto Large = LengthClass::Large;
  constexpr auto Long = LengthClass::Long;
  Mix M;
  if (K == WorkloadKind::Pamoja) {
    // Models file summaries, cycle reviews and audits of a base.
    M.Bands = {{Short, 1000, 4000, 33, 64, seconds(30)},
               {Medium, 4000, 32000, 12, 64, seconds(60)},
               {Large, 32000, LongTokens, 4, 128, seconds(120)},
               {Long, LongTokens + 1, LongestTokens, 1, 128, seconds(600)}};
    M.LookupShare = 0.10;
    M.NonRepeatableShare = 0.12;
    M.SentTwiceShare = 0.33;
    return M;
  }
  // Models chat drafts, reviews of briefs and match reviews of a whole archive.
  M.Bands = {{Short, 1000, 4000, 40, 96, seconds(30)},
             {Medium, 4000, 32000, 6, 64, seconds(60)},
             {Large, 32000, LongTokens, 3, 128, seconds(300)},
             {Long, LongTokens + 1, LongestTokens, 1, 128, seconds(600)}};
  M.LookupShare = 0.08;
  M.NonRepeatableShare = 0.04;
  M.SentTwiceShare = 0.33;
  return M;
}

std::vector<Arrival> makePlan(const PlanSettings &S) {
  Random R(S.Seed);
  Mix M = mixOf(S.Workload);
  BandDeck Deck;
  std::vector<Arrival> Plan;
  Duration At = drawGap(S.Rate, R);
  while (At < S.Length && Plan.size() < S.Requests) {
    Arrival A;
    A.Number = Plan.size();
    A.At = At;
    A.Account = drawAccount(S.Accounts, R);
    A.Host = below(R, S.Hosts);
    A.Kind = drawKind(S, M, R);
    A.Limit = PlainCallLimit;
    if (A.Kind == RequestKind::Completion)
      fillCompletion(A, S, M.Bands[drawBand(Deck, M, R)], R);
    Plan.push_back(A);
    bool Twice = A.Kind == RequestKind::NonRepeatable &&
                 uniform(R) < M.SentTwiceShare && Plan.size() < S.Requests;
    if (Twice) {
      Plan.push_back(repeatOf(A, S.Hosts, R));
      Plan.back().Number = Plan.size() - 1;
    }
    At += drawGap(S.Rate, R);
  }
  orderByTime(Plan);
  return Plan;
}

std::vector<Arrival> shortOnly(const std::vector<Arrival> &Plan) {
  std::vector<Arrival> Shorts;
  for (const Arrival &A : Plan) {
    if (A.Kind == RequestKind::Completion && A.Class == LengthClass::Short)
      Shorts.push_back(A);
  }
  return Shorts;
}

std::string promptText(const std::string &RunName, const Arrival &A) {
  constexpr std::string_view Filler = "drill record, ";
  std::size_t Size = A.PromptTokens * BytesPerToken;
  std::string Text = "Request " + std::to_string(A.Number) + " of " + RunName;
  Text += ": ";
  Text.reserve(Size + Filler.size());
  while (Text.size() < Size)
    Text += Filler;
  Text.resize(Size);
  return Text;
}

std::string keyText(const std::string &RunName, const Arrival &A) {
  return RunName + "-" + std::to_string(A.RepeatOf.value_or(A.Number));
}

} // namespace pimento::load
