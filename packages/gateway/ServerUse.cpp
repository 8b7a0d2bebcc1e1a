// Whether this host may send a backend server a request now, and why not: the
// one place that decides it. What is known of servers comes from the other
// parts, each of which knows one reason.
//
// A request in quarantine goes to no server, whichever it is;
// QuarantinePart.cpp refuses it before a server is chosen.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Whether any server may have a block for which nothing is sent.
bool hasBlocks(const Gateway &S) {
  return !S.Evacuated.Servers.empty() || !S.Leaving.empty() ||
         !S.Paused.empty() || !S.Relays.Paths.Failed.empty();
}

bool isIn(const std::vector<BackendId> &Sorted, const BackendId &Server) {
  return std::binary_search(Sorted.begin(), Sorted.end(), Server);
}

/// The block of a server that accepts requests by what is reported of it.
SendBlock blockOfReady(const Gateway &S, const ServerReport &R, TimePoint Now) {
  SendBlock Block = blockOf(S, R.Id, R.Incarnation, 0, Now);
  if (Block != SendBlock::None)
    return Block;
  if (isCutOff(S, R.Service))
    return SendBlock::NoPath;
  if (isEjected(S, R.Id, Now))
    return SendBlock::Ejected;
  if (coldServer(S.Cold, R.Id, R.Incarnation) != nullptr)
    return SendBlock::Cold;
  bool HasLimit = limitOf(S.NamedLimits, R.Id, R.Incarnation).has_value();
  return HasLimit ? SendBlock::Limited : SendBlock::None;
}

} // namespace

bool isEjected(const Gateway &S, const BackendId &Server, TimePoint Now) {
  auto Health = S.Health.Servers.find(Server);
  return Health != S.Health.Servers.end() && Health->second.EjectedUntil > Now;
}

SendBlock blockOf(const Gateway &S, const BackendId &Server,
                  IncarnationNumber Incarnation, std::uint64_t Ticket,
                  TimePoint Now) {
  if (!hasBlocks(S))
    return SendBlock::None;
  if (S.Evacuated.Servers.count(Server) > 0)
    return SendBlock::Evacuated;
  if (isLeaving(S, Server, Incarnation))
    return SendBlock::Leaving;
  if (isPathBlocked(S, Server, Now))
    return SendBlock::NoPath;
  return pauseOf(S, Server, Incarnation, Ticket, Now);
}

SendBlock blockOf(const Gateway &S, const ServerReport &R, TimePoint Now) {
  return R.Phase == ServerPhase::Ready ? blockOfReady(S, R, Now)
                                       : SendBlock::NotReady;
}

const std::vector<SendBlock> &allSendBlocks() {
  static const std::vector<SendBlock> All = {
      SendBlock::None,    SendBlock::NotReady, SendBlock::Evacuated,
      SendBlock::Leaving, SendBlock::NoPath,   SendBlock::Paused,
      SendBlock::Probed,  SendBlock::Ejected,  SendBlock::Limited,
      SendBlock::Cold};
  return All;
}

const char *nameOf(SendBlock Block) {
  switch (Block) {
  case SendBlock::None:
    return "none";
  case SendBlock::NotReady:
    return "not_ready";
  case SendBlock::Evacuated:
    return "evacuated";
  case SendBlock::Leaving:
    return "leaving";
  case SendBlock::NoPath:
    return "no_path";
  case SendBlock::Paused:
    return "paused";
  case SendBlock::Probed:
    return "probed";
  case SendBlock::Ejected:
    return "ejected";
  case SendBlock::Limited:
    return "limited";
  case SendBlock::Cold:
    return "cold";
  }
  return "unknown";
}

const char *toString(SendBlock Block) {
  switch (Block) {
  case SendBlock::None:
    return "the backend server may get the request";
  case SendBlock::NotReady:
    return "the backend server accepts no requests by what is reported of it";
  case SendBlock::Evacuated:
    return "an operator evacuated the data centre of the backend server";
  case SendBlock::Leaving:
    return "the backend server is leaving";
  case SendBlock::NoPath:
    return "this host may not reach the backend server";
  case SendBlock::Paused:
    return "the backend server wants no requests for a time";
  case SendBlock::Probed:
    return "one request is under way to see whether the backend server takes "
           "requests again";
  case SendBlock::Ejected:
    return "requests to the backend server failed";
  case SendBlock::Limited:
    return "the backend server named a limit and gets requests by permit";
  case SendBlock::Cold:
    return "the backend server is cold, or may be, and gets requests by permit";
  }
  return "unknown";
}

std::vector<BackendId> blockedServers(const Gateway &S, std::uint64_t Ticket,
                                      TimePoint Now) {
  std::vector<BackendId> Blocked = pathBlockedServers(S, Now);
  for (const auto &[Id, Leaving] : S.Leaving) {
    // Others are left out of every choice by what is reported of them.
    if (!Leaving.IsKnownByControl)
      Blocked.push_back(Id);
  }
  for (const auto &[Id, Paused] : S.Paused) {
    auto Known = S.Servers.Servers.find(Id);
    bool IsSame = Known != S.Servers.Servers.end() &&
                  Known->second.Report.Incarnation == Paused.Incarnation;
    if (IsSame && pauseOf(S, Id, Paused, Ticket, Now) != SendBlock::None)
      Blocked.push_back(Id);
  }
  std::sort(Blocked.begin(), Blocked.end());
  Blocked.erase(std::unique(Blocked.begin(), Blocked.end()), Blocked.end());
  return Blocked;
}

std::vector<calls::PlainServer> usableServers(const GatewayTurn &T,
                                              const GatewayCall &C) {
  const std::vector<calls::PlainServer> &All = plainServers(T.S, C.Service);
  std::vector<BackendId> Blocked = blockedServers(T.S, C.Ticket, T.Now);
  if (Blocked.empty())
    return All;
  std::vector<calls::PlainServer> Usable;
  auto Next = Blocked.begin();
  for (const calls::PlainServer &Server : All) { // In order of their ids.
    while (Next != Blocked.end() && *Next < Server.Backend)
      ++Next;
    if (Next == Blocked.end() || *Next != Server.Backend)
      Usable.push_back(Server);
  }
  return Usable;
}

bool isToBeSpared(const Gateway &S, const BackendId &Server, TimePoint Now) {
  if (S.Leaving.empty() && S.Paused.empty())
    return false;
  auto Known = S.Servers.Servers.find(Server);
  if (Known == S.Servers.Servers.end())
    return false;
  IncarnationNumber Incarnation = Known->second.Report.Incarnation;
  return isLeaving(S, Server, Incarnation) ||
         pauseOf(S, Server, Incarnation, 0, Now) == SendBlock::Paused;
}

std::optional<Duration> pauseOfAll(GatewayTurn &T, const GatewayCall &C) {
  const Gateway &S = T.S;
  if (S.Paused.empty())
    return std::nullopt;
  std::optional<TimePoint> First; // When one wants requests again.
  std::vector<BackendId> Blocked = blockedServers(S, C.Ticket, T.Now);
  for (const auto &[Id, Known] : S.Servers.Servers) {
    const ServerReport &R = Known.Report;
    if (R.Service != C.Service || R.Phase != ServerPhase::Ready ||
        S.Evacuated.Servers.count(Id) > 0)
      continue;
    if (!isIn(Blocked, Id))
      return std::nullopt;
    auto Paused = S.Paused.find(Id);
    if (Paused != S.Paused.end())
      First =
          std::min(First.value_or(Paused->second.Until), Paused->second.Until);
  }
  if (!First)
    return std::nullopt;
  return untilReturn(T, *First);
}

} // namespace pimento::gateway
