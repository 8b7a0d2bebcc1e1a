#define BOOST_TEST_MODULE storage
#include <boost/test/unit_test.hpp>

#include "storage/LogStore.h"
#include "testing/FakeDisk.h"

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace pimento;
using pimento::testing::FakeDisk;

namespace {

using FoundGroups = std::map<GroupId, Recovered>;

struct Opened {
  LogStore S;
  FoundGroups Groups;
  Failure Why;
  bool Good = false;
};

StoreConfig config(std::uint64_t Nonce, std::size_t SegmentBytes = 2000) {
  StoreConfig C;
  C.Host = HostId("a");
  C.Nonce = Nonce << 32U | Nonce;
  C.SegmentBytes = SegmentBytes;
  return C;
}

Opened open(const Disk &D, const StoreConfig &C) {
  Opened O;
  O.Why.Number = Code::Ok;
  O.S = valueOr<LogStore>([&] { return openStore(D, C, O.Groups); }, LogStore(),
                          O.Why);
  O.Good = O.Why.Number == Code::Ok;
  return O;
}

bool write(LogStore &S, const std::vector<DiskWrite> &Batch, Failure &Why) {
  return valueOr<bool>(
      [&]() -> Result<bool> {
        auto Done = writeBatch(S, Batch);
        if (!Done)
          return Done.error();
        return true;
      },
      false, Why);
}

LogEntry entry(std::uint64_t Index, std::uint64_t Term, std::size_t Size) {
  LogEntry Entry;
  Entry.Index = Index;
  Entry.Term = Term;
  Entry.Kind = EntryKind::Command;
  Entry.Payload.Data = std::string(Size, static_cast<char>('a' + Index % 26));
  return Entry;
}

/// Expected state of one group on disk, kept in memory.
struct Model {
  HardState Hard;
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::string BaseData;
  std::vector<LogEntry> Entries;
};

void apply(Model &M, const DiskWrite &W) {
  if (W.Hard)
    M.Hard = *W.Hard;
  if (W.NewSnapshot) {
    M.BaseIndex = W.NewSnapshot->Index;
    M.BaseTerm = W.NewSnapshot->Term;
    M.BaseData = *W.NewSnapshot->Data;
    if (W.ResetLog)
      M.Entries.clear();
    while (!M.Entries.empty() && M.Entries.front().Index <= M.BaseIndex)
      M.Entries.erase(M.Entries.begin());
  }
  for (const LogEntry &Entry : W.Entries) {
    while (!M.Entries.empty() && M.Entries.back().Index >= Entry.Index)
      M.Entries.pop_back();
    M.Entries.push_back(Entry);
  }
}

std::uint64_t lastIndex(const Model &M) {
  return M.Entries.empty() ? M.BaseIndex : M.Entries.back().Index;
}

bool sameEntries(const std::vector<LogEntry> &A,
                 const std::vector<LogEntry> &B) {
  auto Same = [](const LogEntry &X, const LogEntry &Y) {
    return X.Index == Y.Index && X.Term == Y.Term && X.Kind == Y.Kind &&
           X.Payload == Y.Payload;
  };
  return std::equal(A.begin(), A.end(), B.begin(), B.end(), Same);
}

bool matches(const Recovered &R, const Model &M) {
  return R.Hard.Term == M.Hard.Term && R.Base.Index == M.BaseIndex &&
         (M.BaseIndex == 0 || *R.Base.Data == M.BaseData) &&
         sameEntries(R.Entries, M.Entries);
}

/// Whether \p R equals \p M with all or nothing of the unsynced \p W applied.
/// The snapshot file alone may be present without the rest.
bool matchesPart(const Recovered &R, const Model &M, const DiskWrite &W) {
  Model WithWrite = M;
  apply(WithWrite, W);
  DiskWrite FileOnly;
  FileOnly.NewSnapshot = W.NewSnapshot;
  FileOnly.ResetLog = W.ResetLog;
  Model File = M;
  apply(File, FileOnly);
  return matches(R, M) || matches(R, File) || matches(R, WithWrite);
}

/// A random valid write of a replica whose state is \p M.
DiskWrite randomWrite(Random &R, GroupId Group, const Model &M) {
  DiskWrite W;
  W.Group = Group;
  std::uint64_t Term = M.Hard.Term;
  if (below(R, 3) == 0 || Term == 0) {
    W.Hard = M.Hard;
    W.Hard->Term = ++Term;
  }
  std::uint64_t Next = lastIndex(M) + 1;
  std::uint64_t Kind = below(R, 10);
  if (Kind == 0 && !M.Entries.empty()) {
    const LogEntry &At = M.Entries[below(R, M.Entries.size())];
    W.NewSnapshot = Snapshot{At.Index, At.Term, {}, nullptr};
  } else if (Kind == 1) {
    W.NewSnapshot = Snapshot{Next + below(R, 5), Term, {}, nullptr};
    W.ResetLog = true;
    Next = W.NewSnapshot->Index + 1;
  } else if (Kind == 2 && M.Entries.size() > 2) {
    Next -= below(R, M.Entries.size() - 1); // Replaces a few entries.
  }
  if (W.NewSnapshot)
    W.NewSnapshot->Data = std::make_shared<const std::string>(
        "state at " + std::to_string(W.NewSnapshot->Index));
  for (std::uint64_t Count = below(R, 4); Count > 0; --Count)
    W.Entries.push_back(entry(Next++, Term, below(R, 300)));
  return W;
}

struct Workload {
  std::map<GroupId, Model> Models;
  std::map<GroupId, DiskWrite> Last; // Writes not known to be synced.
};

/// Writes \p Batches random batches; stops at the first failure.
void runWorkload(LogStore &S, Random &R, Workload &Work, int Batches) {
  for (int I = 0; I < Batches; ++I) {
    std::vector<DiskWrite> Batch;
    Work.Last.clear();
    for (GroupId Group = 0; Group < 3; ++Group) {
      if (below(R, 2) == 0)
        continue;
      Batch.push_back(randomWrite(R, Group, Work.Models[Group]));
      Work.Last[Group] = Batch.back();
    }
    Failure Why;
    if (!write(S, Batch, Why))
      return;
    for (const DiskWrite &W : Batch)
      apply(Work.Models[W.Group], W);
    Work.Last.clear();
  }
}

void checkRecovered(const FoundGroups &Groups, const Workload &Work,
                    const std::string &Context) {
  for (const auto &Entry : Work.Models) {
    auto Found = Groups.find(Entry.first);
    Recovered R = Found == Groups.end() ? Recovered() : Found->second;
    auto Last = Work.Last.find(Entry.first);
    bool Matches = Last == Work.Last.end()
                       ? matches(R, Entry.second)
                       : matchesPart(R, Entry.second, Last->second);
    if (!Matches)
      BOOST_ERROR(Context << " group " << Entry.first << ": base "
                          << R.Base.Index << " entries " << R.Entries.size()
                          << " term " << R.Hard.Term << "; synced: base "
                          << Entry.second.BaseIndex << " entries "
                          << Entry.second.Entries.size() << " term "
                          << Entry.second.Hard.Term);
  }
}

/// Makes the recovered state the expected one from now on.
void adopt(Workload &Work, const FoundGroups &Groups) {
  Work.Models.clear();
  Work.Last.clear();
  for (const auto &Group : Groups) {
    Model &M = Work.Models[Group.first];
    M.Hard = Group.second.Hard;
    M.BaseIndex = Group.second.Base.Index;
    M.BaseTerm = Group.second.Base.Term;
    if (Group.second.Base.Data)
      M.BaseData = *Group.second.Base.Data;
    M.Entries = Group.second.Entries;
  }
}

} // namespace

