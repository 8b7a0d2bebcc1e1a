#include "shell/PeerLinks.h"

#include "base/Result.h"
#include "base/Token.h"
#include "shell/Address.h"
#include "shell/WebSocket.h"

#include <event2/listener.h>
#include <openssl/rand.h>

#include <arpa/inet.h>

#include <array>
#include <deque>
#include <list>
#include <map>

namespace pimento {

namespace {

constexpr std::size_t MaxQueuedMessages = 512;
/// Limit of the frames queued for a peer and of a link's output buffer.
constexpr std::size_t MaxQueuedBytes = 8U << 20U;
constexpr Duration HandshakeTimeout = seconds(1);
constexpr Duration MinRedialDelay = milliseconds(100);
/// Maximum delay between two connection attempts to a host that does not
/// answer.
constexpr Duration MaxRedialDelay = milliseconds(800);
constexpr std::size_t MaxLinks = 4096;
/// A link for relayed requests is closed after this time without a message, if
/// none of them is open: a server may need longer for an answer.
constexpr Duration DefaultRelayIdleTime = seconds(10);

std::string makeNonce() {
  std::array<unsigned char, 16> Bytes{};
  RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size()));
  return sha256Hex(std::string_view(
      reinterpret_cast<const char *>(Bytes.data()), Bytes.size()));
}

struct ListenerDeleter {
  void operator()(evconnlistener *Listener) const {
    evconnlistener_free(Listener);
  }
};

} // namespace

struct PeerLinks::Impl {
  /// One connection to another host. Host is empty until the proof in the Hello
  /// message of the other side was verified.
  struct Link {
    std::unique_ptr<WebSocket> Socket;
    std::unique_ptr<Timer> Deadline; // Handshake timeout, later idle timeout.
    LinkLane Lane = LinkLane::Site;
    std::string Nonce;  // Challenge sent to the other side.
    HostId DialledHost; // Target host; empty on an accepted link.
    HostId Host;
    IncarnationNumber Incarnation = 0;
    bool Dead = false;

    bool ready() const { return !Dead && !Host.empty(); }
  };

  /// Frames for a host that wait for a link, and when the next one is dialled.
  struct Outbox {
    std::deque<std::string> Queue;
    std::size_t QueuedBytes = 0;
    TimePoint NextDial;
    Duration RedialDelay = MinRedialDelay;
  };

  struct Peer {
    std::string Address;
    std::array<Outbox, LinkLanes> Lanes;

    Outbox &outbox(LinkLane Lane) {
      return Lanes[static_cast<std::size_t>(Lane)];
    }
  };

  event_base *Base;
  HostId Self;
  IncarnationNumber Incarnation;
  std::string Token;
  PeerLinksHooks Hooks;
  std::map<HostId, Peer> Peers;
  std::string SitePort;  // Not empty: accept any host with the token as a peer;
                         // its name is its IP address.
  std::list<Link> Links; // Newest last.
  std::unique_ptr<evconnlistener, ListenerDeleter> Listener;
  std::unique_ptr<Timer> Reaper;
  LinkCounters Counters;
  Duration RelayIdleTime = DefaultRelayIdleTime;

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);

  Link &addLink();
  WebSocketHooks hooksOf(Link &L);
  void sendChallenge(Link &L);
  void receive(Link &L, std::string_view Frame);
  void dispatch(Link &L, Message M);
  void onChallenge(Link &L, const Challenge &C);
  void onHello(Link &L, const Hello &H);
  Peer *findPeer(const HostId &Host);
  void drop(Link &L, Code Number, std::string Detail);
  void markDead(Link &L, ConnectionEnd How);
  void onDeadline(Link &L);
  void restartIdleTime(Link &L);
  void dial(const HostId &To, Peer &P, LinkLane Lane);
  bool sendOn(Link &L, const std::string &Frame);
  Link *readyLink(const HostId &To, LinkLane Lane);
  void flush(const HostId &To, LinkLane Lane);
};

PeerLinks::Impl::Link &PeerLinks::Impl::addLink() {
  Link &L = Links.emplace_back();
  L.Nonce = makeNonce();
  L.Deadline = std::make_unique<Timer>(Base, [this, &L] { onDeadline(L); });
  L.Deadline->start(HandshakeTimeout);
  return L;
}

void PeerLinks::Impl::onDeadline(Link &L) {
  if (!L.ready()) {
    drop(L, Code::PeerUnauthorized, "the link handshake timed out");
    return;
  }
  if (Hooks.IsRelaying && Hooks.IsRelaying(L.Host)) {
    restartIdleTime(L);
    return;
  }
  L.Socket->close();
  markDead(L, ConnectionEnd::Host);
}

