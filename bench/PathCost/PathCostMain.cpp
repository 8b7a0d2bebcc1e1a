// pathCost: overhead of the path through an entry host compared with a direct
// connection to a model engine.
//
//   pathCost --engine=127.0.0.1:9001
//   pathCost --engine=127.0.0.1:9001 --host=127.0.0.1:7001 --token=T
//       --model=base --host_pid=PID --check
//
// Prints one JSON object. With --check, exits with status 1 if a request
// failed, an answer was wrong or a target was missed.

#include "bench/PathCost/PathCost.h"

#include "base/SettingText.h"
#include "bench/PathCost/Quantiles.h"

#include <gflags/gflags.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdio>

DEFINE_string(engine, "", "ip:port of a model engine (required)");
DEFINE_string(host, "", "ip:port of an entry host; empty: only the engine");
DEFINE_string(token, "", "token of a client account");
DEFINE_string(model, "base", "model that is asked for");
DEFINE_int32(host_pid, 0, "process of the host, for its memory");
DEFINE_uint64(requests, 200, "requests by each way for latency");
DEFINE_uint64(concurrency, 4, "of these, in progress by each way");
DEFINE_uint64(prompt_tokens, 1000, "length of each prompt");
DEFINE_uint64(answer_tokens, 25, "length of each answer");
DEFINE_uint64(pause_ms, 100, "longest random wait before a request");
DEFINE_uint64(seed, 1, "of the random waits");
DEFINE_uint64(streams, 200, "streams to hold at once; 0: not measured");
DEFINE_uint64(hold_ms, 5000, "how long they are held");
DEFINE_uint64(limit_ms, 60000, "longest time of each measurement");
DEFINE_bool(check, false, "exit 1 where a target is missed");

