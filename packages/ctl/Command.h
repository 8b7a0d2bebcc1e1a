//===- Command.h - Command line of pimentogladectl --------------*- C++ -*-===//
//
//   Command C;
//   std::string Why;
//   if (!parseCommand({"document", "get", "crew-ledger"}, Options(), C, Why))
//     return ExitCode::Usage;
//
// Index
//   ExitCode        exit status of the process, also listed in docs/CTL.md
//   Options         values of the "--" options
//   Command         a parsed command
//   commandTable()  every command with its arguments and meaning
//   parseCommand()  parses the positional arguments into a Command
//   usage()         the text of --help
//   delegatedCommands()
//                   commands that parse their own arguments and options
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace pimento::ctl {

/// Exit status of the process. Scripts depend on these numbers; the meaning of
/// a number must not change.
enum class ExitCode : std::uint8_t {
  Ok = 0,
  Failed = 1,       // Any failure that no other status describes.
  Usage = 2,        // Wrong command, option or token file; nothing was sent.
  InvalidInput = 3, // A document or settings file breaks its schema.
  Conflict = 4,     // Another edit has the number, or another text the edit id.
  Unauthorized = 5, // The token is unknown or lacks permission.
  Refused = 6,      // The request was not run; it may be retried.
  Unreachable = 7,  // No host answered; nothing was changed.
  OutcomeUnknown = 8, // The edit may or may not have been accepted.
  UnknownService = 9, // No service or resource has this name.
};

constexpr Duration DefaultTimeout = seconds(10);
constexpr Duration MaxTimeout = hours(1);

struct Options {
  /// Host addresses as ip:port, tried in order.
  std::vector<std::string> Operators;
  std::string EditId; // Empty: the digest of the document is used.
  Duration Timeout = DefaultTimeout; // Limit for the whole command.
  bool Json = false;                 // Print replies unchanged, as JSON.
};

enum class CommandKind : std::uint8_t {
  DocumentPut,
  DocumentGet,
  DocumentHistory,
  DocumentCheck,
  DocumentDiff,
  InForce,
  Status,
  Hosts,
  Backends,
  SettingsCheck,
  QuarantineList,
  QuarantineLift,
  RoutingHosts,
  Limits,
  Paths,
  Servers,
  EvacuationList,
  EvacuationStart,
  EvacuationFinish,
};

/// Whether the command orders an evacuation or its end. Such an order may be
/// sent again without an edit id.
bool isEvacuationOrder(CommandKind Kind);

struct Command {
  CommandKind Kind = CommandKind::Status;
  ServiceId Service; // Empty if the command takes no service.
  std::string Part;  // Part of prompts or digest of a request, in hexadecimal;
                     // empty if it takes none.
  DataCentreId DataCentre;        // Empty if the command takes no data centre.
  std::vector<std::string> Files; // Input files; "-" is standard input.
};

/// Syntax and help text of a command.
struct CommandInfo {
  CommandKind Kind;
  const char *Group;        // First word.
  const char *Verb;         // Second word; "" for commands of one word.
  const char *Arguments;    // Argument syntax as shown by --help.
  std::size_t MinArguments; // Minimum number of arguments.
  std::size_t MaxArguments; // Maximum number of arguments.
  bool TakesFiles;          // Arguments are files; otherwise a service.
  const char *Meaning;      // One-line description for --help.
};

/// All commands except those of delegatedCommands(), in the order of
/// docs/CTL.md.
const std::vector<CommandInfo> &commandTable();

/// Parses \p Words, the arguments without options, into \p C. Also rejects
/// options that the command does not accept. On failure returns false and
/// describes the error in \p Why.
bool parseCommand(const std::vector<std::string> &Words, const Options &O,
                  Command &C, std::string &Why);

/// Parses "http://ip:port,http://ip:port" and appends each ip:port to the list
/// \p Addresses. On failure returns false and describes the error in \p Why;
/// addresses before the invalid one may have been appended.
bool parseOperators(const std::string &Text,
                    std::vector<std::string> &Addresses, std::string &Why);

/// Returns the text of --help.
std::string usage();

/// A command implemented by another package, which parses its own arguments
/// and options.
struct DelegatedCommand {
  const char *Name;
  const char *Meaning; // One-line description for --help.
  std::function<int(const std::vector<std::string> &Arguments,
                    std::ostream &Out, std::ostream &Err)>
      Run;
};

/// All delegated commands. main() dispatches to them before it parses any
/// option.
const std::vector<DelegatedCommand> &delegatedCommands();

} // namespace pimento::ctl
