#include <boost/test/unit_test.hpp>

#include "Samples.h"
#include "base/Random.h"
#include "schedule/CellMap.h"

#include <set>

using namespace pimento;
using namespace pimento::test;

namespace {

BackendId engine(std::uint64_t Number) {
  return BackendId("engine-" + std::to_string(Number));
}

void checkMap(const CellMap &M, std::size_t Engines) {
  std::size_t Count = 0;
  for (const auto &[Id, Cell] : M.Cells) {
    BOOST_TEST(Cell.Engines.size() <= M.Config.MaxEngines);
    BOOST_TEST(!Cell.Engines.empty());
    for (const BackendId &Engine : Cell.Engines)
      BOOST_TEST((M.Where.at(Engine) == Id));
    Count += Cell.Engines.size();
  }
  BOOST_TEST(Count == Engines);
  BOOST_TEST(M.Where.size() == Engines);
}

} // namespace

// An engine that moves to another cell loses its grants, so engines that join
// and leave must move few others.
BOOST_AUTO_TEST_CASE(CellsAreBoundedAndChurnMovesFewEngines) {
  CellMap M;
  Random R(1);
  std::set<std::uint64_t> Alive;
  std::size_t Moves = 0;
  for (std::uint64_t I = 0; I < 590; ++I) {
    Moves += joinCell(M, Model, engine(I)).size();
    Alive.insert(I);
  }
  checkMap(M, 590);
  // Each join moves one engine, and each split moves half of a cell.
  BOOST_TEST(Moves < 590U * 3 / 2);
  std::size_t ChurnMoves = 0;
  for (std::uint64_t I = 0; I < 2000; ++I) {
    const std::uint64_t Gone = *std::next(
        Alive.begin(), static_cast<std::ptrdiff_t>(below(R, Alive.size())));
    ChurnMoves += leaveCell(M, engine(Gone)).size();
    Alive.erase(Gone);
    ChurnMoves += joinCell(M, Model, engine(1000 + I)).size();
    Alive.insert(1000 + I);
  }
  checkMap(M, 590);
  BOOST_TEST(ChurnMoves < 2000U * 2 + 200);
  for (std::uint64_t I : Alive)
    leaveCell(M, engine(I));
  checkMap(M, 0);
}

// Prompts with the same prefix must reach the same cell, where engines cache
// the prefix. New cells must not redistribute the prompts of the others.
BOOST_AUTO_TEST_CASE(RequestsKeepTheirCellAndSpillOverWhenItIsBusy) {
  CellMap M;
  for (std::uint64_t I = 0; I < 100; ++I)
    joinCell(M, Model, engine(I));
  std::vector<CellId> First;
  for (std::uint64_t Hash = 0; Hash < 200; ++Hash) {
    const auto Cells = chooseCells(M, Model, Hash, {});
    BOOST_TEST(Cells.size() == M.Cells.size());
    First.push_back(Cells.front());
  }
  BOOST_TEST(std::set<CellId>(First.begin(), First.end()).size() ==
             M.Cells.size());
  // If the first choice is busy, the second one comes first.
  const CellId Busy = First.front();
  const auto Spilled = chooseCells(M, Model, 0, {{Busy, seconds(5)}});
  BOOST_TEST((Spilled.front() != Busy));
  // A new cell attracts only its own share of the prompts.
  const std::size_t Before = M.Cells.size();
  for (std::uint64_t I = 100; M.Cells.size() == Before; ++I)
    joinCell(M, Model, engine(I));
  std::size_t Changed = 0;
  for (std::uint64_t Hash = 0; Hash < 200; ++Hash)
    Changed += chooseCells(M, Model, Hash, {}).front() != First[Hash] ? 1 : 0;
  BOOST_TEST(Changed < std::size_t(400) / (Before + 1));
}
