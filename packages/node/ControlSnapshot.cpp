#include "node/ControlSnapshot.h"

#include "wire/Fields.h"

namespace pimento {

namespace {

// A snapshot of documents alone has version 1.
constexpr std::uint64_t SnapshotVersion = 2;
constexpr JsonLimits Limits = {2 * MaxSnapshotBytes, /*Depth=*/4,
                               /*Values=*/64};

struct SnapshotRecord {
  std::uint64_t Version = SnapshotVersion;
  Blob Documents;
  Blob Orders;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Version, M.Documents, M.Orders);
  }
};

/// The version in front of the other fields, without reading those: an array
/// of up to 23 elements, then a small number.
std::uint64_t versionOf(std::string_view Bytes) {
  constexpr unsigned char SmallArray = 0x80;
  constexpr unsigned char SmallArrayEnd = 0x98;
  constexpr unsigned char SmallNumberEnd = 0x18;
  if (Bytes.size() < 2)
    return 0;
  auto Head = static_cast<unsigned char>(Bytes[0]);
  auto Number = static_cast<unsigned char>(Bytes[1]);
  bool Small =
      Head >= SmallArray && Head < SmallArrayEnd && Number < SmallNumberEnd;
  return Small ? Number : 0;
}

} // namespace

std::string encodeControlSnapshot(const Store &Documents,
                                  const OrderBook &Orders) {
  SnapshotRecord R;
  R.Documents.Data = encodeStore(Documents);
  R.Orders.Data = encodeBook(Orders);
  return wire::toBytes(R);
}

Result<ControlSnapshot> decodeControlSnapshot(std::string_view Bytes) {
  ControlSnapshot S;
  if (versionOf(Bytes) < SnapshotVersion) {
    BOOST_LEAF_ASSIGN(S.Documents, decodeStore(Bytes));
    return S;
  }
  BOOST_LEAF_AUTO(Read, wire::fromBytes<SnapshotRecord>(Bytes, Limits));
  if (Read.Version != SnapshotVersion)
    return fail(Code::WireVersion, "the snapshot's version is not known");
  BOOST_LEAF_ASSIGN(S.Documents, decodeStore(Read.Documents.Data));
  BOOST_LEAF_ASSIGN(S.Orders, decodeBook(Read.Orders.Data));
  return S;
}

} // namespace pimento
