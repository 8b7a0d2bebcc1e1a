//===- MembershipSite.h - A site in virtual time ----------------*- C++ -*-===//
//
// A simulated site of hosts and backend servers in virtual time. Each server
// announces itself every half second to one host, or to the next one where that
// host does not run. Invariants are checked at every step of every host;
// Violation keeps the first violation.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "membership/Membership.h"
#include "testing/Pump.h"
#include "wire/Messages.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimento::testing {

struct Server {
  Announcement Next;  // The announcement, with the last sequence sent.
  std::size_t At = 0; // Index of the host that receives the announcements.
  bool Up = true;
  std::uint64_t Timer = 0; // Changes at each start and stop; ends old timers.
};

class MembershipSite {
public:
  using SitePump = Pump<MembershipState, Message>;

  MembershipSite(std::size_t HostCount, std::size_t ServerCount,
                 std::uint64_t Seed,
                 MembershipConfig BaseConfig = MembershipConfig())
      : Base(std::move(BaseConfig)), P(Seed) {
    for (std::size_t I = 0; I < HostCount; ++I) {
      std::string Digits = std::to_string(1000 + I);
      Names.emplace_back("h" + Digits.substr(1));
    }
    P.TickInterval = milliseconds(20);
    P.OnMessage = [this](MembershipState &S, const HostId &From,
                         const Message &M, TimePoint Now) {
      MembershipOutputs Out;
      onMessage(S, From, M, Now, Out);
      executeEffects(S, Out);
    };
    P.OnTick = [this](MembershipState &S, TimePoint Now) {
      MembershipOutputs Out;
      onTick(S, Now, Out);
      executeEffects(S, Out);
    };
    for (const HostId &Name : Names)
      start(Name);
    for (std::size_t I = 0; I < ServerCount; ++I)
      addServer("e" + std::to_string(I));
  }

  void start(const HostId &Name) {
    MembershipConfig Config = Base;
    Config.Self = Name;
    Config.Hosts = Names;
    Config.Incarnation = ++Incarnations[Name];
    bool Known = Config.Incarnation > 1;
    P.add(Name,
          makeMembership(Config, P.Rng(), Known ? P.clock(Name) : P.now()));
    Ranks.erase(Name);
  }

  void addServer(const std::string &Id) {
    Server S;
    S.Next.Id = BackendId(Id);
    S.Next.Address = "10.0.0.1:80";
    S.Next.Models = {ModelName("atlas")};
    S.Next.MemoryTokens = 1000000;
    S.At = below(P.Rng, Names.size());
    Servers[S.Next.Id] = std::move(S);
    startServer(BackendId(Id));
  }

  void startServer(const BackendId &Id) {
    Server &S = Servers[Id];
    S.Up = true;
    ++S.Next.Incarnation;
    S.Next.Sequence = 0;
    S.Next.Leaving = false;
    scheduleAnnounce(Id, ++S.Timer);
  }

  void stopServer(const BackendId &Id) {
    Servers[Id].Up = false;
    ++Servers[Id].Timer;
  }

  /// Announces at once that the server leaves, as the protocol requires.
  void leaveServer(const BackendId &Id) {
    Server &S = Servers[Id];
    S.Next.Leaving = true;
    Left[Id] = S.Next.Incarnation;
    announce(S);
  }

  /// Delivers \p A to a host at once.
  void deliver(const HostId &To, const Announcement &A) {
    P.perform(To, Duration::zero(),
              [this, A](MembershipState &S, TimePoint Now) {
                MembershipOutputs Out;
                onAnnounce(S, A, Now, Out);
                executeEffects(S, Out);
              });
  }

  bool offers(const HostId &Name, const BackendId &Id) const {
    const BackendRecord *R = findBackend(P.node(Name), Id);
    return R && R->Status == BackendStatus::Serving;
  }

  HostStatus statusAt(const HostId &Name, const HostId &Of) const {
    return hostView(P.node(Name), Of)->Status;
  }

  /// Whether every running host sees every other running host as alive.
  bool allAlive() const {
    return everyPair([&](const HostId &A, const HostId &B) {
      return statusAt(A, B) == HostStatus::Alive;
    });
  }

  /// Whether every running host has learned the registry.
  bool allReady() const {
    return std::all_of(Names.begin(), Names.end(), [&](const HostId &Name) {
      return !P.running(Name) || registryReady(P.node(Name));
    });
  }

