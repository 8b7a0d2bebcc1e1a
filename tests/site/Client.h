//===- Client.h - Blocking HTTP and bytes for the tests ---------*- C++ -*-===//
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
  explicit Connection(const std::string &Address); // ip:port
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool connected() const { return Connected; }
  void write(const std::string &Bytes) const;
  /// Waits for more bytes, up to \p Until. False at the end or past the time.
  bool read(TimePoint Until);
  /// Reads to the end. False where the other side is still there at \p Until.
  bool readAll(TimePoint Until);

  std::string Received;
  bool Closed = false; // By the other side.

private:
  int Socket;
  bool Connected = false;
};

/// One request; the token may be empty.
struct Request {
  std::string Address; // ip:port
  std::string Method = "GET";
  std::string Path;
  std::string Token;
  std::string Body;
  std::vector<HttpHeader> Headers;
};

struct Reply {
  int Status = 0;     // Zero: no whole head came.
  bool Whole = false; // The body ended as HTTP says it must.
  std::string Body;
  TimePoint Began;
  Duration Took = Duration::zero();
};

/// The bytes of \p R.
std::string textOf(const Request &R);
/// What \p Bytes of a closed connection say.
Reply readReply(const std::string &Bytes);
/// Sends \p R and reads until the other side closes or \p Patience is over.
Reply exchange(const Request &R, Duration Patience = seconds(30));

/// The body as JSON; null where it is none.
Json jsonOf(const Reply &R);
/// The code of a problem reply; -1 where it is none.
int codeOf(const Reply &R);
/// Whether it is a whole answer or a whole problem reply.
bool isFinal(const Reply &R);

TimePoint now();
/// Asks until \p Done holds. False once \p Patience is over.
template <class F> bool waitUntil(Duration Patience, F Done);

void pause(Duration D);

template <class F> bool waitUntil(Duration Patience, F Done) {
  TimePoint Until = now() + Patience;
  while (!Done()) {
    if (now() > Until)
      return false;
    pause(milliseconds(20));
  }
  return true;
}

} // namespace pimento::site
