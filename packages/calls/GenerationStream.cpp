#include "calls/CallsInternal.h"

#include "engine/Adapter.h"
#include "engine/Replies.h"

#include <algorithm>

namespace pimento::calls {

namespace {

CompletionHead headOf(const Request &R) {
  return {R.Id, R.Generation->Params.Model, R.Generation->Params.Chat};
}

/// Metric label for the class of prompt length.
const char *lengthClass(std::uint64_t PromptTokens) {
  if (PromptTokens <= 2000)
    return "prompt=\"to_2k\"";
  if (PromptTokens <= 20000)
    return "prompt=\"to_20k\"";
  if (PromptTokens <= 200000)
    return "prompt=\"to_200k\"";
  return "prompt=\"over_200k\"";
}

void noteFirstToken(Context &C, Request &R) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  if (T.FirstTokenAt != TimePoint())
    return;
  T.FirstTokenAt = C.Now;
  C.Out.Samples.push_back(
      {SampleKind::Distribution, "pimento_time_to_first_token_seconds",
       lengthClass(R.Generation->PromptTokens), toSeconds(C.Now - R.Arrived)});
}

/// Bytes that may be buffered for a slow caller. Reduced while the buffers of
/// all requests exceed their total limit.
std::uint64_t bufferLimit(const CallsState &S) {
  constexpr std::uint64_t OverLimitDivisor = 16;
  if (S.Bytes > S.Limits.TotalBufferBytes)
    return S.Limits.StreamBufferBytes / OverLimitDivisor;
  return S.Limits.StreamBufferBytes;
}

void updatePause(Context &C, Request &R) {
  if (R.Upstream == UpstreamId())
    return;
  std::uint64_t Limit = bufferLimit(C.S);
  bool Pause = R.Paused ? R.Pending > Limit / 2 : R.Pending > Limit;
  if (Pause == R.Paused)
    return;
  R.Paused = Pause;
  R.Generation->CurrentAttempt.LastByte = C.Now;
  C.Out.List.emplace_back(PauseUpstream{R.Upstream, Pause});
}

/// Sends the collected bytes of one read to the caller.
void flushChunk(Context &C, Request &R, std::string &Chunk) {
  if (Chunk.empty())
    return;
  if (!R.Streaming) {
    R.Streaming = true;
    C.Out.List.emplace_back(StartStream{R.Exchange, streamHead(R.Id)});
  }
  R.Pending += Chunk.size();
  C.Out.List.emplace_back(StreamBytes{R.Exchange, std::move(Chunk)});
  Chunk.clear();
}

void endTooLarge(Context &C, Request &R) {
  concludeAttempt(C, R, AttemptEnd::Cancelled, /*Cancel=*/true);
  answerProblem(C, R, {Code::AnswerTooLarge, "", {}});
}

/// Records and drops an event that belongs to another attempt.
void dropForeignEvent(Context &C, const Request &R, const AttemptId &Other) {
  decide(C, "drop", R.Id, "the event belongs to another attempt")
      .add("attempt", toString(Other));
  count(C, "pimento_crossed_answers_total");
}

void handleToken(Context &C, Request &R, const TokenEvent &Token,
                 std::string &Chunk) {
  GenerationPart &G = *R.Generation;
  if (Token.Attempt != G.CurrentAttempt.Id) {
    dropForeignEvent(C, R, Token.Attempt);
    return;
  }
  if (Token.Offset < G.CurrentAttempt.NextOffset) {
    count(C, "pimento_duplicate_tokens_total");
    return;
  }
  if (Token.Offset > G.CurrentAttempt.NextOffset) {
    flushChunk(C, R, Chunk);
    resumeLater(C, R, "the stream skipped tokens");
    return;
  }
  dropKept(C, R);
  ++G.CurrentAttempt.NextOffset;
  G.CurrentAttempt.Resumes = 0;
  noteFirstToken(C, R);
  if (G.Params.Stream) {
    Chunk += chunkText(headOf(R), Token.Text);
    return;
  }
  G.Text += Token.Text;
  if (G.Text.size() > C.S.Limits.AnswerBytes)
    endTooLarge(C, R);
}

void sendFinalAnswer(Context &C, Request &R, const CompletionEnd &End,
                     std::string &Chunk) {
  CompletionHead Head = headOf(R);
  if (!R.Generation->Params.Stream) {
    answerReply(C, R, completionReply(Head, R.Generation->Text, End));
    return;
  }
  flushChunk(C, R, Chunk);
  if (!R.Streaming) // The answer has no token.
    C.Out.List.emplace_back(StartStream{R.Exchange, streamHead(R.Id)});
  R.Streaming = true;
  answerStreamEnd(C, R, chunkEnd(Head, End), /*Complete=*/true);
}

void finish(Context &C, Request &R, const EndEvent &End, std::string &Chunk) {
  GenerationPart &G = *R.Generation;
  learn(C.S.Ratios[G.Params.Model], G.Params.Prompt.size(), End.PromptTokens);
  bool Group = G.CurrentAttempt.CurrentGrant.Engines.size() > 1;
  concludeAttempt(C, R, AttemptEnd::Finished, /*Cancel=*/Group);
  Release *Report = nullptr;
  if (Group)
    Report = &C.S.Cleanups.at(G.CurrentAttempt.Id).Report;
  else
    Report = &std::get<SendRelease>(C.Out.List.back()).Content;
  Report->PromptTokens = End.PromptTokens;
  Report->CachedTokens = End.CachedTokens;
  Report->OutputTokens = End.OutputTokens;
  sendFinalAnswer(
      C, R,
      {End.LengthLimit, End.PromptTokens, End.CachedTokens, End.OutputTokens},
      Chunk);
}

void handleEnd(Context &C, Request &R, const EndEvent &End,
               std::string &Chunk) {
  const EngineAttempt &T = R.Generation->CurrentAttempt;
  if (End.Attempt != T.Id) {
    dropForeignEvent(C, R, End.Attempt);
    return;
  }
  if (End.OutputTokens == T.NextOffset) {
    finish(C, R, End, Chunk);
    return;
  }
  flushChunk(C, R, Chunk);
  resumeLater(C, R, "the end marker's token count is not the number received");
}

void handleEvent(Context &C, Request &R, const EngineEvent &Event,
                 std::string &Chunk) {
  if (const auto *Token = std::get_if<TokenEvent>(&Event)) {
    handleToken(C, R, *Token, Chunk);
  } else if (const auto *End = std::get_if<EndEvent>(&Event)) {
    handleEnd(C, R, *End, Chunk);
  } else if (const auto *Error = std::get_if<ErrorEvent>(&Event)) {
    if (Error->Attempt != R.Generation->CurrentAttempt.Id) {
      dropForeignEvent(C, R, Error->Attempt);
      return;
    }
    flushChunk(C, R, Chunk);
    failAttempt(C, R, {Code::BackendFailed, "engine: " + Error->Detail, false});
  } else if (const auto *Prefill = std::get_if<PrefillEvent>(&Event)) {
    R.Generation->CurrentAttempt.Prefilled = Prefill->Done;
  } else if (const auto *Violation = std::get_if<ProtocolErrorEvent>(&Event)) {
    flushChunk(C, R, Chunk);
    resumeLater(C, R, Violation->Detail.c_str());
  }
}

void endRefused(Context &C, Request &R) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  EngineRefusal Why = readRefusal({T.Status, T.Headers, T.Refusal});
  // Duplicate means that the engine knows this attempt, which may be running.
  bool Proved = Why.ProvedNotRun && Why.Reason != RefusalReason::Duplicate;
  failAttempt(
      C, R,
      {Code::RefusedByBackend, "the engine refused: " + Why.Detail, Proved});
}