// Crashes the store at random disk operations, with and without loss of
// unsynced data, and compares the recovered state with all synced batches.
BOOST_AUTO_TEST_CASE(CrashesBetweenAnyTwoStepsLoseNoSyncedData) {
  int Crashes = 0;
  for (std::uint64_t Seed = 1; Seed <= 600; ++Seed) {
    FakeDisk D(Seed);
    Random R(Seed * 7919);
    Workload Work;
    for (std::uint64_t Incarnation = 1; Incarnation <= 5; ++Incarnation) {
      D.CrashAt = D.Steps + 1 + below(R, 60);
      Opened O = open(D.disk(), config(Incarnation));
      std::string Context = "seed " + std::to_string(Seed) + " incarnation " +
                            std::to_string(Incarnation);
      if (O.Good) {
        checkRecovered(O.Groups, Work, Context);
        adopt(Work, O.Groups);
        runWorkload(O.S, R, Work, 30);
      } else {
        BOOST_TEST(D.Dead, Context << ": " << O.Why.Detail);
      }
      if (D.Dead)
        ++Crashes;
      D.CrashAt = 0;
      if (below(R, 2) == 0)
        D.loseUnsynced();
      else
        D.Dead = false;
    }
    Opened O = open(D.disk(), config(99));
    BOOST_TEST(O.Good, "seed " << Seed << ": " << O.Why.Detail);
    checkRecovered(O.Groups, Work, "seed " + std::to_string(Seed) + " end");
  }
  BOOST_TEST(Crashes > 1000);
}

