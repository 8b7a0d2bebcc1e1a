#include "ctl/Command.h"

#include "base/SettingText.h"
#include "base/Settings.h"
#include "document/Store.h"
#include "explain/Explain.h"
#include "load/Load.h"

#include <algorithm>

namespace pimento::ctl {

namespace {

constexpr std::size_t MaxFileArguments = 1000;
constexpr std::string_view Scheme = "http://";
constexpr std::size_t UsageColumn = 38; // Column of the descriptions in --help.

constexpr const char *UsageHead =
    R"(pimentogladectl: edits service documents and shows what a site does

  pimentogladectl [options] command [arguments]

)";

constexpr const char *UsageTail = R"(
Options
  --operator=http://ip:port[,...]  operators' addresses of some hosts, tried in
                                   this order; or PIMENTO_OPERATOR
  --token_file=FILE                file that holds the operators' token; or the
                                   token itself in PIMENTO_OPERATOR_TOKEN
  --edit_id=ID                     document put: the name of this edit; the same
                                   one when it is sent again (default: the
                                   digest of the text)
  --json                           for programs: the reply as it came
  --timeout=10s                    for the command as a whole
  --help, --version

A file may be "-", standard input.

Exit status
  0  done                          5  the token is not known or not allowed
  1  failed in another way         6  refused: not run, try again later
  2  wrong command or option       7  no host answered; nothing was changed
  3  the file has faults           8  unknown: run the same command again
  4  conflict with another edit    9  no such service

docs/CTL.md has an example of each command.
)";

std::string commandName(const CommandInfo &Row) {
  std::string Words = Row.Group;
  if (*Row.Verb != '\0')
    Words += std::string(" ") + Row.Verb;
  return Words;
}

std::string usageLine(const std::string &Words, const char *Meaning) {
  std::string Line = "  " + Words;
  Line.resize(std::max(Line.size() + 2, UsageColumn), ' ');
  return Line + Meaning + "\n";
}

const CommandInfo *findCommand(const std::vector<std::string> &Words,
                               std::size_t &Used) {
  for (const CommandInfo &Row : commandTable()) {
    Used = *Row.Verb == '\0' ? 1 : 2;
    if (Words.size() < Used || Words[0] != Row.Group)
      continue;
    if (Used == 1 || Words[1] == Row.Verb)
      return &Row;
  }
  return nullptr;
}

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C >= ' ' && C <= '~'; });
}

} // namespace

bool isEvacuationOrder(CommandKind Kind) {
  return Kind == CommandKind::EvacuationStart ||
         Kind == CommandKind::EvacuationFinish;
}

const std::vector<CommandInfo> &commandTable() {
  static const std::vector<CommandInfo> Table = {
      {CommandKind::DocumentPut, "document", "put", "FILE", 1, 1, true,
       "makes an edit; safe to run again"},
      {CommandKind::DocumentGet, "document", "get", "SERVICE", 1, 1, false,
       "prints the document in force"},
      {CommandKind::DocumentHistory, "document", "history", "SERVICE", 1, 1,
       false, "lists the last edits"},
      {CommandKind::DocumentCheck, "document", "check", "FILE...", 1,
       MaxFileArguments, true, "lists every fault; asks no host"},
      {CommandKind::DocumentDiff, "document", "diff", "[OLD] NEW", 1, 2, true,
       "what changes from OLD, or what is in force"},
      {CommandKind::InForce, "in-force", "", "SERVICE", 1, 1, false,
       "the number in force at each host"},
      {CommandKind::Status, "status", "", "", 0, 0, false,
       "the inner state of one host"},
      {CommandKind::Hosts, "hosts", "", "", 0, 0, false,
       "the hosts as one host sees them"},
      {CommandKind::Backends, "backends", "", "", 0, 0, false,
       "the backend servers that are known"},
      {CommandKind::QuarantineList, "quarantine", "list", "", 0, 0, false,
       "requests and parts of prompts that are refused"},
      {CommandKind::QuarantineLift, "quarantine", "lift", "ID", 1, 1, false,
       "serves the part, for all accounts, or the request again"},
      {CommandKind::RoutingHosts, "routing", "hosts", "", 0, 0, false,
       "the configuration at each entry host"},
      {CommandKind::Limits, "limits", "", "", 0, 0, false,
       "backend servers that named a limit of requests"},
      {CommandKind::Paths, "paths", "", "", 0, 0, false,
       "entry hosts that do not reach backend servers"},
      {CommandKind::Servers, "servers", "", "", 0, 0, false,
       "which servers get no requests from one entry host, and why"},
      {CommandKind::EvacuationList, "evacuation", "list", "", 0, 0, false,
       "data centres, and where evacuations are in force"},
      {CommandKind::EvacuationStart, "evacuation", "start", "DATA-CENTRE", 1, 1,
       false, "sends its backend servers nothing more"},
      {CommandKind::EvacuationFinish, "evacuation", "finish", "DATA-CENTRE", 1,
       1, false, "uses its backend servers again"},
      {CommandKind::SettingsCheck, "settings", "check", "FILE...", 1,
       MaxFileArguments, true, "lists every fault; asks no host"},
  };
  return Table;
}

