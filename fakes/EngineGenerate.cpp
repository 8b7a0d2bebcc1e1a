#include "fakes/AnswerText.h"
#include "fakes/EngineState.h"

#include "base/Ids.h"

#include <charconv>
#include <utility>

namespace pimento::fakes {

namespace {

constexpr std::size_t MaxGroupMembers = 64;
/// Timeout of a check whether a group member holds its part of the memory.
constexpr Duration MemberTimeout = seconds(1);

/// A received request for one attempt.
struct GenerateRequest {
  GenerateOrder Order;
  std::vector<std::string> Members; // ip:port each; none: no group.
};

bool readMembers(const Json &Body, std::vector<std::string> &Members) {
  auto Group = Body.find("group");
  if (Group == Body.end() || Group->is_null())
    return true;
  if (!Group->is_object() || !Group->contains("members"))
    return false;
  const Json &List = Group->at("members");
  if (!List.is_array() || List.empty() || List.size() > MaxGroupMembers)
    return false;
  for (const Json &Member : List) {
    Endpoint E;
    if (!Member.is_string() || !parseEndpoint(Member.get<std::string>(), E))
      return false;
    Members.push_back(Member.get<std::string>());
  }
  return true;
}

/// Returns an error text; empty if the request is valid.
std::string readGenerate(const Json &Body, GenerateRequest &Request) {
  GenerateOrder &Order = Request.Order;
  if (!Body.is_object())
    return "the body is not a JSON object";
  AttemptId Id;
  if (!readText(Body, "attempt", Order.Id) || !parseAttemptId(Order.Id, Id))
    return "attempt: expected an attempt id";
  if (!readText(Body, "model", Order.Model))
    return "model: expected a text";
  if (!readCount(Body, "max_tokens", Order.MaxTokens))
    return "max_tokens: expected a whole number";
  auto Prompt = Body.find("prompt");
  if (Prompt == Body.end() || !Prompt->is_string())
    return "prompt: expected a text";
  if (!readMembers(Body, Request.Members))
    return "group: expected {\"members\": [\"ip:port\", ...]}";
  auto Weight = Body.find("weight");
  if (Weight != Body.end() && Weight->is_number())
    Order.Weight = Weight->get<double>();
  const auto &Text = Prompt->get_ref<const std::string &>();
  Order.PromptHash = promptHash(Text);
  Order.PromptTokens = tokensOf(Text);
  Order.Prefixes = prefixHashes(Text);
  Order.Group = !Request.Members.empty();
  return "";
}

std::string parseGenerate(evhttp_request *Req, GenerateRequest &Request) {
  JsonLimits Limits;
  Limits.Bytes = MaxBodyBytes;
  Failure Why;
  Json Body = valueOr<Json>([&] { return parseJson(bodyOf(Req), Limits); },
                            Json(), Why);
  return Body.is_null() ? Why.Detail : readGenerate(Body, Request);
}

void refuse(evhttp_request *Req, Refusal Reason) {
  int Status = Reason == Refusal::Leaving ? 503 : 409;
  replyRefusal(Req, Status, toString(Reason), "");
}

/// The connection that waits for the check of its group; null if closed.
Stream *waitingStream(EngineServer &S, const std::string &Id) {
  for (auto &[Number, T] : S.Streams) {
    if (T.Attempt == Id && !T.Started)
      return &T;
  }
  return nullptr;
}

void refuseGroup(EngineServer &S, const std::string &Id, Refusal Reason) {
  S.Groups.erase(Id);
  Stream *T = waitingStream(S, Id);
  cancel(S.Model, Id, now());
  if (!T)
    return;
  evhttp_request *Req = T->Req;
  closeStream(S, *T);
  refuse(Req, Reason);
}

void startGroup(EngineServer &S, const std::string &Id, GroupWatch &Group) {
  if (Group.Lost) {
    refuseGroup(S, Id, Refusal::Group);
    return;
  }
  Refusal Reason = confirmGroup(S.Model, Id, Group.Tokens, now());
  if (Reason != Refusal::None) {
    refuseGroup(S, Id, Reason);
    return;
  }
  Group.Running = true;
  Stream *T = waitingStream(S, Id);
  if (T && !T->Muted)
    beginStream(S, *T);
  turn(S);
}

void endCheck(EngineServer &S, const std::string &Id, GroupWatch &Group) {
  if (!Group.Running) {
    startGroup(S, Id, Group);
    return;
  }
  if (!Group.Lost)
    return;
  S.Groups.erase(Id);
  loseGroup(S.Model, Id, now());
  turn(S);
}

std::uint64_t tokensIn(const HttpReply &Reply) {
  Json Body = Json::parse(Reply.Body, nullptr, false);
  std::uint64_t Tokens = 0;
  if (Body.is_object())
    readCount(Body, "tokens", Tokens);
  return Tokens;
}

void onMember(EngineServer &S, const std::string &Id, const HttpReply &Reply) {
  auto It = S.Groups.find(Id);
  if (It == S.Groups.end() || It->second.Pending == 0)
    return;
  GroupWatch &Group = It->second;
  std::uint64_t Tokens = Reply.Status == 200 ? tokensIn(Reply) : 0;
  Group.Lost = Group.Lost || Tokens == 0;
  Group.Tokens += Tokens;
  if (--Group.Pending == 0)
    endCheck(S, Id, Group);
}

void askMembers(EngineServer &S, const std::string &Id, GroupWatch &Group) {
  Group.Pending = Group.Members.size();
  Group.Lost = false;
  Group.Tokens = 0;
  for (const std::string &Member : Group.Members) {
    HttpCall Call;
    Call.Address = Member;
    Call.Path = "/v1/attempts/" + Id;
    Call.Timeout = MemberTimeout;
    S.Caller->call(
        Call, [&S, Id](const HttpReply &Reply) { onMember(S, Id, Reply); });
  }
}

bool isOver(const EngineServer &S, const std::string &Id) {
  auto It = S.Model.Attempts.find(Id);
  if (It == S.Model.Attempts.end())
    return true;
  AttemptState State = It->second.State;
  return State == AttemptState::Done || State == AttemptState::Failed ||
         State == AttemptState::Orphan;
}

bool parseOffset(const std::string &Text, std::uint64_t &Offset) {
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Offset);
  return Error == std::errc() && Stop == End;
}

} // namespace

