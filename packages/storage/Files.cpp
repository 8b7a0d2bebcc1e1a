#include "storage/Files.h"

#include "storage/Checksum.h"
#include "storage/Segment.h"
#include "wire/Fields.h"

#include <cinttypes>
#include <cstdio>
#include <cstring>
#include <sstream>

namespace pimento::storage {

namespace {

constexpr const char *IdentityTitle = "pimentoglade identity 1";
constexpr std::size_t SnapshotHeaderBytes = 32;
constexpr std::uint64_t SnapshotMagic = 0x31706E7361676C70ULL;
constexpr JsonLimits VoterLimits = {/*Bytes=*/64U << 10U, /*Depth=*/6,
                                    /*Values=*/4096};

std::string hex(std::uint64_t Value) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016" PRIx64, Value);
  return Text;
}

bool parseHex(std::string_view Text, std::uint64_t &Value) {
  if (Text.size() != 16)
    return false;
  Value = 0;
  for (char C : Text) {
    bool IsDigit = C >= '0' && C <= '9';
    if (!IsDigit && (C < 'a' || C > 'f'))
      return false;
    auto Digit = static_cast<std::uint64_t>(IsDigit ? C - '0' : C - 'a' + 10);
    Value = (Value << 4U) | Digit;
  }
  return true;
}

std::string identityText(const Identity &I) {
  std::string Text = IdentityTitle;
  Text += "\nhost=" + I.Host.Value;
  Text += "\nlife=" + hex(I.Incarnation);
  Text += "\nstart=" + hex(I.Start);
  Text += "\nsum=" + hex(checksum(Text)) + "\n";
  return Text;
}

} // namespace

boost::leaf::error_id diskFailure(const char *Operation,
                                  const std::string &Name, int Error) {
  return fail(Code::StorageFailed, std::string(Operation) + " " + Name + ": " +
                                       std::strerror(Error));
}

Result<void> replaceFile(const Disk &Files, const std::string &Name,
                         std::string_view Data) {
  std::string Temporary = Name + TemporarySuffix;
  if (int Error = Files.Append(Temporary, ""))
    return diskFailure("create", Temporary, Error);
  if (int Error = Files.Truncate(Temporary, 0))
    return diskFailure("empty", Temporary, Error);
  if (int Error = Files.Append(Temporary, Data))
    return diskFailure("write", Temporary, Error);
  if (int Error = Files.Sync(Temporary))
    return diskFailure("sync", Temporary, Error);
  if (int Error = Files.Rename(Temporary, Name))
    return diskFailure("rename", Temporary, Error);
  return {};
}

Result<Identity> readIdentity(const Disk &Files) {
  std::string Text;
  if (int Error = Files.Read(IdentityName, Text))
    return diskFailure("read", IdentityName, Error);
  std::istringstream Lines(Text);
  std::string Title, Host, Incarnation, Start;
  std::getline(Lines, Title);
  std::getline(Lines, Host);
  std::getline(Lines, Incarnation);
  std::getline(Lines, Start);
  Identity I;
  bool Valid = Title == IdentityTitle && Host.rfind("host=", 0) == 0 &&
               Incarnation.rfind("life=", 0) == 0 &&
               Start.rfind("start=", 0) == 0 &&
               parseHex(Incarnation.substr(5), I.Incarnation) &&
               parseHex(Start.substr(6), I.Start);
  if (Valid)
    I.Host = HostId(Host.substr(5));
  if (!Valid || identityText(I) != Text)
    return fail(Code::StorageCorrupt, "the identity file is damaged");
  return I;
}

Result<void> writeIdentity(const Disk &Files, const Identity &I) {
  auto Done = replaceFile(Files, IdentityName, identityText(I));
  if (!Done)
    return Done.error();
  if (int Error = Files.SyncFolder())
    return diskFailure("sync", "the folder", Error);
  return {};
}

std::string toString(const SnapshotName &N) {
  return "snapshot-" + hex(N.Group) + "-" + hex(N.Index) + "-" + hex(N.Term);
}

std::optional<SnapshotName> parseSnapshotName(const std::string &Name) {
  SnapshotName N;
  std::uint64_t Group = 0;
  bool Valid = Name.size() == 9 + 16 * 3 + 2 &&
               Name.rfind("snapshot-", 0) == 0 &&
               parseHex(Name.substr(9, 16), Group) &&
               parseHex(Name.substr(26, 16), N.Index) &&
               parseHex(Name.substr(43, 16), N.Term);
  N.Group = static_cast<GroupId>(Group);
  if (!Valid || toString(N) != Name)
    return std::nullopt;
  return N;
}

std::string segmentName(std::uint64_t Sequence) {
  return "wal-" + hex(Sequence);
}

std::optional<std::uint64_t> parseSegmentName(const std::string &Name) {
  std::uint64_t Sequence = 0;
  if (Name.size() != 20 || Name.rfind("wal-", 0) != 0 ||
      !parseHex(Name.substr(4), Sequence))
    return std::nullopt;
  return Sequence;
}

Result<void> writeSnapshot(const Disk &Files, GroupId Group,
                           const Snapshot &S) {
  std::string Voters = wire::toBytes(S.Voters);
  std::string Data;
  Data.reserve(SnapshotHeaderBytes + Voters.size() + S.Data->size() + 8);
  putU64(Data, SnapshotMagic);
  putU64(Data, Voters.size());
  putU64(Data, S.Data->size());
  putU64(Data, checksum(*S.Data, checksum(Voters)));
  Data += Voters;
  Data += *S.Data;
  return replaceFile(Files, toString(SnapshotName{Group, S.Index, S.Term}),
                     Data);
}

Result<Snapshot> readSnapshot(const Disk &Files, const SnapshotName &Name) {
  std::string File = toString(Name);
  std::string Data;
  if (int Error = Files.Read(File, Data))
    return diskFailure("read", File, Error);
  auto Damaged = [&] {
    return fail(Code::StorageCorrupt, File + " is damaged");
  };
  if (Data.size() < SnapshotHeaderBytes || getU64(Data, 0) != SnapshotMagic)
    return Damaged();
  std::uint64_t VoterBytes = getU64(Data, 8);
  std::uint64_t Left = Data.size() - SnapshotHeaderBytes;
  if (VoterBytes > Left || getU64(Data, 16) != Left - VoterBytes)
    return Damaged();
  std::string Voters = Data.substr(SnapshotHeaderBytes, VoterBytes);
  std::string State = Data.substr(SnapshotHeaderBytes + VoterBytes);
  if (getU64(Data, 24) != checksum(State, checksum(Voters)))
    return Damaged();
  auto Read = wire::fromBytes<VoterSet>(Voters, VoterLimits);
  if (!Read)
    return Damaged();
  Snapshot S;
  S.Index = Name.Index;
  S.Term = Name.Term;
  S.Voters = std::move(*Read);
  S.Data = std::make_shared<const std::string>(std::move(State));
  return S;
}

} // namespace pimento::storage
