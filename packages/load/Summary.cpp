#include "load/Summary.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace pimento::load {

namespace {

constexpr std::size_t MostExamples = 5; // Of each broken promise.
constexpr double Median = 0.50;
constexpr double Late = 0.95;
constexpr double Latest = 0.99;

/// The sample at the nearest rank; \p Sorted is sorted and not empty.
template <class T> T atRank(const std::vector<T> &Sorted, double Share) {
  double Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
  auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

const Record *findRecord(const Report &R, std::size_t Number) {
  auto Found = R.Records.find(Number);
  return Found == R.Records.end() || !Found->second.SentAt ? nullptr
                                                           : &Found->second;
}

/// Counts one record in a row of classes or plain calls.
template <class Row> void count(Row &Counted, const Record &Seen) {
  ++Counted.Sent;
  if (!Seen.EndedAt)
    return;
  Counted.Answered += Seen.Result.End == Ending::Answered ? 1 : 0;
  Counted.Refused += Seen.Result.End == Ending::Refused ? 1 : 0;
}

ClassRow classRow(const Report &R, LengthClass Class) {
  ClassRow Row;
  Row.Class = Class;
  std::vector<Duration> Samples;
  for (const Arrival &A : R.Plan) {
    const Record *Seen = findRecord(R, A.Number);
    if (A.Kind != RequestKind::Completion || A.Class != Class || !Seen)
      continue;
    count(Row, *Seen);
    Row.PromptTokens += A.PromptTokens;
    if (Seen->FirstToken)
      Samples.push_back(*Seen->FirstToken);
  }
  Row.FirstToken = quantilesOf(std::move(Samples));
  const auto &Gaps = R.Gaps[static_cast<std::size_t>(Class)];
  Row.GapP95 = quantilesOf({Gaps.begin(), Gaps.end()}).P95;
  return Row;
}

PlainRow plainRow(const Report &R, RequestKind Kind) {
  PlainRow Row;
  Row.Kind = Kind;
  std::vector<Duration> Samples;
  for (const Arrival &A : R.Plan) {
    const Record *Seen = findRecord(R, A.Number);
    if (A.Kind != Kind || !Seen)
      continue;
    count(Row, *Seen);
    if (Seen->EndedAt && Seen->Result.End == Ending::Answered)
      Samples.push_back(*Seen->EndedAt - A.At);
  }
  Row.Time = quantilesOf(std::move(Samples));
  return Row;
}

/// Fills the shares of tokens and weights.
void fillShares(std::vector<AccountRow> &Rows,
                const std::vector<AccountName> &Names) {
  double Tokens = 0;
  double Weights = 0;
  for (const AccountRow &Row : Rows)
    Tokens += static_cast<double>(Row.Tokens);
  for (const AccountName &Name : Names)
    Weights += Name.Weight.value_or(0);
  for (std::size_t I = 0; I != Rows.size(); ++I) {
    if (Tokens > 0)
      Rows[I].Share = static_cast<double>(Rows[I].Tokens) / Tokens;
    if (Names[I].Weight && Weights > 0)
      Rows[I].WeightShare = *Names[I].Weight / Weights;
  }
}

std::vector<AccountRow> accountRows(const Report &R,
                                    const std::vector<AccountName> &Names) {
  std::vector<AccountRow> Rows(Names.size());
  std::vector<std::vector<Duration>> Samples(Names.size());
  for (std::size_t I = 0; I != Names.size(); ++I)
    Rows[I].Name = Names[I].Name;
  for (const Arrival &A : R.Plan) {
    const Record *Seen = findRecord(R, A.Number);
    if (!Seen)
      continue;
    AccountRow &Row = Rows.at(A.Account);
    ++Row.Sent;
    if (Seen->FirstToken)
      Samples[A.Account].push_back(*Seen->FirstToken);
    if (!Seen->EndedAt || Seen->Result.End != Ending::Answered)
      continue;
    ++Row.Answered;
    Row.Tokens += Seen->Result.PromptTokens + Seen->Result.OutputTokens;
  }
  for (std::size_t I = 0; I != Rows.size(); ++I)
    Rows[I].FirstTokenP95 = quantilesOf(std::move(Samples[I])).P95;
  fillShares(Rows, Names);
  return Rows;
}

Slowdown slowdownOf(const Report &Shared, const Report &Alone) {
  Slowdown Slow;
  std::vector<double> Ratios;
  std::vector<Duration> SharedTimes;
  std::vector<Duration> AloneTimes;
  for (const Arrival &A : Alone.Plan) {
    const Record *First = findRecord(Alone, A.Number);
    const Record *Second = findRecord(Shared, A.Number);
    if (!First || !Second || !First->FirstToken || !Second->FirstToken ||
        *First->FirstToken <= Duration::zero())
      continue;
    Ratios.push_back(toSeconds(*Second->FirstToken) /
                     toSeconds(*First->FirstToken));
    AloneTimes.push_back(*First->FirstToken);
    SharedTimes.push_back(*Second->FirstToken);
  }
  Slow.Pairs = Ratios.size();
  if (Ratios.empty())
    return Slow;
  std::sort(Ratios.begin(), Ratios.end());
  Slow.P50 = atRank(Ratios, Median);
  Slow.P95 = atRank(Ratios, Late);
  Slow.Alone = quantilesOf(std::move(AloneTimes));
  Slow.OfP95s = toSeconds(quantilesOf(std::move(SharedTimes)).P95) /
                toSeconds(Slow.Alone.P95);
  return Slow;
}

void addRefusals(std::map<Code, std::size_t> &Counts, const Report &R) {
  for (const auto &[Number, Seen] : R.Records) {
    if (Seen.EndedAt && Seen.Result.End == Ending::Refused)
      ++Counts[Seen.Result.Number];
  }
}

void addBreaches(std::map<Breach, BreachRow> &Rows, const Report &R,
                 const char *Phase) {
  for (const BreachNote &Note : R.Breaches) {
    BreachRow &Row = Rows[Note.Kind];
    Row.Kind = Note.Kind;
    ++Row.Count;
    if (Row.Examples.size() < MostExamples)
      Row.Examples.push_back(std::string(Phase) + " request " +
                             std::to_string(Note.Number) + ": " + Note.Detail);
  }
}

void addPhase(Summary &S, const Report &R) {
  S.Unreachable += R.Ended[static_cast<std::size_t>(Ending::Unreachable)];
  for (const auto &[Number, Seen] : R.Records) {
    bool SaidCut =
        Seen.EndedAt && Seen.FirstToken && Seen.Result.End == Ending::Refused;
    S.SaidCut += SaidCut ? 1 : 0;
  }
}

void fillTables(Summary &S, const Report &Shared) {
  for (std::size_t I = 0; I != LengthClasses; ++I)
    S.Classes.push_back(classRow(Shared, static_cast<LengthClass>(I)));
  for (RequestKind Kind : {RequestKind::Lookup, RequestKind::NonRepeatable})
    S.Plain.push_back(plainRow(Shared, Kind));
  S.Accounts = accountRows(Shared, S.Facts.Accounts);
  for (const Arrival &A : Shared.Plan) {
    if (const Record *Seen = findRecord(Shared, A.Number))
      S.LargestLag = std::max(S.LargestLag, *Seen->SentAt - A.At);
  }
}

} // namespace

Quantiles quantilesOf(std::vector<Duration> Samples) {
  Quantiles Q;
  Q.Count = Samples.size();
  if (Samples.empty())
    return Q;
  std::sort(Samples.begin(), Samples.end());
  Q.P50 = atRank(Samples, Median);
  Q.P95 = atRank(Samples, Late);
  Q.P99 = atRank(Samples, Latest);
  return Q;
}

Summary makeSummary(const RunFacts &Facts, Report &Shared, Report *Alone) {
  Summary S;
  S.Facts = Facts;
  S.Repeats = compareRepeats(Shared);
  S.Ended = Shared.Ended;
  S.MostInFlight = Shared.MostInFlight;
  for (const auto &[Number, Seen] : Shared.Records)
    S.Sent += Seen.SentAt ? 1 : 0;
  fillTables(S, Shared);
  std::map<Code, std::size_t> Refusals;
  std::map<Breach, BreachRow> Broken;
  addRefusals(Refusals, Shared);
  addBreaches(Broken, Shared, "shared");
  addPhase(S, Shared);
  if (Alone) {
    S.Slow = slowdownOf(Shared, *Alone);
    addRefusals(Refusals, *Alone);
    addBreaches(Broken, *Alone, "alone");
    addPhase(S, *Alone);
  }
  for (const auto &[Number, Count] : Refusals)
    S.Refusals.push_back({Number, Count});
  for (auto &[Kind, Row] : Broken)
    S.Broken.push_back(std::move(Row));
  return S;
}

int exitStatus(const Summary &S) {
  if (!S.Broken.empty())
    return StatusBroken;
  return S.Unreachable != 0 ? StatusUnreachable : StatusGood;
}

const char *toString(RequestKind K) {
  switch (K) {
  case RequestKind::Completion:
    return "completions";
  case RequestKind::Lookup:
    return "look-ups";
  case RequestKind::NonRepeatable:
    break;
  }
  return "non-repeatable calls";
}

} // namespace pimento::load
