//===- Planner.h - Chooses the model that each engine serves ----*- C++ -*-===//
//
// Computes a target for each engine from the documents in force, the registry
// of engines and the demand that cells report. An engine serves one model with
// all its adapters and versions. Orders.h brings the engine to its target.
//
//   std::vector<TargetChange> Changes =
//       planTargets(P, In, Now, Decisions);
//
// Rules, in this order
//   An engine that has not reached its target and holds the only copy of
//   another wanted model goes back to that model.
//   Each model gets the engines that its documents want. If there are too few,
//   each model gets one and the rest are distributed.
//   A model that wants two or more engines has them in two data centres.
//   A model that has had more queued requests than engines for BacklogTime
//   gets one more engine: one without a model, or one of a model that has had
//   no queued request for BacklogTime and has more engines than its minimum
//   (the number that its documents want, or fewer in a shortage).
//
// An engine's target changes at most once in Hold, or once for each edit that
// requires it. A model never drops below its own minimum. Engines above the
// wanted number stay until another model needs them.
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

/// How long a backlog must last before an engine is moved, and how long the
/// donor model must have had no queued request.
constexpr Duration BacklogTime = seconds(10);

/// What all documents together want for one model.
struct WantedModel {
  ModelName Name;
  // Largest number that a document wants; zero: unwanted.
  std::uint32_t Replicas = 0;
  std::set<ModelName> Extras;         // Adapters and versions of the model.
  std::set<DataCentreId> DataCentres; // Allowed data centres; empty: all.
};
using WantedModels = std::map<ModelName, WantedModel>;

WantedModels
wantedModels(const std::map<ServiceId, ServiceDocument> &Documents);

/// Returns the model that \p Name names, or of which it is an adapter or
/// version; null if there is none.
const WantedModel *modelOf(const WantedModels &Wanted, const ModelName &Name);

/// Demand reported by all cells of one model.
struct ModelDemand {
  std::uint64_t Waiting = 0; // Queued requests.
  std::uint64_t Engines = 0; // Engines in the cells.
};

struct PlannerState {
  // Start of the current backlog, by model.
  std::map<ModelName, TimePoint> BacklogSince;
  // Start of the time without queued requests, by model.
  std::map<ModelName, TimePoint> NoBacklogSince;
};

struct PlanInput {
  const WantedModels &Wanted;
  const std::vector<const BackendRecord *> &Engines; // Present engines.
  const std::map<ModelName, ModelDemand> &Demand;
  const OrderBook &Book;
  // Revision of the documents; higher after each edit.
  std::uint64_t Revision = 0;
  Duration Wall = Duration::zero(); // Wall clock, since 1970.
  Duration Hold = minutes(2);       // Hysteresis window.
};

struct TargetChange {
  BackendId Backend;
  ModelName From; // Previous model; empty: none.
  ModelName To;
  TargetReason Reason = TargetReason::Document;
};

/// Returns the model that an engine shall serve: its target, or else the first
/// wanted model that it offers; empty if there is none.
ModelName servedModel(const WantedModels &Wanted, const OrderBook &Book,
                      const BackendRecord &Engine);

/// Returns the target changes that are due now, at most one for each engine.
std::vector<TargetChange> planTargets(PlannerState &P, const PlanInput &In,
                                      TimePoint Now,
                                      std::vector<DecisionRecord> &Decisions);

} // namespace pimento
