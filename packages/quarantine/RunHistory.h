//===- RunHistory.h - Work that servers may still be at ---------*- C++ -*-===//
//
//   RunHistory H;
//   noteRun(H, Run, Now);                     // A call ended before its
//   server. for (const CrashedRequest &R : runsAt(H, Server, Incarnation,
//   EndedAt)) ...
//
// A call may end before the backend server that runs it: its caller leaves, its
// time is up, another try is answered first. The server may still be at work,
// and end under it. The run is remembered for as long as that is possible.
// Takes bounded memory: the oldest runs are forgotten first.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"
#include "wire/SiteMessages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace pimento {

constexpr std::size_t MaxUnfinishedRuns = 1024;
/// Time within which the end of a server is noticed by someone.
constexpr Duration EndNoticeTime = seconds(5);

struct UnfinishedRun {
  BackendId Server;
  IncarnationNumber Incarnation = 0; // Of the server.
  CrashedRequest Request;            // RanFor is unused.
  TimePoint Began{};                 // It was sent then.
  TimePoint Until{};                 // The server stops work on it by then.
};

struct RunHistory {
  std::deque<UnfinishedRun> Runs; // In the order in which their calls ended.
};

/// Remembers a run; forgets those whose servers can be at work no more.
void noteRun(RunHistory &H, UnfinishedRun Run, TimePoint Now);

/// Whether the run is remembered.
bool isNoted(const RunHistory &H, const UnfinishedRun &Run);

/// Whether the server may have been at work on the run when it ended, which was
/// noticed at \p EndedAt.
bool mayHaveRun(const UnfinishedRun &Run, TimePoint EndedAt);

/// Servers of which runs are remembered, with the incarnation that began last.
std::map<BackendId, IncarnationNumber> serversAtWork(const RunHistory &H);

/// Whether a run of the incarnation is remembered.
bool hasRuns(const RunHistory &H, const BackendId &Server,
             IncarnationNumber Incarnation);

/// Returns the requests that the incarnation may have been at work on when it
/// ended, the latest ones first.
std::vector<CrashedRequest> runsAt(const RunHistory &H, const BackendId &Server,
                                   IncarnationNumber Incarnation,
                                   TimePoint EndedAt);

/// Returns the run's request as one that the end of its server cut off.
CrashedRequest crashedBy(const UnfinishedRun &Run, TimePoint EndedAt);

} // namespace pimento
