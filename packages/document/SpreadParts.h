//===- SpreadParts.h - Parts of the spread ----------------------*- C++ -*-===//
//
// Internal to the package.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "document/Spread.h"

namespace pimento {

// Documents (SpreadItems.cpp).

/// Puts a newer version of a document in force. False, and nothing changed,
/// where \p Number is not newer than the one in force. \p Delta leads from the
/// number before to \p Text; empty where it has to be worked out.
bool installDocument(SpreadState &S, const ServiceId &Service,
                     std::uint64_t Number, std::uint64_t Revision,
                     std::string Text, std::vector<DeltaPiece> Delta,
                     SpreadOutputs &Out);

/// Takes in one item of a reply. False where its delta does not fit what this
/// host holds or its text does not match its digest.
bool applyItem(SpreadState &S, const DocumentItem &Item, SpreadOutputs &Out);

/// Fills in what \p P asks for, within the size of one reply.
void fillItems(const SpreadState &S, const SpreadPull &P, SpreadReply &Reply);

// In-force questions (InForce.cpp).

void onInForceQuery(SpreadState &S, const HostId &From, const InForceQuery &Q,
                    TimePoint Now, SpreadOutputs &Out);
void onInForceReply(SpreadState &S, const InForceReply &R, SpreadOutputs &Out);
void tickInForce(SpreadState &S, TimePoint Now, SpreadOutputs &Out);
TimePoint nextInForceDeadline(const SpreadState &S);

/// Index of \p Host in the sorted list of configured hosts; its size where the
/// host is not configured.
std::uint32_t hostIndex(const SpreadState &S, const HostId &Host);

} // namespace pimento
