//===- ByteFlow.h - Bytes that flow by credit -------------------*- C++ -*-===//
//
//   ByteSource Out;                       // At the sender.
//   addBytes(Out, Bytes);
//   grantCredit(Out, Until);              // The receiver asks for more.
//   while (auto Chunk = takeChunk(Out)) ...
//
//   ByteSink In;                          // At the receiver.
//   if (!takeBytes(In, Offset, Size)) ... // A message was lost.
//   if (auto Until = creditDue(In, Unread)) ...
//
// A relayed body or answer is sent in chunks, and never more than the receiver
// has asked for, so that a slow reader holds back its own bytes only.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace pimento {

/// Bytes that a receiver may be sent before it asks for more.
constexpr std::uint64_t FlowWindowBytes = 64U << 10U;

struct ByteSource {
  std::string Bytes;        // Not sent yet, from Start on.
  std::size_t Start = 0;    // Of the first byte in Bytes that was not sent.
  std::uint64_t Offset = 0; // Of that byte in the whole.
  std::uint64_t Credit = FlowWindowBytes; // Bytes that may be sent in all.
};

/// A part of the whole, to be sent in one message.
struct ByteChunk {
  std::uint64_t Offset = 0;
  std::string Bytes;
};

struct ByteSink {
  std::uint64_t Received = 0;
  std::uint64_t Granted = FlowWindowBytes; // Bytes that may arrive in all.
};

void addBytes(ByteSource &Source, std::string_view Bytes);
/// Bytes that wait to be sent.
std::size_t pendingBytes(const ByteSource &Source);
/// Raises the credit; a lower one than before is ignored.
void grantCredit(ByteSource &Source, std::uint64_t Until);
/// The next chunk that may be sent; empty if there is none.
std::optional<ByteChunk> takeChunk(ByteSource &Source);

/// Records arriving bytes. Returns false if bytes before them are missing, or
/// more arrive than were granted.
bool takeBytes(ByteSink &Sink, std::uint64_t Offset, std::size_t Size);
/// The credit to be sent to the source, if it is worth a message. \p Unread:
/// bytes that arrived and wait for the reader.
std::optional<std::uint64_t> creditDue(ByteSink &Sink, std::uint64_t Unread);

} // namespace pimento
