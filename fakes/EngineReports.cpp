#include "fakes/EngineReports.h"

#include <map>

namespace pimento::fakes {

void record(LoadHistory &History, const LoadSample &Sample) {
  History.Samples.push_back(Sample);
  TimePoint Newest = Sample.At - History.Lag;
  // If the second sample is old enough, the first is never reported again.
  while (History.Samples.size() > 1 && History.Samples[1].At <= Newest)
    History.Samples.pop_front();
}

LoadSample lagged(const LoadHistory &History, TimePoint Now) {
  LoadSample Best;
  for (const LoadSample &Sample : History.Samples) {
    bool First = &Sample == &History.Samples.front();
    if (First || Sample.At <= Now - History.Lag)
      Best = Sample;
  }
  return Best;
}

void push(CacheFeed &Feed, const std::vector<CacheEvent> &Events,
          TimePoint Now) {
  for (const CacheEvent &Event : Events)
    Feed.Waiting.push_back({Now, Event});
}

CacheBatch takeBatch(CacheFeed &Feed, TimePoint Now) {
  // Only the last event of each hash is published, so that the order of the two
  // lists doesn't matter.
  std::map<std::uint64_t, bool> Last;
  while (!Feed.Waiting.empty() && Feed.Waiting.front().At + Feed.Delay <= Now) {
    const CacheEvent &Event = Feed.Waiting.front().Event;
    Last[Event.Hash] = Event.Added;
    Feed.Waiting.pop_front();
  }
  CacheBatch Batch;
  if (!Last.empty() && uniform(Feed.Source) < Feed.GapShare) {
    Feed.Sequence += Last.size();
    Last.clear();
  }
  Batch.Sequence = Feed.Sequence;
  Feed.Sequence += Last.size();
  for (const auto &[Hash, Added] : Last)
    (Added ? Batch.Added : Batch.Removed).push_back(Hash);
  return Batch;
}

} // namespace pimento::fakes
