#include "bench/PathCost/PathCost.h"

#include "base/Random.h"
#include "fakes/AnswerText.h"

#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>

namespace pimento::bench {

namespace {

/// Number of streams opened in one batch.
constexpr std::uint64_t StreamsPerStep = 10;
/// Interval between two batches of opened streams.
constexpr Duration OpenInterval = milliseconds(20);
/// Interval between checks for the end of a measurement.
constexpr Duration PollInterval = milliseconds(50);
/// A stream without a token for this long does not count as held open.
constexpr Duration AliveAge = seconds(1);
/// Requested response length of a stream that is kept open.
constexpr std::uint64_t EndlessTokens = 100000;
/// Prompt of a stream that is only held open.
constexpr std::uint64_t ShortPromptTokens = 16;

void pass(event_base *Base, Duration D) {
  timeval Tv = fakes::toTimeval(D);
  event_base_loopexit(Base, &Tv);
  event_base_dispatch(Base);
}

bool passUntil(event_base *Base, Duration Limit,
               const std::function<bool()> &Until) {
  TimePoint End = fakes::now() + Limit;
  while (!Until()) {
    if (fakes::now() >= End)
      return false;
    pass(Base, PollInterval);
  }
  return true;
}

/// A prompt of \p Tokens that shares no prefix with any other request.
std::string promptOf(std::uint64_t Number, std::uint64_t Tokens) {
  std::string Text = "request " + std::to_string(Number) + " of the run ";
  Text.resize(std::max<std::size_t>(Text.size(), Tokens * fakes::BytesPerToken),
              'x');
  return Text;
}

StreamRequest requestTo(const PathCostOptions &Options, Path Via) {
  StreamRequest R;
  R.Via = Via;
  R.Address = Via == Path::Direct ? Options.Engine : Options.Host;
  R.Token = Options.Token;
  R.Model = Options.Model;
  return R;
}

/// Keeps a fixed number of requests in flight over one path. Waits a random
/// time before each, as requests that start together share the prefill rate.
struct ClosedLoop {
  ClosedLoop(event_base *Base, StreamClient &Client,
             const PathCostOptions &Options, Path Via, LatencyFigures &Figures)
      : Client(Client), Options(Options), Via(Via), Figures(Figures),
        Source(Options.Seed + static_cast<std::uint64_t>(Via)), Later(Base) {}

  StreamClient &Client;
  const PathCostOptions &Options;
  Path Via;
  LatencyFigures &Figures;
  Random Source;
  std::uint64_t Planned = 0;
  std::uint64_t Started = 0;
  std::uint64_t Ended = 0;
  fakes::Delays Later;

  void planNext() {
    if (Planned == Options.Requests)
      return;
    ++Planned;
    Later.after(between(Source, Duration::zero(), Options.Pause),
                [this] { startNext(); });
  }

  void startNext() {
    StreamRequest R = requestTo(Options, Via);
    // The numbers differ between the two paths, as the prompts must differ.
    std::uint64_t Number = ++Started * 2 + (Via == Path::Host ? 1 : 0);
    std::string Prompt = promptOf(Number, Options.PromptTokens);
    R.Prompt = Prompt;
    R.MaxTokens = Options.AnswerTokens;
    Client.start(R, [this, Prompt](const StreamResult &Result) {
      ++Ended;
      record(Prompt, Result);
      planNext();
    });
  }

