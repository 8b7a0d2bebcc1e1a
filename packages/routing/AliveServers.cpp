#include "routing/AliveServers.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::size_t NumberBytes = 8;
constexpr std::size_t EntryBytes = 2 * NumberBytes;
/// Every so many reports of a server, a whole one is sent.
constexpr std::uint64_t WholeReportPeriod = 16;

/// The lowest byte first, whatever the order of the machine.
void addNumber(std::string &Packed, std::uint64_t Number) {
  for (std::size_t Byte = 0; Byte < NumberBytes; ++Byte)
    Packed += static_cast<char>((Number >> (8 * Byte)) & 0xffU);
}

std::uint64_t numberAt(std::string_view Packed, std::size_t At) {
  std::uint64_t Number = 0;
  for (std::size_t Byte = NumberBytes; Byte-- > 0;)
    Number = Number << 8U | static_cast<unsigned char>(Packed[At + Byte]);
  return Number;
}

} // namespace

bool isAliveOnly(const ServerReport &Report) {
  return Report.Phase == ServerPhase::Ready &&
         Report.WarmupTime == Duration::zero() &&
         Report.Sequence % WholeReportPeriod != 0;
}

void addAlive(std::string &Packed, const ServerReport &Report) {
  addNumber(Packed, serverKey(Report));
  addNumber(Packed, Report.Sequence);
}

std::vector<AliveServer> aliveServers(std::string_view Packed) {
  std::vector<AliveServer> List;
  List.reserve(Packed.size() / EntryBytes);
  for (std::size_t At = 0; At + EntryBytes <= Packed.size(); At += EntryBytes)
    List.push_back({numberAt(Packed, At), numberAt(Packed, At + NumberBytes)});
  return List;
}

AliveResult applyAlive(ServerRegistry &Registry, const AliveServer &Alive,
                       TimePoint SeenAt) {
  auto Id = Registry.ByKey.find(Alive.Key);
  auto Found = Id == Registry.ByKey.end() ? Registry.Servers.end()
                                          : Registry.Servers.find(Id->second);
  if (Found == Registry.Servers.end() ||
      serverKey(Found->second.Report) != Alive.Key)
    return AliveResult::Unknown;
  KnownServer &Known = Found->second;
  if (Alive.Sequence <= Known.Report.Sequence)
    return AliveResult::Applied;
  if (Known.Report.Phase != ServerPhase::Silent) {
    Known.Report.Sequence = Alive.Sequence;
    Known.LastSeen = std::max(Known.LastSeen, SeenAt);
    Known.Report.WarmupTime = Duration::zero();
    return AliveResult::Applied;
  }
  ServerReport Report = Known.Report;
  Report.Sequence = Alive.Sequence;
  Report.Phase = ServerPhase::Ready;
  Report.WarmupTime = Duration::zero();
  applyReport(Registry, Report, SeenAt);
  return AliveResult::Changed;
}

} // namespace pimento
