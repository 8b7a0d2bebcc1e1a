//===- Cells.h - Which host schedules which cell ----------------*- C++ -*-===//
//
// The engines of one model are divided into cells. One host, the holder,
// schedules each cell. The cell table is an entry of the replicated log and is
// disseminated like a service's document, under the reserved name
// CellTableService, so that no host returns to an older table.
//
// A holder acts only while its host may serve (document/Freshness.h). A host
// with an older table may serve for at most one freshness bound after a
// majority of hosts learned of the newer table. To move a cell, the leader
// therefore revokes it in one edit, waits for the bound after that edit is
// accepted, and assigns it in a second edit. The wait is skipped where the old
// holder's process is known to have ended.
//
// Index
//   CellTable             the table; encodeCellTable(), decodeCellTable()
//   cellOfEngine()        the cell of an engine; the same on every host
//   planCells()           the leader's next edit, if one is due
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Decision.h"
#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "schedule/CellMap.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

/// Reserved name of the cell table; no service may use it.
constexpr const char *CellTableService = "~cells";

/// A model gets one cell for each started group of this many engines. Hashing
/// assigns engines to cells, so that a single cell may hold more.
constexpr std::size_t CellEngines = 32;

struct CellAssignment {
  ModelName Model;
  std::uint32_t Index = 0;           // Index of the cell within the model.
  HostId Holder;                     // Empty: not assigned.
  IncarnationNumber Incarnation = 0; // Incarnation of the holder's process.
  std::uint64_t Epoch = 0; // Number of the table that assigned the holder.

  CellId id() const { return cellId(Model, Index); }
};

struct CellTable {
  std::uint64_t Number = 0;          // Number of the edit; zero: no table yet.
  std::vector<CellAssignment> Cells; // Sorted by model, then index.
};

std::string encodeCellTable(const CellTable &T);
/// Fails with BadRequest.
Result<CellTable> decodeCellTable(std::string_view Text);

/// The cells of one model, by index.
std::vector<const CellAssignment *> cellsOf(const CellTable &T,
                                            const ModelName &Model);
/// Null where the table has no such cell.
const CellAssignment *findCell(const CellTable &T, CellId Id);

/// The cell of an engine by rendezvous hashing, so that adding a cell moves
/// only the engines that the new cell gets. Null where the model has no cell.
const CellAssignment *cellOfEngine(const CellTable &T, const ModelName &Model,
                                   const BackendId &Engine);

/// A host as the planner sees it.
struct CandidateHost {
  HostId Host;
  IncarnationNumber Incarnation = 0; // Newest known incarnation.
  bool MayKeepCells = true;          // The host may keep the cells it holds.
  bool MayReceiveCells = true;       // The host may be assigned cells.
};

/// The leader's state between two plans; empty at the start of a term.
struct CellPlanner {
  // Earliest time at which each revoked cell may be assigned again.
  std::map<CellId, TimePoint> FreeAt;
  TimePoint NextBalance;
};

struct CellPlan {
  CellTable Next;
  std::vector<DecisionRecord> Decisions;
};

/// Inputs of one plan.
struct CellPlanInput {
  const CellTable &Table;
  // Number of engines of each model that occurs in a document.
  const std::map<ModelName, std::size_t> &Engines;
  const std::vector<CandidateHost> &Hosts; // Sorted by name.
  bool TableAccepted = false;              // A majority of hosts knows Table.
  Duration Bound = Duration::zero();       // Freshness bound, with clock drift.
};

/// The next table, or nothing where the current one needs no change.
std::optional<CellPlan> planCells(CellPlanner &P, const CellPlanInput &In,
                                  TimePoint Now);

} // namespace pimento
