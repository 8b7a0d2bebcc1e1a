//===- StreamClient.h - Reads streamed answers and times them ---*- C++ -*-===//
//
// The same request goes to a model engine directly or through an entry host,
// so that the difference is the cost of the path.
//
//   StreamClient Client(Base);
//   Client.start(Request, [](const StreamResult &R) { ... });
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Time.h"
#include "fakes/Http.h"

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace pimento::bench {

enum class Path : std::uint8_t {
  Direct, // POST /v1/generate of an engine.
  Host,   // POST /v1/completions of an entry host.
};

struct StreamRequest {
  Path Via = Path::Direct;
  std::string Address; // ip:port
  std::string Token;   // Token of the client account; for Path::Host only.
  std::string Model;
  std::string Prompt;
  std::uint64_t MaxTokens = 0;
  bool KeepText = true; // Keeps the answer's text for comparison.
};

struct StreamResult {
  int Status = 0;           // HTTP status; zero: no response.
  std::uint64_t Tokens = 0; // Events with text.
  bool Whole = false;       // End marker was received.
  std::string Text;         // Empty unless KeepText.
  TimePoint StartedAt;
  TimePoint LastTokenAt;
  Duration FirstToken = Duration::zero(); // From the start.
  std::vector<Duration> Gaps;             // Between tokens.
};

/// Runs any number of streams. The destructor closes open streams.
struct StreamClient {
  explicit StreamClient(event_base *Base) : Base(Base), Later(Base) {}
  ~StreamClient();
  StreamClient(const StreamClient &) = delete;
  StreamClient &operator=(const StreamClient &) = delete;

  /// Starts a stream. \p OnEnd is called once, unless the client is destroyed
  /// or closeAll() is called first.
  void start(const StreamRequest &Request,
             std::function<void(const StreamResult &)> OnEnd);
  /// Number of streams that received a token within the last \p Age.
  std::size_t alive(Duration Age) const;
  std::size_t size() const { return Streams.size(); }
  /// Returns and clears the recorded gaps between tokens of all open streams.
  std::vector<Duration> takeGaps();
  /// Closes all open streams without calling OnEnd.
  void closeAll();

private:
  struct Stream {
    StreamClient *Owner = nullptr;
    StreamRequest Request;
    StreamResult Result;
    std::function<void(const StreamResult &)> OnEnd;
    evhttp_connection *Connection = nullptr;
    std::string Unread; // Incomplete last line.
    bool Ended = false;
    std::list<Stream>::iterator Self;
  };
  static void onChunk(evhttp_request *Req, void *Arg);
  static void onDone(evhttp_request *Req, void *Arg);
  static void readLine(Stream &S, std::string_view Line);

  event_base *Base;
  std::list<Stream> Streams;
  std::uint64_t Attempts = 0;
  fakes::Delays Later;
};

} // namespace pimento::bench
