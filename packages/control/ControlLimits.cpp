// Limits of requests that backend servers name: exchange between hosts and the
// operators' view.

#include "control/ControlTurn.h"

#include "base/Json.h"
#include "base/Problem.h"

namespace pimento::control {

namespace {

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

void onLimitUpdate(ControlTurn &T, const LimitUpdate &M) {
  for (const ServerLimit &Record : M.Records) {
    if (!applyLimit(T.S.NamedLimits, Record, T.Now))
      continue;
    logLimit(T, Record);
    T.S.UpdateDue = true;
  }
}

LimitUpdate limitUpdateFor(const ControlTurn &T, std::uint64_t Known) {
  LimitUpdate Update;
  Update.Digest = limitDigest(T.S.NamedLimits);
  if (Update.Digest != Known)
    Update.Records = limitRecords(T.S.NamedLimits, T.Now);
  return Update;
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
