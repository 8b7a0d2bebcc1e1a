#include "text/Delta.h"

#include <xxhash.h>

#include <unordered_map>

namespace pimento {

namespace {

constexpr std::size_t BlockBytes = 32;    // Shortest range that is copied.
constexpr std::size_t PieceOverhead = 16; // Approximate overhead per piece.

using BlockIndex = std::unordered_map<std::string_view, std::size_t>;

BlockIndex indexBlocks(std::string_view Old) {
  BlockIndex Index;
  Index.reserve(Old.size() / BlockBytes + 1);
  for (std::size_t At = 0; At + BlockBytes <= Old.size(); At += BlockBytes)
    Index.emplace(Old.substr(At, BlockBytes), At);
  return Index;
}

/// A byte range of Old that also occurs in New.
struct Match {
  std::size_t OldAt = 0;
  std::size_t NewAt = 0;
  std::size_t Length = 0;
};

/// Extends \p M in both directions, but not below \p NewFloor in New.
void extend(std::string_view Old, std::string_view New, std::size_t NewFloor,
            Match &M) {
  while (M.OldAt + M.Length < Old.size() && M.NewAt + M.Length < New.size() &&
         Old[M.OldAt + M.Length] == New[M.NewAt + M.Length])
    ++M.Length;
  while (M.OldAt > 0 && M.NewAt > NewFloor &&
         Old[M.OldAt - 1] == New[M.NewAt - 1]) {
    --M.OldAt;
    --M.NewAt;
    ++M.Length;
  }
}

/// Finds the next match at or after \p From in New; Length is zero if there is
/// none.
Match findMatch(std::string_view Old, std::string_view New,
                const BlockIndex &Index, std::size_t From) {
  for (std::size_t At = From; At + BlockBytes <= New.size(); ++At) {
    auto Found = Index.find(New.substr(At, BlockBytes));
    if (Found == Index.end())
      continue;
    Match M = {Found->second, At, BlockBytes};
    extend(Old, New, From, M);
    return M;
  }
  return {};
}

} // namespace

std::vector<DeltaPiece> makeDelta(std::string_view Old, std::string_view New) {
  std::vector<DeltaPiece> Delta;
  Match Start; // Common prefix of both texts.
  extend(Old, New, 0, Start);
  DeltaPiece Piece;
  Piece.Length = Start.Length;
  std::size_t At = Start.Length;
  BlockIndex Index = indexBlocks(Old);
  while (At < New.size()) {
    Match Next = findMatch(Old, New, Index, At);
    std::size_t End = Next.Length == 0 ? New.size() : Next.NewAt;
    Piece.Insert.Data = std::string(New.substr(At, End - At));
    Delta.push_back(std::move(Piece));
    Piece = DeltaPiece();
    Piece.Offset = Next.OldAt;
    Piece.Length = Next.Length;
    At = End + Next.Length;
  }
  if (Piece.Length != 0)
    Delta.push_back(std::move(Piece));
  return Delta;
}

bool applyDelta(std::string_view Old, const std::vector<DeltaPiece> &Delta,
                std::size_t MaxBytes, std::string &New) {
  New.clear();
  for (const DeltaPiece &Piece : Delta) {
    if (Piece.Offset > Old.size() || Piece.Length > Old.size() - Piece.Offset)
      return false;
    if (Piece.Length > MaxBytes || Piece.Insert.Data.size() > MaxBytes ||
        New.size() + Piece.Length + Piece.Insert.Data.size() > MaxBytes)
      return false;
    New.append(Old.substr(Piece.Offset, Piece.Length));
    New.append(Piece.Insert.Data);
  }
  return true;
}

std::size_t deltaBytes(const std::vector<DeltaPiece> &Delta) {
  std::size_t Bytes = 0;
  for (const DeltaPiece &Piece : Delta)
    Bytes += PieceOverhead + Piece.Insert.Data.size();
  return Bytes;
}

std::uint64_t textDigest(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace pimento
