//===- DocumentMessages.h - Edits and their dissemination -------*- C++ -*-===//
//
// Messages that carry operators' edits to the leader of the replicated log and
// spread accepted edits to all hosts; see document/Spread.h.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

/// An operator's edit, forwarded to the leader.
struct PutDocument {
  static constexpr std::uint16_t WireType = 501;
  std::uint64_t Sequence = 0; // Set by the sender; the reply repeats it.
  ServiceId Service;
  std::uint64_t Number = 0; // Number of the document after the edit.
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
  std::uint64_t Number = 0; // Accepted number; after a conflict: current one.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Result, M.Number);
  }
};

/// The leader's statement that Revision was the newest accepted edit when the
/// stamp was issued. Stamps are ordered by term, then by sequence.
struct Stamp {
  std::uint64_t Term = 0;     // Term of the leader; zero: no stamp.
  std::uint64_t Sequence = 0; // Counted by the leader within its term.
  std::uint64_t Revision = 0; // Edits of all services accepted so far.

  friend bool operator==(const Stamp &A, const Stamp &B) {
    return A.Term == B.Term && A.Sequence == B.Sequence;
  }
  friend bool operator!=(const Stamp &A, const Stamp &B) { return !(A == B); }
  friend bool operator<(const Stamp &A, const Stamp &B) {
    return A.Term != B.Term ? A.Term < B.Term : A.Sequence < B.Sequence;
  }

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Term, M.Sequence, M.Revision);
  }
};

/// Announces the newest stamp and the edits that the sender has. A receiver
/// that lacks any of them pulls.
struct SpreadNotice {
  static constexpr std::uint16_t WireType = 503;
  Stamp Newest;
  std::uint64_t Complete = 0; // Revision up to which the sender has all edits.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Newest, M.Complete);
  }
};

/// Asks for the newest stamp and for the edits after Have.
struct SpreadPull {
  static constexpr std::uint16_t WireType = 504;
  std::uint64_t Request = 0; // Chosen by the sender; the reply repeats it.
  std::uint64_t Have = 0;    // The sender has all edits up to here.
  std::uint64_t After = 0;   // Continues a reply in parts after this revision.
  bool Reports = false;      // Whether to attach hosts' reports on the stamp.
  bool FullText = false;     // Whole texts only, since a delta did not apply.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request, M.Have, M.After, M.Reports, M.FullText);
  }
};

/// One piece of a delta: bytes of the older text, then new bytes.
struct DeltaPiece {
  std::uint64_t Offset = 0; // Start of the copied range in the older text.
  std::uint64_t Length = 0; // Length of the copied range.
  Blob Insert;              // Follows the copied bytes.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Offset, M.Length, M.Insert);
  }
};

/// One document in a reply, as a whole text or as a delta to an older number
/// that the receiver has.
struct DocumentItem {
  ServiceId Service;
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0; // Revision of the edit that made this number.
  std::uint64_t Digest = 0;   // xxHash64 of the text, seed 0.
  std::uint64_t Base = 0;     // Number that Delta applies to; zero: whole text.
  Blob Text;                  // JSON; empty where Base is set.
  std::vector<DeltaPiece> Delta;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Service, M.Number, M.Revision, M.Digest, M.Base, M.Text, M.Delta);
  }
};

struct SpreadReply {
  static constexpr std::uint16_t WireType = 505;
  std::uint64_t Request = 0;
  Stamp Newest;
  Duration Age = Duration::zero(); // Age of Newest when the reply was sent.
  std::uint64_t Complete = 0;      // The sender has all edits up to here.
  std::uint64_t Next = 0;          // Not zero: pull again with After = Next.
  std::vector<DocumentItem> Items; // By revision, lowest first.
  Blob Reports;           // Ages of the reports on Newest; see encodeReports().
  std::uint32_t Hops = 0; // Tree depth of the sender for Newest; leader: zero.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request, M.Newest, M.Age, M.Complete, M.Next, M.Items, M.Reports,
          M.Hops);
  }
};

/// How many hosts hold a stamp, summed up along the tree on which it spread.
struct StampAck {
  static constexpr std::uint16_t WireType = 506;
  Stamp Held;
  std::uint32_t Hosts = 0; // The sender and the hosts below it in the tree.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Held, M.Hosts);
  }
};

/// Asks a range of hosts for the revisions they have in force. The receiver
/// forwards the query to parts of the range and gathers the answers.
struct InForceQuery {
  static constexpr std::uint16_t WireType = 507;
  std::uint64_t Query = 0;
  std::uint32_t First = 0; // Index in the sorted list of configured hosts.
  std::uint32_t Last = 0;  // One past the last index.
  Duration Timeout = Duration::zero(); // Limit for the answer.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Query, M.First, M.Last, M.Timeout);
  }
};

/// State of one host, which has every edit up to Revision in force.
struct HostInForce {
  std::uint32_t Host = 0; // Index in the sorted list of configured hosts.
  std::uint64_t Revision = 0;
  bool Serving = false;            // Whether its documents are fresh enough.
  Duration Age = Duration::zero(); // Age of its covered stamp.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.Revision, M.Serving, M.Age);
  }
};

struct InForceReply {
  static constexpr std::uint16_t WireType = 508;
  std::uint64_t Query = 0;
  std::vector<HostInForce> Hosts;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Query, M.Hosts);
  }
};

using DocumentMessages =
    MessageList<PutDocument, PutDocumentReply, SpreadNotice, SpreadPull,
                SpreadReply, StampAck, InForceQuery, InForceReply>;

} // namespace pimento
