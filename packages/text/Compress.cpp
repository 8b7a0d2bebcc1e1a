#include "text/Compress.h"

#include <zlib.h>

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t OutputStepBytes = std::size_t{64} << 10U;

// zlib takes a pointer to bytes that it does not change.
Bytef *inputOf(std::string_view Text) {
  return reinterpret_cast<Bytef *>(const_cast<char *>(Text.data()));
}

} // namespace

std::string compress(std::string_view Text) {
  uLongf Size = compressBound(static_cast<uLong>(Text.size()));
  std::string Packed(Size, '\0');
  compress2(reinterpret_cast<Bytef *>(Packed.data()), &Size, inputOf(Text),
            static_cast<uLong>(Text.size()), Z_BEST_SPEED);
  Packed.resize(Size);
  return Packed;
}

std::optional<std::string> decompress(std::string_view Packed,
                                      std::size_t MaxBytes) {
  z_stream Stream = {};
  if (inflateInit(&Stream) != Z_OK)
    return std::nullopt;
  Stream.next_in = inputOf(Packed);
  Stream.avail_in = static_cast<uInt>(Packed.size());
  std::string Text;
  int Status = Z_OK;
  while (Status == Z_OK && Text.size() <= MaxBytes) {
    std::size_t Before = Text.size();
    Text.resize(Before + OutputStepBytes);
    Stream.next_out = reinterpret_cast<Bytef *>(Text.data() + Before);
    Stream.avail_out = static_cast<uInt>(OutputStepBytes);
    Status = inflate(&Stream, Z_NO_FLUSH);
    Text.resize(Text.size() - Stream.avail_out);
    bool IsStuck = Text.size() == Before && Stream.avail_in == 0;
    if (Status == Z_OK && IsStuck)
      break;
  }
  inflateEnd(&Stream);
  if (Status != Z_STREAM_END || Text.size() > MaxBytes)
    return std::nullopt;
  return Text;
}

} // namespace pimento
