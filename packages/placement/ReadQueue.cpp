#include "placement/ReadQueue.h"

#include <algorithm>

namespace pimento {

void pushPrefill(PrefillQueue &Queue, const PlacementKey &Key,
                 Duration PrefillTime, bool Ahead) {
  auto At = Ahead ? Queue.Items.begin() : Queue.Items.end();
  Queue.Items.insert(At, {Key, PrefillTime});
}

void advancePrefills(PrefillQueue &Queue, Duration Elapsed) {
  auto Done = Queue.Items.begin();
  while (Done != Queue.Items.end() && Done->Left <= Elapsed) {
    Elapsed -= Done->Left;
    ++Done;
  }
  Queue.Items.erase(Queue.Items.begin(), Done);
  if (!Queue.Items.empty())
    Queue.Items.front().Left -= Elapsed;
}

void removePrefill(PrefillQueue &Queue, const PlacementKey &Key) {
  auto Is = [&](const PrefillItem &Item) { return Item.Key == Key; };
  Queue.Items.erase(std::remove_if(Queue.Items.begin(), Queue.Items.end(), Is),
                    Queue.Items.end());
}

Duration prefillBacklog(const PrefillQueue &Queue) {
  Duration Sum = {};
  for (const PrefillItem &Item : Queue.Items)
    Sum += Item.Left;
  return Sum;
}

} // namespace pimento