namespace {

using namespace pimento;
using namespace pimento::bench;

/// Targets for the 95th percentile.
constexpr Duration FirstTokenTarget = milliseconds(970);
constexpr Duration TokenGapTarget = milliseconds(32);

constexpr double Median = 0.5;
constexpr double P95 = 0.95;

double millisOf(Duration D) { return toSeconds(D) * 1000; }

Json summary(const std::vector<Duration> &Samples) {
  return {{"p50", millisOf(quantile(Samples, Median))},
          {"p95", millisOf(quantile(Samples, P95))},
          {"p99", millisOf(quantile(Samples, 0.99))},
          {"samples", Samples.size()}};
}

Json toJson(const LatencyFigures &F) {
  return {{"first_token_ms", summary(F.FirstTokens)},
          {"token_gap_ms", summary(F.Gaps)},
          {"whole", F.Whole},
          {"wrong", F.Wrong},
          {"failed", F.Failed}};
}

/// Added latency and latency ratio at one quantile.
Json difference(const std::vector<Duration> &Direct,
                const std::vector<Duration> &Host, double Share) {
  double Before = millisOf(quantile(Direct, Share));
  double After = millisOf(quantile(Host, Share));
  return {{"added_ms", After - Before},
          {"ratio", Before > 0 ? After / Before : 0}};
}

Json toJson(const LatencyReport &R, bool WithHost) {
  Json Out = {{"direct", toJson(R.Direct)}};
  if (!WithHost)
    return Out;
  Out["host"] = toJson(R.Host);
  const auto &D = R.Direct;
  const auto &H = R.Host;
  Out["first_token"] = {
      {"p50", difference(D.FirstTokens, H.FirstTokens, Median)},
      {"p95", difference(D.FirstTokens, H.FirstTokens, P95)}};
  Out["token_gap"] = {{"p50", difference(D.Gaps, H.Gaps, Median)},
                      {"p95", difference(D.Gaps, H.Gaps, P95)}};
  return Out;
}

/// Bytes per item for \p Count items; zero if there are none.
double bytesEach(std::uint64_t Bytes, std::uint64_t Base, std::uint64_t Count) {
  if (Count == 0 || Bytes < Base)
    return 0;
  return static_cast<double>(Bytes - Base) / static_cast<double>(Count);
}

Json toJson(const MemoryReport &R) {
  return {{"host_bytes", R.BaseBytes},
          {"idle_connections", R.Connections},
          {"idle_connection_bytes",
           bytesEach(R.IdleBytes, R.BaseBytes, R.Connections)},
          {"streams", R.Streams},
          {"streaming_request_bytes",
           bytesEach(R.StreamBytes, R.BaseBytes, R.Streams)}};
}

Json toJson(const StreamsReport &R, Duration Hold) {
  double Tokens = std::max(1.0, static_cast<double>(R.Gaps.size()));
  return {{"asked", R.Asked},
          {"held", R.Held},
          {"ended", R.Ended},
          {"host_cpu_share", toSeconds(R.HostCpu) / toSeconds(Hold)},
          {"host_cpu_us_per_token", toSeconds(R.HostCpu) * 1e6 / Tokens},
          {"token_gap_ms", summary(R.Gaps)}};
}

PathCostOptions optionsFromFlags() {
  PathCostOptions Options;
  Options.Engine = FLAGS_engine;
  Options.Host = FLAGS_host;
  Options.Token = FLAGS_token;
  Options.Model = FLAGS_model;
  Options.HostPid = FLAGS_host_pid;
  Options.Requests = FLAGS_requests;
  Options.Concurrency = FLAGS_concurrency;
  Options.PromptTokens = FLAGS_prompt_tokens;
  Options.AnswerTokens = FLAGS_answer_tokens;
  Options.Pause = milliseconds(FLAGS_pause_ms);
  Options.Seed = FLAGS_seed;
  Options.Streams = FLAGS_streams;
  Options.Hold = milliseconds(FLAGS_hold_ms);
  Options.Limit = milliseconds(FLAGS_limit_ms);
  return Options;
}

/// Raises the descriptor limit, as each stream needs one.
void raiseFileLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

bool meetsTargets(const LatencyFigures &F) {
  return F.Wrong == 0 && F.Failed == 0 &&
         quantile(F.FirstTokens, P95) <= FirstTokenTarget &&
         quantile(F.Gaps, P95) <= TokenGapTarget;
}

bool meetsTargets(const StreamsReport &R) {
  return R.Held == R.Asked && quantile(R.Gaps, P95) <= TokenGapTarget;
}

/// Runs all measurements that the options permit. Returns whether the targets
/// are met.
bool measure(event_base *Base, const PathCostOptions &Options, Json &Out) {
  bool WithHost = !Options.Host.empty();
  Path Via = WithHost ? Path::Host : Path::Direct;
  LatencyReport Latency = measureLatency(Base, Options);
  Out["latency"] = toJson(Latency, WithHost);
  bool Met = meetsTargets(WithHost ? Latency.Host : Latency.Direct);
  if (Options.Streams == 0)
    return Met;
  if (WithHost && Options.HostPid != 0)
    Out["memory"] = toJson(measureMemory(Base, Options));
  StreamsReport Streams = measureStreams(Base, Options, Via);
  Out["streams"] = toJson(Streams, Options.Hold);
  return Met && meetsTargets(Streams);
}

bool isAddress(const std::string &Text) {
  fakes::Endpoint E;
  return fakes::parseEndpoint(Text, E);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("what the way through an entry host costs");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  PathCostOptions Options = optionsFromFlags();
  bool Usable = isAddress(Options.Engine) &&
                (Options.Host.empty() || isAddress(Options.Host)) &&
                Options.Requests > 0 && Options.Hold > Duration::zero();
  if (!Usable) {
    std::fputs("pathCost: --engine and --host take ip:port; --requests and "
               "--hold_ms at least 1\n",
               stderr);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  raiseFileLimit();
  fakes::BasePtr Base(event_base_new());
  Json Out;
  bool Met = measure(Base.get(), Options, Out);
  std::printf("%s\n", Out.dump(2).c_str());
  return Met || !FLAGS_check ? 0 : 1;
}
