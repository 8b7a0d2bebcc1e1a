// Random plays of late, broken, refused and relayed requests: whatever happens,
// each caller gets at most one answer with its events in order, and nothing is
// left behind.

#include "base/Random.h"
#include "gateway/tests/GatewayFixture.h"
#include "wire/RelayMessages.h"

#include <map>

using namespace pimento;
using namespace pimento::testing;

namespace {

const HostId RelayA("10.0.0.8");
const HostId RelayB("10.0.0.9");

struct Caller {
  std::uint32_t Sends = 0;
  std::uint32_t MaxSends = 2;
  bool Replying = false;
  bool Ended = false;
  int Last = 0;
};

struct Exchange {
  calls::OpenUpstream Open;
  bool Sent = false;
  bool HasHead = false;
  int Next = 1;
  std::string Rest;    // Of an event that was sent in part.
  ExchangeId Caller{}; // Zero: not known.
  HostId Relay;        // Empty: a server's.
  std::uint64_t Offset = 0;
};

bool isStream(const Exchange &X) {
  const std::string &Target = X.Open.Request.Target;
  return Target == "/s/1" || Target == "/l/1";
}

struct Play {
  GatewayFixture R;
  Random Rng;
  std::map<ExchangeId, Caller> Callers;
  std::map<UpstreamId, Exchange> Open;
  std::map<std::string, std::size_t> Lines; // Of the log, by kind.

  explicit Play(std::uint64_t Seed) : Rng(Seed) {
    R.S.Retries[ServiceId("llm")];
    R.S.RetryRules.Allowance = 1000;
  }

  void follow() {
    Effects All = R.LastEffects;
    R.LastEffects.clear();
    for (const Effect &E : All) {
      if (const auto *O = std::get_if<calls::OpenUpstream>(&E)) {
        if (R.isProbe(O->Upstream))
          continue;
        Exchange X;
        X.Open = *O;
        bool IsOrder = O->Request.Target == "/-/order";
        Lines["order"] += IsOrder ? 1 : 0;
        std::string_view Last = valueOf(*O, "Last-Event-Id");
        X.Next = Last.empty() ? 1 : std::stoi(std::string(Last)) + 1;
        X.Caller = IsOrder ? ExchangeId{} : callerOf(O->Upstream);
        Open[O->Upstream] = X;
      } else if (const auto *M = std::get_if<SendPeer>(&E)) {
        if (const auto *Q = std::get_if<RelayRequest>(&M->Content)) {
          Exchange X;
          X.Relay = M->To;
          X.Open.Request.Target = Q->Target;
          const std::string &Last = Q->Info.LastEvent;
          X.Next = Last.empty() ? 1 : std::stoi(Last) + 1;
          X.Caller = callerOf(UpstreamId{Q->Id});
          Open[UpstreamId{Q->Id}] = X;
        } else if (const auto *N = std::get_if<RelayCancel>(&M->Content)) {
          Open.erase(UpstreamId{N->Id});
        }
      } else if (const auto *D = std::get_if<LogDecision>(&E)) {
        Lines[std::string(D->Record.Kind)] += 1;
      } else if (const auto *A = std::get_if<calls::AbortUpstream>(&E)) {
        Open.erase(A->Upstream);
      } else if (const auto *S = std::get_if<calls::StartStream>(&E)) {
        Caller &C = Callers.at(S->Exchange);
        BOOST_TEST(!C.Replying);
        BOOST_TEST(!C.Ended);
        C.Replying = true;
      } else if (const auto *B = std::get_if<calls::StreamBytes>(&E)) {
        Caller &C = Callers.at(B->Exchange);
        BOOST_TEST(C.Replying);
        BOOST_TEST(!C.Ended);
        std::string_view Text = B->Bytes;
        BOOST_TEST(Text.substr(Text.size() - 2) == "\n\n");
        for (std::size_t At = Text.find("id: "); At != Text.npos;
             At = Text.find("id: ", At + 1)) {
          int Id = std::stoi(std::string(Text.substr(At + 4, 6)));
          BOOST_TEST(Id == C.Last + 1);
          C.Last = Id;
        }
      } else if (const auto *N = std::get_if<calls::EndStream>(&E)) {
        Caller &C = Callers.at(N->Exchange);
        BOOST_TEST(C.Replying);
        BOOST_TEST(!C.Ended);
        C.Ended = true;
      } else if (const auto *P = std::get_if<calls::SendReply>(&E)) {
        Caller &C = Callers.at(P->Exchange);
        BOOST_TEST(!C.Replying);
        BOOST_TEST(!C.Ended);
        C.Ended = true;
      }
    }
  }

