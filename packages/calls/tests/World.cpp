#include "World.h"

#include "Rig.h"

#include <algorithm>

namespace pimento::calls {

namespace {

constexpr const char *LedgerService = "ledger";

std::string bearer(const std::string &Account) { return "token-" + Account; }

/// The answer to a prompt: its letters in reverse order.
std::string answerTo(const std::string &Prompt) {
  return {Prompt.rbegin(), Prompt.rend()};
}

std::string header(const UpstreamRequest &R, const char *Name) {
  return std::string(headerValue(R.Headers, Name));
}

/// The concatenated texts of all events of a streamed answer.
std::string streamText(const std::string &Stream) {
  std::string Text;
  std::size_t At = 0;
  while ((At = Stream.find("\"text\":\"", At)) != std::string::npos) {
    At += 8;
    Text += Stream.substr(At, Stream.find('"', At) - At);
  }
  return Text;
}

} // namespace

World::World(std::uint64_t Seed) : P(Seed) {
  for (const char *Account : {"a", "b"})
    Dir.Tokens[sha256Hex(bearer(Account))] = {
        {ServiceId("text"), AccountId(Account)},
        {ServiceId(LedgerService), AccountId(Account)}};
  ServiceRule Text;
  Text.Weights[AccountId("a")] = 1;
  Dir.Services[ServiceId("text")] = Text;
  Dir.Models[ModelName("m")] = {{ServiceId("text"), 0}};
  ServiceRule Ledger;
  Ledger.Weights = {{AccountId("a"), 1}, {AccountId("b"), 1}};
  Ledger.Calls = {{"sign", {"POST"}, false}, {"records", {"GET"}, true}};
  Dir.Services[ServiceId(LedgerService)] = Ledger;
  for (int I = 1; I <= 3; ++I) {
    std::string Name = "l" + std::to_string(I);
    Dir.Servers[ServiceId(LedgerService)].push_back(
        {BackendId(Name), 1, Name, {}});
  }
  P.TickInterval = milliseconds(20);
  P.OnMessage = [this](WorldHost &H, const HostId &From, const Message &M,
                       TimePoint Now) { onMessage(H, From, M, Now); };
  P.OnTick = [this](WorldHost &H, TimePoint Now) { onTick(H, Now); };
  for (int I = 1; I <= 3; ++I) {
    Hosts.emplace_back("h" + std::to_string(I));
    restart(Hosts.back());
  }
  changeLeader(Hosts[0]);
}

//===----------------------------------------------------------------------===//
// Callers
//===----------------------------------------------------------------------===//

std::uint64_t World::complete(const HostId &Host, bool Stream, Duration Limit) {
  std::uint64_t Number = NextExchange + 1;
  std::string Prompt;
  for (std::uint64_t I = 0; I < 3 + Number % 7; ++I)
    Prompt += static_cast<char>('a' + (Number * 7 + I * 3) % 26);
  Prompt += std::to_string(Number);
  WorldCall Call;
  Call.Expected = answerTo(Prompt);
  Call.Slow = chance(Faults.CallerSlow);
  HttpRequest R;
  R.Method = HttpMethod::Post;
  R.Path = "/v1/completions";
  R.Body = std::string("{\"model\":\"m\",\"prompt\":\"") + Prompt +
           "\",\"stream\":" + (Stream ? "true" : "false") + "}";
  return call(Host, "a", R, Call, Limit);
}

std::uint64_t World::call(const HostId &Host, const std::string &Account,
                          HttpRequest R, WorldCall Call, Duration Limit) {
  std::uint64_t Exchange = ++NextExchange;
  Call.Host = Host;
  Call.Account = Account;
  Call.Limit = P.clock(Host) + Limit;
  Calls[Exchange] = std::move(Call);
  R.Headers.push_back({"Authorization", "Bearer " + bearer(Account)});
  R.Headers.push_back(
      {"X-Request-Timeout-Ms", std::to_string(toMilliseconds(Limit))});
  CallsEffects Out;
  onCallerRequest(P.node(Host).Calls, ExchangeId(Exchange), std::move(R), Dir,
                  P.clock(Host), Out);
  execute(Host, Out);
  return Exchange;
}

std::uint64_t World::signOff(const HostId &Host, const std::string &Account,
                             const std::string &Key, Duration Limit) {
  HttpRequest R;
  R.Method = HttpMethod::Post;
  R.Path = "/v1/services/ledger/calls/sign";
  R.Headers = {{"Idempotency-Key", Key}};
  R.Body = "sign " + Key;
  WorldCall Call;
  Call.Key = Key;
  return call(Host, Account, R, Call, Limit);
}

std::uint64_t World::lookUp(const HostId &Host, Duration Limit) {
  HttpRequest R;
  std::string Path = "/records/" + std::to_string(NextExchange);
  R.Path = "/v1/services/ledger/calls" + Path;
  WorldCall Call;
  Call.LookUp = true;
  Duration Longest = Dir.Services.at(ServiceId(LedgerService)).MaxTimeLimit;
  Call.HostLimit =
      P.clock(Host) +
      (Longest > Duration::zero() ? std::min(Limit, Longest) : Limit);
  Call.Expected = "found" + Path;
  return call(Host, "b", R, Call, Limit);
}

void World::checkReply(WorldCall &Call, const std::string &Body, int Status) {
  ++Call.FinalAnswers;
  Call.FinalAt = P.now();
  Call.LateAnswer = Call.LateAnswer || P.clock(Call.Host) > Call.Limit;
  std::string Outcome = field(Body, "outcome");
  Call.Outcome = Outcome.empty() ? "answered" : Outcome;
  if (Call.Outcome != "answered")
    return;
  if (!Call.Key.empty()) {
    Call.ForeignAnswer = Status == 200 && Body != "done " + Call.Key;
    return;
  }
  if (Call.LookUp) {
    Call.ForeignAnswer = Status == 200 && Body != Call.Expected;
    return;
  }
  Json Answer = parseJson(Body, JsonLimits()).value();
  std::string Text = Answer["choices"][0]["text"].get<std::string>();
  Call.IncompleteAnswer = Text != Call.Expected;
}

void World::reply(const SendReply &R) {
  auto Exchange = static_cast<std::uint64_t>(R.Exchange);
  WorldCall &Call = Calls.at(Exchange);
  Call.Request = std::string(headerValue(R.Reply.Headers, "X-Request-Id"));
  checkReply(Call, R.Reply.Body, R.Reply.Status);
  Call.Buffered += R.Reply.Body.size();
  drain(Exchange);
}

/// Simulates the caller's reads; a slow caller reads a few bytes at a time.
void World::drain(std::uint64_t Exchange) {
  WorldCall &Call = Calls.at(Exchange);
  Duration Wait = Call.Slow ? milliseconds(200) : milliseconds(1);
  P.perform(Call.Host, Wait, [this, Exchange](WorldHost &H, TimePoint Now) {
    WorldCall &Reader = Calls.at(Exchange);
    if (Reader.Left || Reader.HostDied)
      return;
    std::uint64_t Read = Reader.Slow ? 400 : Reader.Buffered;
    Reader.Buffered -= std::min(Reader.Buffered, Read);
    CallsEffects Out;
    onCallerDrained(H.Calls, ExchangeId(Exchange), Reader.Buffered, Dir, Now,
                    Out);
    execute(nameOf(H), Out);
    if (Reader.Buffered > 0)
      drain(Exchange);
  });
}

//===----------------------------------------------------------------------===//
// Effects of an entry host
//===----------------------------------------------------------------------===//

void World::execute(const HostId &Host, CallsEffects &Out) {
  for (const MetricSample &Sample : Out.Samples)
    Unexpected +=
        std::string(Sample.Name) == "pimento_unexpected_transitions_total" ? 1
                                                                           : 0;
  for (CallsEffect &E : Out.List)
    executeEffect(Host, E);
}

void World::executeEffect(const HostId &Host, CallsEffect &E) {
  if (auto *R = std::get_if<SendReply>(&E)) {
    reply(*R);
  } else if (auto *Start = std::get_if<StartStream>(&E)) {
    Calls.at(static_cast<std::uint64_t>(Start->Exchange)).Streamed = true;
  } else if (auto *Bytes = std::get_if<StreamBytes>(&E)) {
    auto Exchange = static_cast<std::uint64_t>(Bytes->Exchange);
    WorldCall &Call = Calls.at(Exchange);
    Call.Stream += Bytes->Bytes;
    Call.Buffered += Bytes->Bytes.size();
    drain(Exchange);
  } else if (auto *End = std::get_if<EndStream>(&E)) {
    WorldCall &Call = Calls.at(static_cast<std::uint64_t>(End->Exchange));
    ++Call.FinalAnswers;
    Call.LateAnswer = Call.LateAnswer || P.clock(Host) > Call.Limit;
    bool Done = Call.Stream.find("[DONE]") != std::string::npos;
    std::string Text = streamText(Call.Stream);
    Call.Outcome = Done ? "answered" : "failed";
    Call.IncompleteAnswer =
        Done != End->IsComplete || (Done && Text != Call.Expected);
    Call.ForeignAnswer = Call.Expected.compare(0, Text.size(), Text) != 0;
  } else if (auto *Open = std::get_if<OpenUpstream>(&E)) {
    open(Host, *Open);
  } else if (auto *Abort = std::get_if<AbortUpstream>(&E)) {
    auto Found = Connections.find(
        {Host.Value, static_cast<std::uint64_t>(Abort->Upstream)});
    if (Found != Connections.end()) {
      Found->second->Open = false;
      closeReader(*Found->second);
    }
  } else if (auto *A = std::get_if<SendGrantRequest>(&E)) {
    requestGrant(Host, A->Content);
  } else if (auto *W = std::get_if<SendWithdraw>(&E)) {
    Granted.erase(W->Attempt);
  } else if (auto *Rel = std::get_if<SendRelease>(&E)) {
    Granted.erase(Rel->Content.Attempt);
  } else if (auto *Claim = std::get_if<SendClaim>(&E)) {
    P.send(Host, leaderFor(), Claim->Content);
  } else if (auto *Result = std::get_if<SendClaimResult>(&E)) {
    P.send(Host, leaderFor(), Result->Content);
  }
}

//===----------------------------------------------------------------------===//
// Connections
//===----------------------------------------------------------------------===//

void World::open(const HostId &Host, const OpenUpstream &E) {
  auto C = std::make_shared<Connection>();
  C->Host = Host;
  C->Incarnation = P.node(Host).Incarnation;
  C->Id = E.Upstream;
  C->Last = P.now();
  Connections[{Host.Value, static_cast<std::uint64_t>(E.Upstream)}] = C;
  bool Ledger = E.Request.Address[0] == 'l';
  if (chance(Ledger ? Faults.LedgerConnect : Faults.EngineConnect)) {
    failConnect(C);
    return;
  }
  // Before the first byte the host's clock is compared with SendBy.
  P.perform(Host, delay(), [this, C, E](WorldHost &H, TimePoint Now) {
    if (!C->Open)
      return;
    CallsEffects Out;
    if (E.SendBy && Now >= *E.SendBy) {
      C->Open = false;
      onUpstreamFailed(H.Calls, C->Id, {false, true, "lease"}, Dir, Now, Out);
      execute(C->Host, Out);
      return;
    }
    onUpstreamSent(H.Calls, C->Id, Dir, Now, Out);
    execute(C->Host, Out);
    UpstreamRequest Request = E.Request;
    P.at(delay(), [this, C, Request] { serve(C, Request); });
  });
}

/// Schedules an event of a connection at its host, after all earlier events of
/// the connection.
void World::scheduleEvent(
    const std::shared_ptr<Connection> &C, Duration Delay,
    std::function<void(WorldHost &, TimePoint, CallsEffects &)> Do) {
  C->Last = std::max(C->Last + microseconds(1), P.now() + Delay);
  if (!P.up(C->Host) || P.node(C->Host).Incarnation != C->Incarnation)
    return;
  P.perform(C->Host, C->Last - P.now(),
            [this, C, Do = std::move(Do)](WorldHost &H, TimePoint Now) {
              if (!C->Open || H.Incarnation != C->Incarnation)
                return;
              CallsEffects Out;
              Do(H, Now, Out);
              execute(C->Host, Out);
            });
}

void World::failConnect(const std::shared_ptr<Connection> &C) {
  scheduleEvent(C, delay(),
                [this, C](WorldHost &H, TimePoint Now, CallsEffects &Out) {
                  C->Open = false;
                  onUpstreamFailed(H.Calls, C->Id, {false, false, "connect"},
                                   Dir, Now, Out);
                });
}

void World::breakConnection(const std::shared_ptr<Connection> &C) {
  scheduleEvent(
      C, delay(), [this, C](WorldHost &H, TimePoint Now, CallsEffects &Out) {
        C->Open = false;
        onUpstreamFailed(H.Calls, C->Id, {true, false, "reset"}, Dir, Now, Out);
      });
}

void World::sendAnswer(const std::shared_ptr<Connection> &C, Duration Delay,
                       int Status, const std::vector<HttpHeader> &Headers,
                       const std::string &Body, bool Complete) {
  scheduleEvent(C, Delay,
                [this, C, Status, Headers](WorldHost &H, TimePoint Now,
                                           CallsEffects &Out) {
                  onUpstreamHead(H.Calls, C->Id, Status, Headers, Dir, Now,
                                 Out);
                });
  scheduleEvent(
      C, Duration::zero(),
      [this, C, Body](WorldHost &H, TimePoint Now, CallsEffects &Out) {
        onUpstreamData(H.Calls, C->Id, Body, Dir, Now, Out);
      });
  if (!Complete) {
    breakConnection(C);
    return;
  }
  scheduleEvent(C, Duration::zero(),
                [this, C](WorldHost &H, TimePoint Now, CallsEffects &Out) {
                  onUpstreamEnd(H.Calls, C->Id, Dir, Now, Out);
                });
}

void World::serve(const std::shared_ptr<Connection> &C,
                  const UpstreamRequest &R) {
  if (R.Address[0] == 'l')
    serveLedger(C, R);
  else
    serveEngine(C, R);
}

//===----------------------------------------------------------------------===//
// Ledgers: three servers with one journal
//===----------------------------------------------------------------------===//

void World::serveLedger(const std::shared_ptr<Connection> &C,
                        const UpstreamRequest &R) {
  std::string Key = header(R, "Idempotency-Key");
  bool LookUp = R.Method == HttpMethod::Get;
  std::vector<HttpHeader> Headers = {
      {"X-Request-Id", header(R, "X-Request-Id")}};
  if (chance(Faults.LedgerRefuse)) {
    Headers.push_back({"X-Not-Run", "1"});
    sendAnswer(C, delay(), 503, Headers, "", true);
    return;
  }
  if (!LookUp)
    Journal.push_back({Key, header(R, "X-Client-Account"),
                       header(R, "X-Request-Id"), P.now()});
  std::string Body = LookUp ? "found" + R.Target : "done " + Key;
  Headers.push_back({"Content-Length", std::to_string(Body.size())});
  Duration Wait = between(P.Rng, milliseconds(5), milliseconds(60));
  if (chance(Faults.LedgerSlow))
    Wait = between(P.Rng, seconds(1), seconds(20));
  if (chance(Faults.LedgerCross))
    Headers[0].Value = toString(RequestId{77, 77});
  bool Interrupted = chance(Faults.LedgerInterrupt);
  bool Short = !Interrupted && chance(Faults.LedgerShort);
  if (Interrupted)
    breakConnection(C);
  else if (Short)
    sendAnswer(C, Wait, 200, Headers, Body.substr(0, 3), chance(0.5));
  else
    sendAnswer(C, Wait, 200, Headers, Body, true);
  bool Whole =
      Headers[0].Value == header(R, "X-Request-Id") && !Interrupted && !Short;
  if (LookUp && Whole)
    noteLookUpAnswer(C->Host, Body, Wait);
}

/// Records when a whole answer arrives at the host that looked up \p Body.
void World::noteLookUpAnswer(const HostId &Host, const std::string &Body,
                             Duration Wait) {
  for (auto &[Exchange, Call] : Calls) {
    if (Call.LookUp && Call.Host == Host && Call.Expected == Body)
      Call.AnswerArrives = std::min(Call.AnswerArrives, P.clock(Host) + Wait);
  }
}

//===----------------------------------------------------------------------===//
// Engines
//===----------------------------------------------------------------------===//

void World::serveEngine(const std::shared_ptr<Connection> &C,
                        const UpstreamRequest &R) {
  std::map<std::string, WorldAttempt> &Held = Engines[R.Address];
  if (R.Target == "/v1/generate") {
    std::string Attempt = field(R.Body, "attempt");
    bool Known = Held.count(Attempt) != 0;
    if (Known || chance(Faults.EngineRefuse)) {
      sendAnswer(C, delay(), 503, {{"X-Not-Run", "1"}},
                 Known ? "{\"reason\":\"duplicate\"}"
                       : "{\"reason\":\"memory\"}",
                 true);
      return;
    }
    Held[Attempt].Text = answerTo(field(R.Body, "prompt"));
    Held[Attempt].FreeAt = TimePoint::max();
    stream(C, R.Address, Attempt, 0);
    return;
  }
  if (R.Target == "/v1/reservations") {
    bool Refused = chance(Faults.EngineRefuse);
    if (!Refused)
      Held[field(R.Body, "attempt")].FreeAt = P.now() + seconds(2);
    sendAnswer(C, delay(), Refused ? 409 : 200, {{"X-Not-Run", "1"}},
               "{\"reason\":\"memory\"}", true);
    return;
  }
  constexpr std::size_t IdAt = 13; // Length of "/v1/attempts/".
  std::string Attempt = R.Target.substr(IdAt, R.Target.find('/', IdAt) - IdAt);
  auto Found = Held.find(Attempt);
  if (R.Method == HttpMethod::Delete) {
    Held[Attempt].Cancelled = true;
    sendAnswer(C, delay(), 200, {}, "{\"freed\":1}", true);
    return;
  }
  bool Lost = Found == Held.end() || Found->second.Cancelled ||
              Found->second.FreeAt <= P.now() || chance(Faults.EngineForget);
  if (Lost) {
    if (Found != Held.end())
      Found->second.Cancelled = true;
    sendAnswer(C, delay(), 404, {}, "{}", true);
    return;
  }
  Found->second.FreeAt = TimePoint::max();
  std::size_t Offset = std::stoul(R.Target.substr(R.Target.find('=') + 1));
  stream(C, R.Address, Attempt, Offset);
}

void World::sendPieces(const std::shared_ptr<Connection> &C,
                       const std::string &Bytes) {
  for (std::size_t At = 0; At < Bytes.size();) {
    std::size_t Length = 1 + below(P.Rng, 200);
    std::string Piece = Bytes.substr(At, Length);
    scheduleEvent(
        C, between(P.Rng, milliseconds(1), milliseconds(30)),
        [this, C, Piece](WorldHost &H, TimePoint Now, CallsEffects &Out) {
          onUpstreamData(H.Calls, C->Id, Piece, Dir, Now, Out);
        });
    At += Length;
  }
}

void World::closeReader(const Connection &C) {
  if (C.Address.empty())
    return;
  for (const auto &[Key, Other] : Connections) {
    if (Other->Open && Other->Address == C.Address &&
        Other->Attempt == C.Attempt)
      return;
  }
  WorldAttempt &Held = Engines[C.Address][C.Attempt];
  Held.FreeAt = std::min(Held.FreeAt, P.now() + seconds(2));
}

void World::stream(const std::shared_ptr<Connection> &C,
                   const std::string &Address, const std::string &Attempt,
                   std::size_t Offset) {
  C->Address = Address;
  C->Attempt = Attempt;
  AttemptId Id;
  parseAttemptId(Attempt, Id);
  const std::string Text = Engines[Address][Attempt].Text;
  std::string Bytes;
  for (std::size_t I = Offset; I < Text.size(); ++I) {
    AttemptId Other = Id;
    ++Other.Request.Lo;
    if (chance(Faults.EngineCross))
      Bytes += tokenLine(Other, I, "#");
    Bytes += tokenLine(Id, I, Text.substr(I, 1));
    if (chance(Faults.EngineRepeat))
      Bytes += tokenLine(Id, I, Text.substr(I, 1));
  }
  bool Fails = chance(Faults.EngineError);
  bool Silent = chance(Faults.EngineSilent);
  bool Interrupted = chance(Faults.EngineInterrupt);
  Bytes += Fails ? "data: {\"attempt\": \"" + Attempt +
                       "\", \"error\": \"failed\"}\n\n"
                 : endLine(Id, Text.size());
  std::string Rest;
  if (Silent || Interrupted) {
    std::size_t Cut = below(P.Rng, Bytes.size());
    Rest = Bytes.substr(Cut);
    Bytes.resize(Cut);
  }
  bool GoesOn = Silent && chance(0.5);
  scheduleEvent(C, delay(),
                [this, C](WorldHost &H, TimePoint Now, CallsEffects &Out) {
                  onUpstreamHead(H.Calls, C->Id, 200, {}, Dir, Now, Out);
                });
  sendPieces(C, Bytes);
  if (GoesOn) {
    C->Last += between(P.Rng, seconds(4), seconds(12));
    sendPieces(C, Rest);
  }
  WorldAttempt &Held = Engines[Address][Attempt];
  Held.FreeAt = C->Last + seconds(2);
  if (Silent && !GoesOn) {
    Held.FreeAt = TimePoint::max();
    return;
  }
  if (Interrupted) {
    breakConnection(C);
    return;
  }
  scheduleEvent(C, Duration::zero(),
                [this, C](WorldHost &H, TimePoint Now, CallsEffects &Out) {
                  C->Open = false;
                  onUpstreamEnd(H.Calls, C->Id, Dir, Now, Out);
                });
}

std::size_t World::heldAtEngines() const {
  std::size_t Count = 0;
  for (const auto &[Address, Held] : Engines) {
    for (const auto &[Id, Attempt] : Held)
      Count += !Attempt.Cancelled && Attempt.FreeAt > P.now() ? 1 : 0;
  }
  return Count;
}

//===----------------------------------------------------------------------===//
// The scheduler
//===----------------------------------------------------------------------===//

void World::requestGrant(const HostId &Host, const GrantRequest &A) {
  if (chance(Faults.GrantLost)) {
    if (chance(0.5))
      return;
    Refusal Refused;
    Refused.Attempt = A.Attempt;
    Refused.Reason = Code::QueueFull;
    P.perform(Host, delay(), [this, Refused](WorldHost &H, TimePoint Now) {
      CallsEffects Out;
      onRefusal(H.Calls, Refused, Dir, Now, Out);
      execute(nameOf(H), Out);
    });
    return;
  }
  Grant G;
  G.Attempt = A.Attempt;
  G.Lease = seconds(2);
  std::string Engine = "e" + std::to_string(1 + below(P.Rng, 3));
  G.Engines = {{BackendId(Engine), Engine, 10}};
  if (below(P.Rng, 4) == 0) // Grant a group of engines.
    G.Engines.insert(G.Engines.end(), {{BackendId("e8"), "e8", 10},
                                       {BackendId("e9"), "e9", 10}});
  int Times = chance(Faults.GrantTwice) ? 2 : 1;
  for (int I = 0; I < Times; ++I) {
    Duration Wait = I == 0 ? delay() : between(P.Rng, seconds(0), seconds(3));
    P.perform(Host, Wait, [this, G](WorldHost &H, TimePoint Now) {
      Granted[G.Attempt] = 1;
      CallsEffects Out;
      onGrant(H.Calls, G, Dir, Now, Out);
      execute(nameOf(H), Out);
    });
  }
}

} // namespace pimento::calls
