//===- EngineServer.h - A model engine over HTTP ----------------*- C++ -*-===//
//
// Speaks docs/ENGINE-PROTOCOL.md over an Engine. Failures are set by
// EngineSwitches, at the start or through POST /fake/switches.
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
  double CacheGapShare = 0;               // Of announcements, events lost.
  std::uint64_t Seed = 1;                 // Of shares and gaps.
  EngineSwitches Switches;
};

struct EngineServer;
struct EngineDeleter {
  void operator()(EngineServer *Server) const;
};
using EnginePtr = std::unique_ptr<EngineServer, EngineDeleter>;

/// Null, and a reason in \p Error, where it can't listen.
EnginePtr startEngine(event_base *Base, const EngineOptions &Options,
                      std::string &Error);

/// ip:port as bound.
const std::string &address(const EngineServer &Server);
std::uint64_t incarnation(const EngineServer &Server);
/// The state, for tests.
const Engine &model(const EngineServer &Server);

/// Announces that it leaves, refuses new work and breaks the loop once what
/// is in progress has finished.
void drain(EngineServer &Server);

} // namespace pimento::fakes
