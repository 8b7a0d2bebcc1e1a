//===- Http.h - Data types for HTTP -----------------------------*- C++ -*-===//
//
// Requests and replies as plain data, passed between the shell (which does the
// network I/O) and the reducers (which do none). An exchange is a request that
// this host receives from a caller, an operator or a backend server, with its
// reply. An upstream call is a request that this host sends to a backend
// server.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/SharedText.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pimento {

enum class ExchangeId : std::uint64_t {}; // Unique in one process; 0: none.
enum class UpstreamId : std::uint64_t {}; // Unique in one process; 0: none.

enum class HttpMethod : std::uint8_t { Get, Post, Put, Delete, Patch, Other };

/// Returns "GET", "POST" and so on; "OTHER" for any unsupported method.
const char *toString(HttpMethod M);

struct HttpHeader {
  std::string Name; // Case-insensitive.
  std::string Value;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Name, M.Value);
  }
};

struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  std::string Path;   // Decoded path without the query; begins with '/'.
  std::string Query;  // Undecoded text after the '?'.
  std::string Target; // Undecoded path and query.
  std::vector<HttpHeader> Headers;
  std::string Body;
};

struct HttpReply {
  int Status = 200;
  std::vector<HttpHeader> Headers; // All headers, including Content-Type.
  std::string Body;
};

/// One request to a backend server. The shell opens a new connection for the
/// request unless MayReuse is set.
struct UpstreamRequest {
  std::string Address; // ip:port
  HttpMethod Method = HttpMethod::Get;
  std::string Target; // Encoded path and query.
  std::vector<HttpHeader> Headers;
  SharedText Body;
  bool MayReuse = false; // Whether an idle connection may be used.
  /// An answer whose header of this name has another value belongs to another
  /// request: it is skipped, and the next answer on the connection is read. An
  /// answer without the header is accepted. Empty value: the request has no id,
  /// so an answer with the header belongs to another request. Empty name: no
  /// check. Requests with and without an id use different connections.
  HttpHeader EchoHeader;
  std::uint32_t ConnectionLimit = 0; // Connections to Address; 0: unlimited.
  Duration ConnectTimeout = seconds(1);
};

/// Why an upstream call failed, and whether any of it was sent.
struct UpstreamFailure {
  bool BytesSent = true; // False: certainly no byte left this host.
  bool TimedOut = false;
  std::string Detail;     // Text for logs.
  bool Malformed = false; // The server's bytes were no HTTP answer.
  bool IsKept = false;    // The connection had been used before.
  bool IsLocal = false;   // This host did not try to connect, for example since
                          // it holds as many connections as it may.
};

/// Compares two header names, ignoring case.
bool sameHeaderName(std::string_view A, std::string_view B);

/// Returns the value of the first header named \p Name; empty if there is none.
/// The view points into \p Headers.
std::string_view headerValue(const std::vector<HttpHeader> &Headers,
                             std::string_view Name);

} // namespace pimento
