//===- EvhttpMessages.h - Requests of evhttp, replies in its place -*- C++
//-*-===//
#pragma once

#include "base/Codes.h"
#include "base/Http.h"

#include <cstddef>
#include <string>

struct evhttp_request;

namespace pimento {

/// Returns the request that evhttp has read, and takes its body away. The first
/// \p HeadFields fields are those of the head; the trailer's are left out.
HttpRequest convert(evhttp_request *Request, std::size_t HeadFields);

/// Maps the HTTP status of a refusal by evhttp to a result code.
Code codeFromStatus(int Status);

/// Formats a complete HTTP/1.1 problem reply that closes the connection.
std::string formatProblemReply(Code Number, std::string Detail);

} // namespace pimento
