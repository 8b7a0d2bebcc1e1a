//===- VirtualBackends.h - Backend servers in virtual time ------*- C++ -*-===//
//
// An engine speaks docs/ENGINE-PROTOCOL.md over the fakes' own model; a plain
// server runs every call that reaches it and notes it.
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
  /// A whole request arrived.
  virtual void take(const UpstreamKey &Key, const UpstreamRequest &R,
                    TimePoint Now) = 0;
  /// The host broke the connection off.
  virtual void dropped(const UpstreamKey &Key, TimePoint Now) = 0;
  virtual void tick(TimePoint) {}
  virtual void restart(TimePoint Now) = 0;
  /// The JSON of its announcement.
  virtual std::string announcement() = 0;
};

struct EngineBackend : VirtualBackend {
  /// A connection that reads an attempt.
  struct Reader {
    std::string Attempt;
    std::uint64_t PromptHash = 0;
    std::uint64_t Next = 0; // Token to be sent next.
    std::uint64_t Sent = 0; // Tokens on this connection.
  };

  VirtualSite &Site;
  std::uint64_t MemoryTokens;
  std::unique_ptr<fakes::Engine> Model;
  std::map<UpstreamKey, Reader> Readers;
  fakes::OrderBook Orders;
  std::vector<std::uint64_t> Taken; // Numbers of orders carried out, in order.

  EngineBackend(VirtualSite &Site, std::uint64_t MemoryTokens);
  void take(const UpstreamKey &Key, const UpstreamRequest &R,
            TimePoint Now) override;
  void dropped(const UpstreamKey &Key, TimePoint Now) override;
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
  void take(const UpstreamKey &Key, const UpstreamRequest &R,
            TimePoint Now) override;
  void dropped(const UpstreamKey &, TimePoint) override {}
  void restart(TimePoint) override { ++Incarnation; }
  std::string announcement() override;
};

} // namespace pimento::test
