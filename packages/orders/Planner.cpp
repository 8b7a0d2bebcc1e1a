#include "orders/Planner.h"

#include <algorithm>
#include <optional>

namespace pimento {

namespace {

/// An engine during planning.
struct Slot {
  const BackendRecord *Record = nullptr;
  ModelName Base;    // Model in the plan so far; empty: no wanted model.
  bool Busy = false; // The engine has an open order and is not moved.
  bool Held = false; // The target changed within PlanInput::Hold.
  // A document changed after the last change of the target.
  bool Edited = false;
  bool Moved = false; // This plan has already moved the engine.
};

bool allows(const WantedModel &M, const DataCentreId &Where) {
  return M.DataCentres.empty() || M.DataCentres.count(Where) > 0;
}

bool offers(const BackendRecord &E, const ModelName &Name) {
  return std::find(E.Models.begin(), E.Models.end(), Name) != E.Models.end();
}

bool takesWork(const BackendRecord &E) {
  return E.Kind == BackendKind::Engine && E.Status == BackendStatus::Serving;
}

/// Engines of one model during planning.
struct ModelCount {
  std::size_t All = 0;
  std::size_t Serving = 0; // Engines that offer the model already.
  // Data centres without engines have no entry.
  std::map<DataCentreId, std::size_t> PerDataCentre;
};

struct Planning {
  PlannerState &P;
  const PlanInput &In;
  TimePoint Now;
  std::vector<DecisionRecord> &Decisions;
  std::vector<Slot> Slots;
  std::map<ModelName, std::size_t> Floors;
  std::map<ModelName, ModelCount> Counts;
  std::vector<TargetChange> Changes;

  void gather();
  void distributeShortage();
  void keepLastCopies();
  void fillFloors();
  void spread();
  void followDemand();

