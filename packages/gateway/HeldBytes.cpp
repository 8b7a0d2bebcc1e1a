// Bounds the bytes of requests and answers that this host holds, so that
// neither many long requests nor servers whose answers have no end take it past
// its memory.

#include "gateway/GatewayTurn.h"

#include <algorithm>

namespace pimento::gateway {

namespace {

/// Requests and answers up to this size are few bytes even where they are many,
/// and are not checked one by one.
constexpr std::size_t SmallBytes = 64U << 10U;

bool isOverBudget(const Gateway &S, std::size_t More) {
  return heldBytes(S) + S.CallerBytes + More > bufferBytes(S.Config.Limits);
}

/// The call with the longest answer that is not complete, or null.
GatewayCall *longestAnswer(GatewayTurn &T) {
  GatewayCall *Longest = nullptr;
  for (auto &[Ticket, C] : T.S.Calls) {
    if (Longest == nullptr ||
        C.Attempt.Body.size() > Longest->Attempt.Body.size())
      Longest = &C;
  }
  return Longest;
}

} // namespace

bool hasRoomFor(const Gateway &S, std::size_t BodyBytes) {
  return BodyBytes <= SmallBytes || !isOverBudget(S, BodyBytes);
}

void boundAnswers(GatewayTurn &T, std::size_t Size, std::size_t Added) {
  // One check for each SmallBytes of an answer.
  if (Size / SmallBytes == (Size - Added) / SmallBytes)
    return;
  while (isOverBudget(T.S, 0)) {
    GatewayCall *C = longestAnswer(T);
    if (C == nullptr || C->Attempt.Body.size() <= SmallBytes)
      return;
    attemptFailed(T, *C, true, Code::AnswerTooLarge,
                  "answers exceed the memory for them, this one most");
  }
}

void setUnread(GatewayTurn &T, GatewayCall &C, std::size_t Bytes) {
  bool WasBehind = C.UnreadBytes >= FlowWindowBytes / 2;
  C.UnreadBytes = Bytes;
  bool IsAtServer =
      C.Stage == CallStage::Sent || C.Stage == CallStage::Answering;
  if (!WasBehind || Bytes >= FlowWindowBytes / 2 || !IsAtServer)
    return;
  C.Attempt.LastBytes = T.Now;
  scheduleCheck(T, C);
}

void followReader(GatewayTurn &T, GatewayCall &C) {
  bool Pause = C.Attempt.IsPaused ? C.UnreadBytes > FlowWindowBytes / 2
                                  : C.UnreadBytes > FlowWindowBytes;
  bool IsOpen = C.Attempt.Upstream != UpstreamId{} && C.Attempt.Relay.empty();
  if (Pause == C.Attempt.IsPaused || !IsOpen)
    return;
  C.Attempt.IsPaused = Pause;
  // The server was not silent meanwhile.
  C.Attempt.LastBytes = T.Now;
  T.Out.push_back(calls::PauseUpstream{C.Attempt.Upstream, Pause});
  scheduleCheck(T, C);
}

} // namespace pimento::gateway

namespace pimento {

std::size_t heldBytes(const Gateway &S) {
  std::size_t Sum = 0;
  for (const auto &[Ticket, C] : S.Calls) {
    Sum += C.Attempt.Body.size() + C.Events.Partial.size();
    // A hedge shares the body of its call.
    Sum += C.HedgeOf == 0 ? C.Body.size() : 0;
  }
  for (const HeldRequest &Held : S.Held)
    Sum += Held.Request.Body.size();
  for (const auto &[Id, Body] : S.Relays.Bodies)
    Sum += pendingBytes(Body);
  for (const auto &[Exchange, R] : S.Relays.Taken) {
    Sum += pendingBytes(R.Answer);
    // The bytes that are still to come have their room already.
    Sum += R.IsAdmitted ? 0 : R.Request.BodySize;
  }
  return Sum;
}

} // namespace pimento
