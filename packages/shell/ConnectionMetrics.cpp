#include "shell/ConnectionMetrics.h"

namespace pimento {

std::function<void(ConnectionEnd, ConnectionUse)> countEnds(Metrics &Store,
                                                            const char *Side) {
  std::string Start = std::string("side=\"") + Side + "\",how=\"";
  return [&Store, Start](ConnectionEnd How, ConnectionUse Use) {
    Store.record({SampleKind::Counter, "pimento_connections_ended_total",
                  Start + toString(How) + "\",use=\"" + toString(Use) + "\"",
                  1});
  };
}

std::vector<MetricSample> connectionGauges(const HttpServer &Callers,
                                           const HttpClient &Servers,
                                           const LinkCounters &Links) {
  std::vector<MetricSample> Samples;
  auto Gauge = [&](const char *Name, std::uint64_t Value) {
    Samples.push_back(
        {SampleKind::Gauge, Name, "", static_cast<double>(Value)});
  };
  Gauge("pimento_caller_connections", Callers.connections());
  Gauge("pimento_caller_exchanges", Callers.exchanges());
  Gauge("pimento_caller_pending_bytes", Callers.pendingBytes());
  Gauge("pimento_upstream_calls", Servers.calls());
  Gauge("pimento_link_sent_bytes", Links.BytesSent);
  Gauge("pimento_link_received_bytes", Links.BytesReceived);
  Gauge("pimento_link_sent_messages", Links.MessagesSent);
  Gauge("pimento_link_dropped_messages", Links.MessagesDropped);
  const HttpClientCounters &Out = Servers.counters();
  Gauge("pimento_upstream_connections", Servers.connections());
  Gauge("pimento_upstream_opened", Out.Opened);
  Gauge("pimento_upstream_reused", Out.Reused);
  Gauge("pimento_upstream_strays", Out.MismatchedAnswers);
  return Samples;
}

} // namespace pimento
