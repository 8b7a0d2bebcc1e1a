//===- Planner.h - Which engine is to serve which model ---------*- C++ -*-===//
//
// From the documents in force, the registry of engines and the demand that
// cells report to a target for each engine. An engine serves one model, with
// all adapters and versions of it; what it has to load or unload for that is
// the matter of Orders.h.
//
//   std::vector<TargetChange> Changes = planTargets(P, In, Now);
//
// Rules, in this order
//   An engine whose target is not reached yet, and that turned out to hold the
//   only copy of another wanted model, keeps that one.
//   Each model gets the engines that its documents want; where there are too
//   few, each model gets one and the rest are shared out.
//   A model that wants two engines or more has them in two data centres.
//   A model whose requests have been waiting for BacklogTime gets one engine
//   that nobody needs, or one of a model that has had no waiting request and
//   more engines than its documents want.
//
// An engine's target changes at most once in Hold, or once for each edit that
// calls for it. A model gives up no engine that it may not spare. Engines
// above the wanted number stay until another model needs them.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "document/Document.h"
#include "orders/Book.h"
#include "wire/MembershipMessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace pimento {

/// Requests must wait for so long before they move an engine.
constexpr Duration BacklogTime = seconds(10);

/// What all documents together want of one model.
struct WantedModel {
  ModelName Name;
  std::uint32_t Replicas = 0; // The most that a document wants; zero: nowhere.
  std::set<ModelName> Extras; // Adapters and versions.
  std::set<DataCentreId> DataCentres; // Empty: anywhere.
};
using WantedModels = std::map<ModelName, WantedModel>;

WantedModels
wantedModels(const std::map<ServiceId, ServiceDocument> &Documents);

/// The model that offers \p Name as itself, an adapter or a version; null
/// where none does.
const WantedModel *modelOf(const WantedModels &Wanted, const ModelName &Name);

/// What the cells of one model report.
struct ModelDemand {
  std::uint64_t Waiting = 0; // Requests in the queues.
  std::uint64_t Engines = 0; // In the cells.
};

struct PlannerState {
  std::map<ModelName, TimePoint> BacklogSince;   // Requests wait since then.
  std::map<ModelName, TimePoint> NoBacklogSince; // None waits since then.
};

struct PlanInput {
  const WantedModels &Wanted;
  const std::vector<const BackendRecord *> &Engines; // Known and not gone.
  const std::map<ModelName, ModelDemand> &Demand;
  const OrderBook &Book;
  std::uint64_t Revision = 0;       // Of the documents; rises with each edit.
  Duration Wall = Duration::zero(); // Since 1970.
  Duration Hold = minutes(2);       // Hysteresis window.
};

struct TargetChange {
  BackendId Backend;
  ModelName From; // Empty: none.
  ModelName To;
  TargetReason Reason = TargetReason::Document;
};

/// The model that an engine is to serve: its target, else the first wanted one
/// that it offers; empty: none.
ModelName servedModel(const WantedModels &Wanted, const OrderBook &Book,
                      const BackendRecord &Engine);

/// Changes of targets that are due now, one of each engine at most.
std::vector<TargetChange> planTargets(PlannerState &P, const PlanInput &In,
                                      TimePoint Now,
                                      std::vector<DecisionRecord> &Decisions);

} // namespace pimento
