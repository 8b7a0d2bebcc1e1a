#include "node/ControlSnapshot.h"

#include "wire/Fields.h"

namespace pimento {

namespace {

// Snapshots of version 1 hold only documents.
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

/// Reads the version, which is the first field, without decoding the others.
/// The encoding starts with an array head of up to 23 elements, followed by the
/// version as a small number.
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
    return fail(Code::WireVersion, "the snapshot's version is not supported");
  BOOST_LEAF_ASSIGN(S.Documents, decodeStore(Read.Documents.Data));
  BOOST_LEAF_ASSIGN(S.Orders, decodeBook(Read.Orders.Data));
  return S;
}

} // namespace pimento
