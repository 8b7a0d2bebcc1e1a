#include "fakes/LedgerSwitches.h"

#include "fakes/SwitchReader.h"

namespace pimento::fakes {

namespace {

const char *toString(HalfOpen Mode) {
  switch (Mode) {
  case HalfOpen::Off:
    return "off";
  case HalfOpen::Fin:
    return "fin";
  case HalfOpen::Mute:
    return "mute";
  }
  return "off";
}

bool parse(const std::string &Text, HalfOpen &Mode) {
  for (HalfOpen Each : {HalfOpen::Off, HalfOpen::Fin, HalfOpen::Mute}) {
    if (Text != toString(Each))
      continue;
    Mode = Each;
    return true;
  }
  return false;
}

} // namespace

std::string setSwitches(const Json &Object, LedgerSwitches &Switches) {
  LedgerSwitches S = Switches;
  std::string Idle = toString(S.Idle);
  SwitchReader Reader(Object);
  Reader.millis("slow_ms", S.Slow);
  Reader.millis("slow_start_ms", S.SlowStart);
  Reader.flag("silent", S.Silent);
  Reader.integer("cut_after_bytes", S.CutAfterBytes);
  Reader.flag("crossed", S.Crossed);
  Reader.flag("die_after_run", S.DieAfterRun);
  Reader.flag("refuse", S.Refuse);
  Reader.flag("error_after_run", S.ErrorAfterRun);
  Reader.text("half_open", Idle);
  Reader.millis("half_open_after_ms", S.HalfOpenAfter);
  Reader.flag("stop_announcing", S.StopAnnouncing);
  Reader.flag("leaving", S.Leaving);
  Reader.count("count", S.Count);
  std::string Problem = Reader.finish();
  if (Problem.empty() && !parse(Idle, S.Idle))
    Problem = "half_open: expected off, fin or mute";
  if (Problem.empty())
    Switches = S;
  return Problem;
}

Json toJson(const LedgerSwitches &S) {
  return {{"slow_ms", toMilliseconds(S.Slow)},
          {"slow_start_ms", toMilliseconds(S.SlowStart)},
          {"silent", S.Silent},
          {"cut_after_bytes", S.CutAfterBytes},
          {"crossed", S.Crossed},
          {"die_after_run", S.DieAfterRun},
          {"refuse", S.Refuse},
          {"error_after_run", S.ErrorAfterRun},
          {"half_open", toString(S.Idle)},
          {"half_open_after_ms", toMilliseconds(S.HalfOpenAfter)},
          {"stop_announcing", S.StopAnnouncing},
          {"leaving", S.Leaving},
          {"count", S.Count}};
}

bool failsCalls(const LedgerSwitches &S) {
  return S.Silent || S.CutAfterBytes >= 0 || S.Crossed || S.Refuse ||
         S.ErrorAfterRun;
}

void countFailure(LedgerSwitches &S) {
  if (S.Count == 0 || --S.Count > 0)
    return;
  S.Silent = false;
  S.CutAfterBytes = -1;
  S.Crossed = false;
  S.Refuse = false;
  S.ErrorAfterRun = false;
}

} // namespace pimento::fakes
