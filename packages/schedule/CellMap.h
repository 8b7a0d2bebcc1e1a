//===- CellMap.h - How engines are cut into cells ---------------*- C++ -*-===//
//
// The engines of one model are cut into cells of a bounded number. The cut is
// stable: an engine keeps its cell for as long as it lives, a new one joins
// the cell with the most room, and cells split or merge one at a time.
//
//   CellMap M = makeCellMap(Config);
//   joinCell(M, Model, Backend);
//   chooseCells(M, Model, Account, Random) -> cells in the order to ask
//
// The control log holds the map; every host computes the same from it.
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
  std::size_t MaxEngines = 32; // Of one cell; a fuller one is split.
  std::size_t MinEngines = 8;  // A smaller one joins another with room.
};

struct CellInfo {
  CellId Id{};
  ModelName Model;
  std::uint32_t Index = 0; // Within the model.
  std::set<BackendId> Engines;
};

struct CellMap {
  CellMapConfig Config;
  std::map<CellId, CellInfo> Cells;
  std::map<BackendId, CellId> Where;
};

/// An engine that changed its cell.
struct CellMove {
  BackendId Backend;
  std::optional<CellId> From; // Empty: new.
  std::optional<CellId> To;   // Empty: gone.
};

/// The number of a model's cell; the same on every host.
CellId cellId(const ModelName &Model, std::uint32_t Index);

/// Puts an engine into a cell of its model. Returns every engine that moved,
/// itself included; none where it has a cell already.
std::vector<CellMove> joinCell(CellMap &M, const ModelName &Model,
                               const BackendId &Id);
/// Takes an engine out.
std::vector<CellMove> leaveCell(CellMap &M, const BackendId &Id);

/// The cells of a model.
std::vector<CellId> cellsOf(const CellMap &M, const ModelName &Model);

/// The cells that an ask goes to, in order: the one that its first prefix
/// hashes to among two choices, then others to spill over to. \p Load is the
/// last known forecast of a cell's wait; missing ones count as idle.
std::vector<CellId> chooseCells(const CellMap &M, const ModelName &Model,
                                std::uint64_t PrefixHash,
                                const std::map<CellId, Duration> &Load);

} // namespace pimento
