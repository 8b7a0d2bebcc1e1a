//===- ScheduleMessages.h - Messages of the scheduler -----------*- C++ -*-===//
//
// Between an entry host, which needs engines for its callers' requests, and the
// host that schedules a cell (a bounded number of engines of one model):
//
//   entry host               scheduler of the cell
//       GrantRequest    ->
//                       <-     Grant or Refusal
//       Progress        ->                          (first tokens)
//       Release         ->
//
//       RenewGrants     ->                          (all grants of the host)
//                       <-     RegisterRequest      (unknown attempts)
//       Register        ->                          (and requests sent again)
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

/// Requests engines for one attempt. Idempotent.
struct GrantRequest {
  static constexpr std::uint16_t WireType = 301;
  AttemptId Attempt;
  AccountId Account;
  ServiceId Service;
  ModelName Model;
  std::uint64_t PromptTokens = 0; // Estimated prompt tokens.
  std::uint64_t OutputTokens = 0; // Most tokens that the attempt may generate.
  // Weight of the client account in fair queueing (paid priority).
  std::uint32_t Weight = 1;
  Duration TimeLeft = Duration::zero(); // Time until the caller's deadline.
  std::vector<std::uint64_t> Prefixes;  // Prefix hashes, shortest prefix first.
  // Engines that failed earlier attempts of this request.
  std::vector<BackendId> Avoid;
  CellId Cell{};                      // Cell that the request is sent to.
  Duration Waited = Duration::zero(); // Time since the request was started.

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
  std::uint64_t Tokens = 0; // Memory that the grant reserves at the engine.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Backend, M.Address, M.Tokens);
  }
};

/// Permits one attempt to run on engines. Several engines form a group led by
/// the first one.
struct Grant {
  static constexpr std::uint16_t WireType = 302;
  AttemptId Attempt;
  std::uint64_t Epoch = 0; // Number of the scheduler's lease on the cell.
  // The grant ends after this time unless renewed.
  Duration Lease = Duration::zero();
  std::vector<GrantedEngine> Engines;
  CellId Cell{};
  // Passed to the engine; higher values are prefilled first.
  std::uint32_t Priority = 1;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Epoch, M.Lease, M.Engines, M.Cell, M.Priority);
  }
};

/// The scheduler refuses the request; no part of it ran.
struct Refusal {
  static constexpr std::uint16_t WireType = 303;
  AttemptId Attempt;
  Code Reason = Code::NoBackend;
  Duration RetryAfter = Duration::zero(); // Forecast from the queue.
  CellId Cell{};
  std::uint64_t Epoch = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Reason, M.RetryAfter, M.Cell, M.Epoch);
  }
};

/// Outcome of an attempt at its engine.
enum class AttemptEnd : std::uint8_t {
  Finished,  // The answer is complete.
  Cancelled, // The engine confirmed that it has freed the attempt's memory.
  Failed,    // The attempt failed; the engine may still hold memory for it.
  Unused,    // The attempt never reached the engine.
};

/// Returns a grant that the entry host no longer uses.
struct Release {
  static constexpr std::uint16_t WireType = 304;
  AttemptId Attempt;
  AttemptEnd End = AttemptEnd::Finished;
  // Prompt tokens as counted by the engine; 0: unknown.
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0; // Prompt tokens found in the prefix cache.
  std::uint64_t OutputTokens = 0;
  // Time from send to the first token; 0: no token came.
  Duration FirstToken = Duration::zero();
  // Time from send to the end of the attempt.
  Duration Total = Duration::zero();
  CellId Cell{};

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.End, M.PromptTokens, M.CachedTokens, M.OutputTokens,
          M.FirstToken, M.Total, M.Cell);
  }
};

/// Withdraws a request or grant that the entry host no longer needs.
struct Withdraw {
  static constexpr std::uint16_t WireType = 305;
  AttemptId Attempt;
  CellId Cell{};

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Cell);
  }
};

/// Attempt id without the upper half of the request id, which all requests of
/// an entry host share.
struct LocalAttempt {
  std::uint64_t Lo = 0;     // RequestId::Lo
  std::uint32_t Number = 0; // AttemptId::Number

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Lo, M.Number);
  }
};

/// Progress of one attempt.
struct AttemptProgress {
  LocalAttempt Attempt;
  // Prompt tokens prefilled so far, as reported by the engine.
  std::uint32_t PrefillTokens = 0;
  // Tokens generated since the start of the attempt.
  std::uint32_t OutputTokens = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.PrefillTokens, M.OutputTokens);
  }
};

/// Lists all grants and queued requests of an entry host in one cell, with the
/// progress of each grant. A grant that is not listed ends with its lease.
struct RenewGrants {
  static constexpr std::uint16_t WireType = 306;
  CellId Cell{};
  IncarnationNumber Incarnation = 0; // Incarnation of the entry host.
  std::uint64_t Hi = 0;              // RequestId::Hi of every attempt below.
  std::vector<AttemptProgress> Grants;
  std::vector<LocalAttempt> Waiting;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Cell, M.Incarnation, M.Hi, M.Grants, M.Waiting);
  }
};

/// Progress that is reported before the next renewal: the first token of a long
/// prompt. May be lost without harm, since figures are totals.
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

/// A grant as registered by the entry host that holds it.
struct HeldGrant {
  AttemptId Attempt;
  AccountId Account;
  ModelName Model;
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0; // Most tokens that the attempt may generate.
  // Tokens generated so far; 0: no first token yet.
  std::uint64_t Generated = 0;
  std::uint32_t Weight = 1;
  Duration TimeLeft = Duration::zero();
  std::vector<GrantedEngine> Engines;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Account, M.Model, M.PromptTokens, M.OutputTokens,
          M.Generated, M.Weight, M.TimeLeft, M.Engines);
  }
};

/// Registers grants that the scheduler does not know: grants of an earlier
/// lease holder, and grants that the entry host made itself while there was no
/// holder. Idempotent.
struct Register {
  static constexpr std::uint16_t WireType = 308;
  CellId Cell{};
  IncarnationNumber Incarnation = 0; // Incarnation of the entry host.
  std::vector<HeldGrant> Grants;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Cell, M.Incarnation, M.Grants);
  }
};

/// Names attempts that the scheduler does not know. The entry host registers
/// the grants among them and resends the requests.
struct RegisterRequest {
  static constexpr std::uint16_t WireType = 309;
  CellId Cell{};
  std::uint64_t Epoch = 0;
  std::uint64_t Hi = 0; // RequestId::Hi of every attempt below.
  // Empty: all attempts of the host in the cell.
  std::vector<LocalAttempt> Attempts;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Cell, M.Epoch, M.Hi, M.Attempts);
  }
};

using ScheduleMessages =
    MessageList<GrantRequest, Grant, Refusal, Release, Withdraw, RenewGrants,
                Progress, Register, RegisterRequest>;

} // namespace pimento
