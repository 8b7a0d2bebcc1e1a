#include "base/Settings.h"

#include "base/Ini.h"
#include "base/Result.h"
#include "base/SettingTable.h"
#include "base/SettingText.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace pimento {

namespace {

const char *typeName(SettingType Kind) {
  switch (Kind) {
  case SettingType::Name:
    return "name";
  case SettingType::Text:
    return "text";
  case SettingType::Address:
    return "address";
  case SettingType::Digest:
    return "digest";
  case SettingType::Level:
    return "level";
  case SettingType::Role:
    return "role";
  case SettingType::AddressList:
    return "addresses";
  case SettingType::Time:
    return "duration";
  case SettingType::Count:
    return "count";
  case SettingType::Bytes:
    return "bytes";
  case SettingType::Share:
    return "share";
  case SettingType::NamedShares:
    return "shares";
  case SettingType::Number:
    return "number";
  }
  return "text";
}

//===----------------------------------------------------------------------===//
// Formatting values
//===----------------------------------------------------------------------===//

std::string plainNumber(double Value) {
  std::ostringstream OS;
  OS.precision(12);
  OS << Value;
  return OS.str();
}

std::string showMilliseconds(double Value) {
  if (Value >= Hour && Value == Hour * static_cast<int>(Value / Hour))
    return plainNumber(Value / Hour) + "h";
  if (Value >= Minute && Value == Minute * static_cast<int>(Value / Minute))
    return plainNumber(Value / Minute) + "m";
  if (Value >= Second && Value == Second * static_cast<int>(Value / Second))
    return plainNumber(Value / Second) + "s";
  return plainNumber(Value) + "ms";
}

std::string showBytes(double Value) {
  if (Value >= GiB && Value == GiB * static_cast<int>(Value / GiB))
    return plainNumber(Value / GiB) + "GiB";
  if (Value >= MiB && Value == MiB * static_cast<int>(Value / MiB))
    return plainNumber(Value / MiB) + "MiB";
  if (Value >= KiB && Value == KiB * static_cast<int>(Value / KiB))
    return plainNumber(Value / KiB) + "KiB";
  return plainNumber(Value) + "B";
}

std::string showNumber(SettingType Kind, double Value) {
  if (Kind == SettingType::Time)
    return showMilliseconds(Value);
  if (Kind == SettingType::Bytes)
    return showBytes(Value);
  return plainNumber(Value);
}

bool isNumeric(SettingType Kind) {
  return Kind == SettingType::Time || Kind == SettingType::Count ||
         Kind == SettingType::Bytes || Kind == SettingType::Share ||
         Kind == SettingType::Number;
}

std::string rangeText(const SettingRow &R) {
  if (isNumeric(R.Kind))
    return showNumber(R.Kind, R.Low) + " to " + showNumber(R.Kind, R.High);
  if (R.Kind == SettingType::Address)
    return "ip:port, port 1 to 65535";
  if (R.Kind == SettingType::Digest)
    return "64 hexadecimal digits";
  if (R.Kind == SettingType::Level)
    return "debug, info, warning, error";
  if (R.Kind == SettingType::Role)
    return "entry, control";
  if (R.Kind == SettingType::AddressList)
    return "ip:port, ip:port, ...";
  if (R.Kind == SettingType::NamedShares)
    return "name=share, name=share, ..., each share 0 to 1";
  if (R.Kind == SettingType::Name)
    return "1 to 64 letters, digits, '-', '_' or '.'";
  return "";
}

std::string defaultText(const SettingRow &R) {
  Settings Defaults;
  if (const auto *F = std::get_if<SettingOf<Duration>>(&R.Target))
    return showMilliseconds(
        static_cast<double>(toMilliseconds((*F)(Defaults))));
  if (const auto *F = std::get_if<SettingOf<std::uint64_t>>(&R.Target))
    return showNumber(R.Kind, static_cast<double>((*F)(Defaults)));
  if (const auto *F = std::get_if<SettingOf<double>>(&R.Target))
    return plainNumber((*F)(Defaults));
  if (const auto *F = std::get_if<SettingOf<std::string>>(&R.Target))
    return (*F)(Defaults);
  return "";
}

//===----------------------------------------------------------------------===//
// Parsing one value
//===----------------------------------------------------------------------===//

bool isName(std::string_view Text) {
  constexpr std::size_t MaxNameLength = 64;
  if (Text.empty() || Text.size() > MaxNameLength)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
    return std::isalnum(C) || C == '-' || C == '_' || C == '.';
  });
}

