// fake-engine: simulated model engine with the protocol of
// docs/ENGINE-PROTOCOL.md.
//
//   fake-engine --id=e1 --listen=127.0.0.1:0 --models=base
//       --announce_to=127.0.0.1:8080 --announce_token=secret

#include "fakes/EngineServer.h"
#include "fakes/Http.h"
#include "fakes/Process.h"

#include <gflags/gflags.h>
#include <unistd.h>

#include <cstdio>

DEFINE_string(id, "engine", "name of this backend server");
DEFINE_string(listen, "127.0.0.1:0", "ip:port; port 0: assigned by the system");
DEFINE_string(data_centre, "dc1", "data centre in announcements");
DEFINE_string(models, "base", "models loaded at the start, comma-separated");
DEFINE_string(announce_to, "", "hosts to announce to, comma-separated ip:port");
DEFINE_string(announce_token, "", "bearer token of announcements");
DEFINE_string(ready_file, "", "file for the line that is printed when ready");
DEFINE_string(switches, "{}", "failures, as JSON for POST /fake/switches");
DEFINE_uint64(memory_tokens, 600000, "KV cache");
DEFINE_double(prefill_rate, 400000, "prompt tokens per second");
DEFINE_uint64(decode_interval_us, 10000, "microseconds between decode steps");
DEFINE_uint64(batch_size, 64, "largest number of running attempts");
DEFINE_uint64(resume_ms, 2000, "lifetime of an attempt without connection");
DEFINE_uint64(answer_tokens, 0, "natural length of answers; 0: max_tokens");
DEFINE_uint64(load_lag_ms, 0, "age of announced load figures");
DEFINE_uint64(cache_delay_ms, 0, "age of announced cache events");
DEFINE_double(cache_gap_share, 0, "share of cache announcements that are lost");
DEFINE_uint64(seed, 1, "random seed of failures that have a share");
DEFINE_bool(checks_fence, true, "refuse outdated fencing numbers");
DEFINE_uint64(load_time_ms, 200, "duration of each model load");
DEFINE_uint64(model_bytes, 1UL << 30U, "size of each model in bytes");
DEFINE_double(store_rate, 4e9, "bytes per second from the weight store");

namespace {

using namespace pimento;
using namespace pimento::fakes;

int refuseStart(const std::string &Why) {
  std::fprintf(stderr, "fake-engine: %s\n", Why.c_str());
  return 2;
}

EngineConfig configFromFlags() {
  EngineConfig Config;
  Config.MemoryTokens = FLAGS_memory_tokens;
  Config.PrefillRate = FLAGS_prefill_rate;
  Config.DecodeInterval = microseconds(FLAGS_decode_interval_us);
  Config.BatchSize = FLAGS_batch_size;
  Config.ResumeTime = milliseconds(FLAGS_resume_ms);
  Config.AnswerTokens = FLAGS_answer_tokens;
  return Config;
}

OrderConfig ordersFromFlags() {
  OrderConfig Orders;
  Orders.ChecksFence = FLAGS_checks_fence;
  Orders.LoadTime = milliseconds(FLAGS_load_time_ms);
  Orders.ModelBytes = FLAGS_model_bytes;
  Orders.StoreRate = FLAGS_store_rate;
  return Orders;
}

EngineOptions optionsFromFlags(std::string &Problem) {
  EngineOptions Options;
  Options.Id = FLAGS_id;
  Options.Listen = FLAGS_listen;
  Options.DataCentre = FLAGS_data_centre;
  Options.Models = splitList(FLAGS_models);
  Options.Config = configFromFlags();
  Options.Orders = ordersFromFlags();
  Options.Announce.Hosts = splitList(FLAGS_announce_to);
  Options.Announce.Token = FLAGS_announce_token;
  Options.LoadLag = milliseconds(FLAGS_load_lag_ms);
  Options.CacheDelay = milliseconds(FLAGS_cache_delay_ms);
  Options.CacheGapShare = FLAGS_cache_gap_share;
  Options.Seed = FLAGS_seed;
  Problem = setSwitches(Json::parse(FLAGS_switches, nullptr, false),
                        Options.Switches);
  return Options;
}

std::string checkFlags() {
  if (FLAGS_prefill_rate <= 0 || FLAGS_store_rate <= 0)
    return "rates must be above zero";
  if (FLAGS_decode_interval_us == 0 || FLAGS_batch_size == 0)
    return "--decode_interval_us and --batch_size must be above zero";
  return "";
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("simulated model engine for tests");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::string Problem = checkFlags();
  if (!Problem.empty())
    return refuseStart(Problem);
  EngineOptions Options = optionsFromFlags(Problem);
  if (!Problem.empty())
    return refuseStart("--switches: " + Problem);
  BasePtr Base(event_base_new());
  EnginePtr Server = startEngine(Base.get(), Options, Problem);
  if (!Server)
    return refuseStart(Problem);
  Json Ready = {{"id", Options.Id},
                {"address", address(*Server)},
                {"incarnation", incarnation(*Server)},
                {"pid", getpid()}};
  if (!publishReady(FLAGS_ready_file, Ready))
    return refuseStart("can't write " + FLAGS_ready_file);
  runUntilStopped(Base.get(), [&] { drain(*Server); });
  return 0;
}
