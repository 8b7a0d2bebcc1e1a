//===- ClaimsInternal.h - Shared by the claim sources -----------*- C++ -*-===//
#pragma once

#include "calls/Claims.h"
#include "wire/CallMessages.h"

namespace pimento::calls {

/// The digest that is kept of a key past its retention.
KeyDigest keyDigest(const ClaimKey &Key);

// ClaimCommands.cpp
/// Gives the next request of a key its turn.
ClaimCommand turnCommand(const ClaimKey &Key, const RequestId &Request);
/// Claims the key for a request that \p Host has received.
ClaimCommand claimCommand(const ClaimKey &Key, const HostId &Host,
                          const ClaimRequest &Received);
/// Ends the claim of a request whose host is gone or silent.
ClaimCommand lostCommand(const ClaimKey &Key, const RequestId &Owner);
/// Records how a claimed call ended.
ClaimCommand finishCommand(const ClaimResult &Ended);

} // namespace pimento::calls
