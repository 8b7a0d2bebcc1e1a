//===- CallsBench.h - Measurements of calls and claims ----------*- C++ -*-===//
#pragma once

namespace pimento::bench {

/// Prints a figure beside its bound; false where it is broken.
bool within(const char *What, double Figure, double Bound);

/// Tries for each request while a share of the servers fails; counted.
bool measureRetries();
/// Claims a second and the latency that a claim adds; virtual time.
bool measureClaims();

} // namespace pimento::bench
