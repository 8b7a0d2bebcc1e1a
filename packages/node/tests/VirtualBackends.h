//===- VirtualBackends.h - Backend servers in virtual time ------*- C++ -*-===//
//
// Stand-ins for backend servers. An engine implements docs/ENGINE-PROTOCOL.md
// and simulates its work with fakes::Engine. A plain server runs every call
// that reaches it, and records the calls with method POST.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "fakes/EngineModel.h"
#include "fakes/EngineOrders.h"
#include "node/tests/VirtualSite.h"

namespace pimento::test {

struct VirtualBackend {
  std::string Id;
  std::string Address;
  std::string DataCentre;
  std::uint64_t Incarnation = 1;
  std::uint64_t Sequence = 0;
  BackendFaults Faults;

  virtual ~VirtualBackend() = default;
  /// Handles a complete request.
  virtual void onRequest(const UpstreamKey &Key, const UpstreamRequest &R,
                         TimePoint Now) = 0;
  /// Handles a connection that the host closed early.
  virtual void onDisconnect(const UpstreamKey &Key, TimePoint Now) = 0;
  virtual void tick(TimePoint) {}
  virtual void restart(TimePoint Now) = 0;
  /// The server's announcement as JSON.
  virtual std::string announcement() = 0;
};

struct EngineBackend : VirtualBackend {
  /// A connection that reads an attempt.
  struct Reader {
    std::string Attempt;
    std::uint64_t PromptHash = 0;
    std::uint64_t Next = 0; // Index of the next token to send.
    std::uint64_t Sent = 0; // Tokens sent on this connection.
  };

  VirtualSite &Site;
  std::uint64_t MemoryTokens;
  std::unique_ptr<fakes::Engine> Model;
  std::map<UpstreamKey, Reader> Readers;
  fakes::OrderBook Orders;
  // Fence numbers of executed orders, in the order of execution.
  std::vector<std::uint64_t> ExecutedFences;

  EngineBackend(VirtualSite &Site, std::uint64_t MemoryTokens);
  void onRequest(const UpstreamKey &Key, const UpstreamRequest &R,
                 TimePoint Now) override;
  void onDisconnect(const UpstreamKey &Key, TimePoint Now) override;
  void tick(TimePoint Now) override;
  void restart(TimePoint Now) override;
  std::string announcement() override;

private:
  void reply(const UpstreamKey &Key, int Status, const std::string &Body,
             bool NotRun = false);
  void generate(const UpstreamKey &Key, const std::string &Body, TimePoint Now);
  void read(const UpstreamKey &Key, const std::string &Attempt,
            std::uint64_t From);
  bool feed(const UpstreamKey &Key, Reader &R);
  void memory(const UpstreamKey &Key, TimePoint Now);
  void state(const UpstreamKey &Key);
  void order(const UpstreamKey &Key, const std::string &Body, TimePoint Now);
};

struct PlainBackend : VirtualBackend {
  VirtualSite &Site;
  std::string Service;

  PlainBackend(VirtualSite &TheSite, std::string TheService)
      : Site(TheSite), Service(std::move(TheService)) {}
  void onRequest(const UpstreamKey &Key, const UpstreamRequest &R,
                 TimePoint Now) override;
  void onDisconnect(const UpstreamKey &, TimePoint) override {}
  void restart(TimePoint) override { ++Incarnation; }
  std::string announcement() override;
};

} // namespace pimento::test
