#include "Figures.h"

#include <algorithm>
#include <cmath>

namespace pimento::bench {

namespace {

/// Tolerance between a time limit and the response that reports it.
constexpr Duration AnswerSlack = milliseconds(5);

bool counts(const Arrival &A) { return A.At >= RunStart + WarmUp; }

bool wasRefused(RequestEnd End) {
  return End == RequestEnd::Refused || End == RequestEnd::Dropped;
}

void addEnd(ClassFigures &F, RequestEnd End) {
  switch (End) {
  case RequestEnd::Finished:
    ++F.Finished;
    return;
  case RequestEnd::Refused:
    ++F.Refused;
    return;
  case RequestEnd::Dropped:
    ++F.Dropped;
    return;
  case RequestEnd::Left:
    return;
  case RequestEnd::Open:
  case RequestEnd::Missed:
  case RequestEnd::Failed:
    ++F.Missed;
    return;
  }
}

/// Subtracts \p Work from the spare time between two times. Returns false if
/// there is less.
bool takeSpare(std::vector<double> &Spare, TimePoint From, TimePoint To,
               double Work) {
  const auto First = static_cast<std::size_t>(toSeconds(From - RunStart));
  const auto Last = std::min(
      Spare.size(), static_cast<std::size_t>(toSeconds(To - RunStart)));
  double Found = 0;
  for (std::size_t I = First; I < Last && Found < Work; ++I)
    Found += std::max(0.0, Spare[I]);
  if (Found < Work)
    return false;
  for (std::size_t I = First; I < Last && Work > 0; ++I) {
    const double Part = std::min(Work, std::max(0.0, Spare[I]));
    Spare[I] -= Part;
    Work -= Part;
  }
  return true;
}

} // namespace

double quantile(std::vector<double> Samples, double Share) {
  if (Samples.empty())
    return 0;
  const auto Last = static_cast<double>(Samples.size() - 1);
  auto Index = static_cast<std::size_t>(std::ceil(Share * Last));
  std::nth_element(Samples.begin(),
                   Samples.begin() + static_cast<std::ptrdiff_t>(Index),
                   Samples.end());
  return Samples[Index];
}

double jainIndex(const std::vector<double> &Values) {
  double Sum = 0;
  double Squares = 0;
  for (double V : Values) {
    Sum += V;
    Squares += V * V;
  }
  if (Squares == 0)
    return 1;
  return Sum * Sum / (static_cast<double>(Values.size()) * Squares);
}

Figures figuresOf(const RunResult &R, const Site &S,
                  const std::vector<Arrival> &Arrivals, Duration Length) {
  (void)S;
  Figures F;
  std::array<std::vector<double>, LengthClasses> First;
  std::array<std::vector<double>, LengthClasses> Total;
  std::vector<double> Spare = R.SpareSeconds;
  double Work = 0;
  for (std::size_t I = 0; I < Arrivals.size(); ++I) {
    const Arrival &A = Arrivals[I];
    const RequestResult &Q = R.Requests[I];
    if (!counts(A))
      continue;
    const auto C = static_cast<std::size_t>(A.Class);
    ++F.Classes[C].Requests;
    addEnd(F.Classes[C], Q.End);
    F.AnsweredTwice += Q.Answers > 1 ? 1 : 0;
    const bool Late = Q.End == RequestEnd::Open ||
                      (Q.End != RequestEnd::Left && Q.Answers == 0) ||
                      Q.Total > A.Limit + AnswerSlack;
    F.Unanswered += Late ? 1 : 0;
    if (wasRefused(Q.End)) {
      ++F.Refusals[toString(Q.Reason)];
      if (Q.End == RequestEnd::Refused)
        F.SlowestRefusal = std::max(F.SlowestRefusal, toSeconds(Q.Total));
      if (takeSpare(Spare, A.At, A.At + A.Limit, A.Work))
        ++F.Avoidable;
      continue;
    }
    if (Q.End == RequestEnd::Left)
      continue;
    const bool Started = Q.FirstToken > Duration::zero();
    First[C].push_back(toSeconds(Started ? Q.FirstToken : A.Limit));
    if (Q.End != RequestEnd::Finished)
      continue;
    Total[C].push_back(toSeconds(Q.Total));
    Work += A.Work;
  }
  for (std::size_t C = 0; C < LengthClasses; ++C) {
    F.Classes[C].First50 = quantile(First[C], .5);
    F.Classes[C].First95 = quantile(First[C], .95);
    F.Classes[C].First99 = quantile(First[C], .99);
    F.Classes[C].Total95 = quantile(Total[C], .95);
  }
  F.Goodput = Work / toSeconds(Length - WarmUp);
  F.SavedShare = R.PrefillTokens > 0 ? R.PrefillSaved / R.PrefillTokens : 0;
  return F;
}

std::vector<Arrival> shortOnly(const std::vector<Arrival> &Arrivals) {
  std::vector<Arrival> Short;
  for (const Arrival &A : Arrivals)
    if (A.Class == LengthClass::Short)
      Short.push_back(A);
  return Short;
}

Slowdown slowdownOf(const RunResult &Shared, const RunResult &Alone,
                    const std::vector<Arrival> &Arrivals) {
  std::vector<double> Ratios;
  std::vector<double> FirstRatios;
  std::size_t Next = 0;
  for (std::size_t I = 0; I < Arrivals.size(); ++I) {
    const Arrival &A = Arrivals[I];
    if (A.Class != LengthClass::Short)
      continue;
    const RequestResult &With = Shared.Requests[I];
    const RequestResult &Without = Alone.Requests[Next++];
    if (!counts(A) || wasRefused(With.End) || With.End == RequestEnd::Left ||
        Without.End != RequestEnd::Finished)
      continue;
    const bool Whole = With.End == RequestEnd::Finished;
    Ratios.push_back(toSeconds(Whole ? With.Total : A.Limit) /
                     toSeconds(Without.Total));
    const bool Started = With.FirstToken > Duration::zero();
    FirstRatios.push_back(toSeconds(Started ? With.FirstToken : A.Limit) /
                          toSeconds(Without.FirstToken));
  }
  return {quantile(Ratios, .5), quantile(Ratios, .95), quantile(Ratios, .99),
          quantile(FirstRatios, .95)};
}

} // namespace pimento::bench
