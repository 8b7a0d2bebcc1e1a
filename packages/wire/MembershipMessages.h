//===- MembershipMessages.h - Liveness and backend servers ------*- C++ -*-===//
//
// Messages of the failure detector (pings, acknowledgements, gossip) and of the
// registry of backend servers that all hosts share. See
// membership/Membership.h and membership/Backends.h.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

enum class HostStatus : std::uint8_t { Alive, Suspect, Dead, Leaving };

/// The status of one host as seen by another host or by itself. Of two updates
/// the one with the higher incarnation wins, then the one with the higher
/// version; at the same version, Suspect supersedes Alive and Leaving, and Dead
/// supersedes Suspect.
struct HostUpdate {
  HostId Host;
  IncarnationNumber Incarnation = 0; // Incarnation of the host's process.
  std::uint64_t Version = 0; // Raised by the host itself to refute suspicion.
  HostStatus Status = HostStatus::Alive;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation, M.Version, M.Status);
  }
};

enum class BackendKind : std::uint8_t { Engine, Plain };
enum class BackendStatus : std::uint8_t { Serving, Leaving, Gone };

/// The registry's record of one backend server, without its load. Of two
/// records the one with the higher incarnation wins, then the one with Left
/// set, then the one with the higher version.
struct BackendRecord {
  BackendId Id;
  IncarnationNumber Incarnation = 0; // From the server's announcements.
  std::uint64_t Version = 0; // Raised by the host that changes the record.
  BackendStatus Status = BackendStatus::Serving;
  BackendKind Kind = BackendKind::Engine;
  std::string Address; // ip:port; empty once the server is gone.
  DataCentreId DataCentre;
  ServiceId Service;              // Plain servers: the service they run.
  std::vector<ModelName> Models;  // Engines: models, adapters and versions.
  std::uint64_t MemoryTokens = 0; // Engines: KV cache, in tokens.
  // Whether the engine refuses orders with an outdated fence number.
  bool ChecksFence = true;
  std::uint64_t Sequence = 0; // Announcement that caused the last change.
  // The server announced its departure; final for this incarnation.
  bool Left = false;
  // Time since the server was declared gone, at sending; zero unless gone.
  Duration GoneFor = Duration::zero();

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Incarnation, M.Version, M.Status, M.Kind, M.Address,
          M.DataCentre, M.Service, M.Models, M.MemoryTokens, M.ChecksFence,
          M.Sequence, M.Left, M.GoneFor);
  }
};

/// A liveness probe. The receiver replies with an Ack of the same sequence.
struct Ping {
  static constexpr std::uint16_t WireType = 201;
  std::uint64_t Sequence = 0;
  std::vector<HostUpdate> Hosts;       // The sender first, then queued updates.
  std::vector<BackendRecord> Backends; // Queued updates, a bounded number.
  std::uint64_t Digest = 0; // Digest of the sender's hosts and registry.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Hosts, M.Backends, M.Digest);
  }
};

/// Acknowledges a Ping; carries the same contents.
struct Ack {
  static constexpr std::uint16_t WireType = 202;
  std::uint64_t Sequence = 0; // Sequence of the Ping.
  std::vector<HostUpdate> Hosts;
  std::vector<BackendRecord> Backends;
  std::uint64_t Digest = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Hosts, M.Backends, M.Digest);
  }
};

/// The load that a backend server reported, on its way to the host that
/// schedules its cell.
struct LoadReport {
  static constexpr std::uint16_t WireType = 203;
  BackendId Backend;
  IncarnationNumber Incarnation = 0;
  std::uint64_t Sequence = 0;            // Sequence of the announcement.
  Duration Age = Duration::zero();       // Age of the figures at sending.
  std::uint64_t UsedTokens = 0;          // KV cache in use, in tokens.
  std::uint32_t Running = 0;             // Requests in the engine's batch.
  std::uint32_t Waiting = 0;             // Requests in the engine's own queue.
  std::uint64_t CacheSequence = 0;       // Sequence of the first cache event.
  std::vector<std::uint64_t> CacheAdded; // Hashes of added prefixes.
  std::vector<std::uint64_t> CacheRemoved; // Hashes of evicted prefixes.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Backend, M.Incarnation, M.Sequence, M.Age, M.UsedTokens, M.Running,
          M.Waiting, M.CacheSequence, M.CacheAdded, M.CacheRemoved);
  }
};

/// Asks another host to probe Target, which did not acknowledge the sender.
struct PingRequest {
  static constexpr std::uint16_t WireType = 204;
  std::uint64_t Sequence = 0; // Sequence of the sender's own Ping.
  HostId Target;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Target);
  }
};

/// Reports that the target of a PingRequest acknowledged the probe.
struct IndirectAck {
  static constexpr std::uint16_t WireType = 205;
  std::uint64_t Sequence = 0; // Sequence of the PingRequest.
  HostUpdate Target;          // The target's own update, from its Ack.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Target);
  }
};

/// Updates that are sent without waiting for the next probe.
struct Gossip {
  static constexpr std::uint16_t WireType = 206;
  std::vector<HostUpdate> Hosts; // The sender's own update is first.
  std::vector<BackendRecord> Backends;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Hosts, M.Backends);
  }
};

/// Reports the newest announcement of a backend server that the sender knows
/// of. Sent to the hosts that watch the server for silence, and as the reply to
/// BackendSeenQuery.
struct BackendSeen {
  static constexpr std::uint16_t WireType = 207;
  BackendId Backend;
  IncarnationNumber Incarnation = 0;
  std::uint64_t Sequence = 0;      // Sequence of the announcement.
  Duration Age = Duration::zero(); // Age of the announcement at sending.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Backend, M.Incarnation, M.Sequence, M.Age);
  }
};

/// Asks for the newest announcement of a backend server that the receiver
/// knows of.
struct BackendSeenQuery {
  static constexpr std::uint16_t WireType = 208;
  BackendId Backend;
  IncarnationNumber Incarnation = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Backend, M.Incarnation);
  }
};

/// Asks for the records that differ from the sender's. Hashes[0] covers the
/// hosts; each further hash covers one bucket of backend servers.
struct RegistryPull {
  static constexpr std::uint16_t WireType = 209;
  std::vector<std::uint64_t> Hashes;
  // The sender has not learned the registry yet; the hashes cover gone servers
  // as well.
  bool Joining = false;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Hashes, M.Joining);
  }
};

/// Replies to RegistryPull with as many differing records as fit.
struct RegistryPage {
  static constexpr std::uint16_t WireType = 210;
  std::vector<HostUpdate> Hosts;
  std::vector<BackendRecord> Backends;
  bool More = false; // Some differing records did not fit; pull again.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Hosts, M.Backends, M.More);
  }
};

using MembershipMessages =
    MessageList<Ping, Ack, LoadReport, PingRequest, IndirectAck, Gossip,
                BackendSeen, BackendSeenQuery, RegistryPull, RegistryPage>;

} // namespace pimento
