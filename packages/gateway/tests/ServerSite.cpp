#include "gateway/tests/ServerSite.h"

#include <algorithm>

namespace pimento::testing {

namespace {

constexpr Duration Step = milliseconds(5);
constexpr Duration LinkDelay = milliseconds(1);
constexpr Duration PrefillTime = milliseconds(60);
/// Time between two events of a stream.
constexpr Duration EventInterval = milliseconds(45);
constexpr int EventsOfAnswer = 12;
/// An engine crashes so long after it began to write on a bad part.
constexpr Duration CrashDelay = milliseconds(30);
constexpr Duration EngineDownTime = milliseconds(2000);
constexpr Duration ReportInterval = milliseconds(1200);
constexpr int EngineCount = 10;
constexpr int PlainCount = 4;
constexpr Duration PlainTime = milliseconds(15);
constexpr int EntryCount = 4;
/// The pages' contactMs: a change is known to all hosts after this time.
constexpr Duration ContactTime = seconds(3);
constexpr std::size_t CrashesBeforeContainment = 5;
/// The same for a whole request.
constexpr std::size_t CrashesOfCall = 3;
/// Part that all sound requests of a kind share.
constexpr PartId CommonPart{0xa1};

const char *const RoutingText =
    R"({"version":3,"routes":[)"
    R"({"name":"stream","host":"h","pathPrefix":"/s/","routeType":"streaming",)"
    R"("timeoutMs":10000,"sloMs":300,"itlTargetMs":250,"service":"llm",)"
    R"("maxAttempts":2,"resumable":true},)"
    R"({"name":"ask","host":"h","pathPrefix":"/a/","routeType":"idempotent",)"
    R"("timeoutMs":10000,"sloMs":300,"service":"llm","maxAttempts":2},)"
    R"({"name":"order","host":"h","pathPrefix":"/o/",)"
    R"("routeType":"non_idempotent","timeoutMs":10000,"sloMs":300,)"
    R"("service":"llm","maxAttempts":2},)"
    R"({"name":"watch","host":"h","pathPrefix":"/t/","routeType":"streaming",)"
    R"("timeoutMs":5000,"sloMs":300,"itlTargetMs":250,"service":"plain",)"
    R"("maxAttempts":2,"resumable":true},)"
    R"({"name":"read","host":"h","pathPrefix":"/r/","routeType":"idempotent",)"
    R"("timeoutMs":1000,"sloMs":150,"service":"plain","maxAttempts":2},)"
    R"({"name":"sign","host":"h","pathPrefix":"/w/",)"
    R"("routeType":"non_idempotent","timeoutMs":1000,"sloMs":150,)"
    R"("service":"plain","maxAttempts":2}],)"
    R"("services":[{"name":"plain","healthPath":"/healthz",)"
    R"("maxConnections":110},{"name":"llm","healthPath":"/healthz",)"
    R"("maxConnections":374,"engine":{"slots":16,)"
    R"("kvCapacity":232000,"stride":43,"chunk":2048,"step_ms":1.02,)"
    R"("per_seq_ms":0.00226,"context_per_k":0.00431,"read_per_s":206000.0,)"
    R"("pairs_per_m":0.138}}],"tenants":[{"name":"a","apiKeys":["ka"]},)"
    R"({"name":"b","apiKeys":["kb"]},{"name":"c","apiKeys":["kc"]}]})";

std::vector<HttpHeader> answerHead(const std::string &Attempt,
                                   const SiteServer &E, bool Streams) {
  std::vector<HttpHeader> Headers = {{"X-Pimentoglade-Attempt-Id", Attempt},
                                     {"X-Pimentoglade-Replica-Stamp", "s"}};
  if (Streams)
    Headers.push_back({"Content-Type", "text/event-stream"});
  Headers.insert(Headers.end(), E.ExtraHeaders.begin(), E.ExtraHeaders.end());
  return Headers;
}

/// Whether the route of the target has streams as answers.
bool streams(const std::string &Target) {
  std::string Prefix = Target.substr(0, 3);
  return Prefix == "/s/" || Prefix == "/t/";
}

/// Whether the route of the target leads to engines.
bool isForEngines(const std::string &Target) {
  std::string Prefix = Target.substr(0, 3);
  return Prefix == "/s/" || Prefix == "/a/" || Prefix == "/o/";
}

} // namespace

ServerSite::ServerSite(std::uint64_t Seed)
    : Control(Seed, {"10.0.0.1", "10.0.0.2", "10.0.0.3"}), Rng(Seed) {
  Control.OnOtherHost = [this](const HostId &From, const SendPeer &Send) {
    Letters.push_back({now() + LinkDelay, From, Send.To, 1, Send.Content});
  };
  Control.startAll(true);
  HostId Leader = Control.waitForLeader(seconds(5));
  for (int I = 0; I < EngineCount; ++I) {
    SiteServer E;
    E.Address = "10.0.2." + std::to_string(I + 1) + ":80";
    E.Id = "e" + std::to_string(NextEngine++);
    E.Born = NextEngine;
    Engines.push_back(std::move(E));
  }
  for (int I = 0; I < PlainCount; ++I) {
    SiteServer E;
    E.Service = "plain";
    E.Address = "10.0.3." + std::to_string(I + 1) + ":80";
    E.Id = "p" + std::to_string(NextEngine++);
    E.Born = NextEngine;
    Engines.push_back(std::move(E));
  }
  for (int I = 0; I < EntryCount; ++I)
    startEntry(HostId("10.0.1." + std::to_string(I + 1)));
  Control.request(Leader, HttpMethod::Post, "/-/config/replace", RoutingText);
  Traffic Planned = Load;
  Load.SoundEvery = Duration::max();
  run(seconds(2));
  Load = Planned;
  SoundAt = now();
  BadAt = now();
  PlainAt = now();
  BadCallAt = now();
}

void ServerSite::startEntry(const HostId &Name) {
  GatewayStart G;
  G.Config.Host.PeerAddress = Name.Value + ":7340";
  G.Config.Join.Role = "entry";
  G.Config.Join.Seeds = "10.0.0.1:8080,10.0.0.2:8080,10.0.0.3:8080";
  G.Config.Drain.Limit = seconds(8);
  G.Config.Retries.BudgetShare = 0.2;
  G.Config.Retries.BudgetAllowance = 106;
  G.Config.Retries.BudgetWindow = seconds(10);
  G.Platform = platform::adapter();
  G.Incarnation = NextIncarnation++;
  G.Seed = Rng();
  EntryNode &N = Entries[Name];
  N.Name = Name;
  N.State = makeGateway(G, now());
  N.Up = true;
}

void ServerSite::killEntry(const HostId &Name, Duration Down) {
  EntryNode &N = Entries.at(Name);
  N.Up = false;
  N.BackAt = now() + Down;
  for (SiteServer &E : Engines) {
    auto Is = [&](const EngineRun &R) { return R.Host == Name; };
    E.Runs.erase(std::remove_if(E.Runs.begin(), E.Runs.end(), Is),
                 E.Runs.end());
  }
  for (auto &[Other, Node] : Entries) {
    if (Node.Up)
      event(Node, PeerLost{Name});
  }
}

void ServerSite::event(EntryNode &N, const Event &E) {
  for (const Effect &Out : reduceGateway(N.State, E, now()))
    perform(N, Out);
}

void ServerSite::perform(EntryNode &N, const Effect &E) {
  auto ViewOf = [&](ExchangeId Exchange) -> CallerView & {
    return Callers[Exchanges[{N.Name, Exchange}]];
  };
  if (const auto *Send = std::get_if<SendPeer>(&E)) {
    Letters.push_back({now() + LinkDelay, N.Name, Send->To, N.State.Incarnation,
                       Send->Content});
  } else if (const auto *Open = std::get_if<calls::OpenUpstream>(&E)) {
    open(N, *Open);
  } else if (const auto *Abort = std::get_if<calls::AbortUpstream>(&E)) {
    for (SiteServer &Engine : Engines) {
      auto Is = [&](const EngineRun &R) {
        return R.Host == N.Name && R.Upstream == Abort->Upstream;
      };
      Engine.Runs.erase(
          std::remove_if(Engine.Runs.begin(), Engine.Runs.end(), Is),
          Engine.Runs.end());
    }
  } else if (const auto *Bytes = std::get_if<calls::StreamBytes>(&E)) {
    ViewOf(Bytes->Exchange).Began = true;
  } else if (const auto *End = std::get_if<calls::EndStream>(&E)) {
    ViewOf(End->Exchange).Complete = End->IsComplete;
  } else if (const auto *Reply = std::get_if<calls::SendReply>(&E)) {
    CallerView &View = ViewOf(Reply->Exchange);
    View.Status = Reply->Reply.Status;
    View.Complete = View.Complete || (View.Status == 200 && !View.Streams);
    std::string After(headerValue(Reply->Reply.Headers, "Retry-After"));
    View.RetryAfter = After.empty() ? 0 : std::stod(After);
  }
}

void ServerSite::answerAtOnce(EntryNode &N, UpstreamId Upstream, int Status,
                              std::vector<HttpHeader> Headers,
                              std::string Body) {
  event(N, UpstreamHead{Upstream, Status, std::move(Headers)});
  if (!Body.empty())
    event(N, UpstreamData{Upstream, std::move(Body)});
  event(N, UpstreamEnd{Upstream, true});
}

void ServerSite::open(EntryNode &N, const calls::OpenUpstream &Open) {
  auto Is = [&](const SiteServer &E) {
    return E.Address == Open.Request.Address;
  };
  auto Engine = std::find_if(Engines.begin(), Engines.end(), Is);
  if (Engine == Engines.end() || !Engine->Up) {
    event(N, UpstreamFailed{Open.Upstream, {}});
    return;
  }
  event(N, UpstreamSent{Open.Upstream});
  if (Open.Request.Target == "/-/report") {
    answerAtOnce(N, Open.Upstream, 200, {}, R"({"pace":1})");
    return;
  }
  if (Open.Request.Target == "/healthz") {
    answerAtOnce(N, Open.Upstream, 200,
                 {{"X-Pimentoglade-Replica-Id", Engine->Id}}, "");
    return;
  }
  if (Open.Request.Target == "/-/order") {
    answerAtOnce(N, Open.Upstream, 200, {}, R"({"free":100000})");
    return;
  }
  std::string Attempt(
      headerValue(Open.Request.Headers, "X-Pimentoglade-Attempt-Id"));
  if (headerValue(Open.Request.Headers, "X-Pimentoglade-Expected-Replica") !=
      Engine->Id) {
    answerAtOnce(N, Open.Upstream, 421, {{"X-Pimentoglade-Not-Executed", "1"}},
                 "");
    return;
  }
  Engine->Arrivals[N.Name].push_back(now());
  if (!Engine->RetryAfter.empty()) {
    std::vector<HttpHeader> Head = answerHead(Attempt, *Engine, false);
    Head.push_back({"Retry-After", Engine->RetryAfter});
    Head.push_back({"X-Pimentoglade-Not-Executed", "1"});
    answerAtOnce(N, Open.Upstream, 503, std::move(Head), "");
    return;
  }
  CallerView &View = Callers[Attempt];
  View.Sends += 1;
  Engine->Received.push_back(now());
  if (View.Bad)
    BadSends.push_back(now());
  EngineRun Run;
  Run.Host = N.Name;
  Run.Upstream = Open.Upstream;
  Run.Attempt = Attempt;
  Run.Bad = View.Bad;
  Run.Streams = streams(Open.Request.Target);
  BadCall Call = {
      Open.Request.Target,
      std::string(headerValue(Open.Request.Headers, "X-Pimentoglade-Tenant")),
      Open.Request.Body};
  auto Seen = BadViews.find(Call);
  if (Seen != BadViews.end() && CuredCalls.count(Call) == 0) {
    Seen->second.Sends.push_back(now());
    Run.Call = Call;
  }
  Run.BeginsAt = now() + (Engine->Service == "plain" ? PlainTime : PrefillTime);
  Engine->Runs.push_back(std::move(Run));
}

void ServerSite::crash(std::size_t Engine, bool ByRequest) {
  SiteServer &E = Engines.at(Engine);
  if (!E.Up)
    return;
  E.Up = false;
  E.BackAt = now() + EngineDownTime;
  if (ByRequest)
    BadCrashes.push_back(now());
  cutRuns(E);
}

void ServerSite::breakConnections(std::size_t Server) {
  cutRuns(Engines.at(Server));
}

void ServerSite::cutRuns(SiteServer &E) {
  std::vector<EngineRun> Cut = std::move(E.Runs);
  E.Runs.clear();
  for (const EngineRun &Run : Cut) {
    EntryNode &N = Entries.at(Run.Host);
    UpstreamFailure Why;
    Why.BytesSent = true;
    if (N.Up)
      event(N, UpstreamFailed{Run.Upstream, Why});
  }
}

void ServerSite::report(SiteServer &E) {
  E.ReportAt = now() + ReportInterval;
  std::string Body = R"({"service":")" + E.Service + R"(","address":")" +
                     E.Address +
                     R"(","zone":"z","slots":16,"state":"ready","sequence":)" +
                     std::to_string(++E.Sequence) + R"(,"born":)" +
                     std::to_string(E.Born) + "}";
  std::string Path = "/-/replicas/" + E.Id + "/heartbeat";
  HostId To = Control.leader();
  for (const HostId &Host : Control.Seeds) {
    if (To.empty() && Control.Net.running(Host))
      To = Host;
  }
  if (!To.empty())
    Control.request(To, HttpMethod::Post, Path.c_str(), Body);
}

