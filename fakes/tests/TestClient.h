//===- TestClient.h - Calls the servers within one process ------*- C++ -*-===//
#pragma once

#include "base/Json.h"
#include "fakes/Http.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pimento::fakes {

/// One call and what came back of it so far.
struct Exchange {
  int Status = 0; // Zero until the headers came.
  std::string RequestId;
  bool NotRun = false;
  std::string Body;
  bool Done = false;  // Nothing more will come.
  bool Whole = false; // The reply ended as HTTP says it must.
  evhttp_connection *Connection = nullptr;
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// The events of a stream, as far as they came.
struct Events {
  std::string Text;                   // Of the tokens, as they came.
  std::vector<std::uint64_t> Offsets; // Of each token event.
  std::vector<std::string> OtherIds;  // Attempt ids that were not asked for.
  std::vector<std::string> Errors;
  Json End; // Null: no end marker came.
};

/// A loop and the connections that were made on it.
struct TestClient {
  TestClient();
  ~TestClient();
  TestClient(const TestClient &) = delete;
  TestClient &operator=(const TestClient &) = delete;

  /// Starts a call on its own connection, which is kept for again().
  ExchangePtr call(const HttpCall &Call);
  /// A further call on the connection of \p Before.
  ExchangePtr again(const ExchangePtr &Before, const HttpCall &Call);
  /// Closes the connection.
  void leave(const ExchangePtr &E);

  ExchangePtr get(const std::string &Address, const std::string &Path);
  ExchangePtr post(const std::string &Address, const std::string &Path,
                   const Json &Body);

  /// Runs the loop until \p Until holds. False after a long time without.
  bool run(const std::function<bool()> &Until);
  bool finish(const ExchangePtr &E);
  /// Runs the loop for a while.
  void pass(Duration D);

  BasePtr Base;

private:
  void send(const ExchangePtr &E, const HttpCall &Call);

  std::vector<ExchangePtr> Exchanges;
  std::vector<evhttp_connection *> Connections;
};

/// Reads the events of a stream that asked for \p Attempt.
Events readEvents(const std::string &Body, const std::string &Attempt);

} // namespace pimento::fakes
