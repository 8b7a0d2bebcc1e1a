//===- SharedText.h - Text that several owners share ------------*- C++ -*-===//
//
//   SharedText Body(std::move(Text));
//   SharedText Copy = Body;              // The bytes are not copied.
//
// Holds the body of a request, which may have millions of bytes, once for the
// call that keeps it for another attempt and for the connection that sends it.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace pimento {

/// Immutable; copies share the bytes.
class SharedText {
public:
  SharedText() = default;
  // Conversions from and to strings are implicit, as they lose nothing.
  SharedText(std::string Text)
      : Data(std::make_shared<const std::string>(std::move(Text))) {}
  SharedText(const char *Text) : SharedText(std::string(Text)) {}

  const std::string &text() const {
    static const std::string Empty;
    return Data ? *Data : Empty;
  }
  operator const std::string &() const { return text(); }
  operator std::string_view() const { return text(); }

  const char *data() const { return text().data(); }
  std::size_t size() const { return text().size(); }
  bool empty() const { return text().empty(); }

private:
  std::shared_ptr<const std::string> Data; // Null: empty.
};

inline bool operator==(const SharedText &A, const SharedText &B) {
  return A.text() == B.text();
}
inline bool operator!=(const SharedText &A, const SharedText &B) {
  return !(A == B);
}
inline std::ostream &operator<<(std::ostream &Out, const SharedText &Text) {
  return Out << Text.text();
}

} // namespace pimento
