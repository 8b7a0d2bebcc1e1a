#include "ctl/Present.h"

#include "base/Problem.h"
#include "ctl/Reply.h"
#include "ctl/StatusView.h"
#include "ctl/Table.h"

#include <algorithm>

namespace pimento::ctl {

namespace {

constexpr JsonLimits ReplyLimits{64U << 20U, 32, 8U << 20U};
constexpr std::size_t MaxIdLength = 20; // Longer ids are truncated in tables.
constexpr std::size_t TruncatedIdLength = 12;
constexpr int StatusOk = 200;

Json parsed(const std::string &Text) {
  Failure Why;
  return valueOr<Json>([&] { return parseJson(Text, ReplyLimits); },
                       Json(nullptr), Why);
}

std::string textAt(const Json &Object, const char *Key) {
  auto Found = Object.find(Key);
  bool Text = Found != Object.end() && Found->is_string();
  return Text ? printable(Found->get_ref<const std::string &>()) : "";
}

std::string lines(std::initializer_list<std::string> Texts) {
  std::string All;
  for (const std::string &Text : Texts) {
    if (!Text.empty())
      All += Text + "\n";
  }
  return All;
}

//===----------------------------------------------------------------------===//
// Problems
//===----------------------------------------------------------------------===//

/// Returns "  path: expected ..., found ..." for each error of a document.
std::string errorLines(const std::string &Body) {
  Json Problem = parsed(Body);
  std::string Text;
  if (!Problem.is_object() || !Problem.contains("errors"))
    return Text;
  for (const Json &Error : Problem["errors"]) {
    if (!Error.is_object())
      continue;
    std::string Path = textAt(Error, "path");
    Text += "  " + (Path.empty() ? "the whole text" : Path) + ": expected " +
            textAt(Error, "expected") + ", found " + textAt(Error, "found") +
            "\n";
  }
  return Text;
}

const char *adviceFor(Code Number) {
  switch (Number) {
  case Code::DocumentConflict:
    return "Get the document, redo the change on it under the next number, and "
           "put it again.";
  case Code::EditIdReused:
    return "Put it under another --edit_id, or without one.";
  default:
    return "";
  }
}

/// Returns a note that replies were lost and the outcome is that of a resent
/// edit; empty if no reply was lost.
std::string lossNote(const Exchange &E) {
  if (E.Lost == 0)
    return "";
  return "note: " + std::to_string(E.Lost) +
         " answer(s) lost; sent again under the same edit id\n";
}

Output presentProblem(const ProblemView &P, bool AsJson, const Exchange &E) {
  Output O;
  O.Exit = P.Known ? exitCodeOf(P.Number) : ExitCode::Failed;
  if (AsJson) {
    O.Out = E.Reply.Body;
    return O;
  }
  if (!P.Known) {
    O.Err = lines({"error: " + E.Address + " answered with status " +
                   std::to_string(E.Reply.Status)});
    return O;
  }
  O.Err = lines({"error " + std::to_string(static_cast<unsigned>(P.Number)) +
                     " " + P.Name + ": " + P.Title,
                 P.Detail});
  O.Err += errorLines(E.Reply.Body);
  O.Err += lines(
      {P.Outcome.empty() ? "" : "outcome: " + P.Outcome,
       P.RetryAfter.empty() ? "" : "try again after " + P.RetryAfter + " s",
       adviceFor(P.Number)});
  return O;
}

Output presentUnsettled(const std::string &EditId, bool AsJson,
                        const Exchange &E) {
  std::string Detail = E.Failures;
  ProblemView Last = problemOf(E.Reply);
  if (E.Answered && Last.Known)
    Detail += (Detail.empty() ? "" : "; ") + E.Address + ": " + Last.Name;
  return failure(ExitCode::OutcomeUnknown, AsJson, "unknown",
                 "the edit may or may not have been accepted", Detail,
                 EditId.empty()
                     ? "Run the same command again; it may be repeated."
                     : "Run the same command again: under its edit id, " +
                           EditId +
                           ", it is accepted at most once and hears its "
                           "outcome.");
}

//===----------------------------------------------------------------------===//
// Answers
//===----------------------------------------------------------------------===//

void presentPut(const Command &C, const Json &Body, const Exchange &E,
                Output &O) {
  O.Out = (C.Service.empty() ? "document" : printable(C.Service.Value)) +
          ": number " + cellText(Body.value("number", Json(nullptr))) + " " +
          textAt(Body, "outcome") + "\n";
  O.Err = lossNote(E);
}

void shorten(Json &Row, const char *Key) {
  std::string Text = textAt(Row, Key);
  if (Text.size() > MaxIdLength)
    Row[Key] = Text.substr(0, TruncatedIdLength) + "...";
}

void presentHistory(const Command &C, Json Versions, Output &O) {
  if (!Versions.is_array() || Versions.empty()) {
    O.Err = "no document of " + printable(C.Service.Value) + "\n";
    return;
  }
  for (Json &Row : Versions) {
    if (!Row.is_object())
      continue;
    Json At = Row.value("at_ms", Json(nullptr));
    Row.erase("at_ms");
    if (At.is_number_integer())
      Row["at"] = utcTime(At.get<std::int64_t>());
    shorten(Row, "edit_id");
    shorten(Row, "text_sha256");
  }
  O.Out =
      table(Versions, {"number", "at", "edit_id", "text_sha256", "text_kept"});
}

std::uint64_t numberOf(const Json &Host) {
  Json Number =
      Host.is_object() ? Host.value("number", Json(nullptr)) : Json(nullptr);
  return Number.is_number_unsigned() ? Number.get<std::uint64_t>() : 0;
}

std::uint64_t newestNumber(const Json &Hosts) {
  std::uint64_t Newest = 0;
  for (const Json &Host : Hosts)
    Newest = std::max(Newest, numberOf(Host));
  return Newest;
}

void presentInForce(const Command &C, const Json &Hosts, Output &O) {
  O.Out = table(Hosts, {"host", "number", "serving", "age_ms"});
  std::uint64_t Newest = newestNumber(Hosts);
  if (Newest == 0) {
    O.Err = "no document of " + printable(C.Service.Value) +
            " is in force at any host that answered\n";
    return;
  }
  auto Count = std::count_if(Hosts.begin(), Hosts.end(), [&](const Json &H) {
    return numberOf(H) == Newest && H.value("serving", Json()) == Json(true);
  });
  O.Out += "number " + std::to_string(Newest) + " is in force and served at " +
           std::to_string(Count) + " of " + std::to_string(Hosts.size()) +
           " hosts\n";
}

/// Returns whether the reply shows that the service does not exist.
bool isUnknownService(const Command &C, const Json &Body) {
  if (C.Kind == CommandKind::DocumentHistory)
    return Body.value("versions", Json::array()).empty();
  return C.Kind == CommandKind::InForce &&
         newestNumber(Body.value("hosts", Json::array())) == 0;
}

void presentTable(const Command &C, Json Body, const Exchange &E, Output &O) {
  switch (C.Kind) {
  case CommandKind::DocumentPut:
    presentPut(C, Body, E, O);
    return;
  case CommandKind::DocumentHistory:
    presentHistory(C, Body.value("versions", Json(nullptr)), O);
    return;
  case CommandKind::InForce:
    presentInForce(C, Body.value("hosts", Json::array()), O);
    return;
  case CommandKind::Hosts:
    O.Out = table(Body.value("hosts", Json(nullptr)),
                  {"host", "data_centre", "voter", "status", "since_ms",
                   "direct", "slow", "round_trip_us"});
    return;
  case CommandKind::Backends:
    O.Out = table(Body.value("backends", Json(nullptr)),
                  {"id", "kind", "status", "address", "data_centre", "service",
                   "memory_tokens", "models"});
    return;
  case CommandKind::QuarantineList:
    O.Out = table(Body.value("parts", Json(nullptr)),
                  {"part", "request", "account", "all_accounts", "since_ms",
                   "crashes", "requests", "trials", "next_trial_ms"});
    return;
  case CommandKind::QuarantineLift:
    O.Out = "lifted " + cellText(Body.value("lifted", Json(nullptr))) +
            " quarantines of " + printable(C.Part) + "\n";
    return;
  case CommandKind::RoutingHosts:
    O.Out = "newest " + cellText(Body.value("newest", Json(nullptr))) + "\n" +
            table(Body.value("hosts", Json(nullptr)),
                  {"host", "number", "since_ms", "sent", "serving", "stale",
                   "contact_ms"});
    return;
  case CommandKind::EvacuationList:
    O.Out = "revision " + cellText(Body.value("revision", Json(nullptr))) +
            "\n" +
            table(Body.value("data_centres", Json(nullptr)),
                  {"data_centre", "evacuated", "servers"}) +
            table(Body.value("hosts", Json(nullptr)),
                  {"host", "revision", "in_force", "contact_ms"});
    return;
  case CommandKind::EvacuationStart:
    O.Out = printable(C.DataCentre.Value) +
            " is evacuated, in force at every entry host in contact\n";
    return;
  case CommandKind::EvacuationFinish:
    O.Out = printable(C.DataCentre.Value) +
            " is in use, in force at every entry host in contact\n";
    return;
  case CommandKind::Limits:
    O.Out = table(Body.value("limits", Json(nullptr)),
                  {"server", "service", "per_second", "since_ms", "seen_ms"});
    return;
  case CommandKind::Paths:
    O.Out = table(Body.value("hosts", Json(nullptr)),
                  {"host", "data_centre", "cut_off", "unreached", "since_ms",
                   "contact_ms"});
    return;
  case CommandKind::Servers:
    O.Out = table(Body.value("servers", Json(nullptr)),
                  {"server", "service", "phase", "block", "for_ms", "reason"});
    return;
  default:
    O.Out = statusView(std::move(Body));
  }
}

} // namespace

Output failure(ExitCode Exit, bool AsJson, const char *Outcome,
               const std::string &Title, const std::string &Detail,
               const std::string &Advice) {
  Output O;
  O.Exit = Exit;
  if (AsJson)
    O.Out = Json({{"title", Title}, {"outcome", Outcome}, {"detail", Detail}})
                .dump(-1, ' ', false, Json::error_handler_t::replace) +
            "\n";
  else
    O.Err = lines({"error: " + printable(Title), printable(Detail), Advice});
  return O;
}

ProblemView problemOf(const HttpReply &Reply) {
  ProblemView P;
  std::string_view Type = headerValue(Reply.Headers, "Content-Type");
  Json Body = Type.substr(0, Type.find(';')) == ProblemContentType
                  ? parsed(Reply.Body)
                  : Json(nullptr);
  if (!Body.is_object())
    return P;
  Json Number = Body.value("code", Json(nullptr));
  constexpr std::uint64_t MostNumber = 0xffff;
  P.Known = Number.is_number_unsigned() &&
            Number.get<std::uint64_t>() <= MostNumber &&
            codeFromNumber(Number.get<std::uint16_t>(), P.Number);
  P.Name = textAt(Body, "name");
  P.Title = textAt(Body, "title");
  P.Detail = textAt(Body, "detail");
  P.Outcome = textAt(Body, "outcome");
  P.RetryAfter = printable(headerValue(Reply.Headers, "Retry-After"));
  return P;
}

ExitCode exitCodeOf(Code Number) {
  switch (Number) {
  case Code::DocumentInvalid:
  case Code::BadRequest:
  case Code::BodyTooLarge:
  case Code::HeaderTooLarge:
    return ExitCode::InvalidInput;
  case Code::DocumentConflict:
  case Code::EditIdReused:
    return ExitCode::Conflict;
  case Code::Unauthorized:
  case Code::Forbidden:
    return ExitCode::Unauthorized;
  case Code::UnknownService:
  case Code::UnknownDataCentre:
  case Code::NotFound:
    return ExitCode::UnknownService;
  default:
    break;
  }
  switch (info(Number).Result) {
  case Outcome::NotRun:
    return ExitCode::Refused;
  case Outcome::Unknown:
    return ExitCode::OutcomeUnknown;
  default:
    return ExitCode::Failed;
  }
}

bool presentFailure(const std::string &EditId, bool Json, const Exchange &E,
                    Output &O) {
  if (E.Unsettled)
    O = presentUnsettled(EditId, Json, E);
  else if (!E.Answered)
    O = failure(ExitCode::Unreachable, Json, "not_run", "no host answered",
                E.Failures);
  else if (E.Reply.Status != StatusOk)
    O = presentProblem(problemOf(E.Reply), Json, E);
  else
    return false;
  return true;
}

Output present(const Command &C, const std::string &EditId, bool AsJson,
               const Exchange &E) {
  Output O;
  if (presentFailure(EditId, AsJson, E, O))
    return O;
  if (C.Kind == CommandKind::DocumentGet) {
    O.Out = E.Reply.Body; // Printed byte for byte, to be edited and put again.
    return O;
  }
  Json Body = parsed(E.Reply.Body);
  if (!Body.is_object())
    return failure(ExitCode::Failed, AsJson, "failed",
                   "the reply is not what a host sends", E.Address);
  if (isUnknownService(C, Body))
    O.Exit = ExitCode::UnknownService;
  if (AsJson)
    O.Out = E.Reply.Body;
  else
    presentTable(C, std::move(Body), E, O);
  return O;
}

} // namespace pimento::ctl
