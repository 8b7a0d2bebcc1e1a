#include "storage/Checksum.h"

#include <xxhash.h>

namespace pimento {

std::uint64_t checksum(std::string_view Bytes, std::uint64_t Seed) {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

} // namespace pimento
