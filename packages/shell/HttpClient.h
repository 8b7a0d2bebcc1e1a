//===- HttpClient.h - Requests to backend servers ---------------*- C++ -*-===//
//
// Keeps connections open between calls. An idle connection on which anything
// comes, or that the server announced to close soon, is never used again, nor
// is one whose call was aborted, failed, or was answered before all of the
// request was written. The bytes that leave are counted at the connection's
// output buffer, so that a failure can prove that none did.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"
#include "shell/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace pimento {

/// For one call: Sent, Head, Data and End in this order, or Failed at any
/// point. Nothing comes after End, Failed or abort().
struct HttpClientHooks {
  std::function<void(UpstreamId)> Sent; // The first byte left.
  std::function<void(UpstreamId, int, std::vector<HttpHeader>)> Head;
  std::function<void(UpstreamId, std::string)> Data;
  /// Delimited: by length or chunks, so that the body is known to be whole.
  std::function<void(UpstreamId, bool Delimited)> End;
  std::function<void(UpstreamId, UpstreamFailure)> Failed;
};

/// What went on since the start.
struct HttpClientCounters {
  std::uint64_t Opened = 0; // Connections.
  std::uint64_t Reused = 0; // Calls on a connection that was open already.
  std::uint64_t MismatchedAnswers = 0; // Answers to other requests, dropped.
  std::uint64_t Refused = 0;           // Calls beyond an address's limit.
};

class HttpClient {
public:
  HttpClient(event_base *Base, HttpClientHooks Hooks);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  void open(UpstreamId Id, const UpstreamRequest &Request);
  /// Closes the connection without any further hook.
  void abort(UpstreamId Id);
  /// Stops or goes on reading, for the sake of a slow caller.
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