const std::vector<DelegatedCommand> &delegatedCommands() {
  static const std::vector<DelegatedCommand> Table = {
      {"load", "sends a bounded load to a site; docs/LOAD.md",
       load::loadCommand},
      {"explain", "what became of a request, from logs; docs/OPERATIONS.md",
       explain::explainCommand}};
  return Table;
}

bool parseCommand(const std::vector<std::string> &Words, const Options &O,
                  Command &C, std::string &Why) {
  std::size_t Used = 0;
  const CommandInfo *Row = findCommand(Words, Used);
  if (!Row) {
    Why = Words.empty() ? "no command given" : "unknown command: " + Words[0];
    if (Words.size() > 1)
      Why += " " + Words[1];
    return false;
  }
  std::vector<std::string> Rest(
      Words.begin() + static_cast<std::ptrdiff_t>(Used), Words.end());
  std::string Expected = commandName(*Row) + " " + Row->Arguments;
  if (Rest.size() < Row->MinArguments || Rest.size() > Row->MaxArguments ||
      std::count(Rest.begin(), Rest.end(), "") != 0) {
    Why = "expected: " + Expected;
    return false;
  }
  if (std::count(Rest.begin(), Rest.end(), "-") > 1) {
    Why = "standard input can be read only once";
    return false;
  }
  if (!O.EditId.empty() && Row->Kind != CommandKind::DocumentPut) {
    Why = "--edit_id is for document put only";
    return false;
  }
  if (O.EditId.size() > MaxEditIdBytes || !isPrintable(O.EditId)) {
    Why = "--edit_id: expected printable ASCII, " +
          std::to_string(MaxEditIdBytes) + " bytes at most";
    return false;
  }
  C = Command();
  C.Kind = Row->Kind;
  if (Row->TakesFiles)
    C.Files = std::move(Rest);
  else if (C.Kind == CommandKind::QuarantineLift)
    C.Part = Rest[0];
  else if (isEvacuationOrder(C.Kind))
    C.DataCentre = DataCentreId(Rest[0]);
  else if (!Rest.empty())
    C.Service = ServiceId(Rest[0]);
  return true;
}

bool parseOperators(const std::string &Text,
                    std::vector<std::string> &Addresses, std::string &Why) {
  std::size_t Begin = 0;
  while (Begin <= Text.size()) {
    std::size_t End = std::min(Text.find(',', Begin), Text.size());
    std::string Item = Text.substr(Begin, End - Begin);
    Begin = End + 1;
    if (Item.compare(0, Scheme.size(), Scheme) == 0)
      Item.erase(0, Scheme.size());
    if (!Item.empty() && Item.back() == '/')
      Item.pop_back();
    if (!isAddress(Item)) {
      Why = "expected http://ip:port, found \"" + Item + "\"";
      return false;
    }
    Addresses.push_back(std::move(Item));
  }
  return true;
}

std::string usage() {
  std::string Text = UsageHead;
  for (const CommandInfo &Row : commandTable()) {
    std::string Words = commandName(Row) + " " + Row.Arguments;
    Text += usageLine(Words, Row.Meaning);
  }
  for (const DelegatedCommand &Row : delegatedCommands())
    Text += usageLine(std::string(Row.Name) + " --help", Row.Meaning);
  return Text + UsageTail;
}

} // namespace pimento::ctl