  template <class F> bool everyPair(F &&Holds) const {
    for (const HostId &A : Names) {
      for (const HostId &B : Names) {
        if (A != B && P.running(A) && P.running(B) && !Holds(A, B))
          return false;
      }
    }
    return true;
  }

  template <class F> bool everyHost(F &&Holds) const {
    return std::all_of(Names.begin(), Names.end(), [&](const HostId &Name) {
      return !P.running(Name) || Holds(Name);
    });
  }

  MembershipConfig Base;
  std::vector<HostId> Names;
  SitePump P;
  std::map<BackendId, Server> Servers;
  std::vector<Announcement> Sent; // All announcements sent, for replays.
  std::set<HostId> SlowHosts;     // Hosts whose messages take SlowTime longer.
  Duration SlowTime = milliseconds(250);
  // Changes counted at all hosts.
  std::uint64_t Deaths = 0;     // Hosts that became dead.
  std::uint64_t Suspicions = 0; // Hosts that became suspected.
  std::uint64_t Gone = 0;       // Servers that became gone.
  std::function<void(const HostId &From, const Outbound &)> OnSend;
  bool Checks = true;    // Whether invariants are checked.
  std::string Violation; // The first broken invariant; empty: none.

private:
  void scheduleAnnounce(const BackendId &Id, std::uint64_t Timer) {
    Duration Wait = between(P.Rng, milliseconds(450), milliseconds(500));
    P.at(Wait, [this, Id, Timer] {
      Server &S = Servers[Id];
      if (S.Timer != Timer)
        return;
      announce(S);
      scheduleAnnounce(Id, Timer);
    });
  }

  void announce(Server &S) {
    for (std::size_t Tries = 0; Tries < Names.size(); ++Tries) {
      if (P.running(Names[S.At]))
        break;
      S.At = (S.At + 1) % Names.size();
    }
    ++S.Next.Sequence;
    if (Checks)
      Sent.push_back(S.Next);
    deliver(Names[S.At], S.Next);
  }

  void executeEffects(MembershipState &S, MembershipOutputs &Out) {
    const HostId &Self = S.Config.Self;
    for (const Outbound &O : Out.Messages) {
      if (OnSend)
        OnSend(Self, O);
      if (SlowHosts.count(Self) == 0)
        P.send(Self, O.To, O.Content);
      else
        P.at(SlowTime, [this, Self, O] { P.send(Self, O.To, O.Content); });
    }
    for (const HostChange &C : Out.Hosts) {
      if (C.Kind != HostChangeKind::Status)
        continue;
      Deaths += C.View.Status == HostStatus::Dead;
      Suspicions += C.View.Status == HostStatus::Suspect;
    }
    for (const BackendChange &C : Out.Backends)
      Gone += C.Record.Status == BackendStatus::Gone;
    if (Checks)
      checkRecords(S);
  }

  void reportViolation(const MembershipState &S, const std::string &What) {
    if (Violation.empty())
      Violation = S.Config.Self.Value + ": " + What;
  }

  /// At each host a server's record never returns to an older one. A server
  /// that left is not offered again in the same incarnation once the host knows
  /// of its departure.
  void checkRecords(const MembershipState &S) {
    auto &Known = Ranks[S.Config.Self];
    for (const auto &[Id, R] : S.Backends.Records) {
      Rank New = {R.Incarnation, R.Version, R.Left};
      Rank &Old = Known[Id];
      if (std::tuple(New.Incarnation, New.Left, New.Version) <
          std::tuple(Old.Incarnation, Old.Left, Old.Version))
        reportViolation(S, Id.Value + " went back to an older record");
      if (Old.Left && New.Incarnation == Old.Incarnation &&
          R.Status == BackendStatus::Serving)
        reportViolation(S, Id.Value + " was revived after it left");
      Old = New;
    }
  }

  struct Rank {
    IncarnationNumber Incarnation = 0;
    std::uint64_t Version = 0;
    bool Left = false;
  };

  std::map<HostId, IncarnationNumber> Incarnations;
  std::map<BackendId, IncarnationNumber> Left;
  std::map<HostId, std::map<BackendId, Rank>> Ranks;
};

} // namespace pimento::testing
