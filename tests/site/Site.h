//===- Site.h - Three hosts and fake backends as processes ------*- C++ -*-===//
//
//   Site S; // Starts all processes; fails the test if they do not serve.
//   S.Hosts[S.leader()].Run.kill();
//   Reply R = S.complete(0, "a prompt");
//
// A site is three hosts with two engines and two ledgers (fake backend servers)
// as real processes on loopback.
//
// 1. The site    processes, settings, folders
// 2. Callers     completions, look-ups, sign-offs
// 3. Operators   status, documents
//
// Settings and documents come from examples/; ports are assigned by the
// operating system. The files of a test case stay in the build folder until the
// case runs again.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "site/Client.h"
#include "site/Process.h"

#include <array>
#include <filesystem>
#include <map>
#include <string>

namespace pimento::site {

constexpr std::size_t HostCount = 3;
constexpr std::size_t BackendCount = 2; // Engines; the number of ledgers too.
constexpr std::uint64_t AnswerTokens = 20;
/// Limit for a site to start, a host to restart and a log to elect a leader.
constexpr Duration SettleTimeout = seconds(30);
/// Time limit of a plain call: the default of its document, 10 s.
constexpr Duration CallLimit = seconds(10);
/// Allowance on top of CallLimit for a loaded machine.
constexpr Duration LimitSlack = seconds(2);

struct Host {
  std::string Name;
  std::string Caller; // Addresses of the three ports, as ip:port.
  std::string Operator;
  std::string Peer;
  std::filesystem::path DataFolder;
  Process Run;
};

struct Backend {
  std::vector<std::string> Arguments;
  std::filesystem::path Journal; // Calls run by a ledger; empty for an engine.
  std::string Address;
  Process Run;
};

struct Site {
  /// \p Limits: lines for the section [limits] of the settings.
  explicit Site(const std::string &Limits = "");

  void startHost(std::size_t Index);
  void startBackend(const std::string &Id);
  /// Sets the fault injection of one fake backend server by POST
  /// /fake/switches.
  void setSwitches(const std::string &Id, const Json &Switches);
  void setLedgers(const Json &Switches);

  bool ready(std::size_t Index) const;
  /// Whether the host answers a completion and a look-up.
  bool serves(std::size_t Index) const;

  // Requests of callers. The client waits for a response up to SettleTimeout,
  // whatever the time limit of the request.
  Reply complete(std::size_t Index, const std::string &Prompt) const;
  Reply lookUp(std::size_t Index, const std::string &Account = "aurora-air",
               Duration Wait = SettleTimeout) const;
  Reply signOff(std::size_t Index, const std::string &Key,
                const std::string &Account = "aurora-air") const;
  /// As signOff(), repeated while there is no response or the response is 503,
  /// which says that this attempt was not run.
  Reply resend(std::size_t Index, const std::string &Key,
               const std::string &Account = "aurora-air") const;
  /// Number of times that the ledgers ran the call with this key.
  std::size_t runs(const std::string &Key) const;

  // Requests of operators.
  /// Body of GET \p Path; null unless the host responds with 200.
  Json getFromOperator(std::size_t Index, const std::string &Path) const;
  /// Status of the control log at a host; null if the host does not respond.
  Json controlLog(std::size_t Index) const;
  /// Index of the host that leads the control log and holds the lease. Waits
  /// until there is one.
  std::size_t leader() const;
  /// Sends the ledger's document with this number. \p Retention makes its text
  /// differ from that of other edits.
  Reply put(std::size_t Index, std::uint64_t Number, const std::string &EditId,
            int Retention = 72) const;
  /// As put(), repeated with the same id while the outcome is unknown.
  Reply putUntilSettled(std::size_t Index, std::uint64_t Number,
                        const std::string &EditId, int Retention = 72) const;
  /// Number of the ledger's document at a host; 0: the host did not respond.
  std::uint64_t documentAt(std::size_t Index) const;

  std::filesystem::path Folder;
  std::array<Host, HostCount> Hosts;
  std::map<std::string, Backend> Backends; // By id: engine-N and ledger-N.

private:
  void writeSettings(const std::string &Limits);
  void startBackends();
};

std::string completionBody(const std::string &Prompt, bool Stream,
                           std::uint64_t Tokens);
/// Whether \p R is the complete, correct answer to \p Prompt.
bool answers(const Reply &R, const std::string &Prompt);
/// The example document of a service.
Json exampleDocument(const std::string &Service);
std::string accountToken(const std::string &Account);

constexpr const char *OperatorToken = "sample-operator-token";
constexpr const char *PeerToken = "sample-peer-secret";
constexpr const char *LedgerService = "crew-ledger";

} // namespace pimento::site
