#include "node/tests/VirtualBackends.h"

#include "base/Json.h"
#include "fakes/AnswerText.h"

namespace pimento::test {

namespace {

/// One-way delay between a host and a backend server.
constexpr Duration NetworkDelay = microseconds(300);

/// The ID in "/v1/attempts/ID/stream?offset=N".
std::string idIn(const std::string &Target) {
  constexpr std::string_view Prefix = "/v1/attempts/";
  std::string Rest = Target.substr(Prefix.size());
  return Rest.substr(0, Rest.find_first_of("/?"));
}

std::uint64_t offsetIn(const std::string &Target) {
  std::size_t At = Target.find("offset=");
  return At == std::string::npos ? 0 : std::stoull(Target.substr(At + 7));
}

std::vector<std::uint64_t> prefixesOf(const std::string &Prompt) {
  std::vector<std::uint64_t> Hashes;
  for (std::size_t Size = 4096; Size <= Prompt.size(); Size *= 2)
    Hashes.push_back(XXH64(Prompt.data(), Size, 0));
  return Hashes;
}

} // namespace

EngineBackend::EngineBackend(VirtualSite &TheSite, std::uint64_t Tokens)
    : Site(TheSite), MemoryTokens(Tokens) {
  restart(TimePoint(hours(1)));
}

void EngineBackend::restart(TimePoint Now) {
  ++Incarnation;
  Sequence = 0;
  Readers.clear();
  Model = std::make_unique<fakes::Engine>();
  Model->Config.MemoryTokens = MemoryTokens;
  Model->Models = {"m"};
  Model->Clock = Now;
  fakes::OrderConfig Config = Orders.Config;
  Orders = fakes::OrderBook();
  Orders.Config = Config;
  ExecutedFences.clear();
}

void EngineBackend::reply(const UpstreamKey &Key, int Status,
                          const std::string &Body, bool NotRun) {
  std::vector<HttpHeader> Headers = {{"Content-Type", "application/json"}};
  if (NotRun)
    Headers.push_back({"X-Not-Run", "1"});
  Site.toHost(Key, NetworkDelay, UpstreamHead{Key.Call, Status, Headers});
  if (!Body.empty())
    Site.toHost(Key, NetworkDelay, UpstreamData{Key.Call, Body});
  Site.toHost(Key, NetworkDelay, UpstreamEnd{Key.Call, true});
}

void EngineBackend::read(const UpstreamKey &Key, const std::string &Attempt,
                         std::uint64_t From) {
  fakes::attach(*Model, Attempt);
  Reader R;
  R.Attempt = Attempt;
  R.PromptHash = Model->Attempts.at(Attempt).PromptHash;
  R.Next = From;
  Readers[Key] = R;
  Site.toHost(
      Key, NetworkDelay,
      UpstreamHead{Key.Call, 200, {{"Content-Type", "text/event-stream"}}});
}

void EngineBackend::generate(const UpstreamKey &Key, const std::string &Body,
                             TimePoint Now) {
  Json J = Json::parse(Body);
  std::string Prompt = J["prompt"];
  fakes::GenerateOrder Order;
  Order.Id = J["attempt"];
  Order.Model = J["model"];
  Order.PromptHash = fakes::promptHash(Prompt);
  Order.PromptTokens = fakes::tokensOf(Prompt);
  Order.Prefixes = prefixesOf(Prompt);
  Order.MaxTokens = J["max_tokens"];
  Order.Weight = J.value("weight", 1.0);
  std::size_t Members = J.contains("group") ? J["group"]["members"].size() : 0;
  Order.Group = Members > 0;
  fakes::Refusal Refused = fakes::generate(*Model, Order, Now);
  if (Refused == fakes::Refusal::None && Order.Group) {
    // The members hold reservations already; the leader holds the rest.
    std::uint64_t TotalTokens = Order.PromptTokens + Order.MaxTokens;
    std::uint64_t MemberTokens = TotalTokens * Members / (Members + 1);
    Refused = fakes::confirmGroup(*Model, Order.Id, MemberTokens, Now);
  }
  if (Refused != fakes::Refusal::None) {
    reply(Key, 503,
          std::string("{\"reason\":\"") + fakes::toString(Refused) + "\"}",
          true);
    return;
  }
  read(Key, Order.Id, 0);
}

void EngineBackend::memory(const UpstreamKey &Key, TimePoint Now) {
  Json Held = Json::array();
  for (const auto &[Id, A] : Model->Attempts)
    Held.push_back({{"kind", "attempt"},
                    {"id", Id},
                    {"tokens", A.Held},
                    {"age_ms", toMilliseconds(Now - A.Since)}});
  for (const auto &[Id, R] : Model->Reservations)
    Held.push_back({{"kind", "reservation"},
                    {"id", Id},
                    {"tokens", R.Tokens},
                    {"age_ms", toMilliseconds(Now - R.Since)}});
  reply(Key, 200,
        Json({{"incarnation", Incarnation},
              {"total_tokens", MemoryTokens},
              {"used_tokens", Model->UsedTokens},
              {"held", Held}})
            .dump());
}

void EngineBackend::state(const UpstreamKey &Key) {
  Json Loading;
  if (!Orders.Loading.empty())
    Loading = Orders.Loading.front();
  reply(Key, 200,
        Json({{"fence", Orders.Fence},
              {"models", Model->Models},
              {"role", "both"},
              {"loading", Loading},
              {"incarnation", Incarnation}})
            .dump());
}

void EngineBackend::order(const UpstreamKey &Key, const std::string &Body,
                          TimePoint Now) {
  Json J = Json::parse(Body);
  fakes::Order Order;
  Order.Fence = J["fence"];
  Order.Name = J["name"];
  fakes::parseOrderKind(J["order"], Order.Kind);
  fakes::OrderOutcome Outcome = fakes::apply(*Model, Orders, Order, Now);
  if (Outcome == fakes::OrderOutcome::Stale) {
    reply(Key, 409, Json({{"fence", Orders.Fence}}).dump());
    return;
  }
  ExecutedFences.push_back(Order.Fence);
  bool Running = Outcome == fakes::OrderOutcome::Running;
  reply(Key, Running ? 202 : 200,
        Running ? R"({"state":"running"})" : R"({"state":"done"})");
}

void EngineBackend::onRequest(const UpstreamKey &Key, const UpstreamRequest &R,
                              TimePoint Now) {
  fakes::advance(*Model, Now);
  if (Faults.Silent)
    return;
  if (R.Target == "/v1/state") {
    state(Key);
  } else if (R.Target == "/v1/orders") {
    order(Key, R.Body, Now);
  } else if (R.Target == "/v1/generate") {
    generate(Key, R.Body, Now);
  } else if (R.Target == "/v1/memory") {
    memory(Key, Now);
  } else if (R.Target == "/v1/reservations") {
    Json J = Json::parse(R.Body.text());
    auto Lease = milliseconds(J["lease_ms"].get<std::int64_t>());
    bool Reserved = fakes::reserve(*Model, J["attempt"], J["tokens"], Lease,
                                   Now) == fakes::Refusal::None;
    reply(Key, Reserved ? 200 : 409, "{}", !Reserved);
  } else if (R.Method == HttpMethod::Delete) {
    fakes::CancelResult Result = fakes::cancel(*Model, idIn(R.Target), Now);
    bool Known = Result.Outcome != fakes::CancelOutcome::Forgotten;
    reply(Key, Known ? 200 : 404, "{\"freed\":0}");
  } else if (Model->Attempts.count(idIn(R.Target)) != 0) {
    read(Key, idIn(R.Target), offsetIn(R.Target));
  } else {
    reply(Key, 404, "{}");
  }
}

void EngineBackend::onDisconnect(const UpstreamKey &Key, TimePoint Now) {
  auto Found = Readers.find(Key);
  if (Found == Readers.end())
    return;
  fakes::detach(*Model, Found->second.Attempt, Now);
  Readers.erase(Found);
}

/// Sends new tokens to a reader. False where the connection has ended.
bool EngineBackend::feed(const UpstreamKey &Key, Reader &R) {
  auto Found = Model->Attempts.find(R.Attempt);
  if (Found == Model->Attempts.end()) {
    Site.toHost(Key, NetworkDelay, UpstreamFailed{Key.Call, {}});
    return false;
  }
  const fakes::Attempt &A = Found->second;
  std::string Bytes;
  for (; R.Next < A.Produced; ++R.Next, ++R.Sent) {
    if (Faults.BreakStreamAfterTokens != 0 &&
        R.Sent >= Faults.BreakStreamAfterTokens) {
      Site.toHost(Key, NetworkDelay, UpstreamData{Key.Call, Bytes});
      Site.toHost(Key, NetworkDelay, UpstreamFailed{Key.Call, {}});
      return false;
    }
    Json Event = {{"attempt", R.Attempt},
                  {"offset", R.Next},
                  {"text", fakes::answerToken(R.PromptHash, R.Next)}};
    Bytes += "data: " + Event.dump() + "\n\n";
  }
  bool Done = A.State == fakes::AttemptState::Done;
  if (Done)
    Bytes += "data: " +
             Json({{"attempt", R.Attempt},
                   {"end", true},
                   {"finish", "length"},
                   {"prompt_tokens", A.PromptTokens},
                   {"cached_tokens", A.CachedTokens},
                   {"output_tokens", A.Produced}})
                 .dump() +
             "\n\n";
  else if (Bytes.empty() && A.State == fakes::AttemptState::Prefill)
    Bytes = ": prefill 0/1\n\n";
  if (!Bytes.empty())
    Site.toHost(Key, NetworkDelay, UpstreamData{Key.Call, Bytes});
  if (Done)
    Site.toHost(Key, NetworkDelay, UpstreamEnd{Key.Call, true});
  return !Done;
}

void EngineBackend::tick(TimePoint Now) {
  fakes::advance(*Model, Now);
  fakes::advanceOrders(*Model, Orders, Now);
  if (Faults.Silent)
    return;
  for (auto It = Readers.begin(); It != Readers.end();) {
    if (feed(It->first, It->second)) {
      ++It;
      continue;
    }
    fakes::detach(*Model, It->second.Attempt, Now);
    It = Readers.erase(It);
  }
}

std::string EngineBackend::announcement() {
  return Json({{"id", Id},
               {"incarnation", Incarnation},
               {"sequence", ++Sequence},
               {"address", Address},
               {"kind", "engine"},
               {"data_centre", DataCentre},
               {"models", Model->Models},
               {"memory_tokens", MemoryTokens},
               {"checks_fence", Orders.Config.ChecksFence},
               {"leaving", Faults.Leaving},
               {"load",
                {{"used_tokens", Model->UsedTokens},
                 {"running", Model->Batch.size()},
                 {"waiting", Model->Queue.size()},
                 {"age_ms", 0}}},
               {"cache",
                {{"sequence", 0},
                 {"added", Json::array()},
                 {"removed", Json::array()}}}})
      .dump();
}

void PlainBackend::onRequest(const UpstreamKey &Key, const UpstreamRequest &R,
                             TimePoint Now) {
  if (Faults.Silent)
    return;
  std::string IdempotencyKey(headerValue(R.Headers, "Idempotency-Key"));
  if (R.Method == HttpMethod::Post)
    Site.Runs.push_back(
        {IdempotencyKey,
         std::string(headerValue(R.Headers, "X-Client-Account")), R.Body,
         BackendId(Id), Now});
  if (Faults.DieBeforeAnswer) {
    Faults.Down = true;
    Site.toHost(Key, Faults.Latency, UpstreamFailed{Key.Call, {}});
    return;
  }
  std::string Request(headerValue(R.Headers, "X-Request-Id"));
  Site.toHost(Key, Faults.Latency,
              UpstreamHead{Key.Call,
                           200,
                           {{"Content-Type", "application/json"},
                            {"X-Request-Id", Request}}});
  Site.toHost(Key, Faults.Latency,
              UpstreamData{Key.Call, "{\"ran\":\"" + IdempotencyKey + "\"}"});
  Site.toHost(Key, Faults.Latency, UpstreamEnd{Key.Call, true});
}

std::string PlainBackend::announcement() {
  return Json({{"id", Id},
               {"incarnation", Incarnation},
               {"sequence", ++Sequence},
               {"address", Address},
               {"kind", "plain"},
               {"data_centre", DataCentre},
               {"service", Service},
               {"leaving", Faults.Leaving}})
      .dump();
}

} // namespace pimento::test