// A process killed between write and sync leaves data that is readable but not
// durable. If a restarted process used such data without a sync, a later power
// failure would lose entries that it relied on.
BOOST_AUTO_TEST_CASE(DataOfAKilledProcessIsSyncedBeforeItIsUsed) {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    FakeDisk D(Seed);
    Opened First = open(D.disk(), config(1));
    DiskWrite W;
    W.Entries = {entry(1, 1, 600)};
    Failure Why;
    write(First.S, {W}, Why);
    W.Entries = {entry(2, 1, 600), entry(3, 1, 600)};
    D.CrashAt = D.Steps + 2; // After the append, before the sync.
    write(First.S, {W}, Why);
    D.CrashAt = 0;
    D.Dead = false;
    Opened Second = open(D.disk(), config(2));
    std::size_t Found = Second.Groups[0].Entries.size();
    D.loseUnsynced();
    Opened Third = open(D.disk(), config(3));
    BOOST_TEST(Third.Groups[0].Entries.size() == Found);
  }
}

// Flips single bits before the last record. Recovery must not mistake such
// damage for a torn tail, which would drop synced entries.
BOOST_AUTO_TEST_CASE(DamageToASyncedRecordFailsTheStart) {
  FakeDisk D(1);
  Opened O = open(D.disk(), config(1, 1U << 20U));
  Failure Why;
  for (std::uint64_t I = 1; I <= 10; ++I) {
    DiskWrite W;
    W.Entries = {entry(I, 1, 100)};
    write(O.S, {W}, Why);
  }
  auto Image = D.image();
  std::string Wal = "wal-0000000000000001";
  std::size_t LastRecord = Image[Wal].size() - 160;
  Random R(5);
  for (int I = 0; I < 500; ++I) {
    auto Damaged = Image;
    std::size_t At = below(R, LastRecord);
    Damaged[Wal][At] = static_cast<char>(Damaged[Wal][At] ^ (1 << below(R, 8)));
    D.restore(Damaged);
    Opened Again = open(D.disk(), config(2, 1U << 20U));
    if (!Again.Good) {
      BOOST_TEST(Again.Why.Number == Code::StorageCorrupt);
      // Nothing is changed, so that operators can inspect the damage.
      BOOST_TEST((D.image() == Damaged));
      continue;
    }
    // Only damage to the zero padding between records is not detected.
    BOOST_TEST(Again.Groups[0].Entries.size() == 10U, "byte " << At);
  }
}

BOOST_AUTO_TEST_CASE(ATornTailIsRepairedAtEveryLength) {
  FakeDisk D(1);
  Opened O = open(D.disk(), config(1, 1U << 20U));
  Failure Why;
  for (std::uint64_t I = 1; I <= 3; ++I) {
    DiskWrite W;
    W.Entries = {entry(2 * I - 1, 1, 50), entry(2 * I, 1, 50)};
    write(O.S, {W}, Why);
  }
  auto Image = D.image();
  std::string Wal = "wal-0000000000000001";
  std::size_t Size = Image[Wal].size();
  for (std::size_t Cut = 1; Cut <= 224; ++Cut) { // Covers the last two records.
    auto Torn = Image;
    Torn[Wal].resize(Size - Cut);
    D.restore(Torn);
    Opened Again = open(D.disk(), config(2, 1U << 20U));
    BOOST_TEST(Again.Good, Again.Why.Detail);
    BOOST_TEST(Again.Groups[0].Entries.size() >= 4U);
    DiskWrite W;
    std::uint64_t Next = Again.Groups[0].Entries.size() + 1;
    W.Entries = {entry(Next, 2, 50)};
    BOOST_TEST(write(Again.S, {W}, Why), Why.Detail);
    Opened Third = open(D.disk(), config(3, 1U << 20U));
    BOOST_TEST(Third.Groups[0].Entries.size() == Next);
  }
}

// Removes each file but the newest segment in turn. Recovery must report the
// loss instead of starting with fewer entries.
BOOST_AUTO_TEST_CASE(MissingFilesFailTheStart) {
  FakeDisk D(1);
  Opened O = open(D.disk(), config(1));
  Failure Why;
  for (std::uint64_t I = 1; I <= 100; ++I) {
    DiskWrite W;
    W.Entries = {entry(I, 1, 100)};
    if (I == 20)
      W.NewSnapshot = Snapshot{15, 1, {}, std::make_shared<std::string>("s")};
    BOOST_TEST(write(O.S, {W}, Why), Why.Detail);
  }
  auto Image = D.image();
  BOOST_TEST(Image.size() > 4U);
  std::string Newest = Image.rbegin()->first;
  for (const auto &File : Image) {
    if (File.first == Newest)
      continue; // Its loss can be detected only by the other voters.
    auto Less = Image;
    Less.erase(File.first);
    D.restore(Less);
    Opened Again = open(D.disk(), config(2));
    bool IsIdentity = File.first == "identity";
    BOOST_TEST(!Again.Good, File.first);
    BOOST_TEST(Again.Why.Number ==
               (IsIdentity ? Code::IdentityMismatch : Code::StorageCorrupt));
  }
}

