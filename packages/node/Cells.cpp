#include "node/Cells.h"

#include "base/Json.h"

#include <xxhash.h>

#include <algorithm>

namespace pimento {

namespace {

constexpr Duration BalanceInterval = seconds(10);
constexpr JsonLimits TableLimits = {4U << 20U, /*Depth=*/6,
                                    /*Values=*/1U << 18U};

std::uint64_t rank(const BackendId &Engine, std::uint32_t Index) {
  return XXH64(Engine.Value.data(), Engine.Value.size(), Index + 1);
}

const CandidateHost *findHost(const std::vector<CandidateHost> &Hosts,
                              const HostId &Id) {
  for (const CandidateHost &Host : Hosts) {
    if (Host.Host == Id)
      return &Host;
  }
  return nullptr;
}

std::size_t requiredCells(std::size_t Engines) {
  return std::max<std::size_t>(1, (Engines + CellEngines - 1) / CellEngines);
}

/// One planning step over a copy of the table.
struct Planning {
  CellPlanner &P;
  const CellPlanInput &In;
  TimePoint Now;
  CellPlan Plan;
  bool Changed = false;

  void decide(const CellAssignment &Cell, const char *Kind, std::string Reason,
              const HostId &Host) {
    DecisionRecord D;
    D.Kind = Kind;
    D.Reason = std::move(Reason);
    D.add("model", Cell.Model.Value)
        .add("index", static_cast<std::int64_t>(Cell.Index))
        .add("holder", Host.Value);
    Plan.Decisions.push_back(std::move(D));
    Changed = true;
  }

  std::map<HostId, std::size_t> loads() const {
    std::map<HostId, std::size_t> Loads;
    for (const CandidateHost &Host : In.Hosts) {
      if (Host.MayReceiveCells)
        Loads[Host.Host] = 0;
    }
    for (const CellAssignment &Cell : Plan.Next.Cells) {
      auto Found = Loads.find(Cell.Holder);
      if (Found != Loads.end())
        ++Found->second;
    }
    return Loads;
  }

