#include "load/Load.h"

#include "load/Options.h"
#include "load/Run.h"
#include "load/Summary.h"

#include <fstream>
#include <random>
#include <sstream>

namespace pimento::load {

namespace {

/// Returns a random name, so that keys and prompts of two runs do not collide.
std::string drawRunName() {
  std::random_device Device;
  std::ostringstream Name;
  Name << "load-" << std::hex << Device() << Device();
  return Name.str();
}

RunInfo runInfoOf(const Options &O) {
  RunInfo Info;
  Info.Plan = O.Plan;
  Info.Alone = O.Alone;
  Info.ExactCounts = O.ExactCounts;
  for (const Account &A : O.Site.Accounts)
    Info.Accounts.push_back({A.Name, A.Weight});
  return Info;
}

Phase makePhase(const Options &O, const std::string &RunName, const char *Name,
                std::vector<Arrival> Plan) {
  Phase P;
  P.Name = Name;
  P.RunName = RunName + "-" + Name;
  P.Site = &O.Site;
  P.Plan = std::move(Plan);
  P.ExactCounts = O.ExactCounts;
  return P;
}

using Writer = void (*)(std::ostream &, const Summary &);

/// Writes the report to \p Path; does nothing if it is empty. Returns false if
/// the file could not be written completely.
bool writeFile(const std::string &Path, Writer Write, const Summary &S,
               std::ostream &Err) {
  if (Path.empty())
    return true;
  std::ofstream File(Path, std::ios::binary | std::ios::trunc);
  Write(File, S);
  File.flush();
  if (!File)
    Err << Path << ": cannot be written\n";
  return File.good();
}

/// Returns whether the file can be opened for writing. Checked before the run,
/// so that its results are not lost because of an invalid path.
bool isWritable(const std::string &Path, std::ostream &Err) {
  if (Path.empty() || std::ofstream(Path, std::ios::binary | std::ios::app))
    return true;
  Err << Path << ": cannot be written\n";
  return false;
}

int run(const Options &O, std::ostream &Out, std::ostream &Err) {
  std::vector<Arrival> Plan = makePlan(O.Plan);
  std::string RunName = drawRunName();
  std::optional<Report> Alone;
  if (O.Alone)
    Alone = runPhase(makePhase(O, RunName, "alone", shortOnly(Plan)), Err);
  Report Shared =
      runPhase(makePhase(O, RunName, "shared", std::move(Plan)), Err);
  Summary S = makeSummary(runInfoOf(O), Shared, Alone ? &*Alone : nullptr);
  writeText(Out, S);
  bool Written = writeFile(O.JsonFile, writeJson, S, Err);
  Written = writeFile(O.HtmlFile, writeHtml, S, Err) && Written;
  int Status = exitStatus(S);
  return Status == StatusOk && !Written ? StatusUsage : Status;
}

} // namespace

int loadCommand(const std::vector<std::string> &Arguments, std::ostream &Out,
                std::ostream &Err) {
  Failure Why;
  Why.Number = Code::Ok;
  Options O = valueOr([&] { return readOptions(Arguments); }, Options(), Why);
  if (Why.Number != Code::Ok) {
    Err << "load: " << Why.Detail << "\n\n" << usageText();
    return StatusUsage;
  }
  if (O.Help) {
    Out << usageText();
    return StatusOk;
  }
  if (!isWritable(O.JsonFile, Err) || !isWritable(O.HtmlFile, Err))
    return StatusUsage;
  return run(O, Out, Err);
}

} // namespace pimento::load
