#include "orders/tests/OrderWorld.h"

#include <algorithm>

namespace pimento::testing {

namespace {

constexpr Duration RegistryLag = milliseconds(1500);
constexpr Duration GoneAfter = milliseconds(2500);

void want(WantedModels &Wanted, const char *Name, std::uint32_t Replicas,
          const char *Extra) {
  WantedModel &M = Wanted[ModelName(Name)];
  M.Name = ModelName(Name);
  M.Replicas = Replicas;
  M.Extras.clear();
  if (*Extra)
    M.Extras.insert(ModelName(Extra));
}

} // namespace

void OrderWorld::start() {
  want(Wanted, "atlas", 2, "atlas-crew");
  want(Wanted, "boreas", 2, "");
  want(Wanted, "ceres", 1, "");
  for (std::size_t I = 0; I < Engines; ++I) {
    std::string Name = "e" + std::to_string(I);
    WorldEngine &E = EngineStates[Name];
    E.Checks = I % 2 == 0;
    E.Models = {I < 4 ? "atlas" : "boreas"};
    // One engine that ignores fencing numbers says so in its record; a document
    // names the others.
    if (!E.Checks && I > 1)
      Ignores.insert(BackendId(Name));
    announce(Name);
  }
  for (WorldHost &H : HostStates)
    H.Issuer.Config = Config;
  changeLeader();
  for (std::size_t I = 0; I < Hosts; ++I)
    at(Duration::zero(), [this, I] { tickHost(I); });
  at(seconds(1), [this] { injectFaults(); });
}

void OrderWorld::runFor(Duration Time) {
  TimePoint End = Now + Time;
  while (!Queue.empty() && Queue.begin()->first.first <= End) {
    auto First = Queue.begin();
    Now = First->first.first;
    auto Do = std::move(First->second);
    Queue.erase(First);
    Do();
    finishLoads();
    check();
  }
  Now = End;
}

OrderInput OrderWorld::input(WorldHost &H) {
  Records.clear();
  for (const auto &Entry : Registry)
    Records.push_back(&Entry.second);
  return {H.Book,   Wanted, Records,    Ignores,         Demand,
          Revision, wall(), H.LeaseEnd, /*MayPlan=*/true};
}

//===----------------------------------------------------------------------===//
// Hosts and the log
//===----------------------------------------------------------------------===//

void OrderWorld::tickHost(std::size_t Host) {
  at(OrderTickInterval, [this, Host] { tickHost(Host); });
  inHost(Host, [this, Host] {
    WorldHost &H = HostStates[Host];
    if (H.Term != 0 && H.Term == Term)
      H.LeaseEnd = LeaseEnd = Now + Lease;
    catchUp(Host);
    OrderEffects Out;
    if (H.Term != 0 && Now >= H.LeaseEnd) {
      H.Term = 0;
      stopIssuing(H.Issuer, Out);
    }
    if (H.Term != 0 && H.Issuer.Term != H.Term)
      startIssuing(H.Issuer, H.Term, H.Book, Now);
    if (H.Term != 0)
      tickOrders(H.Issuer, input(H), Now, Out);
    executeEffects(Host, std::move(Out));
  });
}

void OrderWorld::executeEffects(std::size_t Host, OrderEffects Out) {
  for (OrderProposal &P : Out.Proposals) {
    if (HostStates[Host].Term != Term) {
      onNotProposed(HostStates[Host].Issuer, P.Ticket);
      continue;
    }
    InFlightProposals.push_back({std::move(P.Command), Term, P.Ticket, Host});
    at(between(Rng, milliseconds(1), milliseconds(60)),
       [this] { commitOne(); });
  }
  for (const OrderCall &Call : Out.Calls) {
    if (Call.Fence != 0 && !Quiet && Host == Leader &&
        chance(Faults.SendFreezes))
      freezeLeader();
    at(between(Rng, Duration::zero(), milliseconds(30)), [this, Host, Call] {
      inHost(Host, [this, Host, Call] { deliverCall(Host, Call); });
    });
  }
}

void OrderWorld::commitOne() {
  if (InFlightProposals.empty())
    return; // The proposal was lost with its leader.
  InFlightProposal F = std::move(InFlightProposals.front());
  InFlightProposals.pop_front();
  Log.push_back({F.Command, F.Term, F.Ticket, F.Host});
  const OrderCommand &C = F.Command;
  bool Demanded = C.Kind == OrderCommandKind::Target &&
                  C.Reason != TargetReason::LastCopy &&
                  C.Reason != TargetReason::Document;
  if (Demanded && LastTarget.count(C.Backend.Value) &&
      C.At < LastTarget[C.Backend.Value] + Config.Hold)
    reportViolation("two targets within the hold window: " + C.Backend.Value);
  if (C.Kind == OrderCommandKind::Target)
    LastTarget[C.Backend.Value] = C.At;
  bool Had = findEngine(ReferenceBook, C.Backend) &&
             findEngine(ReferenceBook, C.Backend)->Open;
  apply(ReferenceBook, C);
  Ended += Had && !findEngine(ReferenceBook, C.Backend)->Open ? 1 : 0;
}

void OrderWorld::catchUp(std::size_t Host) {
  WorldHost &H = HostStates[Host];
  for (; H.Applied < Log.size(); ++H.Applied) {
    const Committed &C = Log[H.Applied];
    OrderCommand Read = *decodeOrderCommand(encodeCommand(C.Command));
    OrderOutcome Outcome = apply(H.Book, Read);
    if (C.Host == Host && C.Term == H.Issuer.Term)
      onCommitted(H.Issuer, C.Ticket, Outcome, Now);
  }
}

/// Elects a new leader that starts once the old lease has ended. A random
/// prefix of the old leader's commands in flight is committed first, the rest
/// is lost.
void OrderWorld::changeLeader() {
  ++Changes;
  std::size_t Survive =
      InFlightProposals.empty() ? 0 : below(Rng, InFlightProposals.size() + 1);
  for (std::size_t I = 0; I < Survive; ++I)
    commitOne();
  InFlightProposals.clear();
  ++Term; // The old leader's lease is not renewed from here on.
  std::uint64_t NewTerm = Term;
  std::size_t Next = (Leader + 1 + below(Rng, Hosts - 1)) % Hosts;
  Duration Wait = std::max(Duration::zero(), LeaseEnd - Now);
  at(Wait + between(Rng, milliseconds(1), milliseconds(500)),
     [this, Next, NewTerm] {
       if (NewTerm != Term)
         return;
       Leader = Next;
       LeaseEnd = Now + Lease;
       inHost(Next, [this, Next, NewTerm] {
         HostStates[Next].Term = NewTerm;
         HostStates[Next].LeaseEnd = LeaseEnd;
       });
     });
}

void OrderWorld::freezeLeader() {
  std::size_t Host = Leader;
  if (HostStates[Host].Frozen)
    return;
  HostStates[Host].Frozen = true;
  changeLeader();
  at(between(Rng, milliseconds(200), seconds(12)), [this, Host] {
    HostStates[Host].Frozen = false;
    auto Held = std::move(HostStates[Host].Held);
    HostStates[Host].Held.clear();
    for (auto &Do : Held)
      Do();
  });
}

//===----------------------------------------------------------------------===//
// Calls
//===----------------------------------------------------------------------===//

void OrderWorld::failCall(std::size_t Host, std::uint64_t Call, bool Sent) {
  inHost(Host, [this, Host, Call, Sent] {
    OrderEffects Out;
    UpstreamFailure Why;
    Why.BytesSent = Sent;
    onOrderCallFailed(HostStates[Host].Issuer, Call, Why, Now, Out);
  });
}

void OrderWorld::deliverCall(std::size_t Host, const OrderCall &Call) {
  const std::string &Name = Call.Backend.Value;
  if (Now > Call.SendBy || !EngineStates[Name].Up) {
    failCall(Host, Call.Call, false);
    return;
  }
  bool Late = !Quiet && chance(Faults.LateShare);
  bool Lost = !Quiet && chance(Faults.LossShare);
  // Messages to an engine that ignores fencing numbers arrive within
  // MaxDeliveryTime.
  Duration Latest =
      EngineStates[Name].Checks ? seconds(20) : Config.MaxDeliveryTime;
  Duration Delay = between(Rng, milliseconds(1), milliseconds(80));
  if (Late)
    Delay = between(Rng, milliseconds(80), Latest - milliseconds(100));
  if (Call.Fence != 0) {
    ++Sent;
    EngineStates[Name].InFlight.insert(Call.Fence);
  }
  IncarnationNumber Incarnation = EngineStates[Name].Incarnation;
  at(Delay, [this, Host, Call, Lost, Incarnation] {
    WorldEngine &E = EngineStates[Call.Backend.Value];
    if (Call.Fence != 0) {
      auto InFlight = E.InFlight.find(Call.Fence);
      if (InFlight != E.InFlight.end())
        E.InFlight.erase(InFlight);
    }
    if (Lost || !E.Up || E.Incarnation != Incarnation)
      return; // The call runs into the issuer's timeout.
    HttpReply Reply = answer(Call.Backend.Value, Call);
    if (!Quiet && chance(Faults.LossShare))
      return;
    Duration Back = between(Rng, milliseconds(1), milliseconds(80));
    if (!Quiet && chance(Faults.LateShare))
      Back = between(Rng, milliseconds(80), seconds(5));
    at(Back, [this, Host, Call, Reply] {
      inHost(Host, [this, Host, Call, Reply] {
        OrderEffects Out;
        onOrderReply(HostStates[Host].Issuer, Call.Call, Reply, Now, Out);
      });
    });
  });
}

//===----------------------------------------------------------------------===//
// Engines
//===----------------------------------------------------------------------===//

void OrderWorld::announce(const std::string &Name) {
  const WorldEngine &E = EngineStates[Name];
  BackendRecord R;
  R.Id = BackendId(Name);
  R.Incarnation = E.Incarnation;
  R.Address = "127.0.0.1:1";
  R.DataCentre = DataCentreId(Name < "e3" ? "north" : "south");
  for (const std::string &Model : E.Models)
    R.Models.emplace_back(Model);
  R.ChecksFence = E.Checks || Name != "e1";
  at(between(Rng, milliseconds(50), RegistryLag), [this, Name, R] {
    const WorldEngine &Newest = EngineStates[Name];
    BackendRecord Known = R;
    // A later announcement may have arrived first.
    if (Newest.Incarnation == R.Incarnation) {
      Known.Models.clear();
      for (const std::string &Model : Newest.Models)
        Known.Models.emplace_back(Model);
    }
    auto Found = Registry.find(Name);
    if (Newest.Up && !Newest.Silent &&
        (Found == Registry.end() || Found->second.Incarnation <= R.Incarnation))
      Registry[Name] = Known;
  });
}

void OrderWorld::stopAnnouncing(const std::string &Name) {
  EngineStates[Name].Silent = true;
  at(GoneAfter, [this, Name] {
    if (EngineStates[Name].Silent)
      Registry.erase(Name);
  });
  // Shorter than LoadLimit, after which the share of a load is freed.
  at(between(Rng, seconds(1), Config.LoadLimit * 3 / 4), [this, Name] {
    EngineStates[Name].Silent = false;
    announce(Name);
  });
}

void OrderWorld::crashEngine(const std::string &Name) {
  WorldEngine &E = EngineStates[Name];
  if (!E.Up)
    return;
  bool Checks = E.Checks;
  E.Up = false;
  E.Loading.clear();
  EngineLosses.push_back(Now);
  at(GoneAfter, [this, Name] {
    if (!EngineStates[Name].Up)
      Registry.erase(Name);
  });
  Duration Away = chance(0.5) ? between(Rng, milliseconds(300), seconds(2))
                              : between(Rng, seconds(3), seconds(40));
  if (chance(0.2))
    Away = hours(1);
  at(Away, [this, Name, Checks] {
    WorldEngine &Back = EngineStates[Name];
    Back.Up = true;
    ++Back.Incarnation;
    Back.Fence = 0;
    Back.Checks = Checks;
    Back.LastEffect = 0;
    Back.InFlight.clear();
    Back.Models = {Name < "e4" ? "atlas" : "boreas"};
    announce(Name);
  });
}

HttpReply OrderWorld::answer(const std::string &Name, const OrderCall &Call) {
  if (Call.Fence != 0)
    return order(Name, *parseJson(Call.Request.Body, JsonLimits()));
  const WorldEngine &E = EngineStates[Name];
  Json State = {{"fence", E.Fence},
                {"models", E.Models},
                {"role", E.Role},
                {"incarnation", E.Incarnation},
                {"loading", nullptr}};
  if (!E.Loading.empty())
    State["loading"] = E.Loading;
  return {200, {}, State.dump()};
}

HttpReply OrderWorld::order(const std::string &Name, const Json &Body) {
  WorldEngine &E = EngineStates[Name];
  auto Fence = Body["fence"].get<std::uint64_t>();
  if (E.Checks && Fence < E.Fence) {
    ++Fenced;
    return {409, {}, Json({{"fence", E.Fence}}).dump()};
  }
  if (E.Checks)
    E.Fence = Fence;
  effect(Name, Body);
  bool Running = E.Loading == Body["name"].get<std::string>();
  const char *State = Running ? "running" : "done";
  return {Running ? 202 : 200, {}, Json({{"state", State}}).dump()};
}

void OrderWorld::effect(const std::string &Name, const Json &Body) {
  WorldEngine &E = EngineStates[Name];
  auto Fence = Body["fence"].get<std::uint64_t>();
  if (Fence < E.LastEffect)
    reportViolation("an old order took effect at " + Name + ": " +
                    std::to_string(Fence) + " after " +
                    std::to_string(E.LastEffect));
  E.LastEffect = std::max(E.LastEffect, Fence);
  auto Kind = Body["order"].get<std::string>();
  auto Model = Body["name"].get<std::string>();
  if (Kind == "role") {
    E.Role = Model;
  } else if (Kind == "load") {
    if (E.Models.count(Model) || E.Loading == Model)
      return;
    if (!E.Loading.empty())
      reportViolation("two loads at " + Name);
    E.Loading = Model;
    E.Hangs = !Quiet && chance(Faults.Hangs);
    E.LoadedAt = Now + between(Rng, seconds(1), seconds(12));
  } else {
    if (E.Loading == Model)
      E.Loading.clear();
    if (E.Models.erase(Model) == 0)
      return;
    bool Elsewhere = false;
    for (const auto &Entry : EngineStates)
      Elsewhere |= Entry.second.Up && Entry.second.Models.count(Model) > 0;
    // The copy that allowed the unload may have been at an engine that failed
    // meanwhile.
    bool Loss =
        !EngineLosses.empty() &&
        Now - EngineLosses.back() < Config.MaxDeliveryTime + seconds(25);
    // The documents may not have wanted the model when the order was sent.
    bool Edited = Now - LastEdit < Config.MaxDeliveryTime + seconds(1);
    const WantedModel *W = modelOf(Wanted, ModelName(Model));
    // A copy that was loaded just now has not served any request.
    bool Fresh = E.LoadedAt <= Now && Now - E.LoadedAt < milliseconds(500);
    if (!Elsewhere && !Loss && !Edited && !Fresh && W && W->Replicas > 0)
      reportViolation("the last copy of " + Model + " was unloaded at " + Name);
    announce(Name);
  }
}

void OrderWorld::finishLoads() {
  for (auto &[Name, E] : EngineStates) {
    if (!E.Up || E.Loading.empty() || E.Hangs || Now < E.LoadedAt)
      continue;
    E.Models.insert(E.Loading);
    E.Loading.clear();
    announce(Name);
  }
}

//===----------------------------------------------------------------------===//
// Faults and invariants
//===----------------------------------------------------------------------===//

void OrderWorld::edit() {
  ++Revision;
  LastEdit = Now;
  auto Count = [&] { return static_cast<std::uint32_t>(below(Rng, 4)); };
  want(Wanted, "atlas", 1 + Count(), chance(0.5) ? "atlas-crew" : "atlas-2");
  want(Wanted, "boreas", Count(), chance(0.5) ? "boreas-x" : "");
  want(Wanted, "ceres", Count(), "");
}

void OrderWorld::injectFaults() {
  at(seconds(1), [this] { injectFaults(); });
  if (Quiet)
    return;
  if (chance(Faults.LeaderChanges))
    changeLeader();
  if (chance(Faults.Freezes))
    freezeLeader();
  if (chance(Faults.EngineCrashes))
    crashEngine("e" + std::to_string(below(Rng, Engines)));
  if (chance(Faults.AnnouncementStops))
    stopAnnouncing("e" + std::to_string(below(Rng, Engines)));
  if (chance(Faults.Edits))
    edit();
  if (chance(Faults.DemandChanges)) {
    for (const auto &Entry : Wanted)
      Demand[Entry.first] = {chance(0.5) ? 100U : 0U, 2};
  }
}

void OrderWorld::check() {
  std::size_t Loads = 0;
  for (const auto &[Name, E] : EngineStates) {
    Loads += E.Up && !E.Loading.empty() ? 1 : 0;
    std::set<std::uint64_t> Fences(E.InFlight.begin(), E.InFlight.end());
    if (!E.Checks && Fences.size() > 1)
      reportViolation("two orders in flight to " + Name);
  }
  if (Loads > Config.Loads)
    reportViolation("loads under way: " + std::to_string(Loads));
  if (openLoads(ReferenceBook) > Config.Loads)
    reportViolation("the book has more open loads than allowed");
}

} // namespace pimento::testing
