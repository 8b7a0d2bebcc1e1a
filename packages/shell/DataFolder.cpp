#include "shell/DataFolder.h"

#include "base/Result.h"
#include "storage/Files.h"

#include <cstring>
#include <random>

namespace pimento {

std::string openDataFolder(const Settings &S, DataFolder &Folder) {
  if (S.Host.DataFolder.empty())
    return "";
  Disk Files;
  if (int Error = openPosixDisk(S.Host.DataFolder, Files))
    return S.Host.DataFolder + ": " + std::strerror(Error);
  StoreConfig Config;
  Config.Host = S.Host.Name;
  std::random_device Device;
  Config.Nonce = (static_cast<std::uint64_t>(Device()) << 32U) | Device() | 1U;
  Failure Why;
  bool Opened = valueOr<bool>(
      [&]() -> Result<bool> {
        auto Store = openStore(Files, Config, Folder.RecoveredGroups);
        if (!Store)
          return Store.error();
        Folder.Store = std::move(*Store);
        return true;
      },
      false, Why);
  if (Opened)
    return "";
  return S.Host.DataFolder + ": " + Why.Detail + " (" + toString(Why.Number) +
         ")";
}

namespace {

constexpr const char *ServersFile = "servers";

} // namespace

std::string saveServers(DataFolder &Folder, const std::string &Bytes) {
  Failure Why;
  valueOr<bool>(
      [&]() -> Result<bool> {
        auto Done =
            storage::replaceFile(Folder.Store->Files, ServersFile, Bytes);
        if (!Done)
          return Done.error();
        return true;
      },
      false, Why);
  return Why.Detail;
}

std::string loadServers(const DataFolder &Folder) {
  std::string Bytes;
  if (Folder.Store->Files.Read(ServersFile, Bytes) != 0)
    return "";
  return Bytes;
}

} // namespace pimento
