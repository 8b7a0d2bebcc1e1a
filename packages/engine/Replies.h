//===- Replies.h - What engines answer --------------------------*- C++ -*-===//
//
// Every reader has limits and refuses what does not fit the protocol with
// BackendFailed.
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

/// Longest reply that is read, apart from streams, in bytes.
constexpr std::size_t MaxEngineReplyBytes = 1U << 20U;

enum class RefusalReason : std::uint8_t {
  Memory,
  Model,
  Leaving,
  Group,
  Duplicate, // This attempt was cancelled or is known already.
  Other,
};

/// "memory", "model", "leaving", "group", "duplicate" or "other".
const char *toString(RefusalReason Reason);

/// A reply other than 200 to generate or reserve.
struct EngineRefusal {
  bool ProvedNotRun = false; // Only this says that nothing ran.
  RefusalReason Reason = RefusalReason::Other;
  std::string Detail; // For logs.
};

/// Whether the headers of a reply prove that nothing ran.
bool provesNotRun(int Status, const std::vector<HttpHeader> &Headers);

/// Reads a reply other than 200; never fails.
EngineRefusal readRefusal(const HttpReply &Reply);

/// Whether a reply to cancel or to dropping an export says that the engine
/// holds nothing any more.
bool confirmsFreed(int Status);

enum class HoldKind : std::uint8_t { Attempt, Reservation, Export };

/// Something that holds memory of an engine.
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
  std::uint64_t Fence = 0; // Highest fencing number that it saw.
  std::vector<ModelName> Models;
  std::string Role;  // "both", "prefill" or "decode".
  ModelName Loading; // Empty: none.
};

struct EngineExport {
  std::string Handle;
  std::uint64_t Tokens = 0;
};

enum class OrderState : std::uint8_t { Running, Done, Fenced };

struct OrderReply {
  OrderState State = OrderState::Running;
  std::uint64_t HighestFence = 0; // Of Fenced.
};

Result<EngineMemory> readMemory(const HttpReply &Reply);
Result<EngineState> readState(const HttpReply &Reply);
Result<EngineExport> readExport(const HttpReply &Reply);
Result<OrderReply> readOrder(const HttpReply &Reply);
/// Tokens held, of a reply to import or to a question about an attempt.
Result<std::uint64_t> readTokens(const HttpReply &Reply);

} // namespace pimento