void ServerSite::stepEngine(std::size_t Index) {
  SiteServer &E = Engines[Index];
  if (!E.Up && now() >= E.BackAt) {
    E.Up = true;
    E.Id = "e" + std::to_string(NextEngine++);
    E.Born = NextEngine;
    E.Sequence = 0;
    E.ReportAt = now();
  }
  if (!E.Up)
    return;
  if (now() >= E.ReportAt)
    report(E);
  std::vector<std::pair<HostId, UpstreamId>> Due;
  for (const EngineRun &Run : E.Runs) {
    if (now() >= std::max(Run.BeginsAt, Run.NextEventAt))
      Due.emplace_back(Run.Host, Run.Upstream);
  }
  for (const auto &[Host, Upstream] : Due) {
    auto Is = [&, H = Host, U = Upstream](const EngineRun &R) {
      return R.Host == H && R.Upstream == U;
    };
    auto Run = std::find_if(E.Runs.begin(), E.Runs.end(), Is);
    if (Run == E.Runs.end())
      continue;
    if (Run->Call && (Run->Events > 0 || !Run->Streams)) {
      BadViews[*Run->Call].Crashes.push_back(now());
      crash(Index);
      return;
    }
    if (!Run->Streams) {
      EngineRun Ended = *Run;
      E.Runs.erase(std::remove_if(E.Runs.begin(), E.Runs.end(), Is),
                   E.Runs.end());
      answerPlain(E, Ended);
      continue;
    }
    EntryNode &N = Entries.at(Host);
    int Number = ++Run->Events;
    if (Run->Bad && Number > 1) {
      crash(Index, /*ByRequest=*/true);
      return;
    }
    bool IsBad = Run->Bad || Run->Call.has_value();
    Run->NextEventAt = now() + (IsBad ? CrashDelay : EventInterval);
    if (Number == 1)
      event(N, UpstreamHead{Upstream, 200, answerHead(Run->Attempt, E, true)});
    if (IsBad)
      continue;
    event(N, UpstreamData{Upstream,
                          "id: " + std::to_string(Number) + "\ndata: x\n\n"});
    if (Number < EventsOfAnswer)
      continue;
    E.Runs.erase(std::remove_if(E.Runs.begin(), E.Runs.end(), Is),
                 E.Runs.end());
    event(N, UpstreamEnd{Upstream, true});
  }
}

