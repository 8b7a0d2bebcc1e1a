#define BOOST_TEST_MODULE schedule
#include <boost/test/unit_test.hpp>

#include "schedule/Cell.h"
#include "schedule/CellMap.h"
#include "schedule/Entry.h"

using namespace pimento;

namespace {

const TimePoint Start = TimePoint(hours(1));
const HostId Entry1("entry-1");
const ModelName Model("atlas");

BackendRecord engineRecord(const std::string &Name, std::uint64_t Memory) {
  BackendRecord R;
  R.Id = BackendId(Name);
  R.Life = 1;
  R.Address = "127.0.0.1:1";
  R.Models = {Model};
  R.MemoryTokens = Memory;
  return R;
}

Ask makeAsk(std::uint64_t Lo, std::uint64_t Prompt) {
  Ask A;
  A.Attempt = {{7, Lo}, 1};
  A.Account = AccountId("aero");
  A.Model = Model;
  A.PromptTokens = Prompt;
  A.OutputTokens = 100;
  A.TimeLeft = seconds(60);
  return A;
}

template <class T> std::vector<T> sent(const CellEffects &Out) {
  std::vector<T> Found;
  for (const Outbound &M : Out.Messages)
    if (const T *Content = std::get_if<T>(&M.Content))
      Found.push_back(*Content);
  return Found;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnAskIsGrantedAndItsMemoryReturns) {
  CellState S = startCell({}, Start);
  CellEffects Out;
  setBackend(S, engineRecord("e1", 100000), Start, Out);
  onAsk(S, Entry1, makeAsk(1, 1000), Start, Out);
  BOOST_REQUIRE(sent<Grant>(Out).size() == 1U);
  BOOST_TEST(cellFigures(S).HeldTokens == 1100U);
  Release R;
  R.Attempt = makeAsk(1, 1000).Attempt;
  onRelease(S, Entry1, R, Start + seconds(1), Out);
  BOOST_TEST(cellFigures(S).HeldTokens == 0U);
  BOOST_TEST(cellFigures(S).Grants == 0U);
}
