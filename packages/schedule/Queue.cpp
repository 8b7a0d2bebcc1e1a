#include "schedule/Queue.h"

#include <algorithm>
#include <cmath>

namespace pimento {

namespace {

/// Most accounts that a forecast computes one by one.
constexpr std::size_t ExactAccounts = 128;
/// Most urgent requests examined for one choice.
constexpr unsigned MaxUrgentExamined = 8;
/// Above this number of accounts all idle ones are removed, whatever their
/// virtual time.
constexpr std::size_t MaxIdleAccounts = 8192;

constexpr std::size_t index(LengthClass C) {
  return static_cast<std::size_t>(C);
}

double scaledBorrowLimit(LengthClass C) {
  constexpr std::array<double, LengthClasses> Scale = {0.25, 1, 10};
  return BorrowLimit * Scale[index(C)];
}

TimePoint urgentAt(const QueuedRequest &A) {
  return A.Arrived + (A.LatestStart - A.Arrived) / 2;
}

std::uint32_t accountIndex(FairQueue &Q, const AccountId &Account) {
  auto [Found, New] = Q.ByName.try_emplace(Account, 0);
  if (!New)
    return Found->second;
  if (Q.Free.empty()) {
    Found->second = static_cast<std::uint32_t>(Q.Accounts.size());
    Q.Accounts.emplace_back();
  } else {
    Found->second = Q.Free.back();
    Q.Free.pop_back();
  }
  Q.Accounts[Found->second] = {};
  Q.Accounts[Found->second].Account = Account;
  return Found->second;
}

double startTime(const FairQueue::ClassOrder &Order) {
  if (Order.Ready.empty())
    return Order.VirtualNow;
  return std::max(Order.VirtualNow, Order.Ready.begin()->first);
}

const QueuedRequest *headOf(const FairQueue &Q, std::uint32_t Account,
                            LengthClass Class) {
  const auto &ByArrival = Q.Accounts[Account].Classes[index(Class)].ByArrival;
  return &Q.Asks.at(ByArrival.begin()->second);
}

} // namespace

const char *toString(LengthClass C) {
  switch (C) {
  case LengthClass::Short:
    return "short";
  case LengthClass::Medium:
    return "medium";
  case LengthClass::Long:
    return "long";
  }
  return "short";
}

void enqueueRequest(FairQueue &Q, QueuedRequest A) {
  const AttemptId Id = A.Request.Attempt;
  const std::size_t C = index(A.Class);
  FairQueue::ClassOrder &Order = Q.Classes[C];
  const std::uint32_t Account = accountIndex(Q, A.Request.Account);
  AccountQueue &Owner = Q.Accounts[Account];
  ClassQueue &Queue = Owner.Classes[C];
  Owner.Weight = std::max<double>(1, A.Request.Weight);
  if (Queue.ByArrival.empty()) {
    Queue.VirtualTime = std::max(Queue.VirtualTime, startTime(Order));
    Order.Ready.emplace(Queue.VirtualTime, Account);
  }
  A.Order = ++Q.LastOrder;
  Queue.ByArrival.emplace(std::pair(A.Arrived, A.Order), Id);
  Queue.WaitingCost += A.Cost;
  Order.WaitingCost += A.Cost;
  ++Owner.Waiting;
  Order.Urgent.emplace(urgentAt(A), Id);
  Q.Expiry.emplace(A.LatestStart, Id);
  Q.Asks.emplace(Id, std::move(A));
}

const QueuedRequest *nextRequest(const FairQueue &Q, LengthClass Class,
                                 TimePoint Now, unsigned Skip) {
  const FairQueue::ClassOrder &Order = Q.Classes[index(Class)];
  if (Order.Ready.empty())
    return nullptr;
  const double Least = Order.Ready.begin()->first;
  std::uint32_t UrgentAccount = ~0U;
  unsigned Looked = 0;
  for (const auto &[Since, Id] : Order.Urgent) {
    if (Since > Now || ++Looked > MaxUrgentExamined)
      break;
    const std::uint32_t Account = Q.ByName.at(Q.Asks.at(Id).Request.Account);
    const double Time = Q.Accounts[Account].Classes[index(Class)].VirtualTime;
    if (Time - Least > scaledBorrowLimit(Class))
      continue;
    UrgentAccount = Account;
    break;
  }
  if (UrgentAccount != ~0U) {
    if (Skip == 0)
      return headOf(Q, UrgentAccount, Class);
    --Skip;
  }
  for (const auto &[Time, Account] : Order.Ready) {
    if (Account == UrgentAccount)
      continue;
    if (Skip == 0)
      return headOf(Q, Account, Class);
    --Skip;
  }
  return nullptr;
}

bool removeRequest(FairQueue &Q, const AttemptId &Id, QueuedRequest *Taken) {
  auto Found = Q.Asks.find(Id);
  if (Found == Q.Asks.end())
    return false;
  QueuedRequest &A = Found->second;
  const std::size_t C = index(A.Class);
  FairQueue::ClassOrder &Order = Q.Classes[C];
  const std::uint32_t Account = Q.ByName.at(A.Request.Account);
  AccountQueue &Owner = Q.Accounts[Account];
  ClassQueue &Queue = Owner.Classes[C];
  Queue.ByArrival.erase({A.Arrived, A.Order});
  Queue.WaitingCost = Queue.ByArrival.empty() ? 0 : Queue.WaitingCost - A.Cost;
  --Owner.Waiting;
  if (Queue.ByArrival.empty())
    Order.Ready.erase({Queue.VirtualTime, Account});
  Order.WaitingCost = Order.Ready.empty() ? 0 : Order.WaitingCost - A.Cost;
  Order.Urgent.erase({urgentAt(A), Id});
  Q.Expiry.erase({A.LatestStart, Id});
  if (Taken)
    *Taken = std::move(A);
  Q.Asks.erase(Found);
  return true;
}

void chargeAccount(FairQueue &Q, const AccountId &Account, double Weight,
                   LengthClass Class, double Cost) {
  const std::size_t C = index(Class);
  FairQueue::ClassOrder &Order = Q.Classes[C];
  const std::uint32_t Index = accountIndex(Q, Account);
  ClassQueue &Queue = Q.Accounts[Index].Classes[C];
  if (Queue.ByArrival.empty())
    Queue.VirtualTime = std::max(Queue.VirtualTime, startTime(Order));
  Order.VirtualNow = startTime(Order);
  const double Before = Queue.VirtualTime;
  Queue.VirtualTime = std::max(0.0, Before + Cost / std::max(1.0, Weight));
  if (Queue.ByArrival.empty())
    return;
  Order.Ready.erase({Before, Index});
  Order.Ready.emplace(Queue.VirtualTime, Index);
}

double costAhead(const FairQueue &Q, const AccountId &Account, double Weight,
                 LengthClass Class, double Cost) {
  const std::size_t C = index(Class);
  const FairQueue::ClassOrder &Order = Q.Classes[C];
  if (Order.Ready.size() > ExactAccounts)
    return Order.WaitingCost;
  double AccountCost = 0;
  double Start = startTime(Order);
  auto Found = Q.ByName.find(Account);
  if (Found != Q.ByName.end()) {
    const ClassQueue &Queue = Q.Accounts[Found->second].Classes[C];
    AccountCost = Queue.WaitingCost;
    Start = std::max(Queue.VirtualTime, Queue.ByArrival.empty() ? Start : 0);
  }
  const double Finish = Start + (AccountCost + Cost) / std::max(1.0, Weight);
  double Ahead = AccountCost;
  for (const auto &[Time, Other] : Order.Ready) {
    if (Time >= Finish)
      break;
    const AccountQueue &Owner = Q.Accounts[Other];
    if (Owner.Account == Account)
      continue;
    Ahead +=
        std::min(Owner.Classes[C].WaitingCost, (Finish - Time) * Owner.Weight);
  }
  return Ahead;
}

std::size_t waitingCount(const FairQueue &Q, const AccountId &Account) {
  auto Found = Q.ByName.find(Account);
  return Found == Q.ByName.end() ? 0 : Q.Accounts[Found->second].Waiting;
}

void forgetIdleAccounts(FairQueue &Q) {
  const bool TooMany = Q.ByName.size() > MaxIdleAccounts;
  for (auto It = Q.ByName.begin(); It != Q.ByName.end();) {
    AccountQueue &Owner = Q.Accounts[It->second];
    bool Past = Owner.Waiting == 0;
    for (std::size_t C = 0; C < LengthClasses && Past && !TooMany; ++C)
      Past = Owner.Classes[C].VirtualTime <= Q.Classes[C].VirtualNow;
    if (!Past) {
      ++It;
      continue;
    }
    Owner = {};
    Q.Free.push_back(It->second);
    It = Q.ByName.erase(It);
  }
}

} // namespace pimento
