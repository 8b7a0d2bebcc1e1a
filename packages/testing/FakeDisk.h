//===- FakeDisk.h - In-memory disk with injected faults ---------*- C++ -*-===//
//
//   FakeDisk D(Seed);
//   openStore(D.disk(), ...);
//   D.CrashAt = D.Steps + 3;    // Crashes during the third operation from now.
//   D.loseUnsynced();           // Power loss; for kill -9 set D.Dead = false.
//
// Simulates crashes, torn writes and I/O errors for tests of storage code.
// Unsynced data survives a power loss in part: each 512-byte sector and each
// rename, removal or creation of a file may or may not have reached the disk.
// A failed sync leaves the file as a power loss would.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Random.h"
#include "storage/Disk.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pimento::testing {

class FakeDisk {
public:
  Random Rng;
  std::uint64_t Steps = 0;   // Changing operations so far.
  std::uint64_t CrashAt = 0; // Step that crashes the disk; zero: none.
  std::uint64_t FailAt = 0;  // First of the failing steps; zero: none.
  int FailError = ENOSPC;
  bool Dead = false;
  std::uint64_t Syncs = 0; // Successful syncs of files, without the folder.

  explicit FakeDisk(std::uint64_t Seed) : Rng(Seed) {}

  Disk disk() {
    Disk D;
    D.List = [this](std::vector<std::string> &All) { return list(All); };
    D.Read = [this](const std::string &Name, std::string &Data) {
      return read(Name, Data);
    };
    D.Append = [this](const std::string &Name, std::string_view Data) {
      return append(Name, Data);
    };
    D.Sync = [this](const std::string &Name) { return sync(Name); };
    D.Truncate = [this](const std::string &Name, std::uint64_t Size) {
      return truncate(Name, Size);
    };
    D.Rename = [this](const std::string &From, const std::string &To) {
      return changeName({From, To, nullptr});
    };
    D.Remove = [this](const std::string &Name) {
      return changeName({Name, "", nullptr});
    };
    D.SyncFolder = [this] { return syncFolder(); };
    return D;
  }

  /// Simulates a power loss followed by a restart of the host.
  void loseUnsynced() {
    Dead = false;
    Names = SyncedNames;
    for (const NameChange &Change : Pending) {
      if (below(Rng, 2) == 0)
        apply(Names, Change);
    }
    SyncedNames = Names;
    Pending.clear();
    for (auto &Name : Names)
      tear(*Name.second);
  }

  /// The same, and nothing of what was not synced has reached the disk.
  void loseAllUnsynced() {
    Dead = false;
    Names = SyncedNames;
    Pending.clear();
    for (auto &Name : Names)
      Name.second->Cache = Name.second->Synced;
  }

  void wipe() {
    Names.clear();
    SyncedNames.clear();
    Pending.clear();
    Dead = false;
  }

  /// Returns a copy of the current contents of all files, for restore().
  std::map<std::string, std::string> image() const {
    std::map<std::string, std::string> Image;
    for (const auto &Name : Names)
      Image[Name.first] = Name.second->Cache;
    return Image;
  }

  void restore(const std::map<std::string, std::string> &Image) {
    wipe();
    for (const auto &File : Image) {
      auto New = std::make_shared<FakeFile>();
      New->Cache = File.second;
      New->Synced = File.second;
      Names[File.first] = New;
    }
    SyncedNames = Names;
  }

private:
  struct FakeFile {
    std::string Cache;  // Contents that a read returns.
    std::string Synced; // Contents that survive a power loss.
  };
  using NameMap = std::map<std::string, std::shared_ptr<FakeFile>>;

  /// A rename, a removal (To is empty) or a new file (From is empty).
  struct NameChange {
    std::string From;
    std::string To;
    std::shared_ptr<FakeFile> New;
  };

  NameMap Names;
  NameMap SyncedNames;
  std::vector<NameChange> Pending;

  static constexpr std::size_t SectorBytes = 512;

  static void apply(NameMap &Map, const NameChange &Change) {
    if (Change.From.empty()) {
      Map[Change.To] = Change.New;
      return;
    }
    auto Found = Map.find(Change.From);
    if (Found == Map.end())
      return;
    if (!Change.To.empty())
      Map[Change.To] = Found->second;
    Map.erase(Change.From);
  }

  void tear(FakeFile &File) {
    const std::string &New = File.Cache;
    const std::string &Old = File.Synced;
    if (New == Old)
      return;
    std::size_t Short = std::min(New.size(), Old.size());
    std::size_t Long = std::max(New.size(), Old.size());
    std::string Result(Short + below(Rng, Long - Short + 1), '\0');
    for (std::size_t At = 0; At < Result.size(); At += SectorBytes) {
      const std::string &From = below(Rng, 2) == 0 ? New : Old;
      for (std::size_t I = At; I < std::min(At + SectorBytes, Result.size());
           ++I)
        Result[I] = I < From.size() ? From[I] : '\0';
    }
    File.Cache = Result;
    File.Synced = Result;
  }

  /// Counts one step and returns zero if it succeeds, otherwise the errno
  /// value. Sets \p Partly if a failing step still takes effect in part.
  int begin(bool &Partly) {
    Partly = false;
    if (Dead)
      return EIO;
    ++Steps;
    if (CrashAt != 0 && Steps >= CrashAt) {
      Dead = true;
      Partly = below(Rng, 2) == 0;
      return EIO;
    }
    if (FailAt != 0 && Steps >= FailAt) {
      Partly = true;
      return FailError;
    }
    return 0;
  }

  int list(std::vector<std::string> &All) const {
    if (Dead)
      return EIO;
    All.clear();
    for (const auto &Name : Names)
      All.push_back(Name.first);
    return 0;
  }

  int read(const std::string &Name, std::string &Data) const {
    auto Found = Names.find(Name);
    if (Dead || Found == Names.end())
      return Dead ? EIO : ENOENT;
    Data = Found->second->Cache;
    return 0;
  }

  int append(const std::string &Name, std::string_view Data) {
    bool Partly = false;
    int Error = begin(Partly);
    if (Error != 0 && !Partly)
      return Error;
    auto Found = Names.find(Name);
    if (Found == Names.end()) {
      NameChange Change{"", Name, std::make_shared<FakeFile>()};
      apply(Names, Change);
      Pending.push_back(Change);
      Found = Names.find(Name);
    }
    if (Error != 0)
      Data = Data.substr(0, below(Rng, Data.size() + 1));
    Found->second->Cache += Data;
    return Error;
  }

  int sync(const std::string &Name) {
    bool Partly = false;
    int Error = begin(Partly);
    auto Found = Names.find(Name);
    if (Found == Names.end())
      return Error != 0 ? Error : ENOENT;
    if (Error != 0) {
      if (Partly)
        tear(*Found->second);
      return Error;
    }
    ++Syncs;
    Found->second->Synced = Found->second->Cache;
    return 0;
  }

  int truncate(const std::string &Name, std::uint64_t Size) {
    bool Partly = false;
    int Error = begin(Partly);
    auto Found = Names.find(Name);
    if (Error == 0 && Found != Names.end())
      Found->second->Cache.resize(Size);
    return Error;
  }

  int changeName(const NameChange &Change) {
    bool Partly = false;
    int Error = begin(Partly);
    if (Error != 0 && !Partly)
      return Error;
    apply(Names, Change);
    Pending.push_back(Change);
    return Error;
  }

  int syncFolder() {
    bool Partly = false;
    if (int Error = begin(Partly))
      return Error;
    SyncedNames = Names;
    Pending.clear();
    return 0;
  }
};

} // namespace pimento::testing