  /// The caller of the request that is sent; zero if the call has ended.
  ExchangeId callerOf(UpstreamId Id) const {
    auto Found = R.S.ByUpstream.find(Id);
    if (Found == R.S.ByUpstream.end())
      return ExchangeId{};
    const GatewayCall &C = R.S.Calls.at(Found->second);
    return C.HedgeOf == 0 ? C.Exchange : R.S.Calls.at(C.HedgeOf).Exchange;
  }
  void countSend(const Exchange &X) {
    auto Found = Callers.find(X.Caller);
    if (X.Caller == ExchangeId{} || Found == Callers.end())
      return;
    Found->second.Sends += 1;
    BOOST_TEST(Found->second.Sends <= Found->second.MaxSends);
  }

  void relayStep(UpstreamId Id) {
    Exchange &X = Open.at(Id);
    HostId From = X.Relay;
    auto Number = static_cast<std::uint64_t>(Id);
    std::uint64_t What = below(Rng, 20);
    if (What < 5 && !X.HasHead) {
      RelayRefusal M;
      M.Id = Number;
      M.Number = What < 2 ? Code::NoBackend : Code::Overloaded;
      M.IsOfHost = What >= 2;
      Open.erase(Id);
      R.event(PeerMessage{From, 5, M});
    } else if (!X.HasHead) {
      X.HasHead = true;
      countSend(X);
      RelayHead M;
      M.Id = Number;
      M.Status = 200;
      M.Server = BackendId("e1");
      M.Headers = {{"X-Pimentoglade-Attempt-Id", "id1"},
                   {"X-Pimentoglade-Replica-Stamp", "s"}};
      if (isStream(X))
        M.Headers.push_back({"Content-Type", "text/event-stream"});
      R.event(PeerMessage{From, 5, M});
    } else if (What < 4 || X.Next > 8 || !isStream(X)) {
      RelayEnd M;
      M.Id = Number;
      M.IsComplete = What != 1;
      M.Size = X.Offset;
      M.Sends = 1;
      Open.erase(Id);
      R.event(PeerMessage{From, 5, M});
    } else {
      RelayData M;
      M.Id = Number;
      M.Offset = X.Offset;
      M.Bytes.Data = "id: " + std::to_string(X.Next++) + "\ndata: x\n\n";
      X.Offset += M.Bytes.Data.size();
      R.event(PeerMessage{From, 5, M});
    }
    follow();
  }
  void loseRelay(const HostId &Host) {
    for (auto It = Open.begin(); It != Open.end();)
      It = It->second.Relay == Host ? Open.erase(It) : std::next(It);
    R.event(RelayLinkLost{Host});
    follow();
  }
  void setPaths() {
    std::uint64_t What = below(Rng, 3);
    PathState State = What == 0   ? PathState::Direct
                      : What == 1 ? PathState::Watched
                                  : PathState::Cut;
    R.S.Relays.Paths.Services[ServiceId("llm")].State = State;
    for (const HostId &Host : {RelayA, RelayB}) {
      RelayPeer &Peer = R.S.Relays.Peers.Hosts[Host];
      Peer.DataCentre = R.S.Engines.Here;
      Peer.PendingQuery = 0;
      Peer.AvoidUntil = TimePoint();
      Peer.ReachesAt[ServiceId("llm")] = R.Now;
    }
  }

  void call() {
    ExchangeId Id{R.NextExchange};
    Callers[Id];
    switch (below(Rng, 4)) {
    case 0:
      R.call(HttpMethod::Get, "/r/1");
      break;
    case 1:
      Callers[Id].MaxSends = 1;
      R.call(HttpMethod::Get, "/o/1");
      break;
    case 2:
      R.call(HttpMethod::Post, "/l/1",
             {{"X-Pimentoglade-Token-Count", "300000,700"}});
      break;
    default:
      R.stream();
    }
    follow();
  }

