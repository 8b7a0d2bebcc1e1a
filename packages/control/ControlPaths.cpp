// Entry hosts that lost their paths to backend servers: what they report, which
// hosts may relay requests for them, and the operators' view.

#include "control/ControlTurn.h"

#include "base/Json.h"
#include "base/Problem.h"

#include <algorithm>
#include <limits>

namespace pimento::control {

namespace {

/// Entry hosts that are named to one that looks for relays.
constexpr std::size_t MaxRelayCandidates = 12;
constexpr const char *PathsPath = "/v1/paths";

/// The fewest services that a ready entry host does not reach; more than none
/// if a service is down.
std::size_t fewestUnreached(const ControlTurn &T) {
  std::size_t Fewest = std::numeric_limits<std::size_t>::max();
  for (const auto &[Host, Entry] : T.S.Entries) {
    if (isReadyEntry(T, Host))
      Fewest = std::min(Fewest, Entry.Unreached.size());
  }
  return Fewest;
}

std::string namesOf(const std::vector<ServiceId> &Services) {
  std::string Names;
  for (const ServiceId &Service : Services)
    Names += (Names.empty() ? "" : " ") + Service.Value;
  return Names;
}

Json describe(const HostId &Host, const EntryPeer &Entry, TimePoint Now) {
  bool ReachesAll = Entry.Unreached.empty();
  return {{"host", Host.Value},
          {"data_centre", Entry.DataCentre.Value},
          {"cut_off", Entry.IsCutOff},
          {"unreached", namesOf(Entry.Unreached)},
          {"since_ms",
           ReachesAll ? -1 : toMilliseconds(Now - Entry.UnreachedSince)},
          {"contact_ms", toMilliseconds(Now - Entry.LastSeen)}};
}

} // namespace

bool isReadyEntry(const ControlTurn &T, const HostId &Host) {
  auto Found = T.S.Entries.find(Host);
  return Found != T.S.Entries.end() && isReachable(Found->second, T.Now) &&
         Found->second.Ready;
}

std::vector<RelayCandidate> relayCandidates(ControlTurn &T, const HostId &For,
                                            const DataCentreId &Here) {
  std::vector<RelayCandidate> Near;
  std::vector<RelayCandidate> Far;
  std::size_t Fewest = fewestUnreached(T);
  for (const auto &[Host, Entry] : T.S.Entries) {
    if (Host == For || !isReadyEntry(T, Host) ||
        Entry.Unreached.size() > Fewest)
      continue;
    bool IsNear = Entry.DataCentre == Here;
    (IsNear ? Near : Far).push_back({Host, Entry.DataCentre});
  }
  for (auto *List : {&Near, &Far}) {
    for (std::size_t I = List->size(); I > 1; --I)
      std::swap((*List)[I - 1], (*List)[below(T.S.Rng, I)]);
  }
  std::size_t NearCount = std::min(Near.size(), MaxRelayCandidates / 2);
  std::size_t FarCount = std::min(Far.size(), MaxRelayCandidates - NearCount);
  NearCount = std::min(Near.size(), MaxRelayCandidates - FarCount);
  std::vector<RelayCandidate> List(Near.begin(), Near.begin() + NearCount);
  List.insert(List.end(), Far.begin(), Far.begin() + FarCount);
  return List;
}

void onPathsReported(ControlTurn &T, const HostId &Host, EntryPeer &Entry,
                     const EntrySync &M) {
  Entry.IsCutOff = M.IsCutOff;
  if (Entry.Unreached == M.Unreached)
    return;
  Entry.Unreached = M.Unreached;
  Entry.UnreachedSince = Entry.Unreached.empty() ? TimePoint() : T.Now;
  DecisionRecord Record{"entry_host_path",
                        {},
                        Entry.Unreached.empty()
                            ? "the entry host reaches the servers again"
                            : "the entry host lost its path to servers",
                        {}};
  Record.add("entry_host", Host.Value);
  Record.add("services", namesOf(Entry.Unreached));
  log(T, std::move(Record));
}

bool pathsCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  if (R.Path != PathsPath || R.Method != HttpMethod::Get)
    return false;
  Json Hosts = Json::array();
  for (const auto &[Host, Entry] : T.S.Entries)
    Hosts.push_back(describe(Host, Entry, T.Now));
  Json Body = {{"hosts", std::move(Hosts)}};
  reply(
      T, Exchange,
      jsonReply(200, Body.dump(-1, ' ', false, Json::error_handler_t::replace) +
                         "\n"));
  return true;
}

} // namespace pimento::control
