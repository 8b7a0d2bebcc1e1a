//===- Queue.h - Weighted fair queues of asks -------------------*- C++ -*-===//
//
// Asks wait by class of prompt length. Within a class the client accounts
// share by weight: each account has a virtual time, the cost that it was
// served divided by its weight, and the account with the least goes next.
// Within an account and class asks leave in the order of their arrival.
//
//   FairQueue Q;
//   enqueueRequest(Q, {...});
//   while (const QueuedRequest *Next = nextRequest(Q, LengthClass::Short, Now))
//     ... place it, then chargeAccount() and removeRequest(), or stop
//
// Traps: pointers into the queue die with the next change of it.
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

/// Prompts by length; each class has a queue and a share of the engines.
enum class LengthClass : std::uint8_t { Short, Medium, Long };
constexpr std::size_t LengthClasses = 3;

/// Short prompts first, then long ones: a long prompt holds much memory while
/// it waits at an engine, and medium ones have slack. Aging turns this round.
constexpr std::array<LengthClass, LengthClasses> ServiceOrder = {
    LengthClass::Short, LengthClass::Long, LengthClass::Medium};
constexpr std::size_t serviceRank(LengthClass C) {
  return C == LengthClass::Short ? 0 : C == LengthClass::Long ? 1 : 2;
}
const char *toString(LengthClass C);

/// One ask that waits for engines.
struct QueuedRequest {
  GrantRequest Request;
  HostId Host; // The entry host that asked.
  LengthClass Class = LengthClass::Short;
  double Cost = 0;         // Predicted, in prompt tokens.
  TimePoint Arrived;       // When it was first asked for.
  TimePoint Deadline;      // Of the caller.
  TimePoint LatestStart;   // Granted later it misses its deadline.
  TimePoint Confirmed;     // When its host last named it.
  std::uint64_t Order = 0; // Set by enqueueRequest().
};

/// What one account has waiting in one class.
struct ClassQueue {
  double VirtualTime = 0; // Cost served by weight.
  double WaitingCost = 0; // Predicted, of the asks below.
  std::map<std::pair<TimePoint, std::uint64_t>, AttemptId>
      ByArrival; // By arrival.
};

/// One client account with something waiting or a virtual time to remember.
struct AccountQueue {
  AccountId Account;
  double Weight = 1;
  std::uint32_t Waiting = 0; // Over all classes.
  std::array<ClassQueue, LengthClasses> Classes;
};

struct FairQueue {
  std::vector<AccountQueue> Accounts; // Unused ones have an empty name.
  std::vector<std::uint32_t> Free;    // Unused indices of Accounts.
  std::unordered_map<AccountId, std::uint32_t> ByName;
  std::unordered_map<AttemptId, QueuedRequest> Asks;
  std::uint64_t LastOrder = 0;

  /// One class over all accounts.
  struct ClassOrder {
    std::set<std::pair<double, std::uint32_t>> Ready; // Virtual time, account.
    std::set<std::pair<TimePoint, AttemptId>> Urgent; // When it turns urgent.
    double VirtualNow = 0;  // Where an account that was idle starts.
    double WaitingCost = 0; // Of all accounts.
  };
  std::array<ClassOrder, LengthClasses> Classes;
  std::set<std::pair<TimePoint, AttemptId>> Expiry; // By LatestStart.
};

/// The most that an ask whose slack is half used may go ahead of its account's
/// turn, in prompt tokens by weight. Bounds what tight deadlines can gain.
constexpr double BorrowLimit = 200000;

/// Adds an ask; its account starts at the class's virtual time if idle.
void enqueueRequest(FairQueue &Q, QueuedRequest A);

/// The ask that goes next in \p Class, or null. \p Skip passes over that many
/// accounts in order, for asks that cannot be placed just now.
const QueuedRequest *nextRequest(const FairQueue &Q, LengthClass Class,
                                 TimePoint Now, unsigned Skip = 0);

/// Removes an ask; false where it does not wait. \p Taken may be null.
bool removeRequest(FairQueue &Q, const AttemptId &Id, QueuedRequest *Taken);

/// Adds \p Cost, which may be negative, to what an account was served.
void chargeAccount(FairQueue &Q, const AccountId &Account, double Weight,
                   LengthClass Class, double Cost);

/// The cost that is served before an ask of \p Cost by \p Account would be, if
/// it were pushed now. Exact up to 128 accounts, an upper bound beyond.
double costAhead(const FairQueue &Q, const AccountId &Account, double Weight,
                 LengthClass Class, double Cost);

/// Asks waiting, of one account or of all.
std::size_t waitingCount(const FairQueue &Q, const AccountId &Account);
inline std::size_t waitingCount(const FairQueue &Q) { return Q.Asks.size(); }

/// Forgets accounts with nothing waiting whose virtual time is past.
void forgetIdleAccounts(FairQueue &Q);

} // namespace pimento
