//===- EngineServer.h - Fake model engine over HTTP -------------*- C++ -*-===//
//
// Serves the protocol of docs/ENGINE-PROTOCOL.md from a simulated Engine.
// Failures are set by EngineSwitches, at the start or through POST
// /fake/switches.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "fakes/Announcer.h"
#include "fakes/EngineModel.h"
#include "fakes/EngineOrders.h"
#include "fakes/EngineSwitches.h"

#include <memory>
#include <string>
#include <vector>

namespace pimento::fakes {

struct EngineOptions {
  std::string Id = "engine";
  std::string Listen = "127.0.0.1:0";
  std::string DataCentre = "dc1";
  std::vector<std::string> Models = {"base"};
  EngineConfig Config;
  OrderConfig Orders;
  AnnounceOptions Announce;
  Duration LoadLag = Duration::zero();    // Age of announced load figures.
  Duration CacheDelay = Duration::zero(); // Age of announced cache events.
  double CacheGapShare = 0;               // Share of lost cache events.
  std::uint64_t Seed = 1;                 // For shares and gaps.
  EngineSwitches Switches;
};

struct EngineServer;
struct EngineDeleter {
  void operator()(EngineServer *Server) const;
};
using EnginePtr = std::unique_ptr<EngineServer, EngineDeleter>;

/// Returns null and sets \p Error if it can't listen.
EnginePtr startEngine(event_base *Base, const EngineOptions &Options,
                      std::string &Error);

/// The bound ip:port.
const std::string &address(const EngineServer &Server);
std::uint64_t incarnation(const EngineServer &Server);
/// State of the simulated engine, for tests.
const Engine &model(const EngineServer &Server);

/// Announces the shutdown, refuses new work and stops the loop once all work in
/// progress has finished.
void drain(EngineServer &Server);

} // namespace pimento::fakes
