//===- MessageList.h - Lists of message types -------------------*- C++ -*-===//
#pragma once

#include <variant>

namespace pimento {

/// The message types that one *Messages.h header declares.
template <class... Messages> struct MessageList {};

/// Joins several MessageLists into one std::variant.
template <class... Lists> struct JoinedMessages;

template <class... Messages> struct JoinedMessages<MessageList<Messages...>> {
  using Variant = std::variant<Messages...>;
};

template <class... First, class... Second, class... Rest>
struct JoinedMessages<MessageList<First...>, MessageList<Second...>, Rest...>
    : JoinedMessages<MessageList<First..., Second...>, Rest...> {};

} // namespace pimento
