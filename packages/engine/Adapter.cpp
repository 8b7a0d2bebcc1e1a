#include "engine/Adapter.h"

#include "base/Json.h"

namespace pimento {

namespace {

/// Replaces what is not UTF-8, which a parsed prompt never holds.
std::string dump(const Json &Body) {
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

UpstreamRequest bare(const std::string &Address, HttpMethod Method,
                     std::string Target) {
  UpstreamRequest Request;
  Request.Address = Address;
  Request.Method = Method;
  Request.Target = std::move(Target);
  return Request;
}

UpstreamRequest post(const std::string &Address, std::string Target,
                     std::string Body) {
  UpstreamRequest Request = bare(Address, HttpMethod::Post, std::move(Target));
  Request.Headers.push_back({"Content-Type", "application/json"});
  Request.Body = std::move(Body);
  return Request;
}

const char *toString(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::Load:
    return "load";
  case OrderKind::Unload:
    return "unload";
  case OrderKind::Role:
    break;
  }
  return "role";
}

} // namespace

UpstreamRequest generateRequest(const std::string &Address,
                                const GenerateOrder &Order) {
  Json Body = {{"attempt", toString(Order.Attempt)},
               {"model", Order.Model.Value},
               {"prompt", Order.Prompt},
               {"max_tokens", Order.MaxTokens},
               {"weight", Order.Weight},
               {"epoch", Order.Epoch}};
  if (!Order.Members.empty())
    Body["group"] = {{"members", Order.Members}};
  return post(Address, "/v1/generate", dump(Body));
}

UpstreamRequest resumeRequest(const std::string &Address,
                              const AttemptId &Attempt, std::uint64_t Offset) {
  return bare(Address, HttpMethod::Get,
              "/v1/attempts/" + toString(Attempt) +
                  "/stream?offset=" + std::to_string(Offset));
}

UpstreamRequest cancelRequest(const std::string &Address,
                              const AttemptId &Attempt) {
  return bare(Address, HttpMethod::Delete, "/v1/attempts/" + toString(Attempt));
}

UpstreamRequest attemptRequest(const std::string &Address,
                               const AttemptId &Attempt) {
  return bare(Address, HttpMethod::Get, "/v1/attempts/" + toString(Attempt));
}

UpstreamRequest reserveRequest(const std::string &Address,
                               const AttemptId &Attempt, std::uint64_t Tokens,
                               Duration Lease) {
  Json Body = {{"attempt", toString(Attempt)},
               {"tokens", Tokens},
               {"lease_ms", toMilliseconds(Lease)}};
  return post(Address, "/v1/reservations", dump(Body));
}

UpstreamRequest memoryRequest(const std::string &Address) {
  return bare(Address, HttpMethod::Get, "/v1/memory");
}

UpstreamRequest exportRequest(const std::string &Address,
                              const AttemptId &Attempt) {
  return post(Address, "/v1/attempts/" + toString(Attempt) + "/export", "{}");
}

UpstreamRequest dropExportRequest(const std::string &Address,
                                  const std::string &Handle) {
  return bare(Address, HttpMethod::Delete, "/v1/exports/" + Handle);
}

UpstreamRequest importRequest(const std::string &Address,
                              const AttemptId &Attempt, const std::string &From,
                              const std::string &Handle) {
  Json Body = {
      {"from", From}, {"handle", Handle}, {"attempt", toString(Attempt)}};
  return post(Address, "/v1/imports", dump(Body));
}

UpstreamRequest orderRequest(const std::string &Address,
                             const EngineOrder &Order) {
  Json Body = {{"fence", Order.Fence},
               {"order", toString(Order.Kind)},
               {"name", Order.Name}};
  return post(Address, "/v1/orders", dump(Body));
}

UpstreamRequest stateRequest(const std::string &Address) {
  return bare(Address, HttpMethod::Get, "/v1/state");
}

} // namespace pimento