  void addMissing();
  void revokeCells();
  bool mayAssign(const CellAssignment &Cell) const;
  void assign();
  void balance();
};

void Planning::addMissing() {
  for (const auto &[Model, Engines] : In.Engines) {
    std::size_t Have = cellsOf(Plan.Next, Model).size();
    for (; Have < requiredCells(Engines); ++Have) {
      CellAssignment Cell;
      Cell.Model = Model;
      Cell.Index = static_cast<std::uint32_t>(Have);
      P.FreeAt[Cell.id()] = Now; // A new cell has no previous holder.
      Plan.Next.Cells.push_back(Cell);
      Changed = true;
    }
  }
}

/// Revokes cells whose holder restarted or may not hold them. The cell of a
/// restarted holder may be assigned at once, because its old process ended.
void Planning::revokeCells() {
  for (CellAssignment &Cell : Plan.Next.Cells) {
    if (Cell.Holder.empty())
      continue;
    const CandidateHost *Holder = findHost(In.Hosts, Cell.Holder);
    bool Restarted = Holder && Holder->Incarnation > Cell.Incarnation;
    bool Keeps = Holder && Holder->MayKeepCells &&
                 Holder->Incarnation == Cell.Incarnation;
    if (Keeps)
      continue;
    if (Restarted)
      P.FreeAt[Cell.id()] = Now;
    else
      P.FreeAt.erase(Cell.id()); // Set again once the edit is accepted.
    decide(Cell, "cell_taken",
           Restarted ? "the holder restarted"
                     : "the holder is leaving or cannot be reached",
           Cell.Holder);
    Cell.Holder = HostId();
    Cell.Incarnation = 0;
  }
}

bool Planning::mayAssign(const CellAssignment &Cell) const {
  auto Found = P.FreeAt.find(Cell.id());
  return Cell.Holder.empty() && Found != P.FreeAt.end() && Now >= Found->second;
}

void Planning::assign() {
  for (CellAssignment &Cell : Plan.Next.Cells) {
    if (!mayAssign(Cell))
      continue;
    std::map<HostId, std::size_t> Loads = loads();
    if (Loads.empty())
      return;
    auto Least = std::min_element(
        Loads.begin(), Loads.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    Cell.Holder = Least->first;
    Cell.Incarnation = findHost(In.Hosts, Least->first)->Incarnation;
    Cell.Epoch = Plan.Next.Number;
    decide(Cell, "cell_given", "the host holds the fewest cells", Cell.Holder);
  }
}

/// Revokes one cell of the host that holds the most, at most once per
/// BalanceInterval. The cell is assigned to the least loaded host later.
void Planning::balance() {
  if (Changed || Now < P.NextBalance)
    return;
  std::map<HostId, std::size_t> Loads = loads();
  if (Loads.empty())
    return;
  P.NextBalance = Now + BalanceInterval;
  auto [Least, Most] = std::minmax_element(
      Loads.begin(), Loads.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Most->second < Least->second + 2)
    return;
  for (CellAssignment &Cell : Plan.Next.Cells) {
    if (Cell.Holder != Most->first)
      continue;
    P.FreeAt.erase(Cell.id());
    decide(Cell, "cell_taken", "the host holds too many cells", Cell.Holder);
    Cell.Holder = HostId();
    Cell.Incarnation = 0;
    return;
  }
}

/// Lets revoked cells be assigned one bound after a majority of hosts learned
/// of the table that revoked them.
void noteAccepted(CellPlanner &P, const CellPlanInput &In, TimePoint Now) {
  if (!In.TableAccepted)
    return;
  for (const CellAssignment &Cell : In.Table.Cells) {
    if (Cell.Holder.empty())
      P.FreeAt.emplace(Cell.id(), Now + In.Bound);
    else
      P.FreeAt.erase(Cell.id());
  }
}

bool readCell(const Json &From, CellAssignment &Cell) {
  if (!From.is_object() || !From.contains("model") || !From.contains("index") ||
      !From.contains("holder") || !From.contains("life") ||
      !From.contains("epoch"))
    return false;
  if (!From["model"].is_string() || !From["holder"].is_string() ||
      !From["index"].is_number_unsigned() ||
      !From["life"].is_number_unsigned() || !From["epoch"].is_number_unsigned())
    return false;
  Cell.Model = ModelName(From["model"].get<std::string>());
  Cell.Index = From["index"].get<std::uint32_t>();
  Cell.Holder = HostId(From["holder"].get<std::string>());
  Cell.Incarnation = From["life"].get<IncarnationNumber>();
  Cell.Epoch = From["epoch"].get<std::uint64_t>();
  return true;
}

} // namespace

std::string encodeCellTable(const CellTable &T) {
  Json Cells = Json::array();
  for (const CellAssignment &Cell : T.Cells)
    Cells.push_back({{"model", Cell.Model.Value},
                     {"index", Cell.Index},
                     {"holder", Cell.Holder.Value},
                     {"life", Cell.Incarnation},
                     {"epoch", Cell.Epoch}});
  return Json({{"number", T.Number}, {"cells", Cells}}).dump();
}

Result<CellTable> decodeCellTable(std::string_view Text) {
  auto Parsed = parseJson(Text, TableLimits);
  if (!Parsed)
    return Parsed.error();
  const Json &Root = *Parsed;
  bool Shaped = Root.is_object() && Root.contains("number") &&
                Root["number"].is_number_unsigned() && Root.contains("cells") &&
                Root["cells"].is_array();
  if (!Shaped)
    return fail(Code::BadRequest, "the text is not a JSON cell table");
  CellTable T;
  T.Number = Root["number"].get<std::uint64_t>();
  for (const Json &From : Root["cells"]) {
    CellAssignment &Cell = T.Cells.emplace_back();
    if (!readCell(From, Cell))
      return fail(Code::BadRequest,
                  "a cell lacks a field or has one of another type");
  }
  return T;
}

std::vector<const CellAssignment *> cellsOf(const CellTable &T,
                                            const ModelName &Model) {
  std::vector<const CellAssignment *> Cells;
  for (const CellAssignment &Cell : T.Cells) {
    if (Cell.Model == Model)
      Cells.push_back(&Cell);
  }
  return Cells;
}

const CellAssignment *findCell(const CellTable &T, CellId Id) {
  for (const CellAssignment &Cell : T.Cells) {
    if (Cell.id() == Id)
      return &Cell;
  }
  return nullptr;
}

const CellAssignment *cellOfEngine(const CellTable &T, const ModelName &Model,
                                   const BackendId &Engine) {
  const CellAssignment *Best = nullptr;
  for (const CellAssignment *Cell : cellsOf(T, Model)) {
    if (!Best || rank(Engine, Cell->Index) > rank(Engine, Best->Index))
      Best = Cell;
  }
  return Best;
}

std::optional<CellPlan> planCells(CellPlanner &P, const CellPlanInput &In,
                                  TimePoint Now) {
  noteAccepted(P, In, Now);
  Planning Step{P, In, Now, {In.Table, {}}, false};
  Step.Plan.Next.Number = In.Table.Number + 1;
  Step.addMissing();
  Step.revokeCells();
  Step.assign();
  Step.balance();
  if (!Step.Changed)
    return std::nullopt;
  return std::move(Step.Plan);
}

} // namespace pimento