bool hasSilentCall(const Request &R) {
  return R.Generation->CurrentAttempt.Silent.Upstream != UpstreamId();
}

bool isOfSilentCall(const Request &R, const Event &E) {
  return R.Generation && hasSilentCall(R) &&
         R.Generation->CurrentAttempt.Silent.Upstream == E.Upstream;
}

/// Leaves the upstream call open as the silent call. One that is open already
/// is kept instead, and the upstream call is aborted by resumeLater().
void keepSilentCall(Request &R) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  if (hasSilentCall(R))
    return;
  T.Silent = {R.Upstream,           std::move(T.Stream),  T.Status,
              std::move(T.Headers), std::move(T.Refusal), T.Resumed};
  R.Upstream = UpstreamId();
}

} // namespace

void continueSilentCall(Context &C, Request &R) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  abortUpstream(C, R);
  SilentCall Call = std::move(T.Silent);
  T.Silent = SilentCall();
  R.Upstream = Call.Upstream;
  T.Stream = std::move(Call.Stream);
  T.Status = Call.Status;
  T.Headers = std::move(Call.Headers);
  T.Refusal = std::move(Call.Refusal);
  T.Resumed = Call.Resumed;
  T.LastByte = C.Now;
  R.State = Phase::Generating;
  R.Wake = C.Now + std::min(C.S.Times.StreamIdleTimeout,
                            C.S.Times.ReservationLease / 3);
}

