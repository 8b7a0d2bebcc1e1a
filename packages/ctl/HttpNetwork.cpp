#include "ctl/HttpNetwork.h"

#include "shell/EventLoop.h"
#include "shell/HttpClient.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>
#include <thread>

namespace pimento::ctl {

namespace {

constexpr UpstreamId OnlyCall{1};

/// One HTTP request, run on a private event loop.
class HttpCall {
public:
  HttpCall()
      : Base(makeEventBase()), Client(Base.get(), hooks()),
        Deadline(Base.get(), [this] { abortCall("no answer in time", true); }) {
  }

  Attempt run(const UpstreamRequest &Request, Duration Limit) {
    Deadline.start(Limit);
    Client.open(OnlyCall, Request);
    if (!Done)
      event_base_dispatch(Base.get());
    return std::move(Result);
  }

private:
  HttpClientHooks hooks() {
    HttpClientHooks H;
    H.Sent = [this](UpstreamId, bool) { Sent = true; };
    H.Head = [this](UpstreamId, int Status, std::vector<HttpHeader> Headers) {
      Result.Reply.Status = Status;
      Result.Reply.Headers = std::move(Headers);
    };
    H.Data = [this](UpstreamId, const std::string &Bytes) {
      Result.Reply.Body += Bytes;
      if (Result.Reply.Body.size() > MaxReplyBytes)
        abortCall("the reply is too large", false);
    };
    H.End = [this](UpstreamId, bool Delimited) {
      Result.Answered = Delimited;
      Result.Failure.Detail = Delimited ? "" : "the reply was cut";
      finish();
    };
    H.Failed = [this](UpstreamId, UpstreamFailure Why) {
      Result.Failure = std::move(Why);
      finish();
    };
    return H;
  }

  void abortCall(const char *Detail, bool TimedOut) {
    Client.abort(OnlyCall);
    Result.Failure.BytesSent = Sent;
    Result.Failure.TimedOut = TimedOut;
    Result.Failure.Detail = Detail;
    finish();
  }

  void finish() {
    Done = true;
    event_base_loopbreak(Base.get());
  }

  EventBasePtr Base;
  bool Sent = false;
  bool Done = false;
  Attempt Result;
  HttpClient Client;
  Timer Deadline;
};

} // namespace

Network httpNetwork() {
  Network N;
  N.Send = [](const UpstreamRequest &Request, Duration Limit) {
    return HttpCall().run(Request, Limit);
  };
  N.Now = [] {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  };
  N.Sleep = [](Duration D) { std::this_thread::sleep_for(D); };
  return N;
}

std::string encodeSegment(const std::string &Text) {
  std::unique_ptr<char, decltype(&std::free)> Encoded(
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()), 0),
      &std::free);
  return Encoded ? Encoded.get() : "";
}

} // namespace pimento::ctl
