//===- SpreadParts.h - Internal functions of the dissemination --*- C++ -*-===//
//
// Internal to the package; see Spread.h.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "document/Spread.h"

namespace pimento {

// Documents (SpreadItems.cpp).

/// Puts a newer version of a document in force. Returns false and changes
/// nothing if \p Number is not newer than the one in force. \p Delta turns the
/// text of the previous number into \p Text; it is computed if empty.
bool installDocument(SpreadState &S, const ServiceId &Service,
                     std::uint64_t Number, std::uint64_t Revision,
                     std::string Text, std::vector<DeltaPiece> Delta,
                     SpreadOutputs &Out);

/// Applies one item of a reply. Returns false if its delta does not apply to
/// the document held here or if the text does not match its digest or is too
/// long.
bool applyItem(SpreadState &S, const DocumentItem &Item, SpreadOutputs &Out);

/// Adds the edits that \p P asks for, up to the size limit of one reply.
void fillItems(const SpreadState &S, const SpreadPull &P, SpreadReply &Reply);

// In-force queries (InForce.cpp).

void onInForceQuery(SpreadState &S, const HostId &From, const InForceQuery &Q,
                    TimePoint Now, SpreadOutputs &Out);
void onInForceReply(SpreadState &S, const InForceReply &R, SpreadOutputs &Out);
void tickInForce(SpreadState &S, TimePoint Now, SpreadOutputs &Out);
TimePoint nextInForceDeadline(const SpreadState &S);

/// Index of \p Host in the sorted list of configured hosts, or the size of the
/// list if the host is not configured.
std::uint32_t hostIndex(const SpreadState &S, const HostId &Host);

} // namespace pimento
