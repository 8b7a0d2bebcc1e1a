// What operators see of the servers that this host knows: which get no requests
// now, and why not.

#include "gateway/GatewayTurn.h"

#include "base/Json.h"
#include "base/Problem.h"

#include <map>

namespace pimento::gateway {

namespace {

constexpr const char *ServersPath = "/v1/servers";

/// Time until which the block lasts, if that is known.
std::optional<TimePoint> blockedUntil(const Gateway &S, const BackendId &Server,
                                      SendBlock Block) {
  if (Block == SendBlock::Paused)
    return S.Paused.at(Server).Until;
  if (Block == SendBlock::Ejected)
    return S.Health.Servers.at(Server).EjectedUntil;
  return std::nullopt;
}

Json describe(const Gateway &S, const ServerReport &R, TimePoint Now) {
  constexpr std::int64_t NotKnown = -1;
  SendBlock Block = blockOf(S, R, Now);
  std::optional<TimePoint> Until = blockedUntil(S, R.Id, Block);
  return {{"server", R.Id.Value},
          {"service", R.Service.Value},
          {"address", R.Address},
          {"phase", toString(R.Phase)},
          {"block", nameOf(Block)},
          {"for_ms", Until ? toMilliseconds(*Until - Now) : NotKnown},
          {"reason", toString(Block)}};
}

} // namespace

bool serversCall(GatewayTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  if (R.Path != ServersPath || R.Method != HttpMethod::Get)
    return false;
  Json Servers = Json::array();
  for (const auto &[Id, Known] : T.S.Servers.Servers)
    Servers.push_back(describe(T.S, Known.Report, T.Now));
  Json Body = {{"host", T.S.Self.Value}, {"servers", std::move(Servers)}};
  std::string Text =
      Body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  T.Out.push_back(calls::SendReply{Exchange, jsonReply(200, std::move(Text))});
  return true;
}

void addServerGauges(const Gateway &S, TimePoint Now,
                     std::vector<MetricSample> &Samples) {
  std::map<SendBlock, std::size_t> Counts;
  for (const auto &[Id, Known] : S.Servers.Servers)
    Counts[blockOf(S, Known.Report, Now)] += 1;
  for (SendBlock Block : allSendBlocks()) {
    std::string Label = std::string("block=\"") + nameOf(Block) + "\"";
    Samples.push_back({SampleKind::Gauge, "pimento_servers", std::move(Label),
                       static_cast<double>(Counts[Block])});
  }
}

} // namespace pimento::gateway
