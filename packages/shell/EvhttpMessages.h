//===- EvhttpMessages.h - Requests of evhttp, replies in its place -*- C++
//-*-===//
#pragma once

#include "base/Codes.h"
#include "base/Http.h"

#include <string>

struct evhttp_request;

namespace pimento {

/// Returns the request that evhttp has read, and takes its body away.
HttpRequest convert(evhttp_request *Request);

/// Whether a header's name ends with a blank. A server may drop the blank, and
/// take the header for one that only this host may set.
bool hasBlankName(const HttpRequest &R);

/// Maps the HTTP status of a refusal by evhttp to a result code.
Code codeFromStatus(int Status);

/// Formats a complete HTTP/1.1 problem reply that closes the connection.
std::string formatProblemReply(Code Number, std::string Detail);

} // namespace pimento
