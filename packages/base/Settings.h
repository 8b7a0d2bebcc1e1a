//===- Settings.h - The settings of one host --------------------*- C++ -*-===//
//
//   Settings S;                       // Defaults.
//   std::vector<SettingProblem> Problems;
//   bool Usable = readSettings(Text, "site.ini", S, Problems);
//
// Index
//   Settings          plain structs, one for each section of the file
//   settingTable()    every key with type, unit, range, default and meaning
//   readSettings()    parses and checks a text; reports all problems found
//   formatProblem()   "site.ini:12: [limits] body: expected ..., found ..."
//
// To add a key, add a field here and a row in SettingTable.cpp. A test checks
// that docs/SETTINGS.md lists every row of the table.
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

/// One host of the site, as listed in [peers].
struct PeerSettings {
  HostId Name;
  DataCentreId DataCentre;
  std::string Address; // ip:port of its peer listener.
  bool Voter = false;  // Whether the host is an initial voter.
};

/// [host]: identity and listeners of this host.
struct HostSettings {
  HostId Name;                 // Unique in the site.
  DataCentreId DataCentre;     // Data centre where this host runs.
  std::string CallerAddress;   // ip:port for callers and backend servers.
  std::string OperatorAddress; // ip:port for operators.
  std::string PeerAddress;     // ip:port for other hosts.
  std::string DataFolder;      // Empty: no disk and no replicated log.
  std::string MetricsAddress; // ip:port that serves only /metrics; empty: none.
  std::string SourceAddress;  // IP address of connections to backend servers;
                              // empty: the system chooses.
};

/// [join]: discovery of the site's hosts through seeds, a few control hosts
/// whose addresses are configured. [peers] is empty in such a site.
struct JoinSettings {
  std::string Role;           // "entry" or "control"; empty: uses [peers].
  std::string Seeds;          // Comma-separated ip:port of control hosts.
  std::uint64_t First = 0;    // 1: first start of the whole site.
  std::uint64_t Failures = 1; // Tolerated concurrent control host failures.
};

/// [security]: credentials that this host accepts.
struct SecuritySettings {
  std::string OperatorTokenSha256; // SHA-256 of the operators' bearer token.
  std::string BackendTokenSha256;  // SHA-256 of the backend servers' token.
  std::string PeerToken;           // Secret shared by all hosts of the site.
};

/// [control]: the replicated logs. Some of them store claims; a claim is the
/// record of a call that must run at most once.
struct ControlSettings {
  Duration HeartbeatInterval = milliseconds(100); // From leader to voters.
  // Minimum silence of the leader before an election. Each host waits for a
  // random time between this value and twice this value.
  Duration ElectionTimeout = milliseconds(450);
  // Bound on the rate difference between two clocks.
  std::uint64_t ClockDriftPerMille = 10;
  std::uint64_t SnapshotEntries = 4096; // Log entries between two snapshots.
  std::uint64_t ClaimPartitions = 2;    // Replicated logs that store claims.
};

/// [membership]: liveness of hosts and backend servers.
struct MembershipSettings {
  // Time between two liveness probes.
  Duration ProbeInterval = milliseconds(250);
  // Wait before indirect probes start. A host whose answer takes longer counts
  // as slow.
  Duration ProbeTimeout = milliseconds(150);
  // Time from suspected to dead.
  Duration SuspicionTimeout = milliseconds(1000);
  // Silence after which a backend server gets no new work.
  Duration AnnounceTimeout = milliseconds(2500);
  // Maximum age of a document stamp, the leader's statement of which edit was
  // the newest. A host whose stamp is older refuses new work.
  Duration FreshnessBound = milliseconds(900);
  // Time between two reports of a backend server; 0: unknown.
  Duration AnnounceInterval = milliseconds(0);
};

/// [limits]: resource and time limits of one host.
struct LimitSettings {
  std::uint64_t BodyBytes = 16U << 20U;   // Body of one request.
  std::uint64_t HeaderBytes = 16U << 10U; // Headers of one request.
  std::uint64_t AnswerBytes = 16U << 20U; // One answer that is not streamed.
  // One answer recorded with a claim.
  std::uint64_t RecordedAnswerBytes = 64U << 10U;
  std::uint64_t Connections = 4096; // Concurrent caller connections.
  std::uint64_t Requests = 2048;    // Concurrent requests.
  // Bytes buffered for one slow caller.
  std::uint64_t StreamBufferBytes = 256U << 10U;
  // All buffered bodies and answers.
  std::uint64_t TotalBufferBytes = 512U << 20U;
  // Memory that this process may use; 0: unknown. See bufferBytes().
  std::uint64_t MemoryBytes = 0;
  Duration ReadTimeout = seconds(30); // Time to receive one whole request.
  // Time limit of a request if neither its caller nor its document sets one.
  Duration DefaultTimeLimit = seconds(60);
  // Upper bound of the time limit, whatever the caller states.
  Duration MaxTimeLimit = minutes(30);
};

