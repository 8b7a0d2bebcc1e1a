#include "fakes/LedgerServer.h"

#include "base/Token.h"
#include "fakes/Http.h"
#include "fakes/Journal.h"

#include <event2/bufferevent.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <list>
#include <map>
#include <utility>

namespace pimento::fakes {

namespace {

/// One answer, with the request id that it is sent for.
struct LedgerAnswer {
  int Status = 200;
  std::string RequestId;
  Json Body;
  bool NotRun = false;
};

/// State of a caller's connection.
struct ConnectionInfo {
  std::uint64_t Number = 0; // Unique, unlike the address.
  std::uint64_t Calls = 0;
};

/// Shortest time from the first SIGTERM or SIGINT to the exit, unless a second
/// signal ends the loop at once. It leaves time for the announcement that says
/// the server is leaving, so that callers can learn of the shutdown.
constexpr Duration ShortestDrain = seconds(1);
/// How long a half-open connection is kept.
constexpr Duration HalfOpenLimit = minutes(1);
/// Time to flush the last answers before the exit.
constexpr Duration FlushTime = milliseconds(200);

const char *methodName(evhttp_cmd_type Method) {
  switch (Method) {
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  default:
    return "GET";
  }
}

} // namespace

struct LedgerServer {
  event_base *Base = nullptr;
  LedgerOptions Options;
  LedgerSwitches Switches;
  std::uint64_t Incarnation = 0;
  Journal CallJournal;
  std::uint64_t Runs = 0;       // Lines appended by this process.
  std::uint64_t InProgress = 0; // Calls not answered yet.
  bool Draining = false;
  bool MinDrainPassed = false;            // ShortestDrain has passed.
  LedgerAnswer Previous;                  // Repeated by a crossed answer.
  std::list<evhttp_request *> Unanswered; // Held by the switch silent.
  std::map<evhttp_connection *, ConnectionInfo> Connections;
  std::uint64_t LastConnection = 0;
  std::unique_ptr<Delays> DelayedCalls;
  Listener HttpListener; // Declared after all members that its callbacks use.
  /// Declared last, so that it is destroyed first.
  std::unique_ptr<Announcer> BackendAnnouncer;
};

namespace {

bool leaving(const LedgerServer &S) { return S.Draining || S.Switches.Leaving; }

Json announcement(const LedgerServer &S) {
  if (S.Switches.StopAnnouncing)
    return nullptr;
  return {{"id", S.Options.Id},
          {"incarnation", S.Incarnation},
          {"address", S.HttpListener.Address},
          {"kind", "plain"},
          {"data_centre", S.Options.DataCentre},
          {"service", S.Options.Service},
          {"leaving", leaving(S)}};
}

void stopWhenIdle(LedgerServer &S) {
  if (!S.Draining || !S.MinDrainPassed || S.InProgress > 0)
    return;
  S.DelayedCalls->after(FlushTime, [&S] { event_base_loopbreak(S.Base); });
}

void finishCall(LedgerServer &S) {
  --S.InProgress;
  stopWhenIdle(S);
}

// --- Connections that turn half-open ---------------------------------------

void onClose(evhttp_connection *Connection, void *Arg) {
  auto &S = *static_cast<LedgerServer *>(Arg);
  S.Connections.erase(Connection);
  // Unanswered requests of this connection must be freed here.
  for (auto It = S.Unanswered.begin(); It != S.Unanswered.end();) {
    if (evhttp_request_get_connection(*It)) {
      ++It;
      continue;
    }
    evhttp_request_free(*It);
    It = S.Unanswered.erase(It);
  }
}

/// Whether the connection still exists and has been idle since \p Was.
bool stillIdle(const LedgerServer &S, evhttp_connection *Connection,
               const ConnectionInfo &Was) {
  auto Now = S.Connections.find(Connection);
  return Now != S.Connections.end() && Now->second.Number == Was.Number &&
         Now->second.Calls == Was.Calls;
}

void turnHalfOpen(LedgerServer &S, evhttp_connection *Connection) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  if (S.Switches.Idle == HalfOpen::Fin)
    shutdown(bufferevent_getfd(Stream), SHUT_WR);
  bufferevent_disable(Stream, EV_READ);
  // With reading disabled, a close by the caller is not detected. The server
  // therefore frees the connection itself after HalfOpenLimit.
  S.DelayedCalls->after(HalfOpenLimit,
                        [&S, Connection, Was = S.Connections.at(Connection)] {
                          if (stillIdle(S, Connection, Was))
                            evhttp_connection_free(Connection);
                        });
}

void watchIdle(LedgerServer &S, evhttp_connection *Connection) {
  auto It = S.Connections.find(Connection);
  if (S.Switches.Idle == HalfOpen::Off || It == S.Connections.end())
    return;
  S.DelayedCalls->after(S.Switches.HalfOpenAfter,
                        [&S, Connection, Was = It->second] {
                          if (stillIdle(S, Connection, Was))
                            turnHalfOpen(S, Connection);
                        });
}

void onAnswered(evhttp_request *Req, void *Arg) {
  auto &S = *static_cast<LedgerServer *>(Arg);
  if (evhttp_connection *Connection = evhttp_request_get_connection(Req))
    watchIdle(S, Connection);
}

void noteConnection(LedgerServer &S, evhttp_request *Req) {
  evhttp_connection *Connection = evhttp_request_get_connection(Req);
  watchForClose(Req, onClose, &S);
  ConnectionInfo &Info = S.Connections[Connection];
  if (Info.Number == 0)
    Info.Number = ++S.LastConnection;
  ++Info.Calls;
}

// --- Answers ----------------------------------------------------------------

std::vector<Header> headersOf(const LedgerAnswer &Answer) {
  std::vector<Header> Headers;
  if (!Answer.RequestId.empty())
    Headers.push_back({"X-Request-Id", Answer.RequestId});
  if (Answer.NotRun)
    Headers.push_back({"X-Not-Run", "1"});
  return Headers;
}

/// Sends the first \p Bytes of the answer and closes the connection.
void sendCut(evhttp_request *Req, const LedgerAnswer &Answer,
             std::size_t Bytes) {
  std::string Body = Answer.Body.dump();
  std::string Raw = "HTTP/1.1 " + std::to_string(Answer.Status) + " OK\r\n";
  for (const Header &H : headersOf(Answer))
    Raw += std::string(H.Name) + ": " + H.Value + "\r\n";
  Raw += "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
  if (evhttp_connection *Connection = evhttp_request_get_connection(Req)) {
    bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
    (void)send(bufferevent_getfd(Stream), Raw.data(),
               std::min(Bytes, Raw.size()), MSG_NOSIGNAL);
  }
  cutConnection(Req);
}

void answer(LedgerServer &S, evhttp_request *Req, LedgerAnswer Answer) {
  LedgerAnswer Own = Answer;
  if (S.Switches.Crossed && !S.Previous.RequestId.empty())
    Answer = S.Previous;
  else if (S.Switches.Crossed)
    Answer.RequestId = std::string(32, '0');
  S.Previous = std::move(Own);
  std::int64_t Cut = S.Switches.CutAfterBytes;
  if (failsCalls(S.Switches))
    countFailure(S.Switches);
  if (Cut >= 0) {
    if (evhttp_connection *Connection = evhttp_request_get_connection(Req))
      S.Connections.erase(Connection);
    sendCut(Req, Answer, static_cast<std::size_t>(Cut));
  } else {
    evhttp_request_set_on_complete_cb(Req, onAnswered, &S);
    replyJson(Req, Answer.Status, Answer.Body, headersOf(Answer));
  }
  finishCall(S);
}

void stayUnanswered(LedgerServer &S, evhttp_request *Req) {
  countFailure(S.Switches);
  if (evhttp_request_get_connection(Req))
    S.Unanswered.push_back(Req);
  else
    evhttp_request_free(Req);
  finishCall(S);
}

// --- Calls ------------------------------------------------------------------

bool isLookup(evhttp_request *Req) {
  evhttp_cmd_type Method = evhttp_request_get_command(Req);
  return Method == EVHTTP_REQ_GET || Method == EVHTTP_REQ_HEAD;
}

JournalEntry entryOf(evhttp_request *Req) {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  JournalEntry Entry;
  Entry.Key = headerOf(Req, "Idempotency-Key");
  Entry.Account = headerOf(Req, "X-Client-Account");
  Entry.Path = pathOf(Req);
  Entry.BodySha256 = sha256Hex(bodyOf(Req));
  Entry.AtMs = toMilliseconds(SinceEpoch);
  return Entry;
}

void refuse(LedgerServer &S, evhttp_request *Req, const char *Reason) {
  LedgerAnswer Answer;
  Answer.Status = 503;
  Answer.RequestId = headerOf(Req, "X-Request-Id");
  Answer.NotRun = true;
  Answer.Body = {{"reason", Reason}};
  answer(S, Req, std::move(Answer));
}

LedgerAnswer lookUp(evhttp_request *Req) {
  LedgerAnswer Answer;
  std::string Path = pathOf(Req);
  Answer.RequestId = headerOf(Req, "X-Request-Id");
  Answer.Body = {{"path", Path}, {"value", sha256Hex(Path)}};
  return Answer;
}

void run(LedgerServer &S, evhttp_request *Req) {
  JournalEntry Entry = entryOf(Req);
  if (!S.CallJournal.append(Entry)) {
    // The call may or may not be on disk, so no answer would be correct.
    std::fputs("can't write the journal\n", stderr);
    _exit(1);
  }
  if (S.Switches.DieAfterRun)
    _exit(1);
  LedgerAnswer Answer;
  Answer.Status = S.Switches.ErrorAfterRun ? 500 : 200;
  Answer.RequestId = headerOf(Req, "X-Request-Id");
  Answer.Body = {{"ran", true},
                 {"method", methodName(evhttp_request_get_command(Req))},
                 {"key", Entry.Key},
                 {"account", Entry.Account},
                 {"path", Entry.Path},
                 {"body_sha256", Entry.BodySha256},
                 {"number", ++S.Runs},
                 {"ledger", S.Options.Id}};
  S.DelayedCalls->after(S.Switches.Slow, [&S, Req, Answer = std::move(Answer)] {
    if (S.Switches.Silent)
      stayUnanswered(S, Req);
    else
      answer(S, Req, Answer);
  });
}

void serve(LedgerServer &S, evhttp_request *Req) {
  if (S.Switches.Refuse)
    refuse(S, Req, "refused");
  else if (leaving(S))
    refuse(S, Req, "leaving");
  else if (!isLookup(Req))
    run(S, Req);
  else if (S.Switches.Silent)
    stayUnanswered(S, Req);
  else
    answer(S, Req, lookUp(Req));
}

// --- Switches ---------------------------------------------------------------

void serveSwitches(LedgerServer &S, evhttp_request *Req) {
  if (isLookup(Req)) {
    replyJson(Req, 200, toJson(S.Switches));
    return;
  }
  Failure Why;
  Json Body = valueOr<Json>(
      [&] { return parseJson(bodyOf(Req), JsonLimits()); }, Json(), Why);
  bool WasLeaving = leaving(S);
  std::string Problem = setSwitches(Body, S.Switches);
  if (!Problem.empty()) {
    replyJson(Req, 400, {{"error", Problem}});
    return;
  }
  replyJson(Req, 200, toJson(S.Switches));
  if (leaving(S) != WasLeaving)
    S.BackendAnnouncer->announce();
}

void onRequest(evhttp_request *Req, void *Arg) {
  auto &S = *static_cast<LedgerServer *>(Arg);
  noteConnection(S, Req);
  if (pathOf(Req) == "/fake/switches") {
    serveSwitches(S, Req);
    return;
  }
  ++S.InProgress;
  if (S.Switches.SlowStart == Duration::zero())
    serve(S, Req);
  else
    S.DelayedCalls->after(S.Switches.SlowStart, [&S, Req] { serve(S, Req); });
}

} // namespace

