#include "bench/PathCost/StreamClient.h"

#include <unistd.h>

#include <cstdio>
#include <iterator>
#include <utility>

namespace pimento::bench {

namespace {

using fakes::HttpCall;

/// Longest time that a held stream may stay without a token.
constexpr int ReadTimeoutSeconds = 600;

/// Makes an attempt id that is unique across runs.
std::string attemptId(std::uint64_t Number) {
  char Text[64];
  auto Start = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
  std::snprintf(Text, sizeof(Text), "%016llx%016llx-1",
                static_cast<unsigned long long>(Start ^ getpid()),
                static_cast<unsigned long long>(Number));
  return Text;
}

HttpCall callOf(const StreamRequest &R, std::uint64_t Number) {
  HttpCall Call;
  Call.Address = R.Address;
  Call.Method = EVHTTP_REQ_POST;
  Json Body = {
      {"model", R.Model}, {"prompt", R.Prompt}, {"max_tokens", R.MaxTokens}};
  if (R.Via == Path::Direct) {
    Call.Path = "/v1/generate";
    Body["attempt"] = attemptId(Number);
    Body["weight"] = 1;
    Body["epoch"] = 1;
  } else {
    Call.Path = "/v1/completions";
    Body["stream"] = true;
    Call.Headers = {{"Authorization", "Bearer " + R.Token}};
  }
  Call.Headers.push_back({"Content-Type", "application/json"});
  Call.Body = Body.dump();
  return Call;
}

evhttp_request *requestOf(const HttpCall &Call, evhttp_request *Req) {
  evkeyvalq *Headers = evhttp_request_get_output_headers(Req);
  evhttp_add_header(Headers, "Host", Call.Address.c_str());
  evhttp_add_header(Headers, "Connection", "close");
  for (const fakes::Header &H : Call.Headers)
    evhttp_add_header(Headers, H.Name, H.Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Req), Call.Body.data(),
               Call.Body.size());
  return Req;
}

/// Returns the text of an event in either of its two forms.
std::string textOf(const Json &Event) {
  std::string Text;
  if (!Event.is_object())
    return Text;
  auto Choices = Event.find("choices");
  if (Choices != Event.end() && Choices->is_array() && !Choices->empty())
    fakes::readText(Choices->front(), "text", Text);
  else
    fakes::readText(Event, "text", Text);
  return Text;
}

void noteToken(StreamResult &R) {
  TimePoint Now = fakes::now();
  if (R.Tokens == 0)
    R.FirstToken = Now - R.StartedAt;
  else
    R.Gaps.push_back(Now - R.LastTokenAt);
  R.LastTokenAt = Now;
  ++R.Tokens;
}

} // namespace

StreamClient::~StreamClient() { closeAll(); }

void StreamClient::closeAll() {
  for (Stream &S : Streams) {
    if (S.Connection)
      evhttp_connection_free(S.Connection);
    S.Connection = nullptr;
  }
  Streams.remove_if([](const Stream &S) { return !S.Ended; });
}

void StreamClient::readLine(Stream &S, std::string_view Line) {
  constexpr std::string_view Data = "data: ";
  if (Line.substr(0, Data.size()) != Data)
    return;
  std::string_view Body = Line.substr(Data.size());
  bool Last = S.Request.Via == Path::Host
                  ? Body == "[DONE]"
                  : Body.find("\"end\":true") != std::string_view::npos;
  S.Result.Whole = S.Result.Whole || Last;
  bool HasText = !Last && Body.find("\"text\"") != std::string_view::npos;
  if (!HasText)
    return;
  if (!S.Request.KeepText) {
    noteToken(S.Result);
    return;
  }
  std::string Text = textOf(Json::parse(Body, nullptr, false));
  if (Text.empty())
    return;
  noteToken(S.Result);
  S.Result.Text += Text;
}

void StreamClient::onChunk(evhttp_request *Req, void *Arg) {
  auto &S = *static_cast<Stream *>(Arg);
  S.Result.Status = evhttp_request_get_response_code(Req);
  evbuffer *Buffer = evhttp_request_get_input_buffer(Req);
  S.Unread += fakes::bodyOf(Req);
  evbuffer_drain(Buffer, evbuffer_get_length(Buffer));
  std::string_view Rest = S.Unread;
  std::size_t End = Rest.find('\n');
  while (End != std::string_view::npos) {
    readLine(S, Rest.substr(0, End));
    Rest.remove_prefix(End + 1);
    End = Rest.find('\n');
  }
  S.Unread.erase(0, S.Unread.size() - Rest.size());
}

void StreamClient::onDone(evhttp_request *Req, void *Arg) {
  auto &S = *static_cast<Stream *>(Arg);
  if (Req && evhttp_request_get_response_code(Req) != 0)
    S.Result.Status = evhttp_request_get_response_code(Req);
  S.Ended = true;
  StreamClient &Owner = *S.Owner;
  // Not freed here, as libevent still uses the connection during this call.
  Owner.Later.after(Duration::zero(), [&Owner, Self = S.Self] {
    if (Self->Connection)
      evhttp_connection_free(Self->Connection);
    Owner.Streams.erase(Self);
  });
  S.OnEnd(S.Result);
}

void StreamClient::start(const StreamRequest &Request,
                         std::function<void(const StreamResult &)> OnEnd) {
  Stream &S = Streams.emplace_back();
  S.Owner = this;
  S.Request = Request;
  S.OnEnd = std::move(OnEnd);
  S.Self = std::prev(Streams.end());
  fakes::Endpoint E;
  fakes::parseEndpoint(Request.Address, E);
  S.Connection =
      evhttp_connection_base_new(Base, nullptr, E.Ip.c_str(), E.Port);
  evhttp_connection_set_timeout(S.Connection, ReadTimeoutSeconds);
  HttpCall Call = callOf(Request, ++Attempts);
  S.Request.Prompt.clear(); // The caller keeps it; avoids a copy per stream.
  S.Result.StartedAt = fakes::now();
  evhttp_request *Req = requestOf(Call, evhttp_request_new(onDone, &S));
  evhttp_request_set_chunked_cb(Req, onChunk);
  evhttp_make_request(S.Connection, Req, Call.Method, Call.Path.c_str());
}

std::size_t StreamClient::alive(Duration Age) const {
  TimePoint Since = fakes::now() - Age;
  std::size_t Count = 0;
  for (const Stream &S : Streams)
    Count += !S.Ended && S.Result.LastTokenAt >= Since ? 1 : 0;
  return Count;
}

std::vector<Duration> StreamClient::takeGaps() {
  std::vector<Duration> All;
  for (Stream &S : Streams) {
    All.insert(All.end(), S.Result.Gaps.begin(), S.Result.Gaps.end());
    S.Result.Gaps.clear();
  }
  return All;
}

} // namespace pimento::bench
