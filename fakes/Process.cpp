#include "fakes/Process.h"

#include <csignal>
#include <sstream>

namespace pimento::fakes {

namespace {

void onSignal(evutil_socket_t /*Signal*/, short /*What*/, void *Arg) {
  (*static_cast<std::function<void()> *>(Arg))();
}

} // namespace

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  std::string Part;
  while (std::getline(In, Part, ',')) {
    if (!Part.empty())
      Parts.push_back(Part);
  }
  return Parts;
}

void runUntilStopped(event_base *Base, std::function<void()> OnStop) {
  std::signal(SIGPIPE, SIG_IGN);
  EventPtr Term(evsignal_new(Base, SIGTERM, onSignal, &OnStop));
  EventPtr Interrupt(evsignal_new(Base, SIGINT, onSignal, &OnStop));
  event_add(Term.get(), nullptr);
  event_add(Interrupt.get(), nullptr);
  event_base_dispatch(Base);
}

} // namespace pimento::fakes
