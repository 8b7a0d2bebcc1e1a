#include "shell/WebSocket.h"

#include "shell/Address.h"
#include "shell/SocketOptions.h"
#include "shell/SocketState.h"
#include "wire/Messages.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <netinet/in.h>

namespace pimento {

namespace {

using ServerEndpoint = websocketpp::server<websocketpp::config::core>;
using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;
using websocketpp::connection_hdl;

constexpr std::size_t ReadChunkBytes = 16U << 10U;
/// Returns the shared endpoint of a kind, with websocketpp's logging disabled.
template <class Endpoint> Endpoint &endpoint() {
  static Endpoint TheEndpoint;
  TheEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  TheEndpoint.clear_error_channels(websocketpp::log::elevel::all);
  return TheEndpoint;
}

} // namespace

struct WebSocket::Impl {
  bufferevent *Stream = nullptr;
  WebSocketHooks Hooks;
  // Exactly one of Server and Client is set.
  ServerEndpoint::connection_ptr Server;
  ClientEndpoint::connection_ptr Client;
  bool IsClient = false;
  bool Opened = false;
  bool Dead = false;

  ~Impl();
  static void onRead(bufferevent *, void *Self);
  static void onEvent(bufferevent *, short What, void *Self);

  template <class Connection> void attach(Connection &Link);
  void startClient();
  void feed();
  void disconnect(ConnectionEnd How);
};

/// A websocketpp connection with a pending read holds a reference to itself,
/// which only eof() releases.
WebSocket::Impl::~Impl() {
  Dead = true;
  if (Server)
    Server->eof();
  if (Client)
    Client->eof();
  if (Stream)
    bufferevent_free(Stream);
}

void WebSocket::Impl::disconnect(ConnectionEnd How) {
  if (Dead)
    return;
  Dead = true;
  bufferevent_disable(Stream, EV_READ | EV_WRITE);
  Hooks.Closed(How);
}

/// Sets the handlers that server and client connections share.
template <class Connection> void WebSocket::Impl::attach(Connection &Link) {
  Link->set_write_handler(
      [this](const connection_hdl &, char const *Bytes, std::size_t Size) {
        if (!Dead)
          bufferevent_write(Stream, Bytes, Size);
        return websocketpp::lib::error_code();
      });
  Link->set_open_handler([this](const connection_hdl &) {
    Opened = true;
    if (!Dead)
      Hooks.Open();
  });
  Link->set_message_handler(
      [this](const connection_hdl &, const auto &Message) {
        if (!Dead)
          Hooks.Frame(Message->get_payload());
      });
  Link->set_close_handler(
      [this](const connection_hdl &) { disconnect(ConnectionEnd::Close); });
  Link->set_fail_handler(
      [this](const connection_hdl &) { disconnect(ConnectionEnd::Host); });
  Link->set_max_message_size(MaxFrameBytes);
}

void WebSocket::Impl::feed() {
  evbuffer *Input = bufferevent_get_input(Stream);
  char Chunk[ReadChunkBytes];
  while (!Dead) {
    int Size = evbuffer_remove(Input, Chunk, sizeof(Chunk));
    if (Size <= 0)
      return;
    auto Count = static_cast<std::size_t>(Size);
    if (Server)
      Server->read_all(Chunk, Count);
    else
      Client->read_all(Chunk, Count);
  }
}

void WebSocket::Impl::onRead(bufferevent *, void *Self) {
  static_cast<Impl *>(Self)->feed();
}

void WebSocket::Impl::startClient() {
  setSocketOptions(bufferevent_getfd(Stream), HostSilence);
  endpoint<ClientEndpoint>().connect(Client);
}

void WebSocket::Impl::onEvent(bufferevent *, short What, void *Self) {
  auto &Data = *static_cast<Impl *>(Self);
  if (What & BEV_EVENT_CONNECTED) {
    if (Data.IsClient)
      Data.startClient();
    return;
  }
  bool IsError = (What & BEV_EVENT_ERROR) != 0;
  ConnectionEnd How =
      IsError ? endOfError(EVUTIL_SOCKET_ERROR()) : ConnectionEnd::Close;
  Data.feed();
  Data.disconnect(How);
}

WebSocket::WebSocket(std::unique_ptr<Impl> TheData)
    : Data(std::move(TheData)) {}

WebSocket::~WebSocket() { close(); }

std::unique_ptr<WebSocket> WebSocket::accepted(event_base *Base,
                                               evutil_socket_t Socket,
                                               WebSocketHooks Hooks) {
  auto &Endpoint = endpoint<ServerEndpoint>();
  auto Data = std::make_unique<Impl>();
  Data->Hooks = std::move(Hooks);
  setSocketOptions(Socket, HostSilence);
  Data->Stream = bufferevent_socket_new(Base, Socket, BEV_OPT_CLOSE_ON_FREE);
  Data->Server = Endpoint.get_connection();
  Data->attach(Data->Server);
  bufferevent_setcb(Data->Stream, &Impl::onRead, nullptr, &Impl::onEvent,
                    Data.get());
  Data->Server->start();
  bufferevent_enable(Data->Stream, EV_READ | EV_WRITE);
  return std::unique_ptr<WebSocket>(new WebSocket(std::move(Data)));
}

std::unique_ptr<WebSocket> WebSocket::dial(event_base *Base,
                                           const std::string &Address,
                                           WebSocketHooks Hooks) {
  sockaddr_storage Target{};
  int Size = sizeof(Target);
  if (evutil_parse_sockaddr_port(
          Address.c_str(), reinterpret_cast<sockaddr *>(&Target), &Size) != 0)
    return nullptr;
  auto &Endpoint = endpoint<ClientEndpoint>();
  websocketpp::lib::error_code Error;
  auto Data = std::make_unique<Impl>();
  Data->Hooks = std::move(Hooks);
  Data->IsClient = true;
  Data->Client = Endpoint.get_connection("ws://" + Address + "/", Error);
  if (Error)
    return nullptr;
  Data->attach(Data->Client);
  Data->Stream = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(Data->Stream, &Impl::onRead, nullptr, &Impl::onEvent,
                    Data.get());
  bufferevent_enable(Data->Stream, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(
          Data->Stream, reinterpret_cast<sockaddr *>(&Target), Size) != 0)
    return nullptr;
  return std::unique_ptr<WebSocket>(new WebSocket(std::move(Data)));
}

bool WebSocket::send(std::string_view Bytes) {
  if (Data->Dead || !Data->Opened)
    return false;
  constexpr auto Binary = websocketpp::frame::opcode::binary;
  websocketpp::lib::error_code Error =
      Data->Server ? Data->Server->send(Bytes.data(), Bytes.size(), Binary)
                   : Data->Client->send(Bytes.data(), Bytes.size(), Binary);
  return !Error;
}

void WebSocket::close() { Data->Dead = true; }

std::size_t WebSocket::pendingBytes() const {
  return evbuffer_get_length(bufferevent_get_output(Data->Stream));
}

} // namespace pimento