  void send(UpstreamId Id) {
    Exchange &X = Open.at(Id);
    if (!X.Sent) {
      X.Sent = true;
      countSend(X);
      R.event(UpstreamSent{Id, below(Rng, 3) == 0});
      follow();
    }
  }
  void end(UpstreamId Id, bool Delimited) {
    Open.erase(Id);
    R.event(UpstreamEnd{Id, Delimited});
    follow();
  }
  void step(UpstreamId Id) {
    Exchange &X = Open.at(Id);
    if (!X.Relay.empty()) {
      relayStep(Id);
      return;
    }
    bool IsReport = X.Open.Request.Target == "/-/report";
    bool IsStream = isStream(X);
    std::uint64_t What = below(Rng, 20);
    if (What == 0) {
      UpstreamFailure Why;
      Why.BytesSent = X.Sent;
      Why.IsKept = X.Sent && below(Rng, 2) == 0;
      Why.TimedOut = !X.Sent && below(Rng, 2) == 0;
      Open.erase(Id);
      R.event(UpstreamFailed{Id, Why});
      follow();
      return;
    }
    send(Id);
    if (Open.count(Id) == 0)
      return;
    if (IsReport) {
      if (What < 3)
        return;
      R.event(UpstreamHead{Id, What == 4 ? 421 : 200, {}});
      follow();
      if (Open.count(Id) == 0)
        return;
      R.event(UpstreamData{Id, R"({"pace":1,"born":1})"});
      follow();
      if (Open.count(Id) != 0)
        end(Id, true);
      return;
    }
    if (!X.HasHead) {
      X.HasHead = true;
      if (What == 1) {
        R.head(Id, 503, {{"X-Pimentoglade-Not-Executed", "1"}});
        follow();
        if (Open.count(Id) != 0)
          end(Id, true);
        return;
      }
      if (What == 2) {
        R.head(Id, 500);
        follow();
        if (Open.count(Id) != 0)
          end(Id, true);
        return;
      }
      if (IsStream && What != 3)
        R.head(Id, 200, {{"Content-Type", "text/event-stream"}});
      else
        R.head(Id, 200);
      follow();
      return;
    }
    if (!IsStream) {
      end(Id, true);
      return;
    }
    if (What < 4 || X.Next > 8) {
      end(Id, What % 2 == 0);
      return;
    }
    std::string Text = X.Rest;
    X.Rest.clear();
    if (Text.empty())
      Text = "id: " + std::to_string(X.Next++) + "\ndata: x\n\n";
    if (What < 7 && Text.size() > 6) {
      X.Rest = Text.substr(6);
      Text.resize(6);
    }
    R.event(UpstreamData{Id, Text});
    follow();
  }
  UpstreamId any() {
    auto It = Open.begin();
    std::advance(It, below(Rng, Open.size()));
    return It->first;
  }
  void run() {
    for (int Step = 0; Step < 300; ++Step) {
      std::uint64_t What = below(Rng, 100);
      if (What < 10) {
        call();
      } else if (What < 13 && !Callers.empty()) {
        auto It = Callers.begin();
        std::advance(It, below(Rng, Callers.size()));
        if (!It->second.Ended) {
          It->second.Ended = true;
          R.event(ExchangeLeft{It->first});
          follow();
        }
      } else if (What < 16) {
        setPaths();
      } else if (What < 17) {
        loseRelay(below(Rng, 2) == 0 ? RelayA : RelayB);
      } else if (What < 50) {
        R.advance(milliseconds(static_cast<int>(
            10 * (1 + below(Rng, below(Rng, 9) == 0 ? 150 : 20)))));
        follow();
      } else if (!Open.empty()) {
        step(any());
      }
    }
    if (below(Rng, 2) == 0)
      R.event(StopRequested{});
    for (int Step = 0; Step < 300; ++Step) {
      R.advance(milliseconds(100));
      follow();
      if (!Open.empty() && below(Rng, 2) == 0)
        step(any());
    }
  }
};

} // namespace

/// Guards against LEAK, ORDER and BUDGET: calls, places, reservations, counters
/// or timers that outlive their requests, events that are missing, come twice
/// or after the end, and more sends than the route allows.
BOOST_AUTO_TEST_CASE(NothingIsLeftBehindByHedges) {
  std::map<std::string, std::size_t> Lines;
  constexpr std::uint64_t Seeds = 200;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Play P(Seed);
    BOOST_TEST_CONTEXT("seed " << Seed) {
      P.run();
      BOOST_TEST(P.R.S.Calls.empty());
      BOOST_TEST(P.R.S.Timers.empty());
      BOOST_TEST(P.R.S.EndQueries.empty());
      BOOST_TEST(P.R.S.Releases.empty());
      BOOST_TEST(P.R.S.ByUpstream.empty());
      BOOST_TEST(P.R.S.ByExchange.empty());
      BOOST_TEST(P.R.S.Engines.Placed.empty());
      for (const auto &[Server, Health] : P.R.S.Health.Servers)
        BOOST_TEST(Health.InFlight == 0U, Server.Value);
      for (const auto &[Host, Peer] : P.R.S.Relays.Peers.Hosts)
        BOOST_TEST(Peer.InFlight == 0U, Host.Value);
      for (const auto &[Id, C] : P.Callers)
        BOOST_TEST(C.Ended);
    }
    for (const auto &[Kind, Count] : P.Lines)
      Lines[Kind] += Count;
  }
  BOOST_TEST(Lines["hedge_took_over"] >= 100U);
  BOOST_TEST(Lines["hedge_ended"] >= 100U);
}