bool isDigest(std::string_view Text) {
  constexpr std::size_t DigestLength = 64;
  if (Text.size() != DigestLength)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
    return std::isdigit(C) || (C >= 'a' && C <= 'f');
  });
}

bool isLevel(std::string_view Text) {
  return Text == "debug" || Text == "info" || Text == "warning" ||
         Text == "error";
}

bool isAddressList(std::string_view Text) {
  for (const std::string &Address : splitAddresses(Text)) {
    if (!isAddress(Address))
      return false;
  }
  return true;
}

bool isAcceptable(SettingType Kind, std::string_view Text) {
  switch (Kind) {
  case SettingType::Name:
    return isName(Text);
  case SettingType::Address:
    return isAddress(Text);
  case SettingType::Digest:
    return isDigest(Text);
  case SettingType::Level:
    return isLevel(Text);
  case SettingType::Role:
    return Text == "entry" || Text == "control";
  case SettingType::AddressList:
    return isAddressList(Text);
  case SettingType::NamedShares:
    return parseNamedShares(Text).has_value();
  default:
    return true;
  }
}

/// Visitor of SettingField: parses Text and stores it in the row's field.
/// Returns false if Text does not have the row's type or is out of range; the
/// field may be changed all the same.
struct ValueParser {
  const SettingRow &R;
  const std::string &Text;
  Settings &S;

  bool inRange(double Value) const { return Value >= R.Low && Value <= R.High; }

  bool operator()(SettingOf<std::string> F) const {
    F(S) = Text;
    return isAcceptable(R.Kind, Text);
  }
  bool operator()(SettingOf<HostId> F) const {
    F(S) = HostId(Text);
    return isAcceptable(R.Kind, Text);
  }
  bool operator()(SettingOf<DataCentreId> F) const {
    F(S) = DataCentreId(Text);
    return isAcceptable(R.Kind, Text);
  }
  bool operator()(SettingOf<Duration> F) const {
    return parseDuration(Text, F(S)) &&
           inRange(static_cast<double>(toMilliseconds(F(S))));
  }
  bool operator()(SettingOf<std::uint64_t> F) const {
    bool Parsed = R.Kind == SettingType::Bytes ? parseBytes(Text, F(S))
                                               : parseCount(Text, F(S));
    return Parsed && inRange(static_cast<double>(F(S)));
  }
  bool operator()(SettingOf<double> F) const {
    return parseNumber(Text, F(S)) && inRange(F(S));
  }
};

/// Parses a [peers] entry, such as "n1 = north 127.0.0.1:7301 voter". The last
/// word is optional. Returns false if the entry is malformed.
bool parsePeer(const IniEntry &Entry, PeerSettings &Peer) {
  std::istringstream IS(Entry.Value);
  std::string DataCentre;
  std::string Address;
  std::string Role;
  std::string Extra;
  IS >> DataCentre >> Address >> Role >> Extra;
  Peer.Name = HostId(Entry.Key);
  Peer.DataCentre = DataCentreId(DataCentre);
  Peer.Address = Address;
  Peer.Voter = Role == "voter";
  bool RoleKnown = Role.empty() || Peer.Voter;
  return isName(Entry.Key) && isName(DataCentre) && isAddress(Address) &&
         RoleKnown && Extra.empty();
}

//===----------------------------------------------------------------------===//
// Reading a file
//===----------------------------------------------------------------------===//

struct Reader {
  const std::string &File;
  Settings &S;
  std::vector<SettingProblem> &Problems;
  std::set<std::pair<std::string, std::string>> Seen;

  void addProblem(Code Number, int Line, std::string Section, std::string Key,
                  std::string Expected, std::string Found) {
    Problems.push_back({Number, File, Line, std::move(Section), std::move(Key),
                        std::move(Expected), std::move(Found)});
  }

  void addProblem(Code Number, const IniEntry &E, std::string Expected) {
    addProblem(Number, E.Line, E.Section, E.Key, std::move(Expected),
               "'" + E.Value + "'");
  }
};

/// Whether an empty value of the row stands for its default, as a template
/// gives it where the platform has no such number.
bool allowsEmpty(const SettingRow &R) {
  return isNumeric(R.Kind) && !R.Required;
}

const SettingRow *findRow(const IniEntry &Entry) {
  for (const SettingRow &R : settingRows()) {
    if (Entry.Section == R.Section && Entry.Key == R.Key)
      return &R;
  }
  return nullptr;
}

bool isSecret(const IniEntry &Entry) { return Entry.Section == "security"; }

