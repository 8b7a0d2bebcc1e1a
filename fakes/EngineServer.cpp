#include "fakes/EngineServer.h"

#include "fakes/EngineState.h"

#include <utility>

namespace pimento::fakes {

namespace {

/// Interval between samples of the load.
constexpr Duration TickInterval = milliseconds(100);
/// Ticks between progress lines of a prefill.
constexpr std::uint64_t TicksPerProgress = 5;
/// Interval between checks of a group's members.
constexpr Duration GroupInterval = milliseconds(200);
/// Shortest time from the first SIGTERM or SIGINT to the exit, unless a second
/// signal ends the loop at once. It leaves time for the announcement that says
/// the server is leaving, so that callers can learn of the shutdown.
constexpr Duration ShortestDrain = seconds(1);
/// Time to flush the last answers before the exit.
constexpr Duration FlushTime = milliseconds(200);

Json hashTexts(const std::vector<std::uint64_t> &Hashes) {
  Json Texts = Json::array();
  for (std::uint64_t Hash : Hashes)
    Texts.push_back(std::to_string(Hash));
  return Texts;
}

Json loadReport(const EngineServer &S) {
  LoadSample Sample = lagged(S.Load, now());
  return {{"used_tokens", Sample.UsedTokens},
          {"running", Sample.Running},
          {"waiting", Sample.Waiting},
          {"age_ms", toMilliseconds(now() - Sample.At)}};
}

Json announcement(EngineServer &S) {
  if (S.Switches.StopAnnouncing)
    return nullptr;
  CacheBatch Batch = takeBatch(S.Feed, now());
  return {{"id", S.Options.Id},
          {"incarnation", S.Incarnation},
          {"address", S.HttpListener.Address},
          {"kind", "engine"},
          {"data_centre", S.Options.DataCentre},
          {"service", ""},
          {"models", S.Model.Models},
          {"memory_tokens", S.Model.Config.MemoryTokens},
          {"checks_fence", S.Orders.Config.ChecksFence},
          {"leaving", S.Model.Leaving},
          {"load", loadReport(S)},
          {"cache",
           {{"sequence", Batch.Sequence},
            {"added", hashTexts(Batch.Added)},
            {"removed", hashTexts(Batch.Removed)}}}};
}

void sampleLoad(EngineServer &S) {
  LoadSample Sample;
  Sample.At = now();
  Sample.UsedTokens = S.Model.UsedTokens;
  Sample.Running = S.Model.Batch.size();
  Sample.Waiting = S.Model.Queue.size();
  record(S.Load, Sample);
}

void tick(EngineServer &S, std::uint64_t Ticks) {
  S.TickTimer->arm(TickInterval);
  turn(S);
  sampleLoad(S);
  if (Ticks % TicksPerProgress == 0)
    sendProgress(S);
}

void stopWhenIdle(EngineServer &S) {
  if (!S.Draining || !S.MinDrainPassed || !S.Streams.empty() ||
      !isIdle(S.Model))
    return;
  S.MinDrainPassed = false; // Finishes the drain only once.
  S.DelayedCalls->after(FlushTime, [&S] { event_base_loopbreak(S.Base); });
}

void armTimers(EngineServer &S) {
  S.ModelTimer = std::make_unique<Timer>(S.Base, [&S] { turn(S); });
  S.TickTimer = std::make_unique<Timer>(
      S.Base, [&S, Ticks = std::uint64_t(0)]() mutable { tick(S, ++Ticks); });
  S.GroupTimer = std::make_unique<Timer>(S.Base, [&S] {
    S.GroupTimer->arm(GroupInterval);
    checkGroups(S);
  });
  S.TickTimer->arm(TickInterval);
  S.GroupTimer->arm(GroupInterval);
}

void fill(EngineServer &S, event_base *Base, const EngineOptions &Options) {
  S.Base = Base;
  S.Options = Options;
  S.Switches = Options.Switches;
  S.Incarnation = newIncarnation();
  S.DelayedCalls = std::make_unique<Delays>(Base);
  S.Caller = std::make_unique<HttpCaller>(Base);
  S.Model.Config = Options.Config;
  S.Model.Models.insert(Options.Models.begin(), Options.Models.end());
  S.Orders.Config = Options.Orders;
  S.Load.Lag = Options.LoadLag;
  S.Feed.Delay = Options.CacheDelay;
  S.Feed.GapShare = Options.CacheGapShare;
  S.Feed.Source.seed(Options.Seed);
  S.Source.seed(Options.Seed + 1);
}

} // namespace

void EngineDeleter::operator()(EngineServer *Server) const { delete Server; }

void turn(EngineServer &S) {
  advance(S.Model, now());
  if (advanceOrders(S.Model, S.Orders, now()))
    S.BackendAnnouncer->announce();
  push(S.Feed, S.Model.Cache.Events, now());
  S.Model.Cache.Events.clear();
  for (auto It = S.Streams.begin(); It != S.Streams.end();) {
    Stream &T = It->second;
    ++It; // Advanced first, as feeding may remove the stream.
    feedStream(S, T);
  }
  TimePoint Next = nextEvent(S.Model);
  if (Next != Never)
    S.ModelTimer->arm(Next - now());
  else
    S.ModelTimer->disarm();
  stopWhenIdle(S);
}

void applySwitches(EngineServer &S) {
  bool WasLeaving = S.Model.Leaving;
  advance(S.Model, now());
  S.Model.SlowFactor = S.Switches.Slow;
  S.Model.LeakCancels = S.Switches.LeakCancels;
  S.Model.Leaving = S.Switches.Leaving || S.Draining;
  S.TokensSent = 0;
  if (S.Model.Leaving != WasLeaving)
    S.BackendAnnouncer->announce();
  turn(S);
}

EnginePtr startEngine(event_base *Base, const EngineOptions &Options,
                      std::string &Error) {
  EnginePtr S(new EngineServer);
  fill(*S, Base, Options);
  S->HttpListener = listenHttp(Base, Options.Listen, onEngineRequest, S.get());
  if (!S->HttpListener.Http) {
    Error = "can't listen on " + Options.Listen;
    return nullptr;
  }
  S->BackendAnnouncer = std::make_unique<Announcer>(
      Base, Options.Announce, [Raw = S.get()] { return announcement(*Raw); });
  armTimers(*S);
  sampleLoad(*S);
  S->BackendAnnouncer->announce();
  applySwitches(*S);
  return S;
}

const std::string &address(const EngineServer &Server) {
  return Server.HttpListener.Address;
}

std::uint64_t incarnation(const EngineServer &Server) {
  return Server.Incarnation;
}

const Engine &model(const EngineServer &Server) { return Server.Model; }

void drain(EngineServer &S) {
  if (S.Draining)
    return;
  S.Draining = true;
  applySwitches(S);
  S.DelayedCalls->after(ShortestDrain, [&S] {
    S.MinDrainPassed = true;
    stopWhenIdle(S);
  });
}

} // namespace pimento::fakes
