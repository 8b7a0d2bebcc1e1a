//===- ConnectionMetrics.h - Metrics of a process's connections -*- C++ -*-===//
#pragma once

#include "base/ConnectionEnd.h"
#include "shell/HttpClient.h"
#include "shell/HttpServer.h"
#include "shell/Metrics.h"
#include "shell/PeerLinks.h"

#include <functional>
#include <vector>

namespace pimento {

/// Returns a hook that counts the connections of \p Side that end, by how and
/// in which use. \p Store outlives it.
std::function<void(ConnectionEnd, ConnectionUse)> countEnds(Metrics &Store,
                                                            const char *Side);

/// Connections of callers, to backend servers and to peers.
std::vector<MetricSample> connectionGauges(const HttpServer &Callers,
                                           const HttpClient &Servers,
                                           const LinkCounters &Links);

} // namespace pimento