void takePeer(Reader &In, const IniEntry &Entry) {
  PeerSettings Peer;
  if (!parsePeer(Entry, Peer)) {
    In.addProblem(Code::SettingInvalid, Entry,
                  "name = data-centre ip:port, then 'voter' or nothing");
    return;
  }
  In.S.Peers.push_back(std::move(Peer));
}

void takeEntry(Reader &In, IniEntry Entry) {
  if (!In.Seen.emplace(Entry.Section, Entry.Key).second) {
    In.addProblem(Code::SettingClash, Entry, "each key at most once");
    return;
  }
  if (Entry.Section == "peers") {
    takePeer(In, Entry);
    return;
  }
  const SettingRow *R = findRow(Entry);
  if (!R) {
    In.addProblem(Code::SettingUnknown, Entry,
                  "a key listed in docs/SETTINGS.md");
    return;
  }
  if (Entry.Value.empty() && allowsEmpty(*R))
    return;
  if (std::visit(ValueParser{*R, Entry.Value, In.S}, R->Target))
    return;
  if (isSecret(Entry))
    Entry.Value = "(not shown)";
  In.addProblem(Code::SettingInvalid, Entry,
                std::string(typeName(R->Kind)) + ", " + rangeText(*R));
}

void checkRequired(Reader &In) {
  for (const SettingRow &R : settingRows()) {
    if (!R.Required || In.Seen.count({R.Section, R.Key}))
      continue;
    In.addProblem(Code::SettingMissing, 0, R.Section, R.Key, typeName(R.Kind),
                  "nothing");
  }
}

void addConflict(Reader &In, const char *Section, const char *Key,
                 std::string Expected, std::string Found) {
  In.addProblem(Code::SettingClash, 0, Section, Key, std::move(Expected),
                std::move(Found));
}

void checkPeers(Reader &In) {
  const Settings &S = In.S;
  const PeerSettings *Self = nullptr;
  std::size_t Voters = 0;
  std::set<std::string> Addresses;
  for (const PeerSettings &Peer : S.Peers) {
    Voters += Peer.Voter ? 1 : 0;
    if (!Addresses.insert(Peer.Address).second)
      addConflict(In, "peers", Peer.Name.Value.c_str(),
                  "an address that no other peer has", Peer.Address);
    if (Peer.Name == S.Host.Name)
      Self = &Peer;
  }
  if (!Self) {
    addConflict(In, "peers", S.Host.Name.Value.c_str(),
                "an entry for this host", "nothing");
    return;
  }
  if (Self->Address != S.Host.PeerAddress)
    addConflict(In, "peers", S.Host.Name.Value.c_str(),
                "the same address as [host] peer_address", Self->Address);
  if (Self->DataCentre != S.Host.DataCentre)
    addConflict(In, "peers", S.Host.Name.Value.c_str(),
                "the same data centre as [host] data_centre",
                Self->DataCentre.Value);
  if (Self->Voter && S.Host.DataFolder.empty())
    addConflict(In, "host", "data_folder",
                "a folder, because this host is a voter", "nothing");
  constexpr std::size_t MaxVoters = 7;
  if (Voters % 2 == 0 || Voters > MaxVoters)
    addConflict(In, "peers", "voter", "1, 3, 5 or 7 voters",
                std::to_string(Voters));
}

void checkJoin(Reader &In) {
  const Settings &S = In.S;
  if (!S.Peers.empty())
    addConflict(In, "join", "role", "no [peers], because [join] role is set",
                std::to_string(S.Peers.size()) + " peers");
  if (S.Join.Seeds.empty())
    addConflict(In, "join", "seeds", "at least one control host", "nothing");
  if (S.Join.Role == "control" && S.Host.DataFolder.empty())
    addConflict(In, "host", "data_folder",
                "a folder, because this is a control host", "nothing");
}

void checkTimes(Reader &In) {
  const Settings &S = In.S;
  auto Show = [](Duration D) {
    return showMilliseconds(static_cast<double>(toMilliseconds(D)));
  };
  if (S.Control.ElectionTimeout < 3 * S.Control.HeartbeatInterval)
    addConflict(In, "control", "election_timeout",
                "at least 3 heartbeat intervals",
                Show(S.Control.ElectionTimeout));
  if (S.Membership.ProbeTimeout >= S.Membership.ProbeInterval)
    addConflict(In, "membership", "probe_timeout", "less than probe_interval",
                Show(S.Membership.ProbeTimeout));
  if (S.Membership.FreshnessBound < 2 * S.Control.HeartbeatInterval)
    addConflict(In, "membership", "freshness_bound",
                "at least 2 heartbeat intervals",
                Show(S.Membership.FreshnessBound));
  if (S.Limits.DefaultTimeLimit > S.Limits.MaxTimeLimit)
    addConflict(In, "limits", "default_time_limit", "at most max_time_limit",
                Show(S.Limits.DefaultTimeLimit));
  if (S.Retries.BackoffBase > S.Retries.BackoffLimit)
    addConflict(In, "retries", "backoff_base", "at most backoff_limit",
                Show(S.Retries.BackoffBase));
}

