//===- pimentoglade.cpp - Process of one host -----------------------------===//

#include "base/Settings.h"
#include "platform/Platform.h"
#include "shell/Process.h"
#include "shell/SiteProcess.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "INI file that describes this host");
DEFINE_bool(check, false, "check the settings and exit");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

constexpr const char *Usage =
    R"(pimentoglade: the one process that an entry host runs

  pimentoglade --settings=FILE           run this host until SIGTERM
  pimentoglade --settings=FILE --check   list what is wrong with the settings

Every key is explained in docs/SETTINGS.md; examples/ holds whole sites.
SIGHUP and a changed file make a host of a site with seeds read them again.
The first SIGTERM drains the host: it turns unready, finishes what is in
progress and exits with 0. A second one stops it at once.

Exit status: 0 graceful stop or good settings, 1 could not start or had to cut
requests, 2 wrong arguments or settings.
)";

constexpr int StatusUsage = 2;

} // namespace

int main(int Argc, char **Argv) {
  // Until the event loop handles it: the settings are read anyway.
  std::signal(SIGHUP, SIG_IGN);
  gflags::ParseCommandLineNonHelpFlags(&Argc, &Argv, true);
  if (FLAGS_help) {
    std::cout << Usage;
    return 0;
  }
  if (FLAGS_version) {
    std::cout << "pimentoglade " PIMENTO_VERSION "\n";
    return 0;
  }
  if (FLAGS_settings.empty() || Argc != 1) {
    std::cerr << Usage;
    return StatusUsage;
  }
  pimento::Settings S;
  std::vector<pimento::SettingProblem> Problems;
  if (!pimento::loadSettings(FLAGS_settings, S, Problems)) {
    for (const pimento::SettingProblem &P : Problems)
      std::cerr << pimento::formatProblem(P) << '\n';
    return StatusUsage;
  }
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": good\n";
    return 0;
  }
  if (S.Join.Role.empty())
    return pimento::runHost(S);
  return pimento::runSiteHost(S, FLAGS_settings, pimento::platform::adapter());
}
