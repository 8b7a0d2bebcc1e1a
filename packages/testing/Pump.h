//===- Pump.h - Network simulation in virtual time --------------*- C++ -*-===//
//
//   Pump<Node, Message> P(Seed);
//   P.OnMessage = [&](Node &N, const HostId &From, const Message &M,
//                     TimePoint Now) { ... P.send(Self, To, Reply); ... };
//   P.OnTick = [&](Node &N, TimePoint Now) { ... };
//   P.TickInterval = milliseconds(10);
//   P.add(HostId("a"), Node());
//   P.Faults.Loss = 0.1;
//   P.cut(HostId("a"), HostId("b"));           // One direction only.
//   P.runFor(seconds(5));
//
// Runs several nodes (state machines without I/O) that exchange messages over a
// simulated network. Events wait in one queue, ordered by virtual time and then
// by age, and all randomness comes from one seed, so that a run can be repeated
// exactly. Nodes are driven by messages, ticks and their own actions
// (perform()). Events of a frozen node are held until thaw() and then delivered
// at the time of the thaw. A crashed node loses its pending events. Each node
// has its own clock, which may run at another rate; the Now that a handler
// receives is the time of that clock.
//
// AfterStep is called after every step, to check invariants.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace pimento::testing {

/// Faults and delays that the network applies to messages.
struct NetworkFaults {
  double Loss = 0;      // Share of messages that are lost.
  double Duplicate = 0; // Share of messages that arrive twice.
  Duration DelayLow = microseconds(200);
  Duration DelayHigh = microseconds(600);
  double Slow = 0;         // Share of messages that SlowDelay applies to.
  Duration SlowDelay = {}; // Longest additional delay of a slow message.
  bool InOrder = false;    // Keeps the order on each link, as TCP does.
};

