#include "routing/RoutingUpdate.h"

#include "text/Compress.h"
#include "text/Delta.h"
#include "wire/Fields.h"

#include <optional>

namespace pimento {

namespace {

/// A difference of the largest configuration has so many pieces at most.
constexpr JsonLimits DeltaLimits = {/*Bytes=*/16U << 20U, /*Depth=*/4,
                                    /*Values=*/4U << 20U};

/// The pieces of a difference, as they are compressed.
struct DeltaPieces {
  std::vector<DeltaPiece> Pieces;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Pieces);
  }
};

RoutingUpdate updateTo(const RoutingVersion &Next) {
  RoutingUpdate Update;
  Update.Number = Next.Number;
  Update.Digest = textDigest(Next.Text);
  return Update;
}

bool readPieces(const std::string &Bytes, DeltaPieces &Delta) {
  Failure Why;
  Delta = valueOr<DeltaPieces>(
      [&] { return wire::fromBytes<DeltaPieces>(Bytes, DeltaLimits); },
      DeltaPieces(), Why);
  return Why.Detail.empty();
}

UpdateFault makeText(const RoutingUpdate &Update, const RoutingVersion &Have,
                     std::string &Text) {
  if (Update.Base != 0 && Update.Base != Have.Number)
    return UpdateFault::BaseMissing;
  std::optional<std::string> Bytes =
      decompress(Update.Packed.Data, DeltaLimits.Bytes);
  if (!Bytes)
    return UpdateFault::Unreadable;
  if (Update.Base == 0) {
    Text = std::move(*Bytes);
    return UpdateFault::None;
  }
  DeltaPieces Delta;
  bool IsRead = readPieces(*Bytes, Delta) &&
                applyDelta(Have.Text, Delta.Pieces, MaxRoutingBytes, Text);
  return IsRead ? UpdateFault::None : UpdateFault::Unreadable;
}

} // namespace

const char *toString(UpdateFault Fault) {
  switch (Fault) {
  case UpdateFault::None:
    return "none";
  case UpdateFault::BaseMissing:
    return "this host does not have the configuration that the difference "
           "starts from";
  case UpdateFault::Unreadable:
    return "the update is damaged";
  case UpdateFault::DigestMismatch:
    return "the result of the update is not the text that the operator sent";
  }
  return "unknown";
}

RoutingUpdate wholeUpdate(const RoutingVersion &Next) {
  RoutingUpdate Update = updateTo(Next);
  Update.Packed.Data = compress(Next.Text);
  return Update;
}

RoutingUpdate deltaUpdate(const RoutingVersion &Base,
                          const RoutingVersion &Next) {
  DeltaPieces Delta = {makeDelta(Base.Text, Next.Text)};
  if (Base.Number == 0 || deltaBytes(Delta.Pieces) >= Next.Text.size())
    return wholeUpdate(Next);
  RoutingUpdate Update = updateTo(Next);
  Update.Base = Base.Number;
  Update.Packed.Data = compress(wire::toBytes(Delta));
  return Update;
}

UpdateFault applyUpdate(const RoutingUpdate &Update, RoutingVersion &Have) {
  std::string Text;
  UpdateFault Fault = makeText(Update, Have, Text);
  if (Fault == UpdateFault::None && textDigest(Text) != Update.Digest)
    Fault = UpdateFault::DigestMismatch;
  if (Fault != UpdateFault::None)
    return Fault;
  Have.Number = Update.Number;
  Have.Text = std::move(Text);
  return UpdateFault::None;
}

} // namespace pimento
