#include "explain/Explain.h"

#include "base/Codes.h"
#include "base/Json.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace pimento::explain {

namespace {

constexpr JsonLimits LineLimits = {/*Bytes=*/64U << 10U, /*Depth=*/8,
                                   /*Values=*/1024};
constexpr int StatusFound = 0;
constexpr int StatusNotFound = 1;
constexpr int StatusUsage = 2;

/// A parsed log line.
struct Line {
  Json Fields;
  std::string Host;
  std::string Kind;
};

std::string text(const Json &Fields, const char *Name) {
  auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return "";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

std::int64_t number(const Json &Fields, const char *Name,
                    std::int64_t Default = 0) {
  auto Found = Fields.find(Name);
  return Found != Fields.end() && Found->is_number_integer()
             ? Found->get<std::int64_t>()
             : Default;
}

/// Parses a log line. Text before the JSON object, such as the name of the
/// process, is ignored.
std::optional<Line> readLine(std::string_view RawLine) {
  std::size_t Begin = RawLine.find('{');
  if (Begin == std::string_view::npos)
    return std::nullopt;
  Failure Why;
  Line L;
  L.Fields = valueOr<Json>(
      [&] { return parseJson(RawLine.substr(Begin), LineLimits); }, Json(),
      Why);
  if (!L.Fields.is_object())
    return std::nullopt;
  L.Host = text(L.Fields, "host");
  L.Kind = text(L.Fields, "kind");
  if (L.Kind.empty())
    return std::nullopt;
  return L;
}

/// Log lines by host, in the order of the log.
using Logs = std::map<std::string, std::vector<Line>>;

Logs readAll(const std::vector<LogFile> &Files, Explanation &E) {
  Logs All;
  for (const LogFile &File : Files) {
    std::istringstream IS(File.Text);
    for (std::string RawLine; std::getline(IS, RawLine);) {
      if (RawLine.empty())
        continue;
      ++E.Lines;
      if (std::optional<Line> L = readLine(RawLine))
        All[L->Host].push_back(std::move(*L));
      else
        ++E.Unreadable;
    }
  }
  return All;
}

bool isFinalLine(const Line &L) {
  return L.Kind == "request" || L.Kind == "refused";
}

/// Time of day from the timestamp of the line, such as "09:14:05.123".
std::string timeOf(const Line &L) {
  std::string Time = text(L.Fields, "time");
  constexpr std::size_t DateSize = 11; // "2026-01-31T"
  return Time.size() > DateSize ? Time.substr(DateSize) : Time;
}

std::string formatLine(const Line &L) {
  std::string Text = timeOf(L) + "  " + L.Kind;
  for (const auto &[Name, Value] : L.Fields.items()) {
    if (Name == "kind" || Name == "time" || Name == "host" || Name == "level" ||
        Name == "try" || Name == "ticket")
      continue;
    Text += "  " + Name + "=" +
            (Value.is_string() ? Value.get<std::string>() : Value.dump());
  }
  return Text;
}

/// Describes the outcome in the final line of a request as a sentence.
std::string outcomeText(const Line &L) {
  auto Number = static_cast<std::uint16_t>(number(L.Fields, "code"));
  Code C = Code::Ok;
  std::string Name =
      codeFromNumber(Number, C) ? std::string(toString(C)) : "unknown code";
  std::string Reason = text(L.Fields, "reason");
  if (L.Kind == "refused")
    return "refused before it had a call: " + Reason + " (" + Name + ")";
  std::string Sends = std::to_string(number(L.Fields, "sends"));
  if (Number != 0)
    return "ended with status " + text(L.Fields, "status") + " (" + Name +
           "): " + Reason + "; reached " + Sends + " server(s)";
  std::string Relay = text(L.Fields, "relay");
  std::string By = Relay.empty() ? text(L.Fields, "server")
                                 : "a server by way of host " + Relay;
  std::string Text =
      "answered by " + By + " after " + text(L.Fields, "age_ms") + " ms";
  if (L.Fields.contains("first_event_ms"))
    Text += "; first event after " + text(L.Fields, "first_event_ms") +
            " ms, forecast " + text(L.Fields, "forecast_ms") + " ms";
  if (L.Fields.contains("longest_pause_ms"))
    Text += ", longest pause " + text(L.Fields, "longest_pause_ms") + " ms";
  return Text;
}

/// Whether lines of this kind describe the state of a host, such as which host
/// is its placer (the host that chooses engines for requests). Only the newest
/// line of each kind is reported.
bool isStateKind(const std::string &Kind) {
  for (const char *StateKind :
       {"routing_in_force", "control_host", "placer", "placer_silent", "ready",
        "path", "stop_requested", "start", "reload", "lines_left_out"}) {
    if (Kind == StateKind)
      return true;
  }
  return false;
}

/// State lines of the host that were current when it wrote line \p At.
std::string stateBefore(const std::vector<Line> &Log, std::size_t At) {
  std::map<std::string, std::size_t> Newest;
  for (std::size_t I = 0; I < At; ++I) {
    if (isStateKind(Log[I].Kind))
      Newest[Log[I].Kind] = I;
  }
  std::string Text;
  for (const auto &[Kind, I] : Newest)
    Text += "    " + formatLine(Log[I]) + "\n";
  return Text;
}

std::vector<std::string> serversOf(const std::vector<Line> &RequestLines) {
  std::vector<std::string> Servers;
  for (const Line &L : RequestLines) {
    std::string Server = text(L.Fields, "server");
    bool Known =
        std::find(Servers.begin(), Servers.end(), Server) != Servers.end();
    if (!Server.empty() && !Known)
      Servers.push_back(Server);
  }
  return Servers;
}

/// Summarizes the failures at a server over all hosts, as evidence of whether
/// the server or the path to it was at fault. Also counts the prompts whose
/// prefill the server helped with.
std::string serverReport(const Logs &All, const std::string &Server) {
  std::map<std::string, std::uint64_t> FailuresByReason;
  std::uint64_t HostsWithFailures = 0;
  std::uint64_t HelpedCount = 0;
  std::int64_t LongestPrompt = 0;
  for (const auto &[Host, Log] : All) {
    bool HasFailure = false;
    for (const Line &L : Log) {
      if (L.Kind == "try_failed" && text(L.Fields, "server") == Server) {
        ++FailuresByReason[text(L.Fields, "reason")];
        HasFailure = true;
      }
      bool Helps = L.Kind == "placed" &&
                   text(L.Fields, "helpers").find(Server) != std::string::npos;
      if (!Helps)
        continue;
      ++HelpedCount;
      LongestPrompt =
          std::max(LongestPrompt, number(L.Fields, "prompt_tokens"));
    }
    HostsWithFailures += HasFailure ? 1 : 0;
  }
  std::string Text = "  server " + Server + ", in all logs:\n";
  for (const auto &[Reason, Count] : FailuresByReason)
    Text += "    " + std::to_string(Count) + " tries failed: " + Reason + "\n";
  if (!FailuresByReason.empty())
    Text += "    at " + std::to_string(HostsWithFailures) + " host(s)\n";
  if (HelpedCount > 0)
    Text += "    read parts of " + std::to_string(HelpedCount) +
            " other prompts, the longest of " + std::to_string(LongestPrompt) +
            " tokens\n";
  return Text;
}

void appendHostReport(const Logs &All, const std::string &Host,
                      const std::string &ClientAttemptId, Explanation &E) {
  const std::vector<Line> &Log = All.at(Host);
  std::vector<Line> RequestLines;
  std::size_t LastIndex = 0;
  for (std::size_t I = 0; I < Log.size(); ++I) {
    if (text(Log[I].Fields, "try") != ClientAttemptId)
      continue;
    RequestLines.push_back(Log[I]);
    LastIndex = I;
  }
  if (RequestLines.empty())
    return;
  E.Found = true;
  bool IsRelay = text(RequestLines.back().Fields, "relayed") == "true";
  E.Text += "at " + Host +
            (IsRelay ? ", for a host that had no path to the servers" : "") +
            ":\n";
  for (const Line &L : RequestLines)
    E.Text += "  " + formatLine(L) + "\n";
  if (isFinalLine(RequestLines.back()))
    E.Text += "  => " + outcomeText(RequestLines.back()) + "\n";
  else
    E.Text += "  => its last line is missing\n";
  E.Text += "  what the host believed then:\n" + stateBefore(Log, LastIndex);
  for (const std::string &Server : serversOf(RequestLines))
    E.Text += serverReport(All, Server);
}

} // namespace

Explanation explain(const std::string &ClientAttemptId,
                    const std::vector<LogFile> &Files) {
  Explanation E;
  Logs All = readAll(Files, E);
  for (const auto &[Host, Log] : All)
    appendHostReport(All, Host, ClientAttemptId, E);
  return E;
}

int explainCommand(const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err) {
  constexpr std::size_t MinArguments = 2;
  if (Arguments.size() < MinArguments || Arguments[0].empty() ||
      Arguments[0].front() == '-') {
    Err << "usage: pimentogladectl explain ID LOG...\n"
           "  ID   the caller's id of one try, \"try\" in the logs\n"
           "  LOG  files with the JSON lines of any hosts\n";
    return StatusUsage;
  }
  std::vector<LogFile> Files;
  for (std::size_t I = 1; I < Arguments.size(); ++I) {
    std::ifstream File(Arguments[I], std::ios::binary);
    std::ostringstream Text;
    if (File)
      Text << File.rdbuf();
    if (!File || Text.fail()) {
      Err << "explain: cannot read " << Arguments[I] << "\n";
      return StatusUsage;
    }
    Files.push_back({Arguments[I], Text.str()});
  }
  Explanation E = explain(Arguments[0], Files);
  Out << E.Text;
  if (E.Unreadable > 0)
    Err << "explain: " << E.Unreadable << " of " << E.Lines
        << " lines are not readable\n";
  if (!E.Found)
    Err << "explain: no line is about " << Arguments[0] << "\n";
  return E.Found ? StatusFound : StatusNotFound;
}

} // namespace pimento::explain
