#include "quarantine/RunHistory.h"

#include <algorithm>

namespace pimento {

namespace {

/// Error of times that several hosts report.
constexpr Duration ReportSkew = milliseconds(5);

bool isOf(const UnfinishedRun &Run, const BackendId &Server,
          IncarnationNumber Incarnation) {
  return Run.Server == Server && Run.Incarnation == Incarnation;
}

void forgetRuns(RunHistory &H, TimePoint Now) {
  while (!H.Runs.empty() && Now > H.Runs.front().Until + EndNoticeTime)
    H.Runs.pop_front();
}

} // namespace

void noteRun(RunHistory &H, UnfinishedRun Run, TimePoint Now) {
  forgetRuns(H, Now);
  if (H.Runs.size() >= MaxUnfinishedRuns)
    H.Runs.pop_front();
  H.Runs.push_back(std::move(Run));
}

bool isNoted(const RunHistory &H, const UnfinishedRun &Run) {
  return std::any_of(H.Runs.begin(), H.Runs.end(), [&](const auto &Known) {
    return isOf(Known, Run.Server, Run.Incarnation) &&
           Known.Began == Run.Began &&
           Known.Request.Request == Run.Request.Request &&
           Known.Request.Account == Run.Request.Account;
  });
}

bool mayHaveRun(const UnfinishedRun &Run, TimePoint EndedAt) {
  return Run.Began <= EndedAt + ReportSkew &&
         EndedAt <= Run.Until + EndNoticeTime;
}

std::map<BackendId, IncarnationNumber> serversAtWork(const RunHistory &H) {
  std::map<BackendId, IncarnationNumber> Servers;
  for (const UnfinishedRun &Run : H.Runs) {
    IncarnationNumber &Latest = Servers[Run.Server];
    Latest = std::max(Latest, Run.Incarnation);
  }
  return Servers;
}

bool hasRuns(const RunHistory &H, const BackendId &Server,
             IncarnationNumber Incarnation) {
  return std::any_of(H.Runs.begin(), H.Runs.end(), [&](const auto &Run) {
    return isOf(Run, Server, Incarnation);
  });
}

std::vector<CrashedRequest> runsAt(const RunHistory &H, const BackendId &Server,
                                   IncarnationNumber Incarnation,
                                   TimePoint EndedAt) {
  std::vector<CrashedRequest> List;
  for (auto It = H.Runs.rbegin(); It != H.Runs.rend(); ++It) {
    if (isOf(*It, Server, Incarnation) && mayHaveRun(*It, EndedAt))
      List.push_back(crashedBy(*It, EndedAt));
  }
  return List;
}

CrashedRequest crashedBy(const UnfinishedRun &Run, TimePoint EndedAt) {
  CrashedRequest Request = Run.Request;
  Request.RanFor = std::max(Duration::zero(), EndedAt - Run.Began);
  return Request;
}

} // namespace pimento
