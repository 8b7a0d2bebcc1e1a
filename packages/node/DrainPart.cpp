// A graceful stop: the host first reports that it is not ready, then refuses
// new requests, and exits once all requests are finished.

#include "node/Turn.h"

namespace pimento::node {

namespace {

/// Time between the last request and the exit, for messages and replies that
/// are still being sent.
constexpr Duration FinalSendTime = milliseconds(200);

void enter(Turn &T, DrainPhase Phase, Duration Time, const char *Reason) {
  T.S.Drain = Phase;
  T.S.DrainUntil = T.Now + Time;
  DecisionRecord D;
  D.Kind = "drain";
  D.Reason = Reason;
  D.add("requests", static_cast<std::int64_t>(T.S.Calls.Requests.size()));
  T.Out.push_back(LogDecision{std::move(D)});
}

void announceLeaving(Turn &T, bool Final) {
  MembershipOutputs Out;
  leave(T.S.Members, Final, T.Now, Out);
  sendAll(T, std::move(Out.Messages));
  logAll(T, std::move(Out.Decisions));
}

/// Releases all cells first, because a leaving host must not schedule.
void beginUnready(Turn &T) {
  enter(T, DrainPhase::Unready, T.S.Config.Drain.UnreadyTime,
        "the process was asked to stop");
  releaseCells(T);
  announceLeaving(T, false);
}

void beginRefusing(Turn &T) {
  enter(T, DrainPhase::Refusing, T.S.Config.Drain.Limit,
        "the unready time is over");
  calls::CallsEffects Out;
  beginDrain(T.S.Calls, T.Now, Out);
  executeCallsEffects(T, std::move(Out));
  handOverLeadership(T);
}

void beginStopped(Turn &T) {
  enter(T, DrainPhase::Stopped, FinalSendTime, "all requests are finished");
  announceLeaving(T, true);
}

} // namespace

void stopRequested(Turn &T) {
  if (T.S.Drain == DrainPhase::Serving) {
    beginUnready(T);
    return;
  }
  if (T.S.ForcedStop || T.S.Drain == DrainPhase::Stopped)
    return;
  T.S.ForcedStop = true;
  calls::CallsEffects Out;
  cutAll(T.S.Calls, T.S.CallsDirectory, T.Now, Out);
  executeCallsEffects(T, std::move(Out));
  enter(T, DrainPhase::Stopped, FinalSendTime,
        "the process was asked to stop at once");
  announceLeaving(T, true);
}

void tickDrain(Turn &T) {
  bool Over = T.Now >= T.S.DrainUntil;
  switch (T.S.Drain) {
  case DrainPhase::Serving:
    return;
  case DrainPhase::Unready:
    if (Over)
      beginRefusing(T);
    return;
  case DrainPhase::Refusing:
    if (idle(T.S.Calls) && T.S.Operators.empty())
      beginStopped(T);
    return;
  case DrainPhase::Stopped:
    if (Over)
      T.Out.push_back(Exit{T.S.ForcedStop ? 1 : 0});
    return;
  }
}

} // namespace pimento::node
