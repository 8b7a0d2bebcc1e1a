#include "shell/SiteProcess.h"

#include "base/SettingText.h"

#include "control/ControlHost.h"
#include "gateway/Gateway.h"
#include "shell/DataFolder.h"
#include "shell/HostProgram.h"

#include <csignal>
#include <ctime>
#include <memory>

namespace pimento {

namespace {

/// Clock that keeps running while the host is suspended, unlike the steady
/// clock, so that a lease (a right with an expiry time) does not outlast a
/// suspension.
TimePoint bootNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(seconds(Time.tv_sec) + Duration(Time.tv_nsec));
}

HostProgram makeCommonProgram(const Settings &S, const std::string &File) {
  HostProgram Program;
  Program.SitePort = portOf(S.Host.PeerAddress);
  Program.SettingsFile = File;
  Program.Now = &bootNow;
  return Program;
}

/// Builds the program of a host from its initial state and its reducer.
template <class Host>
HostProgram makeProgram(const Settings &S, const std::string &File,
                        const std::shared_ptr<Host> &State,
                        Effects (*Reduce)(Host &, const Event &, TimePoint),
                        std::vector<MetricSample> (*Gauges)(const Host &,
                                                            TimePoint)) {
  HostProgram Program = makeCommonProgram(S, File);
  Program.Self = State->Self;
  Program.Reduce = [State, Reduce](const Event &E, TimePoint Now) {
    return Reduce(*State, E, Now);
  };
  Program.NextTick = [State](TimePoint Now) { return nextWakeup(*State, Now); };
  Program.Gauges = [State, Gauges](TimePoint Now) {
    return Gauges(*State, Now);
  };
  return Program;
}

/// Whether a request is open that this host handed over to \p Host, or took
/// from it.
bool isRelaying(const Gateway &S, const HostId &Host) {
  auto Peer = S.Relays.Peers.Hosts.find(Host);
  if (Peer != S.Relays.Peers.Hosts.end() && Peer->second.InFlight > 0)
    return true;
  auto Taken = S.Relays.TakenById.lower_bound({Host, 0});
  return Taken != S.Relays.TakenById.end() && Taken->first.first == Host;
}

} // namespace

int runSiteHost(const Settings &S, const std::string &File,
                const Adapter &Platform) {
  std::signal(SIGPIPE, SIG_IGN);
  boundAllocator();
  DataFolder Folder;
  IncarnationNumber Incarnation = makeIncarnation();
  if (S.Join.Role == "control") {
    if (!openDataFolderOrLog(S, Folder))
      return 1;
    ControlStart Start;
    Start.Config = S;
    Start.Platform = Platform;
    Start.Incarnation = Incarnation;
    Start.Seed = systemSeed();
    Start.DiskIncarnation = Folder.Store->Self.Incarnation;
    Start.Start = Folder.Store->Self.Start;
    Start.Found = std::move(Folder.RecoveredGroups);
    Start.KeptServers = loadServers(Folder);
    auto State =
        std::make_shared<ControlHost>(makeControlHost(Start, bootNow()));
    HostProgram Program =
        makeProgram(S, File, State, &reduceControl, &controlGauges);
    Program.IsReservedField = Platform.IsReservedField;
    return runProgram(S, Folder, Incarnation, std::move(Program));
  }
  GatewayStart Start;
  Start.Config = S;
  Start.Platform = Platform;
  Start.Incarnation = Incarnation;
  Start.Seed = systemSeed();
  auto State = std::make_shared<Gateway>(makeGateway(Start, bootNow()));
  HostProgram Program =
      makeProgram(S, File, State, &reduceGateway, &gatewayGauges);
  Program.IsReservedField = Platform.IsReservedField;
  Program.HeldBytes = [State] { return heldBytes(*State); };
  Program.IsRelaying = [State](const HostId &Host) {
    return isRelaying(*State, Host);
  };
  return runProgram(S, Folder, Incarnation, std::move(Program));
}

} // namespace pimento
