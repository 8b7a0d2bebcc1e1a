//===- ClaimsInternal.h - Shared by the claim sources -----------*- C++ -*-===//
#pragma once

#include "calls/Claims.h"

namespace pimento::calls {

/// The digest that is kept of a key past its retention.
KeyDigest keyDigest(const ClaimKey &Key);

} // namespace pimento::calls