/// Bytes that a host may hold of bodies and answers, all together: the total
/// buffer, or a part of the process's memory if that is less.
std::uint64_t bufferBytes(const LimitSettings &L);

/// [schedule]: queues and grants of the cells. A cell is a group of engines of
/// one model with one scheduler; a grant assigns engines of it to a request.
struct ScheduleSettings {
  std::uint64_t QueueLength = 10000; // Requests waiting in one cell.
  // Waiting requests of one client account per cell.
  std::uint64_t AccountQueueLength = 2000;
  // A grant expires unless renewed in this time.
  Duration GrantLease = milliseconds(2000);
  // Memory for the prefix hints of each cell that the host schedules. A hint
  // says which engines have a prompt prefix in their cache.
  std::uint64_t PrefixIndexBytes = 16U << 20U;
  // Longest memory reservation at an engine.
  Duration ReservationLimit = seconds(20);
};

/// [orders]: commands to engines to load or unload a model or change role.
struct OrderSettings {
  // Bytes per second for all loads.
  std::uint64_t WeightStoreRate = 4096ULL << 20U;
  // Bytes per second for one load.
  std::uint64_t EngineLoadRate = 1024ULL << 20U;
  std::uint64_t Loads = 8; // Maximum concurrent loads, regardless of the rates.
  // Maximum delivery time: a sent order arrives within it or never.
  Duration MaxDeliveryTime = seconds(5);
  Duration LoadLimit = minutes(10); // A load that takes longer is undone.
  // Minimum time between two model changes of an engine.
  Duration HoldTime = minutes(2);
};

/// [retries]: retries of repeatable requests.
struct RetrySettings {
  double BudgetShare = 0.1;   // Retries per first attempt, for each service.
  std::uint64_t Attempts = 3; // Attempts of one request, the first included.
  // Longest wait before the first retry. The wait is random, at least half of
  // this value, and the bounds double with each further retry.
  Duration BackoffBase = milliseconds(20);
  // Longest wait between two attempts.
  Duration BackoffLimit = milliseconds(500);
  double BudgetAllowance = 30;         // Retries per window beyond the share.
  Duration BudgetWindow = seconds(10); // Sliding window of the retry budget.
};

/// [hedge]: extra attempts of repeatable requests whose answer is slow. They
/// count as retries as well.
struct HedgeSettings {
  double Share = 0; // Extra attempts per request of a host; zero: none.
  // An answer is slow if it takes longer than this share of recent ones.
  double Quantile = 0.95;
  // Least age of an attempt at which another one begins beside it.
  Duration MinDelay = milliseconds(50);
  // Shares of single routes, as "name=share, ..."; empty: Share bounds all.
  std::string Routes;
};

/// [drain]: graceful shutdown.
struct DrainSettings {
  // Time for which the host is unready but still accepts requests.
  Duration UnreadyTime = milliseconds(3000);
  // Time after which requests still in progress are terminated.
  Duration Limit = minutes(10);
};

/// [log]: log of decision records.
struct LogSettings {
  std::string File; // Empty: standard error; "stdout": standard output.
  std::string Level = "info"; // debug, info, warning or error.
  // Limit for each kind of line; lines beyond the limit are only counted.
  std::uint64_t LinesPerSecond = 200;
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
  HedgeSettings Hedge;
  DrainSettings Drain;
  LogSettings Log;
  std::vector<PeerSettings> Peers; // All hosts of the site, including this one.
};

/// One row of the table of settings.
struct SettingInfo {
  const char *Section;
  const char *Key;     // "*" in [peers]: one key for each host.
  const char *Type;    // "text", "address", "duration", "count", "bytes", ...
  const char *Range;   // Readable text with units; "" if any value is valid.
  std::string Default; // In the syntax of the settings file; "" for none.
  bool Required;
  const char *Meaning;
};

/// Every key, in the order of the documentation.
std::vector<SettingInfo> settingTable();

/// One error in a settings file.
struct SettingProblem {
  Code Number = Code::SettingInvalid;
  std::string File;
  int Line = 0; // Line number, from 1; 0: the problem is not on one line.
  std::string Section;
  std::string Key;
  std::string Expected;
  std::string Found;
};

/// "file:line: [section] key: expected ..., found ... (code)".
std::string formatProblem(const SettingProblem &P);

/// Reads INI \p Text over the defaults in \p S and checks the result. Returns
/// true if there are no errors. Otherwise appends the errors found to
/// \p Problems, and \p S must not be used. Checks that compare settings run
/// only if each key is valid by itself.
bool readSettings(std::string_view Text, const std::string &File, Settings &S,
                  std::vector<SettingProblem> &Problems);

/// Reads the file at \p Path and passes its text to readSettings(). A file that
/// cannot be read is one problem with the code SettingsUnreadable.
bool loadSettings(const std::string &Path, Settings &S,
                  std::vector<SettingProblem> &Problems);

} // namespace pimento
