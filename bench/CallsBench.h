//===- CallsBench.h - Measurements of calls and claims ----------*- C++ -*-===//
#pragma once

namespace pimento::bench {

/// Prints a figure and its bound; returns false if the bound is exceeded.
bool within(const char *What, double Figure, double Bound);

/// Counts attempts per request while a share of the servers fails.
bool measureRetries();
/// Measures claims per second and the latency that a claim adds, in virtual
/// time. A claim records a request in the replicated log before it is sent.
bool measureClaims();

} // namespace pimento::bench
