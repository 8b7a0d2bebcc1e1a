//===- Orders.h - Issuing orders to engines ---------------------*- C++ -*-===//
//
// Only the leader of the control group brings engines to their targets. For
// each step it commits one order to the replicated book (Book.h), sends it to
// the engine, polls the engine until the outcome is known, and commits that.
// Every order has a fencing number; an engine that checks these numbers refuses
// an order whose number is lower than one it has seen.
//
//   startIssuing(I, Term, Book, Now);   // Leader, with lease, log applied.
//   tickOrders(I, In, Now, Out);        // Every OrderTickInterval or so.
//   ... propose Out.Proposals, execute Out.Calls and Out.Aborts
//   onCommitted(I, Ticket, Outcome, Now);
//   onOrderReply(I, Call, Reply, Now, Out);
//   onOrderCallFailed(I, Call, Why, Now, Out);
//   stopIssuing(I, Out);                // As soon as the lease is lost.
//
// Requirements for the caller
// * Send a call only while its SendBy has not passed, by the clock at that
//   moment. SendBy is within the lease of this term.
// * Leases of different terms never overlap. All sends of earlier leaders have
//   therefore left their hosts before startIssuing().
//
// How an order ends
// * Done: the engine's state, read back, shows the effect.
// * An engine that checks fencing numbers must have seen the order's number. It
//   then refuses everything that was sent earlier.
// * At other engines an order is closed only once every send was answered, or
//   MaxDeliveryTime after the last unanswered one, which may arrive until then.
// * An engine that ignores fencing numbers is sent nothing while an earlier
//   send may still arrive. The state is then read back before the next order.
// * A load that is not done within LoadLimit, or that the plan no longer wants,
//   is undone by an unload with a higher number. An unload that would remove
//   the last copy is abandoned; if it may have been sent, an order that changes
//   nothing raises the number. Other orders are abandoned after OrderLimit.
//
// Index
//   OrderConfig, OrderInput, OrderEffects, OrderIssuer
//   startIssuing() ... as above
//   nextOrder()        the next step of one engine towards its target
//   orderFigures()     figures for status pages
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
  std::uint32_t Loads = 4; // Most loads under way in the whole site; bounds the
                           // traffic of the weight store.
  // A sent order arrives within this time or never.
  Duration MaxDeliveryTime = seconds(5);
  Duration CallTime = seconds(2);        // Timeout of one call.
  Duration SendTime = milliseconds(500); // Longest delay before a call is sent;
                                         // the end of the lease also bounds it.
  // Between two state reads for an open order.
  Duration PollInterval = milliseconds(500);
  Duration LoadLimit = minutes(10);  // Timeout of a load, and of undoing it.
  Duration OrderLimit = seconds(30); // Timeout of any other order.
  Duration PlanInterval = milliseconds(500); // Between two runs of the planner.
  // Time after which the registry shows an order's effect.
  Duration Settle = seconds(5);
  Duration Hold = minutes(2); // Hysteresis window of targets; see Planner.h.
  // Delay after an order that did not succeed.
  Duration BackoffBase = seconds(1);
  Duration BackoffLimit = minutes(5); // Upper bound of the doubled delay.
  // How long the entry of a departed engine is kept.
  Duration ForgetTime = hours(24);
  // Most that the rates of two clocks differ.
  std::uint64_t ClockDriftPerMille = 10;
};

/// The issuer's view of the system at one moment.
struct OrderInput {
  const OrderBook &Book;
  const WantedModels &Wanted;
  // Present engines, sorted by id.
  const std::vector<const BackendRecord *> &Engines;
  // Engines that ignore fencing numbers according to documents.
  const std::set<BackendId> &Ignores;
  const std::map<ModelName, ModelDemand> &Demand;
  std::uint64_t Revision = 0;       // Revision of the documents.
  Duration Wall = Duration::zero(); // Wall clock, since 1970.
  TimePoint LeaseEnd;
  bool MayPlan = true; // True if the documents are current. Otherwise only open
                       // orders are continued.
};

struct OrderProposal {
  std::uint64_t Ticket = 0;
  OrderCommand Command;
};

struct OrderCall {
  std::uint64_t Call = 0; // Identifies the call; unique in the process.
  BackendId Backend;
  // Fencing number of the order to send; zero: the call reads the state.
  std::uint64_t Fence = 0;
  UpstreamRequest Request;
  TimePoint SendBy;
};

