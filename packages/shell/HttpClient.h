//===- HttpClient.h - evhttp towards backend servers ------------*- C++ -*-===//
//
// Opens one connection for each call. The bytes that leave are counted at the
// connection's output buffer, so that a failure can prove that none did.
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

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace pimento
