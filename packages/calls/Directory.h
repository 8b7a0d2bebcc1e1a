//===- Directory.h - Routing data of an entry host --------------*- C++ -*-===//
//
// A read-only view for the functions of Calls.h. Their caller fills it from the
// service documents in force, from the registry of backend servers and from the
// host's own state.
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

/// Rule for the calls of a plain service below one path.
struct CallRule {
  std::string Path;                 // Prefix below .../calls/; no leading '/'.
  std::vector<std::string> Methods; // HTTP methods, such as "POST".
  bool Repeatable = false; // False: run at most once, with Idempotency-Key.
};

/// One service, from its document in force.
struct ServiceRule {
  std::map<AccountId, std::uint32_t> Weights;   // Allowed accounts' priorities.
  std::vector<CallRule> Calls;                  // The longest prefix applies.
  Duration DefaultTimeLimit = Duration::zero(); // Zero: host's default.
  Duration MaxTimeLimit = Duration::zero();     // Zero: host's maximum.
  Duration Retention = hours(24);               // How long answers are kept.
  double RetryShare = -1; // Retries per first attempt; below 0: host's share.
};

/// A model, adapter or version that one service offers.
struct ModelRule {
  ServiceId Service;
  std::uint64_t ContextTokens = 0; // Limit of prompt and answer; zero: none.
};

/// A plain backend server that accepts new calls.
struct PlainServer {
  BackendId Backend;
  IncarnationNumber Incarnation = 0;
  std::string Address; // ip:port
  DataCentreId DataCentre;
};

/// Accounts of one token, for each service whose document lists the token.
using TokenAccounts = std::map<ServiceId, AccountId>;

struct Directory {
  std::map<std::string, TokenAccounts> Tokens; // By SHA-256 of the token, hex.
  // One rule for each service that offers the model.
  std::map<ModelName, std::vector<ModelRule>> Models;
  std::map<ServiceId, ServiceRule> Services;
  // Servers that accept calls, without those that are draining.
  std::map<ServiceId, std::vector<PlainServer>> Servers;
  DataCentreId Here;      // Data centre of this host.
  bool Fresh = true;      // False: documents may be out of date.
  bool RefuseNew = false; // The host is stopping and past its unready time.
  // False after some time without a known leader of the claim partitions.
  // Calls that run at most once are then refused at once instead of waiting.
  bool ClaimsReachable = true;
};

/// Returns the rule for \p Path that lists \p Method and has the longest
/// matching prefix of whole segments; null if the service offers no such call.
const CallRule *callRule(const ServiceRule &Service, std::string_view Method,
                         std::string_view Path);

} // namespace pimento::calls
