//===- Cells.h - Which host schedules which cell ----------------*- C++ -*-===//
//
// The engines of one model are cut into cells, and one host schedules each
// cell. The table of cells is an entry of the replicated log and spreads like
// a service's document, under the reserved name CellTableService, so that no
// host goes back to an older one.
//
// A holder acts only while its host may serve (document/Freshness.h), which
// ends at the latest one freshness bound after a majority of hosts learnt of a
// newer table. So the leader takes a cell away in one edit, waits for the
// bound after that edit is accepted, and gives it in a second one. It does not
// wait where the old holder's process is known to have ended or to have let
// go.
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

/// Reserved: no operator's service may have this name.
constexpr const char *CellTableService = "~cells";

/// Engines of one cell; with more of a model, the model gets another cell.
constexpr std::size_t CellEngines = 32;

struct CellAssignment {
  ModelName Model;
  std::uint32_t Index = 0;           // Within the model.
  HostId Holder;                     // Empty: taken away and not given yet.
  IncarnationNumber Incarnation = 0; // Of the holder's process.
  std::uint64_t Epoch = 0;           // Number of the table that gave it.

  CellId id() const { return cellId(Model, Index); }
};

struct CellTable {
  std::uint64_t Number = 0;          // Of the edit; zero: none yet.
  std::vector<CellAssignment> Cells; // By model, then index.
};

std::string encodeCellTable(const CellTable &T);
/// Fails with BadRequest.
Result<CellTable> decodeCellTable(std::string_view Text);

/// The cells of one model, by index.
std::vector<const CellAssignment *> cellsOf(const CellTable &T,
                                            const ModelName &Model);
/// Null where the table has no such cell.
const CellAssignment *findCell(const CellTable &T, CellId Id);

/// The cell of an engine by rendezvous hashing, so that a further cell moves
/// only the engines that it gets. Null where the model has no cell.
const CellAssignment *cellOfEngine(const CellTable &T, const ModelName &Model,
                                   const BackendId &Engine);

/// A host as the planner sees it.
struct CandidateHost {
  HostId Host;
  IncarnationNumber Incarnation = 0; // Newest known.
  bool Holding = true;               // It may keep the cells that it holds.
  bool Taking = true;                // It may be given cells.
};

/// What the leader keeps between two plans; empty at the start of its term.
struct CellPlanner {
  std::map<CellId, TimePoint> FreeAt; // Taken away; may be given from then on.
  TimePoint NextBalance;
};

struct CellPlan {
  CellTable Next;
  std::vector<DecisionRecord> Decisions;
};

/// Inputs of one plan.
struct CellPlanInput {
  const CellTable &Table;
  const std::map<ModelName, std::size_t> &Engines; // By model with a document.
  const std::vector<CandidateHost> &Hosts;         // Sorted by name.
  bool TableAccepted = false;        // A majority of hosts knows Table.
  Duration Bound = Duration::zero(); // See above; drift included.
};

/// The next table, or nothing where the current one will do.
std::optional<CellPlan> planCells(CellPlanner &P, const CellPlanInput &In,
                                  TimePoint Now);

} // namespace pimento
