//===- ClaimsInternal.h - For those who extend the claims -------*- C++ -*-===//
#pragma once

#include "calls/Claims.h"

namespace pimento::calls {

/// The digest by which a used key is remembered.
KeyDigest keyDigest(const ClaimKey &Key);

} // namespace pimento::calls
