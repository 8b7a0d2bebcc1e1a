//===- Adapter.h - The one adapter to model engines -------------*- C++ -*-===//
//
// What an engine is asked for, as requests of this protocol. Another protocol
// is another adapter; nothing else in the system knows what engines speak.
// docs/ENGINE-PROTOCOL.md describes the protocol.
//
// Index
//   generateRequest() ...   operations as requests to an address
//   Replies.h               what engines answer, as structs
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

/// One attempt to generate an answer.
struct GenerateOrder {
  AttemptId Attempt;
  ModelName Model;
  std::string_view Prompt;          // Valid UTF-8.
  std::uint64_t MaxTokens = 0;      // Of the answer.
  std::uint32_t Weight = 1;         // Paid priority.
  std::uint64_t Epoch = 0;          // Of the scheduler's lease.
  std::vector<std::string> Members; // Other engines of a group; ip:port.
};

enum class OrderKind : std::uint8_t { Load, Unload, Role };

/// An order to change what an engine serves.
struct EngineOrder {
  std::uint64_t Fence = 0;
  OrderKind Kind = OrderKind::Load;
  std::string Name; // Model, or "both", "prefill" or "decode" for a role.
};

UpstreamRequest generateRequest(const std::string &Address,
                                const GenerateOrder &Order);
/// Goes on with a running attempt from token \p Offset.
UpstreamRequest resumeRequest(const std::string &Address,
                              const AttemptId &Attempt, std::uint64_t Offset);
/// Frees all that the engine holds of an attempt; may be repeated.
UpstreamRequest cancelRequest(const std::string &Address,
                              const AttemptId &Attempt);
/// Asks what the engine holds of an attempt.
UpstreamRequest attemptRequest(const std::string &Address,
                               const AttemptId &Attempt);
/// Holds memory for a member of a group; repeated to keep it.
UpstreamRequest reserveRequest(const std::string &Address,
                               const AttemptId &Attempt, std::uint64_t Tokens,
                               Duration Lease);
UpstreamRequest memoryRequest(const std::string &Address);
UpstreamRequest exportRequest(const std::string &Address,
                              const AttemptId &Attempt);
/// Frees an export; may be repeated.
UpstreamRequest dropExportRequest(const std::string &Address,
                                  const std::string &Handle);
/// Takes over the KV cache that the engine at \p From exported.
UpstreamRequest importRequest(const std::string &Address,
                              const AttemptId &Attempt, const std::string &From,
                              const std::string &Handle);
UpstreamRequest orderRequest(const std::string &Address,
                             const EngineOrder &Order);
UpstreamRequest stateRequest(const std::string &Address);

} // namespace pimento
