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
               {"record", A.RepeatOf.value_or(A.Number)}};
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

/// Runs one phase: converts the plan, timers and hooks of the HTTP client into
/// events of the report.
class PhaseRunner {
public:
  PhaseRunner(Phase NewPhase, std::ostream &ProgressStream)
      : P(std::move(NewPhase)), Progress(ProgressStream), Base(makeEventBase()),
        Seen(makeReport(P.Plan)), Client(Base.get(), hooks()),
        ArrivalTimer(Base.get(), [this] { sendDue(); }),
        SweepTimer(Base.get(), [this] { abortOverdue(); }),
        ProgressTimer(Base.get(), [this] { showProgress(); }) {}

  Report run() {
    Start = std::chrono::steady_clock::now();
    SweepTimer.start(SweepInterval);
    ProgressTimer.start(ProgressInterval);
    sendDue();
    if (!finished())
      event_base_dispatch(Base.get());
    return std::move(Seen);
  }

private:
  /// One request in flight.
  struct Call {
    std::size_t Number = 0;
    Duration Deadline{};
    AnswerReader Reader;
  };
  using Calls = std::map<UpstreamId, Call>;

  Phase P;
  std::ostream &Progress;
  EventBasePtr Base;
  Report Seen;
  HttpClient Client;
  Timer ArrivalTimer;
  Timer SweepTimer;
  Timer ProgressTimer;
  TimePoint Start;
  std::size_t Next = 0; // Index of the next arrival to send.
  std::uint64_t LastId = 0;
  Calls Open;

  Duration now() const { return std::chrono::steady_clock::now() - Start; }
  bool finished() const { return Next == P.Plan.size() && Open.empty(); }

  HttpClientHooks hooks() {
    HttpClientHooks H;
    H.Sent = [](UpstreamId, bool) {};
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
      end(Id, evaluateReply(std::move(Open.at(Id).Reader), Delimited));
    };
    H.Failed = [this](UpstreamId Id, const UpstreamFailure &Why) {
      end(Id, evaluateFailure(std::move(Open.at(Id).Reader), Why));
    };
    return H;
  }

  void send(const Arrival &A) {
    UpstreamId Id{++LastId};
    Call C;
    C.Number = A.Number;
    C.Reader = makeReader(expectationFor(P, A));
    Duration At = now();
    C.Deadline = At + A.Limit + P.Grace;
    Open.emplace(Id, std::move(C));
    reduce(Seen, Sent{A.Number, At});
    Client.open(Id, requestFor(P, A));
  }

  /// Sends all arrivals that are due, up to the limit of requests in flight,
  /// and starts the timer for the next one. At the limit, end() resumes
  /// sending.
  void sendDue() {
    while (Next != P.Plan.size() && P.Plan[Next].At <= now() &&
           Open.size() < P.InFlight)
      send(P.Plan[Next++]);
    if (Next == P.Plan.size() || Open.size() >= P.InFlight)
      return;
    ArrivalTimer.start(std::max(P.Plan[Next].At - now(), Duration::zero()));
  }

  void end(UpstreamId Id, Verdict Result) {
    auto Found = Open.find(Id);
    std::size_t Number = Found->second.Number;
    Open.erase(Found);
    reduce(Seen, Ended{Number, now(), std::move(Result)});
    if (finished())
      event_base_loopexit(Base.get(), nullptr);
    else if (!ArrivalTimer.pending())
      ArrivalTimer.start(Duration::zero());
  }

  /// Aborts requests that have exceeded their time limit plus grace.
  void abortOverdue() {
    std::vector<UpstreamId> Late;
    for (const auto &[Id, C] : Open) {
      if (now() > C.Deadline)
        Late.push_back(Id);
    }
    for (UpstreamId Id : Late) {
      Client.abort(Id);
      Verdict Result;
      Result.Kind = ResultKind::NoAnswer;
      Result.Broken = Violation::NoAnswer;
      Result.Detail = "nothing final within the limit";
      end(Id, std::move(Result));
    }
    SweepTimer.start(SweepInterval);
  }

  void showProgress() {
    Progress << P.Name << ": " << toMilliseconds(now()) / 1000 << " s, " << Next
             << " of " << P.Plan.size() << " sent, " << Open.size()
             << " in flight";
    for (std::size_t I = 0; I != ResultKinds; ++I) {
      if (Seen.Ended[I] != 0)
        Progress << ", " << Seen.Ended[I] << ' '
                 << toString(static_cast<ResultKind>(I));
    }
    Progress << std::endl;
    ProgressTimer.start(ProgressInterval);
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
  // Writing to a connection that a host has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return PhaseRunner(std::move(P), Progress).run();
}

} // namespace pimento::load
