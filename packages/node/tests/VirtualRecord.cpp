// Records events and effects as text for the golden files.

#include "node/tests/VirtualSite.h"

namespace pimento::test {

namespace {

std::string describe(const CallerRequest &E) {
  return std::string(toString(E.Request.Method)) + " " + E.Request.Path;
}

/// Text of messages that concern a request or an edit; empty for all others.
struct Describe {
  std::string operator()(const GrantRequest &M) const {
    return "Ask " + toString(M.Attempt) + " prompt " +
           std::to_string(M.PromptTokens);
  }
  std::string operator()(const Grant &M) const {
    std::string Text = "Grant " + toString(M.Attempt) + " epoch " +
                       std::to_string(M.Epoch) + " engines";
    for (const GrantedEngine &Engine : M.Engines)
      Text += " " + Engine.Backend.Value + "/" + std::to_string(Engine.Tokens);
    return Text;
  }
  std::string operator()(const Refusal &M) const {
    return "Refusal " + toString(M.Attempt) + " " + pimento::toString(M.Reason);
  }
  std::string operator()(const Release &M) const {
    return "Release " + toString(M.Attempt);
  }
  std::string operator()(const Withdraw &M) const {
    return "Withdraw " + toString(M.Attempt);
  }
  std::string operator()(const ClaimRequest &M) const {
    return "ClaimRequest " + toString(M.Request) + " key " + M.Key.Key;
  }
  std::string operator()(const ClaimReply &M) const {
    return "ClaimReply " + toString(M.Request) + " state " +
           std::to_string(static_cast<int>(M.State));
  }
  std::string operator()(const ClaimResult &M) const {
    return "ClaimResult " + toString(M.Request) + " end " +
           std::to_string(static_cast<int>(M.End));
  }
  std::string operator()(const ClaimResultAck &M) const {
    return "ClaimResultAck " + toString(M.Request);
  }
  std::string operator()(const PutDocument &M) const {
    return "PutDocument " + M.Service.Value + " " + std::to_string(M.Number) +
           " id " + M.EditId;
  }
  std::string operator()(const PutDocumentReply &M) const {
    return std::string("PutDocumentReply ") + pimento::toString(M.Result) +
           " " + std::to_string(M.Number);
  }
  template <class Other> std::string operator()(const Other &) const {
    return "";
  }
};

std::string describe(const Message &M) { return std::visit(Describe(), M); }

} // namespace

void VirtualSite::recordEvent(const HostId &Name, const Event &E) {
  std::string Text;
  if (const auto *M = std::get_if<PeerMessage>(&E)) {
    Text = describe(M->Content);
    if (!Text.empty())
      Text = "from " + M->From.Value + ": " + Text;
  } else if (const auto *Request = std::get_if<CallerRequest>(&E)) {
    if (Request->Request.Path.find("announce") == std::string::npos)
      Text = "caller: " + describe(*Request);
  } else if (const auto *Edit = std::get_if<OperatorRequest>(&E)) {
    Text = std::string("operator: ") + toString(Edit->Request.Method) + " " +
           Edit->Request.Path;
  } else if (const auto *Head = std::get_if<UpstreamHead>(&E)) {
    Text = "backend: status " + std::to_string(Head->Status);
  } else if (const auto *Failed = std::get_if<UpstreamFailed>(&E)) {
    Text = std::string("backend: failed, bytes sent ") +
           (Failed->Why.BytesSent ? "yes" : "no");
  } else if (std::holds_alternative<StopRequested>(E)) {
    Text = "stop requested";
  }
  if (!Text.empty())
    Record(std::to_string(toMilliseconds(P.now().time_since_epoch())) + " " +
           Name.Value + " <- " + Text);
}

void VirtualSite::recordEffect(const HostId &Name, const Effect &E) {
  std::string Text;
  if (const auto *Peer = std::get_if<SendPeer>(&E)) {
    Text = describe(Peer->Content);
    if (!Text.empty())
      Text = "to " + Peer->To.Value + ": " + Text;
  } else if (const auto *Reply = std::get_if<calls::SendReply>(&E)) {
    if (Reply->Reply.Status != 204)
      Text = "reply " + std::to_string(Reply->Reply.Status) + " " +
             Reply->Reply.Body.substr(0, 100);
  } else if (std::holds_alternative<calls::StartStream>(E)) {
    Text = "stream starts";
  } else if (const auto *End = std::get_if<calls::EndStream>(&E)) {
    Text = End->IsComplete ? "stream ends whole" : "stream breaks off";
  } else if (const auto *Upstream = std::get_if<calls::OpenUpstream>(&E)) {
    if (Upstream->Request.Target != "/v1/memory")
      Text = std::string("open ") + toString(Upstream->Request.Method) + " " +
             Upstream->Request.Address + Upstream->Request.Target;
  } else if (const auto *Decision = std::get_if<LogDecision>(&E)) {
    Text = std::string("decides ") + Decision->Record.Kind + ": " +
           Decision->Record.Reason;
  } else if (const auto *Leave = std::get_if<Exit>(&E)) {
    Text = "exit " + std::to_string(Leave->Status);
  }
  while (!Text.empty() && Text.back() == '\n')
    Text.pop_back();
  if (!Text.empty())
    Record(std::to_string(toMilliseconds(P.now().time_since_epoch())) + " " +
           Name.Value + " -> " + Text);
}

} // namespace pimento::test
