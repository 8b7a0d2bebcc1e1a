//===- RequestScan.h - Where a request ends, and what it costs --*- C++ -*-===//
//
//   RequestScan Scan;
//   scan(Scan, "POST / HTTP/1.1\r\nHost: h\r\n"); // Any pieces of the bytes.
//   Scan.Fault;                                   // Why it is refused, or
//   null. Scan.WholeBytes;                              // Where it ends.
//   cost(Scan);                                   // Bytes of memory.
//
// A request whose end is not certain is refused, before anything of it is
// passed on and before what is behind it is read: another reader of the same
// bytes might take a part of its body for a request. Certain is only what RFC
// 9112 (sections 2 to 7) has a caller send, with one length or with chunks.
//
// Load: requests of legal size made of very many short fields. A parsed field
// is a few allocations, many times its bytes, so a head is charged by its
// fields, and so is the trailer of a chunked body.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pimento {

/// Memory of one parsed header field besides its bytes: the parser's entry with
/// two strings, and a copy of it in the request.
constexpr std::size_t FieldBytes = 192;
/// Memory of a request that has begun, whatever its size: buffers and the
/// parser's state.
constexpr std::size_t RequestBaseBytes = 2048;

/// ChunkEnd: the end of the line behind a chunk's bytes.
enum class RequestPart {
  Head,
  Body,
  ChunkSize,
  Chunk,
  ChunkEnd,
  Trailer,
  Whole
};

/// Progress through one request.
struct RequestScan {
  RequestPart Part = RequestPart::Head;
  const char *Fault = nullptr; // Why its end is not certain; null: it may be.
  std::size_t Bytes = 0;       // Scanned bytes, also those behind the request.
  std::size_t WholeBytes = 0;  // Those of the request, as far as it was read.
  std::size_t HeadBytes = 0;   // Those of the head and the trailer.
  std::size_t Fields = 0;      // Lines of the head and the trailer.
  std::size_t HeadFields = 0;  // Fields of the whole head.
  std::size_t BodyBytes = 0;   // Of the body, as far as it was read.
  std::size_t Left = 0;        // Bytes missing from the body or the chunk.
  std::size_t Length = 0;      // Content-Length.
  bool HasLength = false;
  bool IsChunked = false; // The head names chunks.
  bool IsOld = false;     // The request is one of HTTP/1.0.
  /// Whether a field may not stand in a trailer, by its name in lower case.
  /// Null: those of the framing may not.
  bool (*IsReserved)(std::string_view Name) = nullptr;

  // The line that is not whole yet.
  std::string Line;      // Its start; of the first line, its end.
  bool HasBytes = false; // Any byte of it has come.
  bool InValue = false;  // Its colon has come.
  bool IsCut = false;    // Line lacks some of it.
  bool AfterCr = false;
};

/// Follows the next bytes of the connection.
void scan(RequestScan &S, std::string_view Bytes);

/// Memory that the bytes scanned so far take, at least.
std::size_t cost(const RequestScan &S);
/// The part of cost() that remains while the request is in progress.
std::size_t headCost(const RequestScan &S);

} // namespace pimento
