//===- MessageList.h - Lists of message types -------------------*- C++ -*-===//
#pragma once

#include <variant>

namespace pimento {

/// The messages of one part, as its header lists them.
template <class... Messages> struct MessageList {};

/// One variant over several lists.
template <class... Lists> struct JoinedMessages;

template <class... Messages> struct JoinedMessages<MessageList<Messages...>> {
  using Variant = std::variant<Messages...>;
};

template <class... First, class... Second, class... Rest>
struct JoinedMessages<MessageList<First...>, MessageList<Second...>, Rest...>
    : JoinedMessages<MessageList<First..., Second...>, Rest...> {};

} // namespace pimento