  std::size_t copies(const ModelName &Model) const;
  std::size_t copiesAt(const ModelName &Model, const DataCentreId &At) const;
  bool maySpare(const ModelName &Model) const;
  bool isMovable(const Slot &S, TargetReason Why) const;
  bool hasNoBacklog(const ModelName &Model) const;
  bool hasPendingEngine(const ModelName &Model) const;
  Slot *choose(const WantedModel &For, TargetReason Why,
               const DataCentreId *Elsewhere = nullptr);
  bool better(const Slot &A, const Slot &B, const WantedModel &For) const;
  void move(Slot &S, const ModelName &To, TargetReason Why);
};

void Planning::gather() {
  for (const BackendRecord *Record : In.Engines) {
    if (!takesWork(*Record))
      continue;
    Slot S;
    S.Record = Record;
    S.Base = servedModel(In.Wanted, In.Book, *Record);
    if (const EngineBook *E = findEngine(In.Book, Record->Id)) {
      S.Busy = E->Open.has_value();
      S.Held = !E->Base.empty() && In.Wall < E->TargetAt + In.Hold;
      S.Edited = In.Revision > E->Revision;
    }
    ModelCount &Count = Counts[S.Base];
    ++Count.All;
    Count.Serving += offers(*Record, S.Base) ? 1 : 0;
    ++Count.PerDataCentre[Record->DataCentre];
    Slots.push_back(S);
  }
}

/// Sets the minimum number of engines of each model. If there are too few
/// engines for all, each model gets one; the remaining ones are distributed in
/// proportion to the further engines wanted, largest remainder first.
void Planning::distributeShortage() {
  std::size_t Sum = 0;
  std::size_t Models = 0;
  for (const auto &[Name, Model] : In.Wanted) {
    Sum += Model.Replicas;
    Models += Model.Replicas > 0 ? 1 : 0;
    Floors[Name] = Model.Replicas;
  }
  std::size_t Available = Slots.size();
  if (Sum <= Available)
    return;
  std::size_t Remaining = Available > Models ? Available - Models : 0;
  std::size_t WantedExtra = std::max<std::size_t>(1, Sum - Models);
  std::vector<std::pair<std::size_t, ModelName>> Remainders;
  std::size_t Given = 0;
  for (const auto &[Name, Model] : In.Wanted) {
    if (Model.Replicas == 0)
      continue;
    std::size_t Share = (Model.Replicas - 1) * Remaining;
    Floors[Name] = 1 + Share / WantedExtra;
    Given += Share / WantedExtra;
    Remainders.emplace_back(Share % WantedExtra, Name);
  }
  std::stable_sort(
      Remainders.begin(), Remainders.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  for (const auto &Entry : Remainders) {
    if (Given >= Remaining)
      break;
    ++Floors[Entry.second];
    ++Given;
  }
}

std::size_t Planning::copies(const ModelName &Model) const {
  auto Found = Counts.find(Model);
  return Found == Counts.end() ? 0 : Found->second.All;
}

std::size_t Planning::copiesAt(const ModelName &Model,
                               const DataCentreId &At) const {
  auto Found = Counts.find(Model);
  if (Found == Counts.end())
    return 0;
  auto AtCentre = Found->second.PerDataCentre.find(At);
  return AtCentre == Found->second.PerDataCentre.end() ? 0 : AtCentre->second;
}

/// Returns true if the model may lose one engine.
bool Planning::maySpare(const ModelName &Model) const {
  if (Model.empty())
    return true;
  auto Floor = Floors.find(Model);
  std::size_t Least =
      std::max<std::size_t>(1, Floor == Floors.end() ? 1 : Floor->second);
  const ModelCount &Count = Counts.at(Model);
  return Count.All > Least && Count.Serving > Least;
}

bool Planning::isMovable(const Slot &S, TargetReason Why) const {
  if (S.Busy || S.Moved)
    return false;
  return !S.Held || (Why == TargetReason::Document && S.Edited);
}

bool Planning::hasNoBacklog(const ModelName &Model) const {
  if (Model.empty())
    return true;
  auto Found = P.NoBacklogSince.find(Model);
  return Found != P.NoBacklogSince.end() && Now - Found->second >= BacklogTime;
}

/// Returns true if some engine assigned to the model does not offer it yet.
bool Planning::hasPendingEngine(const ModelName &Model) const {
  return std::any_of(Slots.begin(), Slots.end(), [&](const Slot &S) {
    return S.Base == Model && !offers(*S.Record, Model);
  });
}

/// Orders candidates: engines without a model first, then engines that already
/// offer the model, then data centres with the fewest engines of the model,
/// then data centres with the most engines of the donor model.
bool Planning::better(const Slot &A, const Slot &B,
                      const WantedModel &For) const {
  if (A.Base.empty() != B.Base.empty())
    return A.Base.empty();
  bool HasA = offers(*A.Record, For.Name);
  bool HasB = offers(*B.Record, For.Name);
  if (HasA != HasB)
    return HasA;
  std::size_t CopiesA = copiesAt(For.Name, A.Record->DataCentre);
  std::size_t CopiesB = copiesAt(For.Name, B.Record->DataCentre);
  if (CopiesA != CopiesB)
    return CopiesA < CopiesB;
  if (A.Base.empty())
    return A.Record->Id < B.Record->Id;
  std::size_t DonorA = copiesAt(A.Base, A.Record->DataCentre);
  std::size_t DonorB = copiesAt(B.Base, B.Record->DataCentre);
  if (DonorA != DonorB)
    return DonorA > DonorB;
  return A.Record->Id < B.Record->Id;
}

Slot *Planning::choose(const WantedModel &For, TargetReason Why,
                       const DataCentreId *Elsewhere) {
  Slot *Best = nullptr;
  for (Slot &S : Slots) {
    if (S.Base == For.Name || !isMovable(S, Why) || !maySpare(S.Base))
      continue;
    if (!allows(For, S.Record->DataCentre))
      continue;
    if (Elsewhere && S.Record->DataCentre == *Elsewhere)
      continue;
    if (Why == TargetReason::Demand && !hasNoBacklog(S.Base))
      continue;
    if (!Best || better(S, *Best, For))
      Best = &S;
  }
  return Best;
}

void Planning::move(Slot &S, const ModelName &To, TargetReason Why) {
  DecisionRecord D;
  D.Kind = "engine_target";
  D.Reason = toString(Why);
  D.add("backend", S.Record->Id.Value)
      .add("from", S.Base.Value)
      .add("to", To.Value)
      .add("copies", static_cast<std::int64_t>(copies(To)))
      .add("wanted", static_cast<std::int64_t>(Floors[To]))
      .add("donor_copies", static_cast<std::int64_t>(copies(S.Base)));
  auto Found = In.Demand.find(To);
  if (Found != In.Demand.end())
    D.add("waiting", static_cast<std::int64_t>(Found->second.Waiting));
  Decisions.push_back(std::move(D));
  Changes.push_back({S.Record->Id, S.Base, To, Why});
  ModelCount &Donor = Counts[S.Base];
  --Donor.All;
  Donor.Serving -= offers(*S.Record, S.Base) ? 1 : 0;
  if (--Donor.PerDataCentre[S.Record->DataCentre] == 0)
    Donor.PerDataCentre.erase(S.Record->DataCentre);
  ++Counts[To].All;
  Counts[To].Serving += offers(*S.Record, To) ? 1 : 0;
  ++Counts[To].PerDataCentre[S.Record->DataCentre];
  S.Base = To;
  S.Moved = true;
}

/// Reverts targets that are not reached yet and would remove the only copy of
/// another model, because engines have failed since the target was set.
void Planning::keepLastCopies() {
  for (Slot &S : Slots) {
    if (S.Base.empty() || S.Busy || offers(*S.Record, S.Base))
      continue;
    for (const ModelName &Name : S.Record->Models) {
      auto Old = In.Wanted.find(Name);
      if (Old == In.Wanted.end() || Old->second.Replicas == 0 ||
          copies(Name) > 0)
        continue;
      move(S, Name, TargetReason::LastCopy);
      break;
    }
  }
}

/// Assigns engines up to each model's minimum. Models without any engine come
/// first, so that none is starved by a shortage.
void Planning::fillFloors() {
  for (std::size_t Round = 0; Round < 2; ++Round) {
    for (const auto &[Name, Model] : In.Wanted) {
      std::size_t Floor =
          Round == 0 ? std::min<std::size_t>(1, Floors[Name]) : Floors[Name];
      while (copies(Name) < Floor) {
        Slot *S = choose(Model, TargetReason::Document);
        if (!S)
          break;
        move(*S, Name, TargetReason::Document);
      }
    }
  }
}

void Planning::spread() {
  for (const auto &[Name, Model] : In.Wanted) {
    const auto &PerDataCentre = Counts[Name].PerDataCentre;
    if (Floors[Name] < 2 || PerDataCentre.size() != 1)
      continue;
    DataCentreId Only = PerDataCentre.begin()->first;
    if (Slot *S = choose(Model, TargetReason::Spread, &Only))
      move(*S, Name, TargetReason::Spread);
  }
}

void Planning::followDemand() {
  for (const auto &[Name, Model] : In.Wanted) {
    auto Found = In.Demand.find(Name);
    bool Known = Found != In.Demand.end();
    bool HasBacklog = Known && Found->second.Waiting > Found->second.Engines;
    bool NoneWaiting = Known && Found->second.Waiting == 0;
    if (HasBacklog)
      P.BacklogSince.emplace(Name, Now);
    else
      P.BacklogSince.erase(Name);
    if (NoneWaiting)
      P.NoBacklogSince.emplace(Name, Now);
    else
      P.NoBacklogSince.erase(Name);
    bool BacklogLasts = HasBacklog && Now - P.BacklogSince[Name] >= BacklogTime;
    if (!BacklogLasts || Model.Replicas == 0 || hasPendingEngine(Name))
      continue;
    Slot *S = choose(Model, TargetReason::Demand);
    if (!S)
      continue;
    move(*S, Name, TargetReason::Demand);
    // A further engine requires that the backlog lasts.
    P.BacklogSince[Name] = Now;
  }
}

} // namespace

WantedModels
wantedModels(const std::map<ServiceId, ServiceDocument> &Documents) {
  WantedModels Wanted;
  std::set<ModelName> Anywhere;
  for (const auto &Entry : Documents) {
    for (const ModelEntry &Model : Entry.second.Models) {
      WantedModel &W = Wanted[Model.Name];
      W.Name = Model.Name;
      W.Replicas = std::max(W.Replicas, Model.Replicas);
      W.Extras.insert(Model.Adapters.begin(), Model.Adapters.end());
      W.Extras.insert(Model.Versions.begin(), Model.Versions.end());
      W.DataCentres.insert(Model.DataCentres.begin(), Model.DataCentres.end());
      if (Model.DataCentres.empty())
        Anywhere.insert(Model.Name);
    }
  }
  for (const ModelName &Name : Anywhere)
    Wanted[Name].DataCentres.clear();
  return Wanted;
}

const WantedModel *modelOf(const WantedModels &Wanted, const ModelName &Name) {
  auto Found = Wanted.find(Name);
  if (Found != Wanted.end())
    return &Found->second;
  for (const auto &Entry : Wanted) {
    if (Entry.second.Extras.count(Name) > 0)
      return &Entry.second;
  }
  return nullptr;
}

ModelName servedModel(const WantedModels &Wanted, const OrderBook &Book,
                      const BackendRecord &Engine) {
  const EngineBook *E = findEngine(Book, Engine.Id);
  auto Target = E ? Wanted.find(E->Base) : Wanted.end();
  if (Target != Wanted.end() && Target->second.Replicas > 0)
    return Target->first;
  for (const ModelName &Name : Engine.Models) {
    const WantedModel *Model = modelOf(Wanted, Name);
    if (Model && Model->Replicas > 0 &&
        !wasUnloaded(E, Engine.Incarnation, Name))
      return Model->Name;
  }
  return ModelName();
}

std::vector<TargetChange> planTargets(PlannerState &P, const PlanInput &In,
                                      TimePoint Now,
                                      std::vector<DecisionRecord> &Decisions) {
  Planning Step{P, In, Now, Decisions, {}, {}, {}, {}};
  Step.gather();
  Step.distributeShortage();
  Step.keepLastCopies();
  Step.fillFloors();
  Step.spread();
  Step.followDemand();
  return std::move(Step.Changes);
}

} // namespace pimento
