#include "load/Report.h"

#include <algorithm>

namespace pimento::load {

namespace {

const Arrival *findArrival(const Report &R, std::size_t Number) {
  auto Found = std::lower_bound(
      R.Plan.begin(), R.Plan.end(), Number,
      [](const Arrival &A, std::size_t N) { return A.Number < N; });
  return Found != R.Plan.end() && Found->Number == Number ? &*Found : nullptr;
}

void recordViolation(Report &R, Violation Kind, std::size_t Number,
                     std::string Detail) {
  R.Violations.push_back({Kind, Number, std::move(Detail)});
}

struct Reduce {
  Report &R;

  void operator()(const Sent &E) const {
    R.Records[E.Number].SentAt = E.At;
    ++R.InFlight;
    R.PeakInFlight = std::max(R.PeakInFlight, R.InFlight);
  }

  void operator()(const Token &E) const {
    const Arrival *A = findArrival(R, E.Number);
    auto Found = R.Records.find(E.Number);
    if (A == nullptr || Found == R.Records.end())
      return;
    Record &Seen = Found->second;
    if (Seen.FirstToken)
      R.Gaps[static_cast<std::size_t>(A->Class)].push_back(
          std::chrono::duration_cast<microseconds>(E.At - Seen.LastToken));
    else
      Seen.FirstToken = E.At - A->At;
    Seen.LastToken = E.At;
  }

  void operator()(const Ended &E) const {
    auto Found = R.Records.find(E.Number);
    if (Found == R.Records.end() || Found->second.EndedAt)
      return;
    Record &Seen = Found->second;
    Seen.EndedAt = E.At;
    Seen.Result = E.Result;
    --R.InFlight;
    ++R.Ended[static_cast<std::size_t>(E.Result.Kind)];
    const std::string &Id = E.Result.AnswerId;
    if (E.Result.Broken)
      recordViolation(R, *E.Result.Broken, E.Number, E.Result.Detail);
    else if (!Id.empty() && !R.AnswerIds.insert(Id).second)
      recordViolation(R, Violation::WrongRequest, E.Number,
                      "duplicate answer id " + Id);
  }
};

} // namespace

Report makeReport(std::vector<Arrival> Plan) {
  Report R;
  R.Plan = std::move(Plan);
  return R;
}

void reduce(Report &R, const Event &E) { std::visit(Reduce{R}, E); }

RepeatCounts compareRepeats(Report &R) {
  RepeatCounts Counts;
  for (const Arrival &A : R.Plan) {
    if (!A.RepeatOf)
      continue;
    const Record &First = R.Records[*A.RepeatOf];
    const Record &Second = R.Records[A.Number];
    bool Both = First.EndedAt && Second.EndedAt &&
                First.Result.Kind == ResultKind::Answered &&
                Second.Result.Kind == ResultKind::Answered;
    if (!Both) {
      ++Counts.Undecided;
      continue;
    }
    if (First.Result.Content == Second.Result.Content) {
      ++Counts.Equal;
      continue;
    }
    ++Counts.Different;
    recordViolation(R, Violation::DifferentAnswers, A.Number,
                    "answer differs from that of request " +
                        std::to_string(*A.RepeatOf));
  }
  return Counts;
}

} // namespace pimento::load
