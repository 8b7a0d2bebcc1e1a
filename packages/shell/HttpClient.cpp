#include "shell/HttpClient.h"

#include "shell/AnswerParser.h"
#include "shell/SocketOptions.h"
#include "shell/SocketState.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <netinet/in.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <unordered_map>
#include <vector>

namespace pimento {

namespace {

/// Maximum idle time of a pooled connection, and the fraction used of an idle
/// timeout that the server announces. The shorter time applies.
constexpr Duration DefaultIdleTime = seconds(4);
constexpr double IdleTimeFraction = 0.6;
constexpr std::size_t MaxIdlePerAddress = 8;
/// Bytes of interim answers and answers to other requests that are skipped
/// while an answer is awaited. More may have no end.
constexpr std::size_t MaxSkippedBytes = 1U << 20U;
constexpr Duration SweepInterval = seconds(2);

Duration steadyNow() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

/// Idle time for a pooled connection, from the whole seconds after "timeout="
/// in a Keep-Alive header.
Duration idleTimeFrom(const std::vector<HttpHeader> &Headers) {
  std::string_view Value = headerValue(Headers, "Keep-Alive");
  constexpr std::string_view Field = "timeout=";
  std::size_t At = Value.find(Field);
  if (At == std::string_view::npos)
    return DefaultIdleTime;
  Value.remove_prefix(At + Field.size());
  std::uint32_t Seconds = 0;
  std::from_chars(Value.data(), Value.data() + Value.size(), Seconds);
  return std::min(DefaultIdleTime, fromSeconds(IdleTimeFraction * Seconds));
}

bool hasHeader(const std::vector<HttpHeader> &Headers, std::string_view Name) {
  auto Matches = [&](const HttpHeader &H) {
    return sameHeaderName(H.Name, Name);
  };
  return std::any_of(Headers.begin(), Headers.end(), Matches);
}

/// Name of the pool of idle connections that a request uses. An answer without
/// an id could belong to any request on its connection.
std::string poolOf(const UpstreamRequest &R) {
  bool HasId = !R.EchoHeader.Value.empty();
  return R.Address + (HasId ? "" : " without id");
}

UpstreamFailure failure(const char *Detail) {
  UpstreamFailure Why;
  Why.Detail = Detail;
  return Why;
}

UpstreamFailure malformed(const char *Detail) {
  UpstreamFailure Why = failure(Detail);
  Why.Malformed = true;
  return Why;
}

void releaseBody(const void *, std::size_t, void *Owner) {
  delete static_cast<SharedText *>(Owner);
}

/// Adds a body to the output; the bytes of a long one are not copied.
void addBody(evbuffer *Output, const SharedText &Body) {
  constexpr std::size_t MinSharedBytes = 16U << 10U;
  if (Body.size() < MinSharedBytes) {
    evbuffer_add(Output, Body.data(), Body.size());
    return;
  }
  auto Owner = std::make_unique<SharedText>(Body);
  if (evbuffer_add_reference(Output, Body.data(), Body.size(), &releaseBody,
                             Owner.get()) == 0)
    static_cast<void>(Owner.release());
}

/// Whether the head can be written without a second meaning, whoever sent the
/// parts of it to this host.
bool isSendable(const UpstreamRequest &R) {
  constexpr std::string_view LineEnds("\r\n\0", 3);
  constexpr std::string_view NotInNames("\r\n\0 \t:", 6);
  constexpr std::string_view NotInTargets("\r\n\0 \t", 5);
  auto IsSendableField = [&](const HttpHeader &H) {
    return !H.Name.empty() &&
           H.Name.find_first_of(NotInNames) == std::string::npos &&
           H.Value.find_first_of(LineEnds) == std::string::npos;
  };
  return R.Target.find_first_of(NotInTargets) == std::string::npos &&
         std::all_of(R.Headers.begin(), R.Headers.end(), IsSendableField);
}

std::string formatHead(const UpstreamRequest &R) {
  std::string Text =
      std::string(toString(R.Method)) + " " + R.Target + " HTTP/1.1\r\n";
  if (!hasHeader(R.Headers, "Host"))
    Text += "Host: " + R.Address + "\r\n";
  for (const HttpHeader &Header : R.Headers)
    Text += Header.Name + ": " + Header.Value + "\r\n";
  if (!R.Body.empty() || R.Method != HttpMethod::Get)
    Text += "Content-Length: " + std::to_string(R.Body.size()) + "\r\n";
  return Text + "\r\n";
}

} // namespace

struct HttpClient::Impl {
  /// One connection, with at most one call at a time.
  struct Connection {
    Impl *Client = nullptr;
    std::string Address;
    std::string Pool; // Of idle connections; see poolOf().
    bufferevent *Stream = nullptr;
    std::size_t SkippedBytes = 0; // Of answers to other requests.
    bool Connected = false;
    bool HasEnded = false; // Its end was reported.
    bool Dead = false;     // To be freed by the reaper; callbacks ignore it.
    Duration IdleUntil = Duration::zero(); // Latest time for reuse while idle.

