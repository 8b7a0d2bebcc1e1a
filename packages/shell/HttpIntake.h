//===- HttpIntake.h - What the listeners of a process hold ------*- C++ -*-===//
//
//   HttpIntake Intake(LimitBytes); // Outlives its servers.
//   HttpServer Callers(Base, Limits, Hooks, NextExchange, &Intake);
//   HttpServer Operators(Base, Limits, Hooks, NextExchange, &Intake);
//
// One account for all servers of a process (intake/IntakeAccount.h). When it is
// full, unfinished requests of any of them are refused, as the bytes arrive.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "intake/IntakeAccount.h"
#include "shell/HttpServer.h"

#include <functional>
#include <vector>

namespace pimento {

/// What was refused for want of memory since the start of the process.
struct IntakeCounters {
  std::uint64_t Unfinished = 0; // Requests refused while they were read.
  std::uint64_t Whole = 0;      // Requests refused before they were passed on.
  std::uint64_t Answers = 0;    // Connections closed with unread answers.
  std::uint64_t Bytes = 0;      // Freed by all of these.
};

struct HttpIntake {
  /// \p OtherBytes: bytes of requests and answers that the process holds
  /// besides those of its connections; empty: none.
  explicit HttpIntake(std::size_t LimitBytes,
                      std::function<std::size_t()> OtherBytes = {});
  HttpIntake(const HttpIntake &) = delete;
  HttpIntake &operator=(const HttpIntake &) = delete;

  /// Reads the bytes of the state, which change without the account.
  void refresh();
  /// Whether there is room for the body of a whole request, whose head is
  /// charged already. If so, counts it as part of the state.
  bool admit(std::size_t BodyBytes);
  /// Refuses unfinished requests beyond the room for them. \p Reading: the
  /// connection whose bytes are being read; null: none.
  void shed(const void *Reading = nullptr);
  /// Closes connections whose callers do not read their answers, beyond the
  /// room for those, and returns free memory to the system.
  void sweep();

  IntakeAccount Account;
  IntakeCounters Counters;
  std::function<std::size_t()> OtherBytes;
  std::vector<HttpServer::Impl *> Servers;

private:
  void returnMemory();

  std::size_t MostBytes = 0; // Since memory was returned last.
};

} // namespace pimento
