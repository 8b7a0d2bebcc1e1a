#include "World.h"

#include "base/Random.h"

namespace pimento::test {

namespace {

constexpr Duration RunTime = milliseconds(800);
/// Entry hosts of the simulation.
const std::vector<HostId> Entries = {HostId("entry-1"), HostId("entry-2"),
                                     HostId("entry-3")};

HostId engineName(std::size_t Index) {
  return HostId("engine-" + std::to_string(Index));
}

std::uint64_t usedBy(const SimulatedNode &Engine) {
  std::uint64_t Used = 0;
  for (const auto &[Id, R] : Engine.Runs)
    Used += R.Tokens;
  return Used;
}

void answered(World &W, const AttemptId &Id) {
  W.Open.erase(Id);
  ++W.Answers[Id];
}

void executeEffects(World &W, SimulatedNode &From, const EntryEffects &Out) {
  for (const Outbound &M : Out.Messages)
    W.P.send(From.Name, M.To, M.Content);
  for (const EntryAnswer &A : Out.Answers) {
    if (A.Result != Code::Ok) {
      ++W.Refused;
      answered(W, A.Attempt);
      continue;
    }
    bool Leader = true;
    for (const GrantedEngine &G : A.Given.Engines) {
      W.P.send(From.Name, HostId(G.Backend.Value),
               Generate{A.Attempt, G.Tokens, Leader});
      Leader = false;
    }
  }
}

/// Drops the effects of a host that no longer holds the lease, for example one
/// that resumes after a freeze.
void executeEffects(World &W, SimulatedNode &From, const CellEffects &Out) {
  if (W.Holder != From.Name || From.Cell->Config.Epoch != W.Epoch)
    return;
  for (const Outbound &M : Out.Messages)
    W.P.send(From.Name, M.To, M.Content);
  for (const CancelOrder &Order : Out.Cancels)
    W.P.send(From.Name, HostId(Order.Backend.Value), Free{Order.Attempt});
  for (const BackendId &Id : Out.Sweeps)
    W.P.send(From.Name, HostId(Id.Value), MemoryQuery{});
}

struct ToScheduler {
  CellState &S;
  HostId From;
  TimePoint Now;
  CellEffects &Out;

  void operator()(const GrantRequest &M) {
    onGrantRequest(S, From, M, Now, Out);
  }
  void operator()(const Release &M) { onRelease(S, From, M, Now, Out); }
  void operator()(const Withdraw &M) { onWithdraw(S, From, M, Now, Out); }
  void operator()(const RenewGrants &M) { onRenew(S, From, M, Now, Out); }
  void operator()(const Register &M) { onRegister(S, From, M, Now, Out); }
  void operator()(const Progress &M) { onProgress(S, From, M, Now, Out); }
  template <class T> void operator()(const T &) {}
};

struct ToEntry {
  EntryState &E;
  HostId From;
  TimePoint Now;
  EntryEffects &Out;

