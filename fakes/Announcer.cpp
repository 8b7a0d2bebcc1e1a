#include "fakes/Announcer.h"

#include <utility>

namespace pimento::fakes {

Announcer::Announcer(event_base *Base, AnnounceOptions Options,
                     std::function<Json()> Body)
    : Options(std::move(Options)), Body(std::move(Body)), Caller(Base),
      Next(Base, [this] { announce(); }) {}

void Announcer::announce() {
  Next.arm(AnnounceInterval);
  if (Options.Hosts.empty())
    return;
  Json Text = Body();
  if (Text.is_null())
    return;
  Text["sequence"] = ++Sequence;
  send(Options.Hosts.size(), Text.dump());
}

void Announcer::send(std::size_t TriesLeft, const std::string &Text) {
  HttpCall Call;
  Call.Address = Options.Hosts[Host];
  Call.Method = EVHTTP_REQ_POST;
  Call.Path = "/v1/backends/announce";
  Call.Body = Text;
  Call.Headers = {{"Authorization", "Bearer " + Options.Token},
                  {"Content-Type", "application/json"}};
  Call.Timeout = AnnounceInterval;
  Caller.call(Call,
              [this, TriesLeft, Text, Asked = Host](const HttpReply &Reply) {
                constexpr int NoContent = 204;
                if (Reply.Status == NoContent)
                  return;
                if (Host == Asked)
                  Host = (Host + 1) % Options.Hosts.size();
                if (TriesLeft > 1)
                  send(TriesLeft - 1, Text);
              });
}

std::uint64_t newIncarnation() {
  // Microseconds fit the 53 bits that every JSON reader keeps.
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<microseconds>(SinceEpoch).count());
}

} // namespace pimento::fakes
