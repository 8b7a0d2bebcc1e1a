//===- OrderWorld.h - Issuers, engines and a log in virtual time ----------===//
//
// Three hosts share an abstract control log: leases that never overlap, and a
// prefix of what a deposed leader had in flight is committed or lost. Engines
// check or ignore numbers; calls are lost, late, answered or not. step()
// runs one event and then checks every invariant.
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
  double LossShare = 0.05;     // Of requests, and of answers.
  double LateShare = 0.1;      // Of requests.
  double LeaderChanges = 0.02; // A second.
  double Freezes = 0.02;       // A second, of the leader.
  double EngineDeaths = 0.01;  // A second, of one engine.
  double Hangs = 0.05;         // Share of loads that never end.
  double Edits = 0.02;         // A second.
  double Flaps = 0.5;          // Changes of demand a second.
  double SendFreezes = 0.02;   // Share of orders before which the host freezes.
  double Silences = 0.01;      // A second: an engine announces nothing.
};

struct WorldEngine {
  bool Checks = true;
  bool Up = true;
  bool Silent = false; // Announces nothing.
  IncarnationNumber Incarnation = 1;
  std::uint64_t Fence = 0;
  std::set<std::string> Models;
  std::string Loading; // Empty: none.
  bool Hangs = false;
  TimePoint LoadedAt;
  std::string Role = "both";

  // For the invariants.
  std::uint64_t LastEffect = 0;          // Highest fence that took effect.
  std::multiset<std::uint64_t> InFlight; // Fences of orders on their way.
};

struct WorldHost {
  OrderIssuer Issuer;
  OrderBook Book;
  std::size_t Applied = 0;
  std::uint64_t Term = 0; // As it believes; zero: does not lead.
  TimePoint LeaseEnd;
  bool Frozen = false;
  std::vector<std::function<void()>> Held; // Due while frozen.
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
  bool Quiet = false; // No further faults.

  // Counted for the tests.
  std::uint64_t Sent = 0;
  std::uint64_t Fenced = 0;
  std::uint64_t Changes = 0; // Of leaders.
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
  OrderBook ReferenceBook; // The log applied whole.
  std::size_t Leader = 0;
  std::uint64_t Term = 0;
  TimePoint LeaseEnd; // Of the newest leader.
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
  void killEngine(const std::string &Name);
  void silenceEngine(const std::string &Name);
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
