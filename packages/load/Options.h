//===- Options.h - The command line of a load run ---------------*- C++ -*-===//
#pragma once

#include "base/Result.h"
#include "load/Plan.h"

#include <optional>
#include <string>
#include <vector>

namespace pimento::load {

/// Client account used to send requests.
struct Account {
  std::string Name;
  std::string Token;            // Never printed.
  std::optional<double> Weight; // For the report; empty: unknown.
};

/// Site that receives the load.
struct Target {
  std::vector<std::string> Hosts; // ip:port of the listeners for callers.
  std::vector<Account> Accounts;
  std::vector<std::string> Models;
  std::string PlainService;      // Empty: no plain calls.
  std::string NonRepeatableCall; // Path of the call within the service.
};

struct Options {
  Target Site;
  PlanSettings Plan;        // Account, host and model counts as in Site.
  bool Alone = false;       // First run the short completions alone.
  bool ExactCounts = false; // Stand-in engines: four bytes per token.
  bool Help = false;
  std::string JsonFile; // Empty: none.
  std::string HtmlFile; // Empty: none.
};

/// Returns the text of --help.
std::string usageText();

/// Parses the arguments and reads the site file and token files. Fails with
/// SettingUnknown, SettingInvalid, SettingMissing or SettingsUnreadable, or as
/// readSite() does for the text of the site file.
Result<Options> readOptions(const std::vector<std::string> &Arguments);

/// Parses the text of a site file. Fails with SettingInvalid, or as parseJson()
/// does if the text is not JSON.
Result<Target> readSite(const std::string &Text);

} // namespace pimento::load
