//===- Announcement.h - Announcements of backend servers --------*- C++ -*-===//
//
// A backend server periodically announces its address, models and load to one
// host. docs/ENGINE-PROTOCOL.md gives the JSON form of
// POST /v1/backends/announce.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "wire/MembershipMessages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

constexpr std::size_t MaxAnnouncementBytes = 64U << 10U;
constexpr std::size_t MaxAnnouncedModels = 64;
constexpr std::size_t MaxAnnouncedNameBytes = 128;
/// Maximum number of added prefixes, and of removed ones, in one announcement.
constexpr std::size_t MaxCacheEvents = 1024;
constexpr Duration MaxAnnouncedAge = hours(1);

struct Announcement {
  BackendId Id;
  IncarnationNumber Incarnation = 0; // Higher after each restart.
  std::uint64_t Sequence = 0; // Counts announcements of this incarnation.
  std::string Address;        // ip:port
  BackendKind Kind = BackendKind::Engine;
  DataCentreId DataCentre;
  ServiceId Service;              // Plain servers only.
  std::vector<ModelName> Models;  // Engines only.
  std::uint64_t MemoryTokens = 0; // KV cache in tokens; engines only.
  // Whether the engine refuses orders with an outdated fence number.
  bool ChecksFence = false;
  bool Leaving = false; // The server is shutting down.
  // Engines only. The parser fills in Backend, Incarnation and Sequence.
  LoadReport Load;
};

/// Parses and validates the JSON \p Text. Fails with BodyTooLarge or
/// BadRequest; the detail lists every fault. Unknown keys are ignored because
/// backend servers may be newer than this host.
Result<Announcement> parseAnnouncement(std::string_view Text);

} // namespace pimento
