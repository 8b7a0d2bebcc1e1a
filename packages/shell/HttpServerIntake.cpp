// Bytes that arrive on connections: they are charged to the account of the
// process before evhttp parses them, and refused where it is full.

#include "shell/HttpServerImpl.h"

namespace pimento {

namespace {

/// Room in a connection's input besides the longest request.
constexpr std::size_t InputSlackBytes = 64U << 10U;

} // namespace

void HttpServer::Impl::onInput(evbuffer *Input, const evbuffer_cb_info *Info,
                               void *Self) {
  auto &Link = *static_cast<Connection *>(Self);
  Impl &Server = *Link.Server;
  if (Info->n_added == 0)
    return;
  if (Link.Closing) {
    dropInput(Link);
    return;
  }
  if (Link.CurrentExchange != ExchangeId{}) {
    chargeHead(Link, headCost(Link.Scan) + evbuffer_get_length(Input));
    return;
  }
  if (Link.ReadingSince == Duration::zero())
    beginReading(Link);
  else
    scanInput(Link, Info->orig_size);
  Server.Intake.shed(&Link);
}

/// Begins a request with the bytes that are in the input already.
void HttpServer::Impl::beginReading(Connection &Link) {
  Link.Scan = RequestScan();
  Link.Scan.IsReserved = Link.Server->Limits.IsReservedField;
  Link.ReadingSince = steadyNow();
  Link.Replying = false;
  scanInput(Link, 0);
}

/// Follows the bytes of the input from \p Offset on, and charges them. evhttp
/// has not seen them yet: of a request whose end is not certain, it sees none
/// of those that make it so, and none behind them.
void HttpServer::Impl::scanInput(Connection &Link, std::size_t Offset) {
  evbuffer *Input = bufferevent_get_input(Link.Stream);
  Link.LastInput = steadyNow();
  evbuffer_ptr Start;
  if (evbuffer_ptr_set(Input, &Start, Offset, EVBUFFER_PTR_SET) != 0)
    return;
  int Count = evbuffer_peek(Input, -1, &Start, nullptr, 0);
  std::vector<evbuffer_iovec> Pieces(static_cast<std::size_t>(Count));
  evbuffer_peek(Input, -1, &Start, Pieces.data(), Count);
  for (const evbuffer_iovec &Piece : Pieces)
    scan(Link.Scan, {static_cast<const char *>(Piece.iov_base), Piece.iov_len});
  charge(Link, cost(Link.Scan));
  if (Link.Scan.Fault != nullptr)
    Link.Server->refuseConnection(Link, Code::BadRequest, Link.Scan.Fault);
}

/// Whether evhttp has read what the scan takes for the request, and no more: it
/// decides by the method whether it reads a body, and its versions differ.
bool HttpServer::Impl::agreesOnEnd(const Connection &Link,
                                   const HttpRequest &Read) {
  const RequestScan &S = Link.Scan;
  std::size_t Unread = evbuffer_get_length(bufferevent_get_input(Link.Stream));
  return S.Part == RequestPart::Whole && S.Bytes - Unread == S.WholeBytes &&
         Read.Body.size() == S.BodyBytes;
}

/// Sets what is charged for the request that is being read.
void HttpServer::Impl::charge(Connection &Link, std::size_t Bytes) {
  IntakeAccount &Account = Link.Server->Intake.Account;
  Account.UnfinishedBytes += Bytes;
  Account.UnfinishedBytes -= Link.Charged;
  Link.Charged = Bytes;
}

/// Sets what is charged for the head of the request in progress, which evhttp
/// and the state keep, and for the bytes sent ahead behind it.
void HttpServer::Impl::chargeHead(Connection &Link, std::size_t Bytes) {
  IntakeAccount &Account = Link.Server->Intake.Account;
  Account.HeadBytes += Bytes;
  Account.HeadBytes -= Link.HeadCharged;
  Link.HeadCharged = Bytes;
}

void HttpServer::Impl::countOutput(std::size_t Added, std::size_t Deleted) {
  OutputBytes += Added;
  OutputBytes -= Deleted;
  Intake.Account.OutputBytes += Added;
  Intake.Account.OutputBytes -= Deleted;
}

std::size_t HttpServer::Impl::maxInputBytes() const {
  return Limits.BodyBytes + Limits.HeaderBytes + InputSlackBytes;
}

/// Stops reading while the input holds \p Bytes.
void HttpServer::Impl::setMaxInput(Connection &Link, std::size_t Bytes) {
  bufferevent_setwatermark(Link.Stream, EV_READ, 0, Bytes);
}

void HttpServer::Impl::dropInput(Connection &Link) {
  evbuffer *Input = bufferevent_get_input(Link.Stream);
  evbuffer_drain(Input, evbuffer_get_length(Input));
}

/// Lets evhttp release a connection at once, as if the caller had closed it. In
/// a crowd, the sockets would be looked at after many other reads.
void HttpServer::Impl::endReading(Connection &Link) {
  if (!isReleased(Link))
    bufferevent_trigger_event(Link.Stream, BEV_EVENT_READING | BEV_EVENT_EOF,
                              0);
}

} // namespace pimento
