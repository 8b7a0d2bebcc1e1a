#include "SimulationInternal.h"

#include <algorithm>

namespace pimento::bench {

namespace {

/// A refusal within this time counts as refused at once; a later one means that
/// the request had been admitted to the queue.
constexpr Duration AdmissionTime = milliseconds(5);

HostId hostName(std::size_t Index) {
  return HostId("host-" + std::to_string(Index));
}

bool lost(Simulation &M) { return M.Loss > 0 && uniform(M.R) < M.Loss; }

void deliverToHost(Simulation &M, const Outbound &Out);
void executeEffects(Simulation &M, const CellEffects &Out, std::uint64_t Epoch);
void executeEffects(Simulation &M, std::size_t HostIndex,
                    const EntryEffects &Out);

/// Runs \p Input on the scheduler; drops it if the scheduler is dead and defers
/// it while the scheduler is frozen.
template <class F> void schedulerInput(Simulation &M, F Input) {
  if (!M.Cell)
    return;
  auto Handle = [&M, Input] {
    CellEffects Out;
    Input(*M.Cell, Out);
    M.Result.MaxWaiting =
        std::max<std::uint64_t>(M.Result.MaxWaiting, M.Cell->Queue.Asks.size());
    executeEffects(M, Out, M.Epoch);
  };
  if (M.Frozen)
    M.Thawing.push_back(Handle);
  else
    Handle();
}

struct SchedulerMessage {
  Simulation &M;
  HostId From;
  CellState &S;
  CellEffects &Out;

  void operator()(const GrantRequest &A) {
    onGrantRequest(S, From, A, M.Now, Out);
  }
  void operator()(const Release &R) { onRelease(S, From, R, M.Now, Out); }
  void operator()(const Withdraw &W) { onWithdraw(S, From, W, M.Now, Out); }
  void operator()(const RenewGrants &R) { onRenew(S, From, R, M.Now, Out); }
  void operator()(const Register &R) { onRegister(S, From, R, M.Now, Out); }
  void operator()(const Progress &P) { onProgress(S, From, P, M.Now, Out); }
  template <class T> void operator()(const T &) {}
};

void deliverToScheduler(Simulation &M, const HostId &From,
                        const Outbound &Out) {
  if (lost(M))
    return;
  after(M, M.C.OneWay, [&M, From, Out] {
    if (Out.To != M.Holder)
      return;
    schedulerInput(M, [&M, From, Out](CellState &S, CellEffects &Effects) {
      std::visit(SchedulerMessage{M, From, S, Effects}, Out.Content);
    });
  });
}

void cancelAtEngine(Simulation &M, const CancelOrder &Order) {
  ++M.Result.Cancels;
  after(M, M.C.OneWay, [&M, Order] {
    for (std::size_t I = 0; I < M.Engines.size(); ++I) {
      EngineModel &E = M.Engines[I];
      if (E.Id != Order.Backend || !E.Alive)
        continue;
      dropJob(E, Order.Attempt);
      kick(M, I);
      after(M, M.C.OneWay, [&M, Order] {
        schedulerInput(M, [&M, Order](CellState &S, CellEffects &Out) {
          onCancelled(S, Order, M.Now, Out);
        });
      });
    }
  });
}

HeldMemory heldMemory(const Job &J) {
  HeldMemory H;
  H.Kind = J.Leader ? HeldKind::Attempt : HeldKind::Reservation;
  H.Attempt = J.Id;
  H.Tokens = J.Memory;
  H.Age = seconds(2);
  return H;
}

void sweepEngine(Simulation &M, const BackendId &Id) {
  after(M, M.C.OneWay, [&M, Id] {
    for (const EngineModel &E : M.Engines) {
      if (E.Id != Id || !E.Alive)
        continue;
      std::vector<HeldMemory> Held;
      for (const Job &J : E.Running)
        Held.push_back(heldMemory(J));
      for (const Job &J : E.Waiting)
        Held.push_back(heldMemory(J));
      after(M, M.C.OneWay, [&M, Id, Held, Incarnation = E.Incarnation] {
        schedulerInput(
            M, [&M, Id, Held, Incarnation](CellState &S, CellEffects &Out) {
              onMemoryReport(S, Id, Incarnation, Held, M.Now, Out);
            });
      });
    }
  });
}

void executeEffects(Simulation &M, const CellEffects &Out,
                    std::uint64_t Epoch) {
  if (Epoch != M.Epoch)
    return; // The holder's lease has expired.
  for (const Outbound &Message : Out.Messages)
    deliverToHost(M, Message);
  for (const CancelOrder &Order : Out.Cancels)
    cancelAtEngine(M, Order);
  for (const BackendId &Id : Out.Sweeps)
    sweepEngine(M, Id);
}

struct HostMessage {
  Simulation &M;
  HostId From;
  EntryState &E;
  EntryEffects &Out;

