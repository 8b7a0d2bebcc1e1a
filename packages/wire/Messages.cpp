#include "wire/Messages.h"

#include "wire/Fields.h"

namespace pimento {

namespace {

constexpr JsonLimits FrameLimits = {MaxFrameBytes, /*Depth=*/12,
                                    /*Values=*/1U << 18U};

/// Converts \p Fields to the message type whose WireType is \p Type. Returns
/// false if there is no such type or a field does not fit it.
template <std::size_t Index = 0>
bool readAs(std::uint64_t Type, const Json &Fields, Message &M) {
  if constexpr (Index < std::variant_size_v<MessageVariant>) {
    using Candidate = std::variant_alternative_t<Index, MessageVariant>;
    if (Candidate::WireType == Type)
      return wire::fromJson(Fields, M.emplace<Index>());
    return readAs<Index + 1>(Type, Fields, M);
  }
  return false;
}

} // namespace

Message::Message() = default;
Message::Message(const Message &Other) = default;
Message::Message(Message &&Other) noexcept = default;
Message &Message::operator=(const Message &Other) = default;
Message &Message::operator=(Message &&Other) noexcept = default;
Message::~Message() = default;

namespace {

template <class Type, class List> struct Contains;
template <class Type, class... Types>
struct Contains<Type, MessageList<Types...>>
    : std::disjunction<std::is_same<Type, Types>...> {};

} // namespace

LinkLane laneOf(const Message &M) {
  return std::visit(
      [](const auto &Content) {
        using Type = std::decay_t<decltype(Content)>;
        return Contains<Type, RelayMessages>::value ? LinkLane::Relay
                                                    : LinkLane::Site;
      },
      static_cast<const MessageVariant &>(M));
}

std::string encode(const Message &M) {
  Json Frame = std::visit(
      [](const auto &Content) {
        return Json::array(
            {WireVersion, Content.WireType, wire::toJson(Content)});
      },
      M);
  std::string Bytes;
  Json::to_cbor(Frame, Bytes);
  return Bytes;
}

Result<Message> decode(std::string_view Frame) {
  auto Parsed = parseCbor(Frame, FrameLimits);
  if (!Parsed)
    return Parsed.error();
  const Json &Parts = *Parsed;
  if (!Parts.is_array() || Parts.size() != 3 ||
      !Parts[0].is_number_unsigned() || !Parts[1].is_number_unsigned())
    return fail(Code::WireMalformed,
                "the frame is not an array of version, type and fields");
  if (Parts[0].get<std::uint64_t>() != WireVersion)
    return fail(Code::WireVersion, "the frame has an unsupported wire version");
  Message M;
  if (!readAs(Parts[1].get<std::uint64_t>(), Parts[2], M))
    return fail(
        Code::WireMalformed,
        "the message type is unknown, or a field has the wrong type or range");
  return M;
}

} // namespace pimento
