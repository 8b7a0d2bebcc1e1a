//===- Options.h - The command line of a load run ---------------*- C++ -*-===//
#pragma once

#include "base/Result.h"
#include "load/Plan.h"

#include <optional>
#include <string>
#include <vector>

namespace pimento::load {

/// One client account to send as.
struct Account {
  std::string Name;
  std::string Token; // Never printed.
  std::optional<double> Weight;
};

/// The site to load.
struct Target {
  std::vector<std::string> Hosts; // ip:port of the callers' listeners.
  std::vector<Account> Accounts;
  std::vector<std::string> Models;
  std::string PlainService;      // Empty: no plain calls.
  std::string NonRepeatableCall; // Path below the service's calls.
};

struct Options {
  Target Site;
  PlanSettings Plan; // Its counts of accounts, hosts and models are filled in.
  bool Alone = false;
  bool ExactCounts = false; // The engines are stand-ins.
  bool Help = false;
  std::string JsonFile; // Empty: none.
  std::string HtmlFile; // Empty: none.
};

/// The help text.
std::string usageText();

/// Reads arguments, site file and token files. Fails with SettingUnknown,
/// SettingInvalid, SettingMissing or SettingsUnreadable.
Result<Options> readOptions(const std::vector<std::string> &Arguments);

/// The target that a site file describes. Fails with SettingInvalid.
Result<Target> readSite(const std::string &Text);

} // namespace pimento::load
