// Benchmarks of request handling: retries, claims, memory, drain, parsing.
//
//   callsBench            everything; exit status 1 if a bound is exceeded
//
// Bounds apply to counted work and virtual time only. Wall-clock times are
// printed without a bound, since they depend on the host.

#include "CallsBench.h"

#include "base/Token.h"
#include "calls/Calls.h"
#include "engine/Adapter.h"

#include <algorithm>
#include <cstdio>
#include <malloc.h>

namespace pimento::bench {

namespace {

constexpr std::size_t PromptBytes = 4U << 20U; // About a million tokens.

double millisecondsOf(std::chrono::steady_clock::time_point Start) {
  return toSeconds(std::chrono::steady_clock::now() - Start) * 1000;
}

std::string promptBody(std::size_t Bytes, bool Stream) {
  std::string Prompt;
  while (Prompt.size() < Bytes)
    Prompt += "The quick brown fox jumps over the lazy dog. ";
  Prompt.resize(Bytes);
  return std::string("{\"model\":\"m\",\"stream\":") +
         (Stream ? "true" : "false") + ",\"prompt\":\"" + Prompt + "\"}";
}

calls::Directory directory() {
  calls::Directory Dir;
  Dir.Tokens[sha256Hex("token")] = {{ServiceId("text"), AccountId("a")}};
  Dir.Services[ServiceId("text")].Weights[AccountId("a")] = 1;
  Dir.Models[ModelName("m")] = {{ServiceId("text"), 0}};
  return Dir;
}

HttpRequest completion(std::size_t Bytes, bool Stream) {
  HttpRequest R;
  R.Method = HttpMethod::Post;
  R.Path = "/v1/completions";
  R.Headers = {{"Authorization", "Bearer token"}};
  R.Body = promptBody(Bytes, Stream);
  return R;
}

void measureParsing() {
  HttpRequest R = completion(PromptBytes, false);
  constexpr int Rounds = 10;
  auto Start = std::chrono::steady_clock::now();
  std::size_t Bytes = 0;
  for (int I = 0; I < Rounds; ++I)
    Bytes += calls::readCompletion(R).value().Prompt.size();
  double Parse = millisecondsOf(Start) / Rounds;
  calls::Completion Wanted = calls::readCompletion(R).value();
  Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Rounds; ++I)
    Bytes += prefixHashes(Wanted.Prompt).size();
  double Hash = millisecondsOf(Start) / Rounds;
  GenerateOrder Order;
  Order.Prompt = Wanted.Prompt;
  Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Rounds; ++I)
    Bytes += generateRequest("", Order).Body.size();
  double Write = millisecondsOf(Start) / Rounds;
  std::printf("million-token prompt: parse %.2f ms, hash %.2f ms, write %.2f "
              "ms (%zu bytes passed)\n",
              Parse, Hash, Write, Bytes);
}

/// A host whose requests all stream; engines send tokens until back pressure
/// from the callers stops them.
struct SlowCallers {
  calls::Directory Dir = directory();
  calls::CallsState S;
  TimePoint Now = TimePoint(hours(1));

  SlowCallers() { S = calls::makeCalls(Settings(), 1, 1); }

  bool start(std::uint64_t Exchange) {
    calls::CallsEffects Out;
    onCallerRequest(S, ExchangeId(Exchange), completion(4000, true), Dir, Now,
                    Out);
    const auto *Asked = std::get_if<calls::SendGrantRequest>(&Out.List.front());
    if (Asked == nullptr)
      return false;
    Grant G;
    G.Attempt = Asked->Content.Attempt;
    G.Engines = {{BackendId("e"), "e", 1}};
    calls::CallsEffects Granted;
    onGrant(S, G, Dir, Now, Granted);
    UpstreamId Id = std::get<calls::OpenUpstream>(Granted.List[0]).Upstream;
    calls::CallsEffects Rest;
    onUpstreamHead(S, Id, 200, {}, Dir, Now, Rest);
    for (std::uint64_t Token = 0; !paused(Rest); ++Token) {
      Rest = calls::CallsEffects();
      std::string Event = "data: {\"attempt\":\"" + toString(G.Attempt) +
                          "\",\"offset\":" + std::to_string(Token) +
                          ",\"text\":\" word\"}\n\n";
      onUpstreamData(S, Id, Event, Dir, Now, Rest);
    }
    return true;
  }

