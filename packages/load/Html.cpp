#include "load/Summary.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace pimento::load {

namespace {

// Dimensions of the chart, in pixels.
constexpr double ChartWidth = 760;
constexpr double ChartHeight = 300;
constexpr double Left = 70;
constexpr double Bottom = 260;
constexpr double Top = 20;
constexpr double BarWidth = 36;
constexpr double BarGap = 6;

constexpr std::array<const char *, 3> BarNames = {"p50", "p95", "p99"};
constexpr double BarsWidth = 3 * BarWidth + 2 * BarGap; // For one class.
constexpr std::array<const char *, 3> BarColours = {"#8fb8de", "#3b78b5",
                                                    "#173f66"};

constexpr const char *Style = R"(
body { font: 15px sans-serif; margin: 2em auto; max-width: 60em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
th, td { padding: 0.25em 0.8em; border-bottom: 1px solid #ccc }
td + td, th + th { text-align: right }
.bad { color: #a00; font-weight: bold }
.good { color: #060; font-weight: bold }
)";

std::string escape(const std::string &Text) {
  std::string Safe;
  for (char C : Text) {
    if (C == '<')
      Safe += "&lt;";
    else if (C == '>')
      Safe += "&gt;";
    else if (C == '&')
      Safe += "&amp;";
    else if (C == '"')
      Safe += "&quot;";
    else if (C >= ' ' && C <= '~')
      Safe += C;
    else
      Safe += '?'; // Replies may have control characters; XML forbids them.
  }
  return Safe;
}

std::string number(double Value, int Digits) {
  std::ostringstream OS;
  OS << std::fixed << std::setprecision(Digits) << Value;
  return OS.str();
}

double inMilliseconds(Duration D) {
  constexpr double MillisecondsPerSecond = 1000;
  return toSeconds(D) * MillisecondsPerSecond;
}

std::string millisecondsText(Duration D) {
  return number(inMilliseconds(D), 1);
}

using Cells = std::vector<std::string>;

void row(std::ostream &OS, const char *Tag, const Cells &Row) {
  OS << "<tr>";
  for (const std::string &Cell : Row)
    OS << '<' << Tag << '>' << escape(Cell) << "</" << Tag << '>';
  OS << "</tr>\n";
}

void table(std::ostream &OS, const char *Title, const Cells &Head,
           const std::vector<Cells> &Rows) {
  OS << "<h2>" << Title << "</h2>\n<table>\n";
  row(OS, "th", Head);
  for (const Cells &Row : Rows)
    row(OS, "td", Row);
  OS << "</table>\n";
}

/// Logarithmic axis over whole decades of milliseconds.
struct Scale {
  double Low = 0;  // Decimal exponent at the bottom.
  double High = 1; // Decimal exponent at the top.
};

Scale scaleFor(const Summary &S) {
  double Min = 1;
  double Max = 10;
  for (const ClassRow &Row : S.Classes) {
    if (Row.FirstToken.Count == 0)
      continue;
    Min = std::min(Min, inMilliseconds(Row.FirstToken.P50));
    Max = std::max(Max, inMilliseconds(Row.FirstToken.P99));
  }
  constexpr double Floor = 0.01; // Lowest value of the axis, milliseconds.
  Scale Axis;
  Axis.Low = std::floor(std::log10(std::max(Min, Floor)));
  Axis.High = std::max(Axis.Low + 1, std::ceil(std::log10(Max)));
  return Axis;
}

double heightOf(const Scale &Axis, double Milliseconds) {
  double Power = std::log10(std::max(Milliseconds, std::pow(10, Axis.Low)));
  return (Power - Axis.Low) / (Axis.High - Axis.Low) * (Bottom - Top);
}

void text(std::ostream &OS, double X, double Y, const char *Anchor,
          const std::string &Content) {
  OS << "<text x=\"" << number(X, 1) << "\" y=\"" << number(Y, 1)
     << "\" text-anchor=\"" << Anchor << "\">" << escape(Content)
     << "</text>\n";
}

void axis(std::ostream &OS, const Scale &Axis) {
  for (double Power = Axis.Low; Power <= Axis.High; ++Power) {
    double Value = std::pow(10, Power);
    double Y = Bottom - heightOf(Axis, Value);
    OS << "<line x1=\"" << Left << "\" x2=\"" << ChartWidth << "\" y1=\""
       << number(Y, 1) << "\" y2=\"" << number(Y, 1)
       << "\" stroke=\"#ddd\"/>\n";
    text(OS, Left - 6, Y + 4, "end",
         number(Value, Power < 0 ? static_cast<int>(-Power) : 0) + " ms");
  }
}

void bar(std::ostream &OS, const Scale &Axis, double X, std::size_t Index,
         Duration Value) {
  double Height = heightOf(Axis, inMilliseconds(Value));
  OS << "<rect x=\"" << number(X, 1) << "\" y=\"" << number(Bottom - Height, 1)
     << "\" width=\"" << BarWidth << "\" height=\"" << number(Height, 1)
     << "\" fill=\"" << BarColours[Index] << "\"><title>" << BarNames[Index]
     << ": " << millisecondsText(Value) << " ms</title></rect>\n";
}

void bars(std::ostream &OS, const Scale &Axis, double X, const ClassRow &Row) {
  std::array<Duration, 3> Values = {Row.FirstToken.P50, Row.FirstToken.P95,
                                    Row.FirstToken.P99};
  for (std::size_t I = 0; I != Values.size(); ++I)
    bar(OS, Axis, X + static_cast<double>(I) * (BarWidth + BarGap), I,
        Values[I]);
}

void legend(std::ostream &OS) {
  constexpr double Size = 10;
  constexpr double Step = 60;
  double X = Left;
  for (std::size_t I = 0; I != BarNames.size(); ++I) {
    OS << "<rect x=\"" << X << "\" y=\"0\" width=\"" << Size << "\" height=\""
       << Size << "\" fill=\"" << BarColours[I] << "\"/>\n";
    text(OS, X + Size + 4, Size, "start", BarNames[I]);
    X += Step;
  }
}

void chart(std::ostream &OS, const Summary &S) {
  Scale Axis = scaleFor(S);
  OS << "<h2>Time to first token by prompt length</h2>\n"
     << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << ChartWidth
     << ' ' << ChartHeight << "\" width=\"" << ChartWidth << "\" height=\""
     << ChartHeight << "\" font-size=\"12\">\n";
  axis(OS, Axis);
  legend(OS);
  double Step = (ChartWidth - Left) / static_cast<double>(S.Classes.size());
  double X = Left;
  for (const ClassRow &Row : S.Classes) {
    if (Row.FirstToken.Count != 0)
      bars(OS, Axis, X + (Step - BarsWidth) / 2, Row);
    text(OS, X + Step / 2, Bottom + 20, "middle",
         std::string(toString(Row.Class)) + " (" +
             std::to_string(Row.FirstToken.Count) + ")");
    X += Step;
  }
  OS << "</svg>\n";
}

void classes(std::ostream &OS, const Summary &S) {
  std::vector<Cells> Rows;
  for (const ClassRow &Row : S.Classes)
    Rows.push_back({toString(Row.Class), std::to_string(Row.Sent),
                    std::to_string(Row.Answered), std::to_string(Row.Refused),
                    millisecondsText(Row.FirstToken.P50),
                    millisecondsText(Row.FirstToken.P95),
                    millisecondsText(Row.FirstToken.P99),
                    millisecondsText(Row.GapP95)});
  table(OS, "Completions",
        {"prompt length", "sent", "answered", "refused", "p50 ms", "p95 ms",
         "p99 ms", "gap p95 ms"},
        Rows);
  Rows.clear();
  for (const PlainRow &Row : S.Plain)
    Rows.push_back({toString(Row.Kind), std::to_string(Row.Sent),
                    std::to_string(Row.Answered), std::to_string(Row.Refused),
                    millisecondsText(Row.Time.P50),
                    millisecondsText(Row.Time.P95),
                    millisecondsText(Row.Time.P99)});
  table(OS, "Plain calls",
        {"kind", "sent", "answered", "refused", "p50 ms", "p95 ms", "p99 ms"},
        Rows);
  OS << "<p>Sent twice with one key: " << S.Repeats.Equal << " equal answers, "
     << S.Repeats.Different << " different, " << S.Repeats.Undecided
     << " undecided.</p>\n";
}

void slowdown(std::ostream &OS, const Summary &S) {
  OS << "<h2>Slowdown of short requests</h2>\n<p>";
  if (S.Slow.Pairs == 0)
    OS << "Not measured.";
  else
    OS << "Over " << S.Slow.Pairs << " pairs: p50 " << number(S.Slow.P50, 2)
       << ", p95 " << number(S.Slow.P95, 2) << "; ratio of both p95 "
       << number(S.Slow.P95Ratio, 2) << " (alone: p50 "
       << millisecondsText(S.Slow.Alone.P50) << " ms, p95 "
       << millisecondsText(S.Slow.Alone.P95) << " ms).";
  OS << "</p>\n";
}

void accounts(std::ostream &OS, const Summary &S) {
  constexpr double Percent = 100;
  std::vector<Cells> Rows;
  for (const AccountRow &Row : S.Accounts)
    Rows.push_back(
        {Row.Name, std::to_string(Row.Sent), std::to_string(Row.Answered),
         std::to_string(Row.Tokens), millisecondsText(Row.FirstTokenP95),
         number(Row.Share * Percent, 1),
         Row.WeightShare ? number(*Row.WeightShare * Percent, 1) : "-"});
  table(OS, "Client accounts",
        {"account", "sent", "answered", "tokens", "p95 ms", "share %",
         "weight %"},
        Rows);
}

void refusals(std::ostream &OS, const Summary &S) {
  std::vector<Cells> Rows;
  for (const RefusalRow &Row : S.Refusals)
    Rows.push_back({toString(Row.Number),
                    std::to_string(static_cast<unsigned>(Row.Number)),
                    toString(info(Row.Number).Result),
                    std::to_string(Row.Count)});
  table(OS, "Refusals", {"name", "code", "outcome", "count"}, Rows);
  OS << "<p>Cut streams: " << S.FailedStreams << " that said so, "
     << S.Ended[static_cast<std::size_t>(ResultKind::Interrupted)]
     << " broken connections.</p>\n";
}

void verdict(std::ostream &OS, const Summary &S) {
  if (S.Broken.empty()) {
    OS << "<p class=\"good\">No promise was seen broken.</p>\n";
    return;
  }
  for (const ViolationRow &Row : S.Broken) {
    OS << "<p class=\"bad\">Broken " << Row.Count
       << " times: " << toString(Row.Kind) << "</p>\n<ul>\n";
    for (const std::string &Example : Row.Examples)
      OS << "<li>" << escape(Example) << "</li>\n";
    OS << "</ul>\n";
  }
}

} // namespace

void writeHtml(std::ostream &OS, const Summary &S) {
  const PlanSettings &Plan = S.Info.Plan;
  OS << "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
     << "<meta charset=\"utf-8\"/>\n<title>Load run</title>\n<style>" << Style
     << "</style>\n</head>\n<body>\n<h1>Load run: " << toString(Plan.Workload)
     << "</h1>\n";
  OS << "<p>" << Plan.Rate << " requests a second for "
     << toSeconds(Plan.Length) << " s, seed " << Plan.Seed
     << ", prompt lengths times " << Plan.Scale << ", " << Plan.Hosts
     << " hosts. " << S.Sent << " sent, at most " << S.PeakInFlight
     << " at once; the latest sending was " << millisecondsText(S.MaxSendDelay)
     << " ms behind its plan.</p>\n<p>";
  for (std::size_t I = 0; I != ResultKinds; ++I)
    OS << (I == 0 ? "" : ", ") << S.Ended[I] << ' '
       << toString(static_cast<ResultKind>(I));
  OS << ".</p>\n";
  verdict(OS, S);
  chart(OS, S);
  classes(OS, S);
  slowdown(OS, S);
  accounts(OS, S);
  refusals(OS, S);
  OS << "</body>\n</html>\n";
}

} // namespace pimento::load
