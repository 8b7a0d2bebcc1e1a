#include "fakes/Journal.h"

#include "base/Json.h"

#include <fcntl.h>
#include <unistd.h>

namespace pimento::fakes {

Journal::~Journal() {
  if (File >= 0)
    close(File);
}

bool Journal::open(const std::string &Path) {
  constexpr int Mode = 0644;
  File = ::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, Mode);
  return File >= 0;
}

bool Journal::append(const JournalEntry &Entry) const {
  Json Line = {{"key", Entry.Key},
               {"account", Entry.Account},
               {"path", Entry.Path},
               {"body_sha256", Entry.BodySha256},
               {"at_ms", Entry.AtMs}};
  std::string Text =
      Line.dump(-1, ' ', true, Json::error_handler_t::replace) + "\n";
  // A single write, so that lines of several processes do not interleave.
  ssize_t Written = write(File, Text.data(), Text.size());
  return Written == static_cast<ssize_t>(Text.size()) && fsync(File) == 0;
}

} // namespace pimento::fakes
