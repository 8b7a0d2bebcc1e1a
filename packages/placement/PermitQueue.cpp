#include "placement/PermitQueue.h"

#include <algorithm>
#include <tuple>

namespace pimento {

namespace {

constexpr Duration QueueInterval = milliseconds(25);
/// Bounds of the retry delay sent with a refusal.
constexpr Duration MinRetryAfter = milliseconds(100);
constexpr Duration MaxRetryAfter = seconds(30);
/// Limit of waiting requests, which bounds memory and the time of a tick.
constexpr std::size_t MaxWaiting = 128;

/// What the servers of a request can take.
struct Supply {
  BackendId Best;        // Server with the most tokens; empty: none is known.
  double Tokens = 0;     // Of all of them, whole tokens only.
  double PerSecond = 0;  // Of all of them.
  bool HasToken = false; // Best has one.
  TimePoint EndsAt = TimePoint::max(); // The first of the limits ends.
};

Supply supplyOf(const PermitQueue &Q, const PermitRequest &Spec,
                TimePoint Now) {
  Supply Sum;
  double Most = 0;
  for (const BackendId &Server : Spec.Servers) {
    auto Found = Q.Buckets.find(Server);
    if (Found == Q.Buckets.end())
      continue;
    double Tokens = tokensAt(Found->second, Now);
    Sum.PerSecond += Found->second.PerSecond;
    Sum.Tokens += std::max(0.0, Tokens);
    Sum.EndsAt = std::min(Sum.EndsAt, Found->second.EndsAt);
    if (!Sum.Best.empty() && Tokens <= Most)
      continue;
    Most = Tokens;
    Sum.Best = Server;
    Sum.HasToken = hasToken(Found->second, Now);
  }
  return Sum;
}

/// Expected wait of a request that has \p Ahead others before it.
Duration expectedWait(const Supply &Servers, std::size_t Ahead, TimePoint Now) {
  double Missing = static_cast<double>(Ahead) + 1 - Servers.Tokens;
  return waitForTokens(Missing, Servers.PerSecond, Servers.EndsAt, Now);
}

bool shareServer(const PermitRequest &A, const PermitRequest &B) {
  for (const BackendId &Server : A.Servers) {
    if (std::find(B.Servers.begin(), B.Servers.end(), Server) !=
        B.Servers.end())
      return true;
  }
  return false;
}

PermitReply grant(PermitQueue &Q, const PermitRequest &Spec,
                  const BackendId &Server, TimePoint Now) {
  takeToken(Q.Buckets.at(Server), Now);
  Q.Granted[Spec.Account] += 1;
  PermitReply Reply;
  Reply.Ticket = Spec.Ticket;
  Reply.Server = Server;
  return Reply;
}

/// The limits of all servers of the request have ended. Requests that waited
/// are spread over them.
PermitReply permitAfterLimits(const PermitRequest &Spec) {
  PermitReply Reply;
  Reply.Ticket = Spec.Ticket;
  Reply.Server = Spec.Servers[Spec.Ticket % Spec.Servers.size()];
  return Reply;
}

PermitReply refusal(const PermitRequest &Spec, Duration Wait) {
  PermitReply Reply;
  Reply.Ticket = Spec.Ticket;
  Reply.Result = Code::QueueFull;
  Reply.RetryAfter = std::clamp(Wait, MinRetryAfter, MaxRetryAfter);
  return Reply;
}

void sortWaiting(PermitQueue &Q) {
  auto Rank = [&](const WaitingPermit &W) {
    auto Granted = Q.Granted.find(W.Spec.Account);
    return std::tuple(W.Spec.Priority,
                      Granted == Q.Granted.end() ? 0 : Granted->second,
                      W.Since);
  };
  std::stable_sort(Q.Waiting.begin(), Q.Waiting.end(),
                   [&](const WaitingPermit &A, const WaitingPermit &B) {
                     return Rank(A) < Rank(B);
                   });
}

/// Waiting requests for the same servers that go before a new one.
std::size_t waitingAhead(const PermitQueue &Q, const PermitRequest &Spec) {
  return static_cast<std::size_t>(std::count_if(
      Q.Waiting.begin(), Q.Waiting.end(), [&](const WaitingPermit &W) {
        return W.Spec.Priority <= Spec.Priority && shareServer(W.Spec, Spec);
      }));
}

} // namespace

PermitReply requestPermit(PermitQueue &Q, const PlacementKey &Key,
                          const PermitRequest &Spec, TimePoint Now) {
  PermitReply Waits;
  Waits.Ticket = Spec.Ticket;
  for (const WaitingPermit &W : Q.Waiting) {
    if (W.Key == Key)
      return Waits;
  }
  Supply Servers = supplyOf(Q, Spec, Now);
  std::size_t Ahead = waitingAhead(Q, Spec);
  if (Servers.HasToken && Ahead == 0)
    return grant(Q, Spec, Servers.Best, Now);
  Duration Wait = expectedWait(Servers, Ahead, Now);
  if (Wait >= Spec.TimeLeft || Q.Waiting.size() >= MaxWaiting)
    return refusal(Spec, Wait);
  Q.Waiting.push_back({Key, Spec, Now, /*WasLimited=*/!Servers.Best.empty()});
  return Waits;
}

std::vector<std::pair<PlacementKey, PermitReply>> tickPermits(PermitQueue &Q,
                                                              TimePoint Now) {
  std::vector<std::pair<PlacementKey, PermitReply>> Replies;
  sortWaiting(Q);
  std::vector<WaitingPermit> Waiting = std::move(Q.Waiting);
  Q.Waiting.clear();
  for (WaitingPermit &W : Waiting) {
    Supply Servers = supplyOf(Q, W.Spec, Now);
    std::size_t Ahead = waitingAhead(Q, W.Spec);
    Duration Wait = expectedWait(Servers, Ahead, Now);
    if (Servers.HasToken && Ahead == 0)
      Replies.emplace_back(W.Key, grant(Q, W.Spec, Servers.Best, Now));
    else if (W.WasLimited && Servers.Best.empty())
      Replies.emplace_back(W.Key, permitAfterLimits(W.Spec));
    else if (Now + Wait >= W.Since + W.Spec.TimeLeft)
      Replies.emplace_back(W.Key, refusal(W.Spec, Wait));
    else
      Q.Waiting.push_back(std::move(W));
  }
  if (Q.Waiting.empty())
    Q.Granted.clear();
  return Replies;
}

TimePoint nextPermitTick(const PermitQueue &Q, TimePoint Now) {
  return Q.Waiting.empty() ? TimePoint::max() : Now + QueueInterval;
}

void withdrawPermit(PermitQueue &Q, const PlacementKey &Key) {
  auto Is = [&](const WaitingPermit &W) { return W.Key == Key; };
  Q.Waiting.erase(std::remove_if(Q.Waiting.begin(), Q.Waiting.end(), Is),
                  Q.Waiting.end());
}

void dropPermits(PermitQueue &Q, const HostId &Host) {
  auto Is = [&](const WaitingPermit &W) { return W.Key.first == Host; };
  Q.Waiting.erase(std::remove_if(Q.Waiting.begin(), Q.Waiting.end(), Is),
                  Q.Waiting.end());
}

} // namespace pimento
