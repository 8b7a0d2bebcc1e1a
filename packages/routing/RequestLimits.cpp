#include "routing/RequestLimits.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pimento {

namespace {

/// Time for which a record that limits nobody is kept, so that an older record
/// of another host does not bring the limit back.
constexpr Duration RecordRetention = seconds(30);
/// Share by which a limit may differ from the known one and count as the same.
/// A server may name another number in each answer; all hosts would be told.
constexpr double NegligibleChange = 0.1;
/// Limit of records, far above the servers of a site. Bounds the memory that
/// records of other hosts can take.
constexpr std::size_t MaxRecords = 16384;

bool isCurrent(const KnownLimit &Known, const ServerRegistry &Servers,
               const BackendId &Server) {
  auto Found = Servers.Servers.find(Server);
  return Known.PerSecond.has_value() && Found != Servers.Servers.end() &&
         Found->second.Report.Incarnation <= Known.Incarnation;
}

/// Whether two limits differ by more than NegligibleChange.
bool isOther(std::optional<double> A, std::optional<double> B) {
  if (!A || !B)
    return A.has_value() != B.has_value();
  return std::abs(*A - *B) > NegligibleChange * std::max(*A, *B);
}

bool update(RequestLimits &Limits, const BackendId &Server, KnownLimit Next) {
  auto Found = Limits.Servers.find(Server);
  if (Found == Limits.Servers.end()) {
    if (!Next.PerSecond || Limits.Servers.size() >= MaxRecords)
      return false;
    Next.Revision = ++Limits.Revision;
    Limits.Servers.emplace(Server, Next);
    return true;
  }
  KnownLimit &Known = Found->second;
  bool IsOlder = Next.Incarnation < Known.Incarnation ||
                 (Next.Incarnation == Known.Incarnation &&
                  Next.ObservedAt <= Known.ObservedAt);
  if (IsOlder)
    return false;
  bool Changed = Next.Incarnation != Known.Incarnation ||
                 isOther(Next.PerSecond, Known.PerSecond);
  if (!Changed) {
    Known.ObservedAt = Next.ObservedAt;
    Known.Since = std::min(Next.Since, Known.Since);
    return false;
  }
  Next.Revision = ++Limits.Revision;
  Known = Next;
  return true;
}

} // namespace

bool observeLimit(RequestLimits &Limits, const BackendId &Server,
                  IncarnationNumber Incarnation,
                  std::optional<double> PerSecond, TimePoint Now) {
  return update(Limits, Server, {Incarnation, PerSecond, Now, Now, 0});
}

bool applyLimit(RequestLimits &Limits, const ServerLimit &Record,
                TimePoint Now) {
  bool IsExpired = !Record.PerSecond && Record.Age > RecordRetention;
  bool IsValid = !Record.PerSecond || *Record.PerSecond >= 0;
  if (IsExpired || !IsValid)
    return false;
  return update(Limits, Record.Server,
                {Record.Incarnation, Record.PerSecond, Now - Record.Held,
                 Now - Record.Age, 0});
}

void expireLimits(RequestLimits &Limits, const ServerRegistry &Servers,
                  TimePoint Now) {
  for (auto It = Limits.Servers.begin(); It != Limits.Servers.end();) {
    bool IsOld = Now > It->second.ObservedAt + RecordRetention;
    bool Keep = !IsOld || isCurrent(It->second, Servers, It->first);
    It = Keep ? std::next(It) : Limits.Servers.erase(It);
  }
}

std::optional<double> limitOf(const RequestLimits &Limits,
                              const BackendId &Server,
                              IncarnationNumber Incarnation) {
  auto Found = Limits.Servers.find(Server);
  if (Found == Limits.Servers.end() || Found->second.Incarnation != Incarnation)
    return std::nullopt;
  return Found->second.PerSecond;
}

std::vector<ServerLimit> limitRecords(const RequestLimits &Limits,
                                      std::uint64_t Since, TimePoint Now) {
  std::vector<ServerLimit> Records;
  for (const auto &[Server, Known] : Limits.Servers) {
    if (Known.Revision <= Since)
      continue;
    Records.push_back({Server, Known.Incarnation, Known.PerSecond,
                       Now - Known.ObservedAt, Now - Known.Since});
  }
  return Records;
}

std::uint64_t limitDigest(const RequestLimits &Limits) {
  std::uint64_t Digest = 0;
  for (const auto &[Server, Known] : Limits.Servers) {
    constexpr double NoLimit = -1;
    double PerSecond = Known.PerSecond.value_or(NoLimit);
    std::uint64_t One = XXH3_64bits_withSeed(
        Server.Value.data(), Server.Value.size(), Known.Incarnation);
    Digest += XXH3_64bits_withSeed(&PerSecond, sizeof(PerSecond), One);
  }
  return Digest;
}

std::size_t limitedServers(const RequestLimits &Limits) {
  return static_cast<std::size_t>(
      std::count_if(Limits.Servers.begin(), Limits.Servers.end(),
                    [](const auto &E) { return E.second.PerSecond; }));
}

} // namespace pimento
