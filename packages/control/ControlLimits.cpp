// Limits of requests that backend servers name: exchange between hosts and the
// operators' view.

#include "control/ControlTurn.h"

#include "base/Json.h"
#include "base/Problem.h"

#include <algorithm>

namespace pimento::control {

namespace {

/// Time in which changes are collected before all hosts are told. The placer
/// learns them at once from the hosts that observe them.
constexpr Duration LimitSpreadDelay = milliseconds(100);
constexpr const char *LimitsPath = "/v1/limits";

void logLimit(ControlTurn &T, const ServerLimit &Limit) {
  constexpr double NoLimit = -1;
  DecisionRecord Record{"server_limit",
                        {},
                        Limit.PerSecond ? "the backend server named a limit"
                                        : "the backend server's limit ended",
                        {}};
  Record.add("server", Limit.Server.Value);
  Record.add("per_second", Limit.PerSecond.value_or(NoLimit));
  Record.add("age_ms", toMilliseconds(Limit.Age));
  log(T, std::move(Record));
}

Json describe(const ControlTurn &T, const BackendId &Server,
              const KnownLimit &Known) {
  Json Entry = {{"server", Server.Value},
                {"per_second", *Known.PerSecond},
                {"since_ms", toMilliseconds(T.Now - Known.Since)},
                {"seen_ms", toMilliseconds(T.Now - Known.ObservedAt)}};
  auto Found = T.S.Servers.Servers.find(Server);
  if (Found != T.S.Servers.Servers.end())
    Entry["service"] = Found->second.Report.Service.Value;
  return Entry;
}

} // namespace

void onLimitUpdate(ControlTurn &T, LimitPeer &Peer, const LimitUpdate &M) {
  Peer.Digest = M.Digest;
  if (M.Digest != Peer.SentDigest)
    Peer.SentRevision = 0; // It may lack records that were sent to it.
  for (const ServerLimit &Record : M.Records) {
    if (!applyLimit(T.S.NamedLimits, Record, T.Now))
      continue;
    logLimit(T, Record);
    T.S.LimitsDueAt = std::min(T.S.LimitsDueAt, T.Now + LimitSpreadDelay);
  }
}

LimitUpdate limitUpdateFor(ControlTurn &T, LimitPeer &Peer) {
  LimitUpdate Update;
  Update.Digest = limitDigest(T.S.NamedLimits);
  if (Update.Digest == Peer.Digest)
    return Update;
  Update.Records = limitRecords(T.S.NamedLimits, Peer.SentRevision, T.Now);
  Peer.SentRevision = T.S.NamedLimits.Revision;
  Peer.SentDigest = Update.Digest;
  return Update;
}

void tickLimits(ControlTurn &T) {
  expireLimits(T.S.NamedLimits, T.S.Servers, T.Now);
  if (T.Now < T.S.LimitsDueAt)
    return;
  T.S.LimitsDueAt = TimePoint::max();
  updateHosts(T);
}

bool limitCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  if (R.Path != LimitsPath || R.Method != HttpMethod::Get)
    return false;
  Json Limits = Json::array();
  for (const auto &[Server, Known] : T.S.NamedLimits.Servers) {
    if (Known.PerSecond)
      Limits.push_back(describe(T, Server, Known));
  }
  Json Body = {{"limits", std::move(Limits)}};
  reply(
      T, Exchange,
      jsonReply(200, Body.dump(-1, ' ', false, Json::error_handler_t::replace) +
                         "\n"));
  return true;
}

} // namespace pimento::control
