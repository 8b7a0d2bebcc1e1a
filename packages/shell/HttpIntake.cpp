#include "shell/HttpIntake.h"

#include "shell/HttpServerImpl.h"

#include <malloc.h>

#include <algorithm>

namespace pimento {

namespace {

/// Memory is returned to the system after the account fell by this.
constexpr std::size_t ReturnedBytes = 8U << 20U;
/// Bodies from this size on are long.
constexpr std::size_t LongBytes = 256U << 10U;
/// A caller who takes nothing of its answer for this time does not read.
constexpr Duration UnreadTime = seconds(1);

using Connection = HttpServer::Impl::Connection;

} // namespace

HttpIntake::HttpIntake(std::size_t LimitBytes,
                       std::function<std::size_t()> TheOtherBytes)
    : OtherBytes(std::move(TheOtherBytes)) {
  Account.LimitBytes = LimitBytes;
}

void HttpIntake::refresh() {
  Account.StateBytes = OtherBytes ? OtherBytes() : 0;
}

bool HttpIntake::admit(std::size_t BodyBytes) {
  // The state may have become smaller since it was read last.
  if (!hasRoomForWhole(Account, BodyBytes))
    refresh();
  if (!hasRoomForWhole(Account, BodyBytes)) {
    Counters.Whole += 1;
    Counters.Bytes += BodyBytes;
    return false;
  }
  Account.StateBytes += BodyBytes;
  // The pieces in which a long body came stay with the allocator otherwise, and
  // while the account is filling up there is no room for both.
  if (BodyBytes >= LongBytes && totalBytes(Account) > Account.LimitBytes / 2)
    malloc_trim(0);
  return true;
}

void HttpIntake::shed(const void *Reading) {
  MostBytes = std::max(MostBytes, totalBytes(Account));
  if (excessBytes(Account) == 0)
    return;
  refresh();
  std::size_t Excess = excessBytes(Account);
  if (Excess == 0)
    return;
  std::vector<Connection *> Links;
  std::vector<UnfinishedRequest> Requests;
  for (HttpServer::Impl *Server : Servers) {
    for (const auto &[Stream, Link] : Server->Connections) {
      if (!Link->isUnfinished())
        continue;
      Links.push_back(Link.get());
      Requests.push_back({Link->Charged, Link->ReadingSince, Link->LastInput});
    }
  }
  for (std::size_t Index : chooseRefused(Requests, Excess, steadyNow())) {
    Counters.Unfinished += 1;
    Counters.Bytes += Requests[Index].Bytes;
    Links[Index]->Server->refuseConnection(
        *Links[Index], Code::Overloaded,
        "the host holds too many bytes of requests and answers");
    // That of the one being read is freed once its socket says that it ended.
    if (Links[Index] != Reading)
      HttpServer::Impl::endReading(*Links[Index]);
  }
}

void HttpIntake::sweep() {
  refresh();
  shed();
  std::size_t Excess = excessOutputBytes(Account);
  Duration Now = steadyNow();
  for (HttpServer::Impl *Server : Servers) {
    if (Excess == 0)
      break;
    std::size_t Freed = Server->closeUnread(Excess, Now - UnreadTime);
    Excess -= std::min(Excess, Freed);
    Counters.Bytes += Freed;
  }
  returnMemory();
}

/// The allocator keeps what a crowd of small allocations leaves behind.
void HttpIntake::returnMemory() {
  std::size_t Held = totalBytes(Account);
  MostBytes = std::max(MostBytes, Held);
  if (MostBytes < Held + ReturnedBytes)
    return;
  MostBytes = Held;
  malloc_trim(0);
}

} // namespace pimento
