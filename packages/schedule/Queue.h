//===- Queue.h - Weighted fair queue of grant requests ----------*- C++ -*-===//
//
// Grant requests are queued by class of prompt length. Within a class, client
// accounts share capacity by weight: each account has a virtual time, which is
// the cost that it was served divided by its weight, and the account with the
// lowest one is served next. Requests of one account and class are served in
// the order of their arrival.
//
//   FairQueue Q;
//   enqueueRequest(Q, {...});
//   while (const QueuedRequest *Next =
//              nextRequest(Q, LengthClass::Short, Now))
//     ... place it, then chargeAccount() and removeRequest(), or stop
//
// Any change of the queue invalidates pointers into it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/ScheduleMessages.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimento {

/// Class of a prompt by its length. Each class has its own queue and share of
/// the engines.
enum class LengthClass : std::uint8_t { Short, Medium, Long };
constexpr std::size_t LengthClasses = 3;

/// Order of service. Short prompts come first; long prompts precede medium ones
/// because they hold much memory while they wait at an engine, and medium
/// prompts have slack. A request that has used half of its slack is served
/// earlier; see BorrowLimit.
constexpr std::array<LengthClass, LengthClasses> ServiceOrder = {
    LengthClass::Short, LengthClass::Long, LengthClass::Medium};
constexpr std::size_t serviceRank(LengthClass C) {
  return C == LengthClass::Short ? 0 : C == LengthClass::Long ? 1 : 2;
}
const char *toString(LengthClass C);

/// A grant request that waits for engines.
struct QueuedRequest {
  GrantRequest Request;
  HostId Host; // Entry host that sent the request.
  LengthClass Class = LengthClass::Short;
  double Cost = 0;       // Predicted cost, in prompt tokens.
  TimePoint Arrived;     // When the entry host first requested engines.
  TimePoint Deadline;    // Deadline of the caller.
  TimePoint LatestStart; // A grant after this time would miss the deadline.
  // When the entry host last confirmed that the request still waits.
  TimePoint Confirmed;
  std::uint64_t Order = 0; // Sequence number, set by enqueueRequest().
};

/// Queued requests of one account in one class.
struct ClassQueue {
  double VirtualTime = 0; // Cost served, divided by the account's weight.
  double WaitingCost = 0; // Predicted cost of the requests below.
  // By arrival and sequence number.
  std::map<std::pair<TimePoint, std::uint64_t>, AttemptId> ByArrival;
};

/// A client account with queued requests or a virtual time that must be kept.
struct AccountQueue {
  AccountId Account;
  double Weight = 1;
  std::uint32_t Waiting = 0; // Queued requests over all classes.
  std::array<ClassQueue, LengthClasses> Classes;
};

struct FairQueue {
  std::vector<AccountQueue> Accounts; // Unused elements have an empty name.
  std::vector<std::uint32_t> Free;    // Unused indices into Accounts.
  std::unordered_map<AccountId, std::uint32_t> ByName;
  std::unordered_map<AttemptId, QueuedRequest> Asks;
  std::uint64_t LastOrder = 0;

  /// One class, over all accounts.
  struct ClassOrder {
    // By virtual time, then account index.
    std::set<std::pair<double, std::uint32_t>> Ready;
    // By the time at which half of the slack is used.
    std::set<std::pair<TimePoint, AttemptId>> Urgent;
    double VirtualNow = 0; // Virtual time at which an idle account starts.
    // Predicted cost of the queued requests of all accounts.
    double WaitingCost = 0;
  };
  std::array<ClassOrder, LengthClasses> Classes;
  // By QueuedRequest::LatestStart.
  std::set<std::pair<TimePoint, AttemptId>> Expiry;
};

/// How far an account may be ahead of the least served one when a request whose
/// slack is half used is served early, in prompt tokens divided by weight.
/// Bounds what an account can gain by tight deadlines. Short requests get a
/// quarter of this limit, long ones ten times as much.
constexpr double BorrowLimit = 200000;

/// Adds a request. An idle account starts at the class's virtual time, so that
/// idle time earns no credit.
void enqueueRequest(FairQueue &Q, QueuedRequest A);

/// Returns the request to serve next in \p Class, or null. \p Skip passes over
/// that many accounts whose requests cannot be placed now. The pointer is valid
/// until the queue changes.
const QueuedRequest *nextRequest(const FairQueue &Q, LengthClass Class,
                                 TimePoint Now, unsigned Skip = 0);

/// Removes a request and moves it to \p Taken, which may be null. Returns false
/// if the request is not queued.
bool removeRequest(FairQueue &Q, const AttemptId &Id, QueuedRequest *Taken);

/// Adds \p Cost to the cost that an account was served. A negative cost
/// corrects an earlier charge.
void chargeAccount(FairQueue &Q, const AccountId &Account, double Weight,
                   LengthClass Class, double Cost);

/// Returns the cost that would be served before a request of \p Cost by \p
/// Account if it were queued now. Computed account by account up to 128
/// accounts, an upper bound beyond.
double costAhead(const FairQueue &Q, const AccountId &Account, double Weight,
                 LengthClass Class, double Cost);

/// Returns the number of queued requests, of one account or of all.
std::size_t waitingCount(const FairQueue &Q, const AccountId &Account);
inline std::size_t waitingCount(const FairQueue &Q) { return Q.Asks.size(); }

/// Removes idle accounts whose virtual time has been passed in every class. If
/// too many accounts are kept, removes all idle ones.
void forgetIdleAccounts(FairQueue &Q);

} // namespace pimento
