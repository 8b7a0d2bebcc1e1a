//===- Site.h - Three hosts and stand-ins as processes ----------*- C++ -*-===//
//
//   Site S;                            // Up and in service, or the test fails.
//   S.Hosts[S.leader()].Run.kill();
//   Reply R = S.complete(0, "a prompt");
//
// 1. The site    processes, settings, folders
// 2. Callers     completions, look-ups, sign-offs
// 3. Operators   status, documents
//
// Settings and documents come from examples/; ports come from the system. A
// scenario's files stay in the build folder until it runs again.
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
constexpr std::size_t BackendCount = 2; // Engines, and as many ledgers.
constexpr std::uint64_t AnswerTokens = 20;
/// Within it a site starts, a host returns, a log settles.
constexpr Duration Patience = seconds(30);
/// Within it a plain call is answered: the default of its document, 10 s, and
/// what a loaded machine adds.
constexpr Duration CallLimit = seconds(10);
constexpr Duration LimitSlack = seconds(2);

struct Host {
  std::string Name;
  std::string Caller; // ip:port, as the two below.
  std::string Operator;
  std::string Peer;
  std::filesystem::path DataFolder;
  Process Run;
};

struct Backend {
  std::vector<std::string> Arguments;
  std::filesystem::path Journal; // Of a ledger.
  std::string Address;
  Process Run;
};

struct Site {
  /// \p Limits are lines of the settings' [limits].
  explicit Site(const std::string &Limits = "");

  void startHost(std::size_t Index);
  void startBackend(const std::string &Id);
  /// Sets failures of one stand-in, as POST /fake/switches takes them.
  void setSwitches(const std::string &Id, const Json &Switches);
  void setLedgers(const Json &Switches);

  bool ready(std::size_t Index) const;
  /// Whether the host answers a completion and a look-up.
  bool serves(std::size_t Index) const;

  // Callers. Each says how long it waits at most by Patience, not by its limit.
  Reply complete(std::size_t Index, const std::string &Prompt) const;
  Reply lookUp(std::size_t Index, const std::string &Account = "aurora-air",
               Duration Wait = Patience) const;
  Reply signOff(std::size_t Index, const std::string &Key,
                const std::string &Account = "aurora-air") const;
  /// As signOff(), again while the answer says that this try was not run.
  Reply resend(std::size_t Index, const std::string &Key,
               const std::string &Account = "aurora-air") const;
  /// How often the ledgers ran the call with this key.
  std::size_t runs(const std::string &Key) const;

  // Operators.
  Json ask(std::size_t Index, const std::string &Path) const;
  /// The control log's status at a host; null where it doesn't answer.
  Json controlLog(std::size_t Index) const;
  /// The host that leads the control log with a lease; waits for one that
  /// runs.
  std::size_t leader() const;
  /// Puts the ledger's document under this number; \p Retention makes its text
  /// differ from others.
  Reply put(std::size_t Index, std::uint64_t Number, const std::string &EditId,
            int Retention = 72) const;
  /// As put(), again with the same id while the outcome is not known.
  Reply putUntilSettled(std::size_t Index, std::uint64_t Number,
                        const std::string &EditId, int Retention = 72) const;
  /// The number of the ledger's document that a host holds; 0: no answer.
  std::uint64_t documentAt(std::size_t Index) const;

  std::filesystem::path Folder;
  std::array<Host, HostCount> Hosts;
  std::map<std::string, Backend> Backends; // engine-N and ledger-N.

private:
  void writeSettings(const std::string &Limits);
  void startBackends();
};

std::string completionBody(const std::string &Prompt, bool Stream,
                           std::uint64_t Tokens);
/// Whether \p R is the whole answer to \p Prompt.
bool answers(const Reply &R, const std::string &Prompt);
/// The example document of a service.
Json exampleDocument(const std::string &Service);
std::string accountToken(const std::string &Account);

constexpr const char *OperatorToken = "sample-operator-token";
constexpr const char *PeerToken = "sample-peer-secret";
constexpr const char *LedgerService = "crew-ledger";

} // namespace pimento::site