  void operator()(const Grant &G) { onGrant(E, From, G, M.Now, Out); }
  void operator()(const Refusal &R) { onRefusal(E, From, R, M.Now, Out); }
  void operator()(const RegisterRequest &R) {
    onRegisterRequest(E, From, R, M.Now, Out);
  }
  template <class T> void operator()(const T &) {}
};

void deliverToHost(Simulation &M, const Outbound &Message) {
  if (lost(M))
    return;
  after(M, M.C.OneWay, [&M, Message, From = M.Holder] {
    for (std::size_t I = 0; I < M.Hosts.size(); ++I) {
      if (hostName(I) != Message.To || !M.Hosts[I].Alive)
        continue;
      EntryEffects Out;
      std::visit(HostMessage{M, From, M.Hosts[I].State, Out}, Message.Content);
      executeEffects(M, I, Out);
    }
  });
}

void takeAnswer(Simulation &M, const EntryAnswer &Answer) {
  auto Found = M.ByAttempt.find(Answer.Attempt);
  const std::size_t Index = Found->second;
  Request &Q = M.Requests[Index];
  if (!Q.Open || Q.Attempt != Answer.Attempt)
    return;
  if (Answer.Result != Code::Ok) {
    const bool AtOnce = M.Now - M.Arrivals[Index].At < AdmissionTime;
    finishRequest(M, Index, AtOnce ? RequestEnd::Refused : RequestEnd::Dropped,
                  Answer.Result);
    return;
  }
  std::vector<std::size_t> Engines;
  for (const GrantedEngine &G : Answer.Given.Engines)
    for (std::size_t I = 0; I < M.Engines.size(); ++I)
      if (M.Engines[I].Id == G.Backend)
        Engines.push_back(I);
  sendToEngines(M, Index, Engines, Answer.Given.Priority);
}

void executeEffects(Simulation &M, std::size_t HostIndex,
                    const EntryEffects &Out) {
  for (const Outbound &Message : Out.Messages)
    deliverToScheduler(M, hostName(HostIndex), Message);
  for (const EntryAnswer &Answer : Out.Answers)
    takeAnswer(M, Answer);
}

void pollProgress(Simulation &M, Host &H) {
  for (std::size_t Index : H.Active) {
    const Request &Q = M.Requests[Index];
    if (!Q.Running)
      continue;
    const EngineModel &E = M.Engines[Q.Engines.front()];
    if (!E.Alive || E.Silent)
      continue;
    for (const Job &J : E.Running)
      if (J.Id == Q.Attempt)
        noteProgress(H.State, Q.Attempt,
                     static_cast<std::uint32_t>(J.PromptTokens - J.PrefillLeft),
                     J.Generated);
  }
}

void tickHost(Simulation &M, std::size_t Index) {
  after(M, EntryTickInterval, [&M, Index] { tickHost(M, Index); });
  Host &H = M.Hosts[Index];
  if (!H.Alive)
    return;
  pollProgress(M, H);
  EntryEffects Out;
  tick(H.State, M.Now, Out);
  executeEffects(M, Index, Out);
}

void tickScheduler(Simulation &M, std::uint64_t Epoch) {
  if (M.Epoch != Epoch || !M.Cell)
    return;
  after(M, TickInterval, [&M, Epoch] { tickScheduler(M, Epoch); });
  if (M.Frozen)
    return;
  schedulerInput(M,
                 [&M](CellState &S, CellEffects &Out) { tick(S, M.Now, Out); });
}

} // namespace

void startHost(Simulation &M, std::size_t Index,
               IncarnationNumber Incarnation) {
  Host &H = M.Hosts[Index];
  EntryConfig Config;
  Config.Self = hostName(Index);
  Config.DataCentre = DataCentreId("dc-" + std::to_string(Index % 3));
  Config.Incarnation = Incarnation;
  Config.Hi = 1000 * Incarnation + Index;
  Config.Seed = M.C.Seed + Index;
  H.State = startEntry(Config);
  H.Alive = true;
  H.Next = 1;
  H.Active.clear();
  EntryEffects Out;
  setHolder(H.State, M.C.Cell.Cell, M.Cell ? M.Holder : HostId(), M.Epoch,
            M.Now, Out);
  executeEffects(M, Index, Out);
}

void startHolder(Simulation &M, Duration Wait) {
  CellConfig Config = M.C.Cell;
  Config.Epoch = M.Epoch;
  Config.Seed = M.C.Seed;
  Config.RecoveryWait = Wait;
  Config.LaneLoad = M.S.LaneLoad;
  Config.ShortMemoryShare = M.S.ShortMemoryShare;
  M.Holder = HostId("scheduler-" + std::to_string(M.Epoch));
  M.Cell = startCell(Config, M.Now);
  CellEffects Out;
  for (std::size_t I = 0; I < M.Engines.size(); ++I)
    if (M.Engines[I].Alive)
      setBackend(*M.Cell, recordOf(M, I), M.Now, Out);
  for (std::size_t I = 0; I < M.Hosts.size(); ++I)
    setHost(*M.Cell, hostName(I), DataCentreId("dc-" + std::to_string(I % 3)));
  executeEffects(M, Out, M.Epoch);
  tickScheduler(M, M.Epoch);
  for (std::size_t I = 0; I < M.Hosts.size(); ++I) {
    if (!M.Hosts[I].Alive)
      continue;
    EntryEffects Told;
    setHolder(M.Hosts[I].State, M.C.Cell.Cell, M.Holder, M.Epoch, M.Now, Told);
    executeEffects(M, I, Told);
  }
}

void loseHolder(Simulation &M, std::uint64_t Epoch) {
  if (M.Epoch != Epoch || M.Cell)
    return;
  for (std::size_t I = 0; I < M.Hosts.size(); ++I) {
    if (!M.Hosts[I].Alive)
      continue;
    EntryEffects Out;
    setHolder(M.Hosts[I].State, M.C.Cell.Cell, HostId(), Epoch, M.Now, Out);
    executeEffects(M, I, Out);
  }
}

void tellHostGone(Simulation &M, const HostId &Name) {
  schedulerInput(M, [&M, Name](CellState &S, CellEffects &Out) {
    onHostGone(S, Name, M.Now, Out);
  });
}

void startSystem(Simulation &M) {
  M.Hosts.resize(M.C.Hosts);
  M.NextEngine.resize(M.C.Hosts);
  for (std::size_t I = 0; I < M.Hosts.size(); ++I) {
    startHost(M, I, /*Incarnation=*/1);
    M.NextEngine[I] = I;
    if (M.C.Kind == Policy::Scheduler)
      tickHost(M, I);
  }
  if (M.C.Kind == Policy::Scheduler)
    startHolder(M, Duration::zero());
}

void askScheduler(Simulation &M, std::size_t Index) {
  const Arrival &A = M.Arrivals[Index];
  const SiteAccount &Account = M.S.Accounts[A.Account];
  Request &Q = M.Requests[Index];
  GrantRequest Message;
  Message.Attempt = Q.Attempt;
  Message.Account = Account.Name;
  Message.Model = ModelName(M.S.Name);
  Message.PromptTokens = A.PromptTokens;
  Message.OutputTokens = A.MaxOutput;
  Message.Weight = Account.Weight;
  Message.TimeLeft = A.At + A.Limit - M.Now;
  Message.Prefixes = A.Prefixes;
  Message.Cell = M.C.Cell.Cell;
  EntryEffects Out;
  startGrantRequest(M.Hosts[Q.Host].State, Message, M.Now, Out);
  executeEffects(M, Q.Host, Out);
}

void tellFinished(Simulation &M, std::size_t Index, const Job &J) {
  const Request &Q = M.Requests[Index];
  Release R;
  R.Attempt = Q.Attempt;
  R.End = AttemptEnd::Finished;
  R.PromptTokens = J.PromptTokens;
  R.CachedTokens = J.CachedTokens;
  R.OutputTokens = J.Generated;
  R.FirstToken = Q.FirstToken - Q.Sent;
  R.Total = M.Now - Q.Sent;
  EntryEffects Out;
  endAttempt(M.Hosts[Q.Host].State, R, M.Now, Out);
  executeEffects(M, Q.Host, Out);
}

void tellFailed(Simulation &M, std::size_t Index) {
  const Request &Q = M.Requests[Index];
  Release R;
  R.Attempt = Q.Attempt;
  R.End = AttemptEnd::Failed;
  EntryEffects Out;
  endAttempt(M.Hosts[Q.Host].State, R, M.Now, Out);
  executeEffects(M, Q.Host, Out);
}

void tellWithdrawn(Simulation &M, std::size_t Index) {
  const Request &Q = M.Requests[Index];
  EntryEffects Out;
  withdrawGrantRequest(M.Hosts[Q.Host].State, Q.Attempt, M.Now, Out);
  executeEffects(M, Q.Host, Out);
}

void reportToScheduler(Simulation &M, const LoadReport &R) {
  schedulerInput(
      M, [&M, R](CellState &S, CellEffects &Out) { onLoad(S, R, M.Now, Out); });
}

void announceEngine(Simulation &M, std::size_t Engine, BackendStatus Status) {
  BackendRecord Record = recordOf(M, Engine);
  Record.Status = Status;
  schedulerInput(M, [&M, Record](CellState &S, CellEffects &Out) {
    setBackend(S, Record, M.Now, Out);
  });
}

} // namespace pimento::bench
