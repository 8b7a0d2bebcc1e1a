//===- LedgerServer.h - A plain service that keeps a journal ----*- C++ -*-===//
//
// POST, PUT, PATCH and DELETE run: each run appends a line to the journal. It
// runs a call as often as it is sent, whatever its key. GET and HEAD are
// look-ups and leave no trace. Failures are set by LedgerSwitches, at the start
// or through POST /fake/switches.
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

/// Null, and a reason in \p Error, where it can't listen or open its journal.
LedgerPtr startLedger(event_base *Base, const LedgerOptions &Options,
                      std::string &Error);

/// ip:port as bound.
const std::string &address(const LedgerServer &Server);
std::uint64_t incarnation(const LedgerServer &Server);

/// Announces that it leaves and breaks the loop once no call is in progress.
void drain(LedgerServer &Server);

} // namespace pimento::fakes
