//===- DocumentMessages.h - Edits and their spread --------------*- C++ -*-===//
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

/// The leader's statement that Revision was the newest accepted edit when it
/// was issued. A higher term wins, then a higher sequence.
struct Stamp {
  std::uint64_t Term = 0;     // Of the leader; zero: none seen.
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

/// The sender holds this stamp. Whoever lacks it pulls.
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
  std::uint64_t After = 0;   // Of a longer reply: the part after this one.
  bool Reports = false;      // Whether to attach who holds which stamp.
  bool FullText = false;     // A delta did not fit: send whole texts.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request, M.Have, M.After, M.Reports, M.FullText);
  }
};

/// One piece of a delta: bytes of the older text, then new bytes.
struct DeltaPiece {
  std::uint64_t Offset = 0; // In the older text.
  std::uint64_t Length = 0; // Copied from there.
  Blob Insert;              // Follows the copied bytes.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Offset, M.Length, M.Insert);
  }
};

/// One document on its way to a host, whole or as the difference to an older
/// number that the host has.
struct DocumentItem {
  ServiceId Service;
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0; // Of the edit that made this number.
  std::uint64_t Digest = 0;   // xxHash64 of the text, seed 0.
  std::uint64_t Base = 0;     // Number that Delta applies to; zero: whole.
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
  Duration Age = Duration::zero(); // Of Newest when the reply was sent.
  std::uint64_t Complete = 0;      // The sender has all edits up to here.
  std::uint64_t Next = 0;          // Not zero: pull again with After = Next.
  std::vector<DocumentItem> Items; // By revision, lowest first.
  Blob Reports;           // Ages of hosts' reports on Newest; see Freshness.h.
  std::uint32_t Hops = 0; // From the leader to the sender, for Newest.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Request, M.Newest, M.Age, M.Complete, M.Next, M.Items, M.Reports,
          M.Hops);
  }
};

/// How many hosts hold a stamp, counted up the tree along which it spread.
struct StampAck {
  static constexpr std::uint16_t WireType = 506;
  Stamp Held;
  std::uint32_t Hosts = 0; // The sender and those that pulled through it.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Held, M.Hosts);
  }
};

/// Asks a range of hosts what they have in force. The receiver passes on
/// parts of the range and gathers the answers.
struct InForceQuery {
  static constexpr std::uint16_t WireType = 507;
  std::uint64_t Query = 0;
  std::uint32_t First = 0; // Index in the sorted list of configured hosts.
  std::uint32_t Last = 0;  // One past the last.
  Duration Timeout = Duration::zero(); // The answer is wanted within it.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Query, M.First, M.Last, M.Timeout);
  }
};

/// What one host has in force: every edit up to Revision.
struct HostInForce {
  std::uint32_t Host = 0; // Index in the sorted list of configured hosts.
  std::uint64_t Revision = 0;
  bool Serving = false;            // Its documents are fresh.
  Duration Age = Duration::zero(); // Of its stamp.

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
