//===- Rig.h - Test fixture with the requests of one entry host -*- C++ -*-===//
#pragma once

#include "base/Json.h"
#include "base/Token.h"
#include "calls/Calls.h"

#include <string>
#include <vector>

namespace pimento::calls {

/// One CallsState with a virtual clock. Out holds the effects of the last input
/// only.
struct Rig {
  Settings Config;
  Directory Dir;
  CallsState S;
  CallsEffects Out;
  TimePoint Now = TimePoint(hours(1));
  std::uint64_t LastExchange = 0;

  Rig() {
    Config.Host.Name = HostId("h1");
    S = makeCalls(Config, 1, 7);
    Dir.Tokens[sha256Hex("token-a")] = {{ServiceId("text"), AccountId("a")},
                                        {ServiceId("ledger"), AccountId("a")}};
    Dir.Tokens[sha256Hex("token-b")] = {{ServiceId("ledger"), AccountId("b")}};
    ServiceRule Text;
    Text.Weights[AccountId("a")] = 4;
    Dir.Services[ServiceId("text")] = Text;
    Dir.Models[ModelName("m")] = {{ServiceId("text"), 100000}};
    ServiceRule Ledger;
    Ledger.Weights[AccountId("a")] = 1;
    Ledger.Weights[AccountId("b")] = 1;
    Ledger.Calls = {{"sign-offs", {"POST"}, false},
                    {"records", {"GET", "POST"}, true}};
    Dir.Services[ServiceId("ledger")] = Ledger;
    Dir.Servers[ServiceId("ledger")] = {{BackendId("l1"), 1, "10.0.0.1:1", {}},
                                        {BackendId("l2"), 1, "10.0.0.2:1", {}}};
  }

  ExchangeId post(const std::string &Path, const std::string &Body,
                  std::vector<HttpHeader> More = {},
                  const std::string &Token = "token-a",
                  HttpMethod Method = HttpMethod::Post) {
    HttpRequest Request;
    Request.Method = Method;
    Request.Path = Path;
    Request.Headers = std::move(More);
    Request.Headers.push_back({"Authorization", "Bearer " + Token});
    Request.Body = Body;
    ExchangeId Exchange{++LastExchange};
    clear();
    onCallerRequest(S, Exchange, Request, Dir, Now, Out);
    return Exchange;
  }
  ExchangeId complete(bool Stream, std::vector<HttpHeader> More = {}) {
    return post("/v1/completions",
                std::string("{\"model\":\"m\",\"prompt\":\"hello\",") +
                    "\"stream\":" + (Stream ? "true" : "false") + "}",
                std::move(More));
  }
  ExchangeId signOff(const std::string &Key,
                     const std::string &Token = "token-a") {
    return post("/v1/services/ledger/calls/sign-offs", "{\"n\":1}",
                {{"Idempotency-Key", Key}}, Token);
  }
  ExchangeId lookUp() {
    return post("/v1/services/ledger/calls/records/7", "", {}, "token-a",
                HttpMethod::Get);
  }

  void clear() { Out = CallsEffects(); }

  void pass(Duration Time) {
    clear();
    Now += Time;
    tick(S, Dir, Now, Out);
  }
  /// Advances the clock from timer to timer and keeps the effects of all ticks.
  void passAll(Duration Time) {
    clear();
    TimePoint End = Now + Time;
    while (nextWakeup(S) <= End) {
      Now = std::max(Now, nextWakeup(S));
      tick(S, Dir, Now, Out);
    }
    Now = End;
  }

  /// Returns all effects of one type since the last input.
  template <class T> std::vector<T> all() const {
    std::vector<T> Found;
    for (const CallsEffect &E : Out.List) {
      if (const T *Content = std::get_if<T>(&E))
        Found.push_back(*Content);
    }
    return Found;
  }
  template <class T> T one() const {
    std::vector<T> Found = all<T>();
    if (Found.size() != 1)
      throw std::runtime_error(std::string("expected one ") + typeid(T).name() +
                               ", found " + std::to_string(Found.size()));
    return Found[0];
  }
  template <class T> bool none() const { return all<T>().empty(); }

