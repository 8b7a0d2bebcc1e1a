//===- EngineState.h - Shared by the engine server's files ------*- C++ -*-===//
#pragma once

#include "fakes/EngineReports.h"
#include "fakes/EngineServer.h"
#include "fakes/Http.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pimento::fakes {

/// One connection that reads an attempt.
struct Stream {
  EngineServer *Server = nullptr;
  std::uint64_t Number = 0;
  evhttp_request *Req = nullptr;
  std::string Attempt;
  bool Muted = false;          // No reply is ever sent.
  bool Started = false;        // Status and headers were sent.
  bool Writing = false;        // A chunk is being written.
  std::uint64_t Offset = 0;    // Next token to send.
  std::int64_t SentTokens = 0; // Tokens on this connection.
  std::int64_t SentBytes = 0;  // Event bytes on this connection.
  std::int64_t CutAfterTokens = -1;
  std::int64_t CutAfterBytes = -1;
  std::int64_t FailAfterTokens = -1;
};

/// The other engines of a group that this engine leads.
struct GroupWatch {
  std::vector<std::string> Members; // ip:port each.
  bool Running = false;             // Confirmed; members are monitored.
  std::size_t Pending = 0;          // Members yet to reply.
  bool Lost = false;                // A member does not hold its part.
  std::uint64_t Tokens = 0;         // Sum held by the members.
};

struct EngineServer {
  event_base *Base = nullptr;
  EngineOptions Options;
  EngineSwitches Switches;
  std::uint64_t Incarnation = 0;
  Engine Model;
  OrderBook Orders;
  LoadHistory Load;
  CacheFeed Feed;
  Random Source;               // Selects events by share.
  std::int64_t TokensSent = 0; // Since die_after_tokens was set.
  bool Draining = false;
  bool MinDrainPassed = false; // The shortest drain has passed.
  std::map<std::uint64_t, Stream> Streams;
  std::uint64_t LastStream = 0;
  std::map<std::string, GroupWatch> Groups; // By attempt.
  std::unique_ptr<Delays> DelayedCalls;
  Listener HttpListener; // Declared after all members that its callbacks use.
  std::unique_ptr<HttpCaller> Caller;
  std::unique_ptr<Timer> ModelTimer; // Next event of the model.
  std::unique_ptr<Timer> TickTimer;  // Progress, load samples, loads.
  std::unique_ptr<Timer> GroupTimer; // Checks of group members.
  std::unique_ptr<Announcer> BackendAnnouncer;
};

/// Advances the model to now, feeds the streams and arms the model timer.
void turn(EngineServer &S);
/// Applies the switches.
void applySwitches(EngineServer &S);

// EngineRoutes.cpp
void onEngineRequest(evhttp_request *Req, void *Arg);
void replyRefusal(evhttp_request *Req, int Status, const std::string &Reason,
                  const std::string &Detail);

// EngineGenerate.cpp
void serveGenerate(EngineServer &S, evhttp_request *Req);
void serveResume(EngineServer &S, evhttp_request *Req, const std::string &Id);
void checkGroups(EngineServer &S);

// EngineStreams.cpp
Stream &openStream(EngineServer &S, evhttp_request *Req,
                   const std::string &Attempt);
/// Sends status and headers.
void beginStream(EngineServer &S, Stream &T);
/// Detaches the request; the caller must reply to it.
void closeStream(EngineServer &S, Stream &T);
/// Sends produced tokens as far as the connection accepts them.
void feedStream(EngineServer &S, Stream &T);
/// Sends the progress of the prefill to the streams.
void sendProgress(EngineServer &S);

} // namespace pimento::fakes
