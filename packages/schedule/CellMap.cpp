#include "schedule/CellMap.h"

#include <xxhash.h>

#include <algorithm>

namespace pimento {

namespace {

/// Returns a model's cells in order of their index.
std::vector<CellInfo *> cellsOfModel(CellMap &M, const ModelName &Model) {
  std::vector<CellInfo *> Cells;
  for (auto &[Id, Cell] : M.Cells)
    if (Cell.Model == Model)
      Cells.push_back(&Cell);
  std::sort(Cells.begin(), Cells.end(),
            [](CellInfo *A, CellInfo *B) { return A->Index < B->Index; });
  return Cells;
}

CellInfo &addCell(CellMap &M, const ModelName &Model) {
  std::uint32_t Index = 0;
  for (const CellInfo *Cell : cellsOfModel(M, Model))
    Index = std::max(Index, Cell->Index + 1);
  while (M.Cells.count(cellId(Model, Index)) != 0)
    ++Index;
  const CellId Id = cellId(Model, Index);
  CellInfo &Cell = M.Cells[Id];
  Cell.Id = Id;
  Cell.Model = Model;
  Cell.Index = Index;
  return Cell;
}

void move(CellMap &M, const BackendId &Id, std::optional<CellId> From,
          std::optional<CellId> To, std::vector<CellMove> &Moves) {
  if (From)
    M.Cells[*From].Engines.erase(Id);
  if (To) {
    M.Cells[*To].Engines.insert(Id);
    M.Where[Id] = *To;
  } else {
    M.Where.erase(Id);
  }
  Moves.push_back({Id, From, To});
}

/// Splits a cell: moves every second engine to a new cell.
void split(CellMap &M, CellInfo &Full, std::vector<CellMove> &Moves) {
  const CellId From = Full.Id;
  const std::set<BackendId> Engines = Full.Engines;
  const CellId To = addCell(M, Full.Model).Id;
  bool MoveNext = false;
  for (const BackendId &Id : Engines) {
    if (MoveNext)
      move(M, Id, From, To, Moves);
    MoveNext = !MoveNext;
  }
}

/// Merges a cell into the smallest other cell of its model.
void merge(CellMap &M, CellId Small, std::vector<CellMove> &Moves) {
  const ModelName Model = M.Cells[Small].Model;
  const std::set<BackendId> Engines = M.Cells[Small].Engines;
  CellInfo *Best = nullptr;
  for (CellInfo *Cell : cellsOfModel(M, Model))
    if (Cell->Id != Small &&
        (!Best || Cell->Engines.size() < Best->Engines.size()))
      Best = Cell;
  // Leave room for more engines; otherwise the next one would split the cell
  // again.
  const std::size_t Limit = M.Config.MaxEngines * 3 / 4;
  if (!Best || Best->Engines.size() + Engines.size() > Limit)
    return;
  for (const BackendId &Id : Engines)
    move(M, Id, Small, Best->Id, Moves);
  M.Cells.erase(Small);
}

Duration loadOf(const std::map<CellId, Duration> &Load, CellId Id) {
  auto Found = Load.find(Id);
  return Found == Load.end() ? Duration::zero() : Found->second;
}

std::uint64_t mix(std::uint64_t Hash, CellId Id) {
  const auto Number = static_cast<std::uint64_t>(Id);
  return XXH64(&Hash, sizeof Hash, Number);
}

} // namespace

CellId cellId(const ModelName &Model, std::uint32_t Index) {
  return CellId(XXH32(Model.Value.data(), Model.Value.size(), Index));
}

std::vector<CellMove> joinCell(CellMap &M, const ModelName &Model,
                               const BackendId &Id) {
  std::vector<CellMove> Moves;
  if (M.Where.count(Id) != 0)
    return Moves;
  CellInfo *Best = nullptr;
  for (CellInfo *Cell : cellsOfModel(M, Model))
    if (!Best || Cell->Engines.size() < Best->Engines.size())
      Best = Cell;
  if (!Best)
    Best = &addCell(M, Model);
  move(M, Id, std::nullopt, Best->Id, Moves);
  if (Best->Engines.size() > M.Config.MaxEngines)
    split(M, *Best, Moves);
  return Moves;
}

std::vector<CellMove> leaveCell(CellMap &M, const BackendId &Id) {
  std::vector<CellMove> Moves;
  auto Found = M.Where.find(Id);
  if (Found == M.Where.end())
    return Moves;
  const CellId From = Found->second;
  move(M, Id, From, std::nullopt, Moves);
  if (M.Cells[From].Engines.size() < M.Config.MinEngines)
    merge(M, From, Moves);
  if (M.Cells.count(From) != 0 && M.Cells[From].Engines.empty())
    M.Cells.erase(From);
  return Moves;
}

std::vector<CellId> cellsOf(const CellMap &M, const ModelName &Model) {
  std::vector<CellId> Ids;
  for (const auto &[Id, Cell] : M.Cells)
    if (Cell.Model == Model)
      Ids.push_back(Id);
  return Ids;
}

std::vector<CellId> chooseCells(const CellMap &M, const ModelName &Model,
                                std::uint64_t PrefixHash,
                                const std::map<CellId, Duration> &Load) {
  std::vector<CellId> Ids = cellsOf(M, Model);
  // With rendezvous hashing, adding or removing a cell moves only that cell's
  // share of the prefixes.
  std::sort(Ids.begin(), Ids.end(), [&](CellId A, CellId B) {
    return std::pair(mix(PrefixHash, A), A) > std::pair(mix(PrefixHash, B), B);
  });
  if (Ids.size() > 1 && loadOf(Load, Ids[1]) < loadOf(Load, Ids[0]))
    std::swap(Ids[0], Ids[1]);
  if (Ids.size() > 2)
    std::stable_sort(Ids.begin() + 2, Ids.end(), [&](CellId A, CellId B) {
      return loadOf(Load, A) < loadOf(Load, B);
    });
  return Ids;
}

} // namespace pimento
