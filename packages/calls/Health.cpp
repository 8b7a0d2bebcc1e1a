#include "calls/Health.h"

#include <algorithm>

namespace pimento::calls {

namespace {

bool isEjected(const ServerHealth &Health, TimePoint Now) {
  return Health.EjectedUntil > Now;
}

/// Returns the health of a server; the default if only an earlier incarnation
/// is known.
const ServerHealth &healthOf(HealthSearch &Search, const PlainServer &Server) {
  static const ServerHealth Unknown;
  const ServerHealth *Known = Search.find(Server.Backend);
  return Known != nullptr && Known->Incarnation == Server.Incarnation ? *Known
                                                                      : Unknown;
}

struct Candidate {
  const PlainServer *Server;
  const ServerHealth *Health;
};

std::vector<Candidate> candidates(const HealthState &State,
                                  const std::vector<PlainServer> &Servers,
                                  const std::vector<BackendId> &Avoid) {
  std::vector<Candidate> Found;
  HealthSearch Search(State);
  for (const PlainServer &Server : Servers) {
    if (std::find(Avoid.begin(), Avoid.end(), Server.Backend) != Avoid.end())
      continue;
    Found.push_back({&Server, &healthOf(Search, Server)});
  }
  if (!Found.empty() || Avoid.empty())
    return Found;
  return candidates(State, Servers, {});
}

std::size_t ejectedCount(const HealthState &State,
                         const std::vector<PlainServer> &Servers,
                         TimePoint Now) {
  std::size_t Count = 0;
  HealthSearch Search(State);
  for (const PlainServer &Server : Servers) {
    if (isEjected(healthOf(Search, Server), Now))
      ++Count;
  }
  return Count;
}

/// Draws two servers at random and returns the less loaded one.
const PlainServer *pickLessLoaded(const std::vector<Candidate> &Healthy,
                                  Random &Rng) {
  const Candidate &A = Healthy[below(Rng, Healthy.size())];
  const Candidate &B = Healthy[below(Rng, Healthy.size())];
  return A.Health->InFlight <= B.Health->InFlight ? A.Server : B.Server;
}

/// Returns the server whose ejection ends first.
const PlainServer *leastEjected(const std::vector<Candidate> &All) {
  auto Sooner = [](const Candidate &A, const Candidate &B) {
    return A.Health->EjectedUntil < B.Health->EjectedUntil;
  };
  return std::min_element(All.begin(), All.end(), Sooner)->Server;
}

void eject(const HealthSettings &Settings, ServerHealth &Health,
           TimePoint Now) {
  constexpr std::uint32_t MaxDoublings = 16;
  Duration Time = Settings.BaseEjection;
  for (std::uint32_t I = 0; I < std::min(Health.Ejections, MaxDoublings); ++I)
    Time = std::min(Time * 2, Settings.MaxEjection);
  Health.EjectedUntil = Now + Time;
  Health.IsHalfOpen = true;
  ++Health.Ejections;
}

/// Bounds the table: once it is large, removes servers without calls in flight
/// that were not used for KeptTime.
void evictUnused(HealthState &State, TimePoint Now) {
  constexpr std::size_t KeptServers = 4096;
  constexpr Duration KeptTime = minutes(10);
  if (State.Servers.size() <= KeptServers)
    return;
  for (auto It = State.Servers.begin(); It != State.Servers.end();) {
    bool Old = It->second.InFlight == 0 && It->second.LastUsed + KeptTime < Now;
    It = Old ? State.Servers.erase(It) : std::next(It);
  }
}

} // namespace

const ServerHealth *HealthSearch::find(const BackendId &Server) {
  // One step at most; an entry that is further away is searched for.
  if (Next == Servers.end() || Next->first != Server)
    Next = Servers.lower_bound(Server);
  if (Next == Servers.end() || Next->first != Server)
    return nullptr;
  const ServerHealth *Health = &Next->second;
  ++Next;
  return Health;
}

const char *toString(ChoiceReason Reason) {
  switch (Reason) {
  case ChoiceReason::LessLoaded:
    return "less loaded of two healthy servers";
  case ChoiceReason::OnlyOne:
    return "only healthy server";
  case ChoiceReason::HalfOpenProbe:
    return "probe of a half-open server";
  case ChoiceReason::AllEjected:
    return "no healthy server; this server's ejection ends first";
  case ChoiceReason::None:
    break;
  }
  return "no server is available";
}

ServerChoice chooseServer(const HealthState &State,
                          const std::vector<PlainServer> &Servers,
                          const std::vector<BackendId> &Avoid, Random &Rng,
                          TimePoint Now) {
  ServerChoice Choice;
  std::vector<Candidate> All = candidates(State, Servers, Avoid);
  Choice.Candidates = All.size();
  if (All.empty())
    return Choice;
  std::vector<Candidate> Healthy;
  const PlainServer *HalfOpen = nullptr;
  for (const Candidate &C : All) {
    if (isEjected(*C.Health, Now))
      continue;
    if (!C.Health->IsHalfOpen)
      Healthy.push_back(C);
    else if (C.Health->InFlight == 0)
      HalfOpen = C.Server;
  }
  Choice.Healthy = Healthy.size();
  if (HalfOpen != nullptr) {
    Choice.Server = HalfOpen;
    Choice.Reason = ChoiceReason::HalfOpenProbe;
  } else if (Healthy.empty()) {
    Choice.Server = leastEjected(All);
    Choice.Reason = ChoiceReason::AllEjected;
  } else {
    Choice.Server = pickLessLoaded(Healthy, Rng);
    Choice.Reason =
        Healthy.size() == 1 ? ChoiceReason::OnlyOne : ChoiceReason::LessLoaded;
  }
  return Choice;
}

void onCallStarted(HealthState &State, const PlainServer &Server,
                   TimePoint Now) {
  evictUnused(State, Now);
  ServerHealth &Health = State.Servers[Server.Backend];
  if (Health.Incarnation != Server.Incarnation) {
    std::uint32_t InFlight = Health.InFlight;
    Health = ServerHealth();
    Health.Incarnation = Server.Incarnation;
    Health.InFlight = InFlight;
  }
  ++Health.InFlight;
  Health.LastUsed = Now;
}

void onCallEnded(HealthState &State, const BackendId &Server, bool Succeeded,
                 const std::vector<PlainServer> &Servers, TimePoint Now) {
  onCallDropped(State, Server);
  recordOutcome(State, Server, Succeeded, Servers, Now);
}

void recordOutcome(HealthState &State, const BackendId &Server, bool Succeeded,
                   const std::vector<PlainServer> &Servers, TimePoint Now) {
  auto Found = State.Servers.find(Server);
  if (Found == State.Servers.end())
    return;
  ServerHealth &Health = Found->second;
  const HealthSettings &Settings = State.Settings;
  Health.FailureRate +=
      Settings.LearningRate * ((Succeeded ? 0.0 : 1.0) - Health.FailureRate);
  if (Succeeded && Health.IsHalfOpen && !isEjected(Health, Now)) {
    Health.IsHalfOpen = false;
    Health.Ejections = 0;
    Health.FailureRate = 0;
    return;
  }
  bool Failing = Health.IsHalfOpen || Health.FailureRate >= Settings.EjectAt;
  if (Succeeded || !Failing || isEjected(Health, Now))
    return;
  if (2 * (ejectedCount(State, Servers, Now) + 1) <= Servers.size())
    eject(Settings, Health, Now);
}

void onCallDropped(HealthState &State, const BackendId &Server) {
  auto Found = State.Servers.find(Server);
  if (Found != State.Servers.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

} // namespace pimento::calls
