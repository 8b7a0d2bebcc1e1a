#include "shell/HostProgram.h"

#include "shell/Logger.h"

#include <malloc.h>

#include <chrono>
#include <random>

namespace pimento {

std::uint64_t systemSeed() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

/// Uses the wall clock, so that a later incarnation of a host always supersedes
/// an earlier one.
IncarnationNumber makeIncarnation() {
  auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<IncarnationNumber>(
      std::chrono::duration_cast<microseconds>(Wall).count());
}

void boundAllocator() {
  constexpr int OwnMappingBytes = 256 << 10;
  mallopt(M_MMAP_THRESHOLD, OwnMappingBytes);
}

bool openDataFolderOrLog(const Settings &S, DataFolder &Folder) {
  std::string Problem = openDataFolder(S, Folder);
  if (Problem.empty())
    return true;
  Logger(S.Log, S.Host.Name).write(LogLevel::Error, "start_failed", Problem);
  return false;
}

} // namespace pimento