namespace {

void forgetSilentCall(Context &C, SilentCall &Call) {
  C.S.Upstreams.erase(static_cast<std::uint64_t>(Call.Upstream));
  Call = SilentCall();
}

void failSilentCall(Context &C, Request &R, const Event &E) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  if (E.Failure->BytesSent && T.SentAt == TimePoint())
    T.SentAt = C.Now;
  forgetSilentCall(C, T.Silent);
}

/// The engine did not resume the stream. A silent call goes on, and another
/// engine is asked for if a retry is allowed.
void endResumes(Context &C, Request &R, const char *Reason) {
  AttemptFailure Why{Code::BackendFailed, Reason, false};
  if (!hasSilentCall(R)) {
    failAttempt(C, R, Why);
    return;
  }
  if (acquireRetry(C, R)) {
    keepAttempt(C, R, Why);
    return;
  }
  EngineAttempt &T = R.Generation->CurrentAttempt;
  T.Resumes = 0;
  decide(C, "resume", R.Id, "the silent engine's call continues")
      .add("backend", T.CurrentGrant.Engines[0].Backend.Value)
      .add("offset", static_cast<std::int64_t>(T.NextOffset));
  continueSilentCall(C, R);
}

} // namespace

void dropSilentCall(Context &C, SilentCall &Call) {
  if (Call.Upstream == UpstreamId())
    return;
  C.Out.List.emplace_back(AbortUpstream{Call.Upstream});
  forgetSilentCall(C, Call);
}

void resumeLater(Context &C, Request &R, const char *Reason) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  abortUpstream(C, R);
  ++T.Resumes;
  if (T.Resumes > C.S.Times.MaxResumes) {
    endResumes(C, R, Reason);
    return;
  }
  Duration Wait = C.S.Times.ResumeDelay * (1 << (T.Resumes - 1));
  R.State = Phase::Resuming;
  R.Wake = C.Now + Wait;
  decide(C, "resume", R.Id, Reason)
      .add("backend", T.CurrentGrant.Engines[0].Backend.Value)
      .add("offset", static_cast<std::int64_t>(T.NextOffset))
      .add("resume", static_cast<std::int64_t>(T.Resumes))
      .add("wait_ms", toMilliseconds(Wait));
  count(C, "pimento_resumes_total");
}

void resumeNow(Context &C, Request &R, const Event & /*E*/) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  T.Stream = EngineStream();
  T.Status = 0;
  T.Refusal.clear();
  T.Resumed = true;
  T.LastByte = C.Now;
  R.State = Phase::Generating;
  keepReservations(C, R.Id, T);
  openUpstream(
      C, R,
      resumeRequest(T.CurrentGrant.Engines[0].Address, T.Id, T.NextOffset));
  R.Wake = C.Now + std::min(C.S.Times.StreamIdleTimeout,
                            C.S.Times.ReservationLease / 3);
}