/// A host keeps its site links open, and relay links only while it uses them.
void PeerLinks::Impl::restartIdleTime(Link &L) {
  if (L.Lane == LinkLane::Relay)
    L.Deadline->start(RelayIdleTime);
}

WebSocketHooks PeerLinks::Impl::hooksOf(Link &L) {
  WebSocketHooks Result;
  Result.Open = [this, &L] { sendChallenge(L); };
  Result.Frame = [this, &L](std::string_view Frame) { receive(L, Frame); };
  Result.Closed = [this, &L](ConnectionEnd How) { markDead(L, How); };
  return Result;
}

void PeerLinks::Impl::sendChallenge(Link &L) {
  L.Socket->send(encode(Challenge{L.Nonce}));
}

/// Marks a link as closed. A websocketpp callback of the link may still be on
/// the stack, so the reaper timer destroys the link later.
void PeerLinks::Impl::markDead(Link &L, ConnectionEnd How) {
  if (L.Dead)
    return;
  bool WasReady = L.ready();
  if (Hooks.Ended)
    Hooks.Ended(How, WasReady ? ConnectionUse::Idle : ConnectionUse::Waiting);
  L.Dead = true;
  L.Deadline->stop();
  Reaper->start(Duration::zero());
  if (WasReady && !readyLink(L.Host, L.Lane))
    Hooks.Lost(L.Host, L.Lane);
}

void PeerLinks::Impl::drop(Link &L, Code Number, std::string Detail) {
  if (L.Dead)
    return;
  L.Socket->close();
  markDead(L, ConnectionEnd::Host);
  Hooks.Refused(Number, std::move(Detail));
}

void PeerLinks::Impl::receive(Link &L, std::string_view Frame) {
  if (L.Dead)
    return;
  ++Counters.MessagesReceived;
  Counters.BytesReceived += Frame.size();
  Failure Why;
  bool Decoded = valueOr<bool>(
      [&]() -> Result<bool> {
        auto M = decode(Frame);
        if (!M)
          return M.error();
        dispatch(L, std::move(*M));
        return true;
      },
      false, Why);
  if (!Decoded)
    drop(L, Why.Number, Why.Detail);
}

void PeerLinks::Impl::dispatch(Link &L, Message M) {
  if (const auto *C = std::get_if<Challenge>(&M))
    onChallenge(L, *C);
  else if (const auto *H = std::get_if<Hello>(&M))
    onHello(L, *H);
  else if (L.ready()) {
    restartIdleTime(L);
    Hooks.Received(L.Host, L.Incarnation, std::move(M));
  } else
    drop(L, Code::PeerUnauthorized, "received a message before the Hello");
}

void PeerLinks::Impl::onChallenge(Link &L, const Challenge &C) {
  Hello H;
  H.Host = Self;
  H.Incarnation = Incarnation;
  H.Proof = linkProof(Token, C.Nonce, Self, Incarnation);
  H.Lane = L.Lane;
  L.Socket->send(encode(H));
}

/// Returns the peer of this name, and creates it if any host may be a peer.
/// Returns null for unknown hosts and for this host.
PeerLinks::Impl::Peer *PeerLinks::Impl::findPeer(const HostId &Host) {
  if (Host == Self || Host.empty())
    return nullptr;
  auto Found = Peers.find(Host);
  if (Found != Peers.end())
    return &Found->second;
  if (SitePort.empty())
    return nullptr;
  Peer &P = Peers[Host];
  P.Address = Host.Value + ":" + SitePort;
  return &P;
}

void PeerLinks::Impl::onHello(Link &L, const Hello &H) {
  std::string Expected = linkProof(Token, L.Nonce, H.Host, H.Incarnation);
  bool Proved = equalConstantTime(Expected, H.Proof);
  bool Known = findPeer(H.Host) != nullptr;
  bool NameMatches = L.DialledHost.empty() || L.DialledHost == H.Host;
  if (!Proved || !Known || !NameMatches) {
    drop(L, Code::PeerUnauthorized,
         "the Hello of " + H.Host.Value +
             " has a wrong proof or names an unexpected host");
    return;
  }
  L.Host = H.Host;
  L.Incarnation = H.Incarnation;
  bool IsAccepted = L.DialledHost.empty();
  if (IsAccepted && H.Lane == LinkLane::Relay)
    L.Lane = LinkLane::Relay;
  Peers[H.Host].outbox(L.Lane).RedialDelay = MinRedialDelay;
  L.Deadline->stop();
  restartIdleTime(L);
  flush(L.Host, L.Lane);
}

