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
  std::string Token;   // Of the client account; hosts only.
  std::string Model;
  std::string Prompt;
  std::uint64_t MaxTokens = 0;
  bool KeepText = true; // Whether the answer is kept and compared.
};

struct StreamResult {
  int Status = 0;           // Zero: no reply.
  std::uint64_t Tokens = 0; // Events with text.
  bool Whole = false;       // The end marker came.
  std::string Text;         // Empty unless KeepText.
  TimePoint StartedAt;
  TimePoint LastTokenAt;
  Duration FirstToken = Duration::zero(); // From the start.
  std::vector<Duration> Gaps;             // Between tokens.
};

/// Holds any number of streams. Those in progress are closed when it goes.
struct StreamClient {
  explicit StreamClient(event_base *Base) : Base(Base), Later(Base) {}
  ~StreamClient();
  StreamClient(const StreamClient &) = delete;
  StreamClient &operator=(const StreamClient &) = delete;

  /// \p OnEnd is called once, unless the client goes first.
  void start(const StreamRequest &Request,
             std::function<void(const StreamResult &)> OnEnd);
  /// Streams that had a token within the last \p Age.
  std::size_t alive(Duration Age) const;
  std::size_t size() const { return Streams.size(); }
  /// The gaps between tokens that open streams have seen, taken from them.
  std::vector<Duration> takeGaps();
  /// Closes what is open, without a call of OnEnd.
  void closeAll();

private:
  struct Stream {
    StreamClient *Owner = nullptr;
    StreamRequest Request;
    StreamResult Result;
    std::function<void(const StreamResult &)> OnEnd;
    evhttp_connection *Connection = nullptr;
    std::string Unread; // A line that has not come whole yet.
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
