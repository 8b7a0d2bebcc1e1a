// A repeatable call at a silent server stays open while other servers are
// tried: the server may be slow, or go on in a moment. The first whole answer
// is sent.

#include "calls/CallsInternal.h"

#include "engine/Replies.h"

#include <algorithm>

namespace pimento::calls {

namespace {

LateCall *findLate(Request &R, UpstreamId Upstream) {
  for (LateCall &Late : R.Call->Late) {
    if (Late.Upstream == Upstream)
      return &Late;
  }
  return nullptr;
}

/// Records that a late call may have run. A failure that was known to be "not
/// run" before is no longer proved.
void noteRun(Request &R, LateCall &Late) {
  Late.Sent = true;
  R.MayHaveRun = true;
  if (info(R.LastFailure.Number).Result == Outcome::NotRun)
    R.LastFailure.Number = Code::BackendFailed;
}

/// Forgets a late call whose upstream call has ended. Its outcome was counted
/// when its server was silent.
void removeLate(Context &C, Request &R, UpstreamId Upstream) {
  LateCall *Late = findLate(R, Upstream);
  C.S.Upstreams.erase(static_cast<std::uint64_t>(Upstream));
  onCallDropped(C.S.Health, Late->Server);
  R.Call->Late.erase(R.Call->Late.begin() + (Late - R.Call->Late.data()));
}

void abortLate(Context &C, Request &R, UpstreamId Upstream) {
  C.Out.List.emplace_back(AbortUpstream{Upstream});
  removeLate(C, R, Upstream);
}

/// Moves a late call into the place of the call in flight.
void moveToFlight(Request &R, UpstreamId Upstream) {
  CallPart &Call = *R.Call;
  LateCall &Late = *findLate(R, Upstream);
  R.Upstream = Late.Upstream;
  Call.Server = std::move(Late.Server);
  Call.MayReuseConnection = Late.MayReuseConnection;
  Call.Status = Late.Status;
  Call.Headers = std::move(Late.Headers);
  Call.Answer = std::move(Late.Answer);
  Call.Sent = Late.Sent;
  Call.WasLate = true;
  Call.Late.erase(Call.Late.begin() + (&Late - Call.Late.data()));
}

/// Ends the call in flight, since a late call has answered.
void dropCallInFlight(Context &C, Request &R) {
  if (R.Upstream == UpstreamId())
    return;
  onCallDropped(C.S.Health, R.Call->Server);
  abortUpstream(C, R);
}

} // namespace

bool hasLateCall(const Request &R, const BackendId &Server) {
  const std::vector<LateCall> &All = R.Call->Late;
  return std::any_of(All.begin(), All.end(), [&](const LateCall &Late) {
    return Late.Server == Server;
  });
}

bool hasUntriedServer(const Context &C, const Request &R) {
  const std::vector<PlainServer> &Servers = serversOf(C, R);
  auto IsUntried = [&R](const PlainServer &Server) {
    return Server.Backend != R.Call->Server &&
           std::find(R.Avoid.begin(), R.Avoid.end(), Server.Backend) ==
               R.Avoid.end();
  };
  return std::any_of(Servers.begin(), Servers.end(), IsUntried);
}

void keepLateCall(Request &R) {
  CallPart &Call = *R.Call;
  Call.Late.push_back({R.Upstream, Call.Server, Call.Sent,
                       Call.MayReuseConnection, Call.Status,
                       std::move(Call.Headers), std::move(Call.Answer)});
  R.Upstream = UpstreamId();
  Call.Headers.clear();
  Call.Answer.clear();
}

bool resumeLateCall(Context &C, Request &R) {
  if (R.Call->Late.empty())
    return false;
  moveToFlight(R, R.Call->Late.back().Upstream);
  R.State = Phase::Calling;
  R.Wake = C.Now + C.S.Times.LookupTimeout;
  R.AttemptServer = BackendId(); // A further retry needs the budget.
  decide(C, "route", R.Id, "the silent server's call continues")
      .add("backend", R.Call->Server.Value);
  return true;
}

void dropLateCalls(Context &C, Request &R) {
  while (R.Call && !R.Call->Late.empty())
    abortLate(C, R, R.Call->Late.back().Upstream);
}

bool isLate(const Request &R, const Event &E) {
  return E.Upstream != R.Upstream;
}

void noteLateSent(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  LateCall *Late = R.Call ? findLate(R, E.Upstream) : nullptr;
  if (Late != nullptr)
    noteRun(R, *Late);
  else
    ignore(C, R, E);
}

void readLateHead(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  LateCall *Late = R.Call ? findLate(R, E.Upstream) : nullptr;
  if (Late == nullptr) {
    ignore(C, R, E);
    return;
  }
  noteRun(R, *Late);
  Late->Status = E.Status;
  Late->Headers = *E.Headers;
  if (!acceptHead(C, R, Late->Server, Late->Headers, Late->MayReuseConnection))
    abortLate(C, R, E.Upstream);
}

void readLateData(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  LateCall *Late = R.Call ? findLate(R, E.Upstream) : nullptr;
  if (Late == nullptr) {
    ignore(C, R, E);
    return;
  }
  Late->Answer += E.Bytes;
  if (Late->Answer.size() > C.S.Limits.AnswerBytes)
    abortLate(C, R, E.Upstream);
}

void endLate(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  LateCall *Late = R.Call ? findLate(R, E.Upstream) : nullptr;
  if (Late == nullptr) {
    ignore(C, R, E);
    return;
  }
  bool Usable = Late->Status != 0 && Late->Status < 500 &&
                lengthFits(Late->Headers, Late->Answer) &&
                !provesNotRun(Late->Status, Late->Headers);
  if (!Usable) {
    removeLate(C, R, E.Upstream);
    return;
  }
  dropCallInFlight(C, R);
  C.S.Upstreams.erase(static_cast<std::uint64_t>(E.Upstream));
  moveToFlight(R, E.Upstream);
  R.Upstream = UpstreamId();
  onCallDropped(C.S.Health, R.Call->Server);
  answerCall(C, R);
}

void failLate(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  LateCall *Late = R.Call ? findLate(R, E.Upstream) : nullptr;
  if (Late == nullptr) {
    ignore(C, R, E);
    return;
  }
  if (E.Failure->BytesSent)
    noteRun(R, *Late);
  removeLate(C, R, E.Upstream);
}

} // namespace pimento::calls
