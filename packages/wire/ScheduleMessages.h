//===- ScheduleMessages.h - Asks and grants ---------------------*- C++ -*-===//
//
//   entry host            scheduler of the cell
//       Ask          ->
//                    <-     Grant or Refusal
//       Progress     ->                          (first tokens)
//       Release      ->
//
//       RenewGrants  ->                          (all that the host holds)
//                    <-     RegisterRequest      (what the scheduler lacks)
//       Register     ->                          (grants; asks are sent again)
//
// Every message names the cell, since one host may schedule several.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

/// A cell: a bounded number of engines of one model, scheduled by one host.
/// See cellId() in schedule/CellMap.h.
enum class CellId : std::uint32_t {};

/// Asks for engines for one attempt. Sending it again is harmless.
struct GrantRequest {
  static constexpr std::uint16_t WireType = 301;
  AttemptId Attempt;
  AccountId Account;
  ServiceId Service;
  ModelName Model;
  std::uint64_t PromptTokens = 0;       // Estimated.
  std::uint64_t OutputTokens = 0;       // The most it may generate.
  std::uint32_t Weight = 1;             // Paid priority.
  Duration TimeLeft = Duration::zero(); // Until the caller's deadline.
  std::vector<std::uint64_t> Prefixes;  // Hashes, shortest prefix first.
  std::vector<BackendId> Avoid;         // Engines that failed this request.
  CellId Cell{};                        // That is asked.
  Duration Waited = Duration::zero();   // Since it was first asked for.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Account, M.Service, M.Model, M.PromptTokens,
          M.OutputTokens, M.Weight, M.TimeLeft, M.Prefixes, M.Avoid, M.Cell,
          M.Waited);
  }
};

/// One engine of a grant.
struct GrantedEngine {
  BackendId Backend;
  std::string Address;      // ip:port
  std::uint64_t Tokens = 0; // Memory that the grant holds there.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Backend, M.Address, M.Tokens);
  }
};

/// Leave to run one attempt. More than one engine: a group, its first engine
/// leads.
struct Grant {
  static constexpr std::uint16_t WireType = 302;
  AttemptId Attempt;
  std::uint64_t Epoch = 0;           // Of the scheduler's lease on the cell.
  Duration Lease = Duration::zero(); // Dies after it unless renewed.
  std::vector<GrantedEngine> Engines;
  CellId Cell{};
  std::uint32_t Priority = 1; // For the engine: higher is prefilled first.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Epoch, M.Lease, M.Engines, M.Cell, M.Priority);
  }
};

/// The scheduler gives the request up; nothing of it ran.
struct Refusal {
  static constexpr std::uint16_t WireType = 303;
  AttemptId Attempt;
  Code Reason = Code::NoBackend;
  Duration RetryAfter = Duration::zero(); // From the queue's forecast.
  CellId Cell{};
  std::uint64_t Epoch = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Reason, M.RetryAfter, M.Cell, M.Epoch);
  }
};

/// How an attempt went at its engine.
enum class AttemptEnd : std::uint8_t {
  Finished,  // Whole.
  Cancelled, // The engine confirmed that it holds nothing any more.
  Failed,    // Broke off; what it holds is not known.
  Unused,    // Never reached the engine.
};

/// The entry host is done with a grant.
struct Release {
  static constexpr std::uint16_t WireType = 304;
  AttemptId Attempt;
  AttemptEnd End = AttemptEnd::Finished;
  std::uint64_t PromptTokens = 0; // As the engine counted; zero: unknown.
  std::uint64_t CachedTokens = 0; // Of these, found in the prefix cache.
  std::uint64_t OutputTokens = 0;
  Duration FirstToken = Duration::zero(); // From send; zero: none came.
  Duration Total = Duration::zero();      // From send to the end.
  CellId Cell{};

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.End, M.PromptTokens, M.CachedTokens, M.OutputTokens,
          M.FirstToken, M.Total, M.Cell);
  }
};

/// Gives up an ask or grant that the entry host needs no more.
struct Withdraw {
  static constexpr std::uint16_t WireType = 305;
  AttemptId Attempt;
  CellId Cell{};

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Cell);
  }
};

/// An attempt of a host whose requests share the upper half of their ids.
struct LocalAttempt {
  std::uint64_t Lo = 0;     // RequestId::Lo
  std::uint32_t Number = 0; // AttemptId::Number

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Lo, M.Number);
  }
};

/// How far one attempt has come.
struct AttemptProgress {
  LocalAttempt Attempt;
  std::uint32_t PrefillTokens = 0; // Of the prompt, as the engine says.
  std::uint32_t OutputTokens = 0;  // Since the start of the attempt.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.PrefillTokens, M.OutputTokens);
  }
};

/// Everything that an entry host holds or waits for in one cell, and how far it
/// has come. What it does not name dies with its lease.
struct RenewGrants {
  static constexpr std::uint16_t WireType = 306;
  CellId Cell{};
  IncarnationNumber Incarnation = 0; // Of the entry host.
  std::uint64_t Hi = 0;              // RequestId::Hi of every attempt below.
  std::vector<AttemptProgress> Grants;
  std::vector<LocalAttempt> Waiting;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Cell, M.Incarnation, M.Hi, M.Grants, M.Waiting);
  }
};

/// News that cannot wait for the next renewal: the first token of a longer
/// prompt. May be lost, since figures are totals.
struct Progress {
  static constexpr std::uint16_t WireType = 307;
  CellId Cell{};
  std::uint64_t Hi = 0; // RequestId::Hi of every attempt below.
  std::vector<AttemptProgress> Attempts;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Cell, M.Hi, M.Attempts);
  }
};

/// One grant as the entry host that holds it describes it.
struct HeldGrant {
  AttemptId Attempt;
  AccountId Account;
  ModelName Model;
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0; // The most it may generate.
  std::uint64_t Generated = 0;    // So far; zero: no first token yet.
  std::uint32_t Weight = 1;
  Duration TimeLeft = Duration::zero();
  std::vector<GrantedEngine> Engines;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Account, M.Model, M.PromptTokens, M.OutputTokens,
          M.Generated, M.Weight, M.TimeLeft, M.Engines);
  }
};

/// Tells a scheduler of grants that it does not know: those of an earlier
/// holder of the cell, and those that the host gave itself while there was
/// none. Sending it again is harmless.
struct Register {
  static constexpr std::uint16_t WireType = 308;
  CellId Cell{};
  IncarnationNumber Incarnation = 0; // Of the entry host.
  std::vector<HeldGrant> Grants;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Cell, M.Incarnation, M.Grants);
  }
};

/// The scheduler does not know these attempts: register the grants among
/// them and send the asks again.
struct RegisterRequest {
  static constexpr std::uint16_t WireType = 309;
  CellId Cell{};
  std::uint64_t Epoch = 0;
  std::uint64_t Hi = 0;               // RequestId::Hi of every attempt below.
  std::vector<LocalAttempt> Attempts; // Empty: all of them.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Cell, M.Epoch, M.Hi, M.Attempts);
  }
};

using ScheduleMessages =
    MessageList<GrantRequest, Grant, Refusal, Release, Withdraw, RenewGrants,
                Progress, Register, RegisterRequest>;

} // namespace pimento