    UpstreamId Call{}; // Current call; zero: none.
    UpstreamRequest Request;
    std::unique_ptr<Timer> ConnectTimer;
    std::unique_ptr<AnswerParser> Parser;
    bool Sent = false;
    bool IsKept = false;     // Used for an earlier call.
    bool Answering = false;  // The head of the answer has come.
    bool Mismatched = false; // The answer being read belongs to another
                             // request, or is a 1xx answer.
    bool Reusable = false;
    Duration MaxIdleTime = DefaultIdleTime;

    ~Connection() {
      if (Stream != nullptr)
        bufferevent_free(Stream);
    }
  };

  event_base *Base;
  HttpClientHooks Hooks;
  std::string SourceIp; // Empty: the system chooses.
  HttpClientCounters Counters;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Connections;
  std::unordered_map<std::uint64_t, Connection *> Calls;
  std::unordered_map<std::string, std::deque<Connection *>> Idle;
  /// Number of open connections by address. Idle is by pool.
  std::unordered_map<std::string, std::uint32_t> OpenCounts;
  std::unique_ptr<Timer> Reaper;
  std::unique_ptr<Timer> Sweep;

  static void onRead(bufferevent *, void *Self);
  static void onEvent(bufferevent *, short What, void *Self);
  static void onSent(evbuffer *, const evbuffer_cb_info *Info, void *Self);

