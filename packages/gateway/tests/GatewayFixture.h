//===- GatewayFixture.h - A gateway driven by a test ------------*- C++ -*-===//
//
//   GatewayFixture R;                       // With a configuration and
//   servers. R.call(HttpMethod::Get, "/r/1"); calls::OpenUpstream Open =
//   R.only<calls::OpenUpstream>(); R.head(Open.Upstream, 200);
//
// Feeds events to the reducer of an entry host in virtual time. LastEffects
// holds what the last event caused.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <boost/test/unit_test.hpp>

#include "gateway/Gateway.h"
#include "platform/Platform.h"

#include <algorithm>

namespace pimento::testing {

inline const TimePoint Start = TimePoint(seconds(100));
inline const HostId Control("10.0.0.100");

inline const char *const RoutingText =
    R"({"version":3,"routes":[)"
    R"({"name":"stream","host":"h","pathPrefix":"/s/","routeType":"streaming",)"
    R"("timeoutMs":10000,"sloMs":300,"itlTargetMs":250,"service":"llm",)"
    R"("maxAttempts":2,"resumable":true},)"
    R"({"name":"long","host":"h","pathPrefix":"/l/","routeType":"streaming",)"
    R"("timeoutMs":15000,"sloMs":3000,"itlTargetMs":1000,"service":"llm",)"
    R"("maxAttempts":2,"resumable":true},)"
    R"({"name":"read","host":"h","pathPrefix":"/r/","routeType":"idempotent",)"
    R"("timeoutMs":600,"sloMs":100,"service":"plain","maxAttempts":2},)"
    R"({"name":"sign","host":"h","pathPrefix":"/w/",)"
    R"("routeType":"non_idempotent","timeoutMs":600,"sloMs":100,)"
    R"("service":"plain","maxAttempts":2},)"
    R"({"name":"open","host":"h","pathPrefix":"/o/","routeType":"idempotent",)"
    R"("timeoutMs":600,"sloMs":100,"service":"plain","public":true}],)"
    R"("services":[{"name":"llm","engine":{"slots":16,"kvCapacity":232000,)"
    R"("stride":43,"chunk":2048,"step_ms":1.02,"per_seq_ms":0.00226,)"
    R"("context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138}},)"
    R"({"name":"plain","maxConnections":110}],)"
    R"("tenants":[{"name":"t","apiKeys":["k"]}]})";

inline ServerReport server(const char *Id, const char *Service,
                           const char *Address) {
  ServerReport R;
  R.Id = BackendId(Id);
  R.Incarnation = 1;
  R.Sequence = 1;
  R.Service = ServiceId(Service);
  R.Address = Address;
  return R;
}

struct GatewayFixture {
  Gateway S;
  TimePoint Now = Start;
  Effects LastEffects; // Effects of the last event.
  std::size_t EventCount = 0;
  std::set<BackendId> Gone;          // Servers that take no connection.
  std::set<UpstreamId> SpeedQueries; // All so far.
  std::set<UpstreamId> Probes;       // All probes of paths so far.
  std::uint64_t NextExchange = 1;

  explicit GatewayFixture(bool HasSiteState = true,
                          const char *Address = "10.0.0.1:7340") {
    GatewayStart G;
    G.Config.Host.PeerAddress = Address;
    G.Config.Join.Role = "entry";
    G.Config.Join.Seeds = "10.0.0.100:80";
    G.Config.Drain.Limit = seconds(8);
    G.Platform = platform::adapter();
    G.Incarnation = 9;
    S = makeGateway(G, Now);
    tick();
    if (HasSiteState)
      deliverSiteState();
  }

  void event(const Event &E) {
    EventCount += 1;
    LastEffects = reduceGateway(S, E, Now);
    for (const auto &[Upstream, Query] : S.SpeedQueries)
      SpeedQueries.insert(Upstream);
    std::vector<UpstreamId> New;
    for (const auto &[Upstream, Probe] : S.Relays.Probes) {
      if (Probes.insert(Upstream).second)
        New.push_back(Upstream);
    }
    for (UpstreamId Probe : New)
      connectProbe(Probe);
  }
  /// This host's paths are sound: each server takes connections, but for those
  /// that are gone.
  void connectProbe(UpstreamId Probe) {
    UpstreamFailure Refused;
    Refused.BytesSent = false;
    bool IsGone = Gone.count(S.Relays.Probes.at(Probe).Server) > 0;
    Effects More = reduceGateway(
        S, IsGone ? Event(UpstreamFailed{Probe, Refused}) : UpstreamSent{Probe},
        Now);
    LastEffects.insert(LastEffects.end(), More.begin(), More.end());
  }
  void tick(Duration After = Duration::zero()) {
    Now += After;
    event(Tick());
  }
  /// Advances the time in steps of 10 ms and collects all effects in
  /// LastEffects.
  Effects advance(Duration Time) {
    Effects All;
    for (TimePoint End = Now + Time; Now < End;) {
      tick(milliseconds(10));
      All.insert(All.end(), LastEffects.begin(), LastEffects.end());
    }
    LastEffects = All;
    return All;
  }

