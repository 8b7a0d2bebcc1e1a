// The process of a site whose settings list all hosts.

#include "node/Node.h"
#include "shell/DataFolder.h"
#include "shell/HostProgram.h"
#include "shell/Process.h"

#include <csignal>
#include <memory>

namespace pimento {

namespace {

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

int runHost(const Settings &S) {
  std::signal(SIGPIPE, SIG_IGN);
  DataFolder Folder;
  if (!openDataFolderOrLog(S, Folder))
    return 1;
  NodeStart Start;
  Start.Config = S;
  Start.Incarnation = makeIncarnation();
  Start.Seed = systemSeed();
  Start.WallClock = std::chrono::system_clock::now().time_since_epoch();
  if (Folder.Store) {
    Start.DiskIncarnation = Folder.Store->Self.Incarnation;
    Start.Start = Folder.Store->Self.Start;
    Start.Found = std::move(Folder.RecoveredGroups);
  }
  auto Node = std::make_shared<NodeState>(makeNode(Start, steadyNow()));
  HostProgram Program;
  Program.Self = S.Host.Name;
  Program.Now = &steadyNow;
  Program.Reduce = [Node](const Event &E, TimePoint Now) {
    return reduce(*Node, E, Now);
  };
  Program.NextTick = [Node](TimePoint) {
    return Node->LastTick + NodeTickInterval;
  };
  Program.Gauges = [Node](TimePoint Now) { return nodeGauges(*Node, Now); };
  return runProgram(S, Folder, Start.Incarnation, std::move(Program));
}

} // namespace pimento
