// fake-ledger: test service that records its calls, to detect calls that run
// twice.
//
//   fake-ledger --listen=127.0.0.1:0 --journal=ledger.jsonl
//       --announce_to=127.0.0.1:8080 --announce_token=secret

#include "fakes/Http.h"
#include "fakes/LedgerServer.h"
#include "fakes/Process.h"

#include <gflags/gflags.h>
#include <unistd.h>

#include <cstdio>

DEFINE_string(id, "ledger", "name of this backend server");
DEFINE_string(listen, "127.0.0.1:0", "ip:port; port 0: assigned by the system");
DEFINE_string(data_centre, "dc1", "data centre in announcements");
DEFINE_string(service, "ledger", "service that it runs");
DEFINE_string(journal, "", "file that records executed calls (required)");
DEFINE_string(announce_to, "", "hosts to announce to, comma-separated ip:port");
DEFINE_string(announce_token, "", "bearer token of announcements");
DEFINE_string(ready_file, "", "file for the line that is printed when ready");
DEFINE_string(switches, "{}", "failures, as JSON for POST /fake/switches");

namespace {

using namespace pimento;
using namespace pimento::fakes;

int refuseStart(const std::string &Why) {
  std::fprintf(stderr, "fake-ledger: %s\n", Why.c_str());
  return 2;
}

LedgerOptions optionsFromFlags(std::string &Problem) {
  LedgerOptions Options;
  Options.Id = FLAGS_id;
  Options.Listen = FLAGS_listen;
  Options.DataCentre = FLAGS_data_centre;
  Options.Service = FLAGS_service;
  Options.JournalPath = FLAGS_journal;
  Options.Announce.Hosts = splitList(FLAGS_announce_to);
  Options.Announce.Token = FLAGS_announce_token;
  Problem = setSwitches(Json::parse(FLAGS_switches, nullptr, false),
                        Options.Switches);
  return Options;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("test service that keeps a journal of its calls");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::string Problem;
  LedgerOptions Options = optionsFromFlags(Problem);
  if (!Problem.empty())
    return refuseStart("--switches: " + Problem);
  if (Options.JournalPath.empty())
    return refuseStart("--journal is required");
  BasePtr Base(event_base_new());
  LedgerPtr Server = startLedger(Base.get(), Options, Problem);
  if (!Server)
    return refuseStart(Problem);
  Json Ready = {{"id", Options.Id},
                {"address", address(*Server)},
                {"incarnation", incarnation(*Server)},
                {"pid", getpid()}};
  if (!publishReady(FLAGS_ready_file, Ready))
    return refuseStart("can't write " + FLAGS_ready_file);
  runUntilStopped(Base.get(), [&] { drain(*Server); });
  return 0;
}
