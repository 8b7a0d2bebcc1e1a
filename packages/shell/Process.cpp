#include "shell/Process.h"

#include "base/Problem.h"
#include "shell/ConnectionMetrics.h"
#include "shell/DataFolder.h"
#include "shell/EventLoop.h"
#include "shell/HostProgram.h"
#include "shell/HttpClient.h"
#include "shell/HttpIntake.h"
#include "shell/HttpServer.h"
#include "shell/IntakeReport.h"
#include "shell/Logger.h"
#include "shell/Metrics.h"
#include "shell/PeerLinks.h"
#include "shell/SocketOptions.h"

#include <event2/event.h>

#include <sys/stat.h>

#include <csignal>
#include <deque>
#include <memory>

namespace pimento {

namespace {

/// Interval between checks of the settings file for changes.
constexpr Duration SettingsInterval = seconds(2);
/// Minimum tick interval: the system's timers have no finer resolution, and
/// each expiry has a cost.
constexpr Duration MinTickInterval = milliseconds(1);
/// Least time between an Exit effect and the exit.
constexpr Duration MinFlushTime = milliseconds(50);
constexpr Duration FlushCheckInterval = milliseconds(10);
/// Body limit of operators' requests, which carry small documents and queries.
constexpr std::size_t OperatorBodyBytes = 4U << 20U;
/// The same where operators send queries only.
constexpr std::size_t QueryBodyBytes = 64U << 10U;
constexpr std::size_t OperatorConnections = 256;
/// Least time between two log lines about requests refused for memory.
constexpr Duration IntakeLogInterval = seconds(1);

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

class Process {
public:
  Process(const Settings &S, DataFolder &Folder,
          IncarnationNumber OwnIncarnation, HostProgram TheProgram);
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  bool listen();
  int run();

  // Each overload executes one type of effect.
  void operator()(const SendPeer &E) { Links.send(E.To, E.Content); }
  void operator()(const calls::SendReply &E);
  void operator()(const calls::StartStream &E);
  void operator()(const calls::StreamBytes &E);
  void operator()(const calls::EndStream &E);
  void operator()(const calls::CloseExchange &E);
  void operator()(const calls::OpenUpstream &E);
  void operator()(const calls::AbortUpstream &E) { Client.abort(E.Upstream); }
  void operator()(const calls::PauseUpstream &E);
  void operator()(const WriteDisk &E);
  void operator()(const LogDecision &E) { Log.write(LogLevel::Info, E.Record); }
  void operator()(const RecordSample &E) { MetricsStore.record(E.Sample); }
  void operator()(const StoreServers &E);
  void operator()(const StopAcceptingCallers &) {
    CallerServer.stopListening();
  }
  void operator()(const Exit &E);

private:
  HttpServerHooks serverHooks(bool ForOperators);
  HttpServerHooks metricsServerHooks();
  HttpClientHooks clientHooks();
  PeerLinksHooks linkHooks();
  HttpServerLimits callerLimits() const;
  HttpServerLimits operatorLimits() const;
  HttpServerLimits metricsLimits() const;

  HttpServer &serverOf(ExchangeId Id) {
    return OperatorServer.holds(Id) ? OperatorServer : CallerServer;
  }
  void dispatch(Event E);
  void eventFailed(const Event &E, const char *Detail);
  void exitWhenWritten();
  void handle(const Event &E);
  void tick();
  void scheduleTick();
  void reload();
  void watchSettings();
  void syncWrites();
  void recordGauges();
  void logIntake();
  bool serveMetrics(HttpServer &Server, ExchangeId Id,
                    const HttpRequest &Request);
  static void onSignal(evutil_socket_t, short, void *Self);
  static void onHangup(evutil_socket_t, short, void *Self);

