//===- TestClient.h - HTTP client for servers in this process ---*- C++ -*-===//
#pragma once

#include "base/Json.h"
#include "fakes/Http.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pimento::fakes {

/// One call and the part of its reply that has arrived.
struct Exchange {
  int Status = 0; // Zero until the headers arrive.
  std::string RequestId;
  bool NotRun = false;
  std::string Body;
  bool Done = false;  // The exchange has ended.
  bool Whole = false; // The reply is complete by HTTP rules.
  evhttp_connection *Connection = nullptr;
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// The received events of a stream.
struct Events {
  std::string Text;                   // Text of the token events.
  std::vector<std::uint64_t> Offsets; // Offset of each token event.
  std::vector<std::string> OtherIds;  // Ids of other attempts.
  std::vector<std::string> Errors;
  Json End; // Null if no end marker arrived.
};

/// An event loop and the connections made on it.
struct TestClient {
  TestClient();
  ~TestClient();
  TestClient(const TestClient &) = delete;
  TestClient &operator=(const TestClient &) = delete;

  /// Starts a call on its own connection, which stays open for again().
  ExchangePtr call(const HttpCall &Call);
  /// Starts a further call on the connection of \p Before.
  ExchangePtr again(const ExchangePtr &Before, const HttpCall &Call);
  /// Closes the connection.
  void leave(const ExchangePtr &E);

  ExchangePtr get(const std::string &Address, const std::string &Path);
  ExchangePtr post(const std::string &Address, const std::string &Path,
                   const Json &Body);

  /// Runs the loop until \p Until returns true; false on a timeout.
  bool run(const std::function<bool()> &Until);
  bool finish(const ExchangePtr &E);
  /// Runs the loop for the given time.
  void pass(Duration D);

  BasePtr Base;

private:
  void send(const ExchangePtr &E, const HttpCall &Call);

  std::vector<ExchangePtr> Exchanges;
  std::vector<evhttp_connection *> Connections;
};

/// Parses the events of a stream that was requested for \p Attempt.
Events readEvents(const std::string &Body, const std::string &Attempt);

} // namespace pimento::fakes
