#include "load/Summary.h"

#include "base/Json.h"

#include <iomanip>
#include <sstream>

namespace pimento::load {

namespace {

constexpr double MillisecondsPerSecond = 1000;
constexpr double Percent = 100;

double milliseconds(Duration D) { return toSeconds(D) * MillisecondsPerSecond; }

std::string number(double Value, int Digits) {
  std::ostringstream OS;
  OS << std::fixed << std::setprecision(Digits) << Value;
  return OS.str();
}

std::string inMilliseconds(Duration D) { return number(milliseconds(D), 1); }

/// Writes a table line: one left-aligned column, the others right-aligned.
void line(std::ostream &OS, const std::string &First,
          const std::vector<std::string> &Rest) {
  constexpr int FirstWidth = 22;
  constexpr int Width = 12;
  OS << std::left << std::setw(FirstWidth) << First << std::right;
  for (const std::string &Column : Rest)
    OS << std::setw(Width) << Column;
  OS << '\n';
}

void textClasses(std::ostream &OS, const Summary &S) {
  line(OS, "time to first token",
       {"sent", "answered", "refused", "p50 ms", "p95 ms", "p99 ms",
        "gap p95 ms"});
  for (const ClassRow &Row : S.Classes)
    line(OS, toString(Row.Class),
         {std::to_string(Row.Sent), std::to_string(Row.Answered),
          std::to_string(Row.Refused), inMilliseconds(Row.FirstToken.P50),
          inMilliseconds(Row.FirstToken.P95),
          inMilliseconds(Row.FirstToken.P99), inMilliseconds(Row.GapP95)});
  for (const PlainRow &Row : S.Plain)
    line(OS, toString(Row.Kind),
         {std::to_string(Row.Sent), std::to_string(Row.Answered),
          std::to_string(Row.Refused), inMilliseconds(Row.Time.P50),
          inMilliseconds(Row.Time.P95), inMilliseconds(Row.Time.P99), "-"});
}

void textSlowdown(std::ostream &OS, const Summary &S) {
  if (S.Slow.Pairs == 0) {
    OS << "slowdown of short requests: not measured"
       << (S.Info.Alone ? "" : " (needs --alone)") << '\n';
    return;
  }
  OS << "slowdown of short requests over " << S.Slow.Pairs << " pairs: p50 "
     << number(S.Slow.P50, 2) << ", p95 " << number(S.Slow.P95, 2)
     << ", ratio of both p95 " << number(S.Slow.P95Ratio, 2) << " (alone p50 "
     << inMilliseconds(S.Slow.Alone.P50) << " ms, p95 "
     << inMilliseconds(S.Slow.Alone.P95) << " ms)\n";
}

std::string percent(double Share) { return number(Share * Percent, 1); }

void textAccounts(std::ostream &OS, const Summary &S) {
  line(OS, "client account",
       {"sent", "answered", "tokens", "p95 ms", "share %", "weight %"});
  for (const AccountRow &Row : S.Accounts)
    line(OS, Row.Name,
         {std::to_string(Row.Sent), std::to_string(Row.Answered),
          std::to_string(Row.Tokens), inMilliseconds(Row.FirstTokenP95),
          percent(Row.Share),
          Row.WeightShare ? percent(*Row.WeightShare) : "-"});
}

void textRefusals(std::ostream &OS, const Summary &S) {
  if (S.Refusals.empty())
    OS << "no refusals\n";
  for (const RefusalRow &Row : S.Refusals)
    OS << "refused " << Row.Count
       << " times: " << static_cast<unsigned>(Row.Number) << ' ' << Row.Number
       << ", " << info(Row.Number).Result << '\n';
}

void textBroken(std::ostream &OS, const Summary &S) {
  if (S.Broken.empty())
    OS << "no promise was seen broken\n";
  for (const ViolationRow &Row : S.Broken) {
    OS << "BROKEN " << Row.Count << " times: " << toString(Row.Kind) << '\n';
    for (const std::string &Example : Row.Examples)
      OS << "  " << Example << '\n';
  }
}

Json jsonQuantiles(const Quantiles &Q) {
  return {{"count", Q.Count},
          {"p50_ms", milliseconds(Q.P50)},
          {"p95_ms", milliseconds(Q.P95)},
          {"p99_ms", milliseconds(Q.P99)}};
}

Json jsonClasses(const Summary &S) {
  Json Rows = Json::array();
  for (const ClassRow &Row : S.Classes)
    Rows.push_back({{"class", toString(Row.Class)},
                    {"sent", Row.Sent},
                    {"answered", Row.Answered},
                    {"refused", Row.Refused},
                    {"prompt_tokens", Row.PromptTokens},
                    {"first_token", jsonQuantiles(Row.FirstToken)},
                    {"gap_p95_ms", milliseconds(Row.GapP95)}});
  return Rows;
}

Json jsonPlain(const Summary &S) {
  Json Rows = Json::array();
  for (const PlainRow &Row : S.Plain)
    Rows.push_back({{"kind", toString(Row.Kind)},
                    {"sent", Row.Sent},
                    {"answered", Row.Answered},
                    {"refused", Row.Refused},
                    {"time", jsonQuantiles(Row.Time)}});
  return Rows;
}

Json jsonAccounts(const Summary &S) {
  Json Rows = Json::array();
  for (const AccountRow &Row : S.Accounts) {
    Json Fields = {{"account", Row.Name},
                   {"sent", Row.Sent},
                   {"answered", Row.Answered},
                   {"tokens", Row.Tokens},
                   {"first_token_p95_ms", milliseconds(Row.FirstTokenP95)},
                   {"share", Row.Share}};
    if (Row.WeightShare)
      Fields["weight_share"] = *Row.WeightShare;
    Rows.push_back(std::move(Fields));
  }
  return Rows;
}

Json jsonRefusals(const Summary &S) {
  Json Rows = Json::array();
  for (const RefusalRow &Row : S.Refusals)
    Rows.push_back({{"code", static_cast<unsigned>(Row.Number)},
                    {"name", toString(Row.Number)},
                    {"outcome", toString(info(Row.Number).Result)},
                    {"count", Row.Count}});
  return Rows;
}

Json jsonBroken(const Summary &S) {
  Json Rows = Json::array();
  for (const ViolationRow &Row : S.Broken)
    Rows.push_back({{"promise", toString(Row.Kind)},
                    {"count", Row.Count},
                    {"examples", Row.Examples}});
  return Rows;
}

Json jsonSlowdown(const Summary &S) {
  if (S.Slow.Pairs == 0)
    return nullptr;
  return {{"pairs", S.Slow.Pairs},
          {"p50", S.Slow.P50},
          {"p95", S.Slow.P95},
          {"ratio_of_p95", S.Slow.P95Ratio},
          {"alone", jsonQuantiles(S.Slow.Alone)}};
}

Json jsonRunInfo(const RunInfo &Info) {
  return {{"mix", toString(Info.Plan.Workload)},
          {"rate_per_s", Info.Plan.Rate},
          {"seconds", toSeconds(Info.Plan.Length)},
          {"requests_at_most", Info.Plan.Requests},
          {"seed", Info.Plan.Seed},
          {"scale", Info.Plan.Scale},
          {"hosts", Info.Plan.Hosts},
          {"alone", Info.Alone},
          {"exact_counts", Info.ExactCounts}};
}

} // namespace

void writeText(std::ostream &OS, const Summary &S) {
  const PlanSettings &Plan = S.Info.Plan;
  OS << "mix " << toString(Plan.Workload) << ", " << Plan.Rate
     << " requests/s, " << toSeconds(Plan.Length) << " s, seed " << Plan.Seed
     << ", lengths times " << Plan.Scale << "; " << S.Sent << " sent, at most "
     << S.PeakInFlight << " at once\n";
  for (std::size_t I = 0; I != ResultKinds; ++I)
    OS << (I == 0 ? "" : ", ") << S.Ended[I] << ' '
       << toString(static_cast<ResultKind>(I));
  OS << "\n\n";
  textClasses(OS, S);
  OS << '\n';
  textSlowdown(OS, S);
  OS << '\n';
  textAccounts(OS, S);
  OS << '\n';
  OS << "sent twice: " << S.Repeats.Equal << " equal answers, "
     << S.Repeats.Different << " different, " << S.Repeats.Undecided
     << " undecided\n";
  OS << "cut streams: " << S.FailedStreams << " that said so, "
     << S.Ended[static_cast<std::size_t>(ResultKind::Interrupted)]
     << " broken connections\n";
  OS << "largest delay of a sending behind its plan: "
     << inMilliseconds(S.MaxSendDelay) << " ms\n";
  textRefusals(OS, S);
  textBroken(OS, S);
}

void writeJson(std::ostream &OS, const Summary &S) {
  Json Ended = Json::object();
  for (std::size_t I = 0; I != ResultKinds; ++I)
    Ended[toString(static_cast<ResultKind>(I))] = S.Ended[I];
  Json All = {{"run", jsonRunInfo(S.Info)},
              {"status", exitStatus(S)},
              {"sent", S.Sent},
              {"most_in_flight", S.PeakInFlight},
              {"largest_lag_ms", milliseconds(S.MaxSendDelay)},
              {"ended", std::move(Ended)},
              {"classes", jsonClasses(S)},
              {"plain_calls", jsonPlain(S)},
              {"slowdown_of_short", jsonSlowdown(S)},
              {"accounts", jsonAccounts(S)},
              {"refusals", jsonRefusals(S)},
              {"cut_streams_said", S.FailedStreams},
              {"unreachable", S.Unreachable},
              {"sent_twice",
               {{"equal", S.Repeats.Equal},
                {"different", S.Repeats.Different},
                {"undecided", S.Repeats.Undecided}}},
              {"broken", jsonBroken(S)}};
  OS << All.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
}

} // namespace pimento::load