void checkSizes(Reader &In) {
  const LimitSettings &L = In.S.Limits;
  if (L.BodyBytes > L.TotalBufferBytes)
    addConflict(In, "limits", "body", "at most total_buffer",
                showBytes(static_cast<double>(L.BodyBytes)));
  if (L.RecordedAnswerBytes > L.AnswerBytes)
    addConflict(In, "limits", "recorded_answer", "at most answer",
                showBytes(static_cast<double>(L.RecordedAnswerBytes)));
  const ScheduleSettings &Q = In.S.Schedule;
  const OrderSettings &O = In.S.Orders;
  if (O.EngineLoadRate > O.WeightStoreRate)
    addConflict(In, "orders", "engine_load_rate", "at most weight_store_rate",
                showBytes(static_cast<double>(O.EngineLoadRate)));
  if (Q.AccountQueueLength > Q.QueueLength)
    addConflict(In, "schedule", "account_queue_length", "at most queue_length",
                std::to_string(Q.AccountQueueLength));
}

} // namespace

std::uint64_t bufferBytes(const LimitSettings &L) {
  // The rest is for the process itself, for copies of what is being sent, and
  // for memory that is free but not returned to the system.
  constexpr std::uint64_t Numerator = 2;
  constexpr std::uint64_t Denominator = 5;
  if (L.MemoryBytes == 0)
    return L.TotalBufferBytes;
  return std::min(L.TotalBufferBytes, L.MemoryBytes / Denominator * Numerator);
}

std::vector<SettingInfo> settingTable() {
  // Owns the range texts that the returned rows point to.
  static const std::vector<std::string> Ranges = [] {
    std::vector<std::string> Texts;
    for (const SettingRow &R : settingRows())
      Texts.push_back(rangeText(R));
    return Texts;
  }();
  std::vector<SettingInfo> Table;
  for (const SettingRow &R : settingRows())
    Table.push_back({R.Section, R.Key, typeName(R.Kind),
                     Ranges[Table.size()].c_str(), defaultText(R), R.Required,
                     R.Meaning});
  Table.push_back({"peers", "*", "peer",
                   "data-centre ip:port, then 'voter' or nothing", "", true,
                   "One key for each host of the site, by its name"});
  return Table;
}

std::string formatProblem(const SettingProblem &P) {
  std::ostringstream OS;
  OS << P.File;
  if (P.Line > 0)
    OS << ':' << P.Line;
  OS << ": ";
  if (!P.Section.empty() || !P.Key.empty())
    OS << '[' << P.Section << "] " << P.Key << ": ";
  OS << "expected " << P.Expected << ", found " << P.Found << " ("
     << static_cast<unsigned>(P.Number) << ' ' << P.Number << ')';
  return OS.str();
}

bool readSettings(std::string_view Text, const std::string &File, Settings &S,
                  std::vector<SettingProblem> &Problems) {
  std::size_t Before = Problems.size();
  Reader In{File, S, Problems, {}};
  Failure Why;
  bool Parsed = valueOr<bool>(
      [&]() -> Result<bool> {
        auto Entries = parseIni(Text);
        if (!Entries)
          return Entries.error();
        for (const IniEntry &Entry : *Entries)
          takeEntry(In, Entry);
        return true;
      },
      false, Why);
  if (!Parsed) {
    In.addProblem(Why.Number, 0, "", "", "INI", Why.Detail);
    return false;
  }
  checkRequired(In);
  if (Problems.size() != Before)
    return false;
  if (S.Join.Role.empty())
    checkPeers(In);
  else
    checkJoin(In);
  checkTimes(In);
  checkSizes(In);
  return Problems.size() == Before;
}

bool loadSettings(const std::string &Path, Settings &S,
                  std::vector<SettingProblem> &Problems) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  if (File)
    Text << File.rdbuf();
  if (!File || Text.fail()) {
    Problems.push_back(
        {Code::SettingsUnreadable, Path, 0, "", "", "a readable file", "none"});
    return false;
  }
  return readSettings(Text.str(), Path, S, Problems);
}

} // namespace pimento