struct OrderEffects {
  std::vector<OrderProposal> Proposals;
  std::vector<OrderCall> Calls;
  std::vector<std::uint64_t> Aborts; // Calls to abort.
  std::vector<DecisionRecord> Decisions;
  std::vector<MetricSample> Samples;
};

/// A call that has not been answered yet.
struct PendingCall {
  std::uint64_t Call = 0; // Id of the call; zero: none.
  // True: the call sends an order; false: it reads the state.
  bool Order = false;
  TimePoint Until; // Timeout; the call is aborted then.
};

/// State of one engine in this term's issuer, in addition to the book.
struct EngineIssuerState {
  std::uint64_t Ticket = 0; // Ticket of the command in flight; zero: none.
  PendingCall Pending;
  TimePoint LateArrivalUntil;  // An unanswered send may arrive until then.
  TimePoint NextStep;          // Earliest time of the next send.
  TimePoint Limit;             // Deadline of the open order.
  std::uint64_t OpenFence = 0; // Fencing number of the open order; zero: none.
  TimePoint AwaySince = TimePoint::max(); // When the engine disappeared from
                                          // the registry; max: present.
  // The state must be read before anything else is sent.
  bool MustReadState = false;
  // The engine accepted the open order, whatever its outcome.
  bool Answered = false;
  bool MayBeSent = false; // The open order may have been sent already.
  // The last send was refused because of a higher fencing number.
  bool Refused = false;
  std::uint64_t Floor = 0; // Highest fencing number reported by the engine.
  // State read after the last send; empty: none.
  std::optional<EngineState> State;
  std::uint32_t Failures = 0; // Consecutive orders that did not succeed.
  TimePoint NotBefore;        // Earliest time of the next new order.
};

struct OrderIssuer {
  OrderConfig Config;
  std::uint64_t Term = 0; // Term of the leader; zero: not issuing.
  PlannerState Planner;
  std::map<BackendId, EngineIssuerState> Engines;
  std::map<std::uint64_t, BackendId> Calls; // Engine of each pending call.
  // Engine of each command in flight.
  std::map<std::uint64_t, BackendId> Tickets;
  std::set<std::uint64_t> LoadTickets; // Commands in flight that begin a load.
  std::uint64_t NextCall = 1;
  std::uint64_t NextTicket = 1;
  TimePoint NextPlan;
};

/// Starts issuing orders in \p Term. The leases of all earlier leaders must
/// have ended.
void startIssuing(OrderIssuer &I, std::uint64_t Term, const OrderBook &Book,
                  TimePoint Now);
/// Stops issuing: aborts all calls and drops all commands in flight.
void stopIssuing(OrderIssuer &I, OrderEffects &Out);

void tickOrders(OrderIssuer &I, const OrderInput &In, TimePoint Now,
                OrderEffects &Out);

/// Reports that a proposal was applied to the book.
void onCommitted(OrderIssuer &I, std::uint64_t Ticket,
                 const OrderOutcome &Outcome, TimePoint Now);
/// Reports that a proposal was not accepted by the log.
void onNotProposed(OrderIssuer &I, std::uint64_t Ticket);

/// Report the result of a call. Calls that are not pending are ignored.
void onOrderReply(OrderIssuer &I, std::uint64_t Call, const HttpReply &Reply,
                  TimePoint Now, OrderEffects &Out);
void onOrderCallFailed(OrderIssuer &I, std::uint64_t Call,
                       const UpstreamFailure &Why, TimePoint Now,
                       OrderEffects &Out);

/// The next order of one engine, before a fencing number is assigned.
struct NextOrder {
  OrderKind Kind = OrderKind::Load;
  std::string Name;
  std::string Reason;
  // For an unload: copies of Name at other engines.
  std::size_t OtherCopies = 0;
};
std::optional<NextOrder> nextOrder(const OrderIssuer &I, const OrderInput &In,
                                   const BackendRecord &Engine);

struct OrderFigures {
  std::size_t Open = 0;
  std::uint32_t Loads = 0; // Loads that are open or being undone.
};
OrderFigures orderFigures(const OrderBook &B);

} // namespace pimento
