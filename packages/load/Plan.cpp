#include "load/Plan.h"

#include "base/Random.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace pimento::load {

namespace {

constexpr std::size_t LargeAccountOneIn = 3;
constexpr unsigned LargeAccountDemand = 4; // Times that of a small account.
constexpr Duration RepeatDelay = milliseconds(200); // At most.
constexpr Duration PlainCallLimit = seconds(10);

/// Draws the length bands of completions, fifty at a time.
struct BandDeck {
  std::vector<std::size_t> Left; // Indices into Mix::Bands.
};

std::size_t drawBand(BandDeck &Deck, const Mix &M, Random &R) {
  if (Deck.Left.empty()) {
    for (std::size_t I = 0; I != M.Bands.size(); ++I)
      Deck.Left.insert(Deck.Left.end(), M.Bands[I].InFifty, I);
  }
  std::size_t Chosen = below(R, Deck.Left.size());
  std::swap(Deck.Left[Chosen], Deck.Left.back());
  std::size_t Band = Deck.Left.back();
  Deck.Left.pop_back();
  return Band;
}

/// Log-uniform: each doubling of the length is as frequent as the next.
std::uint64_t drawTokens(const LengthBand &B, double Scale, Random &R) {
  double Least = std::log(static_cast<double>(B.Least));
  double Most = std::log(static_cast<double>(B.Most));
  double Tokens = std::exp(Least + uniform(R) * (Most - Least)) * Scale;
  return std::max(MinPromptTokens, static_cast<std::uint64_t>(Tokens));
}

/// One account in three is large and asks four times as much.
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

/// The same call again through another host, where there is one.
Arrival repeatOf(const Arrival &First, std::size_t Hosts, Random &R) {
  Arrival Again = First;
  Again.Repeats = First.Number;
  Again.At += between(R, Duration::zero(), RepeatDelay);
  Again.Host = (First.Host + 1) % Hosts;
  return Again;
}

/// Orders by time and numbers anew; repeats follow their first.
void orderByTime(std::vector<Arrival> &Plan) {
  std::stable_sort(
      Plan.begin(), Plan.end(),
      [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  std::vector<std::size_t> Position(Plan.size());
  for (std::size_t I = 0; I != Plan.size(); ++I)
    Position[Plan[I].Number] = I;
  for (Arrival &A : Plan) {
    A.Number = Position[A.Number];
    if (A.Repeats)
      A.Repeats = Position[*A.Repeats];
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

const char *toString(Users U) {
  return U == Users::Pamoja ? "pamoja" : "taller";
}

Mix mixOf(Users U) {
  constexpr auto Short = LengthClass::Short;
  constexpr auto Medium = LengthClass::Medium;
  constexpr auto Large = LengthClass::Large;
  constexpr auto Long = LengthClass::Long;
  Mix M;
  if (U == Users::Pamoja) {
    // Summaries of a file, reviews of a cycle, audits of a base.
    M.Bands = {{Short, 1000, 4000, 33, 64, seconds(30)},
               {Medium, 4000, 32000, 12, 64, seconds(60)},
               {Large, 32000, LongTokens, 4, 128, seconds(120)},
               {Long, LongTokens + 1, LongestTokens, 1, 128, seconds(600)}};
    M.LookupShare = 0.10;
    M.NonRepeatableShare = 0.12;
    M.SentTwiceShare = 0.33;
    return M;
  }
  // Drafts in a chat, reviews of briefs, match reviews of a whole archive.
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
  Mix M = mixOf(S.Who);
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
  return RunName + "-" + std::to_string(A.Repeats.value_or(A.Number));
}

} // namespace pimento::load