  Connection *takeIdle(const std::string &Pool);
  bool discardIdle(const std::string &Address);
  Connection *connect(const UpstreamRequest &Request);
  void start(Connection &C);
  void resetParser(Connection &C);
  void onHead(Connection &C, int Status, std::vector<HttpHeader> Headers);
  static bool endsAnswer(const Connection &C);
  void read(Connection &C);
  void complete(Connection &C);
  void fail(Connection &C, UpstreamFailure Why);
  void noteEnd(Connection &C, ConnectionEnd How);
  void keepIdle(Connection &C);
  void discard(Connection &C);
  void sweep();
};

/// Reports how a connection ended that had been made; its first end counts.
void HttpClient::Impl::noteEnd(Connection &C, ConnectionEnd How) {
  if (!C.Connected || C.HasEnded)
    return;
  C.HasEnded = true;
  ConnectionUse Use =
      C.Answering ? ConnectionUse::Answering : ConnectionUse::Waiting;
  if (Hooks.Ended)
    Hooks.Ended(How, C.Call == UpstreamId{} ? ConnectionUse::Idle : Use);
}

/// Closes a connection. A libevent callback of the connection may still be on
/// the stack, so the reaper timer frees it later.
void HttpClient::Impl::discard(Connection &C) {
  if (C.Dead)
    return;
  noteEnd(C, ConnectionEnd::Host);
  C.Dead = true;
  C.ConnectTimer.reset();
  bufferevent_disable(C.Stream, EV_READ | EV_WRITE);
  auto IdleList = Idle.find(C.Pool);
  if (IdleList != Idle.end()) {
    auto &List = IdleList->second;
    List.erase(std::remove(List.begin(), List.end(), &C), List.end());
    if (List.empty())
      Idle.erase(IdleList);
  }
  auto Count = OpenCounts.find(C.Address);
  if (--Count->second == 0)
    OpenCounts.erase(Count);
  Reaper->start(Duration::zero());
}

void HttpClient::Impl::fail(Connection &C, UpstreamFailure Why) {
  Why.BytesSent = C.Sent;
  Why.IsKept = C.IsKept;
  UpstreamId Id = C.Call;
  discard(C);
  if (Id == UpstreamId{})
    return;
  Calls.erase(static_cast<std::uint64_t>(Id));
  C.Call = UpstreamId{};
  Hooks.Failed(Id, std::move(Why));
}

void HttpClient::Impl::onSent(evbuffer *, const evbuffer_cb_info *Info,
                              void *Self) {
  auto &C = *static_cast<Connection *>(Self);
  if (Info->n_deleted == 0 || C.Sent || C.Dead || C.Call == UpstreamId{})
    return;
  C.Sent = true;
  C.Client->Hooks.Sent(C.Call, C.IsKept);
}

void HttpClient::Impl::onEvent(bufferevent *, short What, void *Self) {
  auto &C = *static_cast<Connection *>(Self);
  if (C.Dead)
    return;
  Impl &Client = *C.Client;
  if (What & BEV_EVENT_CONNECTED) {
    C.Connected = true;
    C.ConnectTimer->stop();
    setSocketOptions(bufferevent_getfd(C.Stream), ServerSilence);
    return;
  }
  bool IsError = (What & BEV_EVENT_ERROR) != 0;
  Client.noteEnd(C, IsError ? endOfError(EVUTIL_SOCKET_ERROR())
                            : ConnectionEnd::Close);
  if (C.Call == UpstreamId{}) {
    Client.discard(C);
    return;
  }
  Client.read(C);
  if (C.Dead || C.Call == UpstreamId{})
    return;
  constexpr short ReadToEnd = BEV_EVENT_READING | BEV_EVENT_EOF;
  bool Clean = (What & ReadToEnd) == ReadToEnd;
  if (Clean)
    C.Parser->end();
  bool IsCut = !C.Parser->delimited() && !Client.endsAnswer(C);
  if (Clean && C.Parser->done() && !C.Mismatched && !IsCut)
    Client.complete(C);
  else
    Client.fail(C,
                failure(C.Connected ? "connection closed" : "no connection"));
}

/// Whether the end of the connection may be that of an answer without a length.
/// A server that gives up a request before it has received all of it ends its
/// output as well, wherever in the answer it is, and resets the connection only
/// then.
bool HttpClient::Impl::endsAnswer(const Connection &C) {
  bool IsWritten = evbuffer_get_length(bufferevent_get_output(C.Stream)) == 0;
  return IsWritten && hasEndedInOrder(bufferevent_getfd(C.Stream));
}

void HttpClient::Impl::onRead(bufferevent *, void *Self) {
  auto &C = *static_cast<Connection *>(Self);
  if (C.Dead)
    return;
  if (C.Call == UpstreamId{})
    C.Client->discard(C); // Bytes without an open request belong to no call.
  else
    C.Client->read(C);
}

void HttpClient::Impl::read(Connection &C) {
  evbuffer *Input = bufferevent_get_input(C.Stream);
  while (!C.Dead && C.Call != UpstreamId{}) {
    std::size_t Size = evbuffer_get_contiguous_space(Input);
    if (Size == 0)
      return;
    const auto *Bytes =
        reinterpret_cast<const char *>(evbuffer_pullup(Input, Size));
    std::string Copy(Bytes, Size); // Hooks may free the buffer.
    std::size_t Used = C.Parser->feed(Copy);
    if (C.Dead || C.Call == UpstreamId{})
      return;
    evbuffer_drain(Input, Used);
    if (C.Parser->failed()) {
      fail(C, malformed("the HTTP answer is malformed"));
      return;
    }
    if (C.Mismatched)
      C.SkippedBytes += Used;
    if (C.SkippedBytes > MaxSkippedBytes) {
      fail(C, malformed("the bytes of other answers do not end"));
      return;
    }
    if (!C.Parser->done())
      continue;
    if (!C.Mismatched) {
      complete(C);
      return;
    }
    if (!C.Parser->keepsAlive()) {
      fail(C, failure("connection closed"));
      return;
    }
    resetParser(C);
  }
}

void HttpClient::Impl::onHead(Connection &C, int Status,
                              std::vector<HttpHeader> Headers) {
  constexpr int FirstFinalStatus = 200;
  const HttpHeader &Echo = C.Request.EchoHeader;
  std::string_view EchoValue = headerValue(Headers, Echo.Name);
  bool BelongsToOther =
      !Echo.Name.empty() && !EchoValue.empty() && EchoValue != Echo.Value;
  C.Mismatched = BelongsToOther || Status < FirstFinalStatus;
  if (BelongsToOther) {
    ++Counters.MismatchedAnswers;
    C.Reusable = false;
  }
  if (C.Mismatched)
    return;
  C.Answering = true;
  C.MaxIdleTime = idleTimeFrom(Headers);
  Hooks.Head(C.Call, Status, std::move(Headers));
}

void HttpClient::Impl::resetParser(Connection &C) {
  C.Mismatched = false;
  AnswerHooks Read;
  Read.Head = [this, &C](int Status, std::vector<HttpHeader> Headers) {
    onHead(C, Status, std::move(Headers));
  };
  Read.Body = [this, &C](std::string_view Bytes) {
    if (!C.Mismatched && !C.Dead && C.Call != UpstreamId{})
      Hooks.Data(C.Call, std::string(Bytes));
  };
  C.Parser = std::make_unique<AnswerParser>(std::move(Read));
}

void HttpClient::Impl::complete(Connection &C) {
  UpstreamId Id = C.Call;
  bool Delimited = C.Parser->delimited();
  evbuffer *Input = bufferevent_get_input(C.Stream);
  evbuffer *Output = bufferevent_get_output(C.Stream);
  bool Clean =
      evbuffer_get_length(Input) == 0 && evbuffer_get_length(Output) == 0;
  bool Keep = Delimited && Clean && C.Reusable && C.Parser->keepsAlive() &&
              C.MaxIdleTime > Duration::zero();
  if (!Keep)
    noteEnd(C, ConnectionEnd::Host);
  Calls.erase(static_cast<std::uint64_t>(Id));
  C.Call = UpstreamId{};
  if (Keep)
    keepIdle(C);
  else
    discard(C);
  Hooks.End(Id, Delimited);
}

/// Adds the connection to the idle pool.
void HttpClient::Impl::keepIdle(Connection &C) {
  C.IdleUntil = steadyNow() + C.MaxIdleTime;
  C.Request = UpstreamRequest();
  auto &List = Idle[C.Pool];
  List.push_back(&C);
  if (List.size() > MaxIdlePerAddress)
    discard(*List.front());
  if (!Sweep->pending())
    Sweep->start(SweepInterval);
}

void HttpClient::Impl::sweep() {
  Duration Now = steadyNow();
  std::vector<Connection *> Expired;
  for (auto &[Address, List] : Idle) {
    for (Connection *C : List) {
      if (C->IdleUntil < Now)
        Expired.push_back(C);
    }
  }
  for (Connection *C : Expired)
    discard(*C);
  if (!Idle.empty())
    Sweep->start(SweepInterval);
}

/// Takes the most recently used idle connection that may still be reused; null
/// if there is none.
HttpClient::Impl::Connection *
HttpClient::Impl::takeIdle(const std::string &Pool) {
  Duration Now = steadyNow();
  for (;;) {
    auto Found = Idle.find(Pool);
    if (Found == Idle.end())
      return nullptr;
    Connection *C = Found->second.back();
    bool Usable = C->IdleUntil > Now &&
                  evbuffer_get_length(bufferevent_get_input(C->Stream)) == 0;
    if (!Usable) {
      discard(*C);
      continue;
    }
    Found->second.pop_back();
    if (Found->second.empty())
      Idle.erase(Found);
    return C;
  }
}

/// Closes an idle connection to the address; returns false if there is none.
bool HttpClient::Impl::discardIdle(const std::string &Address) {
  for (auto &[Pool, List] : Idle) {
    if (List.front()->Address != Address)
      continue;
    discard(*List.front());
    return true;
  }
  return false;
}

HttpClient::Impl::Connection *
HttpClient::Impl::connect(const UpstreamRequest &Request) {
  sockaddr_storage Target{};
  int Size = sizeof(Target);
  if (evutil_parse_sockaddr_port(Request.Address.c_str(),
                                 reinterpret_cast<sockaddr *>(&Target),
                                 &Size) != 0)
    return nullptr;
  auto Owned = std::make_unique<Connection>();
  Connection &C = *Owned;
  C.Client = this;
  C.Address = Request.Address;
  C.Pool = poolOf(Request);
  evutil_socket_t Socket =
      SourceIp.empty() ? -1
                       : socketBoundTo(SourceIp); // -1: made on connecting.
  C.Stream = bufferevent_socket_new(Base, Socket, BEV_OPT_CLOSE_ON_FREE);
  Connections.emplace(&C, std::move(Owned));
  ++OpenCounts[C.Address];
  ++Counters.Opened;
  bufferevent_setcb(C.Stream, &Impl::onRead, nullptr, &Impl::onEvent, &C);
  evbuffer_add_cb(bufferevent_get_output(C.Stream), &Impl::onSent, &C);
  C.ConnectTimer = std::make_unique<Timer>(Base, [this, &C] {
    UpstreamFailure Why = failure("connect timeout");
    Why.TimedOut = true;
    fail(C, std::move(Why));
  });
  C.ConnectTimer->start(Request.ConnectTimeout);
  bufferevent_enable(C.Stream, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(
          C.Stream, reinterpret_cast<sockaddr *>(&Target), Size) != 0) {
    discard(C);
    return nullptr;
  }
  return &C;
}

void HttpClient::Impl::start(Connection &C) {
  C.Sent = false;
  C.Answering = false;
  C.SkippedBytes = 0;
  C.Reusable = true;
  resetParser(C);
  std::string Head = formatHead(C.Request);
  evbuffer *Output = bufferevent_get_output(C.Stream);
  evbuffer_add(Output, Head.data(), Head.size());
  addBody(Output, C.Request.Body);
}

HttpClient::HttpClient(event_base *Base, HttpClientHooks Hooks,
                       std::string SourceIp)
    : Data(std::make_unique<Impl>()) {
  Data->Base = Base;
  Data->Hooks = std::move(Hooks);
  Data->SourceIp = std::move(SourceIp);
  Data->Reaper = std::make_unique<Timer>(Base, [this] {
    for (auto It = Data->Connections.begin(); It != Data->Connections.end();)
      It = It->second->Dead ? Data->Connections.erase(It) : std::next(It);
  });
  Data->Sweep = std::make_unique<Timer>(Base, [this] { Data->sweep(); });
}

HttpClient::~HttpClient() = default;

void HttpClient::open(UpstreamId Id, const UpstreamRequest &Request) {
  if (!isSendable(Request)) {
    UpstreamFailure Why = failure("the request has bytes that HTTP forbids");
    Why.BytesSent = false;
    Why.IsLocal = true;
    Data->Hooks.Failed(Id, std::move(Why));
    return;
  }
  Impl::Connection *C =
      Request.MayReuse ? Data->takeIdle(poolOf(Request)) : nullptr;
  bool Reused = C != nullptr;
  Data->Counters.Reused += Reused ? 1 : 0;
  UpstreamFailure Why;
  Why.BytesSent = false;
  if (!Reused) {
    auto Open = Data->OpenCounts.find(Request.Address);
    bool Full = Request.ConnectionLimit != 0 &&
                Open != Data->OpenCounts.end() &&
                Open->second >= Request.ConnectionLimit;
    // Closes an idle connection to make room for a new one.
    if (Full && Data->discardIdle(Request.Address))
      Full = false;
    Data->Counters.Refused += Full ? 1 : 0;
    Why.IsLocal = Full;
    Why.Detail = Full ? "the connection limit of the address is reached"
                      : "no connection";
    C = Full ? nullptr : Data->connect(Request);
  }
  if (C == nullptr || C->Dead) {
    Data->Hooks.Failed(Id, std::move(Why));
    return;
  }
  C->Call = Id;
  C->IsKept = Reused;
  C->Request = Request;
  Data->Calls[static_cast<std::uint64_t>(Id)] = C;
  Data->start(*C);
}

void HttpClient::abort(UpstreamId Id) {
  auto Found = Data->Calls.find(static_cast<std::uint64_t>(Id));
  if (Found == Data->Calls.end())
    return;
  Impl::Connection &C = *Found->second;
  Data->noteEnd(C, ConnectionEnd::Host);
  Data->Calls.erase(Found);
  C.Call = UpstreamId{};
  Data->discard(C);
}

void HttpClient::pause(UpstreamId Id) {
  auto Found = Data->Calls.find(static_cast<std::uint64_t>(Id));
  if (Found != Data->Calls.end())
    bufferevent_disable(Found->second->Stream, EV_READ);
}

void HttpClient::resume(UpstreamId Id) {
  auto Found = Data->Calls.find(static_cast<std::uint64_t>(Id));
  if (Found != Data->Calls.end())
    bufferevent_enable(Found->second->Stream, EV_READ);
}

std::size_t HttpClient::calls() const { return Data->Calls.size(); }

std::size_t HttpClient::connections() const {
  std::size_t Sum = 0;
  for (const auto &[Address, Count] : Data->OpenCounts)
    Sum += Count;
  return Sum;
}

const HttpClientCounters &HttpClient::counters() const {
  return Data->Counters;
}

} // namespace pimento
