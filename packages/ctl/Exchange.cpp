#include "ctl/Exchange.h"

#include "ctl/Reply.h"

#include <algorithm>

namespace pimento::ctl {

namespace {

constexpr Duration ConnectTimeout = seconds(2);
// Minimum time for one host to reply. An edit reserves as much for the next
// host.
constexpr Duration MinAnswerTime = seconds(1);
// Time for a host to reply to an edit; hosts give up on an edit after 8 s.
constexpr Duration EditAnswerTime = seconds(9);
constexpr Duration ResendPause = milliseconds(300);

/// State of one call of exchange().
struct ExchangeState {
  const Network &N;
  const std::vector<std::string> &Addresses;
  UpstreamRequest Request;
  TimePoint Deadline;
  Exchange Result;

  bool isEdit() const { return Request.Method == HttpMethod::Put; }
  Duration remaining() const { return Deadline - N.Now(); }
};

/// Returns the timeout of the next attempt. A host that does not reply uses at
/// most half of the remaining time, which leaves the rest for other hosts. An
/// edit gets enough time for the host to report that no leader accepted it, as
/// long as one more host can be tried afterwards.
Duration attemptTimeout(const ExchangeState &S) {
  if (S.Addresses.size() == 1)
    return S.remaining();
  Duration Limit = std::max(S.remaining() / 2, MinAnswerTime);
  if (S.isEdit())
    Limit = std::max(Limit,
                     std::min(EditAnswerTime, S.remaining() - MinAnswerTime));
  return std::min(S.remaining(), Limit);
}

void recordFailure(ExchangeState &S, const std::string &Address,
                   const Attempt &A) {
  std::string &All = S.Result.Failures;
  std::string Line = Address + ": " + A.Failure.Detail;
  if (All.find(Line) == std::string::npos)
    All += (All.empty() ? "" : "; ") + Line;
}

/// Records the result of an attempt. Returns true if no further attempt is
/// needed.
bool recordAttempt(ExchangeState &S, const std::string &Address, Attempt A) {
  Exchange &R = S.Result;
  if (!A.Answered) {
    recordFailure(S, Address, A);
    if (A.Failure.BytesSent) {
      ++R.Lost;
      R.Unsettled = S.isEdit();
    }
    return false;
  }
  R.Answered = true;
  R.Reply = std::move(A.Reply);
  R.Address = Address;
  if (!S.isEdit())
    return true;
  if (settlesEdit(R.Reply)) {
    R.Unsettled = false;
    return true;
  }
  if (problemOf(R.Reply).Outcome == "unknown") {
    ++R.Lost;
    R.Unsettled = true;
  }
  return !R.Unsettled;
}

/// Makes one attempt at each host in turn. Returns true once a reply is final.
bool attemptEachHost(ExchangeState &S) {
  for (const std::string &Address : S.Addresses) {
    if (S.remaining() <= Duration::zero())
      return false;
    S.Request.Address = Address;
    S.Request.ConnectTimeout = std::min(ConnectTimeout, S.remaining());
    if (recordAttempt(S, Address, S.N.Send(S.Request, attemptTimeout(S))))
      return true;
  }
  return false;
}

} // namespace

bool settlesEdit(const HttpReply &Reply) {
  if (Reply.Status == 200)
    return true;
  ProblemView P = problemOf(Reply);
  return P.Number == Code::DocumentConflict || P.Number == Code::EditIdReused;
}

Exchange exchange(const Network &N, const std::vector<std::string> &Addresses,
                  const UpstreamRequest &Request, Duration Timeout) {
  ExchangeState S{N, Addresses, Request, N.Now() + Timeout, {}};
  while (!attemptEachHost(S)) {
    if (!S.Result.Unsettled || S.remaining() <= ResendPause)
      break;
    N.Sleep(ResendPause);
  }
  return S.Result;
}

} // namespace pimento::ctl
