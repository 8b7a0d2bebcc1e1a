//===- Replies.h - Replies of model engines ---------------------*- C++ -*-===//
//
// Parses the replies of the engine protocol. Every reader limits the size and
// depth of its input and fails with BackendFailed on a reply that violates the
// protocol.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"
#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// Size limit of replies other than streams, in bytes.
constexpr std::size_t MaxEngineReplyBytes = 1U << 20U;

enum class RefusalReason : std::uint8_t {
  Memory,
  Model,
  Leaving,
  Group,
  Duplicate, // The attempt is already known or was cancelled.
  Other,
};

/// "memory", "model", "leaving", "group", "duplicate" or "other".
const char *toString(RefusalReason Reason);

/// A reply other than 200 to generate or reserve.
struct EngineRefusal {
  bool ProvedNotRun = false; // Nothing ran; Reason alone does not prove that.
  RefusalReason Reason = RefusalReason::Other;
  std::string Detail; // Description for logs.
};

/// Whether status and headers of a reply prove that nothing ran.
bool provesNotRun(int Status, const std::vector<HttpHeader> &Headers);

/// Reads a reply other than 200; never fails.
EngineRefusal readRefusal(const HttpReply &Reply);

/// Whether a reply to cancel or to dropping an export confirms that the engine
/// holds nothing for it.
bool confirmsFreed(int Status);

enum class HoldKind : std::uint8_t { Attempt, Reservation, Export };

/// One item that occupies memory of an engine.
struct EngineHold {
  HoldKind Kind = HoldKind::Attempt;
  std::string Id; // Attempt id, or the handle of an export.
  std::uint64_t Tokens = 0;
  Duration Age = Duration::zero();
};

struct EngineMemory {
  IncarnationNumber Incarnation = 0;
  std::uint64_t TotalTokens = 0;
  std::uint64_t UsedTokens = 0;
  std::vector<EngineHold> Held;
};

struct EngineState {
  IncarnationNumber Incarnation = 0;
  std::uint64_t Fence = 0; // Highest fencing number the engine has seen.
  std::vector<ModelName> Models;
  std::string Role;  // "both", "prefill" or "decode".
  ModelName Loading; // Model being loaded; empty: none.
};

struct EngineExport {
  std::string Handle;
  std::uint64_t Tokens = 0;
};

enum class OrderState : std::uint8_t { Running, Done, Fenced };

struct OrderReply {
  OrderState State = OrderState::Running;
  std::uint64_t HighestFence = 0; // Set for Fenced.
};

Result<EngineMemory> readMemory(const HttpReply &Reply);
Result<EngineState> readState(const HttpReply &Reply);
Result<EngineExport> readExport(const HttpReply &Reply);
Result<OrderReply> readOrder(const HttpReply &Reply);
/// Reads the tokens held, from a reply to importRequest() or attemptRequest().
Result<std::uint64_t> readTokens(const HttpReply &Reply);

} // namespace pimento