  void record(const std::string &Prompt, const StreamResult &Result) {
    if (!Result.Whole) {
      ++Figures.Failed;
      return;
    }
    bool Own =
        Result.Text == fakes::answerText(Prompt, 0, Options.AnswerTokens);
    ++(Own ? Figures.Whole : Figures.Wrong);
    Figures.FirstTokens.push_back(Result.FirstToken);
    Figures.Gaps.insert(Figures.Gaps.end(), Result.Gaps.begin(),
                        Result.Gaps.end());
  }
};

/// Opens \p Count endless streams, a few at a time.
void openStreams(event_base *Base, StreamClient &Client,
                 const PathCostOptions &Options, Path Via, std::uint64_t Count,
                 std::uint64_t &Ended) {
  TimePoint End = fakes::now() + Options.Limit;
  for (std::uint64_t I = 0; I < Count && fakes::now() < End; ++I) {
    StreamRequest R = requestTo(Options, Via);
    R.Prompt = promptOf(I, ShortPromptTokens);
    R.MaxTokens = EndlessTokens;
    R.KeepText = false;
    Client.start(R, [&Ended](const StreamResult & /*Result*/) { ++Ended; });
    if (I % StreamsPerStep == 0)
      pass(Base, OpenInterval);
  }
}

struct ConnectionDeleter {
  void operator()(bufferevent *B) const { bufferevent_free(B); }
};
using ConnectionPtr = std::unique_ptr<bufferevent, ConnectionDeleter>;

void onIdleEvent(bufferevent * /*B*/, short What, void *Arg) {
  if ((What & BEV_EVENT_CONNECTED) != 0)
    ++*static_cast<std::uint64_t *>(Arg);
}

/// Opens connections and sends nothing. \p Open counts the connected ones.
ConnectionPtr openIdle(event_base *Base, const std::string &Address,
                       std::uint64_t &Open) {
  fakes::Endpoint E;
  fakes::parseEndpoint(Address, E);
  ConnectionPtr B(bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE));
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(E.Port);
  evutil_inet_pton(AF_INET, E.Ip.c_str(), &To.sin_addr);
  bufferevent_setcb(B.get(), nullptr, nullptr, onIdleEvent, &Open);
  bufferevent_enable(B.get(), EV_READ);
  bufferevent_socket_connect(B.get(), reinterpret_cast<sockaddr *>(&To),
                             sizeof(To));
  return B;
}

void measureIdle(event_base *Base, const PathCostOptions &Options,
                 MemoryReport &Report) {
  std::vector<ConnectionPtr> Idle;
  for (std::uint64_t I = 0; I < Options.Streams; ++I) {
    Idle.push_back(openIdle(Base, Options.Host, Report.Connections));
    if (I % StreamsPerStep == 0)
      pass(Base, OpenInterval);
  }
  pass(Base, AliveAge);
  Report.IdleBytes = residentBytes(Options.HostPid);
}

} // namespace

std::uint64_t residentBytes(int Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
  std::string Word;
  while (In >> Word) {
    if (Word != "VmRSS:")
      continue;
    constexpr std::uint64_t BytesPerKilobyte = 1024;
    std::uint64_t Kilobytes = 0;
    In >> Kilobytes;
    return Kilobytes * BytesPerKilobyte;
  }
  return 0;
}

Duration processorTime(int Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/stat");
  std::string Text;
  std::getline(In, Text);
  // The name in brackets may contain spaces; fields are counted after it.
  std::istringstream Fields(
      Text.substr(std::min(Text.rfind(')') + 1, Text.size())));
  std::string Skipped;
  constexpr int FieldsBefore = 11;
  for (int I = 0; I < FieldsBefore; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return fromSeconds((User + System) /
                     static_cast<double>(sysconf(_SC_CLK_TCK)));
}

LatencyReport measureLatency(event_base *Base, const PathCostOptions &Options) {
  LatencyReport Report;
  StreamClient Client(Base);
  ClosedLoop Direct(Base, Client, Options, Path::Direct, Report.Direct);
  ClosedLoop Host(Base, Client, Options, Path::Host, Report.Host);
  bool WithHost = !Options.Host.empty();
  for (std::uint64_t I = 0; I < Options.Concurrency; ++I) {
    Direct.planNext();
    if (WithHost)
      Host.planNext();
  }
  passUntil(Base, Options.Limit, [&] {
    bool HostEnded = !WithHost || Host.Ended == Options.Requests;
    return Direct.Ended == Options.Requests && HostEnded;
  });
  Report.Direct.Failed += Options.Requests - Direct.Ended;
  Report.Host.Failed += WithHost ? Options.Requests - Host.Ended : 0;
  return Report;
}

MemoryReport measureMemory(event_base *Base, const PathCostOptions &Options) {
  MemoryReport Report;
  Report.BaseBytes = residentBytes(Options.HostPid);
  measureIdle(Base, Options, Report);
  pass(Base, AliveAge); // Idle connections are closed now.
  std::uint64_t Ended = 0;
  StreamClient Client(Base);
  openStreams(Base, Client, Options, Path::Host, Options.Streams, Ended);
  pass(Base, Options.Hold);
  Report.Streams = Client.alive(AliveAge);
  Report.StreamBytes = residentBytes(Options.HostPid);
  return Report;
}

StreamsReport measureStreams(event_base *Base, const PathCostOptions &Options,
                             Path Via) {
  StreamsReport Report;
  Report.Asked = Options.Streams;
  StreamClient Client(Base);
  openStreams(Base, Client, Options, Via, Options.Streams, Report.Ended);
  pass(Base, AliveAge);
  Client.takeGaps(); // Discards gaps from the opening.
  Duration Before = processorTime(Options.HostPid);
  pass(Base, Options.Hold);
  Report.HostCpu = processorTime(Options.HostPid) - Before;
  Report.Held = Client.alive(AliveAge);
  Report.Gaps = Client.takeGaps();
  return Report;
}

} // namespace pimento::bench
