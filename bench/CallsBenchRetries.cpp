// Counts attempts per request while a share of the servers fails every call.

#include "CallsBench.h"

#include "base/Token.h"
#include "calls/Calls.h"

#include <cstdio>
#include <deque>

namespace pimento::bench {

namespace {

constexpr std::size_t Servers = 10;
constexpr std::size_t Requests = 20000;

/// One host in virtual time; the first of its backend servers fail every call.
class FailingServers {
public:
  std::size_t Tries = 0;
  std::size_t Failures = 0; // Failed attempts.
  std::size_t Answered = 0;
  std::size_t Refused = 0; // Final responses other than 200.

  explicit FailingServers(std::size_t Failing) : FailingCount(Failing), Rng(3) {
    S = calls::makeCalls(Settings(), 1, 2);
    Dir.Tokens[sha256Hex("token")] = {{ServiceId("text"), AccountId("a")},
                                      {ServiceId("plain"), AccountId("a")}};
    Dir.Services[ServiceId("text")].Weights[AccountId("a")] = 1;
    Dir.Models[ModelName("m")] = {{ServiceId("text"), 0}};
    calls::ServiceRule &Plain = Dir.Services[ServiceId("plain")];
    Plain.Weights[AccountId("a")] = 1;
    Plain.Calls = {{"", {"GET"}, true}};
    for (std::size_t I = 0; I < Servers; ++I) {
      std::string Name = "s" + std::to_string(I);
      Dir.Servers[ServiceId("plain")].push_back({BackendId(Name), 1, Name, {}});
    }
  }

  void run(bool Generation) {
    for (std::size_t I = 1; I <= Requests; ++I) {
      HttpRequest R;
      R.Headers = {{"Authorization", "Bearer token"}};
      R.Path = "/v1/services/plain/calls/record";
      if (Generation) {
        R.Method = HttpMethod::Post;
        R.Path = "/v1/completions";
        R.Body = "{\"model\":\"m\",\"prompt\":\"hello\"}";
      }
      calls::CallsEffects Out;
      onCallerRequest(S, ExchangeId(I), R, Dir, Now, Out);
      executeEffects(Out);
      advance(milliseconds(5));
    }
    advance(seconds(120));
  }

private:
  calls::Directory Dir;
  calls::CallsState S;
  std::size_t FailingCount;
  Random Rng;
  TimePoint Now = TimePoint(hours(1));

  void advance(Duration Time) {
    TimePoint End = Now + Time;
    while (nextWakeup(S) <= End) {
      Now = std::max(Now, nextWakeup(S));
      calls::CallsEffects Out;
      tick(S, Dir, Now, Out);
      executeEffects(Out);
    }
    Now = End;
  }

  void executeEffects(calls::CallsEffects &Out) {
    std::vector<calls::CallsEffect> List = std::move(Out.List);
    for (calls::CallsEffect &E : List) {
      calls::CallsEffects More;
      if (auto *Asked = std::get_if<calls::SendGrantRequest>(&E))
        grant(Asked->Content, More);
      else if (auto *Open = std::get_if<calls::OpenUpstream>(&E))
        serve(*Open, More);
      else if (auto *Reply = std::get_if<calls::SendReply>(&E))
        end(*Reply, More);
      executeEffects(More);
    }
  }

  void grant(const GrantRequest &Asked, calls::CallsEffects &Out) {
    std::string Name = "s" + std::to_string(below(Rng, Servers));
    Grant G;
    G.Attempt = Asked.Attempt;
    G.Engines = {{BackendId(Name), Name, 1}};
    onGrant(S, G, Dir, Now, Out);
  }

  void serve(const calls::OpenUpstream &Open, calls::CallsEffects &Out) {
    const UpstreamRequest &R = Open.Request;
    if (R.Method == HttpMethod::Delete) {
      onUpstreamHead(S, Open.Upstream, 200, {}, Dir, Now, Out);
      return;
    }
    ++Tries;
    bool Fails = std::stoul(R.Address.substr(1)) < FailingCount;
    Failures += Fails ? 1 : 0;
    onUpstreamSent(S, Open.Upstream, Dir, Now, Out);
    std::vector<HttpHeader> Headers = {
        {"X-Request-Id", std::string(headerValue(R.Headers, "X-Request-Id"))}};
    onUpstreamHead(S, Open.Upstream, Fails ? 500 : 200, Headers, Dir, Now, Out);
    std::string Body = "found";
    if (R.Method == HttpMethod::Post && !Fails) {
      const std::string &Text = R.Body.text();
      std::size_t At = Text.find("\"attempt\":\"") + 11;
      std::string Attempt = Text.substr(At, Text.find('"', At) - At);
      Body = "data: {\"attempt\":\"" + Attempt +
             "\",\"end\":true,\"finish\":\"stop\",\"prompt_tokens\":1,"
             "\"cached_tokens\":0,\"output_tokens\":0}\n\n";
    }
    onUpstreamData(S, Open.Upstream, Body, Dir, Now, Out);
    onUpstreamEnd(S, Open.Upstream, Dir, Now, Out);
  }

  void end(const calls::SendReply &Reply, calls::CallsEffects &Out) {
    (Reply.Reply.Status == 200 ? Answered : Refused) += 1;
    onCallerDrained(S, Reply.Exchange, 0, Dir, Now, Out);
  }
};

bool measure(bool Generation, std::size_t Failing, double Bound) {
  FailingServers Site(Failing);
  Site.run(Generation);
  double Tries = static_cast<double>(Site.Tries) / Requests;
  std::size_t Retries = Site.Tries - Requests;
  std::printf("%s, %zu of 10 servers fail: %zu answered, %zu failed, %.3f "
              "retries a failed try\n",
              Generation ? "generation" : "look-ups", Failing, Site.Answered,
              Site.Refused,
              Site.Failures == 0 ? 0.0
                                 : static_cast<double>(Retries) /
                                       static_cast<double>(Site.Failures));
  return within("tries for each request", Tries, Bound);
}

} // namespace

bool measureRetries() {
  bool Good = true;
  for (bool Generation : {true, false}) {
    Good = measure(Generation, 1, 1.1) && Good;
    Good = measure(Generation, 5, 1.2) && Good;
  }
  return Good;
}

} // namespace pimento::bench