void ServerSite::answerPlain(SiteServer &E, const EngineRun &Run) {
  EntryNode &N = Entries.at(Run.Host);
  if (N.Up)
    answerAtOnce(N, Run.Upstream, 200, answerHead(Run.Attempt, E, false),
                 "done");
}

void ServerSite::stepEngines() {
  for (std::size_t I = 0; I < Engines.size(); ++I)
    stepEngine(I);
}

void ServerSite::stepLetters() {
  std::deque<Letter> Now;
  std::swap(Now, Letters);
  for (Letter &L : Now) {
    if (L.At > now()) {
      Letters.push_back(std::move(L));
      continue;
    }
    auto To = Entries.find(L.To);
    if (To == Entries.end()) {
      Control.deliverFrom(L.From, L.Incarnation, L.To, L.Content, LinkDelay);
      continue;
    }
    if (To->second.Up)
      event(To->second, PeerMessage{L.From, L.Incarnation, L.Content});
  }
}

const HostId &ServerSite::anyEntry() {
  std::vector<const HostId *> Ready;
  for (const auto &[Name, N] : Entries) {
    if (N.Up && isReady(N.State))
      Ready.push_back(&Name);
  }
  if (Ready.empty())
    return Entries.begin()->first;
  return *Ready[below(Rng, Ready.size())];
}

