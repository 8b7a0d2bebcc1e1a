//===- PeerLinks.h - Connections to the other hosts -------------*- C++ -*-===//
//
// Dials a host when there is something to send, keeps a bounded number of
// messages while the link opens, and drops messages rather than hold more:
// every protocol between hosts stands loss.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
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
  /// The last link to a host broke.
  std::function<void(HostId)> Lost;
  /// A link was refused or broken off; Detail is for logs.
  std::function<void(Code, std::string Detail)> Refused;
};

/// What went over the links since the start.
struct LinkCounters {
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MessagesDropped = 0; // No link, or too much waiting on it.
};

class PeerLinks {
public:
  PeerLinks(event_base *Base, HostId Self, IncarnationNumber Incarnation,
            std::string Token, const std::vector<PeerSettings> &Peers,
            PeerLinksHooks Hooks);
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// From now on every host that proves that it knows the token is a peer. Its
  /// name is its IP address; all hosts listen on the same \p Port.
  void acceptAnyHost(const std::string &Port);
  bool listen(const std::string &Address);
  void send(const HostId &To, const Message &M);
  const LinkCounters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
