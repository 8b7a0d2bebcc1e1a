//===- MembershipMessages.h - Liveness and backend servers ------*- C++ -*-===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

enum class HostStatus : std::uint8_t { Alive, Suspect, Dead, Leaving };

/// What one host says of another. A higher life wins, then a higher version.
struct HostUpdate {
  HostId Host;
  IncarnationNumber Incarnation = 0; // Of the host's process.
  std::uint64_t Version = 0; // Raised by the host itself to refute suspicion.
  HostStatus Status = HostStatus::Alive;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Incarnation, M.Version, M.Status);
  }
};

enum class BackendKind : std::uint8_t { Engine, Plain };
enum class BackendStatus : std::uint8_t { Serving, Leaving, Gone };

/// What is known of one backend server, apart from its load. A higher life
/// wins; within a life a higher version.
struct BackendRecord {
  BackendId Id;
  IncarnationNumber Incarnation = 0; // From its announcements.
  std::uint64_t Version = 0; // Raised by the host that changes the record.
  BackendStatus Status = BackendStatus::Serving;
  BackendKind Kind = BackendKind::Engine;
  std::string Address; // ip:port; empty once it is gone.
  DataCentreId DataCentre;
  ServiceId Service;              // Plain servers: the service they run.
  std::vector<ModelName> Models;  // Engines: models, adapters and versions.
  std::uint64_t MemoryTokens = 0; // Engines: KV cache, in tokens.
  bool ChecksFence = true;    // Whether it refuses orders with an old number.
  std::uint64_t Sequence = 0; // Of the announcement behind the last change.
  bool Left = false;          // Said in this life that it leaves: final.
  Duration GoneFor = Duration::zero(); // When sent; zero unless it is gone.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Incarnation, M.Version, M.Status, M.Kind, M.Address,
          M.DataCentre, M.Service, M.Models, M.MemoryTokens, M.ChecksFence,
          M.Sequence, M.Left, M.GoneFor);
  }
};

/// A liveness probe. Its answer is an Ack with the same sequence.
struct Ping {
  static constexpr std::uint16_t WireType = 201;
  std::uint64_t Sequence = 0;
  std::vector<HostUpdate> Hosts; // The sender first, then the newest news.
  std::vector<BackendRecord> Backends; // Newest news, a bounded number.
  std::uint64_t Digest = 0;            // Of all that the sender knows.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Hosts, M.Backends, M.Digest);
  }
};

struct Ack {
  static constexpr std::uint16_t WireType = 202;
  std::uint64_t Sequence = 0; // Of the Ping.
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
  std::uint64_t Sequence = 0;      // Of the announcement.
  Duration Age = Duration::zero(); // Of the figures when they were sent.
  std::uint64_t UsedTokens = 0;    // KV cache held.
  std::uint32_t Running = 0;       // Requests in the batch.
  std::uint32_t Waiting = 0;       // Requests that the engine queues itself.
  std::uint64_t CacheSequence = 0; // Of the first cache event.
  std::vector<std::uint64_t> CacheAdded;   // Hashes of prefixes.
  std::vector<std::uint64_t> CacheRemoved; // Hashes of prefixes.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Backend, M.Incarnation, M.Sequence, M.Age, M.UsedTokens, M.Running,
          M.Waiting, M.CacheSequence, M.CacheAdded, M.CacheRemoved);
  }
};

/// Asks a third host to probe Target, which did not answer the sender.
struct PingRequest {
  static constexpr std::uint16_t WireType = 204;
  std::uint64_t Sequence = 0; // Of the sender's own Ping.
  HostId Target;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Target);
  }
};

/// The target of a PingRequest answered.
struct IndirectAck {
  static constexpr std::uint16_t WireType = 205;
  std::uint64_t Sequence = 0; // Of the PingRequest.
  HostUpdate Target;          // As the target described itself.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Target);
  }
};

/// News that does not wait for the next probe.
struct Gossip {
  static constexpr std::uint16_t WireType = 206;
  std::vector<HostUpdate> Hosts; // The sender first.
  std::vector<BackendRecord> Backends;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Hosts, M.Backends);
  }
};

/// A backend server's announcement reached the sender. Goes to the hosts that
/// watch the server's silence, and answers BackendSeenQuery.
struct BackendSeen {
  static constexpr std::uint16_t WireType = 207;
  BackendId Backend;
  IncarnationNumber Incarnation = 0;
  std::uint64_t Sequence = 0;      // Of the announcement.
  Duration Age = Duration::zero(); // Of the announcement when this was sent.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Backend, M.Incarnation, M.Sequence, M.Age);
  }
};

/// Asks when the receiver last knew of an announcement.
struct BackendSeenQuery {
  static constexpr std::uint16_t WireType = 208;
  BackendId Backend;
  IncarnationNumber Incarnation = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Backend, M.Incarnation);
  }
};

/// Asks for what differs. Hashes[0] covers the hosts, the others one bucket of
/// backend servers each.
struct RegistryPull {
  static constexpr std::uint16_t WireType = 209;
  std::vector<std::uint64_t> Hashes;
  bool Joining = false; // The hashes cover gone servers as well.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Hashes, M.Joining);
  }
};

/// What differed, as much as fits.
struct RegistryPage {
  static constexpr std::uint16_t WireType = 210;
  std::vector<HostUpdate> Hosts;
  std::vector<BackendRecord> Backends;
  bool More = false; // Something that differs did not fit: pull again.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Hosts, M.Backends, M.More);
  }
};

using MembershipMessages =
    MessageList<Ping, Ack, LoadReport, PingRequest, IndirectAck, Gossip,
                BackendSeen, BackendSeenQuery, RegistryPull, RegistryPage>;

} // namespace pimento