std::string ServerSite::send(const HostId &Host, HttpRequest R,
                             const std::string &Account, bool Bad) {
  std::string Attempt = "t" + std::to_string(NextAttempt++);
  ExchangeId Exchange{NextExchange++};
  Exchanges[{Host, Exchange}] = Attempt;
  CallerView &View = Callers[Attempt];
  View.Bad = Bad;
  View.Streams = streams(R.Target);
  View.Account = Account;
  View.SentAt = now();
  R.Path = R.Target;
  R.Headers.push_back({"Host", "h"});
  R.Headers.push_back({"X-Pimentoglade-Attempt-Id", Attempt});
  R.Headers.push_back({"Authorization", "Token k" + Account});
  EntryNode &N = Entries.at(Host);
  if (N.Up)
    event(N, CallerRequest{Exchange, R});
  return Attempt;
}

std::string ServerSite::call(const HostId &Host, const std::string &Account,
                             const std::vector<PartId> &Parts, bool Bad) {
  HttpRequest R;
  R.Method = HttpMethod::Post;
  R.Target = "/s/1";
  for (PartId Part : Parts)
    R.Body += (R.Body.empty() ? "" : ",") + toString(Part) + ":1000";
  R.Headers = {{"X-Pimentoglade-Token-Count", "5000,430"},
               {"X-Pimentoglade-Prefix-Hash", R.Body}};
  return send(Host, std::move(R), Account, Bad);
}