void noteSent(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  EngineAttempt &T = R.Generation->CurrentAttempt;
  if (T.SentAt == TimePoint())
    T.SentAt = C.Now;
}

void readHead(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  noteSent(C, R, E);
  if (isOfSilentCall(R, E))
    continueSilentCall(C, R);
  R.Generation->CurrentAttempt.Status = E.Status;
  R.Generation->CurrentAttempt.Headers = *E.Headers;
  R.Generation->CurrentAttempt.LastByte = C.Now;
}

void readData(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  EngineAttempt &T = R.Generation->CurrentAttempt;
  if (isOfSilentCall(R, E))
    continueSilentCall(C, R);
  else if (T.Status == 200)
    dropSilentCall(C, T.Silent); // The resumed call replaces it.
  T.LastByte = C.Now;
  if (T.Status != 200) {
    readReserveData(C, R, E);
    return;
  }
  std::vector<EngineEvent> Events;
  feed(T.Stream, E.Bytes, Events);
  std::string Chunk;
  for (const EngineEvent &Event : Events) {
    handleEvent(C, R, Event, Chunk);
    // After a failure a kept attempt may be the current one.
    if (R.State != Phase::Generating || R.Upstream != E.Upstream)
      return;
  }
  flushChunk(C, R, Chunk);
  updatePause(C, R);
  if (!Events.empty())
    C.Out.List.emplace_back(NoteProgress{T.Id, T.Prefilled, T.NextOffset});
}

void endStream(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  if (isOfSilentCall(R, E)) {
    forgetSilentCall(C, R.Generation->CurrentAttempt.Silent);
    return;
  }
  EngineAttempt &T = R.Generation->CurrentAttempt;
  C.S.Upstreams.erase(static_cast<std::uint64_t>(R.Upstream));
  R.Upstream = UpstreamId();
  if (T.Status == 200 || T.Status == 0)
    resumeLater(C, R, "the stream ended without its end marker");
  else if (!T.Resumed)
    endRefused(C, R);
  else if (T.Status == 404)
    failAttempt(
        C, R,
        {Code::BackendFailed, "the engine does not know the attempt", false});
  else
    resumeLater(C, R, "the engine refused to resume the stream");
}

void failStream(Context &C, Request &R, const Event &E) {
  if (handleKept(C, R, E))
    return;
  if (isOfSilentCall(R, E)) {
    failSilentCall(C, R, E);
    return;
  }
  EngineAttempt &T = R.Generation->CurrentAttempt;
  C.S.Upstreams.erase(static_cast<std::uint64_t>(R.Upstream));
  R.Upstream = UpstreamId();
  bool NothingSent = !E.Failure->BytesSent && T.SentAt == TimePoint();
  if (NothingSent) {
    failAttempt(
        C, R,
        {Code::ConnectFailed, "nothing was sent: " + E.Failure->Detail, false});
    return;
  }
  if (T.SentAt == TimePoint())
    T.SentAt = C.Now;
  resumeLater(C, R, "the upstream connection failed");
}

void drainStream(Context &C, Request &R, const Event &E) {
  R.Pending = E.Pending;
  if (R.State == Phase::Generating)
    updatePause(C, R);
}

void checkStream(Context &C, Request &R, const Event & /*E*/) {
  EngineAttempt &T = R.Generation->CurrentAttempt;
  keepReservations(C, R.Id, T);
  updatePause(C, R);
  if (!R.Paused && C.Now - T.LastByte >= C.S.Times.StreamIdleTimeout) {
    keepSilentCall(R);
    resumeLater(C, R, "the engine sent nothing within the idle timeout");
    return;
  }
  TimePoint Next = R.Paused ? C.Now + C.S.Times.StreamIdleTimeout
                            : T.LastByte + C.S.Times.StreamIdleTimeout;
  if (T.CurrentGrant.Engines.size() > 1)
    Next = std::min(Next, T.NextReservation);
  R.Wake = Next;
}

} // namespace pimento::calls
