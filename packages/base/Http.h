//===- Http.h - HTTP as data ------------------------------------*- C++ -*-===//
//
// What the shell hands to the reducer and takes from it. An exchange is one
// request of a caller, an operator or a backend server and its reply; an
// upstream call is one request of this host to a backend server.
//
//===----------------------------------------------------------------------===//
#pragma once

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

/// "GET", "POST" and so on; "OTHER" for any that is not served.
const char *toString(HttpMethod M);

struct HttpHeader {
  std::string Name; // Compared without regard to case.
  std::string Value;
};

struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  std::string Path;   // Decoded, begins with '/', without its query.
  std::string Query;  // Behind the '?', as it came.
  std::string Target; // Path and query as they came.
  std::vector<HttpHeader> Headers;
  std::string Body;
};

struct HttpReply {
  int Status = 200;
  std::vector<HttpHeader> Headers; // Content-Type included.
  std::string Body;
};

/// One request to a backend server. The shell opens a connection of its own
/// unless \p MayReuse.
struct UpstreamRequest {
  std::string Address; // ip:port
  HttpMethod Method = HttpMethod::Get;
  std::string Target; // Path and query, encoded.
  std::vector<HttpHeader> Headers;
  std::string Body;
  bool MayReuse = false; // Whether an idle connection may carry it.
  HttpHeader EchoHeader; // An answer that has it with another value is another
                         // request's; empty: all are taken.
  std::uint32_t ConnectionLimit = 0; // To the address; zero: none.
  Duration ConnectTimeout = seconds(1);
};

/// How an upstream call broke off.
struct UpstreamFailure {
  bool BytesSent = true; // False is proof: not one byte left this host.
  bool TimedOut = false;
  std::string Detail; // For logs.
};

/// Whether two header names are equal, without regard to case.
bool sameHeaderName(std::string_view A, std::string_view B);

/// The value of the first header of this name; empty where there is none.
std::string_view headerValue(const std::vector<HttpHeader> &Headers,
                             std::string_view Name);

} // namespace pimento