BOOST_AUTO_TEST_CASE(AFullOrFailingDiskStopsTheStorePermanently) {
  for (int Error : {ENOSPC, EIO}) {
    for (std::uint64_t Seed = 1; Seed <= 150; ++Seed) {
      FakeDisk D(Seed);
      Random R(Seed);
      Workload Work;
      Opened O = open(D.disk(), config(1));
      runWorkload(O.S, R, Work, 10);
      D.FailAt = D.Steps + 1 + below(R, 30);
      D.FailError = Error;
      runWorkload(O.S, R, Work, 100);
      BOOST_TEST(!O.S.Failed.empty());
      D.FailAt = 0;
      Failure Why;
      DiskWrite W;
      W.Entries = {entry(1, 1, 1)};
      BOOST_TEST(!write(O.S, {W}, Why));
      BOOST_TEST(Why.Number == Code::StorageFailed);
      D.loseUnsynced();
      Opened Again = open(D.disk(), config(2));
      BOOST_TEST(Again.Good, Again.Why.Detail);
      checkRecovered(Again.Groups, Work, "seed " + std::to_string(Seed));
    }
  }
}

BOOST_AUTO_TEST_CASE(TheIdentityDistinguishesDisksAndStarts) {
  FakeDisk D(1);
  Identity First = open(D.disk(), config(1)).S.Self;
  Identity Second = open(D.disk(), config(2)).S.Self;
  BOOST_TEST(First.Incarnation == Second.Incarnation);
  BOOST_TEST(startCount(First.Start) == 1U);
  BOOST_TEST(startCount(Second.Start) == 2U);
  auto Image = D.image();
  Identity Third = open(D.disk(), config(3)).S.Self;
  D.restore(Image);
  Identity Copy = open(D.disk(), config(4)).S.Self;
  BOOST_TEST(startCount(Copy.Start) == startCount(Third.Start));
  BOOST_TEST(Copy.Start != Third.Start);

  StoreConfig Other = config(5);
  Other.Host = HostId("b");
  BOOST_TEST(open(D.disk(), Other).Why.Number == Code::IdentityMismatch);

  D.wipe();
  BOOST_TEST(open(D.disk(), config(6)).S.Self.Incarnation != First.Incarnation);
  Image = D.image();
  Image["identity"][30] ^= 1;
  D.restore(Image);
  BOOST_TEST(open(D.disk(), config(7)).Why.Number == Code::StorageCorrupt);
}

BOOST_AUTO_TEST_CASE(ABatchNeedsOneSyncAndSnapshotsFreeSegments) {
  FakeDisk D(1);
  Opened O = open(D.disk(), config(1));
  Failure Why;
  std::uint64_t Before = D.Syncs;
  std::uint64_t Index = 1;
  for (; Index <= 200; ++Index) {
    std::vector<DiskWrite> Batch;
    for (GroupId Group = 0; Group < 8; ++Group) {
      DiskWrite W;
      W.Group = Group;
      W.Entries = {entry(Index, 1, 20)};
      Batch.push_back(W);
    }
    BOOST_TEST(write(O.S, Batch, Why), Why.Detail);
  }
  BOOST_TEST(D.Syncs - Before == 200U);
  BOOST_TEST(O.S.Segments.size() > 10U);
  for (GroupId Group = 0; Group < 8; ++Group) {
    auto Pinning = pinningGroup(O.S);
    BOOST_TEST(Pinning.has_value());
    DiskWrite W;
    W.Group = *Pinning;
    W.NewSnapshot =
        Snapshot{Index - 1, 1, {}, std::make_shared<std::string>("s")};
    BOOST_TEST(write(O.S, {W}, Why), Why.Detail);
  }
  BOOST_TEST(O.S.Segments.size() == 1U);
  BOOST_TEST(!pinningGroup(O.S).has_value());
  Opened Again = open(D.disk(), config(2));
  BOOST_TEST(Again.Groups.size() == 8U);
  BOOST_TEST(Again.Groups[7].Base.Index == Index - 1);
}

BOOST_AUTO_TEST_CASE(APosixFolderKeepsWrittenData) {
  namespace fs = std::filesystem;
  fs::path Path = fs::temp_directory_path() /
                  ("pimento-storage-" + std::to_string(::getpid()));
  {
    Disk D;
    BOOST_TEST(openPosixDisk(Path.string(), D) == 0);
    Disk Locked;
    BOOST_TEST(openPosixDisk(Path.string(), Locked) == EBUSY);
    Opened O = open(D, config(1));
    BOOST_TEST(O.Good, O.Why.Detail);
    Random R(3);
    Workload Work;
    runWorkload(O.S, R, Work, 60);
    BOOST_TEST(O.S.Failed == "");
    Opened Again = open(D, config(2));
    checkRecovered(Again.Groups, Work, "folder");
  }
  fs::remove_all(Path);
}
