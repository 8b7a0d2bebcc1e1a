// Configurations that control hosts send, and the refusal of requests while a
// newer one is missing.

#include "gateway/GatewayTurn.h"

namespace pimento::gateway {

namespace {

/// Time after which a host that knows of a newer configuration and lacks it
/// refuses requests. An operator may have been told that it is in force.
constexpr Duration StaleAfter = milliseconds(2000);
/// Age of the last message from a control host up to which this host is in
/// contact, in intervals of its queries. Without contact it serves with the
/// configuration that it has.
constexpr int ContactIntervals = 3;
/// Limit of the configurations that this host knows of and lacks. Further ones
/// count as the last one.
constexpr std::size_t MaxMissing = 64;

/// Makes the text of the configuration in \p M. Returns an error text.
std::string readText(Gateway &S, const SiteState &M, RoutingVersion &Next) {
  if (M.Routing.Number == 0) {
    Next = {M.Config, M.Text.Data};
    return "";
  }
  Next = S.Routing;
  UpdateFault Fault = applyUpdate(M.Routing, Next);
  S.Form = Fault == UpdateFault::None ? RoutingForm::Delta : RoutingForm::Whole;
  return Fault == UpdateFault::None ? "" : toString(Fault);
}

void noteMissing(Gateway &S, std::uint64_t Newest, TimePoint Now) {
  auto &Missing = S.MissingRoutings;
  if (Newest <= S.Routing.Number ||
      (!Missing.empty() && Missing.back().Number >= Newest))
    return;
  if (Missing.size() < MaxMissing)
    Missing.push_back({Newest, Now});
  else
    Missing.back().Number = Newest;
}

} // namespace

bool applyRouting(GatewayTurn &T, const SiteState &M) {
  Gateway &S = T.S;
  noteMissing(S, M.Config, T.Now);
  bool HasText = M.Routing.Number > S.Routing.Number ||
                 (!M.Text.Data.empty() && M.Config > S.Routing.Number);
  if (!HasText)
    return false;
  RoutingVersion Next;
  RoutingConfig Config;
  std::string Fault = readText(S, M, Next);
  if (Fault.empty())
    Fault = S.Platform.DecodeRouting(
        Next.Text, S.Routes ? &S.Routes->Config : nullptr, Config);
  syncSoon(S.Link, T.Now);
  if (!Fault.empty()) {
    log(T, {"routing_unreadable", {}, Fault, {}});
    return false;
  }
  DecisionRecord Record{
      "routing_in_force", {}, "a control host sent a newer configuration", {}};
  Record.add("number", static_cast<std::int64_t>(Next.Number));
  Record.add("before", static_cast<std::int64_t>(S.Routing.Number));
  Record.add("routes", static_cast<std::int64_t>(Config.Routes.size()));
  Record.add("bytes", static_cast<std::int64_t>(M.Routing.Packed.Data.size() +
                                                M.Text.Data.size()));
  Record.add("delta", M.Routing.Base != 0);
  log(T, std::move(Record));
  S.Routing = std::move(Next);
  S.Routes = makeRouteTable(std::move(Config));
  return true;
}

void checkStale(GatewayTurn &T) {
  Gateway &S = T.S;
  auto &Missing = S.MissingRoutings;
  while (!Missing.empty() && Missing.front().Number <= S.Routing.Number)
    Missing.pop_front();
  Duration Interval = syncInterval(S.Link, S.Link.Placer == S.Self);
  bool InContact = T.Now < S.Link.CurrentAt + ContactIntervals * Interval;
  bool Stale = S.Routes != nullptr && InContact && !Missing.empty() &&
               T.Now >= Missing.front().LearnedAt + StaleAfter;
  if (Stale == S.Stale)
    return;
  S.Stale = Stale;
  syncSoon(S.Link, T.Now);
  DecisionRecord Record{"routing_stale",
                        {},
                        Stale ? "refuses requests: a configuration is missing"
                              : "serves again",
                        {}};
  Record.add("stale", Stale);
  Record.add("number", static_cast<std::int64_t>(S.Routing.Number));
  Record.add("missing", static_cast<std::int64_t>(
                            Missing.empty() ? 0 : Missing.front().Number));
  log(T, std::move(Record));
}

} // namespace pimento::gateway
