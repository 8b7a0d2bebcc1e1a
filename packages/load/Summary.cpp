#include "load/Summary.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace pimento::load {

namespace {

constexpr std::size_t MaxExamples = 5; // For each kind of violation.
constexpr double Median = 0.50;
constexpr double Rank95 = 0.95;
constexpr double Rank99 = 0.99;

/// Returns the sample at the nearest rank. \p Sorted must not be empty.
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

/// Adds one record to the counts of a ClassRow or PlainRow.
template <class Row> void count(Row &Counted, const Record &Seen) {
  ++Counted.Sent;
  if (!Seen.EndedAt)
    return;
  Counted.Answered += Seen.Result.Kind == ResultKind::Answered ? 1 : 0;
  Counted.Refused += Seen.Result.Kind == ResultKind::Refused ? 1 : 0;
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
    if (Seen->EndedAt && Seen->Result.Kind == ResultKind::Answered)
      Samples.push_back(*Seen->EndedAt - A.At);
  }
  Row.Time = quantilesOf(std::move(Samples));
  return Row;
}

/// Computes each account's fraction of all tokens and of all weights.
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
    if (!Seen->EndedAt || Seen->Result.Kind != ResultKind::Answered)
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
  Slow.P95 = atRank(Ratios, Rank95);
  Slow.Alone = quantilesOf(std::move(AloneTimes));
  Slow.P95Ratio = toSeconds(quantilesOf(std::move(SharedTimes)).P95) /
                  toSeconds(Slow.Alone.P95);
  return Slow;
}

void addRefusals(std::map<Code, std::size_t> &Counts, const Report &R) {
  for (const auto &[Number, Seen] : R.Records) {
    if (Seen.EndedAt && Seen.Result.Kind == ResultKind::Refused)
      ++Counts[Seen.Result.Number];
  }
}

void addViolations(std::map<Violation, ViolationRow> &Rows, const Report &R,
                   const char *Phase) {
  for (const ViolationRecord &V : R.Violations) {
    ViolationRow &Row = Rows[V.Kind];
    Row.Kind = V.Kind;
    ++Row.Count;
    if (Row.Examples.size() < MaxExamples)
      Row.Examples.push_back(std::string(Phase) + " request " +
                             std::to_string(V.Number) + ": " + V.Detail);
  }
}

void addPhase(Summary &S, const Report &R) {
  S.Unreachable += R.Ended[static_cast<std::size_t>(ResultKind::Unreachable)];
  for (const auto &[Number, Seen] : R.Records) {
    bool IsFailedStream = Seen.EndedAt && Seen.FirstToken &&
                          Seen.Result.Kind == ResultKind::Refused;
    S.FailedStreams += IsFailedStream ? 1 : 0;
  }
}

void fillTables(Summary &S, const Report &Shared) {
  for (std::size_t I = 0; I != LengthClasses; ++I)
    S.Classes.push_back(classRow(Shared, static_cast<LengthClass>(I)));
  for (RequestKind Kind : {RequestKind::Lookup, RequestKind::NonRepeatable})
    S.Plain.push_back(plainRow(Shared, Kind));
  S.Accounts = accountRows(Shared, S.Info.Accounts);
  for (const Arrival &A : Shared.Plan) {
    if (const Record *Seen = findRecord(Shared, A.Number))
      S.MaxSendDelay = std::max(S.MaxSendDelay, *Seen->SentAt - A.At);
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
  Q.P95 = atRank(Samples, Rank95);
  Q.P99 = atRank(Samples, Rank99);
  return Q;
}

Summary makeSummary(const RunInfo &Info, Report &Shared, Report *Alone) {
  Summary S;
  S.Info = Info;
  S.Repeats = compareRepeats(Shared);
  S.Ended = Shared.Ended;
  S.PeakInFlight = Shared.PeakInFlight;
  for (const auto &[Number, Seen] : Shared.Records)
    S.Sent += Seen.SentAt ? 1 : 0;
  fillTables(S, Shared);
  std::map<Code, std::size_t> Refusals;
  std::map<Violation, ViolationRow> Broken;
  addRefusals(Refusals, Shared);
  addViolations(Broken, Shared, "shared");
  addPhase(S, Shared);
  if (Alone) {
    S.Slow = slowdownOf(Shared, *Alone);
    addRefusals(Refusals, *Alone);
    addViolations(Broken, *Alone, "alone");
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
    return StatusViolation;
  return S.Unreachable != 0 ? StatusUnreachable : StatusOk;
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
