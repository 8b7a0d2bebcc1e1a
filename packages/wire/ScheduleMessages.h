//===- ScheduleMessages.h - Asks and grants ---------------------*- C++ -*-===//
//
//   entry host            scheduler of the cell
//       Ask        ->
//                  <-     Grant or Refusal
//       Progress   ->                          (batched)
//       Release    ->
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

/// Asks for engines for one attempt. Sending it again is harmless.
struct Ask {
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

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Account, M.Service, M.Model, M.PromptTokens,
          M.OutputTokens, M.Weight, M.TimeLeft, M.Prefixes, M.Avoid);
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

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Epoch, M.Lease, M.Engines);
  }
};

/// The scheduler gives the request up; nothing of it ran.
struct Refusal {
  static constexpr std::uint16_t WireType = 303;
  AttemptId Attempt;
  Code Reason = Code::NoBackend;
  Duration RetryAfter = Duration::zero(); // From the queue's forecast.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.Reason, M.RetryAfter);
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

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt, M.End, M.PromptTokens, M.CachedTokens, M.OutputTokens,
          M.FirstToken, M.Total);
  }
};

/// Gives up an ask or grant that the entry host needs no more.
struct Withdraw {
  static constexpr std::uint16_t WireType = 305;
  AttemptId Attempt;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempt);
  }
};

/// Renews every grant that an entry host holds in one cell.
struct RenewGrants {
  static constexpr std::uint16_t WireType = 306;
  std::vector<AttemptId> Attempts;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Attempts);
  }
};

using ScheduleMessages =
    MessageList<Ask, Grant, Refusal, Release, Withdraw, RenewGrants>;

} // namespace pimento
