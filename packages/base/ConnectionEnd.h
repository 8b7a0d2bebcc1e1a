//===- ConnectionEnd.h - How a TCP connection ended -------------*- C++ -*-===//
#pragma once

namespace pimento {

/// How a connection ended.
enum class ConnectionEnd {
  Close,   // The other side closed it, or sends no more.
  Reset,   // The other side, or the network, reset it.
  Silence, // The other side took or acknowledged nothing for too long.
  Host,    // This host ended it.
};

/// What a connection was used for when it ended. A connection to a backend
/// server or to a peer is idle, waiting or answering.
enum class ConnectionUse {
  Idle,      // Between two requests, or before the first one.
  Head,      // The head of a request is being read.
  Body,      // The body of a request is being read.
  Waiting,   // A request is in progress; nothing of its answer was sent.
  Answering, // The answer is being sent.
};

constexpr const char *toString(ConnectionEnd End) {
  switch (End) {
  case ConnectionEnd::Close:
    return "close";
  case ConnectionEnd::Reset:
    return "reset";
  case ConnectionEnd::Silence:
    return "silence";
  case ConnectionEnd::Host:
    break;
  }
  return "host";
}

constexpr const char *toString(ConnectionUse Use) {
  switch (Use) {
  case ConnectionUse::Idle:
    return "idle";
  case ConnectionUse::Head:
    return "head";
  case ConnectionUse::Body:
    return "body";
  case ConnectionUse::Waiting:
    return "waiting";
  case ConnectionUse::Answering:
    break;
  }
  return "answering";
}

/// Why a request ended whose caller is gone, in logs.
constexpr const char *leftReason(ConnectionEnd End) {
  switch (End) {
  case ConnectionEnd::Close:
    return "the caller closed its connection";
  case ConnectionEnd::Reset:
    return "the caller's connection was reset";
  case ConnectionEnd::Silence:
    return "the caller was silent for too long";
  case ConnectionEnd::Host:
    break;
  }
  return "this host closed the caller's connection";
}

} // namespace pimento
