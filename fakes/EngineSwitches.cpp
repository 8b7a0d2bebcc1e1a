#include "fakes/EngineSwitches.h"

#include "fakes/SwitchReader.h"

namespace pimento::fakes {

namespace {

constexpr double LeastSlow = 0.001;

std::string checkRanges(const EngineSwitches &S) {
  if (S.Slow < LeastSlow)
    return "slow: expected a factor from 0.001";
  if (S.CrossedShare > 1)
    return "crossed_share: expected 0 to 1";
  if (S.DuplicatedShare > 1)
    return "duplicated_share: expected 0 to 1";
  return "";
}

} // namespace

std::string setSwitches(const Json &Object, EngineSwitches &Switches) {
  EngineSwitches S = Switches;
  SwitchReader Reader(Object);
  Reader.number("slow", S.Slow);
  Reader.flag("silent", S.Silent);
  Reader.flag("mute", S.Mute);
  Reader.integer("cut_after_tokens", S.CutAfterTokens);
  Reader.integer("cut_after_bytes", S.CutAfterBytes);
  Reader.integer("fail_after_tokens", S.FailAfterTokens);
  Reader.integer("die_after_tokens", S.DieAfterTokens);
  Reader.number("crossed_share", S.CrossedShare);
  Reader.number("duplicated_share", S.DuplicatedShare);
  Reader.text("refuse", S.Refuse);
  Reader.flag("stop_announcing", S.StopAnnouncing);
  Reader.flag("leaving", S.Leaving);
  Reader.count("leak_cancels", S.LeakCancels);
  Reader.count("count", S.Count);
  std::string Problem = Reader.finish();
  if (Problem.empty())
    Problem = checkRanges(S);
  if (Problem.empty())
    Switches = S;
  return Problem;
}

Json toJson(const EngineSwitches &S) {
  return {{"slow", S.Slow},
          {"silent", S.Silent},
          {"mute", S.Mute},
          {"cut_after_tokens", S.CutAfterTokens},
          {"cut_after_bytes", S.CutAfterBytes},
          {"fail_after_tokens", S.FailAfterTokens},
          {"die_after_tokens", S.DieAfterTokens},
          {"crossed_share", S.CrossedShare},
          {"duplicated_share", S.DuplicatedShare},
          {"refuse", S.Refuse},
          {"stop_announcing", S.StopAnnouncing},
          {"leaving", S.Leaving},
          {"leak_cancels", S.LeakCancels},
          {"count", S.Count}};
}

void countFailure(EngineSwitches &S) {
  if (S.Count == 0 || --S.Count > 0)
    return;
  S.Mute = false;
  S.CutAfterTokens = -1;
  S.CutAfterBytes = -1;
  S.FailAfterTokens = -1;
  S.Refuse.clear();
}

} // namespace pimento::fakes
