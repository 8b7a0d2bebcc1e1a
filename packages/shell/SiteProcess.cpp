#include "shell/SiteProcess.h"

#include "control/ControlHost.h"
#include "gateway/Gateway.h"
#include "shell/DataFolder.h"
#include "shell/HostProgram.h"

#include <csignal>
#include <ctime>
#include <memory>

namespace pimento {

namespace {

/// Goes on while the machine is suspended, unlike the steady clock: a lease
/// must not outlast a suspension.
TimePoint bootNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(seconds(Time.tv_sec) + Duration(Time.tv_nsec));
}

std::string portPart(const std::string &Address) {
  return Address.substr(Address.rfind(':') + 1);
}

HostProgram commonProgram(const Settings &S, const std::string &File) {
  HostProgram Program;
  Program.SitePort = portPart(S.Host.PeerAddress);
  Program.SettingsFile = File;
  Program.Now = &bootNow;
  return Program;
}

HostProgram controlProgram(const Settings &S, const std::string &File,
                           const ControlStart &Start) {
  auto Host = std::make_shared<ControlHost>(makeControlHost(Start, bootNow()));
  HostProgram Program = commonProgram(S, File);
  Program.Self = Host->Self;
  Program.Reduce = [Host](const Event &E, TimePoint Now) {
    return reduceControl(*Host, E, Now);
  };
  Program.NextTick = [Host](TimePoint Now) { return nextWakeup(*Host, Now); };
  Program.Gauges = [Host](TimePoint Now) { return controlGauges(*Host, Now); };
  return Program;
}

HostProgram entryProgram(const Settings &S, const std::string &File,
                         const GatewayStart &Start) {
  auto Host = std::make_shared<Gateway>(makeGateway(Start, bootNow()));
  HostProgram Program = commonProgram(S, File);
  Program.Self = Host->Self;
  Program.Reduce = [Host](const Event &E, TimePoint Now) {
    return reduceGateway(*Host, E, Now);
  };
  Program.NextTick = [Host](TimePoint Now) { return nextWakeup(*Host, Now); };
  Program.Gauges = [Host](TimePoint Now) { return gatewayGauges(*Host, Now); };
  return Program;
}

} // namespace

int runSiteHost(const Settings &S, const std::string &File,
                const Adapter &Platform) {
  std::signal(SIGPIPE, SIG_IGN);
  DataFolder Folder;
  Incarnation Life = makeLife();
  if (S.Join.Role == "control") {
    if (!openOrReport(S, Folder))
      return 1;
    ControlStart Start;
    Start.Config = S;
    Start.Platform = Platform;
    Start.Life = Life;
    Start.Seed = systemSeed();
    Start.DiskLife = Folder.Open->Self.Life;
    Start.Start = Folder.Open->Self.Start;
    Start.Found = std::move(Folder.Found);
    Start.KeptServers = keptServers(Folder);
    return runProgram(S, Folder, Life, controlProgram(S, File, Start));
  }
  GatewayStart Start;
  Start.Config = S;
  Start.Platform = Platform;
  Start.Life = Life;
  Start.Seed = systemSeed();
  return runProgram(S, Folder, Life, entryProgram(S, File, Start));
}

} // namespace pimento
