#include "ctl/Exchange.h"

#include "ctl/Reply.h"

#include <algorithm>

namespace pimento::ctl {

namespace {

constexpr Duration ConnectTimeout = seconds(2);
constexpr Duration LeastAnswerTime = seconds(1); // Before another host's turn.
constexpr Duration EditTurn = seconds(9); // A host gives an edit up in 8 s.
constexpr Duration ResendPause = milliseconds(300);

struct Talk {
  const Network &N;
  const std::vector<std::string> &Addresses;
  UpstreamRequest Request;
  TimePoint Until;
  Exchange Result;

  bool isEdit() const { return Request.Method == HttpMethod::Put; }
  Duration left() const { return Until - N.Now(); }
};

/// A silent host leaves half of the time to the others. A host that tries to
/// place an edit is given the time to say that nobody took it, as long as one
/// more host can be asked.
Duration answerTime(const Talk &T) {
  if (T.Addresses.size() == 1)
    return T.left();
  Duration Turn = std::max(T.left() / 2, LeastAnswerTime);
  if (T.isEdit())
    Turn = std::max(Turn, std::min(EditTurn, T.left() - LeastAnswerTime));
  return std::min(T.left(), Turn);
}

void noteFailure(Talk &T, const std::string &Address, const Attempt &Tried) {
  std::string &All = T.Result.Failures;
  std::string Line = Address + ": " + Tried.Failure.Detail;
  if (All.find(Line) == std::string::npos)
    All += (All.empty() ? "" : "; ") + Line;
}

/// True once nothing more has to be asked.
bool takeAttempt(Talk &T, const std::string &Address, Attempt Tried) {
  Exchange &R = T.Result;
  if (!Tried.Answered) {
    noteFailure(T, Address, Tried);
    if (Tried.Failure.BytesSent) {
      ++R.Lost;
      R.Unsettled = T.isEdit();
    }
    return false;
  }
  R.Answered = true;
  R.Reply = std::move(Tried.Reply);
  R.Address = Address;
  if (!T.isEdit())
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

bool askEach(Talk &T) {
  for (const std::string &Address : T.Addresses) {
    if (T.left() <= Duration::zero())
      return false;
    T.Request.Address = Address;
    T.Request.ConnectTimeout = std::min(ConnectTimeout, T.left());
    if (takeAttempt(T, Address, T.N.Send(T.Request, answerTime(T))))
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
  Talk T{N, Addresses, Request, N.Now() + Timeout, {}};
  while (!askEach(T)) {
    if (!T.Result.Unsettled || T.left() <= ResendPause)
      break;
    N.Sleep(ResendPause);
  }
  return T.Result;
}

} // namespace pimento::ctl
