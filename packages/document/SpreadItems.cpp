#include "document/SpreadParts.h"

#include "document/Document.h"
#include "text/Delta.h"

#include <algorithm>

namespace pimento {

namespace {

/// Keeps the delta from the previous version to send it to other hosts. Drops
/// the oldest deltas above SpreadConfig::DeltaBytes.
void recordEdit(const SpreadConfig &Config, HeldDocument &D,
                std::uint64_t Number, std::uint64_t Revision,
                std::string_view Text, std::vector<DeltaPiece> Delta) {
  if (D.Number == 0 || Number != D.Number + 1) {
    D.Edits.clear(); // Deltas before a gap are useless.
    D.EditBytes = 0;
    return;
  }
  KnownEdit Edit;
  Edit.Number = Number;
  Edit.Revision = Revision;
  Edit.BaseRevision = D.Revision;
  Edit.Digest = textDigest(Text);
  Edit.Delta = Delta.empty() ? makeDelta(D.Text, Text) : std::move(Delta);
  Edit.Bytes = deltaBytes(Edit.Delta);
  D.EditBytes += Edit.Bytes;
  D.Edits.push_back(std::move(Edit));
  while (D.EditBytes > Config.DeltaBytes) {
    D.EditBytes -= D.Edits.front().Bytes;
    D.Edits.pop_front();
  }
}

DocumentItem wholeItem(const HeldDocument &D) {
  DocumentItem Item;
  Item.Service = D.Service;
  Item.Number = D.Number;
  Item.Revision = D.Revision;
  Item.Digest = D.Digest;
  Item.Text.Data = D.Text;
  return Item;
}

DocumentItem deltaItem(const HeldDocument &D, const KnownEdit &Edit) {
  DocumentItem Item;
  Item.Service = D.Service;
  Item.Number = Edit.Number;
  Item.Revision = Edit.Revision;
  Item.Digest = Edit.Digest;
  Item.Base = Edit.Number - 1;
  Item.Delta = Edit.Delta;
  return Item;
}

/// Returns the first edit that is missing at a host with everything up to
/// \p Have. Returns the end if the kept edits do not reach back that far or if
/// the whole text is shorter than the deltas.
std::deque<KnownEdit>::const_iterator firstMissing(const HeldDocument &D,
                                                   std::uint64_t Have) {
  auto First =
      std::find_if(D.Edits.begin(), D.Edits.end(),
                   [&](const KnownEdit &Edit) { return Edit.Revision > Have; });
  if (First == D.Edits.end() || First->BaseRevision > Have)
    return D.Edits.end();
  std::size_t Bytes = 0;
  for (auto Edit = First; Edit != D.Edits.end(); ++Edit)
    Bytes += Edit->Bytes;
  return Bytes < D.Text.size() ? First : D.Edits.end();
}

std::size_t itemBytes(const DocumentItem &Item) {
  return Item.Text.Data.size() + deltaBytes(Item.Delta);
}

} // namespace

bool installDocument(SpreadState &S, const ServiceId &Service,
                     std::uint64_t Number, std::uint64_t Revision,
                     std::string Text, std::vector<DeltaPiece> Delta,
                     SpreadOutputs &Out) {
  HeldDocument &D = S.Documents[Service];
  if (Number <= D.Number)
    return false;
  D.Service = Service;
  recordEdit(S.Config, D, Number, Revision, Text, std::move(Delta));
  D.Number = Number;
  D.Revision = Revision;
  D.Digest = textDigest(Text);
  D.Text = std::move(Text);
  if (std::find(Out.InForce.begin(), Out.InForce.end(), Service) ==
      Out.InForce.end())
    Out.InForce.push_back(Service);
  DecisionRecord Decision;
  Decision.Kind = "document";
  Decision.Reason = "a newer number is in force";
  Decision.add("service", Service.Value)
      .add("number", static_cast<std::int64_t>(Number))
      .add("revision", static_cast<std::int64_t>(Revision));
  Out.Decisions.push_back(std::move(Decision));
  return true;
}

bool applyItem(SpreadState &S, const DocumentItem &Item, SpreadOutputs &Out) {
  auto Held = S.Documents.find(Item.Service);
  bool Known = Held != S.Documents.end();
  if (Known && Item.Number <= Held->second.Number)
    return true;
  std::string Text;
  if (Item.Base == 0)
    Text = Item.Text.Data;
  else if (!Known || Held->second.Number != Item.Base ||
           !applyDelta(Held->second.Text, Item.Delta, MaxDocumentBytes, Text))
    return false;
  if (Text.size() > MaxDocumentBytes || textDigest(Text) != Item.Digest)
    return false;
  installDocument(S, Item.Service, Item.Number, Item.Revision, std::move(Text),
                  Item.Delta, Out);
  return true;
}

void fillItems(const SpreadState &S, const SpreadPull &P, SpreadReply &Reply) {
  if (P.Have >= S.Freshness.Complete)
    return;
  std::uint64_t Floor = std::max(P.Have, P.After);
  std::vector<DocumentItem> Items;
  for (const auto &Entry : S.Documents) {
    const HeldDocument &D = Entry.second;
    if (D.Revision <= Floor)
      continue;
    auto Edit = P.FullText ? D.Edits.end() : firstMissing(D, P.Have);
    if (Edit == D.Edits.end()) {
      Items.push_back(wholeItem(D));
      continue;
    }
    for (; Edit != D.Edits.end(); ++Edit) {
      if (Edit->Revision > Floor)
        Items.push_back(deltaItem(D, *Edit));
    }
  }
  std::sort(Items.begin(), Items.end(),
            [](const DocumentItem &A, const DocumentItem &B) {
              return A.Revision < B.Revision;
            });
  std::size_t Bytes = 0;
  for (DocumentItem &Item : Items) {
    Bytes += itemBytes(Item);
    if (!Reply.Items.empty() && Bytes > S.Config.ReplyBytes) {
      Reply.Next = Reply.Items.back().Revision;
      return;
    }
    Reply.Items.push_back(std::move(Item));
  }
}

} // namespace pimento
