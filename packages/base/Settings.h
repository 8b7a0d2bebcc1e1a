//===- Settings.h - The settings of one host --------------------*- C++ -*-===//
//
//   Settings S;                       // Defaults; works as it stands.
//   std::vector<SettingProblem> Bad;
//   bool Usable = readSettings(Text, "site.ini", S, Bad);
//
// Index
//   Settings          plain structs, one for each section of the file
//   settingTable()    every key with type, unit, range, default and meaning
//   readSettings()    reads and checks; lists every problem at once
//   formatProblem()   "site.ini:12: [limits] body: expected ..., found ..."
//
// A key is added in two places: a field here and a row in Settings.cpp. A test
// keeps docs/SETTINGS.md in step with the table.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// Another host of the site, as the [peers] section names it.
struct PeerSettings {
  HostId Name;
  DataCentreId DataCentre;
  std::string Address; // ip:port of its peer listener.
  bool Voter = false;  // Whether it votes when the site is first formed.
};

/// [host]: who this process is and where it listens.
struct HostSettings {
  HostId Name;                 // Unique in the site.
  DataCentreId DataCentre;     // The data centre that this host stands in.
  std::string CallerAddress;   // ip:port for callers and backend servers.
  std::string OperatorAddress; // ip:port for operators.
  std::string PeerAddress;     // ip:port for other hosts.
  std::string DataFolder;      // Empty: no disk, keeps no replicated log.
  std::string MetricsAddress;  // ip:port for counters alone; empty: none.
};

/// [join]: a site whose hosts nobody lists. A host finds the others through a
/// few seeds; [peers] stays empty.
struct JoinSettings {
  std::string Role;           // "entry" or "control"; empty: [peers] lists all.
  std::string Seeds;          // ip:port of some control hosts, by commas.
  std::uint64_t First = 0;    // 1: the whole site starts for the first time.
  std::uint64_t Failures = 1; // Control hosts that may be lost at once.
};

/// [security]: who may speak to this host.
struct SecuritySettings {
  std::string OperatorTokenSha256; // Digest of the operators' token.
  std::string BackendTokenSha256;  // Digest of the backend servers' token.
  std::string PeerToken;           // Secret shared by all hosts of the site.
};

/// [control]: the replicated log.
struct ControlSettings {
  Duration HeartbeatInterval = milliseconds(100); // Leader to voters.
  Duration ElectionTimeout = milliseconds(450);   // Lower bound; jittered x2.
  std::uint64_t ClockDriftPerMille =
      10;                               // How far two clocks' rates may differ.
  std::uint64_t SnapshotEntries = 4096; // Log entries between two snapshots.
  std::uint64_t ClaimPartitions = 2;    // Logs that keep claims.
};

/// [membership]: liveness of hosts and backend servers.
struct MembershipSettings {
  Duration ProbeInterval = milliseconds(250);     // Between two probes.
  Duration ProbeTimeout = milliseconds(150);      // Before indirect probes.
  Duration SuspicionTimeout = milliseconds(1000); // From suspect to dead.
  Duration AnnounceTimeout = milliseconds(2500);  // Silence of a server.
  Duration FreshnessBound = milliseconds(900);    // Age of a document stamp.
  Duration AnnounceInterval = milliseconds(0);    // Zero: not known.
};

/// [limits]: what one host takes on.
struct LimitSettings {
  std::uint64_t BodyBytes = 16U << 20U;           // One request's body.
  std::uint64_t HeaderBytes = 16U << 10U;         // One request's headers.
  std::uint64_t AnswerBytes = 16U << 20U;         // One unstreamed answer.
  std::uint64_t RecordedAnswerBytes = 64U << 10U; // One recorded answer.
  std::uint64_t Connections = 4096;               // Callers' connections.
  std::uint64_t Requests = 2048;                  // Requests in progress.
  std::uint64_t StreamBufferBytes = 256U << 10U;  // Towards one slow caller.
  std::uint64_t TotalBufferBytes = 512U << 20U;   // All bodies and buffers.
  Duration ReadTimeout = seconds(30);             // For reading one request.
  Duration DefaultTimeLimit = seconds(60);        // Where nobody states one.
  Duration MaxTimeLimit = minutes(30);            // Whatever the caller states.
};

