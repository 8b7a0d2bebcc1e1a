//===- PeerLinks.h - Connections to the other hosts -------------*- C++ -*-===//
//
// Sends and receives messages over WebSocket links, authenticated by a shared
// token. Connects to a host when there is a message to send, queues a bounded
// number of messages while the link is being set up, and drops messages beyond
// that bound: every protocol between hosts tolerates message loss. Messages of
// different lanes (laneOf()) use different links, so that none waits for the
// other's bytes. A link for relayed requests is closed when it is idle and no
// such request is open.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/ConnectionEnd.h"
#include "base/Ids.h"
#include "base/Settings.h"
#include "shell/EventLoop.h"
#include "wire/Messages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pimento {

struct PeerLinksHooks {
  std::function<void(HostId From, IncarnationNumber Incarnation, Message)>
      Received;
  /// The last working link of the lane to a host was closed.
  std::function<void(HostId, LinkLane)> Lost;
  /// Whether a relayed request of either side is open, so that the link for
  /// these stays open although it is idle. Empty: never.
  std::function<bool(const HostId &)> IsRelaying;
  /// A link ended; it was idle, or waiting for its handshake. Empty: not
  /// reported.
  std::function<void(ConnectionEnd, ConnectionUse)> Ended;
  /// A link was refused or closed because of an error. Detail is for logs.
  std::function<void(Code, std::string Detail)> Refused;
};

/// Totals over all links since the process started.
struct LinkCounters {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MessagesDropped = 0; // Queue full, or sending failed.
};

class PeerLinks {
public:
  PeerLinks(event_base *Base, HostId Self, IncarnationNumber Incarnation,
            std::string Token, const std::vector<PeerSettings> &Peers,
            PeerLinksHooks Hooks);
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Accepts every host that proves knowledge of the token as a peer. The name
  /// of such a host is its IP address; all hosts listen on the same \p Port.
  void acceptAnyHost(const std::string &Port);
  /// Listens on ip:port. Returns false if the address is invalid or cannot be
  /// bound.
  bool listen(const std::string &Address);
  /// Sends or queues a message; it may be lost. A message to an unknown host is
  /// ignored.
  void send(const HostId &To, const Message &M);
  /// How long a link for relayed requests may be idle; 10 s by default.
  void setRelayIdleTime(Duration Time);
  const LinkCounters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
