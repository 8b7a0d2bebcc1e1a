#include "node/tests/VirtualSite.h"

#include "base/Json.h"
#include "base/Token.h"
#include "fakes/AnswerText.h"
#include "node/tests/VirtualBackends.h"

#include <boost/test/unit_test.hpp>

namespace pimento::test {

namespace {

constexpr Duration BackendTick = milliseconds(5);
constexpr Duration AnnounceInterval = milliseconds(500);
constexpr Duration NetworkDelay = microseconds(300);
constexpr std::size_t CallerWindow = 256U << 10U;
const std::string OperatorToken = "operator";
const std::string BackendToken = "backend";

HttpRequest authorized(HttpMethod Method, std::string Path, std::string Body,
                       const std::string &Token) {
  HttpRequest R;
  R.Method = Method;
  R.Path = std::move(Path);
  R.Body = std::move(Body);
  R.Headers.push_back({"Authorization", "Bearer " + Token});
  return R;
}

/// Applies a write to the state that a later start recovers from the disk.
void applyWrite(Recovered &Group, const DiskWrite &W) {
  if (W.Hard)
    Group.Hard = *W.Hard;
  if (W.NewSnapshot) {
    Group.Base = *W.NewSnapshot;
    std::vector<LogEntry> Kept;
    for (LogEntry &Entry : Group.Entries) {
      if (!W.ResetLog && Entry.Index > Group.Base.Index)
        Kept.push_back(std::move(Entry));
    }
    Group.Entries = std::move(Kept);
  }
  if (W.Entries.empty())
    return;
  while (!Group.Entries.empty() &&
         Group.Entries.back().Index >= W.Entries.front().Index)
    Group.Entries.pop_back();
  Group.Entries.insert(Group.Entries.end(), W.Entries.begin(), W.Entries.end());
}

} // namespace

VirtualSite::VirtualSite(SiteOptions TheOptions, std::uint64_t TheSeed)
    : P(TheSeed), Options(std::move(TheOptions)), Seed(TheSeed) {
  P.Faults.InOrder = true;
  P.TickInterval = NodeTickInterval;
  P.OnMessage = [this](HostSlot &Slot, const HostId &From, const Message &M,
                       TimePoint Now) {
    dispatch(Slot, Slot.Node->Self, PeerMessage{From, 0, M}, Now);
  };
  P.OnTick = [this](HostSlot &Slot, TimePoint Now) {
    dispatch(Slot, Slot.Node->Self, Tick(), Now);
  };
  P.AfterStep = [this] { checkAlways(); };
  for (std::size_t I = 0; I < Options.Engines; ++I) {
    auto Engine = std::make_unique<EngineBackend>(*this, Options.EngineTokens);
    Engine->Id = "engine-" + std::to_string(I + 1);
    Engine->Address = "10.0.1." + std::to_string(I + 1) + ":80";
    Engine->DataCentre = Options.Hosts[I % Options.Hosts.size()];
    Backends[Engine->Id] = std::move(Engine);
  }
  for (std::size_t I = 0; I < Options.Ledgers; ++I) {
    auto Ledger = std::make_unique<PlainBackend>(*this, "ledger");
    Ledger->Id = "ledger-" + std::to_string(I + 1);
    Ledger->Address = "10.0.2." + std::to_string(I + 1) + ":80";
    Ledger->DataCentre = Options.Hosts[I % Options.Hosts.size()];
    Backends[Ledger->Id] = std::move(Ledger);
  }
}

VirtualSite::~VirtualSite() = default;

//===----------------------------------------------------------------------===//
// Hosts
//===----------------------------------------------------------------------===//

Settings VirtualSite::settingsOf(const std::string &Name) const {
  Settings S;
  S.Host.Name = HostId(Name);
  S.Host.DataCentre = DataCentreId(Name);
  S.Security.OperatorTokenSha256 = sha256Hex(OperatorToken);
  S.Security.BackendTokenSha256 = sha256Hex(BackendToken);
  for (std::size_t I = 0; I < Options.Hosts.size(); ++I) {
    PeerSettings Peer;
    Peer.Name = HostId(Options.Hosts[I]);
    Peer.DataCentre = DataCentreId(Options.Hosts[I]);
    Peer.Voter = I < Options.Voters;
    if (Peer.Name == S.Host.Name && Peer.Voter)
      S.Host.DataFolder = "data";
    S.Peers.push_back(Peer);
  }
  if (Options.Adjust)
    Options.Adjust(S);
  return S;
}

void VirtualSite::startHost(const std::string &Name) {
  HostId Id(Name);
  NodeStart Start;
  Start.Config = settingsOf(Name);
  Start.Incarnation = ++NextIncarnation;
  Start.Seed = Seed * 1000 + Start.Incarnation;
  if (!Start.Config.Host.DataFolder.empty()) {
    DiskImage &Disk = Disks[Id];
    if (Disk.Incarnation == 0)
      Disk.Incarnation = 1000 + Start.Incarnation;
    Disk.Start = (((Disk.Start >> 32U) + 1) << 32U) | Start.Incarnation;
    Start.DiskIncarnation = Disk.Incarnation;
    Start.Start = Disk.Start;
    Start.Found = Disk.Groups;
  }
  HostSlot Slot;
  Slot.Incarnation = Start.Incarnation;
  bool First = true;
  for (const HostId &Known : P.names())
    First = First && Known != Id;
  TimePoint Now = First ? P.now() : P.clock(Id);
  Slot.Node = std::make_unique<NodeState>(makeNode(Start, Now));
  P.add(Id, std::move(Slot));
}

void VirtualSite::kill(const std::string &Name) {
  HostId Id(Name);
  P.crash(Id);
  for (const std::string &Other : Options.Hosts) {
    if (Other != Name && P.up(HostId(Other)) && !P.isCut(Id, HostId(Other)))
      P.perform(HostId(Other), NetworkDelay,
                [this, Id](HostSlot &S, TimePoint Now) {
                  dispatch(S, S.Node->Self, PeerLost{Id}, Now);
                });
  }
  for (auto &[Key, A] : Open) {
    if (Key.first == Id)
      A->HostDied = true;
  }
  for (auto &[BackendName, Backend] : Backends) {
    auto *Engine = dynamic_cast<EngineBackend *>(Backend.get());
    if (!Engine)
      continue;
    std::vector<UpstreamKey> Lost;
    for (const auto &[Key, Reader] : Engine->Readers) {
      if (Key.Host == Id)
        Lost.push_back(Key);
    }
    for (const UpstreamKey &Key : Lost)
      Engine->onDisconnect(Key, P.now());
  }
}

void VirtualSite::wipe(const std::string &Name) { Disks.erase(HostId(Name)); }

void VirtualSite::stop(const std::string &Name) {
  P.perform(HostId(Name), Duration::zero(),
            [this, Name](HostSlot &S, TimePoint Now) {
              dispatch(S, HostId(Name), StopRequested(), Now);
            });
}

NodeState &VirtualSite::node(const std::string &Name) {
  return *P.node(HostId(Name)).Node;
}

bool VirtualSite::serves(const std::string &Name) {
  HostId Id(Name);
  return P.running(Id) && isReady(node(Name), P.clock(Id));
}

std::string VirtualSite::leader() {
  for (const std::string &Name : Options.Hosts) {
    if (!P.running(HostId(Name)))
      continue;
    auto &Logs = node(Name).Control.Logs;
    auto Log = Logs.find(ControlGroup);
    if (Log != Logs.end() && holdsLease(Log->second, P.clock(HostId(Name))))
      return Name;
  }
  return "";
}

std::string VirtualSite::holder(const std::string &Viewer) {
  for (const CellAssignment &Cell : node(Viewer).Cells.Cells)
    return Cell.Holder.Value;
  return "";
}

bool VirtualSite::start() {
  for (const std::string &Name : Options.Hosts)
    startHost(Name);
  P.at(BackendTick, [this] { tickBackends(); });
  P.at(Duration::zero(), [this] { announceAll(); });
  auto AllServe = [this] {
    for (const std::string &Name : Options.Hosts) {
      if (!serves(Name))
        return false;
    }
    return true;
  };
  if (!P.runUntilDone(seconds(10), AllServe))
    return false;
  const std::string &Any = Options.Hosts.front();
  Answer &Model = put(Any, "text", modelDocument(1));
  Answer &Ledger = put(Any, "ledger", ledgerDocument(1));
  auto InService = [&] {
    if (Model.Status != 200 || Ledger.Status != 200)
      return false;
    for (const std::string &Name : Options.Hosts) {
      if (numberAt(Name, "ledger") != 1 || numberAt(Name, "text") != 1 ||
          holder(Name).empty())
        return false;
    }
    return true;
  };
  bool Started = P.runUntilDone(seconds(10), InService);
  P.runFor(seconds(1)); // Lets every backend server announce itself.
  return Started;
}

//===----------------------------------------------------------------------===//
// Events and effects
//===----------------------------------------------------------------------===//

void VirtualSite::dispatch(HostSlot &Slot, const HostId &Name, const Event &E,
                           TimePoint Now) {
  if (Slot.Exited)
    return;
  if (Record)
    recordEvent(Name, E);
  Effects Out = reduce(*Slot.Node, E, Now);
  for (Effect &Effect : Out) {
    if (Record)
      recordEffect(Name, Effect);
    executeEffect(Slot, Name, Effect, Now);
  }
}

void VirtualSite::executeEffect(HostSlot &Slot, const HostId &Name, Effect &E,
                                TimePoint Now) {
  if (auto *Peer = std::get_if<SendPeer>(&E)) {
    P.send(Name, Peer->To, Peer->Content);
  } else if (auto *Reply = std::get_if<calls::SendReply>(&E)) {
    finish(Name, Reply->Exchange, [&](Answer &A) {
      A.Status = Reply->Reply.Status;
      A.Body = Reply->Reply.Body;
    });
  } else if (auto *Start = std::get_if<calls::StartStream>(&E)) {
    auto Found = Open.find({Name, static_cast<std::uint64_t>(Start->Exchange)});
    if (Found != Open.end()) {
      Found->second->Streamed = true;
      Found->second->Status = Start->Head.Status;
    }
  } else if (auto *Bytes = std::get_if<calls::StreamBytes>(&E)) {
    auto Found = Open.find({Name, static_cast<std::uint64_t>(Bytes->Exchange)});
    if (Found != Open.end())
      Found->second->Body += Bytes->Bytes;
    ExchangeId Exchange = Bytes->Exchange;
    P.perform(Name, NetworkDelay,
              [this, Name, Exchange](HostSlot &S, TimePoint Then) {
                dispatch(S, Name, ExchangeDrained{Exchange, 0}, Then);
              });
  } else if (auto *End = std::get_if<calls::EndStream>(&E)) {
    finish(Name, End->Exchange,
           [&](Answer &A) { A.Complete = End->IsComplete; });
  } else if (auto *Close = std::get_if<calls::CloseExchange>(&E)) {
    finish(Name, Close->Exchange, [](Answer &) {});
  } else if (auto *Upstream = std::get_if<calls::OpenUpstream>(&E)) {
    openUpstream(Name, *Upstream, Now);
  } else if (auto *Abort = std::get_if<calls::AbortUpstream>(&E)) {
    UpstreamKey Key{Name, Slot.Incarnation, Abort->Upstream};
    P.at(NetworkDelay, [this, Key] {
      for (auto &[Id, Backend] : Backends)
        Backend->onDisconnect(Key, P.now());
    });
  } else if (auto *Write = std::get_if<WriteDisk>(&E)) {
    writeDisk(Slot, Name, Write->Write);
  } else if (auto *Leave = std::get_if<Exit>(&E)) {
    Slot.Exited = true;
    Slot.ExitStatus = Leave->Status;
    P.at(Duration::zero(), [this, Name] { kill(Name.Value); });
  }
}

/// Records the final answer of an exchange.
void VirtualSite::finish(const HostId &Host, ExchangeId Exchange,
                         const std::function<void(Answer &)> &Change) {
  auto Found = Open.find({Host, static_cast<std::uint64_t>(Exchange)});
  if (Found == Open.end())
    return;
  Answer &A = *Found->second;
  ++A.Finals;
  A.Answered = P.now();
  Change(A);
  P.perform(Host, NetworkDelay,
            [this, Host, Exchange](HostSlot &S, TimePoint Then) {
              dispatch(S, Host, ExchangeDrained{Exchange, 0}, Then);
            });
}

void VirtualSite::writeDisk(HostSlot &Slot, const HostId &Name,
                            const DiskWrite &Write) {
  std::uint64_t Incarnation = Slot.Incarnation;
  P.perform(Name, Options.SyncTime,
            [this, Name, Write, Incarnation](HostSlot &S, TimePoint Now) {
              if (S.Incarnation != Incarnation)
                return;
              applyWrite(Disks[Name].Groups[Write.Group], Write);
              dispatch(S, Name, DiskWritten{Write.Group, Write.Ticket}, Now);
            });
}

void VirtualSite::toHost(const UpstreamKey &Key, Duration Delay, Event E) {
  P.perform(Key.Host, Delay,
            [this, Key, E = std::move(E)](HostSlot &Slot, TimePoint Now) {
              if (Slot.Incarnation == Key.Incarnation)
                dispatch(Slot, Key.Host, E, Now);
            });
}

VirtualBackend *VirtualSite::backendAt(const std::string &Address) {
  for (auto &[Id, Backend] : Backends) {
    if (Backend->Address == Address)
      return Backend.get();
  }
  return nullptr;
}

void VirtualSite::openUpstream(const HostId &Name, const calls::OpenUpstream &E,
                               TimePoint Now) {
  UpstreamKey Key{Name, P.node(Name).Incarnation, E.Upstream};
  VirtualBackend *Backend = backendAt(E.Request.Address);
  UpstreamFailure NotSent;
  NotSent.BytesSent = false;
  bool Late = E.SendBy && Now > *E.SendBy;
  if (Late || !Backend || Backend->Faults.Down) {
    toHost(Key, NetworkDelay, UpstreamFailed{E.Upstream, NotSent});
    return;
  }
  toHost(Key, NetworkDelay, UpstreamSent{E.Upstream});
  std::uint64_t Incarnation = Backend->Incarnation;
  P.at(NetworkDelay, [this, Key, Backend, Incarnation, Request = E.Request] {
    if (Backend->Faults.Down || Backend->Incarnation != Incarnation)
      toHost(Key, NetworkDelay, UpstreamFailed{Key.Call, {}});
    else
      Backend->onRequest(Key, Request, P.now());
  });
}

void VirtualSite::tickBackends() {
  for (auto &[Id, Backend] : Backends) {
    if (!Backend->Faults.Down)
      Backend->tick(P.now());
  }
  P.at(BackendTick, [this] { tickBackends(); });
}

void VirtualSite::announceAll() {
  for (auto &[Id, Backend] : Backends) {
    if (Backend->Faults.Down || Backend->Faults.SkipsAnnouncements)
      continue;
    for (std::size_t Try = 0; Try < Options.Hosts.size(); ++Try) {
      HostId Host(Options.Hosts[AnnounceTurn++ % Options.Hosts.size()]);
      if (!P.running(Host))
        continue;
      CallerRequest E;
      E.Exchange = ExchangeId{NextExchange++};
      E.Request = authorized(HttpMethod::Post, "/v1/backends/announce",
                             Backend->announcement(), BackendToken);
      P.perform(Host, NetworkDelay,
                [this, Host, E](HostSlot &S, TimePoint Now) {
                  dispatch(S, Host, E, Now);
                });
      break;
    }
  }
  P.at(AnnounceInterval, [this] { announceAll(); });
}

//===----------------------------------------------------------------------===//
// Callers and operators
//===----------------------------------------------------------------------===//

Answer &VirtualSite::newAnswer(const std::string &Host, Duration Limit) {
  Answer &A = Answers.emplace_back();
  A.Exchange = ExchangeId{NextExchange++};
  A.Host = HostId(Host);
  A.Sent = P.now();
  A.Limit = P.now() + Limit;
  Open[{A.Host, static_cast<std::uint64_t>(A.Exchange)}] = &A;
  return A;
}

Answer &VirtualSite::send(const std::string &Host, HttpRequest Request,
                          Duration Limit) {
  Answer &A = newAnswer(Host, Limit);
  Request.Headers.push_back(
      {"X-Request-Timeout-Ms", std::to_string(toMilliseconds(Limit))});
  CallerRequest E{A.Exchange, std::move(Request)};
  P.perform(A.Host, Duration::zero(),
            [this, Id = A.Host, E](HostSlot &S, TimePoint Now) {
              dispatch(S, Id, E, Now);
            });
  return A;
}

Answer &VirtualSite::complete(const std::string &Host,
                              const std::string &Prompt, std::uint64_t Tokens,
                              bool Stream, Duration Limit,
                              const std::string &Account) {
  Json Body = {{"model", "m"},
               {"prompt", Prompt},
               {"max_tokens", Tokens},
               {"stream", Stream}};
  return send(Host,
              authorized(HttpMethod::Post, "/v1/completions", Body.dump(),
                         "token-" + Account),
              Limit);
}

Answer &VirtualSite::signOff(const std::string &Host, const std::string &Key,
                             const std::string &Body, Duration Limit,
                             const std::string &Account) {
  HttpRequest R =
      authorized(HttpMethod::Post, "/v1/services/ledger/calls/signoffs", Body,
                 "token-" + Account);
  R.Headers.push_back({"Idempotency-Key", Key});
  return send(Host, std::move(R), Limit);
}

void VirtualSite::leave(Answer &A) {
  A.Left = true;
  P.perform(A.Host, Duration::zero(), [this, &A](HostSlot &S, TimePoint Now) {
    dispatch(S, A.Host, ExchangeLeft{A.Exchange}, Now);
  });
}

Answer &VirtualSite::put(const std::string &Host, const std::string &Service,
                         const std::string &Text, const std::string &EditId) {
  Answer &A = newAnswer(Host, seconds(10));
  OperatorRequest E;
  E.Exchange = A.Exchange;
  E.Request =
      authorized(HttpMethod::Put, "/v1/services/" + Service + "/document", Text,
                 OperatorToken);
  if (!EditId.empty())
    E.Request.Headers.push_back({"Idempotency-Key", EditId});
  P.perform(A.Host, Duration::zero(),
            [this, Id = A.Host, E](HostSlot &S, TimePoint Now) {
              dispatch(S, Id, E, Now);
            });
  return A;
}

std::uint64_t VirtualSite::numberAt(const std::string &Host,
                                    const std::string &Service) {
  const HeldDocument *Held =
      documentInForce(node(Host).Spread, ServiceId(Service));
  return Held ? Held->Number : 0;
}

std::string VirtualSite::expectedText(const std::string &Prompt,
                                      std::uint64_t Tokens) {
  return fakes::answerText(Prompt, 0, Tokens);
}

std::string VirtualSite::modelDocument(std::uint64_t Number, int WeightOfA) {
  return Json({{"number", Number},
               {"service", "text"},
               {"kind", "model"},
               {"time_limit_ms", {{"default", 60000}, {"max", 600000}}},
               {"accounts",
                {{{"account", "a"},
                  {"token_sha256", {sha256Hex("token-a")}},
                  {"weight", WeightOfA}},
                 {{"account", "b"},
                  {"token_sha256", {sha256Hex("token-b")}},
                  {"weight", 1}}}},
               {"models",
                {{{"name", "m"},
                  {"context_tokens", 10000000},
                  {"replicas", 3}}}}})
      .dump();
}

std::string VirtualSite::ledgerDocument(std::uint64_t Number) {
  return Json({{"number", Number},
               {"service", "ledger"},
               {"kind", "plain"},
               {"time_limit_ms", {{"default", 10000}, {"max", 60000}}},
               {"accounts",
                {{{"account", "a"},
                  {"token_sha256", {sha256Hex("token-a")}},
                  {"weight", 1}},
                 {{"account", "b"},
                  {"token_sha256", {sha256Hex("token-b")}},
                  {"weight", 1}}}},
               {"calls",
                {{{"path", "signoffs"},
                  {"methods", {"POST"}},
                  {"repeatable", false}},
                 {{"path", "lookups"},
                  {"methods", {"GET"}},
                  {"repeatable", true}}}},
               {"claim_retention_hours", 24}})
      .dump();
}

//===----------------------------------------------------------------------===//
// Backend servers
//===----------------------------------------------------------------------===//

BackendFaults &VirtualSite::faults(const std::string &Backend) {
  return Backends.at(Backend)->Faults;
}

void VirtualSite::restartBackend(const std::string &Backend) {
  Backends.at(Backend)->Faults = BackendFaults();
  Backends.at(Backend)->restart(P.now());
}

EngineBackend &VirtualSite::engine(const std::string &Name) {
  return dynamic_cast<EngineBackend &>(*Backends.at(Name));
}

std::uint64_t VirtualSite::tokensHeld() {
  std::uint64_t Sum = 0;
  for (auto &[Id, Backend] : Backends) {
    auto *Engine = dynamic_cast<EngineBackend *>(Backend.get());
    if (!Engine || Engine->Faults.Down)
      continue;
    fakes::advance(*Engine->Model, P.now());
    Sum += Engine->Model->UsedTokens;
  }
  return Sum;
}

std::size_t VirtualSite::attemptsAt(const std::string &Engine) {
  auto &Backend = dynamic_cast<EngineBackend &>(*Backends.at(Engine));
  return Backend.Model->Attempts.size();
}

void VirtualSite::dropReaders(const std::string &Engine) {
  auto &Backend = dynamic_cast<EngineBackend &>(*Backends.at(Engine));
  for (const auto &[Key, Reader] : Backend.Readers)
    toHost(Key, NetworkDelay, UpstreamFailed{Key.Call, {}});
  Backend.Readers.clear();
}

//===----------------------------------------------------------------------===//
// Checks
//===----------------------------------------------------------------------===//

/// Checks the invariants that must hold after each step: one leader per term,
/// document numbers never decrease, and at most one holder of a cell may act.
void VirtualSite::checkAlways() {
  std::set<CellId> Acting;
  for (const std::string &Name : Options.Hosts) {
    HostId Id(Name);
    if (!P.up(Id) || P.node(Id).Exited)
      continue;
    NodeState &N = node(Name);
    auto Log = N.Control.Logs.find(ControlGroup);
    if (Log != N.Control.Logs.end() &&
        role(Log->second) == ReplicaRole::Leader) {
      auto Known = TermLeaders.emplace(term(Log->second), Id).first;
      BOOST_REQUIRE_MESSAGE(Known->second == Id, "two leaders in one term");
    }
    for (const auto &[Service, Held] : N.Spread.Documents) {
      std::uint64_t &Newest = Numbers[{Id, Service.Value}];
      BOOST_REQUIRE_MESSAGE(Held.Number >= Newest ||
                                P.node(Id).Incarnation == 0,
                            "a document's number fell at " << Name);
      Newest = Held.Number;
    }
    if (P.frozen(Id) || !verdict(N.Spread, P.clock(Id)).Serve)
      continue;
    for (const auto &[Cell, State] : N.HeldCells)
      BOOST_REQUIRE_MESSAGE(Acting.insert(Cell).second,
                            "two hosts may act for one cell");
  }
}

} // namespace pimento::test
