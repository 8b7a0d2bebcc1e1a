#include "gateway/ReadQueue.h"

#include <algorithm>

namespace pimento {

void pushRead(ReadQueue &Queue, const PlacementKey &Key, Duration Reading,
              bool Ahead) {
  auto At = Ahead ? Queue.Items.begin() : Queue.Items.end();
  Queue.Items.insert(At, {Key, Reading});
}

void advanceReads(ReadQueue &Queue, Duration Elapsed) {
  auto Done = Queue.Items.begin();
  while (Done != Queue.Items.end() && Done->Left <= Elapsed) {
    Elapsed -= Done->Left;
    ++Done;
  }
  Queue.Items.erase(Queue.Items.begin(), Done);
  if (!Queue.Items.empty())
    Queue.Items.front().Left -= Elapsed;
}

void dropRead(ReadQueue &Queue, const PlacementKey &Key) {
  auto Is = [&](const ReadItem &Item) { return Item.Key == Key; };
  Queue.Items.erase(std::remove_if(Queue.Items.begin(), Queue.Items.end(), Is),
                    Queue.Items.end());
}

Duration totalReading(const ReadQueue &Queue) {
  Duration Sum = {};
  for (const ReadItem &Item : Queue.Items)
    Sum += Item.Left;
  return Sum;
}

} // namespace pimento
