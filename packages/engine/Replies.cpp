#include "engine/Replies.h"

#include "base/Json.h"

#include <array>

namespace pimento {

namespace {

constexpr JsonLimits ReplyLimits = {MaxEngineReplyBytes, /*Depth=*/8,
                                    /*Values=*/1U << 16U};

constexpr std::array<const char *, 6> ReasonNames = {
    "memory", "model", "leaving", "group", "duplicate", "other"};

std::uint64_t number(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return 0;
  return Found->get<std::uint64_t>();
}

std::string text(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    return {};
  return Found->get<std::string>();
}

/// Reads the JSON object of a reply. Fails if the status is not one of
/// \p ExpectedStatuses.
Result<Json> readObject(const HttpReply &Reply,
                        std::initializer_list<int> ExpectedStatuses) {
  bool Expected = false;
  for (int Status : ExpectedStatuses)
    Expected = Expected || Reply.Status == Status;
  if (!Expected)
    return fail(Code::BackendFailed,
                "the engine replied with unexpected status " +
                    std::to_string(Reply.Status));
  Failure Why;
  Json Value = valueOr<Json>([&] { return parseJson(Reply.Body, ReplyLimits); },
                             Json(), Why);
  if (!Value.is_object())
    return fail(Code::BackendFailed, "the engine's reply is not a JSON object");
  return Value;
}

bool readHold(const Json &From, EngineHold &Hold) {
  if (!From.is_object())
    return false;
  std::string Kind = text(From, "kind");
  if (Kind == "attempt")
    Hold.Kind = HoldKind::Attempt;
  else if (Kind == "reservation")
    Hold.Kind = HoldKind::Reservation;
  else if (Kind == "export")
    Hold.Kind = HoldKind::Export;
  else
    return false;
  Hold.Id = text(From, "id");
  Hold.Tokens = number(From, "tokens");
  constexpr std::uint64_t MaxAge = 1000ULL * 86400 * 3660; // Ten years.
  Hold.Age = milliseconds(std::min(number(From, "age_ms"), MaxAge));
  return !Hold.Id.empty();
}

} // namespace

const char *toString(RefusalReason Reason) {
  return ReasonNames.at(static_cast<std::size_t>(Reason));
}

bool provesNotRun(int Status, const std::vector<HttpHeader> &Headers) {
  return (Status == 409 || Status == 503) &&
         headerValue(Headers, "X-Not-Run") == "1";
}

EngineRefusal readRefusal(const HttpReply &Reply) {
  EngineRefusal Refusal;
  Refusal.ProvedNotRun = provesNotRun(Reply.Status, Reply.Headers);
  Failure Why;
  Json Body = valueOr<Json>([&] { return parseJson(Reply.Body, ReplyLimits); },
                            Json(), Why);
  Refusal.Detail = "status " + std::to_string(Reply.Status);
  if (!Body.is_object())
    return Refusal;
  std::string Reason = text(Body, "reason");
  for (std::size_t I = 0; I < ReasonNames.size(); ++I) {
    if (Reason == ReasonNames[I])
      Refusal.Reason = static_cast<RefusalReason>(I);
  }
  constexpr std::size_t MaxDetailBytes = 200;
  std::string Detail = text(Body, "detail").substr(0, MaxDetailBytes);
  if (!Detail.empty())
    Refusal.Detail += ": " + Detail;
  return Refusal;
}

bool confirmsFreed(int Status) { return Status == 200 || Status == 404; }

Result<EngineMemory> readMemory(const HttpReply &Reply) {
  BOOST_LEAF_AUTO(Body, readObject(Reply, {200}));
  EngineMemory Memory;
  Memory.Incarnation = number(Body, "incarnation");
  Memory.TotalTokens = number(Body, "total_tokens");
  Memory.UsedTokens = number(Body, "used_tokens");
  auto Held = Body.find("held");
  if (Held == Body.end() || !Held->is_array())
    return fail(Code::BackendFailed,
                "the engine's memory reply has no array \"held\"");
  for (const Json &Entry : *Held) {
    EngineHold Hold;
    if (!readHold(Entry, Hold))
      return fail(Code::BackendFailed,
                  "an entry of the engine's array \"held\" is not an object "
                  "with a known kind and an id");
    Memory.Held.push_back(std::move(Hold));
  }
  return Memory;
}

Result<EngineState> readState(const HttpReply &Reply) {
  BOOST_LEAF_AUTO(Body, readObject(Reply, {200}));
  EngineState State;
  State.Incarnation = number(Body, "incarnation");
  State.Fence = number(Body, "fence");
  State.Role = text(Body, "role");
  State.Loading = ModelName(text(Body, "loading"));
  auto Models = Body.find("models");
  if (Models == Body.end() || !Models->is_array())
    return fail(Code::BackendFailed,
                "the engine's state reply has no array \"models\"");
  for (const Json &Name : *Models) {
    if (!Name.is_string())
      return fail(Code::BackendFailed,
                  "a model name in the engine's state reply is not a string");
    State.Models.emplace_back(Name.get<std::string>());
  }
  return State;
}

Result<EngineExport> readExport(const HttpReply &Reply) {
  BOOST_LEAF_AUTO(Body, readObject(Reply, {200}));
  EngineExport Export{text(Body, "handle"), number(Body, "tokens")};
  if (Export.Handle.empty())
    return fail(Code::BackendFailed, "the engine's export reply has no handle");
  return Export;
}

Result<OrderReply> readOrder(const HttpReply &Reply) {
  BOOST_LEAF_AUTO(Body, readObject(Reply, {200, 202, 409}));
  OrderReply Order;
  Order.HighestFence = number(Body, "fence");
  if (Reply.Status == 409)
    Order.State = OrderState::Fenced;
  else if (Reply.Status == 200)
    Order.State = OrderState::Done;
  return Order;
}

Result<std::uint64_t> readTokens(const HttpReply &Reply) {
  BOOST_LEAF_AUTO(Body, readObject(Reply, {200}));
  return number(Body, "tokens");
}

} // namespace pimento
