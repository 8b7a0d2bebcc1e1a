//===- OperatorMessages.h - Operators' requests to a voter ------*- C++ -*-===//
//
// Any host accepts operators' requests, but only voters of the replicated log
// keep the history of documents. Other hosts ask a voter for it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

struct HistoryRequest {
  static constexpr std::uint16_t WireType = 701;
  std::uint64_t Sequence = 0; // Set by the sender; the reply repeats it.
  ServiceId Service;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Service);
  }
};

/// One accepted edit.
struct HistoryItem {
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0; // Position among the edits of all services.
  std::string EditId;
  std::string TextSha256;
  Duration At = Duration::zero(); // Time of acceptance, since 1970.
  bool HasText = false;           // Whether the text is still kept.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Number, M.Revision, M.EditId, M.TextSha256, M.At, M.HasText);
  }
};

struct HistoryReply {
  static constexpr std::uint16_t WireType = 702;
  std::uint64_t Sequence = 0;
  std::vector<HistoryItem> Items; // Oldest first.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Items);
  }
};

using OperatorMessages = MessageList<HistoryRequest, HistoryReply>;

} // namespace pimento
