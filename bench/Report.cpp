#include "Report.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <set>

namespace pimento::bench {

namespace {

using Json = nlohmann::json;

constexpr const char *ClassNames[] = {"short", "medium", "long"};

Json classJson(const ClassFigures &C) {
  return {{"requests", C.Requests},
          {"finished", C.Finished},
          {"refused", C.Refused},
          {"dropped", C.Dropped},
          {"missed", C.Missed},
          {"first_token_s",
           {{"p50", C.First50}, {"p95", C.First95}, {"p99", C.First99}}},
          {"total_p95_s", C.Total95}};
}

Json rowJson(const PolicyRow &R) {
  Json Classes;
  for (std::size_t I = 0; I < LengthClasses; ++I)
    Classes[ClassNames[I]] = classJson(R.F.Classes[I]);
  return {{"scenario", R.Scenario},
          {"policy", R.Policy},
          {"classes", Classes},
          {"slowdown",
           {{"p50", R.Slow.P50},
            {"p95", R.Slow.P95},
            {"p99", R.Slow.P99},
            {"first_token_p95", R.Slow.First95}}},
          {"refusals", R.F.Refusals},
          {"avoidable_refusals", R.F.Avoidable},
          {"goodput_engine_seconds", R.F.Goodput},
          {"prefill_saved_share", R.F.SavedShare},
          {"slowest_refusal_s", R.F.SlowestRefusal},
          {"unanswered", R.F.Unanswered}};
}

Json boundJson(const Bound &B) {
  return {{"name", B.Name},    {"value", B.Value},      {"limit", B.Limit},
          {"holds", holds(B)}, {"at_least", B.AtLeast}, {"beside", B.Beside}};
}

/// Lines "bound: NAME" always apply; "full bound: NAME" not in the quick run.
std::set<std::string> knownMisses(const std::string &Path, bool Quick) {
  std::set<std::string> Known;
  std::ifstream File(Path);
  for (std::string Line; std::getline(File, Line);) {
    const std::size_t Start = Line.find_first_not_of(' ');
    for (const std::string Mark : {"bound: ", "full bound: "}) {
      if (Start == std::string::npos || Line.rfind(Mark, Start) != Start)
        continue;
      if (!Quick || Mark == "bound: ")
        Known.insert(Line.substr(Start + Mark.size()));
    }
  }
  return Known;
}

void printClass(const ClassFigures &C) {
  std::printf(" |%7.2f %7.2f %7.2f %5zu/%zu/%zu/%zu", C.First50, C.First95,
              C.First99, C.Finished, C.Refused, C.Dropped, C.Missed);
}

} // namespace

bool holds(const Bound &B) {
  return B.AtLeast ? B.Value >= B.Limit : B.Value <= B.Limit;
}

void printRows(const std::vector<PolicyRow> &Rows) {
  std::printf("Slowdown of short requests: p50 p95 p99, of first token p95.\n"
              "Each class: first token p50 p95 p99 in s, then finished/"
              "refused/dropped/missed.\nLast: engine seconds finished a "
              "second, share of prefill saved, avoidable refusals.\n");
  std::string Scenario;
  for (const PolicyRow &R : Rows) {
    if (R.Scenario != Scenario)
      std::printf("%s\n", R.Scenario.c_str());
    Scenario = R.Scenario;
    std::printf("  %-13s%5.2f %5.2f %5.2f %6.2f", R.Policy.c_str(), R.Slow.P50,
                R.Slow.P95, R.Slow.P99, R.Slow.First95);
    for (const ClassFigures &C : R.F.Classes)
      printClass(C);
    std::printf(" |%6.2f %5.3f %4zu\n", R.F.Goodput, R.F.SavedShare,
                R.F.Avoidable);
  }
}

void printBounds(const std::vector<Bound> &Bounds) {
  for (const Bound &B : Bounds)
    std::printf("%-4s %-52s %10.3f %s %-8.3f %s\n", holds(B) ? "ok" : "MISS",
                B.Name.c_str(), B.Value, B.AtLeast ? ">=" : "<=", B.Limit,
                B.Beside.c_str());
}

bool writeJson(const Report &R, const std::string &Path) {
  Json Rows = Json::array();
  for (const PolicyRow &Row : R.Rows)
    Rows.push_back(rowJson(Row));
  Json Bounds = Json::array();
  for (const Bound &B : R.Bounds)
    Bounds.push_back(boundJson(B));
  std::ofstream File(Path);
  File << Json({{"rows", Rows}, {"bounds", Bounds}}).dump(2) << '\n';
  return static_cast<bool>(File);
}

std::size_t newMisses(const Report &R, const std::string &KnownPath,
                      bool Quick) {
  const std::set<std::string> Known = knownMisses(KnownPath, Quick);
  std::size_t Count = 0;
  for (const Bound &B : R.Bounds) {
    if (holds(B))
      continue;
    const bool IsKnown = Known.count(B.Name) != 0;
    Count += IsKnown ? 0 : 1;
    std::printf("%s: %s: %.3f, bound %.3f %s\n",
                IsKnown ? "known miss" : "MISS", B.Name.c_str(), B.Value,
                B.Limit, B.Beside.c_str());
  }
  return Count;
}

} // namespace pimento::bench
