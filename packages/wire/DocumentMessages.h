//===- DocumentMessages.h - Edits and their spread --------------*- C++ -*-===//
#pragma once

#include "base/Codes.h"
#include "base/Ids.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

/// An operator's edit on its way to the leader.
struct PutDocument {
  static constexpr std::uint16_t WireType = 501;
  std::uint64_t Sequence = 0; // Of the host that forwards it.
  ServiceId Service;
  std::uint64_t Number = 0; // That the edit makes.
  std::string EditId;
  Blob Text; // JSON

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Service, M.Number, M.EditId, M.Text);
  }
};

struct PutDocumentReply {
  static constexpr std::uint16_t WireType = 502;
  std::uint64_t Sequence = 0;
  Code Result = Code::Ok;   // Ok, DocumentConflict, EditUnknown, NoLeader, ...
  std::uint64_t Number = 0; // Accepted, or the current one of a conflict.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Result, M.Number);
  }
};

/// The number that a host has in force for one service.
struct DocumentVersion {
  ServiceId Service;
  std::uint64_t Number = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Service, M.Number);
  }
};

/// What a host has in force; sent on change and now and then.
struct DocumentDigest {
  static constexpr std::uint16_t WireType = 503;
  std::vector<DocumentVersion> Versions;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Versions);
  }
};

/// Asks a host for a document newer than Have.
struct DocumentPull {
  static constexpr std::uint16_t WireType = 504;
  ServiceId Service;
  std::uint64_t Have = 0;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Service, M.Have);
  }
};

struct DocumentText {
  static constexpr std::uint16_t WireType = 505;
  ServiceId Service;
  std::uint64_t Number = 0;
  Blob Text; // JSON

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Service, M.Number, M.Text);
  }
};

using DocumentMessages =
    MessageList<PutDocument, PutDocumentReply, DocumentDigest, DocumentPull,
                DocumentText>;

} // namespace pimento
