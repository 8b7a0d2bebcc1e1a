//===- Adapter.h - Requests to model engines --------------------*- C++ -*-===//
//
// Builds the HTTP requests of the engine protocol, which is described in
// docs/ENGINE-PROTOCOL.md. Only this package knows the protocol, so that an
// engine with another protocol needs only another adapter.
//
// Index
//   generateRequest() ...   operations as requests to an address
//   Replies.h               replies of engines as structs
//   Stream.h                the events of a generated answer
//   Prefix.h                hashes and sizes of prompts
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// Parameters of one attempt to generate an answer.
struct GenerateOrder {
  AttemptId Attempt;
  ModelName Model;
  std::string_view Prompt;          // Valid UTF-8.
  std::uint64_t MaxTokens = 0;      // Limit of the answer.
  std::uint32_t Weight = 1;         // Paid priority.
  std::uint64_t Epoch = 0;          // Epoch of the scheduler's lease.
  std::vector<std::string> Members; // Other engines of a group; ip:port.
};

enum class OrderKind : std::uint8_t { Load, Unload, Role };

/// An order to change what an engine serves.
struct EngineOrder {
  std::uint64_t Fence = 0; // Fencing number; engines reject lower ones.
  OrderKind Kind = OrderKind::Load;
  std::string Name; // Model, or "both", "prefill" or "decode" for a role.
};

UpstreamRequest generateRequest(const std::string &Address,
                                const GenerateOrder &Order);
/// Resumes the stream of a running attempt at token \p Offset.
UpstreamRequest resumeRequest(const std::string &Address,
                              const AttemptId &Attempt, std::uint64_t Offset);
/// Cancels an attempt and frees its memory; may be repeated.
UpstreamRequest cancelRequest(const std::string &Address,
                              const AttemptId &Attempt);
/// Queries the memory that the engine holds for an attempt.
UpstreamRequest attemptRequest(const std::string &Address,
                               const AttemptId &Attempt);
/// Reserves memory at a member of a group for \p Lease; repeat to renew.
UpstreamRequest reserveRequest(const std::string &Address,
                               const AttemptId &Attempt, std::uint64_t Tokens,
                               Duration Lease);
/// Queries all memory that the engine holds.
UpstreamRequest memoryRequest(const std::string &Address);
/// Exports the KV cache of an attempt; the reply has the export's handle.
UpstreamRequest exportRequest(const std::string &Address,
                              const AttemptId &Attempt);
/// Frees an export; may be repeated.
UpstreamRequest dropExportRequest(const std::string &Address,
                                  const std::string &Handle);
/// Imports the KV cache that the engine at \p From exported as \p Handle.
UpstreamRequest importRequest(const std::string &Address,
                              const AttemptId &Attempt, const std::string &From,
                              const std::string &Handle);
UpstreamRequest orderRequest(const std::string &Address,
                             const EngineOrder &Order);
UpstreamRequest stateRequest(const std::string &Address);

} // namespace pimento
