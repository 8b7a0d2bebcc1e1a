#include "fakes/AnswerText.h"
#include "fakes/EngineState.h"

#include <unistd.h>

#include <algorithm>

namespace pimento::fakes {

namespace {

/// Largest number of events in one chunk. Further events wait until the
/// connection has accepted the chunk.
constexpr std::uint64_t MaxEventsPerChunk = 64;

/// Contents of the next chunk.
struct Chunk {
  std::string Text;
  std::int64_t Tokens = 0;
  bool Last = false; // The chunk ends the reply.
};

const Attempt *attemptOf(const EngineServer &S, const Stream &T) {
  auto It = S.Model.Attempts.find(T.Attempt);
  return It == S.Model.Attempts.end() ? nullptr : &It->second;
}

std::string tokenEvent(const std::string &Id, const Attempt &A,
                       std::uint64_t Offset) {
  return "data: {\"attempt\": \"" + Id +
         "\", \"offset\": " + std::to_string(Offset) + ", \"text\": \"" +
         answerToken(A.PromptHash, Offset) + "\"}\n\n";
}

std::string errorEvent(const std::string &Id, const char *Error) {
  Json Event = {{"attempt", Id}, {"error", Error}};
  return "data: " + Event.dump() + "\n\n";
}

std::string endEvent(const std::string &Id, const Attempt &A) {
  bool Stopped = A.OutputTokens < A.MaxTokens;
  Json Event = {{"attempt", Id},
                {"end", true},
                {"finish", Stopped ? "stop" : "length"},
                {"prompt_tokens", A.PromptTokens},
                {"cached_tokens", A.CachedTokens},
                {"output_tokens", A.OutputTokens}};
  return "data: " + Event.dump() + "\n\n";
}

/// The token event that crossed_share sends instead of the stream's own: that
/// of another attempt, at the stream's offset. If there is no other attempt,
/// the event has an id that no attempt has.
std::string crossedEvent(const EngineServer &S, const Stream &T) {
  const auto &All = S.Model.Attempts;
  auto Other = All.upper_bound(T.Attempt);
  if (Other == All.end())
    Other = All.begin();
  if (Other != All.end() && Other->first != T.Attempt)
    return tokenEvent(Other->first, Other->second, T.Offset);
  static const Attempt Nobody;
  return tokenEvent(std::string(32, '0') + "-1", Nobody, T.Offset);
}

std::string nextEvents(EngineServer &S, const Stream &T, const Attempt &A) {
  if (uniform(S.Source) < S.Switches.CrossedShare)
    return crossedEvent(S, T);
  std::string Event = tokenEvent(T.Attempt, A, T.Offset);
  if (uniform(S.Source) < S.Switches.DuplicatedShare)
    Event += Event;
  return Event;
}

bool reached(std::int64_t Limit, std::int64_t Value) {
  return Limit >= 0 && Value >= Limit;
}

void addTokens(EngineServer &S, Stream &T, const Attempt &A, Chunk &C) {
  for (std::uint64_t I = 0; I < MaxEventsPerChunk; ++I) {
    bool Stop = T.Offset >= A.Produced ||
                reached(T.CutAfterTokens, T.SentTokens) ||
                reached(T.FailAfterTokens, T.SentTokens);
    if (Stop)
      return;
    C.Text += nextEvents(S, T, A);
    ++T.Offset;
    ++T.SentTokens;
    ++C.Tokens;
  }
}

/// Adds the error or end event, and marks the chunk as the last one, if the
/// attempt was cancelled or has failed, if the stream has reached
/// fail_after_tokens, or if all tokens of a finished attempt were sent.
void addEnd(const Stream &T, const Attempt *A, Chunk &C) {
  bool Ended = !A || A->State == AttemptState::Orphan;
  if (Ended)
    C.Text += errorEvent(T.Attempt, "cancelled");
  else if (A->State == AttemptState::Failed)
    C.Text += errorEvent(T.Attempt, "a member of the group was lost");
  else if (reached(T.FailAfterTokens, T.SentTokens))
    C.Text += errorEvent(T.Attempt, "failed by a switch");
  else if (A->State == AttemptState::Done && T.Offset >= A->OutputTokens)
    C.Text += endEvent(T.Attempt, *A);
  else
    return;
  C.Last = true;
}

Chunk nextChunk(EngineServer &S, Stream &T) {
  Chunk C;
  const Attempt *A = attemptOf(S, T);
  if (A)
    addTokens(S, T, *A, C);
  if (!reached(T.CutAfterTokens, T.SentTokens))
    addEnd(T, A, C);
  return C;
}

void cutStream(EngineServer &S, Stream &T) {
  evhttp_request *Req = T.Req;
  closeStream(S, T);
  cutConnection(Req);
}

bool isCut(const Stream &T) {
  return reached(T.CutAfterTokens, T.SentTokens) ||
         reached(T.CutAfterBytes, T.SentBytes);
}

void onWritten(evhttp_connection * /*Connection*/, void *Arg) {
  auto &T = *static_cast<Stream *>(Arg);
  EngineServer &S = *T.Server;
  if (reached(S.Switches.DieAfterTokens, S.TokensSent))
    _exit(1);
  // libevent still uses the connection during this call.
  S.DelayedCalls->after(Duration::zero(), [&S, Number = T.Number] {
    auto It = S.Streams.find(Number);
    if (It == S.Streams.end())
      return;
    It->second.Writing = false;
    if (isCut(It->second))
      cutStream(S, It->second);
    else
      feedStream(S, It->second);
  });
}

void send(Stream &T, const std::string &Text) {
  BufferPtr Buffer(evbuffer_new());
  evbuffer_add(Buffer.get(), Text.data(), Text.size());
  T.Writing = true;
  evhttp_send_reply_chunk_with_cb(T.Req, Buffer.get(), onWritten, &T);
}

void sendLast(EngineServer &S, Stream &T, const std::string &Text) {
  evhttp_request *Req = T.Req;
  closeStream(S, T);
  BufferPtr Buffer(evbuffer_new());
  evbuffer_add(Buffer.get(), Text.data(), Text.size());
  evhttp_send_reply_chunk(Req, Buffer.get());
  evhttp_send_reply_end(Req);
}

/// Truncates the text to the bytes that cut_after_bytes still allows the
/// stream. A chunk that reaches the limit is no longer the last one, so that
/// the connection is cut after it instead of the reply being ended.
void cutBytes(Stream &T, Chunk &C) {
  if (T.CutAfterBytes < 0)
    return;
  auto Left = static_cast<std::size_t>(T.CutAfterBytes - T.SentBytes);
  if (C.Text.size() < Left)
    return;
  C.Text.resize(Left);
  C.Last = false;
}

void onStreamClosed(evhttp_connection * /*Connection*/, void *Arg) {
  auto &T = *static_cast<Stream *>(Arg);
  EngineServer &S = *T.Server;
  evhttp_request *Req = T.Req;
  detach(S.Model, T.Attempt, now());
  S.Streams.erase(T.Number);
  // After its connection has closed, the request must be freed here.
  if (!evhttp_request_get_connection(Req))
    evhttp_request_free(Req);
  S.DelayedCalls->after(Duration::zero(), [&S] { turn(S); });
}

} // namespace

Stream &openStream(EngineServer &S, evhttp_request *Req,
                   const std::string &Attempt) {
  std::uint64_t Number = ++S.LastStream;
  Stream &T = S.Streams[Number];
  T.Server = &S;
  T.Number = Number;
  T.Req = Req;
  T.Attempt = Attempt;
  attach(S.Model, Attempt);
  watchForClose(Req, onStreamClosed, &T);
  return T;
}

void beginStream(EngineServer &S, Stream &T) {
  const EngineSwitches &W = S.Switches;
  T.CutAfterTokens = W.CutAfterTokens;
  T.CutAfterBytes = W.CutAfterBytes;
  T.FailAfterTokens = W.FailAfterTokens;
  bool Fails =
      W.CutAfterTokens >= 0 || W.CutAfterBytes >= 0 || W.FailAfterTokens >= 0;
  if (Fails)
    countFailure(S.Switches);
  T.Started = true;
  evkeyvalq *Headers = evhttp_request_get_output_headers(T.Req);
  evhttp_add_header(Headers, "Content-Type", "text/event-stream");
  evhttp_add_header(Headers, "Cache-Control", "no-store");
  evhttp_send_reply_start(T.Req, 200, "OK");
  if (isCut(T))
    send(T, ": cut\n\n");
}

void closeStream(EngineServer &S, Stream &T) {
  evhttp_connection *Connection = evhttp_request_get_connection(T.Req);
  if (Connection)
    evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  detach(S.Model, T.Attempt, now());
  S.Streams.erase(T.Number);
}

void feedStream(EngineServer &S, Stream &T) {
  if (!T.Started || T.Writing || S.Switches.Silent)
    return;
  Chunk C = nextChunk(S, T);
  cutBytes(T, C);
  S.TokensSent += C.Tokens;
  T.SentBytes += static_cast<std::int64_t>(C.Text.size());
  if (C.Text.empty())
    return;
  if (C.Last)
    sendLast(S, T, C.Text);
  else
    send(T, C.Text);
}

void sendProgress(EngineServer &S) {
  for (auto &[Number, T] : S.Streams) {
    const Attempt *A = attemptOf(S, T);
    bool Early = A && (A->State == AttemptState::Waiting ||
                       A->State == AttemptState::Prefill);
    if (!Early || !T.Started || T.Writing || S.Switches.Silent)
      continue;
    auto Left = static_cast<std::uint64_t>(A->PrefillLeft);
    send(T, ": prefill " + std::to_string(A->PromptTokens - Left) + "/" +
                std::to_string(A->PromptTokens) + "\n\n");
  }
}

} // namespace pimento::fakes