  Settings Config;
  EventBasePtr Base;
  Logger Log;
  Metrics MetricsStore;
  std::uint64_t NextExchange = 1;
  IncarnationNumber Incarnation;
  DataFolder &Data;
  /// Disk writes to be synced as one batch in the next loop iteration.
  std::vector<DiskWrite> PendingWrites;
  HostProgram Program;
  HttpIntake Intake; // Memory of the three servers' connections.
  HttpServer CallerServer;
  HttpServer OperatorServer;
  HttpServer MetricsServer; // Serves /metrics only.
  HttpClient Client;
  PeerLinks Links;
  Timer TickTimer;
  Timer SyncTimer;
  EventPtr Terminate;
  EventPtr Interrupt;
  EventPtr Hangup;
  Timer SettingsTimer;
  timespec SettingsChanged{};   // Modification time of the settings file at the
                                // last read.
  std::deque<Event> EventQueue; // Events raised while another is being handled.
  bool Dispatching = false;
  int ExitStatus = 0;
  Timer ExitTimer;    // Set after an Exit effect.
  TimePoint ExitBy{}; // The process then exits although replies are unwritten.
  bool IsCutShort = false;     // It did so.
  TimePoint TickDue{};         // Expiry of TickTimer; the epoch: not set.
  IntakeCounters LoggedIntake; // As in the last log line about them.
  TimePoint IntakeLogged{};    // Time of that line.
};

timespec changeTime(const std::string &Path) {
  struct stat Status {};
  if (Path.empty() || stat(Path.c_str(), &Status) != 0)
    return {};
  return Status.st_mtim;
}

Process::Process(const Settings &S, DataFolder &Folder,
                 IncarnationNumber OwnIncarnation, HostProgram TheProgram)
    : Config(S), Base(makeEventBase()), Log(S.Log, S.Host.Name),
      Incarnation(OwnIncarnation), Data(Folder), Program(std::move(TheProgram)),
      Intake(bufferBytes(Config.Limits), Program.HeldBytes),
      CallerServer(Base.get(), callerLimits(), serverHooks(false), NextExchange,
                   &Intake),
      OperatorServer(Base.get(), operatorLimits(), serverHooks(true),
                     NextExchange, &Intake),
      MetricsServer(Base.get(), metricsLimits(), metricsServerHooks(),
                    NextExchange, &Intake),
      Client(Base.get(), clientHooks(), S.Host.SourceAddress),
      Links(Base.get(), Program.Self, Incarnation, S.Security.PeerToken,
            S.Peers, linkHooks()),
      TickTimer(Base.get(), [this] { tick(); }),
      SyncTimer(Base.get(), [this] { syncWrites(); }),
      Terminate(evsignal_new(Base.get(), SIGTERM, &Process::onSignal, this)),
      Interrupt(evsignal_new(Base.get(), SIGINT, &Process::onSignal, this)),
      Hangup(evsignal_new(Base.get(), SIGHUP, &Process::onHangup, this)),
      SettingsTimer(Base.get(), [this] { watchSettings(); }),
      SettingsChanged(changeTime(Program.SettingsFile)),
      ExitTimer(Base.get(), [this] { exitWhenWritten(); }) {
  event_add(Terminate.get(), nullptr);
  event_add(Interrupt.get(), nullptr);
  event_add(Hangup.get(), nullptr);
  if (!Program.SettingsFile.empty())
    SettingsTimer.start(SettingsInterval);
  if (!Program.SitePort.empty())
    Links.acceptAnyHost(Program.SitePort);
}

HttpServerLimits Process::callerLimits() const {
  HttpServerLimits L;
  L.BodyBytes = Config.Limits.BodyBytes;
  L.HeaderBytes = Config.Limits.HeaderBytes;
  L.Connections = Config.Limits.Connections;
  L.ReadTimeout = Config.Limits.ReadTimeout;
  L.IsReservedField = Program.IsReservedField;
  return L;
}

HttpServerLimits Process::operatorLimits() const {
  HttpServerLimits L = callerLimits();
  bool IsEntry = Config.Join.Role == "entry";
  L.BodyBytes = IsEntry ? QueryBodyBytes : OperatorBodyBytes;
  L.Connections = OperatorConnections;
  return L;
}

HttpServerLimits Process::metricsLimits() const {
  HttpServerLimits L = operatorLimits();
  L.BodyBytes = QueryBodyBytes;
  return L;
}

HttpServerHooks Process::serverHooks(bool ForOperators) {
  HttpServerHooks Hooks;
  if (ForOperators) {
    Hooks.Request = [this](ExchangeId Id, HttpRequest Request) {
      if (!serveMetrics(OperatorServer, Id, Request))
        dispatch(OperatorRequest{Id, std::move(Request)});
    };
  } else {
    Hooks.Request = [this](ExchangeId Id, HttpRequest Request) {
      dispatch(CallerRequest{Id, std::move(Request), CallerServer.heldBytes()});
    };
  }
  Hooks.Left = [this](ExchangeId Id, ConnectionEnd How) {
    dispatch(ExchangeLeft{Id, How});
  };
  Hooks.Ended = countEnds(MetricsStore, ForOperators ? "operator" : "caller");
  Hooks.Drained = [this](ExchangeId Id, std::size_t Pending) {
    dispatch(ExchangeDrained{Id, Pending});
  };
  Hooks.Refused = [this](Code Number) {
    MetricsStore.record({SampleKind::Counter, "pimento_unread_requests_total",
                         std::string("code=\"") + toString(Number) + "\"", 1});
  };
  return Hooks;
}

/// Hooks of the metrics server: any request but GET /metrics gets NotFound.
HttpServerHooks Process::metricsServerHooks() {
  HttpServerHooks Hooks;
  Hooks.Request = [this](ExchangeId Id, const HttpRequest &Request) {
    if (serveMetrics(MetricsServer, Id, Request))
      return;
    MetricsServer.reply(Id, problemReply({Code::NotFound, "", {}, {}}));
  };
  Hooks.Left = [](ExchangeId, ConnectionEnd) {};
  Hooks.Ended = countEnds(MetricsStore, "metrics");
  Hooks.Drained = [](ExchangeId, std::size_t) {};
  Hooks.Refused = [](Code) {};
  return Hooks;
}

HttpClientHooks Process::clientHooks() {
  HttpClientHooks Hooks;
  Hooks.Sent = [this](UpstreamId Id, bool IsKept) {
    dispatch(UpstreamSent{Id, IsKept});
  };
  Hooks.Head = [this](UpstreamId Id, int Status,
                      std::vector<HttpHeader> Headers) {
    dispatch(UpstreamHead{Id, Status, std::move(Headers)});
  };
  Hooks.Data = [this](UpstreamId Id, std::string Bytes) {
    dispatch(UpstreamData{Id, std::move(Bytes)});
  };
  Hooks.End = [this](UpstreamId Id, bool Delimited) {
    dispatch(UpstreamEnd{Id, Delimited});
  };
  Hooks.Failed = [this](UpstreamId Id, UpstreamFailure Why) {
    dispatch(UpstreamFailed{Id, std::move(Why)});
  };
  Hooks.Ended = countEnds(MetricsStore, "server");
  return Hooks;
}

PeerLinksHooks Process::linkHooks() {
  PeerLinksHooks Hooks;
  Hooks.Received = [this](const HostId &From, IncarnationNumber PeerIncarnation,
                          Message Content) {
    dispatch(PeerMessage{From, PeerIncarnation, std::move(Content)});
  };
  Hooks.Lost = [this](const HostId &Host, LinkLane Lane) {
    if (Lane == LinkLane::Site)
      dispatch(PeerLost{Host});
    else
      dispatch(RelayLinkLost{Host});
  };
  Hooks.Ended = countEnds(MetricsStore, "peer");
  Hooks.IsRelaying = Program.IsRelaying;
  Hooks.Refused = [this](Code Number, std::string Detail) {
    DecisionRecord Record;
    Record.Kind = "link_refused";
    Record.Reason = std::move(Detail);
    Record.add("code", static_cast<std::int64_t>(Number));
    Log.write(LogLevel::Warning, Record);
  };
  return Hooks;
}

bool Process::listen() {
  const HostSettings &H = Config.Host;
  struct Port {
    const char *Key;
    const std::string &Address;
    bool Bound;
  };
  const Port Ports[] = {
      {"peer_address", H.PeerAddress, Links.listen(H.PeerAddress)},
      {"operator_address", H.OperatorAddress,
       OperatorServer.listen(H.OperatorAddress)},
      {"caller_address", H.CallerAddress, CallerServer.listen(H.CallerAddress)},
  };
  bool AllBound = true;
  if (!H.MetricsAddress.empty() && !MetricsServer.listen(H.MetricsAddress))
    Log.write(LogLevel::Warning, "metrics_not_served",
              "cannot listen on " + H.MetricsAddress);
  if (!canConnectFrom(H.SourceAddress)) {
    AllBound = false;
    Log.write(LogLevel::Error, "start_failed",
              "cannot connect from [host] source_address " + H.SourceAddress);
  }
  for (const Port &P : Ports) {
    if (P.Bound)
      continue;
    AllBound = false;
    Log.write(LogLevel::Error, "start_failed",
              std::string("cannot listen on [host] ") + P.Key + " " +
                  P.Address);
  }
  return AllBound;
}

int Process::run() {
  DecisionRecord Record;
  Record.Kind = "start";
  Record.add("life", static_cast<std::int64_t>(Incarnation));
  Log.write(LogLevel::Info, Record);
  tick();
  event_base_dispatch(Base.get());
  DecisionRecord Last;
  Last.Kind = "stop";
  Last.add("status", static_cast<std::int64_t>(ExitStatus));
  Last.add("replies_unwritten", IsCutShort);
  Log.write(LogLevel::Info, Last);
  return ExitStatus;
}

/// Answers GET /metrics; returns false for other requests. The process answers
/// it itself, because metrics are not part of the node's state.
bool Process::serveMetrics(HttpServer &Server, ExchangeId Id,
                           const HttpRequest &Request) {
  if (Request.Path != "/metrics" || Request.Method != HttpMethod::Get)
    return false;
  recordGauges();
  HttpReply Reply;
  Reply.Headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Reply.Body = MetricsStore.text();
  Server.reply(Id, Reply);
  return true;
}

/// Handles an event and executes its effects. Effects may raise further events
/// synchronously; those are queued until all earlier effects have been
/// executed.
void Process::dispatch(Event E) {
  EventQueue.push_back(std::move(E));
  if (Dispatching)
    return;
  Dispatching = true;
  while (!EventQueue.empty()) {
    Event Next = std::move(EventQueue.front());
    EventQueue.pop_front();
    handle(Next);
  }
  Dispatching = false;
  scheduleTick();
  Log.flush();
}

void Process::handle(const Event &E) {
  Effects Out;
  try {
    Out = Program.Reduce(E, Program.Now());
  } catch (const std::exception &Error) {
    eventFailed(E, Error.what());
    return;
  }
  for (const Effect &Effect : Out)
    std::visit(*this, Effect);
}

/// Handles an unexpected error of the reducer: the host goes on without the
/// event. A host with a replicated log ends, unless the event is a call from
/// outside, since its state in memory may differ from its disk; its next start
/// reads the disk.
void Process::eventFailed(const Event &E, const char *Detail) {
  Log.write(LogLevel::Error, "event_failed", Detail);
  MetricsStore.record(
      {SampleKind::Counter, "pimento_events_failed_total", "", 1});
  bool IsCall = std::holds_alternative<CallerRequest>(E) ||
                std::holds_alternative<OperatorRequest>(E);
  if (Data.Store && !IsCall)
    (*this)(Exit{1});
}

void Process::tick() {
  TickDue = TimePoint();
  logIntake();
  dispatch(Tick{CallerServer.heldBytes()});
}

void Process::scheduleTick() {
  TimePoint Now = Program.Now();
  TimePoint Next = std::max(Program.NextTick(Now), Now + MinTickInterval);
  if (TickDue != TimePoint() && TickDue <= Next && TickDue > Now)
    return;
  TickDue = Next;
  TickTimer.start(Next - Now);
}

/// Reloads the settings file. If it cannot be used, the old settings stay in
/// force.
void Process::reload() {
  SettingsChanged = changeTime(Program.SettingsFile);
  Settings Next;
  std::vector<SettingProblem> Problems;
  if (!loadSettings(Program.SettingsFile, Next, Problems)) {
    DecisionRecord Record;
    Record.Kind = "reload_refused";
    Record.Reason = formatProblem(Problems.front());
    Record.add("problems", static_cast<std::int64_t>(Problems.size()));
    Log.write(LogLevel::Warning, Record);
    Log.flush();
    return;
  }
  Log.write(LogLevel::Info, "reload", "the settings were read again");
  Config = Next;
  Intake.Account.LimitBytes = bufferBytes(Config.Limits);
  dispatch(SettingsRead{std::move(Next)});
}

/// Polls the settings file, which may change without a SIGHUP.
void Process::watchSettings() {
  SettingsTimer.start(SettingsInterval);
  timespec Seen = changeTime(Program.SettingsFile);
  bool Same = Seen.tv_sec == SettingsChanged.tv_sec &&
              Seen.tv_nsec == SettingsChanged.tv_nsec;
  if (!Same && Seen.tv_sec != 0)
    reload();
}

void Process::onHangup(evutil_socket_t, short, void *Self) {
  auto &Host = *static_cast<Process *>(Self);
  if (Host.Program.SettingsFile.empty())
    Host.Log.write(LogLevel::Warning, "reload_refused",
                   "this host reads its settings only at startup");
  else
    Host.reload();
}

/// Logs what was refused for want of memory since the last line about it.
void Process::logIntake() {
  TimePoint Now = steadyNow();
  if (refusals(Intake.Counters) == refusals(LoggedIntake) ||
      Now < IntakeLogged + IntakeLogInterval)
    return;
  Log.write(LogLevel::Warning, intakeRecord(Intake, LoggedIntake));
  LoggedIntake = Intake.Counters;
  IntakeLogged = Now;
}

void Process::recordGauges() {
  for (const MetricSample &Sample : Program.Gauges(Program.Now()))
    MetricsStore.record(Sample);
  for (const MetricSample &Sample : intakeGauges(Intake))
    MetricsStore.record(Sample);
  for (const MetricSample &Sample :
       connectionGauges(CallerServer, Client, Links.counters()))
    MetricsStore.record(Sample);
  MetricsStore.record({SampleKind::Gauge, "pimento_log_lines_dropped", "",
                       static_cast<double>(Log.linesDropped())});
}

void Process::onSignal(evutil_socket_t, short, void *Self) {
  static_cast<Process *>(Self)->dispatch(StopRequested());
}

void Process::operator()(const calls::SendReply &E) {
  serverOf(E.Exchange).reply(E.Exchange, E.Reply);
}

void Process::operator()(const calls::StartStream &E) {
  serverOf(E.Exchange).startStream(E.Exchange, E.Head.Status, E.Head.Headers);
}

void Process::operator()(const calls::StreamBytes &E) {
  serverOf(E.Exchange).sendChunk(E.Exchange, E.Bytes);
}

void Process::operator()(const calls::EndStream &E) {
  if (E.IsComplete)
    serverOf(E.Exchange).endStream(E.Exchange);
  else
    serverOf(E.Exchange).breakStream(E.Exchange);
}

void Process::operator()(const calls::CloseExchange &E) {
  serverOf(E.Exchange).abort(E.Exchange);
}

void Process::operator()(const calls::PauseUpstream &E) {
  if (E.Paused)
    Client.pause(E.Upstream);
  else
    Client.resume(E.Upstream);
}

/// A process that was suspended may resume with requests whose send permit has
/// expired; they fail without being sent.
void Process::operator()(const calls::OpenUpstream &E) {
  if (!E.SendBy || Program.Now() <= *E.SendBy) {
    Client.open(E.Upstream, E.Request);
    return;
  }
  UpstreamFailure Why;
  Why.BytesSent = false;
  Why.TimedOut = true;
  Why.IsLocal = true;
  Why.Detail = "the send permit expired";
  dispatch(UpstreamFailed{E.Upstream, Why});
}

void Process::operator()(const WriteDisk &E) {
  PendingWrites.push_back(E.Write);
  if (!SyncTimer.pending())
    SyncTimer.start(Duration::zero());
}

/// Writes and syncs all records queued since the last sync as one batch. This
/// blocks the event loop, which is the cost of a single thread; only hosts with
/// a disk pay it.
void Process::syncWrites() {
  std::vector<DiskWrite> Batch = std::move(PendingWrites);
  PendingWrites.clear();
  auto Before = steadyNow();
  Failure Why;
  bool Synced = valueOr<bool>(
      [&]() -> Result<bool> {
        auto Done = writeBatch(*Data.Store, Batch);
        if (!Done)
          return Done.error();
        return true;
      },
      false, Why);
  MetricsStore.record({SampleKind::Distribution, "pimento_disk_sync_seconds",
                       "", toSeconds(steadyNow() - Before)});
  if (!Synced) {
    Log.write(LogLevel::Error, "disk_failed", Why.Detail);
    dispatch(DiskFailed{Why.Number, Why.Detail});
    return;
  }
  for (const DiskWrite &Write : Batch)
    dispatch(DiskWritten{Write.Group, Write.Ticket});
}

void Process::operator()(const StoreServers &E) {
  std::string Problem = saveServers(Data, E.Bytes);
  if (!Problem.empty())
    Log.write(LogLevel::Warning, "servers_not_kept", Problem);
}

void Process::operator()(const Exit &E) {
  ExitStatus = std::max(ExitStatus, E.Status);
  if (ExitTimer.pending())
    return;
  ExitBy = steadyNow() + E.FlushTime;
  ExitTimer.start(MinFlushTime);
}

/// Ends the event loop once callers have all replies, also to the requests that
/// are still being read.
void Process::exitWhenWritten() {
  bool IsBusy = CallerServer.isBusy() || OperatorServer.isBusy();
  if (IsBusy && steadyNow() < ExitBy) {
    ExitTimer.start(FlushCheckInterval);
    return;
  }
  IsCutShort = IsBusy;
  event_base_loopexit(Base.get(), nullptr);
}

} // namespace

int runProgram(const Settings &S, DataFolder &Folder,
               IncarnationNumber Incarnation, HostProgram Program) {
  Process Host(S, Folder, Incarnation, std::move(Program));
  if (!Host.listen())
    return 1;
  return Host.run();
}

} // namespace pimento
