// Processor time of an entry host's reducer for one request to a plain service
// with many backend servers: as it is, and while some of them want no requests.
//
//   requestCostBench [SERVERS [REQUESTS]]
//
// For instructions instead of time, which differ less between runs:
//   perf stat -e instructions:u requestCostBench 1000 10000

#include "gateway/Gateway.h"
#include "platform/Platform.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace pimento::bench {

namespace {

const HostId Control("10.0.0.100");
const char *const RoutingText =
    R"({"version":3,"routes":[)"
    R"({"name":"read","host":"h","pathPrefix":"/r/","routeType":"idempotent",)"
    R"("timeoutMs":600,"sloMs":100,"service":"plain","maxAttempts":1}],)"
    R"("services":[{"name":"plain"}],)"
    R"("tenants":[{"name":"t","apiKeys":["k"]}]})";
/// The time that a server names is longer than any run.
constexpr const char *RetryAfterSeconds = "3000";
constexpr int Rounds = 5;

struct Host {
  Gateway S;
  TimePoint Now = TimePoint(seconds(100));
  std::uint64_t NextExchange = 1;
  std::size_t Served = 0;

  explicit Host(std::size_t Servers) {
    GatewayStart G;
    G.Config.Host.PeerAddress = "10.0.0.1:7340";
    G.Config.Join.Role = "entry";
    G.Config.Join.Seeds = "10.0.0.100:80";
    G.Platform = platform::adapter();
    G.Incarnation = 9;
    S = makeGateway(G, Now);
    event(Tick());
    event(PeerMessage{Control, 1, siteState(Servers)});
  }

  SiteState siteState(std::size_t Servers) const {
    SiteState M;
    M.Sequence = S.Link.Sequence;
    M.IsCurrent = true;
    M.Leader = Control;
    M.Config = 3;
    M.Text.Data = RoutingText;
    M.ListsAllServers = true;
    for (std::size_t I = 0; I < Servers; ++I) {
      ServerReport R;
      R.Id = BackendId("server-" + std::to_string(I));
      R.Incarnation = 1;
      R.Sequence = 1;
      R.Service = ServiceId("plain");
      R.Address =
          "10.1." + std::to_string(I / 256) + "." + std::to_string(I % 256);
      M.Servers.push_back(R);
    }
    return M;
  }

  /// As a host process does, with the search for its next timer.
  Effects event(const Event &E) {
    Effects Out = reduceGateway(S, E, Now);
    if (nextWakeup(S, Now) <= Now)
      reduceGateway(S, Tick(), Now);
    return Out;
  }

  /// Passes a request in and returns the exchange with its server; zero if the
  /// request was refused.
  UpstreamId request() {
    HttpRequest R;
    R.Path = R.Target = "/r/1";
    R.Headers = {{"Host", "h"},
                 {"X-Pimentoglade-Attempt-Id", "id1"},
                 {"Authorization", "Token k"}};
    UpstreamId Sent{};
    for (const Effect &E :
         event(CallerRequest{ExchangeId{NextExchange++}, R})) {
      if (const auto *Open = std::get_if<calls::OpenUpstream>(&E))
        Sent = Open->Upstream;
    }
    return Sent;
  }

  void answer(UpstreamId Id, int Status, std::vector<HttpHeader> More) {
    More.push_back({"X-Pimentoglade-Attempt-Id", "id1"});
    More.push_back({"X-Pimentoglade-Replica-Stamp", "s"});
    More.push_back({"Digest", "d"});
    event(UpstreamSent{Id});
    event(UpstreamHead{Id, Status, std::move(More)});
    event(UpstreamEnd{Id, true});
    Served += Status == 200 && S.Calls.empty() ? 1 : 0;
  }

  void serve(std::size_t Requests) {
    for (std::size_t I = 0; I < Requests; ++I) {
      Now += std::chrono::microseconds(100);
      answer(request(), 200, {});
    }
  }

  /// Has servers turn requests away, until \p Count of them were asked.
  void pauseServers(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Now += milliseconds(100);
      answer(request(), 503, {{"Retry-After", RetryAfterSeconds}});
    }
  }
};

/// The least time of several rounds, in microseconds a request.
double leastTime(Host &H, std::size_t Requests) {
  using Clock = std::chrono::steady_clock;
  double Least = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    Clock::time_point Began = Clock::now();
    H.serve(Requests);
    std::chrono::duration<double, std::micro> Time = Clock::now() - Began;
    double PerRequest = Time.count() / static_cast<double>(Requests);
    Least = Round == 0 ? PerRequest : std::min(Least, PerRequest);
  }
  return Least;
}

} // namespace

} // namespace pimento::bench

int main(int Count, char **Words) {
  using namespace pimento;
  std::size_t Servers = Count > 1 ? std::strtoul(Words[1], nullptr, 10) : 1000;
  std::size_t Requests = Count > 2 ? std::strtoul(Words[2], nullptr, 10) : 1000;
  for (std::size_t Paused : {std::size_t{0}, Servers / 100, Servers / 4}) {
    bench::Host H(Servers);
    H.pauseServers(Paused);
    double Time = bench::leastTime(H, Requests);
    std::printf("%zu servers, %zu want no requests: %.1f us a request, %zu "
                "served\n",
                Servers, Paused, Time, H.Served);
    if (Count > 3)
      break; // Only the first case, for counts of instructions.
  }
}