/// [schedule]: the cells' queues.
struct ScheduleSettings {
  std::uint64_t QueueLength = 10000;           // Requests waiting in one cell.
  std::uint64_t AccountQueueLength = 2000;     // Of one client account.
  Duration GrantLease = milliseconds(2000);    // Unrenewed grants die after it.
  std::uint64_t PrefixIndexBytes = 16U << 20U; // Prefix hints of one host.
  Duration ReservationLimit = seconds(20);     // Of memory at an engine.
};

/// [orders]: loads, unloads and changes of role at engines.
struct OrderSettings {
  std::uint64_t WeightStoreRate = 4096ULL << 20U; // Bytes a second, all loads.
  std::uint64_t EngineLoadRate = 1024ULL << 20U;  // Bytes a second, one load.
  std::uint64_t Loads = 8; // Most at once, whatever the rates allow.
  Duration MaxDeliveryTime =
      seconds(5);                   // A sent order arrives in it or never does.
  Duration LoadLimit = minutes(10); // For one load; then it is undone.
  Duration HoldTime = minutes(2);   // Between two moves of one engine.
};

/// [retries]: second tries of repeatable requests.
struct RetrySettings {
  double BudgetShare = 0.1;                  // Of first tries; by service.
  std::uint64_t Attempts = 3;                // Tries of one request.
  Duration BackoffBase = milliseconds(20);   // Before the second try.
  Duration BackoffLimit = milliseconds(500); // Longest wait between tries.
  std::uint64_t BudgetAllowance = 30;        // Second tries lent a window.
  Duration BudgetWindow = seconds(10);       // In which tries are counted.
};

/// [drain]: a graceful stop.
struct DrainSettings {
  Duration UnreadyTime = milliseconds(3000); // Unready but still taking work.
  Duration Limit = minutes(10);              // Streams are cut after it.
};

/// [log]: decision records.
struct LogSettings {
  std::string File;                   // Empty: standard error; "stdout".
  std::string Level = "info";         // debug, info, warning or error.
  std::uint64_t LinesPerSecond = 200; // Of one kind; more are counted only.
};

struct Settings {
  HostSettings Host;
  JoinSettings Join;
  SecuritySettings Security;
  ControlSettings Control;
  MembershipSettings Membership;
  LimitSettings Limits;
  ScheduleSettings Schedule;
  OrderSettings Orders;
  RetrySettings Retries;
  DrainSettings Drain;
  LogSettings Log;
  std::vector<PeerSettings> Peers; // All hosts of the site, this one included.
};

/// One row of the table of settings.
struct SettingInfo {
  const char *Section;
  const char *Key;     // "*" in [peers]: one key for each host.
  const char *Type;    // "text", "address", "duration", "count", "bytes", ...
  const char *Range;   // For people, with units; "" where any value will do.
  std::string Default; // As one would write it; "" for none.
  bool Required;
  const char *Meaning;
};

/// Every key, in the order of the documentation.
std::vector<SettingInfo> settingTable();

/// One thing that is wrong with a settings file.
struct SettingProblem {
  Code Number = Code::SettingInvalid;
  std::string File;
  int Line = 0; // Zero: the file as a whole.
  std::string Section;
  std::string Key;
  std::string Expected;
  std::string Found;
};

/// "file:line: [section] key: expected ..., found ... (code)".
std::string formatProblem(const SettingProblem &P);

/// Reads INI \p Text over the defaults in \p S. Returns whether it can be used;
/// if not, \p Problems lists everything that is wrong and \p S must not be
/// used.
bool readSettings(std::string_view Text, const std::string &File, Settings &S,
                  std::vector<SettingProblem> &Problems);

/// Reads the file at \p Path as readSettings() does.
bool loadSettings(const std::string &Path, Settings &S,
                  std::vector<SettingProblem> &Problems);

/// A duration such as "250ms", "2s", "1.5s", "5m" or "1h"; the unit is
/// required.
bool parseDuration(std::string_view Text, Duration &D);
/// A size such as "100B", "64KiB", "16MiB" or "4GiB"; the unit is required.
bool parseBytes(std::string_view Text, std::uint64_t &Bytes);
/// The parts of an address in front of its last colon and behind it.
std::string ipOf(std::string_view Address);
std::string portOf(std::string_view Address);
/// The addresses in a list that is separated by commas.
std::vector<std::string> splitAddresses(std::string_view Text);
/// Whether \p Text is an IPv4 or bracketed IPv6 address with a port; port 0
/// is refused.
bool isAddress(std::string_view Text);

} // namespace pimento