std::string ServerSite::callPlain(const HostId &Host, bool MayRepeat) {
  HttpRequest R;
  R.Method = MayRepeat ? HttpMethod::Get : HttpMethod::Post;
  R.Target = MayRepeat ? "/r/1" : "/w/1";
  return send(Host, std::move(R), "a", false);
}

std::string ServerSite::callAs(const HostId &Host, const BadCall &Call) {
  HttpRequest R;
  R.Method = HttpMethod::Post;
  R.Target = Call.Target;
  R.Body = Call.Body;
  if (isForEngines(Call.Target)) {
    // The last part differs each time, as that of a session does.
    std::string List = toString(CommonPart) + ":1000," +
                       toString(PartId{NextPart++}) + ":1000";
    R.Headers = {{"X-Pimentoglade-Token-Count", "5000,430"},
                 {"X-Pimentoglade-Prefix-Hash", List}};
  }
  bool Bad = BadViews.count(Call) > 0 && CuredCalls.count(Call) == 0;
  std::string Attempt = send(Host, std::move(R), Call.Account, false);
  Callers[Attempt].Bad = Bad;
  return Attempt;
}

void ServerSite::stepCallers() {
  while (Load.SoundEvery != Duration::max() && now() >= SoundAt) {
    SoundAt += Load.SoundEvery;
    const std::string &Account =
        Load.Accounts[below(Rng, Load.Accounts.size())];
    // Sound requests share their other parts with the bad ones.
    PartId Shared{0x500 + static_cast<std::uint64_t>(Account[0])};
    std::vector<PartId> Parts = {CommonPart, Shared, PartId{NextPart++}};
    call(anyEntry(), Account, Parts, false);
  }
  while (!BadParts.empty() && now() >= BadAt) {
    BadAt += Load.BadEvery;
    const std::string &Account =
        Load.Accounts[Load.OneBadAccount ? 0
                                         : below(Rng, Load.Accounts.size())];
    PartId Bad = BadParts[below(Rng, BadParts.size())];
    std::vector<PartId> Parts = {CommonPart, Bad, PartId{NextPart++}};
    if (Load.BadIsFirst)
      Parts = {Bad, PartId{NextPart++}};
    call(anyEntry(), Account, Parts, Cured.count(Bad) == 0);
  }
  stepOtherCallers();
}

