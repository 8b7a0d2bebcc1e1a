#include "base/Http.h"

#include <algorithm>
#include <cctype>

namespace pimento {

bool sameHeaderName(std::string_view A, std::string_view B) {
  auto Same = [](unsigned char X, unsigned char Y) {
    return std::tolower(X) == std::tolower(Y);
  };
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), Same);
}

const char *toString(HttpMethod M) {
  switch (M) {
  case HttpMethod::Get:
    return "GET";
  case HttpMethod::Post:
    return "POST";
  case HttpMethod::Put:
    return "PUT";
  case HttpMethod::Delete:
    return "DELETE";
  case HttpMethod::Patch:
    return "PATCH";
  case HttpMethod::Other:
    break;
  }
  return "OTHER";
}

std::string_view headerValue(const std::vector<HttpHeader> &Headers,
                             std::string_view Name) {
  for (const HttpHeader &Header : Headers) {
    if (sameHeaderName(Header.Name, Name))
      return Header.Value;
  }
  return {};
}

} // namespace pimento
