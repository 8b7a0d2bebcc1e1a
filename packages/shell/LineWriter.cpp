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
  std::size_t Limit = Urgent ? W.MaxBufferedBytes : W.MaxBufferedBytes / 4 * 3;
  if (W.Buffer.size() + Line.size() + 1 > Limit) {
    ++W.DroppedLines;
    return;
  }
  W.Buffer += Line;
  W.Buffer += '\n';
}

void flushLines(LineWriter &W) {
  std::size_t Written = 0;
  while (Written < W.Buffer.size()) {
    ssize_t Taken = ::write(W.Descriptor, W.Buffer.data() + Written,
                            W.Buffer.size() - Written);
    if (Taken < 0 && errno == EINTR)
      continue;
    if (Taken <= 0)
      break;
    Written += static_cast<std::size_t>(Taken);
  }
  W.Buffer.erase(0, Written);
}

} // namespace pimento
