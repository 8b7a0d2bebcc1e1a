//===- Directory.h - What an entry host knows when it decides ---*- C++ -*-===//
//
// A read-only view that whoever runs the reducer fills from the documents in
// force, from the registry of backend servers and from the host's own state.
// Plain data, and all of it for one host.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pimento::calls {

/// How a plain service's calls below one path are treated.
struct CallRule {
  std::string Path;                 // Prefix below .../calls/; no leading '/'.
  std::vector<std::string> Methods; // Such as "POST".
  bool Repeatable = false; // False: at most once, needs an Idempotency-Key.
};

/// One service, as its document in force says.
struct ServiceRule {
  std::map<AccountId, std::uint32_t> Weights;   // Accounts that may use it.
  std::vector<CallRule> Calls;                  // Longest prefix counts.
  Duration DefaultTimeLimit = Duration::zero(); // Zero: the host's.
  Duration MaxTimeLimit = Duration::zero();     // Zero: the host's.
  Duration Retention = hours(24);               // Of recorded answers.
  double RetryShare = -1; // Retries for each first try; below 0: the host's.
};

/// A model, adapter or version that one service offers.
struct ModelRule {
  ServiceId Service;
  std::uint64_t ContextTokens = 0; // Prompt and answer; zero: unbounded.
};

/// A plain backend server that takes new work.
struct PlainServer {
  BackendId Backend;
  IncarnationNumber Incarnation = 0;
  std::string Address; // ip:port
  DataCentreId DataCentre;
};

/// What one token opens: an account of each service whose document lists it.
using TokenAccounts = std::map<ServiceId, AccountId>;

struct Directory {
  std::map<std::string, TokenAccounts> Tokens; // By SHA-256 of the token, hex.
  std::map<ModelName, std::vector<ModelRule>> Models; // By offering service.
  std::map<ServiceId, ServiceRule> Services;
  std::map<ServiceId, std::vector<PlainServer>> Servers; // Not those leaving.
  DataCentreId Here;                                     // This host's.
  bool Fresh = true;      // False: documents may be out of date.
  bool RefuseNew = false; // The host is stopping and past its unready time.
  bool ClaimsReachable = true; // False: for a while no leader of the claims
                               // was known; calls that run at most once are
                               // answered at once instead of waiting.
};

/// The rule with the longest prefix of \p Path, in whole segments, that lists
/// \p Method; null where the service offers no such call.
const CallRule *callRule(const ServiceRule &Service, std::string_view Method,
                         std::string_view Path);

} // namespace pimento::calls
