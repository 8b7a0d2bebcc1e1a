//===- Announcement.h - What a backend server says of itself ----*- C++ -*-===//
//
// docs/ENGINE-PROTOCOL.md gives the JSON form of POST /v1/backends/announce.
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
constexpr std::size_t MaxCacheEvents = 1024; // Of each of the two lists.
constexpr Duration MaxAnnouncedAge = hours(1);

struct Announcement {
  BackendId Id;
  IncarnationNumber Incarnation = 0; // A restart takes a higher one.
  std::uint64_t Sequence = 0;        // Counts announcements of this life.
  std::string Address;               // ip:port
  BackendKind Kind = BackendKind::Engine;
  DataCentreId DataCentre;
  ServiceId Service;              // Plain servers only.
  std::vector<ModelName> Models;  // Engines only.
  std::uint64_t MemoryTokens = 0; // Engines only.
  bool ChecksFence = false; // Whether it refuses orders with an old number.
  bool Leaving = false;
  LoadReport
      Load; // Engines only; Backend, Incarnation and Sequence are filled in.
};

/// Reads and checks the JSON \p Text. Fails with BodyTooLarge or BadRequest
/// and a detail that lists every fault. Unknown keys are ignored, because
/// backend servers may be newer.
Result<Announcement> parseAnnouncement(std::string_view Text);

} // namespace pimento
