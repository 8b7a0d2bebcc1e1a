#include "engine/Adapter.h"

#include "base/Json.h"

namespace pimento {

namespace {

/// Serializes JSON and replaces invalid UTF-8, which a parsed prompt never
/// contains.
std::string dump(const Json &Body) {
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Appends \p Text, which must be valid UTF-8, as a JSON string. Prompts may be
/// megabytes long, so runs without escapes are copied at once.
void appendQuoted(std::string &Out, std::string_view Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  Out += '"';
  std::size_t Run = 0;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    auto Byte = static_cast<unsigned char>(Text[I]);
    if (Byte >= 0x20 && Byte != '"' && Byte != '\\')
      continue;
    Out.append(Text, Run, I - Run);
    Run = I + 1;
    if (Byte >= 0x20) {
      Out += '\\';
      Out += Text[I];
      continue;
    }
    Out += "\\u00";
    Out += Digits[Byte >> 4U];
    Out += Digits[Byte & 15U];
  }
  Out.append(Text, Run);
  Out += '"';
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
               {"max_tokens", Order.MaxTokens},
               {"weight", Order.Weight},
               {"epoch", Order.Epoch}};
  if (!Order.Members.empty())
    Body["group"] = {{"members", Order.Members}};
  std::string Text = dump(Body);
  Text.pop_back(); // The closing brace; the prompt is appended as last field.
  Text.reserve(Text.size() + Order.Prompt.size() + Order.Prompt.size() / 8);
  Text += ",\"prompt\":";
  appendQuoted(Text, Order.Prompt);
  Text += '}';
  return post(Address, "/v1/generate", std::move(Text));
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
