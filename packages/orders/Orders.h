//===- Orders.h - The issuing side of orders --------------------*- C++ -*-===//
//
// The leader of the control group, and nobody else, brings engines to their
// targets. For each step it puts one order into the replicated book, sends it
// once that is committed, follows it until its end is known, and puts the end
// into the book.
//
//   startIssuing(I, Term, Book, Now);   // Leads, holds the lease, applied all.
//   tickOrders(I, In, Now, Out);        // Every OrderTickInterval or so.
//   ... propose Out.Proposals, carry out Out.Calls and Out.Aborts
//   onCommitted(I, Ticket, Outcome, Now);
//   onOrderReply(I, Call, Reply, Now) / onOrderCallFailed(I, Call, Why, Now);
//   stopIssuing(I, Out);                // As soon as the lease is lost.
//
// What a caller must get right
// * A call is sent only while its SendBy has not passed, by the clock at that
//   moment: SendBy is within the lease of this term.
// * Leases of different terms never overlap. Then whatever a predecessor sent
//   left its host before startIssuing().
//
// How an order ends
// * Done: its state, read back, shows the effect.
// * An engine that checks numbers must have seen the order's number. Whatever
//   was sent before it is refused from then on.
// * Elsewhere it is closed only once every send was answered, or once
// MaxDeliveryTime
//   has passed since the last one that was not: until then it may still arrive.
// * At an engine that ignores numbers nothing is sent while an earlier send may
//   still arrive; then the state is read back, and only then follows an order.
// * A load that is not done within LoadLimit, or that plans have left behind,
//   is undone by an unload with a higher number. An unload that would take the
//   last copy is given up; where it may have been sent, an order that changes
//   nothing raises the number. Other orders are given up after OrderLimit.
//
// Index
//   OrderConfig, OrderInput, OrderEffects, OrderIssuer
//   startIssuing() ... as above
//   nextOrder()        the next step of one engine towards its target
//   orderFigures()     what a status page shows
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Decision.h"
#include "base/Http.h"
#include "base/Time.h"
#include "engine/Adapter.h"
#include "engine/Replies.h"
#include "orders/Book.h"
#include "orders/Planner.h"
#include "wire/MembershipMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimento {

constexpr Duration OrderTickInterval = milliseconds(100);

struct OrderConfig {
  std::uint32_t Loads = 4; // Under way at once in the whole site.
  Duration MaxDeliveryTime =
      seconds(5);                 // A sent order arrives within it, or never.
  Duration CallTime = seconds(2); // For the answer to one call.
  Duration SendTime = milliseconds(500); // Leave to send; also the lease's end.
  Duration PollInterval = milliseconds(500); // Of an order that is under way.
  Duration LoadLimit = minutes(10);  // For one load, and for undoing it.
  Duration OrderLimit = seconds(30); // For any other order.
  Duration PlanInterval = milliseconds(500); // Between two plans.
  Duration Settle = seconds(5); // The registry shows an order's effect by then.
  Duration Hold = minutes(2);   // See Planner.h.
  Duration BackoffBase = seconds(1);     // After an order that was not done.
  Duration BackoffLimit = minutes(5);    // It doubles up to here.
  Duration ForgetTime = hours(24);       // A gone engine's entry is kept.
  std::uint64_t ClockDriftPerMille = 10; // How far two clocks' rates differ.
};

/// What the issuer sees at one moment.
struct OrderInput {
  const OrderBook &Book;
  const WantedModels &Wanted;
  const std::vector<const BackendRecord *> &Engines; // Sorted by id; not gone.
  const std::set<BackendId> &Ignores; // Documents say: ignores numbers.
  const std::map<ModelName, ModelDemand> &Demand;
  std::uint64_t Revision = 0;       // Of the documents.
  Duration Wall = Duration::zero(); // Since 1970.
  TimePoint LeaseEnd;
  bool MayPlan = true; // The documents are current; else open orders only.
};

struct OrderProposal {
  std::uint64_t Ticket = 0;
  OrderCommand Command;
};