void ServerSite::stepOtherCallers() {
  while (Load.PlainEvery != Duration::max() && now() >= PlainAt) {
    PlainAt += Load.PlainEvery;
    callPlain(anyEntry(), NextAttempt % 2 == 0);
  }
  while (!BadCalls.empty() && now() >= BadCallAt) {
    BadCallAt += Load.BadCallEvery;
    callAs(anyEntry(), BadCalls[NextBadCall++ % BadCalls.size()]);
  }
}

void ServerSite::run(Duration Time, const std::function<void()> &Action) {
  BadAt = std::max(BadAt, now());
  PlainAt = std::max(PlainAt, now());
  BadCallAt = std::max(BadCallAt, now());
  for (const BadCall &Call : BadCalls)
    BadViews[Call];
  for (TimePoint End = now() + Time; now() < End;) {
    Control.Net.runFor(Step);
    stepLetters();
    for (auto &[Name, N] : Entries) {
      if (!N.Up && now() >= N.BackAt)
        startEntry(Name);
      if (N.Up && now() >= nextWakeup(N.State, now()))
        event(N, Tick());
    }
    stepEngines();
    stepCallers();
    if (Action)
      Action();
  }
}

std::size_t ServerSite::lateSends() const {
  if (BadCrashes.size() < CrashesBeforeContainment)
    return 0;
  TimePoint From = BadCrashes[CrashesBeforeContainment - 1] + ContactTime;
  return static_cast<std::size_t>(
      std::count_if(BadSends.begin(), BadSends.end(),
                    [&](TimePoint At) { return At > From; }));
}

std::size_t ServerSite::lateSends(const BadCall &Call) const {
  const BadCallView &View = BadViews.at(Call);
  if (View.Crashes.size() < CrashesOfCall)
    return 0;
  TimePoint From = View.Crashes[CrashesOfCall - 1] + ContactTime;
  return static_cast<std::size_t>(
      std::count_if(View.Sends.begin(), View.Sends.end(),
                    [&](TimePoint At) { return At > From; }));
}

double ServerSite::soundShare(TimePoint From, TimePoint Until) const {
  std::size_t All = 0;
  std::size_t Served = 0;
  for (const auto &[Attempt, View] : Callers) {
    if (View.Bad || View.SentAt < From || View.SentAt >= Until)
      continue;
    All += 1;
    Served += View.Complete && View.Sends == 1 ? 1 : 0;
  }
  return All == 0 ? 1 : static_cast<double>(Served) / static_cast<double>(All);
}

} // namespace pimento::testing
