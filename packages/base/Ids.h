//===- Ids.h - Typed identifiers --------------------------------*- C++ -*-===//
//
// Each kind of identifier has its own type, so that the compiler rejects, for
// example, a host where a backend server is expected. Identifiers can be
// printed, compared and hashed.
//
//   HostId           a host of the site, by its configured name
//   DataCentreId     the data centre that a host or backend server is in
//   AccountId        a client account
//   ServiceId        a service, which one document describes
//   BackendId        a backend server: a model engine or a plain service
//   ModelName        a model, adapter or version as callers write it
//   RequestId        one request of a caller; never reused
//   AttemptId        one sending of a request to one backend server
//   PartId           a part of a prompt that several requests may share
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

/// Identifier with a string value. \p Tag makes each kind a distinct type.
template <class Tag> struct StringId {
  std::string Value; // Text used in settings, documents and logs; empty: none.

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

/// Number of one run of a process, or of one disk. A restarted process takes a
/// higher number, so that messages of an earlier run can be recognised.
using IncarnationNumber = std::uint64_t;

/// Identifies a part of a prompt; requests with equal parts have equal ids.
enum class PartId : std::uint64_t {};

/// Identifies one request of a caller. Hi identifies the incarnation of the
/// entry host, and Lo counts the requests of that incarnation.
struct RequestId {
  std::uint64_t Hi = 0; // Hash of the entry host's name and incarnation.
  std::uint64_t Lo = 0; // Counter within the incarnation, from 1; 0: none.

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

/// Identifies one attempt of a request. Engines echo it in their answers, so
/// that an answer that was sent to the wrong request is detected.
struct AttemptId {
  RequestId Request;
  std::uint32_t Number = 0; // Counter within the request, from 1; 0: none.

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

/// Formats the id in lower-case hexadecimal digits.
std::string toString(PartId Id);
/// Formats the id as 32 lower-case hexadecimal digits.
std::string toString(const RequestId &Id);
/// Formats the id as the request's digits, a dash and the attempt number.
std::string toString(const AttemptId &Id);
/// Parse the output of toString(). Return false, and leave \p Id unchanged, for
/// any other text.
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