template <class Node, class Message> class Pump {
public:
  using MessageHandler = std::function<void(Node &, const HostId &From,
                                            const Message &, TimePoint Now)>;
  using TickHandler = std::function<void(Node &, TimePoint Now)>;
  using Action = std::function<void(Node &, TimePoint Now)>;

  NetworkFaults Faults;
  MessageHandler OnMessage;
  TickHandler OnTick;
  Duration TickInterval = milliseconds(10); // Zero: no ticks.
  std::function<void()> AfterStep;
  std::function<std::size_t(const Message &)> SizeOf; // Used for BytesSent.
  Random Rng;

  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;

  explicit Pump(std::uint64_t Seed) : Rng(Seed) {}

  // Nodes.

  /// Adds a node, or restarts a crashed node with a new state.
  Node &add(const HostId &Name, Node N) {
    Host &H = Hosts[Name];
    H.State = std::move(N);
    H.Up = true;
    H.Frozen = false;
    H.Held.clear();
    ++H.Incarnation;
    if (TickInterval > Duration::zero())
      scheduleTick(Name, H.Incarnation);
    return H.State;
  }

  void crash(const HostId &Name) {
    Host &H = Hosts.at(Name);
    H.Up = false;
    H.Frozen = false;
    H.Held.clear();
    ++H.Incarnation;
  }

  void freeze(const HostId &Name) { Hosts.at(Name).Frozen = true; }

  /// Resumes a frozen node; the held events are delivered at once, in order.
  void thaw(const HostId &Name) {
    Host &H = Hosts.at(Name);
    H.Frozen = false;
    for (Event &Due : H.Held)
      push(Virtual, std::move(Due));
    H.Held.clear();
  }

  bool up(const HostId &Name) const { return Hosts.at(Name).Up; }
  bool frozen(const HostId &Name) const { return Hosts.at(Name).Frozen; }
  bool running(const HostId &Name) const { return up(Name) && !frozen(Name); }
  Node &node(const HostId &Name) { return Hosts.at(Name).State; }
  const Node &node(const HostId &Name) const { return Hosts.at(Name).State; }

  std::vector<HostId> names() const {
    std::vector<HostId> All;
    for (const auto &Entry : Hosts)
      All.push_back(Entry.first);
    return All;
  }

  // Clocks.

  /// Advances the node's clock by \p Offset and lets it run at \p Rate from now
  /// on (1: as fast as virtual time).
  void setClock(const HostId &Name, double Rate, Duration Offset) {
    Host &H = Hosts[Name];
    H.ClockBase = clockOf(H) + Offset;
    H.ClockSince = Virtual;
    H.Rate = Rate;
  }

  TimePoint now() const { return Virtual; }
  TimePoint clock(const HostId &Name) const { return clockOf(Hosts.at(Name)); }

  // Network.

  void cut(const HostId &From, const HostId &To) { Cuts.insert({From, To}); }
  void heal(const HostId &From, const HostId &To) { Cuts.erase({From, To}); }
  void healAll() { Cuts.clear(); }
  bool isCut(const HostId &From, const HostId &To) const {
    return Cuts.count({From, To}) != 0;
  }

  /// Disconnects the node from all others, in both directions.
  void isolate(const HostId &Name) {
    for (const auto &Entry : Hosts) {
      if (Entry.first == Name)
        continue;
      cut(Name, Entry.first);
      cut(Entry.first, Name);
    }
  }

  void send(const HostId &From, const HostId &To, const Message &M) {
    ++MessagesSent;
    if (SizeOf)
      BytesSent += SizeOf(M);
    if (isCut(From, To) || Hosts.count(To) == 0)
      return;
    if (Faults.Loss > 0 && uniform(Rng) < Faults.Loss)
      return;
    deliverLater(From, To, M);
    if (Faults.Duplicate > 0 && uniform(Rng) < Faults.Duplicate)
      deliverLater(From, To, M);
  }

  // Actions.

  /// Runs \p Do at the node after \p Delay of virtual time. A freeze delays the
  /// action until the thaw; a crash discards it.
  void perform(const HostId &Name, Duration Delay, Action Do) {
    Event E;
    E.To = Name;
    E.Incarnation = Hosts.at(Name).Incarnation;
    E.Do = std::move(Do);
    push(Virtual + Delay, std::move(E));
  }

  /// Runs \p Do after \p Delay, regardless of the state of the nodes.
  void at(Duration Delay, const std::function<void()> &Do) {
    Event E;
    E.Global = Do;
    push(Virtual + Delay, std::move(E));
  }

  // Running.

  /// Executes the next event; false if the queue is empty.
  bool step() {
    if (Queue.empty())
      return false;
    auto First = Queue.begin();
    Virtual = First->first.first;
    Event E = std::move(First->second);
    Queue.erase(First);
    run(std::move(E));
    if (AfterStep)
      AfterStep();
    return true;
  }

  void runUntil(TimePoint End) {
    while (!Queue.empty() && Queue.begin()->first.first <= End)
      step();
    Virtual = End;
  }
  void runFor(Duration Time) { runUntil(Virtual + Time); }

  /// Runs until \p Done returns true, at most for \p Limit. Returns whether it
  /// did.
  template <class Condition> bool runUntilDone(Duration Limit, Condition Done) {
    TimePoint End = Virtual + Limit;
    while (!Done()) {
      if (Queue.empty() || Queue.begin()->first.first > End)
        return false;
      step();
    }
    return true;
  }

private:
  struct Event {
    HostId To;
    HostId From; // Sender; empty if the event is not a message.
    std::uint64_t Incarnation = 0;
    Message Content;
    Action Do;
    std::function<void()> Global;
    bool Tick = false;
  };

  struct Host {
    Node State;
    bool Up = false;
    bool Frozen = false;
    std::uint64_t Incarnation = 0;
    double Rate = 1;
    TimePoint ClockBase = TimePoint(hours(1));
    TimePoint ClockSince = TimePoint(hours(1));
    std::vector<Event> Held;
  };

  std::map<HostId, Host> Hosts;
  std::set<std::pair<HostId, HostId>> Cuts;
  std::map<std::pair<HostId, HostId>, TimePoint> LastArrival;
  std::map<std::pair<TimePoint, std::uint64_t>, Event> Queue;
  std::uint64_t NextEvent = 0;
  TimePoint Virtual = TimePoint(hours(1));

  TimePoint clockOf(const Host &H) const {
    double Passed = static_cast<double>((Virtual - H.ClockSince).count());
    return H.ClockBase + Duration(static_cast<std::int64_t>(Passed * H.Rate));
  }

  void push(TimePoint When, Event E) {
    Queue.emplace(std::pair(When, NextEvent++), std::move(E));
  }

  void deliverLater(const HostId &From, const HostId &To, const Message &M) {
    Duration Delay = between(Rng, Faults.DelayLow, Faults.DelayHigh);
    if (Faults.Slow > 0 && uniform(Rng) < Faults.Slow)
      Delay += between(Rng, Duration::zero(), Faults.SlowDelay);
    TimePoint When = Virtual + Delay;
    if (Faults.InOrder) {
      TimePoint &Last = LastArrival[{From, To}];
      When = std::max(When, Last);
      Last = When;
    }
    Event E;
    E.To = To;
    E.From = From;
    E.Content = M;
    push(When, std::move(E));
  }

  void scheduleTick(const HostId &Name, std::uint64_t Incarnation) {
    Event E;
    E.To = Name;
    E.Incarnation = Incarnation;
    E.Tick = true;
    push(Virtual + TickInterval, std::move(E));
  }

  void run(Event E) {
    if (E.Global) {
      E.Global();
      return;
    }
    Host &H = Hosts.at(E.To);
    bool IsMessage = !E.From.empty();
    if (!H.Up || (!IsMessage && E.Incarnation != H.Incarnation))
      return;
    if (IsMessage && isCut(E.From, E.To))
      return;
    if (H.Frozen) {
      H.Held.push_back(std::move(E));
      return;
    }
    TimePoint Now = clockOf(H);
    if (IsMessage) {
      OnMessage(H.State, E.From, E.Content, Now);
    } else if (E.Tick) {
      scheduleTick(E.To, E.Incarnation);
      if (OnTick)
        OnTick(H.State, Now);
    } else {
      E.Do(H.State, Now);
    }
  }
};

} // namespace pimento::testing