void serveGenerate(EngineServer &S, evhttp_request *Req) {
  GenerateRequest Request;
  std::string Problem = parseGenerate(Req, Request);
  if (!Problem.empty()) {
    replyRefusal(Req, 400, "request", Problem);
    return;
  }
  if (!S.Switches.Refuse.empty()) {
    std::string Reason = S.Switches.Refuse;
    countFailure(S.Switches);
    replyRefusal(Req, 503, Reason, "refused by a switch");
    return;
  }
  const std::string &Id = Request.Order.Id;
  Refusal Reason = generate(S.Model, Request.Order, now());
  if (Reason != Refusal::None) {
    refuse(Req, Reason);
    return;
  }
  Stream &T = openStream(S, Req, Id);
  T.Muted = S.Switches.Mute;
  if (T.Muted)
    countFailure(S.Switches);
  if (Request.Order.Group) {
    GroupWatch &Group = S.Groups[Id];
    Group.Members = std::move(Request.Members);
    askMembers(S, Id, Group);
    return;
  }
  if (!T.Muted)
    beginStream(S, T);
  turn(S);
}

void serveResume(EngineServer &S, evhttp_request *Req, const std::string &Id) {
  auto It = S.Model.Attempts.find(Id);
  bool Known = It != S.Model.Attempts.end() &&
               It->second.State != AttemptState::Imported &&
               It->second.State != AttemptState::Checking &&
               It->second.State != AttemptState::Orphan;
  if (!Known) {
    replyJson(Req, 404, {{"error", "nothing is held of this attempt"}});
    return;
  }
  std::uint64_t Offset = 0;
  bool InRange = parseOffset(queryOf(Req, "offset"), Offset) &&
                 Offset <= It->second.OutputTokens;
  if (!InRange) {
    replyJson(Req, 400, {{"error", "offset: expected a token of the answer"}});
    return;
  }
  Stream &T = openStream(S, Req, Id);
  T.Offset = Offset;
  T.Muted = S.Switches.Mute;
  if (T.Muted)
    countFailure(S.Switches);
  else
    beginStream(S, T);
  turn(S);
}

void checkGroups(EngineServer &S) {
  for (auto It = S.Groups.begin(); It != S.Groups.end();) {
    GroupWatch &Group = It->second;
    if (isOver(S, It->first)) {
      It = S.Groups.erase(It);
      continue;
    }
    if (Group.Running && Group.Pending == 0)
      askMembers(S, It->first, Group);
    ++It;
  }
}

} // namespace pimento::fakes
