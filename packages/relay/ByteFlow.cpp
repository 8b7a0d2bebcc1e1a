#include "relay/ByteFlow.h"

#include <algorithm>
#include <string_view>

namespace pimento {

namespace {

/// Chunks are small, so that those of many requests take turns on a link.
constexpr std::size_t ChunkBytes = 16U << 10U;
/// Sent bytes are removed from the buffer once they are this many.
constexpr std::size_t CompactBytes = 64U << 10U;

void compact(ByteSource &Source) {
  bool IsEmpty = Source.Start == Source.Bytes.size();
  if (!IsEmpty && Source.Start < CompactBytes)
    return;
  Source.Bytes.erase(0, Source.Start);
  Source.Start = 0;
}

} // namespace

void addBytes(ByteSource &Source, std::string_view Bytes) {
  Source.Bytes += Bytes;
}

std::size_t pendingBytes(const ByteSource &Source) {
  return Source.Bytes.size() - Source.Start;
}

void grantCredit(ByteSource &Source, std::uint64_t Until) {
  Source.Credit = std::max(Source.Credit, Until);
}

std::optional<ByteChunk> takeChunk(ByteSource &Source) {
  std::uint64_t Allowed =
      Source.Credit > Source.Offset ? Source.Credit - Source.Offset : 0;
  std::size_t Size = std::min<std::uint64_t>(
      {Allowed, pendingBytes(Source), std::uint64_t{ChunkBytes}});
  if (Size == 0)
    return std::nullopt;
  ByteChunk Chunk{Source.Offset, Source.Bytes.substr(Source.Start, Size)};
  Source.Start += Size;
  Source.Offset += Size;
  compact(Source);
  return Chunk;
}

bool takeBytes(ByteSink &Sink, std::uint64_t Offset, std::size_t Size) {
  if (Offset != Sink.Received || Size > Sink.Granted - Sink.Received)
    return false;
  Sink.Received += Size;
  return true;
}

std::optional<std::uint64_t> creditDue(ByteSink &Sink, std::uint64_t Unread) {
  std::uint64_t Free = FlowWindowBytes > Unread ? FlowWindowBytes - Unread : 0;
  std::uint64_t Until = Sink.Received + Free;
  if (Until < Sink.Granted + FlowWindowBytes / 2)
    return std::nullopt;
  Sink.Granted = Until;
  return Until;
}

} // namespace pimento