  void grant(const AttemptId &Attempt, const std::string &Engine = "e1",
             std::size_t Engines = 1) {
    Grant G;
    G.Attempt = Attempt;
    G.Epoch = 3;
    G.Lease = seconds(2);
    for (std::size_t I = 0; I < Engines; ++I) {
      std::string Name = I == 0 ? Engine : Engine + std::to_string(I);
      G.Engines.push_back({BackendId(Name), Name + ":1", 100});
    }
    clear();
    onGrant(S, G, Dir, Now, Out);
  }
  void sent(UpstreamId Id) {
    clear();
    onUpstreamSent(S, Id, Dir, Now, Out);
  }
  void head(UpstreamId Id, int Status,
            const std::vector<HttpHeader> &Headers = {}) {
    clear();
    onUpstreamHead(S, Id, Status, Headers, Dir, Now, Out);
  }
  void data(UpstreamId Id, const std::string &Bytes) {
    clear();
    onUpstreamData(S, Id, Bytes, Dir, Now, Out);
  }
  void end(UpstreamId Id) {
    clear();
    onUpstreamEnd(S, Id, Dir, Now, Out);
  }
  void fail(UpstreamId Id, bool BytesSent) {
    clear();
    onUpstreamFailed(S, Id, {BytesSent, false, "test"}, Dir, Now, Out);
  }
  void left(ExchangeId Id) {
    clear();
    onCallerLeft(S, Id, Dir, Now, Out);
  }
  void drained(ExchangeId Id, std::uint64_t Pending = 0) {
    clear();
    onCallerDrained(S, Id, Pending, Dir, Now, Out);
  }
  void claimReply(const ClaimRequest &To, ClaimState State,
                  bool Joined = false) {
    ClaimReply Reply;
    Reply.Request = To.Request;
    Reply.Key = To.Key;
    Reply.State = State;
    Reply.Sequence = To.Sequence;
    Reply.Lease = seconds(2);
    Reply.Joined = Joined;
    clear();
    onClaimReply(S, Reply, Dir, Now, Out);
  }

  /// Sends a complete reply of a backend server; keeps the effects of all its
  /// events.
  void answer(UpstreamId Id, int Status, const std::vector<HttpHeader> &Headers,
              const std::string &Body) {
    CallsEffects Kept;
    for (int Step = 0; Step < 3; ++Step) {
      if (Step == 0)
        head(Id, Status, Headers);
      else if (Step == 1)
        data(Id, Body);
      else
        end(Id);
      for (CallsEffect &E : Out.List)
        Kept.List.push_back(std::move(E));
    }
    Out.List = std::move(Kept.List);
  }
};

inline std::string tokenLine(const AttemptId &Attempt, std::uint64_t Offset,
                             const std::string &Text) {
  return "data: {\"attempt\": \"" + toString(Attempt) +
         "\", \"offset\": " + std::to_string(Offset) + ", \"text\": \"" + Text +
         "\"}\n\n";
}
inline std::string endLine(const AttemptId &Attempt, std::uint64_t Tokens) {
  return "data: {\"attempt\": \"" + toString(Attempt) +
         "\", \"end\": true, \"finish\": \"stop\", \"prompt_tokens\": 2, "
         "\"cached_tokens\": 1, \"output_tokens\": " +
         std::to_string(Tokens) + "}\n\n";
}

/// Returns a field of a JSON object as text; empty if there is none.
inline std::string field(const std::string &Body, const char *Name) {
  Failure Why;
  Json Value =
      valueOr<Json>([&] { return parseJson(Body, JsonLimits()); }, Json(), Why);
  if (!Value.is_object() || !Value.contains(Name))
    return {};
  const Json &Field = Value[Name];
  return Field.is_string() ? Field.get<std::string>() : Field.dump();
}
inline std::string code(const SendReply &R) {
  return field(R.Reply.Body, "code");
}
inline std::string outcome(const SendReply &R) {
  return field(R.Reply.Body, "outcome");
}

} // namespace pimento::calls
