#include "fakes/tests/TestClient.h"

#include <algorithm>
#include <sstream>

namespace pimento::fakes {

namespace {

/// Long enough that only a server that hangs reaches it.
constexpr Duration Patience = seconds(20);

void readHead(evhttp_request *Req, Exchange &E) {
  evkeyvalq *Headers = evhttp_request_get_input_headers(Req);
  const char *Id = evhttp_find_header(Headers, "X-Request-Id");
  E.Status = evhttp_request_get_response_code(Req);
  E.RequestId = Id ? Id : "";
  E.NotRun = evhttp_find_header(Headers, "X-Not-Run") != nullptr;
}

void readBody(evhttp_request *Req, Exchange &E) {
  evbuffer *Buffer = evhttp_request_get_input_buffer(Req);
  E.Body += bodyOf(Req);
  evbuffer_drain(Buffer, evbuffer_get_length(Buffer));
}

void onChunk(evhttp_request *Req, void *Arg) {
  Exchange &E = *static_cast<Exchange *>(Arg);
  readHead(Req, E);
  readBody(Req, E);
}

void onDone(evhttp_request *Req, void *Arg) {
  Exchange &E = *static_cast<Exchange *>(Arg);
  E.Done = true;
  if (!Req || evhttp_request_get_response_code(Req) == 0)
    return;
  readHead(Req, E);
  readBody(Req, E);
  E.Whole = true;
}

void readEvent(const Json &Event, const std::string &Attempt, Events &Out) {
  std::string Id;
  readText(Event, "attempt", Id);
  if (Id != Attempt) {
    Out.OtherIds.push_back(Id);
    return;
  }
  std::string Text;
  std::uint64_t Offset = 0;
  if (readText(Event, "error", Text)) {
    Out.Errors.push_back(Text);
  } else if (Event.contains("end")) {
    Out.End = Event;
  } else if (readCount(Event, "offset", Offset)) {
    readText(Event, "text", Text);
    Out.Offsets.push_back(Offset);
    Out.Text += Text;
  }
}

} // namespace

TestClient::TestClient() : Base(event_base_new()) {}

TestClient::~TestClient() {
  for (evhttp_connection *Connection : Connections)
    evhttp_connection_free(Connection);
  // Deferred events free their memory in the loop's next iteration.
  event_base_loop(Base.get(), EVLOOP_NONBLOCK);
}

void TestClient::send(const ExchangePtr &E, const HttpCall &Call) {
  // Kept alive, as libevent may use it for as long as its connection exists.
  Exchanges.push_back(E);
  evhttp_request *Req = evhttp_request_new(onDone, E.get());
  evhttp_request_set_chunked_cb(Req, onChunk);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Req);
  evhttp_add_header(Headers, "Host", Call.Address.c_str());
  for (const Header &H : Call.Headers)
    evhttp_add_header(Headers, H.Name, H.Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Req), Call.Body.data(),
               Call.Body.size());
  evhttp_make_request(E->Connection, Req, Call.Method, Call.Path.c_str());
}

ExchangePtr TestClient::call(const HttpCall &Call) {
  auto E = std::make_shared<Exchange>();
  Endpoint Where;
  parseEndpoint(Call.Address, Where);
  E->Connection = evhttp_connection_base_new(Base.get(), nullptr,
                                             Where.Ip.c_str(), Where.Port);
  Connections.push_back(E->Connection);
  send(E, Call);
  return E;
}

ExchangePtr TestClient::again(const ExchangePtr &Before, const HttpCall &Call) {
  auto E = std::make_shared<Exchange>();
  E->Connection = Before->Connection;
  send(E, Call);
  return E;
}

void TestClient::leave(const ExchangePtr &E) {
  Connections.erase(
      std::find(Connections.begin(), Connections.end(), E->Connection));
  evhttp_connection_free(E->Connection);
  E->Connection = nullptr;
}

ExchangePtr TestClient::get(const std::string &Address,
                            const std::string &Path) {
  HttpCall Call;
  Call.Address = Address;
  Call.Path = Path;
  return call(Call);
}

ExchangePtr TestClient::post(const std::string &Address,
                             const std::string &Path, const Json &Body) {
  HttpCall Call;
  Call.Address = Address;
  Call.Method = EVHTTP_REQ_POST;
  Call.Path = Path;
  Call.Body = Body.dump();
  return call(Call);
}

bool TestClient::run(const std::function<bool()> &Until) {
  TimePoint Limit = now() + Patience;
  while (!Until()) {
    if (now() > Limit)
      return false;
    pass(milliseconds(1));
  }
  return true;
}

bool TestClient::finish(const ExchangePtr &E) {
  return run([&] { return E->Done; });
}

void TestClient::pass(Duration D) {
  timeval Tv = toTimeval(D);
  event_base_loopexit(Base.get(), &Tv);
  event_base_dispatch(Base.get());
}

Events readEvents(const std::string &Body, const std::string &Attempt) {
  Events Out;
  std::istringstream Lines(Body);
  std::string Line;
  const std::string Prefix = "data: ";
  while (std::getline(Lines, Line)) {
    if (Line.rfind(Prefix, 0) != 0)
      continue;
    Json Event = Json::parse(Line.substr(Prefix.size()), nullptr, false);
    if (Event.is_object())
      readEvent(Event, Attempt, Out);
  }
  return Out;
}

} // namespace pimento::fakes
