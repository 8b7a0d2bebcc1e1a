//===- Process.h - Child processes of the tests -----------------*- C++ -*-===//
#pragma once

#include "base/Time.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace pimento::site {

/// One child process; it is killed with its owner, and with the test program.
class Process {
public:
  Process() = default;
  ~Process() { kill(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Runs \p Arguments in \p Folder, its output appended to \p Output.
  void start(const std::vector<std::string> &Arguments,
             const std::filesystem::path &Folder,
             const std::filesystem::path &Output);
  void signal(int Number) const;
  /// SIGKILL, and waits until it is gone.
  void kill();
  bool running();
  /// Its exit status; none where it still runs past \p Patience or was killed
  /// by a signal.
  std::optional<int> wait(Duration Patience);

private:
  pid_t Pid = 0; // Zero: not started, or gone.
  int Status = 0;
};

} // namespace pimento::site
