//===- HttpClient.h - Requests to backend servers ---------------*- C++ -*-===//
//
// HTTP/1.1 client with a pool of idle connections per address. A connection is
// not reused if the server sent bytes while it was idle, if the server
// announced that it closes soon, if it received an answer to another request
// during its last call, or if that call was aborted, failed, or was answered
// before the whole request was written. Sent bytes are counted at the
// connection's output buffer, so a failure report can state that no byte of the
// request was sent.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/ConnectionEnd.h"
#include "base/Http.h"
#include "shell/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace pimento {

/// Callbacks of a call, in the order Sent, Head, Data, End; Failed can come at
/// any point. No hook is called after End, Failed or abort().
struct HttpClientHooks {
  /// The first request byte was sent. IsKept: on a connection that had been
  /// used before.
  std::function<void(UpstreamId, bool IsKept)> Sent;
  std::function<void(UpstreamId, int, std::vector<HttpHeader>)> Head;
  std::function<void(UpstreamId, std::string)> Data;
  /// The answer is complete. Delimited: a length or a chunked encoding confirms
  /// that the body is whole. Without them, the server closed its connection in
  /// order, after it had received the whole request.
  std::function<void(UpstreamId, bool Delimited)> End;
  std::function<void(UpstreamId, UpstreamFailure)> Failed;
  /// A connection ended; it was idle, waiting or answering. Empty: not
  /// reported.
  std::function<void(ConnectionEnd, ConnectionUse)> Ended;
};

/// Totals since the client was created.
struct HttpClientCounters {
  std::uint64_t Opened = 0;            // Connections opened.
  std::uint64_t Reused = 0;            // Calls sent on a pooled connection.
  std::uint64_t MismatchedAnswers = 0; // Dropped answers to other requests.
  std::uint64_t Refused = 0; // Calls refused by an address's connection limit.
};

class HttpClient {
public:
  /// \p SourceIp: IP address from which connections are made; empty: the system
  /// chooses.
  HttpClient(event_base *Base, HttpClientHooks Hooks,
             std::string SourceIp = "");
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a request on a pooled or new connection. May call Hooks.Failed
  /// before it returns.
  void open(UpstreamId Id, const UpstreamRequest &Request);
  /// Closes the connection of the call. No further hook is called for it.
  void abort(UpstreamId Id);
  /// Stops and resumes reading the answer, as backpressure for a slow caller.
  void pause(UpstreamId Id);
  void resume(UpstreamId Id);

  std::size_t calls() const;
  std::size_t connections() const;
  const HttpClientCounters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
