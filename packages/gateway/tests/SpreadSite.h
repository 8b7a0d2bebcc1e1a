//===- SpreadSite.h - Many entry hosts behind slow links --------*- C++ -*-===//
//
//   SpreadSite Site(Seed, 76);
//   Site.put(8, tableOf(8, 1400));
//   Site.run(seconds(4), [&] { ... });          // The action runs each step.
//   BOOST_TEST(Site.hostsBelow(8) == 0U);
//
// Control hosts and entry hosts in virtual time. A message occupies the link of
// its sender and that of its receiver for as long as its bytes take, and an
// entry host needs time to decode it, so that a copy of a large table is as
// expensive as on a small machine.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "control/tests/ControlSite.h"
#include "gateway/Gateway.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimento::testing {

/// The text of a configuration with many routes. Its fields are in the order in
/// which operators send them.
struct RoutingTable {
  std::uint64_t Number = 0;
  std::size_t Routes = 0;
  std::uint64_t IdleTimeout = 15000;
  std::size_t ChangedRoute = 0; // This route has another time limit.
  std::uint64_t ChangedTimeout = 10000;
};

std::string textOf(const RoutingTable &Table);

struct SpreadEntry {
  Gateway State;
  bool Up = true;
  TimePoint BusyUntil{}; // Time at which it has decoded its last message.
  double Slowness = 1;   // Factor of its processing times.
};

/// A configuration that the operator has sent.
struct SentTable {
  ExchangeId Exchange{};
  HostId To;
  TimePoint SentAt{};
  TimePoint AnsweredAt{}; // The epoch: not answered yet.
  int Status = 0;
  std::size_t BelowAtAnswer = 0; // Reachable entry hosts without it then.
};

class SpreadSite {
public:
  ControlSite Control;
  std::map<HostId, SpreadEntry> Entries;
  std::map<std::uint64_t, SentTable> Sent; // By the configuration's number.
  std::uint64_t BytesToEntries = 0;        // Of all messages of control hosts.
  Duration LongestBacklog = {}; // Longest wait for a control host's link.
  double Loss = 0;              // Share of messages to entry hosts lost.

  SpreadSite(std::uint64_t Seed, std::size_t EntryCount);

  TimePoint now() const { return Control.Net.now(); }
  /// Runs the site; calls \p Action, if set, in each step.
  void run(Duration Time, const std::function<void()> &Action = {});
  /// Runs until \p Done or for \p Limit; returns whether it was done.
  bool runUntil(Duration Limit, const std::function<bool()> &Done);

  /// Sends a configuration to the leader, as an operator would.
  void put(const RoutingTable &Table);
  /// Entry hosts that are up and have an older configuration in force, or none.
  std::size_t hostsBelow(std::uint64_t Number) const;
  /// The configuration in force at a host; zero: none.
  static std::uint64_t inForce(const SpreadEntry &Entry);

  HostId addEntry();
  void kill(const HostId &Name);
  /// Starts a host again, without a configuration.
  void restart(const HostId &Name);

private:
  struct Letter {
    HostId From;
    HostId To;
    IncarnationNumber Incarnation = 0;
    Message Content;
    std::size_t Bytes = 0;
  };

  Random Rng;
  std::uint64_t NextIncarnation = 100;
  std::size_t NextEntry = 1;
  std::map<HostId, TimePoint> UplinkFreeAt;   // Of control hosts.
  std::map<HostId, TimePoint> DownlinkFreeAt; // Of entry hosts.
  std::multimap<TimePoint, Letter> Letters;   // By their time of arrival.

  void sendToEntry(const HostId &From, const SendPeer &Send);
  void event(const HostId &Name, SpreadEntry &Entry, const Event &E);
  void stepLetters();
  void stepEntries();
  void stepOperator();
};

} // namespace pimento::testing
