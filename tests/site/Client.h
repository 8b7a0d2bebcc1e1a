//===- Client.h - Blocking HTTP client of the site tests --------*- C++ -*-===//
//
// 1. Connection   raw bytes on one socket
// 2. exchange()   one request on a connection of its own
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Http.h"
#include "base/Json.h"
#include "base/Time.h"

#include <string>
#include <vector>

namespace pimento::site {

/// One TCP connection.
class Connection {
public:
  /// Connects to \p Address (ip:port); see connected().
  explicit Connection(const std::string &Address);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool connected() const { return Connected; }
  void write(const std::string &Bytes) const;
  /// Waits for more bytes and appends them to Received. False once the peer
  /// has closed the connection or \p Until has passed.
  bool read(TimePoint Until);
  /// Reads until the peer closes the connection. False if it is still open at
  /// \p Until.
  bool readAll(TimePoint Until);

  std::string Received;
  bool Closed = false; // Whether the peer closed the connection.

private:
  int Socket;
  bool Connected = false;
};

/// One HTTP request. An empty token sends no Authorization header.
struct Request {
  std::string Address; // ip:port
  std::string Method = "GET";
  std::string Path;
  std::string Token;
  std::string Body;
  std::vector<HttpHeader> Headers;
};

struct Reply {
  int Status = 0;        // HTTP status; 0: no complete header was received.
  bool Complete = false; // The body arrived in full, by length or last chunk.
  std::string Body;
  TimePoint Started;
  Duration Elapsed = Duration::zero();
};

/// Serializes \p R as HTTP/1.1 with "Connection: close".
std::string textOf(const Request &R);
/// Parses all bytes received on a connection as one HTTP response.
Reply readReply(const std::string &Bytes);
/// Sends \p R on a connection of its own and reads until the peer closes it
/// or \p Timeout has passed.
Reply exchange(const Request &R, Duration Timeout = seconds(30));

/// The body as JSON; a discarded value if it is not valid JSON.
Json jsonOf(const Reply &R);
/// The "code" of an error response; -1 if the body has none.
int codeOf(const Reply &R);
/// Whether \p R is a complete response: status 200 or an error with a code.
bool isFinal(const Reply &R);

TimePoint now();
/// Polls until \p Done returns true. False if \p Timeout passes first.
template <class F> bool waitUntil(Duration Timeout, F Done);

void pause(Duration D);

template <class F> bool waitUntil(Duration Timeout, F Done) {
  TimePoint Until = now() + Timeout;
  while (!Done()) {
    if (now() > Until)
      return false;
    pause(milliseconds(20));
  }
  return true;
}

} // namespace pimento::site