  static bool paused(const calls::CallsEffects &Out) {
    return std::any_of(Out.List.begin(), Out.List.end(), [](const auto &E) {
      return std::holds_alternative<calls::PauseUpstream>(E);
    });
  }
};

bool measureMemory() {
  constexpr std::size_t Callers = 1000;
  SlowCallers Host;
  malloc_trim(0);
  std::size_t Before = mallinfo2().uordblks;
  std::size_t Started = 0;
  for (std::size_t I = 1; I <= Callers; ++I)
    Started += Host.start(I) ? 1 : 0;
  std::size_t Heap = mallinfo2().uordblks - Before;
  double Held =
      static_cast<double>(Host.S.Bytes) / static_cast<double>(Started);
  double Own = static_cast<double>(Heap) / static_cast<double>(Started);
  double Buffer = static_cast<double>(Host.S.Limits.StreamBufferBytes);
  std::printf("slow callers: %zu started, %.0f bytes counted and %.0f bytes of "
              "state each\n",
              Started, Held, Own);
  // Counted memory: a full buffer, one more event, and the prompt.
  bool Good = within("bytes counted for a slow caller", Held, Buffer + 8192);
  Good &= within("bytes of all slow callers", static_cast<double>(Host.S.Bytes),
                 static_cast<double>(Host.S.Limits.TotalBufferBytes));
  return within("state of a request beside its buffers", Own, 16384) && Good;
}

/// Drains a host whose requests have known remaining times: all requests finish
/// and the drain takes no longer than the longest of them.
bool measureDrain() {
  SlowCallers Host;
  for (std::uint64_t I = 1; I <= 100; ++I)
    Host.start(I);
  TimePoint Began = Host.Now;
  calls::CallsEffects Out;
  beginDrain(Host.S, Host.Now, Out);
  Host.Dir.RefuseNew = true;
  // The caller of request I has read its whole response after I * 100 ms.
  constexpr Duration Step = milliseconds(100);
  for (std::uint64_t I = 1; I <= 100; ++I) {
    Host.Now += Step;
    auto Exchange = ExchangeId(I);
    onCallerLeft(Host.S, Exchange, Host.Dir, Host.Now, Out);
    std::vector<calls::CallsEffect> Asked = std::move(Out.List);
    Out = calls::CallsEffects();
    for (const calls::CallsEffect &E : Asked) {
      if (const auto *Open = std::get_if<calls::OpenUpstream>(&E))
        onUpstreamHead(Host.S, Open->Upstream, 200, {}, Host.Dir, Host.Now,
                       Out);
    }
  }
  double Took = toSeconds(Host.Now - Began);
  std::printf("drain: 100 streams, the last one ends after 10.0 s: idle %s "
              "after %.1f s\n",
              idle(Host.S) ? "yes" : "no", Took);
  return within("requests left after a drain",
                static_cast<double>(Host.S.Requests.size()), 0) &&
         idle(Host.S);
}

} // namespace

bool within(const char *What, double Figure, double Bound) {
  bool Good = Figure <= Bound;
  std::printf("%s %s: %.3f, bound %.3f\n", Good ? "ok  " : "FAIL", What, Figure,
              Bound);
  return Good;
}

} // namespace pimento::bench

int main() {
  using namespace pimento::bench;
  bool Good = measureRetries();
  Good = measureClaims() && Good;
  Good = measureMemory() && Good;
  Good = measureDrain() && Good;
  measureParsing();
  return Good ? 0 : 1;
}
