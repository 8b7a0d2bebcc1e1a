//===- OrderWorld.h - Simulation of issuers, engines and the log *- C++ -*-===//
//
// Three hosts share an abstract control log in virtual time. Leases never
// overlap; a random prefix of the commands that a former leader had in flight
// is committed and the rest is lost. Engines check or ignore fencing numbers;
// calls are lost, delayed, answered or not. runFor() checks all invariants
// after every event.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Json.h"
#include "base/Random.h"
#include "orders/Orders.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimento::testing {

struct WorldFaults {
  double LossShare = 0.05;     // Share of lost requests, and of lost answers.
  double LateShare = 0.1;      // Share of delayed requests.
  double LeaderChanges = 0.02; // Changes of leader per second.
  double Freezes = 0.02;       // Freezes of the leader per second.
  double EngineCrashes = 0.01; // Crashes of an engine per second.
  double Hangs = 0.05;         // Share of loads that never finish.
  double Edits = 0.02;         // Edits of documents per second.
  double DemandChanges = 0.5;  // Changes of demand per second.
  // Share of order sends right before which the leader freezes.
  double SendFreezes = 0.02;
  // Engines that stop announcing themselves, per second.
  double AnnouncementStops = 0.01;
};

struct WorldEngine {
  bool Checks = true;
  bool Up = true;
  bool Silent = false; // The engine does not announce itself.
  IncarnationNumber Incarnation = 1;
  std::uint64_t Fence = 0;
  std::set<std::string> Models;
  std::string Loading; // Model being loaded; empty: none.
  bool Hangs = false;
  TimePoint LoadedAt;
  std::string Role = "both";

  // Used to check invariants.
  std::uint64_t LastEffect = 0; // Highest fencing number that took effect.
  std::multiset<std::uint64_t> InFlight; // Fencing numbers of orders in flight.
};

struct WorldHost {
  OrderIssuer Issuer;
  OrderBook Book;
  std::size_t Applied = 0;
  // Term in which the host believes that it leads; zero: none.
  std::uint64_t Term = 0;
  TimePoint LeaseEnd;
  bool Frozen = false;
  // Events that are delayed until the host resumes.
  std::vector<std::function<void()>> Held;
};

class OrderWorld {
public:
  static constexpr std::size_t Engines = 6;
  static constexpr std::size_t Hosts = 3;
  static constexpr Duration Lease = milliseconds(600);

  WorldFaults Faults;
  OrderConfig Config;
  Random Rng;
  TimePoint Now{hours(1)};
  std::vector<std::string> Violations;
  bool Quiet = false; // Injects no further faults.

  // Counters for the tests.
  std::uint64_t Sent = 0;
  std::uint64_t Fenced = 0;
  std::uint64_t Changes = 0; // Number of leader changes.
  std::uint64_t Ended = 0;

  explicit OrderWorld(std::uint64_t Seed) : Rng(Seed) {
    Config.Loads = 2;
    Config.LoadLimit = seconds(30);
    Config.OrderLimit = seconds(15);
    Config.Hold = seconds(60);
    Config.BackoffLimit = seconds(8);
  }

  void start();
  void runFor(Duration Time);
  const OrderBook &book() const { return ReferenceBook; }
  OrderIssuer &issuer() { return HostStates[Leader].Issuer; }
  OrderInput input(WorldHost &H);
  std::map<std::string, WorldEngine> EngineStates;
  WantedModels Wanted;
  std::uint64_t Revision = 1;
  std::map<ModelName, ModelDemand> Demand;
  std::vector<WorldHost> HostStates{Hosts};
  std::map<std::string, BackendRecord> Registry;

private:
  struct InFlightProposal {
    OrderCommand Command;
    std::uint64_t Term = 0;
    std::uint64_t Ticket = 0;
    std::size_t Host = 0;
  };
  struct Committed {
    OrderCommand Command;
    std::uint64_t Term = 0;
    std::uint64_t Ticket = 0;
    std::size_t Host = 0;
  };

  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Queue;
  std::uint64_t NextEvent = 0;
  std::deque<InFlightProposal> InFlightProposals;
  std::vector<Committed> Log;
  OrderBook ReferenceBook; // The book after all committed commands.
  std::size_t Leader = 0;
  std::uint64_t Term = 0;
  TimePoint LeaseEnd; // End of the newest leader's lease.
  std::vector<const BackendRecord *> Records;
  std::set<BackendId> Ignores;
  std::map<std::string, Duration> LastTarget;
  std::vector<TimePoint> EngineLosses;
  TimePoint LastEdit;

  void at(Duration Delay, std::function<void()> Do) {
    Queue.emplace(std::pair(Now + Delay, NextEvent++), std::move(Do));
  }
  bool chance(double Share) { return uniform(Rng) < Share; }
  Duration wall() const { return Now.time_since_epoch() + hours(24 * 365); }
  void inHost(std::size_t Host, std::function<void()> Do) {
    if (HostStates[Host].Frozen)
      HostStates[Host].Held.push_back(std::move(Do));
    else
      Do();
  }

  void tickHost(std::size_t Host);
  void executeEffects(std::size_t Host, OrderEffects Out);
  void deliverCall(std::size_t Host, const OrderCall &Call);
  void failCall(std::size_t Host, std::uint64_t Call, bool Sent);
  void commitOne();
  void catchUp(std::size_t Host);
  void changeLeader();
  void freezeLeader();
  void injectFaults();
  void crashEngine(const std::string &Name);
  void stopAnnouncing(const std::string &Name);
  void edit();
  void announce(const std::string &Name);
  HttpReply answer(const std::string &Name, const OrderCall &Call);
  HttpReply order(const std::string &Name, const Json &Body);
  void effect(const std::string &Name, const Json &Body);
  void finishLoads();
  void check();
  void reportViolation(const std::string &What) {
    Violations.push_back(
        std::to_string(toMilliseconds(Now.time_since_epoch() - hours(1))) +
        "ms: " + What);
  }
};

} // namespace pimento::testing
