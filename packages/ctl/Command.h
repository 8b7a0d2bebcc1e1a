//===- Command.h - What an operator asks for --------------------*- C++ -*-===//
//
//   Command C;
//   std::string Why;
//   if (!parseCommand({"document", "get", "crew-ledger"}, Options(), C, Why))
//     return ExitCode::Usage;
//
// Index
//   ExitCode        what a script may branch on; docs/CTL.md lists the same
//   Options         everything that stands behind "--"
//   Command         one command as plain data
//   commandTable()  every command with its arguments and meaning
//   parseCommand()  words into a Command
//   usage()         the text of --help
//   ownCommands()   commands that read their own arguments
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

/// Exit status of the process. Numbers never change their meaning.
enum class ExitCode : std::uint8_t {
  Ok = 0,
  Failed = 1,         // A reply or fault that no other number describes.
  Usage = 2,          // Wrong command, option or token file; nothing was sent.
  InvalidInput = 3,   // A document or settings file breaks its schema.
  Conflict = 4,       // Another edit has the number, or another text the id.
  Unauthorized = 5,   // The token is not known or not allowed.
  Refused = 6,        // Not run; it may be sent again later.
  Unreachable = 7,    // No host answered; nothing was changed.
  OutcomeUnknown = 8, // The edit may or may not have been accepted.
  UnknownService = 9, // No service, or nothing, has this name.
};

constexpr Duration DefaultTimeout = seconds(10);
constexpr Duration MaxTimeout = hours(1);

struct Options {
  std::vector<std::string> Operators; // ip:port, tried in this order.
  std::string EditId;                 // Empty: the text's digest serves.
  Duration Timeout = DefaultTimeout;  // Of the command as a whole.
  bool Json = false;                  // For programs: the reply as it came.
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
};

struct Command {
  CommandKind Kind = CommandKind::Status;
  ServiceId Service;              // Of commands that name one.
  std::vector<std::string> Files; // Of commands that read some; "-": stdin.
};

/// One row of the table of commands.
struct CommandInfo {
  CommandKind Kind;
  const char *Group;     // First word.
  const char *Verb;      // Second word; "" for commands of one word.
  const char *Arguments; // For people.
  std::size_t Least;     // Fewest arguments.
  std::size_t Most;      // Most arguments.
  bool TakesFiles;       // Whether they are files, not a service.
  const char *Meaning;   // One line.
};

/// Every command, in the order of the documentation.
const std::vector<CommandInfo> &commandTable();

/// Reads \p Words, options left out. On false \p Why says what is wrong.
bool parseCommand(const std::vector<std::string> &Words, const Options &O,
                  Command &C, std::string &Why);

/// Reads "http://ip:port,http://ip:port" into ip:port texts. On false \p Why
/// says what is wrong.
bool parseOperators(const std::string &Text, std::vector<std::string> &Into,
                    std::string &Why);

/// The text of --help.
std::string usage();

/// A command that reads its own arguments, options included.
struct OwnCommand {
  const char *Name;
  const char *Meaning; // One line.
  std::function<int(const std::vector<std::string> &Arguments,
                    std::ostream &Out, std::ostream &Err)>
      Run;
};

/// Such commands; the process hands over before it reads any option.
const std::vector<OwnCommand> &ownCommands();

} // namespace pimento::ctl
