#include "base/Settings.h"

#include "base/Ini.h"
#include "base/Result.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <variant>

namespace pimento {

namespace {

//===----------------------------------------------------------------------===//
// The table
//===----------------------------------------------------------------------===//

/// Where a row's value lives. The type of the field chooses the parser.
template <class T> using FieldOf = T &(*)(Settings &);
using Field =
    std::variant<FieldOf<std::string>, FieldOf<HostId>, FieldOf<DataCentreId>,
                 FieldOf<Duration>, FieldOf<std::uint64_t>, FieldOf<double>>;

enum class Form {
  Name,
  Text,
  Address,
  Digest,
  Level,
  Time,
  Count,
  Bytes,
  Share
};

struct Row {
  const char *Section;
  const char *Key;
  Form Kind;
  Field Target;
  double Low; // In the unit that the range names; unused for texts.
  double High;
  bool Required;
  const char *Meaning;
};

#define PIMENTO_FIELD(Type, Path)                                              \
  static_cast<FieldOf<Type>>([](Settings &S) -> Type & { return S.Path; })

constexpr double Milli = 1;
constexpr double Second = 1000 * Milli;
constexpr double Minute = 60 * Second;
constexpr double Hour = 60 * Minute;
constexpr double KiB = 1024;
constexpr double MiB = 1024 * KiB;
constexpr double GiB = 1024 * MiB;

const std::vector<Row> &rows() {
  static const std::vector<Row> Rows = {
      {"host", "name", Form::Name, PIMENTO_FIELD(HostId, Host.Name), 0, 0, true,
       "Name of this host, unique in the site and listed in [peers]"},
      {"host", "data_centre", Form::Name,
       PIMENTO_FIELD(DataCentreId, Host.DataCentre), 0, 0, true,
       "Data centre in which this host stands"},
      {"host", "caller_address", Form::Address,
       PIMENTO_FIELD(std::string, Host.CallerAddress), 0, 0, true,
       "Listener for callers and for announcements of backend servers"},
      {"host", "operator_address", Form::Address,
       PIMENTO_FIELD(std::string, Host.OperatorAddress), 0, 0, true,
       "Listener for operators"},
      {"host", "peer_address", Form::Address,
       PIMENTO_FIELD(std::string, Host.PeerAddress), 0, 0, true,
       "Listener for the other hosts of the site"},
      {"host", "data_folder", Form::Text,
       PIMENTO_FIELD(std::string, Host.DataFolder), 0, 0, false,
       "Folder for the replicated log; empty on a host without a disk"},

      {"security", "operator_token_sha256", Form::Digest,
       PIMENTO_FIELD(std::string, Security.OperatorTokenSha256), 0, 0, true,
       "SHA-256 of the operators' bearer token"},
      {"security", "backend_token_sha256", Form::Digest,
       PIMENTO_FIELD(std::string, Security.BackendTokenSha256), 0, 0, true,
       "SHA-256 of the bearer token with which backend servers announce"},
      {"security", "peer_token", Form::Text,
       PIMENTO_FIELD(std::string, Security.PeerToken), 0, 0, true,
       "Secret that all hosts of the site share; never logged"},

      {"control", "heartbeat_interval", Form::Time,
       PIMENTO_FIELD(Duration, Control.HeartbeatInterval), 10 * Milli,
       5 * Second, false, "Time between a leader's heartbeats to the voters"},
      {"control", "election_timeout", Form::Time,
       PIMENTO_FIELD(Duration, Control.ElectionTimeout), 50 * Milli,
       30 * Second, false,
       "Least silence of the leader before an election; at least 3 heartbeats"},
      {"control", "clock_drift_per_mille", Form::Count,
       PIMENTO_FIELD(std::uint64_t, Control.ClockDriftPerMille), 0, 200, false,
       "How far the rates of two hosts' clocks may differ"},
      {"control", "snapshot_entries", Form::Count,
       PIMENTO_FIELD(std::uint64_t, Control.SnapshotEntries), 16, 1e6, false,
       "Log entries between two snapshots"},
      {"control", "claim_partitions", Form::Count,
       PIMENTO_FIELD(std::uint64_t, Control.ClaimPartitions), 1, 64, false,
       "Replicated logs that keep claims; the same on every host"},

      {"membership", "probe_interval", Form::Time,
       PIMENTO_FIELD(Duration, Membership.ProbeInterval), 20 * Milli,
       10 * Second, false, "Time between two liveness probes"},
      {"membership", "probe_timeout", Form::Time,
       PIMENTO_FIELD(Duration, Membership.ProbeTimeout), 5 * Milli, 10 * Second,
       false, "Time for a direct answer before other hosts are asked to probe"},
      {"membership", "suspicion_timeout", Form::Time,
       PIMENTO_FIELD(Duration, Membership.SuspicionTimeout), 50 * Milli, Minute,
       false, "Time in which a suspected host may object before it is dead"},
      {"membership", "announce_timeout", Form::Time,
       PIMENTO_FIELD(Duration, Membership.AnnounceTimeout), 100 * Milli, Minute,
       false, "Silence after which a backend server gets no new work"},
      {"membership", "freshness_bound", Form::Time,
       PIMENTO_FIELD(Duration, Membership.FreshnessBound), 100 * Milli, Minute,
       false, "Age of the document stamp past which a host refuses new work"},

      {"limits", "body", Form::Bytes,
       PIMENTO_FIELD(std::uint64_t, Limits.BodyBytes), 1 * KiB, 256 * MiB,
       false, "Largest body of one request"},
      {"limits", "headers", Form::Bytes,
       PIMENTO_FIELD(std::uint64_t, Limits.HeaderBytes), 1 * KiB, 1 * MiB,
       false, "Largest headers of one request"},
      {"limits", "answer", Form::Bytes,
       PIMENTO_FIELD(std::uint64_t, Limits.AnswerBytes), 1 * KiB, 256 * MiB,
       false, "Largest answer that is not streamed"},
      {"limits", "recorded_answer", Form::Bytes,
       PIMENTO_FIELD(std::uint64_t, Limits.RecordedAnswerBytes), 1 * KiB,
       1 * MiB, false, "Largest answer recorded with a claim"},
      {"limits", "connections", Form::Count,
       PIMENTO_FIELD(std::uint64_t, Limits.Connections), 1, 1e6, false,
       "Callers' connections held at once"},
      {"limits", "requests", Form::Count,
       PIMENTO_FIELD(std::uint64_t, Limits.Requests), 1, 1e6, false,
       "Requests in progress at once"},
      {"limits", "stream_buffer", Form::Bytes,
       PIMENTO_FIELD(std::uint64_t, Limits.StreamBufferBytes), 4 * KiB,
       64 * MiB, false, "Bytes held towards one slow caller"},
      {"limits", "total_buffer", Form::Bytes,
       PIMENTO_FIELD(std::uint64_t, Limits.TotalBufferBytes), 1 * MiB, 64 * GiB,
       false, "Bytes held for all bodies and answers together"},
      {"limits", "read_timeout", Form::Time,
       PIMENTO_FIELD(Duration, Limits.ReadTimeout), 100 * Milli, Hour, false,
       "Time in which a request must arrive whole"},
      {"limits", "default_time_limit", Form::Time,
       PIMENTO_FIELD(Duration, Limits.DefaultTimeLimit), 1 * Milli, 24 * Hour,
       false, "Time limit where neither caller nor document states one"},
      {"limits", "max_time_limit", Form::Time,
       PIMENTO_FIELD(Duration, Limits.MaxTimeLimit), 1 * Milli, 24 * Hour,
       false, "Longest time limit, whatever the caller states"},

      {"schedule", "queue_length", Form::Count,
       PIMENTO_FIELD(std::uint64_t, Schedule.QueueLength), 1, 1e6, false,
       "Requests that may wait in one cell"},
      {"schedule", "account_queue_length", Form::Count,
       PIMENTO_FIELD(std::uint64_t, Schedule.AccountQueueLength), 1, 1e6, false,
       "Requests of one client account that may wait in one cell"},
      {"schedule", "grant_lease", Form::Time,
       PIMENTO_FIELD(Duration, Schedule.GrantLease), 200 * Milli, Minute, false,
       "Time after which a grant dies unless its host renews it"},
      {"schedule", "prefix_index", Form::Bytes,
       PIMENTO_FIELD(std::uint64_t, Schedule.PrefixIndexBytes), 64 * KiB,
       1 * GiB, false, "Memory for prefix hints"},

      {"orders", "weight_store_rate", Form::Bytes,
       PIMENTO_FIELD(std::uint64_t, Orders.WeightStoreRate), 1 * MiB,
       GiB * 1024, false,
       "Bytes a second that the weight store gives to all loads"},
      {"orders", "engine_load_rate", Form::Bytes,
       PIMENTO_FIELD(std::uint64_t, Orders.EngineLoadRate), 1 * MiB, GiB * 1024,
       false, "Bytes a second that one load takes; at most weight_store_rate"},
      {"orders", "loads", Form::Count,
       PIMENTO_FIELD(std::uint64_t, Orders.Loads), 1, 10000, false,
       "Loads under way at once, whatever the rates allow"},
      {"orders", "landing", Form::Time, PIMENTO_FIELD(Duration, Orders.Landing),
       500 * Milli, 10 * Minute, false,
       "Time in which an order that was sent arrives at its engine or never "
       "does"},
      {"orders", "load_limit", Form::Time,
       PIMENTO_FIELD(Duration, Orders.LoadLimit), 1 * Second, 24 * Hour, false,
       "Time for one load, after which it is undone"},
      {"orders", "hold_time", Form::Time,
       PIMENTO_FIELD(Duration, Orders.HoldTime), 1 * Second, 24 * Hour, false,
       "Least time between two moves of one engine to another model"},

      {"retries", "budget_share", Form::Share,
       PIMENTO_FIELD(double, Retries.BudgetShare), 0, 1, false,
       "Second tries as a share of first tries, for each service"},
      {"retries", "attempts", Form::Count,
       PIMENTO_FIELD(std::uint64_t, Retries.Attempts), 1, 10, false,
       "Tries of one repeatable request"},
      {"retries", "backoff_base", Form::Time,
       PIMENTO_FIELD(Duration, Retries.BackoffBase), 1 * Milli, Minute, false,
       "Mean wait before the second try"},
      {"retries", "backoff_limit", Form::Time,
       PIMENTO_FIELD(Duration, Retries.BackoffLimit), 1 * Milli, 10 * Minute,
       false, "Longest wait between two tries"},

      {"drain", "unready_time", Form::Time,
       PIMENTO_FIELD(Duration, Drain.UnreadyTime), 0, 10 * Minute, false,
       "Time from unready until new requests are refused"},
      {"drain", "limit", Form::Time, PIMENTO_FIELD(Duration, Drain.Limit),
       100 * Milli, 24 * Hour, false,
       "Time after which requests still in progress are cut"},

      {"log", "file", Form::Text, PIMENTO_FIELD(std::string, Log.File), 0, 0,
       false, "File for JSON lines; empty: standard error"},
      {"log", "level", Form::Level, PIMENTO_FIELD(std::string, Log.Level), 0, 0,
       false, "Least level that is written"},
  };
  return Rows;
}

#undef PIMENTO_FIELD

const char *typeName(Form F) {
  switch (F) {
  case Form::Name:
    return "name";
  case Form::Text:
    return "text";
  case Form::Address:
    return "address";
  case Form::Digest:
    return "digest";
  case Form::Level:
    return "level";
  case Form::Time:
    return "duration";
  case Form::Count:
    return "count";
  case Form::Bytes:
    return "bytes";
  case Form::Share:
    return "share";
  }
  return "text";
}

//===----------------------------------------------------------------------===//
// Values as text
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

std::string showNumber(Form F, double Value) {
  if (F == Form::Time)
    return showMilliseconds(Value);
  if (F == Form::Bytes)
    return showBytes(Value);
  return plainNumber(Value);
}

bool isNumeric(Form F) {
  return F == Form::Time || F == Form::Count || F == Form::Bytes ||
         F == Form::Share;
}

std::string rangeText(const Row &R) {
  if (isNumeric(R.Kind))
    return showNumber(R.Kind, R.Low) + " to " + showNumber(R.Kind, R.High);
  if (R.Kind == Form::Address)
    return "ip:port, port 1 to 65535";
  if (R.Kind == Form::Digest)
    return "64 hexadecimal digits";
  if (R.Kind == Form::Level)
    return "debug, info, warning, error";
  if (R.Kind == Form::Name)
    return "1 to 64 letters, digits, '-', '_' or '.'";
  return "";
}

std::string defaultText(const Row &R) {
  Settings Defaults;
  if (const auto *F = std::get_if<FieldOf<Duration>>(&R.Target))
    return showMilliseconds(
        static_cast<double>(toMilliseconds((*F)(Defaults))));
  if (const auto *F = std::get_if<FieldOf<std::uint64_t>>(&R.Target))
    return showNumber(R.Kind, static_cast<double>((*F)(Defaults)));
  if (const auto *F = std::get_if<FieldOf<double>>(&R.Target))
    return plainNumber((*F)(Defaults));
  if (const auto *F = std::get_if<FieldOf<std::string>>(&R.Target))
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

bool isAcceptable(Form Kind, std::string_view Text) {
  switch (Kind) {
  case Form::Name:
    return isName(Text);
  case Form::Address:
    return isAddress(Text);
  case Form::Digest:
    return isDigest(Text);
  case Form::Level:
    return isLevel(Text);
  default:
    return true;
  }
}

/// Splits "250ms" into 250 and "ms". Only plain digits count as a number.
bool splitUnit(std::string_view Text, std::uint64_t &Number,
               std::string_view &Unit) {
  const char *Last = Text.data() + Text.size();
  auto [End, Error] = std::from_chars(Text.data(), Last, Number);
  if (Error != std::errc() || End == Text.data())
    return false;
  Unit = std::string_view(End, static_cast<std::size_t>(Last - End));
  return true;
}

bool parseShare(const std::string &Text, double &Value) {
  std::istringstream IS(Text);
  IS.imbue(std::locale::classic());
  return static_cast<bool>(IS >> Value) && IS.eof();
}

bool parseCount(std::string_view Text, std::uint64_t &Value) {
  std::string_view Unit;
  return splitUnit(Text, Value, Unit) && Unit.empty();
}

/// Stores \p Text in the row's field. False where it is not of the row's type
/// or out of its range.
struct Store {
  const Row &R;
  const std::string &Text;
  Settings &S;

  bool inRange(double Value) const { return Value >= R.Low && Value <= R.High; }

  bool operator()(FieldOf<std::string> F) const {
    F(S) = Text;
    return isAcceptable(R.Kind, Text);
  }
  bool operator()(FieldOf<HostId> F) const {
    F(S) = HostId(Text);
    return isAcceptable(R.Kind, Text);
  }
  bool operator()(FieldOf<DataCentreId> F) const {
    F(S) = DataCentreId(Text);
    return isAcceptable(R.Kind, Text);
  }
  bool operator()(FieldOf<Duration> F) const {
    return parseDuration(Text, F(S)) &&
           inRange(static_cast<double>(toMilliseconds(F(S))));
  }
  bool operator()(FieldOf<std::uint64_t> F) const {
    bool Parsed =
        R.Kind == Form::Bytes ? parseBytes(Text, F(S)) : parseCount(Text, F(S));
    return Parsed && inRange(static_cast<double>(F(S)));
  }
  bool operator()(FieldOf<double> F) const {
    return parseShare(Text, F(S)) && inRange(F(S));
  }
};

/// "north 127.0.0.1:7301 voter" without its optional last word.
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

  void complain(Code Number, int Line, std::string Section, std::string Key,
                std::string Expected, std::string Found) {
    Problems.push_back({Number, File, Line, std::move(Section), std::move(Key),
                        std::move(Expected), std::move(Found)});
  }

  void complain(Code Number, const IniEntry &E, std::string Expected) {
    complain(Number, E.Line, E.Section, E.Key, std::move(Expected),
             "'" + E.Value + "'");
  }
};

const Row *findRow(const IniEntry &Entry) {
  for (const Row &R : rows()) {
    if (Entry.Section == R.Section && Entry.Key == R.Key)
      return &R;
  }
  return nullptr;
}

bool isSecret(const IniEntry &Entry) { return Entry.Section == "security"; }

void takePeer(Reader &In, const IniEntry &Entry) {
  PeerSettings Peer;
  if (!parsePeer(Entry, Peer)) {
    In.complain(Code::SettingInvalid, Entry,
                "name = data-centre ip:port, then 'voter' or nothing");
    return;
  }
  In.S.Peers.push_back(std::move(Peer));
}

void takeEntry(Reader &In, IniEntry Entry) {
  if (!In.Seen.emplace(Entry.Section, Entry.Key).second) {
    In.complain(Code::SettingClash, Entry, "each key once");
    return;
  }
  if (Entry.Section == "peers") {
    takePeer(In, Entry);
    return;
  }
  const Row *R = findRow(Entry);
  if (!R) {
    In.complain(Code::SettingUnknown, Entry, "a key of docs/SETTINGS.md");
    return;
  }
  if (std::visit(Store{*R, Entry.Value, In.S}, R->Target))
    return;
  if (isSecret(Entry))
    Entry.Value = "(not shown)";
  In.complain(Code::SettingInvalid, Entry,
              std::string(typeName(R->Kind)) + ", " + rangeText(*R));
}

void checkRequired(Reader &In) {
  for (const Row &R : rows()) {
    if (!R.Required || In.Seen.count({R.Section, R.Key}))
      continue;
    In.complain(Code::SettingMissing, 0, R.Section, R.Key, typeName(R.Kind),
                "nothing");
  }
}

void clash(Reader &In, const char *Section, const char *Key,
           std::string Expected, std::string Found) {
  In.complain(Code::SettingClash, 0, Section, Key, std::move(Expected),
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
      clash(In, "peers", Peer.Name.Value.c_str(), "an address of its own",
            Peer.Address);
    if (Peer.Name == S.Host.Name)
      Self = &Peer;
  }
  if (!Self) {
    clash(In, "peers", S.Host.Name.Value.c_str(), "this host in the list",
          "nothing");
    return;
  }
  if (Self->Address != S.Host.PeerAddress)
    clash(In, "peers", S.Host.Name.Value.c_str(),
          "the same address as [host] peer_address", Self->Address);
  if (Self->DataCentre != S.Host.DataCentre)
    clash(In, "peers", S.Host.Name.Value.c_str(),
          "the same data centre as [host] data_centre", Self->DataCentre.Value);
  if (Self->Voter && S.Host.DataFolder.empty())
    clash(In, "host", "data_folder", "a folder, because this host votes",
          "nothing");
  constexpr std::size_t MaxVoters = 7;
  if (Voters % 2 == 0 || Voters > MaxVoters)
    clash(In, "peers", "voter", "1, 3, 5 or 7 voters", std::to_string(Voters));
}

void checkTimes(Reader &In) {
  const Settings &S = In.S;
  auto Show = [](Duration D) {
    return showMilliseconds(static_cast<double>(toMilliseconds(D)));
  };
  if (S.Control.ElectionTimeout < 3 * S.Control.HeartbeatInterval)
    clash(In, "control", "election_timeout", "at least 3 heartbeat intervals",
          Show(S.Control.ElectionTimeout));
  if (S.Membership.ProbeTimeout >= S.Membership.ProbeInterval)
    clash(In, "membership", "probe_timeout", "less than probe_interval",
          Show(S.Membership.ProbeTimeout));
  if (S.Membership.FreshnessBound < 2 * S.Control.HeartbeatInterval)
    clash(In, "membership", "freshness_bound", "at least 2 heartbeat intervals",
          Show(S.Membership.FreshnessBound));
  if (S.Limits.DefaultTimeLimit > S.Limits.MaxTimeLimit)
    clash(In, "limits", "default_time_limit", "at most max_time_limit",
          Show(S.Limits.DefaultTimeLimit));
  if (S.Retries.BackoffBase > S.Retries.BackoffLimit)
    clash(In, "retries", "backoff_base", "at most backoff_limit",
          Show(S.Retries.BackoffBase));
}

void checkSizes(Reader &In) {
  const LimitSettings &L = In.S.Limits;
  if (L.BodyBytes > L.TotalBufferBytes)
    clash(In, "limits", "body", "at most total_buffer",
          showBytes(static_cast<double>(L.BodyBytes)));
  if (L.RecordedAnswerBytes > L.AnswerBytes)
    clash(In, "limits", "recorded_answer", "at most answer",
          showBytes(static_cast<double>(L.RecordedAnswerBytes)));
  const ScheduleSettings &Q = In.S.Schedule;
  const OrderSettings &O = In.S.Orders;
  if (O.EngineLoadRate > O.WeightStoreRate)
    clash(In, "orders", "engine_load_rate", "at most weight_store_rate",
          showBytes(static_cast<double>(O.EngineLoadRate)));
  if (Q.AccountQueueLength > Q.QueueLength)
    clash(In, "schedule", "account_queue_length", "at most queue_length",
          std::to_string(Q.AccountQueueLength));
}

} // namespace

std::vector<SettingInfo> settingTable() {
  // Ranges are built texts; the rows of the result point into them.
  static const std::vector<std::string> Ranges = [] {
    std::vector<std::string> Texts;
    for (const Row &R : rows())
      Texts.push_back(rangeText(R));
    return Texts;
  }();
  std::vector<SettingInfo> Table;
  for (const Row &R : rows())
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
    In.complain(Why.Number, 0, "", "", "INI", Why.Detail);
    return false;
  }
  checkRequired(In);
  if (Problems.size() != Before)
    return false;
  checkPeers(In);
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

bool parseDuration(std::string_view Text, Duration &D) {
  std::uint64_t Number = 0;
  std::string_view Unit;
  constexpr std::uint64_t MaxNumber = 1000000000;
  if (!splitUnit(Text, Number, Unit) || Number > MaxNumber)
    return false;
  auto Count = static_cast<std::int64_t>(Number);
  if (Unit == "ms")
    D = milliseconds(Count);
  else if (Unit == "s")
    D = seconds(Count);
  else if (Unit == "m")
    D = minutes(std::min<std::int64_t>(Count, 1000000));
  else if (Unit == "h")
    D = hours(std::min<std::int64_t>(Count, 100000));
  else
    return false;
  return true;
}

bool parseBytes(std::string_view Text, std::uint64_t &Bytes) {
  std::uint64_t Number = 0;
  std::string_view Unit;
  constexpr std::uint64_t MaxNumber = 1ULL << 40U;
  if (!splitUnit(Text, Number, Unit) || Number > MaxNumber)
    return false;
  if (Unit == "B")
    Bytes = Number;
  else if (Unit == "KiB")
    Bytes = Number << 10U;
  else if (Unit == "MiB")
    Bytes = Number << 20U;
  else if (Unit == "GiB")
    Bytes = std::min<std::uint64_t>(Number, 1U << 20U) << 30U;
  else
    return false;
  return true;
}

bool isAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  std::string_view Ip = Text.substr(0, Colon);
  std::string_view PortText = Text.substr(Colon + 1);
  std::uint64_t Port = 0;
  std::string_view Rest;
  if (!splitUnit(PortText, Port, Rest) || !Rest.empty())
    return false;
  constexpr std::uint64_t MaxPort = 65535;
  if (Port == 0 || Port > MaxPort)
    return false;
  bool Bracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  return std::all_of(Ip.begin(), Ip.end(), [&](unsigned char C) {
    bool V4 = std::isdigit(C) || C == '.';
    bool V6 = std::isxdigit(C) || C == ':' || C == '[' || C == ']';
    return Bracketed ? V6 : V4;
  });
}

} // namespace pimento