void LedgerDeleter::operator()(LedgerServer *Server) const { delete Server; }

LedgerPtr startLedger(event_base *Base, const LedgerOptions &Options,
                      std::string &Error) {
  LedgerPtr S(new LedgerServer);
  S->Base = Base;
  S->Options = Options;
  S->Switches = Options.Switches;
  S->Incarnation = newIncarnation();
  S->DelayedCalls = std::make_unique<Delays>(Base);
  if (!S->CallJournal.open(Options.JournalPath)) {
    Error = "can't open the journal " + Options.JournalPath;
    return nullptr;
  }
  S->HttpListener = listenHttp(Base, Options.Listen, onRequest, S.get());
  if (!S->HttpListener.Http) {
    Error = "can't listen on " + Options.Listen;
    return nullptr;
  }
  S->BackendAnnouncer = std::make_unique<Announcer>(
      Base, Options.Announce, [Raw = S.get()] { return announcement(*Raw); });
  S->BackendAnnouncer->announce();
  return S;
}

const std::string &address(const LedgerServer &Server) {
  return Server.HttpListener.Address;
}

std::uint64_t incarnation(const LedgerServer &Server) {
  return Server.Incarnation;
}

void drain(LedgerServer &S) {
  if (S.Draining)
    return;
  S.Draining = true;
  S.BackendAnnouncer->announce();
  S.DelayedCalls->after(ShortestDrain, [&S] {
    S.MinDrainPassed = true;
    stopWhenIdle(S);
  });
}

} // namespace pimento::fakes
