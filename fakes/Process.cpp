#include "fakes/Process.h"

#include <csignal>
#include <sstream>
#include <utility>

namespace pimento::fakes {

namespace {

/// State of the signal handlers. The first signal calls OnStop; any further one
/// ends the event loop at once.
struct Stopper {
  event_base *Base = nullptr;
  std::function<void()> OnStop;
  bool Asked = false; // The first signal has been received.
};

void onSignal(evutil_socket_t /*Signal*/, short /*What*/, void *Arg) {
  auto &S = *static_cast<Stopper *>(Arg);
  if (S.Asked)
    event_base_loopbreak(S.Base);
  else
    S.OnStop();
  S.Asked = true;
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
  Stopper S{Base, std::move(OnStop)};
  EventPtr Term(evsignal_new(Base, SIGTERM, onSignal, &S));
  EventPtr Interrupt(evsignal_new(Base, SIGINT, onSignal, &S));
  event_add(Term.get(), nullptr);
  event_add(Interrupt.get(), nullptr);
  event_base_dispatch(Base);
}

} // namespace pimento::fakes
