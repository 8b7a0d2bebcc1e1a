#include "load/Run.h"

#include "base/Json.h"
#include "shell/HttpClient.h"

#include <csignal>
#include <map>

namespace pimento::load {

namespace {

constexpr Duration ConnectTimeout = seconds(3);
constexpr Duration SweepInterval = milliseconds(100);
constexpr Duration ProgressInterval = seconds(1);

std::string completionBody(const Phase &P, const Arrival &A) {
  Json Body = {{"model", P.Site->Models[A.Model]},
               {"prompt", promptText(P.RunName, A)},
               {"stream", true},
               {"max_tokens", A.AnswerTokens}};
  return Body.dump();
}

std::string callBody(const Arrival &A) {
  Json Body = {{"drill", "evacuation"},
               {"result", "pass"},
               {"record", A.Repeats.value_or(A.Number)}};
  return Body.dump();
}

Expectation expectationFor(const Phase &P, const Arrival &A) {
  Expectation E;
  E.Kind = A.Kind;
  E.PromptTokens = A.PromptTokens;
  E.MaxTokens = A.AnswerTokens;
  E.ExactCounts = P.ExactCounts;
  return E;
}

/// The loop of one phase: turns the plan, the clock and the client's hooks
/// into events of the report.
class Loop {
public:
  Loop(Phase What, std::ostream &Lines)
      : P(std::move(What)), Progress(Lines), Base(makeEventBase()),
        Seen(makeReport(P.Plan)), Client(Base.get(), hooks()),
        NextArrival(Base.get(), [this] { sendDue(); }),
        Sweep(Base.get(), [this] { sweep(); }),
        Second(Base.get(), [this] { showProgress(); }) {}

  Report run() {
    Start = std::chrono::steady_clock::now();
    Sweep.start(SweepInterval);
    Second.start(ProgressInterval);
    sendDue();
    if (!finished())
      event_base_dispatch(Base.get());
    return std::move(Seen);
  }

private:
  /// One request in flight.
  struct Call {
    std::size_t Number = 0;
    Duration GiveUpAt{};
    AnswerReader Reader;
  };
  using Calls = std::map<UpstreamId, Call>;

  Phase P;
  std::ostream &Progress;
  EventBasePtr Base;
  Report Seen;
  HttpClient Client;
  Timer NextArrival;
  Timer Sweep;
  Timer Second;
  TimePoint Start;
  std::size_t Next = 0; // Position in the plan.
  std::uint64_t LastId = 0;
  Calls Open;

  Duration now() const { return std::chrono::steady_clock::now() - Start; }
  bool finished() const { return Next == P.Plan.size() && Open.empty(); }

  HttpClientHooks hooks() {
    HttpClientHooks H;
    H.Sent = [](UpstreamId) {};
    H.Head = [this](UpstreamId Id, int Status,
                    const std::vector<HttpHeader> &Headers) {
      readHead(Open.at(Id).Reader, Status, Headers);
    };
    H.Data = [this](UpstreamId Id, const std::string &Bytes) {
      Call &C = Open.at(Id);
      std::size_t Pieces = readData(C.Reader, Bytes);
      for (; Pieces != 0; --Pieces)
        reduce(Seen, Token{C.Number, now()});
    };
    H.End = [this](UpstreamId Id, bool Delimited) {
      end(Id, judge(std::move(Open.at(Id).Reader), Delimited));
    };
    H.Failed = [this](UpstreamId Id, const UpstreamFailure &Why) {
      end(Id, judgeFailure(std::move(Open.at(Id).Reader), Why));
    };
    return H;
  }

  void send(const Arrival &A) {
    UpstreamId Id{++LastId};
    Call C;
    C.Number = A.Number;
    C.Reader = makeReader(expectationFor(P, A));
    Duration At = now();
    C.GiveUpAt = At + A.Limit + P.Grace;
    Open.emplace(Id, std::move(C));
    reduce(Seen, Sent{A.Number, At});
    Client.open(Id, requestFor(P, A));
  }

  /// Sends all that is due, then waits for the next arrival or for room.
  void sendDue() {
    while (Next != P.Plan.size() && P.Plan[Next].At <= now() &&
           Open.size() < P.InFlight)
      send(P.Plan[Next++]);
    if (Next == P.Plan.size() || Open.size() >= P.InFlight)
      return;
    NextArrival.start(std::max(P.Plan[Next].At - now(), Duration::zero()));
  }

  void end(UpstreamId Id, Verdict Result) {
    auto Found = Open.find(Id);
    std::size_t Number = Found->second.Number;
    Open.erase(Found);
    reduce(Seen, Ended{Number, now(), std::move(Result)});
    if (finished())
      event_base_loopexit(Base.get(), nullptr);
    else if (!NextArrival.pending())
      NextArrival.start(Duration::zero());
  }

  /// Gives up what has passed its limit and grace.
  void sweep() {
    std::vector<UpstreamId> Late;
    for (const auto &[Id, C] : Open) {
      if (now() > C.GiveUpAt)
        Late.push_back(Id);
    }
    for (UpstreamId Id : Late) {
      Client.abort(Id);
      Verdict Result;
      Result.End = Ending::NoAnswer;
      Result.Broken = Breach::NoAnswer;
      Result.Detail = "nothing final within the limit";
      end(Id, std::move(Result));
    }
    Sweep.start(SweepInterval);
  }

  void showProgress() {
    Progress << P.Name << ": " << toMilliseconds(now()) / 1000 << " s, " << Next
             << " of " << P.Plan.size() << " sent, " << Open.size()
             << " in flight";
    for (std::size_t I = 0; I != Endings; ++I) {
      if (Seen.Ended[I] != 0)
        Progress << ", " << Seen.Ended[I] << ' '
                 << toString(static_cast<Ending>(I));
    }
    Progress << std::endl;
    Second.start(ProgressInterval);
  }
};

} // namespace

UpstreamRequest requestFor(const Phase &P, const Arrival &A) {
  UpstreamRequest R;
  R.Address = P.Site->Hosts[A.Host];
  R.ConnectTimeout = ConnectTimeout;
  R.Headers = {
      {"Authorization", "Bearer " + P.Site->Accounts[A.Account].Token},
      {"X-Request-Timeout-Ms", std::to_string(toMilliseconds(A.Limit))}};
  std::string Calls = "/v1/services/" + P.Site->PlainService + "/calls/";
  if (A.Kind == RequestKind::Lookup) {
    R.Target = Calls + "lookups/record-" + std::to_string(A.Number);
    return R;
  }
  R.Method = HttpMethod::Post;
  R.Headers.push_back({"Content-Type", "application/json"});
  if (A.Kind == RequestKind::NonRepeatable) {
    R.Target = Calls + P.Site->NonRepeatableCall;
    R.Headers.push_back({"Idempotency-Key", keyText(P.RunName, A)});
    R.Body = callBody(A);
    return R;
  }
  R.Target = "/v1/completions";
  R.Body = completionBody(P, A);
  return R;
}

Report runPhase(Phase P, std::ostream &Progress) {
  // A host that closes early must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
  return Loop(std::move(P), Progress).run();
}

} // namespace pimento::load
