//===- pimentogladectl.cpp - Command line tool for operators --------------===//

#include "base/SettingText.h"
#include "base/Settings.h"
#include "ctl/HttpNetwork.h"
#include "ctl/Run.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

DEFINE_string(operator, "", "operators' addresses, http://ip:port[,...]");
DEFINE_string(token_file, "", "file that holds the operators' token");
DEFINE_string(edit_id, "", "document put: the name of this edit");
DEFINE_string(timeout, "10s", "for the command as a whole");
DEFINE_bool(json, false, "the reply as it came");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

using namespace pimento::ctl;

constexpr const char *OperatorVariable = "PIMENTO_OPERATOR";
constexpr const char *TokenVariable = "PIMENTO_OPERATOR_TOKEN";

int toStatus(ExitCode Exit) { return static_cast<int>(Exit); }

std::string environmentVariable(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value ? Value : "";
}

/// Sets the flag named by Words[I]. If its value is the next word, advances
/// \p I to that word. The gflags parser is not used because it exits with
/// status 1 on an invalid flag.
bool parseFlag(const std::vector<std::string> &Words, std::size_t &I) {
  std::size_t Equals = Words[I].find('=');
  std::string Name = Words[I].substr(0, Equals);
  Name.erase(0, Name.find_first_not_of('-'));
  std::replace(Name.begin(), Name.end(), '-', '_');
  gflags::CommandLineFlagInfo Info;
  if (!gflags::GetCommandLineFlagInfo(Name.c_str(), &Info))
    return false;
  std::string Value = "true";
  if (Equals != std::string::npos)
    Value = Words[I].substr(Equals + 1);
  else if (Info.type != "bool" && I + 1 == Words.size())
    return false;
  else if (Info.type != "bool")
    Value = Words[++I];
  return !gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty();
}

/// Sets all flags found in \p Words and keeps only the positional arguments
/// there. On failure returns false and describes the error in \p Why.
bool parseFlags(std::vector<std::string> &Words, std::string &Why) {
  std::vector<std::string> Arguments;
  for (std::size_t I = 0; I < Words.size(); ++I) {
    std::size_t First = I;
    bool Flag = Words[I].size() > 1 && Words[I][0] == '-';
    if (!Flag) {
      Arguments.push_back(Words[I]);
      continue;
    }
    if (!parseFlag(Words, I)) {
      // Only the name is printed: the value may be a token given by mistake.
      Why = "wrong option: " + Words[First].substr(0, Words[First].find('='));
      return false;
    }
  }
  Words = std::move(Arguments);
  return true;
}

bool readOptions(Options &O, std::string &Why) {
  std::string Operators = FLAGS_operator.empty()
                              ? environmentVariable(OperatorVariable)
                              : FLAGS_operator;
  if (!Operators.empty() && !parseOperators(Operators, O.Operators, Why)) {
    Why = "--operator: " + Why;
    return false;
  }
  if (!pimento::parseDuration(FLAGS_timeout, O.Timeout) ||
      O.Timeout <= pimento::Duration::zero() || O.Timeout > MaxTimeout) {
    Why = "--timeout: expected a time up to 1h such as 10s";
    return false;
  }
  O.EditId = FLAGS_edit_id;
  O.Json = FLAGS_json;
  return true;
}

} // namespace

int main(int Argc, char **Argv) {
  std::vector<std::string> Words(Argv + 1, Argv + Argc);
  for (const DelegatedCommand &Delegated : delegatedCommands()) {
    if (!Words.empty() && Words[0] == Delegated.Name)
      return Delegated.Run({Words.begin() + 1, Words.end()}, std::cout,
                           std::cerr);
  }
  Session S{
      {}, "", environmentVariable(TokenVariable), httpNetwork(), std::cin};
  std::string Why;
  if (!parseFlags(Words, Why) || !readOptions(S.Settings, Why)) {
    std::cerr << "error: " << Why
              << "\npimentogladectl --help lists the options.\n";
    return toStatus(ExitCode::Usage);
  }
  if (FLAGS_help) {
    std::cout << usage();
    return toStatus(ExitCode::Ok);
  }
  if (FLAGS_version) {
    std::cout << "pimentogladectl " PIMENTO_VERSION "\n";
    return toStatus(ExitCode::Ok);
  }
  S.TokenFile = FLAGS_token_file;
  return toStatus(run(Words, S, std::cout, std::cerr));
}
