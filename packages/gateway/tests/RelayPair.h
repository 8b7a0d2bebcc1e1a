//===- RelayPair.h - Two hosts, one of which is cut off ---------*- C++ -*-===//
//
//   struct Case : RelayPair {};
//   call(HttpMethod::Get, "/r/1"); // At host A, which is cut off.
//   pass();                        // Messages go to and fro.
//   B.only<calls::OpenUpstream>(); // B, the relay, has sent the request.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "gateway/tests/GatewayFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>

namespace pimento::testing {

inline const ServiceId Plain("plain");
inline const HostId Other("10.0.0.9");
inline constexpr IncarnationNumber Incarnation = 5;

/// A host that is cut off from a service, and a relay that is not.
struct RelayPair {
  GatewayFixture A{true, "10.0.0.1:7340"};
  GatewayFixture B{true, "10.0.0.2:7340"};
  std::vector<SendPeer> ToRelay; // Messages of A, in the order of sending.
  std::vector<SendPeer> ToHost;  // Messages of B.

  RelayPair() {
    for (const char *Service : {"plain", "llm"})
      A.S.Relays.Paths.Services[ServiceId(Service)].State = PathState::Cut;
    for (const HostId &Host : {B.S.Self, Other})
      A.S.Relays.Peers.Hosts[Host].DataCentre = A.S.Engines.Here;
    reaches(B.S.Self);
  }

  /// The host replied that it reaches servers.
  void reaches(const HostId &Host) {
    for (const char *Service : {"plain", "llm"})
      A.S.Relays.Peers.Hosts.at(Host).ReachesAt[ServiceId(Service)] = A.Now;
  }
  /// Host A reaches no engine, and these hosts have just replied that they do.
  void cutOffFromEngines(const std::vector<HostId> &Relays) {
    for (auto &[Host, Peer] : A.S.Relays.Peers.Hosts) {
      Peer.PendingQuery = 0;
      Peer.AvoidUntil = TimePoint();
    }
    A.S.Relays.Paths.Services[ServiceId("llm")].State = PathState::Cut;
    for (const HostId &Relay : Relays)
      reaches(Relay);
  }
  ExchangeId call(HttpMethod Method, const char *Target, std::string Body = "",
                  std::vector<HttpHeader> More = {}) {
    ExchangeId Id{A.NextExchange++};
    HttpRequest R;
    R.Method = Method;
    R.Path = Target;
    R.Target = Target;
    R.Body = std::move(Body);
    R.Headers = {{"Host", "h"},
                 {"X-Pimentoglade-Attempt-Id", "id1"},
                 {"Authorization", "Token k"},
                 {"X-Own", "kept"}};
    for (HttpHeader &Header : More)
      R.Headers.push_back(std::move(Header));
    A.event(CallerRequest{Id, R});
    return Id;
  }
  /// Passes what the last events led to between the hosts, until there is
  /// nothing left. LastEffects of each host then holds all its effects but the
  /// messages that were passed.
  void pass() {
    Side ToB{A, B, ToRelay, {}, A.EventCount != SeenOfA};
    Side ToA{B, A, ToHost, {}, B.EventCount != SeenOfB};
    collect(ToB);
    collect(ToA);
    while (!ToB.Waiting.empty() || !ToA.Waiting.empty()) {
      deliver(ToB, ToA);
      deliver(ToA, ToB);
    }
    A.LastEffects = ToB.Others;
    B.LastEffects = ToA.Others;
    SeenOfA = A.EventCount;
    SeenOfB = B.EventCount;
  }

  template <class T> static std::size_t count(const std::vector<SendPeer> &In) {
    return static_cast<std::size_t>(
        std::count_if(In.begin(), In.end(), [](const SendPeer &Send) {
          return std::holds_alternative<T>(Send.Content);
        }));
  }

private:
  /// One direction between the hosts.
  struct Side {
    GatewayFixture &From;
    GatewayFixture &To;
    std::vector<SendPeer> &Passed;
    Effects Others; // Effects of From that are no messages to To.
    bool IsNew = true;
    std::deque<SendPeer> Waiting = {};
  };

  std::size_t SeenOfA = 0; // Events whose effects were passed.
  std::size_t SeenOfB = 0;

  static void collect(Side &S) {
    if (!S.IsNew)
      return;
    for (const Effect &E : S.From.LastEffects) {
      const auto *Send = std::get_if<SendPeer>(&E);
      bool IsPassed = Send != nullptr && Send->To == S.To.S.Self &&
                      laneOf(Send->Content) == LinkLane::Relay;
      if (IsPassed)
        S.Waiting.push_back(*Send);
      else
        S.Others.push_back(E);
    }
  }
  /// Delivers what waits, and collects what it leads to.
  static void deliver(Side &S, Side &Back) {
    while (!S.Waiting.empty()) {
      SendPeer Send = S.Waiting.front();
      S.Waiting.pop_front();
      S.Passed.push_back(Send);
      S.To.event(PeerMessage{S.From.S.Self, Incarnation, Send.Content});
      Back.IsNew = true;
      collect(Back);
    }
  }
};

inline std::string text(std::size_t Size) {
  std::string Text;
  for (std::size_t I = 0; I < Size; ++I)
    Text += static_cast<char>('a' + I * 7 % 26);
  return Text;
}

} // namespace pimento::testing
