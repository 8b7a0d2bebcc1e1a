// A process that starts, before its event loop runs.

#include "site/Process.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace pimento;
using namespace pimento::site;

namespace {

/// Opens the named pipe for writing once the other side reads it; -1 if it does
/// not within some seconds.
int openOnceRead(const std::filesystem::path &Pipe) {
  constexpr int Attempts = 1000;
  for (int I = 0; I < Attempts; ++I) {
    int File = ::open(Pipe.c_str(), O_WRONLY | O_NONBLOCK);
    if (File >= 0)
      return File;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return -1;
}

} // namespace

/// Guards against a host that a reload ends: SIGHUP came while it started, and
/// on a busy machine or a slow disk that takes seconds.
BOOST_AUTO_TEST_CASE(ReloadWhileTheProcessStartsDoesNotEndIt) {
  std::filesystem::path Folder(PIMENTO_WORK_DIR);
  std::filesystem::path Pipe = Folder / "settings.pipe";
  ::unlink(Pipe.c_str());
  BOOST_TEST_REQUIRE(::mkfifo(Pipe.c_str(), 0600) == 0);
  Process Host;
  Host.start({std::string(PIMENTO_BINARY_DIR) + "/pimentoglade",
              "--settings=" + Pipe.string()},
             Folder, Folder / "start.log");
  int Settings = openOnceRead(Pipe);
  BOOST_TEST_REQUIRE(Settings >= 0);
  Host.signal(SIGHUP);
  // No settings: the process ends by itself, with an error.
  constexpr std::string_view Text = "[no section\n";
  BOOST_TEST(::write(Settings, Text.data(), Text.size()) ==
             static_cast<ssize_t>(Text.size()));
  ::close(Settings);
  BOOST_TEST(Host.wait(seconds(10)).has_value());
  ::unlink(Pipe.c_str());
}
