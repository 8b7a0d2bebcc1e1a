//===- LedgerServer.h - Fake service with a journal of calls ----*- C++ -*-===//
//
// Each POST, PUT, PATCH or DELETE is executed and appends a line to the
// journal. A call is executed as often as it is sent, regardless of its
// idempotency key. GET and HEAD are read-only and write no line. Failures are
// set by LedgerSwitches, at the start or through POST /fake/switches.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "fakes/Announcer.h"
#include "fakes/LedgerSwitches.h"

#include <memory>
#include <string>

namespace pimento::fakes {

struct LedgerOptions {
  std::string Id = "ledger";
  std::string Listen = "127.0.0.1:0";
  std::string DataCentre = "dc1";
  std::string Service = "ledger";
  std::string JournalPath;
  AnnounceOptions Announce;
  LedgerSwitches Switches;
};

struct LedgerServer;
struct LedgerDeleter {
  void operator()(LedgerServer *Server) const;
};
using LedgerPtr = std::unique_ptr<LedgerServer, LedgerDeleter>;

/// Returns null and sets \p Error if it can't listen or open its journal.
LedgerPtr startLedger(event_base *Base, const LedgerOptions &Options,
                      std::string &Error);

/// The bound ip:port.
const std::string &address(const LedgerServer &Server);
std::uint64_t incarnation(const LedgerServer &Server);

/// Announces the shutdown and stops the loop once no call is in progress.
void drain(LedgerServer &Server);

} // namespace pimento::fakes
