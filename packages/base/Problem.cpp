#include "base/Problem.h"

#include "base/Json.h"

#include <algorithm>

namespace pimento {

namespace {

/// Rounds up to whole seconds, the unit of the Retry-After header; at least 1.
std::int64_t retrySeconds(Duration D) {
  constexpr std::int64_t MillisecondsPerSecond = 1000;
  std::int64_t Whole =
      (toMilliseconds(D) + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
  return std::max<std::int64_t>(1, Whole);
}

} // namespace

HttpReply problemReply(const Problem &P) {
  const CodeInfo &Info = info(P.Number);
  Json Body = {
      {"type", "about:blank"},     {"title", Info.Meaning},
      {"status", Info.HttpStatus}, {"code", static_cast<unsigned>(P.Number)},
      {"name", Info.Name},         {"outcome", toString(Info.Result)}};
  if (!P.Detail.empty())
    Body["detail"] = P.Detail;
  HttpReply Reply;
  Reply.Status = Info.HttpStatus;
  Reply.Headers.push_back({"Content-Type", ProblemContentType});
  if (!P.Request.empty()) {
    Body["request_id"] = toString(P.Request);
    Reply.Headers.push_back({"X-Request-Id", toString(P.Request)});
  }
  if (P.RetryAfter > Duration::zero())
    Reply.Headers.push_back(
        {"Retry-After", std::to_string(retrySeconds(P.RetryAfter))});
  Reply.Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return Reply;
}

HttpReply jsonReply(int Status, std::string Body) {
  HttpReply Reply;
  Reply.Status = Status;
  Reply.Headers.push_back({"Content-Type", "application/json"});
  Reply.Body = std::move(Body);
  return Reply;
}

} // namespace pimento
