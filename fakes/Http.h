//===- Http.h - Small HTTP server and client helpers ------------*- C++ -*-===//
//
//   Listener L = listenHttp(Base, "127.0.0.1:0", Handler, Arg);
//   replyJson(Req, 200, Body);
//   HttpCaller Caller(Base);
//   Caller.call({"127.0.0.1:8080", EVHTTP_REQ_GET, "/x"}, OnReply);
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Json.h"
#include "fakes/Libevent.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pimento::fakes {

struct Header {
  const char *Name = "";
  std::string Value;
};

/// An IPv4 address and port.
struct Endpoint {
  std::string Ip;
  std::uint16_t Port = 0; // Zero: assigned by the system.
};

/// Returns false, and leaves \p E unchanged, unless \p Text is "ip:port".
bool parseEndpoint(std::string_view Text, Endpoint &E);

struct Listener {
  HttpPtr Http;        // Null if the address can't be bound.
  std::string Address; // ip:port as bound.
};

using HttpHandler = void (*)(evhttp_request *, void *);

/// Serves \p Address for all methods and bodies of up to MaxBodyBytes.
Listener listenHttp(event_base *Base, const std::string &Address,
                    HttpHandler Handler, void *Arg);

/// Largest body that is accepted: room for a million-token prompt and its JSON
/// escapes.
constexpr std::size_t MaxBodyBytes = 64U << 20U;

/// The body of \p Req, as a view into its buffer.
std::string_view bodyOf(evhttp_request *Req);
/// A header of the request; empty if absent.
std::string headerOf(evhttp_request *Req, const char *Name);
/// The path without its query.
std::string pathOf(evhttp_request *Req);
/// The value of \p Name in the query; empty if absent.
std::string queryOf(evhttp_request *Req, const char *Name);

void replyJson(evhttp_request *Req, int Status, const Json &Body,
               const std::vector<Header> &Headers = {});

/// Calls \p OnClose if the caller's connection closes before the reply is
/// complete. evhttp alone detects this only after a reply has begun.
void watchForClose(evhttp_request *Req,
                   void (*OnClose)(evhttp_connection *, void *), void *Arg);

/// Closes the connection of \p Req at once and frees the request.
void cutConnection(evhttp_request *Req);

struct HttpCall {
  std::string Address; // ip:port
  evhttp_cmd_type Method = EVHTTP_REQ_GET;
  std::string Path;
  std::string Body = {};
  std::vector<Header> Headers = {};
  Duration Timeout = seconds(1);
};

/// A reply; status 0 if no complete reply arrived.
struct HttpReply {
  int Status = 0;
  std::string Body;
};

/// Makes calls, each on its own connection. The destructor drops calls in
/// progress without calling their OnReply.
struct HttpCaller {
  explicit HttpCaller(event_base *Base) : Base(Base), DelayedCalls(Base) {}
  ~HttpCaller();
  HttpCaller(const HttpCaller &) = delete;
  HttpCaller &operator=(const HttpCaller &) = delete;

  /// \p OnReply is called exactly once, never before this returns.
  void call(const HttpCall &Call,
            std::function<void(const HttpReply &)> OnReply);

private:
  struct Pending {
    HttpCaller *Owner = nullptr;
    evhttp_connection *Connection = nullptr;
    std::function<void(const HttpReply &)> OnReply;
    std::list<Pending>::iterator Self;
  };
  static void onDone(evhttp_request *Req, void *Arg);
  static bool start(Pending &Call, const HttpCall &What);
  void finish(Pending &Call, const HttpReply &Reply);

  event_base *Base;
  std::list<Pending> Calls;
  Delays DelayedCalls;
};

/// Reads the value at \p Key if it is an unsigned number that fits.
bool readCount(const Json &Object, const char *Key, std::uint64_t &Value);
/// Reads the value at \p Key if it is a string.
bool readText(const Json &Object, const char *Key, std::string &Value);

/// Prints \p Line to standard output and, unless \p File is empty, writes it to
/// that file atomically.
bool publishReady(const std::string &File, const Json &Line);

} // namespace pimento::fakes