void PeerLinks::Impl::onAccept(evconnlistener *, evutil_socket_t Socket,
                               sockaddr *, int, void *SelfPointer) {
  auto &Data = *static_cast<Impl *>(SelfPointer);
  if (Data.Links.size() >= MaxLinks) {
    evutil_closesocket(Socket);
    return;
  }
  Link &L = Data.addLink();
  L.Socket = WebSocket::accepted(Data.Base, Socket, Data.hooksOf(L));
}

void PeerLinks::Impl::dial(const HostId &To, Peer &P, LinkLane Lane) {
  TimePoint Now = std::chrono::steady_clock::now();
  for (const Link &L : Links) {
    if (!L.Dead && L.DialledHost == To && L.Lane == Lane)
      return;
  }
  Outbox &Box = P.outbox(Lane);
  if (Now < Box.NextDial)
    return;
  Box.NextDial = Now + Box.RedialDelay;
  Box.RedialDelay = std::min(2 * Box.RedialDelay, MaxRedialDelay);
  Link &L = addLink();
  L.DialledHost = To;
  L.Lane = Lane;
  L.Socket = WebSocket::dial(Base, P.Address, hooksOf(L));
  if (!L.Socket)
    markDead(L, ConnectionEnd::Host);
}

PeerLinks::Impl::Link *PeerLinks::Impl::readyLink(const HostId &To,
                                                  LinkLane Lane) {
  Link *Found = nullptr;
  for (Link &L : Links) {
    if (L.ready() && L.Host == To && L.Lane == Lane)
      Found = &L;
  }
  return Found;
}

bool PeerLinks::Impl::sendOn(Link &L, const std::string &Frame) {
  if (L.Socket->pendingBytes() > MaxQueuedBytes || !L.Socket->send(Frame)) {
    ++Counters.MessagesDropped;
    return false;
  }
  ++Counters.MessagesSent;
  Counters.BytesSent += Frame.size();
  restartIdleTime(L);
  return true;
}

void PeerLinks::Impl::flush(const HostId &To, LinkLane Lane) {
  Outbox &Box = Peers[To].outbox(Lane);
  Link *L = readyLink(To, Lane);
  while (L && !Box.Queue.empty()) {
    sendOn(*L, Box.Queue.front());
    Box.QueuedBytes -= Box.Queue.front().size();
    Box.Queue.pop_front();
  }
}

PeerLinks::PeerLinks(event_base *Base, HostId Self,
                     IncarnationNumber Incarnation, std::string Token,
                     const std::vector<PeerSettings> &Peers,
                     PeerLinksHooks Hooks)
    : Data(std::make_unique<Impl>()) {
  Data->Base = Base;
  Data->Self = std::move(Self);
  Data->Incarnation = Incarnation;
  Data->Token = std::move(Token);
  Data->Hooks = std::move(Hooks);
  for (const PeerSettings &Peer : Peers)
    Data->Peers[Peer.Name].Address = Peer.Address;
  Data->Reaper = std::make_unique<Timer>(Base, [this] {
    Data->Links.remove_if([](const Impl::Link &L) { return L.Dead; });
  });
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::acceptAnyHost(const std::string &Port) {
  Data->SitePort = Port;
}

bool PeerLinks::listen(const std::string &Address) {
  sockaddr_storage Target{};
  int Size = sizeof(Target);
  if (evutil_parse_sockaddr_port(
          Address.c_str(), reinterpret_cast<sockaddr *>(&Target), &Size) != 0)
    return false;
  constexpr int Backlog = 512;
  Data->Listener.reset(evconnlistener_new_bind(
      Data->Base, &Impl::onAccept, Data.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, Backlog,
      reinterpret_cast<sockaddr *>(&Target), Size));
  return Data->Listener != nullptr;
}

void PeerLinks::send(const HostId &To, const Message &M) {
  Impl::Peer *Found = Data->findPeer(To);
  if (Found == nullptr)
    return;
  LinkLane Lane = laneOf(M);
  std::string Frame = encode(M);
  if (Impl::Link *L = Data->readyLink(To, Lane)) {
    Data->sendOn(*L, Frame);
    return;
  }
  Impl::Outbox &Box = Found->outbox(Lane);
  Box.QueuedBytes += Frame.size();
  Box.Queue.push_back(std::move(Frame));
  while (Box.Queue.size() > MaxQueuedMessages ||
         (Box.QueuedBytes > MaxQueuedBytes && Box.Queue.size() > 1)) {
    Box.QueuedBytes -= Box.Queue.front().size();
    Box.Queue.pop_front();
    ++Data->Counters.MessagesDropped;
  }
  Data->dial(To, *Found, Lane);
}

void PeerLinks::setRelayIdleTime(Duration Time) { Data->RelayIdleTime = Time; }

const LinkCounters &PeerLinks::counters() const { return Data->Counters; }

} // namespace pimento
