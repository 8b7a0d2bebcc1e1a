#include "shell/LineWriter.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace pimento {

LineWriter makeLineWriter(int Descriptor) {
  LineWriter W;
  W.Descriptor = Descriptor;
  int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
  return W;
}

void addLine(LineWriter &W, std::string_view Line, bool Urgent) {
  std::size_t Room = Urgent ? W.MaxWaiting : W.MaxWaiting / 4 * 3;
  if (W.Waiting.size() + Line.size() + 1 > Room) {
    ++W.Dropped;
    return;
  }
  W.Waiting += Line;
  W.Waiting += '\n';
}

void flushLines(LineWriter &W) {
  std::size_t Written = 0;
  while (Written < W.Waiting.size()) {
    ssize_t Taken = ::write(W.Descriptor, W.Waiting.data() + Written,
                            W.Waiting.size() - Written);
    if (Taken < 0 && errno == EINTR)
      continue;
    if (Taken <= 0)
      break;
    Written += static_cast<std::size_t>(Taken);
  }
  W.Waiting.erase(0, Written);
}

} // namespace pimento