struct OrderCall {
  std::uint64_t Call = 0; // Unique in the process.
  BackendId Backend;
  std::uint64_t Fence = 0; // Of an order; zero: the state is read.
  UpstreamRequest Request;
  TimePoint SendBy;
};

struct OrderEffects {
  std::vector<OrderProposal> Proposals;
  std::vector<OrderCall> Calls;
  std::vector<std::uint64_t> Aborts; // Calls.
  std::vector<DecisionRecord> Decisions;
  std::vector<MetricSample> Samples;
};

/// A call that was not answered yet.
struct PendingCall {
  std::uint64_t Call = 0; // Zero: none.
  bool Order = false;     // Else the state is read.
  TimePoint Until;        // Broken off then.
};

/// What this term's issuer knows of one engine, besides the book.
struct EngineIssuerState {
  std::uint64_t Ticket = 0; // Of the command in flight; zero: none.
  PendingCall Pending;
  TimePoint
      LateArrivalUntil; // A send that was not answered may arrive until then.
  TimePoint NextStep;   // Nothing is sent before.
  TimePoint Limit;      // The open order is to be done by then.
  std::uint64_t Following = 0; // Fence of the open order; zero: none.
  TimePoint AwaySince = TimePoint::max(); // Not in the registry since then.
  bool MustReadState = false;             // Before anything else is sent.
  bool Answered = false;   // It took the open order, whatever came of it.
  bool MayBeSent = false;  // The open order may have been sent.
  bool Refused = false;    // The last send heard of a higher number.
  std::uint64_t Floor = 0; // Highest number that it named.
  std::optional<EngineState> State; // As read last, after the last send.
  std::uint32_t Failures = 0;       // Orders not done, in a row.
  TimePoint NotBefore;              // No new order before.
};

struct OrderIssuer {
  OrderConfig Config;
  std::uint64_t Term = 0; // Zero: not issuing.
  PlannerState Planner;
  std::map<BackendId, EngineIssuerState> Engines;
  std::map<std::uint64_t, BackendId> Calls;   // Pending ones.
  std::map<std::uint64_t, BackendId> Tickets; // In flight.
  std::set<std::uint64_t> LoadTickets;        // Those that begin a load.
  std::uint64_t NextCall = 1;
  std::uint64_t NextTicket = 1;
  TimePoint NextPlan;
};

/// This host issues orders from now on; every predecessor's lease is over.
void startIssuing(OrderIssuer &I, std::uint64_t Term, const OrderBook &Book,
                  TimePoint Now);
/// Breaks all calls off and forgets what is in flight.
void stopIssuing(OrderIssuer &I, OrderEffects &Out);

void tickOrders(OrderIssuer &I, const OrderInput &In, TimePoint Now,
                OrderEffects &Out);

/// A proposal was applied.
void onCommitted(OrderIssuer &I, std::uint64_t Ticket,
                 const OrderOutcome &Outcome, TimePoint Now);
/// A proposal was not taken.
void onNotProposed(OrderIssuer &I, std::uint64_t Ticket);

/// Calls that are not pending are ignored.
void onOrderReply(OrderIssuer &I, std::uint64_t Call, const HttpReply &Reply,
                  TimePoint Now, OrderEffects &Out);
void onOrderCallFailed(OrderIssuer &I, std::uint64_t Call,
                       const UpstreamFailure &Why, TimePoint Now,
                       OrderEffects &Out);

/// The next order of one engine, where one is due; without its number.
struct NextOrder {
  OrderKind Kind = OrderKind::Load;
  std::string Name;
  std::string Reason;
  std::size_t OtherCopies = 0; // Of Name, at other engines; of an unload.
};
std::optional<NextOrder> nextOrder(const OrderIssuer &I, const OrderInput &In,
                                   const BackendRecord &Engine);

struct OrderFigures {
  std::size_t Open = 0;
  std::uint32_t Loads = 0; // Open, or being undone.
};
OrderFigures orderFigures(const OrderBook &B);

} // namespace pimento
