#include "site/Process.h"

#include "site/Client.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace pimento::site {

void Process::start(const std::vector<std::string> &Arguments,
                    const std::filesystem::path &Folder,
                    const std::filesystem::path &Output) {
  kill();
  std::vector<char *> Argv;
  Argv.reserve(Arguments.size() + 1);
  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  pid_t Parent = ::getpid();
  Pid = ::fork();
  if (Pid != 0)
    return;
  // In the child, only async-signal-safe calls are allowed before exec.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  int File = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (::getppid() != Parent || ::chdir(Folder.c_str()) != 0 ||
      ::dup2(File, STDOUT_FILENO) < 0 || ::dup2(File, STDERR_FILENO) < 0)
    ::_exit(127);
  ::execv(Argv[0], Argv.data());
  ::_exit(127);
}

void Process::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

void Process::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, &Status, 0);
  Pid = 0;
}

bool Process::running() {
  if (Pid > 0 && ::waitpid(Pid, &Status, WNOHANG) == Pid)
    Pid = 0;
  return Pid > 0;
}

std::optional<int> Process::wait(Duration Timeout) {
  bool Ended = waitUntil(Timeout, [this] { return !running(); });
  if (!Ended || !WIFEXITED(Status))
    return std::nullopt;
  return WEXITSTATUS(Status);
}

} // namespace pimento::site
