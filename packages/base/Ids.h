//===- Ids.h - Typed identifiers --------------------------------*- C++ -*-===//
//
// Identifiers are distinct types, so that a host never stands where a backend
// server is expected. Each prints, compares and hashes.
//
//   HostId           an entry host of the system, by its configured name
//   DataCentreId     the data centre that a host or backend server is in
//   AccountId        a client account
//   ServiceId        a service, which one document describes
//   BackendId        a backend server: a model engine or a plain service
//   ModelName        a model, adapter or version as callers write it
//   RequestId        one caller's request, unique for ever
//   AttemptId        one try of a request at one backend server
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace pimento {

/// A string that is an identifier of the kind \p Tag. Empty means "none".
template <class Tag> struct StringId {
  std::string Value; // As in settings, documents and logs; empty: none.

  StringId() = default;
  explicit StringId(std::string Text) : Value(std::move(Text)) {}

  bool empty() const { return Value.empty(); }

  friend bool operator==(const StringId &A, const StringId &B) {
    return A.Value == B.Value;
  }
  friend bool operator!=(const StringId &A, const StringId &B) {
    return A.Value != B.Value;
  }
  friend bool operator<(const StringId &A, const StringId &B) {
    return A.Value < B.Value;
  }
  friend std::ostream &operator<<(std::ostream &OS, const StringId &Id) {
    return OS << Id.Value;
  }
};

using HostId = StringId<struct HostTag>;
using DataCentreId = StringId<struct DataCentreTag>;
using AccountId = StringId<struct AccountTag>;
using ServiceId = StringId<struct ServiceTag>;
using BackendId = StringId<struct BackendTag>;
using ModelName = StringId<struct ModelTag>;

/// The life of one process or one disk. A restarted process takes a new one,
/// so that messages from its earlier life are told apart.
using IncarnationNumber = std::uint64_t;

/// One caller's request. Hi names the entry host's life, Lo counts in it.
struct RequestId {
  std::uint64_t Hi = 0; // Hash of the host's name and incarnation.
  std::uint64_t Lo = 0; // Counter in that life, from 1; zero means none.

  bool empty() const { return Hi == 0 && Lo == 0; }

  friend bool operator==(const RequestId &A, const RequestId &B) {
    return A.Hi == B.Hi && A.Lo == B.Lo;
  }
  friend bool operator!=(const RequestId &A, const RequestId &B) {
    return !(A == B);
  }
  friend bool operator<(const RequestId &A, const RequestId &B) {
    return std::pair(A.Hi, A.Lo) < std::pair(B.Hi, B.Lo);
  }
};

/// One try of a request. Engines echo it, so that crossed answers are seen.
struct AttemptId {
  RequestId Request;
  std::uint32_t Number = 0; // From 1 within the request; zero means none.

  friend bool operator==(const AttemptId &A, const AttemptId &B) {
    return A.Request == B.Request && A.Number == B.Number;
  }
  friend bool operator!=(const AttemptId &A, const AttemptId &B) {
    return !(A == B);
  }
  friend bool operator<(const AttemptId &A, const AttemptId &B) {
    return std::pair(A.Request, A.Number) < std::pair(B.Request, B.Number);
  }
};

/// 32 lower-case hexadecimal digits.
std::string toString(const RequestId &Id);
/// The request's digits, a dash and the number of the try.
std::string toString(const AttemptId &Id);
/// The inverse of toString(). False, and \p Id untouched, for any other text.
bool parseRequestId(std::string_view Text, RequestId &Id);
bool parseAttemptId(std::string_view Text, AttemptId &Id);

std::ostream &operator<<(std::ostream &OS, const RequestId &Id);
std::ostream &operator<<(std::ostream &OS, const AttemptId &Id);

} // namespace pimento

namespace std {
template <class Tag> struct hash<pimento::StringId<Tag>> {
  size_t operator()(const pimento::StringId<Tag> &Id) const noexcept {
    return hash<string>()(Id.Value);
  }
};
template <> struct hash<pimento::RequestId> {
  size_t operator()(const pimento::RequestId &Id) const noexcept {
    return Id.Hi ^ (Id.Lo * 0x9E3779B97F4A7C15ULL);
  }
};
template <> struct hash<pimento::AttemptId> {
  size_t operator()(const pimento::AttemptId &Id) const noexcept {
    return hash<pimento::RequestId>()(Id.Request) + Id.Number;
  }
};
} // namespace std
