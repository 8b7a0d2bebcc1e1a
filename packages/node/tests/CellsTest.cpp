#include <boost/test/unit_test.hpp>

#include "base/Random.h"
#include "node/Cells.h"

using namespace pimento;

namespace {

const ModelName Model("m");
constexpr Duration Bound = milliseconds(900);

struct Rig {
  CellPlanner Planner;
  CellTable Table;
  std::map<ModelName, std::size_t> Engines = {{Model, 3}};
  std::vector<CandidateHost> Hosts;
  bool Accepted = true;
  TimePoint Now = TimePoint(hours(1));

  Rig() {
    for (const char *Name : {"a", "b", "c"})
      Hosts.push_back({HostId(Name), 1, true, true});
  }

  CandidateHost &host(const char *Name) {
    for (CandidateHost &H : Hosts) {
      if (H.Host.Value == Name)
        return H;
    }
    return Hosts.front();
  }

  /// Plans once and adopts the plan. True where there was one.
  bool plan() {
    auto Plan =
        planCells(Planner, {Table, Engines, Hosts, Accepted, Bound}, Now);
    if (Plan)
      Table = Plan->Next;
    return Plan.has_value();
  }

  /// Plans repeatedly for \p Time. Returns the longest time in which the first
  /// cell had no holder.
  Duration planFor(Duration Time) {
    Duration Gap = Duration::zero();
    Duration Longest = Duration::zero();
    for (TimePoint End = Now + Time; Now < End; Now += milliseconds(10)) {
      plan();
      Gap = Table.Cells[0].Holder.empty() ? Gap + milliseconds(10)
                                          : Duration::zero();
      Longest = std::max(Longest, Gap);
    }
    return Longest;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(FirstCellIsAssignedAtOnce) {
  Rig R;
  BOOST_TEST(R.plan());
  BOOST_TEST(!R.Table.Cells[0].Holder.empty());
  BOOST_TEST(!R.plan());
}

BOOST_AUTO_TEST_CASE(CellOfUnreachableHolderIsReassignedAfterTheBound) {
  Rig R;
  R.plan();
  CandidateHost &Holder = R.host(R.Table.Cells[0].Holder.Value.c_str());
  Holder.MayKeepCells = Holder.MayReceiveCells = false;
  BOOST_TEST(R.plan());
  BOOST_TEST(R.Table.Cells[0].Holder.empty());
  R.Accepted = false; // No majority of hosts knows the new table yet.
  R.planFor(seconds(2));
  BOOST_TEST(R.Table.Cells[0].Holder.empty());
  R.Accepted = true;
  R.plan();
  R.Now += Bound - milliseconds(1);
  R.plan();
  BOOST_TEST(R.Table.Cells[0].Holder.empty());
  R.Now += milliseconds(2);
  R.plan();
  BOOST_TEST(!R.Table.Cells[0].Holder.empty());
  BOOST_TEST((R.Table.Cells[0].Holder != Holder.Host));
}

BOOST_AUTO_TEST_CASE(RestartedHolderIsReplacedAtOnce) {
  Rig R;
  R.plan();
  std::uint64_t Epoch = R.Table.Cells[0].Epoch;
  R.host(R.Table.Cells[0].Holder.Value.c_str()).Incarnation = 2;
  BOOST_TEST(R.plan());
  BOOST_TEST(!R.Table.Cells[0].Holder.empty());
  BOOST_TEST(R.Table.Cells[0].Epoch > Epoch);
}

BOOST_AUTO_TEST_CASE(NewLeaderRestartsTheWaitForARevokedCell) {
  Rig R;
  R.plan();
  CandidateHost &Holder = R.host(R.Table.Cells[0].Holder.Value.c_str());
  Holder.MayKeepCells = Holder.MayReceiveCells = false;
  R.plan();
  R.Now += seconds(10);
  R.Planner = CellPlanner(); // A new leader knows only the table.
  BOOST_TEST(!R.plan());
  BOOST_TEST((R.planFor(seconds(3)) >= Bound));
  BOOST_TEST(!R.Table.Cells[0].Holder.empty());
}

BOOST_AUTO_TEST_CASE(CellsFollowTheNumberOfEngines) {
  Rig R;
  R.Engines[Model] = 100;
  R.plan();
  BOOST_TEST(R.Table.Cells.size() == 4U);
  std::map<std::string, int> Load;
  for (const CellAssignment &Cell : R.Table.Cells)
    ++Load[Cell.Holder.Value];
  for (const auto &[Host, Cells] : Load)
    BOOST_TEST(Cells <= 2, Host);
}

BOOST_AUTO_TEST_CASE(AddingACellMovesOnlyItsShareOfEngines) {
  Rig R;
  R.Engines[Model] = 96;
  R.plan();
  CellTable Before = R.Table;
  R.Engines[Model] = 97;
  R.plan();
  int Moved = 0;
  constexpr int Count = 1000;
  for (int I = 0; I < Count; ++I) {
    BackendId Id("engine-" + std::to_string(I));
    std::uint32_t Old = cellOfEngine(Before, Model, Id)->Index;
    std::uint32_t New = cellOfEngine(R.Table, Model, Id)->Index;
    BOOST_TEST((New == Old || New == 3U));
    Moved += New == Old ? 0 : 1;
  }
  BOOST_TEST((Moved > Count / 8 && Moved < Count * 3 / 8));
}

BOOST_AUTO_TEST_CASE(CellsAreBalancedSlowly) {
  Rig R;
  R.Engines[Model] = 6 * CellEngines;
  R.host("b").MayReceiveCells = R.host("c").MayReceiveCells = false;
  R.plan();
  R.host("b").MayReceiveCells = R.host("c").MayReceiveCells = true;
  R.planFor(minutes(3));
  std::map<std::string, int> Load;
  for (const CellAssignment &Cell : R.Table.Cells)
    ++Load[Cell.Holder.Value];
  for (const auto &[Host, Cells] : Load)
    BOOST_TEST((Cells >= 1 && Cells <= 3), Host);
}

BOOST_AUTO_TEST_CASE(CellTableSurvivesEncodingAndDecoding) {
  Rig R;
  R.plan();
  Failure Why;
  CellTable Read = valueOr<CellTable>(
      [&] { return decodeCellTable(encodeCellTable(R.Table)); }, CellTable(),
      Why);
  BOOST_TEST(Read.Number == R.Table.Number);
  BOOST_TEST_REQUIRE(Read.Cells.size() == R.Table.Cells.size());
  BOOST_TEST((Read.Cells[0].Holder == R.Table.Cells[0].Holder));
  for (const char *Malformed :
       {"", "[]", "{\"number\":1}", "{\"number\":1,\"cells\":[{}]}",
        "{\"number\":-1,\"cells\":[]}"}) {
    Why = Failure();
    CellTable T = valueOr<CellTable>([&] { return decodeCellTable(Malformed); },
                                     CellTable(), Why);
    BOOST_TEST(!Why.Detail.empty(), Malformed);
  }
}
