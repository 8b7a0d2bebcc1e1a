//===- CellMap.h - Assignment of engines to cells ---------------*- C++ -*-===//
//
// The engines of one model are divided into cells of a bounded size. The
// assignment is stable: a new engine joins the cell with the fewest engines and
// stays there until it leaves, unless its cell is split or merged.
//
//   CellMap M;
//   joinCell(M, Model, Backend);
//   chooseCells(M, Model, PrefixHash, Load) -> cells in the order to ask
//
// The control log holds the map; every host computes the same map from it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Random.h"
#include "wire/ScheduleMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimento {

struct CellMapConfig {
  // Engines in one cell; a cell with more is split.
  std::size_t MaxEngines = 32;
  // A cell with fewer engines is merged into another with room.
  std::size_t MinEngines = 8;
};

struct CellInfo {
  CellId Id{};
  ModelName Model;
  std::uint32_t Index = 0; // Number of the cell within its model.
  std::set<BackendId> Engines;
};

struct CellMap {
  CellMapConfig Config;
  std::map<CellId, CellInfo> Cells;
  std::map<BackendId, CellId> Where; // Cell of each engine.
};

/// A change of an engine's cell.
struct CellMove {
  BackendId Backend;
  std::optional<CellId> From; // Empty: the engine is new.
  std::optional<CellId> To;   // Empty: the engine left.
};

/// Returns the id of a model's cell; the same on every host.
CellId cellId(const ModelName &Model, std::uint32_t Index);

/// Adds an engine to a cell of its model. Returns all engines that moved,
/// including this one; empty if the engine already has a cell.
std::vector<CellMove> joinCell(CellMap &M, const ModelName &Model,
                               const BackendId &Id);
/// Removes an engine. Returns all engines that moved; empty if it had no cell.
std::vector<CellMove> leaveCell(CellMap &M, const BackendId &Id);

/// Returns the cells of a model.
std::vector<CellId> cellsOf(const CellMap &M, const ModelName &Model);

/// Returns the cells to ask for a grant, in order. Rendezvous hashing of \p
/// PrefixHash gives two candidates of which the less loaded comes first; the
/// other cells follow by load. \p Load is the last known forecast of each
/// cell's wait; cells without one count as idle.
std::vector<CellId> chooseCells(const CellMap &M, const ModelName &Model,
                                std::uint64_t PrefixHash,
                                const std::map<CellId, Duration> &Load);

} // namespace pimento
