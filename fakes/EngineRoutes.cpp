#include "fakes/EngineState.h"

#include <algorithm>
#include <string_view>

namespace pimento::fakes {

namespace {

constexpr std::uint64_t LongestLeaseMs = 3600000;

/// One request with its path split at the slashes.
struct Route {
  evhttp_cmd_type Method = EVHTTP_REQ_GET;
  std::vector<std::string> Parts; // "/v1/attempts/X" gives v1, attempts, X.

  bool is(evhttp_cmd_type Wanted, std::string_view Place,
          std::size_t Size) const {
    return Method == Wanted && Parts.size() == Size && Parts[1] == Place;
  }
};

Route routeOf(evhttp_request *Req) {
  Route R;
  R.Method = evhttp_request_get_command(Req);
  std::string Path = pathOf(Req);
  std::size_t Begin = 1;
  while (Begin < Path.size()) {
    std::size_t End = std::min(Path.find('/', Begin), Path.size());
    R.Parts.push_back(Path.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return R;
}

Json jsonBody(evhttp_request *Req) {
  Failure Why;
  Json Body = valueOr<Json>(
      [&] { return parseJson(bodyOf(Req), JsonLimits()); }, Json(), Why);
  return Body.is_object() ? Body : Json::object();
}

void notFound(evhttp_request *Req) {
  replyJson(Req, 404, {{"error", "not found"}});
}

void refuse(evhttp_request *Req, Refusal Reason) {
  int Status = Reason == Refusal::Leaving ? 503 : 409;
  replyRefusal(Req, Status, toString(Reason), "");
}

// --- Attempts and reservations ----------------------------------------------

void serveAttempt(EngineServer &S, evhttp_request *Req, const std::string &Id) {
  auto A = S.Model.Attempts.find(Id);
  if (A != S.Model.Attempts.end()) {
    replyJson(Req, 200,
              {{"tokens", A->second.Held},
               {"state", toString(A->second.State)},
               {"produced", A->second.Produced}});
    return;
  }
  auto R = S.Model.Reservations.find(Id);
  if (R == S.Model.Reservations.end())
    notFound(Req);
  else
    replyJson(Req, 200, {{"tokens", R->second.Tokens}, {"state", "reserved"}});
}

void serveCancel(EngineServer &S, evhttp_request *Req, const std::string &Id) {
  CancelResult Result = cancel(S.Model, Id, now());
  S.Groups.erase(Id);
  switch (Result.Outcome) {
  case CancelOutcome::Freed:
    replyJson(Req, 200, {{"freed", Result.Tokens}});
    break;
  case CancelOutcome::Held:
    replyJson(Req, 202, {{"held", Result.Tokens}});
    break;
  case CancelOutcome::Forgotten:
    notFound(Req);
    break;
  }
  turn(S);
}

void serveReservation(EngineServer &S, evhttp_request *Req) {
  Json Body = jsonBody(Req);
  std::string Id;
  std::uint64_t Tokens = 0;
  std::uint64_t LeaseMs = 0;
  bool Whole = readText(Body, "attempt", Id) &&
               readCount(Body, "tokens", Tokens) &&
               readCount(Body, "lease_ms", LeaseMs);
  if (!Whole || LeaseMs > LongestLeaseMs) {
    replyRefusal(Req, 400, "request", "expected attempt, tokens, lease_ms");
    return;
  }
  Refusal Reason = reserve(S.Model, Id, Tokens, milliseconds(LeaseMs), now());
  if (Reason != Refusal::None)
    refuse(Req, Reason);
  else
    replyJson(Req, 200, {{"tokens", Tokens}});
  turn(S);
}

// --- KV cache hand-over -----------------------------------------------------

void serveExport(EngineServer &S, evhttp_request *Req, const std::string &Id) {
  std::string Handle;
  Refusal Reason = exportAttempt(S.Model, Id, now(), Handle);
  if (Reason == Refusal::Missing)
    notFound(Req);
  else if (Reason != Refusal::None)
    refuse(Req, Reason);
  else
    replyJson(
        Req, 200,
        {{"handle", Handle}, {"tokens", S.Model.Exports.at(Handle).Tokens}});
  turn(S);
}

void serveExported(EngineServer &S, evhttp_request *Req,
                   const std::string &Handle) {
  auto It = S.Model.Exports.find(Handle);
  if (It == S.Model.Exports.end()) {
    notFound(Req);
    return;
  }
  const Export &X = It->second;
  replyJson(Req, 200,
            {{"attempt", X.Attempt},
             {"model", X.Model},
             {"prompt_hash", std::to_string(X.PromptHash)},
             {"tokens", X.Tokens}});
}

void serveDropExport(EngineServer &S, evhttp_request *Req,
                     const std::string &Handle) {
  if (dropExport(S.Model, Handle))
    replyJson(Req, 200, Json::object());
  else
    notFound(Req);
}

bool readExport(const HttpReply &Reply, Export &X) {
  Json Body = Json::parse(Reply.Body, nullptr, false);
  std::string Hash;
  bool Whole = Reply.Status == 200 && Body.is_object() &&
               readText(Body, "model", X.Model) &&
               readText(Body, "prompt_hash", Hash) &&
               readCount(Body, "tokens", X.Tokens);
  if (Whole)
    X.PromptHash = std::strtoull(Hash.c_str(), nullptr, 10);
  return Whole;
}

void finishImport(EngineServer &S, evhttp_request *Req, const std::string &Id,
                  const HttpReply &Reply) {
  Export X;
  if (!readExport(Reply, X)) {
    replyRefusal(Req, 409, "export", "the export could not be fetched");
    return;
  }
  Refusal Reason = importAttempt(S.Model, Id, X, now());
  if (Reason != Refusal::None)
    refuse(Req, Reason);
  else
    replyJson(Req, 200, {{"tokens", X.Tokens}});
  turn(S);
}

void serveImport(EngineServer &S, evhttp_request *Req) {
  Json Body = jsonBody(Req);
  std::string From;
  std::string Handle;
  std::string Id;
  bool Whole = readText(Body, "from", From) &&
               readText(Body, "handle", Handle) &&
               readText(Body, "attempt", Id);
  if (!Whole) {
    replyRefusal(Req, 400, "request", "expected from, handle, attempt");
    return;
  }
  HttpCall Call;
  Call.Address = From;
  Call.Path = "/v1/exports/" + Handle;
  S.Caller->call(Call, [&S, Req, Id](const HttpReply &Reply) {
    finishImport(S, Req, Id, Reply);
  });
}

// --- State and orders -------------------------------------------------------

Json heldRow(const char *Kind, const std::string &Id, std::uint64_t Tokens,
             TimePoint Since) {
  return {{"kind", Kind},
          {"id", Id},
          {"tokens", Tokens},
          {"age_ms", toMilliseconds(now() - Since)}};
}

void serveMemory(EngineServer &S, evhttp_request *Req) {
  Json Held = Json::array();
  for (const auto &[Id, A] : S.Model.Attempts) {
    if (A.Held > 0)
      Held.push_back(heldRow("attempt", Id, A.Held, A.Since));
  }
  for (const auto &[Id, R] : S.Model.Reservations)
    Held.push_back(heldRow("reservation", Id, R.Tokens, R.Since));
  for (const auto &[Handle, X] : S.Model.Exports) {
    Json Row = heldRow("export", Handle, X.Tokens, X.Since);
    Row["attempt"] = X.Attempt;
    Held.push_back(Row);
  }
  replyJson(Req, 200,
            {{"incarnation", S.Incarnation},
             {"total_tokens", S.Model.Config.MemoryTokens},
             {"used_tokens", S.Model.UsedTokens},
             {"held", Held}});
}

void serveState(EngineServer &S, evhttp_request *Req) {
  Json Loading;
  if (!S.Orders.Loading.empty())
    Loading = S.Orders.Loading.front();
  replyJson(Req, 200,
            {{"fence", S.Orders.Fence},
             {"models", S.Model.Models},
             {"role", toString(S.Model.Role)},
             {"loading", Loading},
             {"incarnation", S.Incarnation}});
}

void replyOrder(EngineServer &S, evhttp_request *Req, OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Running:
    replyJson(Req, 202, {{"state", "running"}});
    break;
  case OrderOutcome::Done:
    replyJson(Req, 200, {{"state", "done"}});
    break;
  case OrderOutcome::Stale:
    replyJson(Req, 409, {{"fence", S.Orders.Fence}});
    break;
  case OrderOutcome::Busy:
    replyRefusal(Req, 503, "busy", "too many loads wait");
    break;
  case OrderOutcome::Unknown:
    replyRefusal(Req, 400, "request", "name: expected both, prefill, decode");
    break;
  }
}

void serveOrder(EngineServer &S, evhttp_request *Req) {
  Json Body = jsonBody(Req);
  Order O;
  std::string Kind;
  bool Whole = readCount(Body, "fence", O.Fence) &&
               readText(Body, "order", Kind) && parseOrderKind(Kind, O.Kind) &&
               readText(Body, "name", O.Name);
  if (!Whole) {
    replyRefusal(Req, 400, "request", "expected fence, order, name");
    return;
  }
  std::size_t Models = S.Model.Models.size();
  replyOrder(S, Req, apply(S.Model, S.Orders, O, now()));
  if (S.Model.Models.size() != Models)
    S.BackendAnnouncer->announce();
}

void serveSwitches(EngineServer &S, evhttp_request *Req) {
  if (evhttp_request_get_command(Req) == EVHTTP_REQ_GET) {
    replyJson(Req, 200, toJson(S.Switches));
    return;
  }
  std::string Problem = setSwitches(
      Json::parse(std::string(bodyOf(Req)), nullptr, false), S.Switches);
  if (!Problem.empty()) {
    replyJson(Req, 400, {{"error", Problem}});
    return;
  }
  replyJson(Req, 200, toJson(S.Switches));
  applySwitches(S);
}

// --- Routing ----------------------------------------------------------------

/// Returns false if the path does not belong to an attempt.
bool routeAttempt(EngineServer &S, evhttp_request *Req, const Route &R) {
  if (R.is(EVHTTP_REQ_GET, "attempts", 3))
    serveAttempt(S, Req, R.Parts[2]);
  else if (R.is(EVHTTP_REQ_DELETE, "attempts", 3))
    serveCancel(S, Req, R.Parts[2]);
  else if (R.is(EVHTTP_REQ_GET, "attempts", 4) && R.Parts[3] == "stream")
    serveResume(S, Req, R.Parts[2]);
  else if (R.is(EVHTTP_REQ_POST, "attempts", 4) && R.Parts[3] == "export")
    serveExport(S, Req, R.Parts[2]);
  else
    return false;
  return true;
}

void route(EngineServer &S, evhttp_request *Req, const Route &R) {
  if (R.is(EVHTTP_REQ_POST, "generate", 2))
    serveGenerate(S, Req);
  else if (routeAttempt(S, Req, R))
    return;
  else if (R.is(EVHTTP_REQ_POST, "reservations", 2))
    serveReservation(S, Req);
  else if (R.is(EVHTTP_REQ_POST, "imports", 2))
    serveImport(S, Req);
  else if (R.is(EVHTTP_REQ_GET, "exports", 3))
    serveExported(S, Req, R.Parts[2]);
  else if (R.is(EVHTTP_REQ_DELETE, "exports", 3))
    serveDropExport(S, Req, R.Parts[2]);
  else if (R.is(EVHTTP_REQ_GET, "memory", 2))
    serveMemory(S, Req);
  else if (R.is(EVHTTP_REQ_GET, "state", 2))
    serveState(S, Req);
  else if (R.is(EVHTTP_REQ_POST, "orders", 2))
    serveOrder(S, Req);
  else
    notFound(Req);
}

} // namespace

void replyRefusal(evhttp_request *Req, int Status, const std::string &Reason,
                  const std::string &Detail) {
  replyJson(Req, Status, {{"reason", Reason}, {"detail", Detail}},
            {{"X-Not-Run", "1"}});
}

void onEngineRequest(evhttp_request *Req, void *Arg) {
  auto &S = *static_cast<EngineServer *>(Arg);
  Route R = routeOf(Req);
  if (R.Parts.size() == 2 && R.Parts[0] == "fake" && R.Parts[1] == "switches")
    serveSwitches(S, Req);
  else if (R.Parts.size() >= 2 && R.Parts[0] == "v1")
    route(S, Req, R);
  else
    notFound(Req);
}

} // namespace pimento::fakes