  void deliverSiteState(const char *Text = RoutingText,
                        std::uint64_t Number = 3) {
    SiteState M;
    M.Sequence = S.Link.Sequence;
    M.IsCurrent = true;
    M.Leader = Control;
    M.Config = Number;
    M.Text.Data = Text;
    M.ListsAllServers = true;
    M.Servers = {server("e1", "llm", "10.0.1.1:80"),
                 server("e2", "llm", "10.0.1.2:80"),
                 server("p1", "plain", "10.0.2.1:80"),
                 server("p2", "plain", "10.0.2.2:80")};
    event(PeerMessage{Control, 1, M});
  }

  /// Delivers a site state in which the leader names a placer.
  void namePlacer(const char *Placer) {
    SiteState M;
    M.Sequence = S.Link.Sequence;
    M.IsCurrent = true;
    M.Leader = Control;
    M.Config = 3;
    M.Placer = HostId(Placer);
    event(PeerMessage{Control, 1, M});
  }

  ExchangeId call(HttpMethod Method, const char *Target,
                  std::vector<HttpHeader> More = {}) {
    HttpRequest R;
    R.Method = Method;
    R.Path = Target;
    R.Target = Target;
    R.Headers = {{"Host", "h"},
                 {"X-Pimentoglade-Attempt-Id", "id1"},
                 {"Authorization", "Token k"}};
    for (HttpHeader &Header : More)
      R.Headers.push_back(std::move(Header));
    ExchangeId Id{NextExchange++};
    event(CallerRequest{Id, R});
    return Id;
  }
  ExchangeId stream() {
    return call(HttpMethod::Post, "/s/1",
                {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  }

  template <class T> std::vector<T> all() const {
    std::vector<T> Found;
    for (const Effect &E : LastEffects) {
      if (const auto *Is = std::get_if<T>(&E))
        Found.push_back(*Is);
    }
    return Found;
  }
  template <class T> T only() const {
    std::vector<T> Found = all<T>();
    BOOST_REQUIRE_MESSAGE(Found.size() == 1, "effects: " << Found.size());
    return Found.front();
  }

  /// The only query of an engine's speed among the last effects.
  calls::OpenUpstream onlySpeedQuery() const {
    return onlyOpen([&](const calls::OpenUpstream &Open) {
      return SpeedQueries.count(Open.Upstream) > 0;
    });
  }
  /// The only request of a caller that was sent among the last effects.
  calls::OpenUpstream onlySend() const {
    return onlyOpen([&](const calls::OpenUpstream &Open) {
      return Open.Request.Target != "/-/report" && !isProbe(Open.Upstream);
    });
  }
  /// The only log line of this kind among the last effects.
  DecisionRecord onlyLog(std::string_view Kind) const {
    std::vector<DecisionRecord> Found;
    for (const LogDecision &Line : all<LogDecision>()) {
      if (Line.Record.Kind == Kind)
        Found.push_back(Line.Record);
    }
    BOOST_REQUIRE_MESSAGE(Found.size() == 1,
                          Kind << " lines: " << Found.size());
    return Found.front();
  }
  bool isProbe(UpstreamId Id) const { return Probes.count(Id) > 0; }

  template <class F> calls::OpenUpstream onlyOpen(F IsWanted) const {
    std::vector<calls::OpenUpstream> Found;
    for (calls::OpenUpstream &Open : all<calls::OpenUpstream>()) {
      if (IsWanted(Open))
        Found.push_back(std::move(Open));
    }
    BOOST_REQUIRE_MESSAGE(Found.size() == 1, "opened: " << Found.size());
    return Found.front();
  }
  /// Exchanges that the last effects aborted, without probes of paths.
  std::vector<UpstreamId> aborted() const {
    std::vector<UpstreamId> Ids;
    for (const calls::AbortUpstream &Abort : all<calls::AbortUpstream>()) {
      if (!isProbe(Abort.Upstream))
        Ids.push_back(Abort.Upstream);
    }
    return Ids;
  }

  void sent(UpstreamId Id) { event(UpstreamSent{Id}); }
  void head(UpstreamId Id, int Status, std::vector<HttpHeader> More = {}) {
    std::vector<HttpHeader> Headers = {{"X-Pimentoglade-Attempt-Id", "id1"},
                                       {"X-Pimentoglade-Replica-Stamp", "s"},
                                       {"Digest", "d"}};
    for (HttpHeader &Header : More)
      Headers.push_back(std::move(Header));
    event(UpstreamHead{Id, Status, Headers});
  }
  void failUpstream(UpstreamId Id, bool BytesSent) {
    UpstreamFailure Why;
    Why.BytesSent = BytesSent;
    event(UpstreamFailed{Id, Why});
  }
};

inline std::string_view valueOf(const calls::OpenUpstream &Open,
                                const char *Name) {
  return headerValue(Open.Request.Headers, Name);
}

/// The text of a log line's field; empty if it has none.
inline std::string textOf(const DecisionRecord &Record, std::string_view Name) {
  for (const DecisionField &Field : Record.Fields) {
    const auto *Text = std::get_if<std::string>(&Field.Value);
    if (Field.Name == Name && Text != nullptr)
      return *Text;
  }
  return "";
}

} // namespace pimento::testing