  void operator()(const Grant &M) { onGrant(E, From, M, Now, Out); }
  void operator()(const Refusal &M) { onRefusal(E, From, M, Now, Out); }
  void operator()(const RegisterRequest &M) {
    onRegisterRequest(E, From, M, Now, Out);
  }
  template <class T> void operator()(const T &) {}
};

void runAtEngine(World &W, SimulatedNode &E, const HostId &From,
                 const Generate &G, TimePoint Now) {
  if (E.Runs.count(G.Id) != 0 || E.Cancelled.count(G.Id) != 0)
    return;
  if (usedBy(E) + G.Tokens > W.Memory) {
    if (G.Leader)
      W.P.send(E.Name, From, Done{G.Id, false});
    return;
  }
  E.Runs[G.Id] = {G.Tokens, From, Now, G.Leader ? Now + RunTime : TimePoint()};
  if (!G.Leader)
    return;
  auto [Ran, New] = W.RanAt.emplace(G.Id, E.Name);
  if (!New && Ran->second != E.Name)
    ++W.RanAtTwoEngines;
}

void tickEngine(World &W, SimulatedNode &E, TimePoint Now) {
  for (auto It = E.Runs.begin(); It != E.Runs.end();) {
    const Running &R = It->second;
    if (R.End == TimePoint() || Now < R.End) {
      ++It;
      continue;
    }
    W.P.send(E.Name, R.Owner, Done{It->first, true});
    // Late copies of the message must not start the attempt again.
    E.Cancelled.insert(It->first);
    It = E.Runs.erase(It);
  }
}

void endAtEntry(World &W, SimulatedNode &N, const Done &D, TimePoint Now) {
  if (N.Entry->Where.count(D.Id) == 0)
    return;
  Release R;
  R.Attempt = D.Id;
  R.End = D.Finished ? AttemptEnd::Finished : AttemptEnd::Failed;
  R.OutputTokens = D.Finished ? 50 : 0;
  EntryEffects Out;
  endAttempt(*N.Entry, R, Now, Out);
  W.Finished += D.Finished ? 1 : 0;
  answered(W, D.Id);
  executeEffects(W, N, Out);
}

void onMessage(World &W, SimulatedNode &N, const HostId &From,
               const SimulatedMessage &Content, TimePoint Now) {
  if (const auto *M = std::get_if<Message>(&Content)) {
    if (N.Cell) {
      CellEffects Out;
      std::visit(ToScheduler{*N.Cell, From, Now, Out}, *M);
      executeEffects(W, N, Out);
    } else if (N.Entry) {
      EntryEffects Out;
      std::visit(ToEntry{*N.Entry, From, Now, Out}, *M);
      executeEffects(W, N, Out);
    }
    return;
  }
  if (const auto *G = std::get_if<Generate>(&Content); G && N.IsEngine)
    runAtEngine(W, N, From, *G, Now);
  if (const auto *D = std::get_if<Done>(&Content); D && N.Entry)
    endAtEntry(W, N, *D, Now);
  if (const auto *F = std::get_if<Free>(&Content); F && N.IsEngine) {
    auto Found = N.Runs.find(F->Id);
    if (Found != N.Runs.end()) {
      W.P.send(N.Name, Found->second.Owner, Done{F->Id, false});
      N.Runs.erase(Found);
    }
    N.Cancelled.insert(F->Id);
    W.P.send(N.Name, From, Freed{F->Id});
  }
  if (std::holds_alternative<MemoryQuery>(Content) && N.IsEngine) {
    EngineMemoryReport Report;
    Report.Incarnation = N.Incarnation;
    for (const auto &[Id, R] : N.Runs)
      Report.Held.push_back(
          {HeldKind::Attempt, Id, "", R.Tokens, Now - R.Since});
    W.P.send(N.Name, From, Report);
  }
  if (!N.Cell)
    return;
  CellEffects Out;
  if (const auto *F = std::get_if<Freed>(&Content))
    onCancelled(*N.Cell, {BackendId(From.Value), F->Id, ""}, Now, Out);
  if (const auto *T = std::get_if<EngineMemoryReport>(&Content))
    onMemoryReport(*N.Cell, BackendId(From.Value), T->Incarnation, T->Held, Now,
                   Out);
  executeEffects(W, N, Out);
}

void onTick(World &W, SimulatedNode &N, TimePoint Now) {
  if (N.IsEngine)
    tickEngine(W, N, Now);
  if (N.Entry) {
    EntryEffects Out;
    tick(*N.Entry, Now, Out);
    executeEffects(W, N, Out);
  }
  if (N.Cell) {
    CellEffects Out;
    tick(*N.Cell, Now, Out);
    executeEffects(W, N, Out);
  }
}

} // namespace

void startEntryHost(World &W, const HostId &Name,
                    IncarnationNumber Incarnation) {
  EntryConfig Config;
  Config.Self = Name;
  Config.Incarnation = Incarnation;
  Config.Hi = std::hash<std::string>()(Name.Value) + Incarnation;
  SimulatedNode N;
  N.Name = Name;
  N.Entry = startEntry(Config);
  SimulatedNode &Added = W.P.add(Name, std::move(N));
  EntryEffects Out;
  setHolder(*Added.Entry, CellId{}, W.Holder, W.Epoch, W.P.now(), Out);
  executeEffects(W, Added, Out);
}

void handOver(World &W, const HostId &Name, Duration RecoveryWait) {
  W.Holder = Name;
  ++W.Epoch;
  SimulatedNode N;
  N.Name = Name;
  CellConfig Config;
  Config.Epoch = W.Epoch;
  Config.Seed = W.Epoch;
  Config.RecoveryWait = RecoveryWait;
  N.Cell = startCell(Config, W.P.now());
  SimulatedNode &Added = W.P.add(Name, std::move(N));
  CellEffects Out;
  for (std::size_t I = 0; I < W.EngineCount; ++I) {
    const SimulatedNode &E = W.P.node(engineName(I));
    setBackend(*Added.Cell, engineRecord(E.Name.Value, W.Memory, E.Incarnation),
               W.P.now(), Out);
  }
  executeEffects(W, Added, Out);
  for (const HostId &Entry : Entries)
    W.P.perform(Entry, milliseconds(50),
                [&W, Name, Epoch = W.Epoch](SimulatedNode &E, TimePoint Now) {
                  EntryEffects Effects;
                  setHolder(*E.Entry, CellId{}, Name, Epoch, Now, Effects);
                  executeEffects(W, E, Effects);
                });
}

void startWorld(World &W) {
  W.P.TickInterval = milliseconds(100);
  W.P.OnMessage = [&W](SimulatedNode &N, const HostId &From,
                       const SimulatedMessage &Content,
                       TimePoint Now) { onMessage(W, N, From, Content, Now); };
  W.P.OnTick = [&W](SimulatedNode &N, TimePoint Now) { onTick(W, N, Now); };
  for (std::size_t I = 0; I < W.EngineCount; ++I) {
    SimulatedNode E;
    E.Name = engineName(I);
    E.IsEngine = true;
    W.P.add(E.Name, E);
  }
  for (const HostId &Entry : Entries)
    startEntryHost(W, Entry, /*Incarnation=*/1);
  handOver(W, HostId("scheduler-1"), Duration::zero());
}

namespace {

/// Ends a request whose time limit has passed: its entry host answers the
/// caller and withdraws it. This also covers lost messages to and from engines.
void expireRequest(World &W, SimulatedNode &E, const AttemptId &Id,
                   TimePoint Now) {
  if (W.Open.count(Id) == 0)
    return;
  EntryEffects Out;
  withdrawGrantRequest(*E.Entry, Id, Now, Out);
  ++W.Late;
  answered(W, Id);
  executeEffects(W, E, Out);
}

} // namespace

void request(World &W, const HostId &Entry, std::uint64_t Prompt,
             Duration Limit) {
  if (!W.P.running(Entry))
    return;
  W.P.perform(Entry, Duration::zero(),
              [&W, Prompt, Limit](SimulatedNode &E, TimePoint Now) {
                GrantRequest A = makeGrantRequest(E.Next++, Prompt);
                A.Attempt.Request.Hi = E.Entry->Config.Hi;
                A.TimeLeft = Limit;
                W.Open.insert(A.Attempt);
                W.P.perform(
                    E.Name, Limit,
                    [&W, Id = A.Attempt](SimulatedNode &Host, TimePoint At) {
                      expireRequest(W, Host, Id, At);
                    });
                EntryEffects Out;
                startGrantRequest(*E.Entry, A, Now, Out);
                executeEffects(W, E, Out);
              });
}

std::uint64_t heldAtEngines(World &W) {
  std::uint64_t Held = 0;
  for (std::size_t I = 0; I < W.EngineCount; ++I)
    Held += usedBy(W.P.node(engineName(I)));
  return Held;
}

std::uint64_t heldInLedger(World &W) {
  return cellFigures(*W.P.node(W.Holder).Cell).HeldTokens;
}

} // namespace pimento::test
