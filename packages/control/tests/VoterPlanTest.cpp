#include <boost/test/unit_test.hpp>

#include "control/VoterPlan.h"

using namespace pimento;

namespace {

const HostId Self("a");
const VoterTarget Target;

VoterCandidate voter(const char *Host, Duration Silence = {}) {
  VoterCandidate C;
  C.Host = HostId(Host);
  C.Member = true;
  C.Silence = Silence;
  return C;
}

VoterCandidate newcomer(const char *Host, Duration Silence = {}) {
  VoterCandidate C;
  C.Host = HostId(Host);
  C.Silence = Silence;
  return C;
}

bool is(const VoterChange &Change, VoterStep Step, const char *Host) {
  return Change.Step == Step && Change.Host == HostId(Host);
}

} // namespace

BOOST_AUTO_TEST_CASE(CompleteVoterSetIsUnchanged) {
  auto Change = planVoters({voter("a"), voter("b"), voter("c"), newcomer("d")},
                           Self, Target);
  BOOST_TEST((Change.Step == VoterStep::None));
}

BOOST_AUTO_TEST_CASE(VoterIsAddedWhenThereAreTooFew) {
  auto Change =
      planVoters({voter("a"), voter("b"), newcomer("d")}, Self, Target);
  BOOST_TEST(is(Change, VoterStep::Add, "d"));
}

BOOST_AUTO_TEST_CASE(ASilentVoterIsReplacedBeforeItIsRemoved) {
  std::vector<VoterCandidate> Hosts = {voter("a"), voter("b"),
                                       voter("c", seconds(3)), newcomer("d")};
  BOOST_TEST(is(planVoters(Hosts, Self, Target), VoterStep::Add, "d"));
  Hosts.back().Member = true;
  Hosts.back().Learner = true;
  BOOST_TEST((planVoters(Hosts, Self, Target).Step == VoterStep::None));
  Hosts.back().Learner = false;
  BOOST_TEST(is(planVoters(Hosts, Self, Target), VoterStep::Remove, "c"));
}

BOOST_AUTO_TEST_CASE(VoterIsNotRemovedWithoutReplacement) {
  std::vector<VoterCandidate> Hosts = {voter("a"), voter("b"),
                                       voter("c", seconds(60))};
  BOOST_TEST((planVoters(Hosts, Self, Target).Step == VoterStep::None));
  Hosts.push_back(newcomer("d", seconds(5))); // The new host is silent as well.
  BOOST_TEST((planVoters(Hosts, Self, Target).Step == VoterStep::None));
}

BOOST_AUTO_TEST_CASE(StoppingVoterIsReplacedAtOnce) {
  std::vector<VoterCandidate> Hosts = {voter("a"), voter("b"), voter("c"),
                                       newcomer("d")};
  Hosts[2].Leaving = true;
  BOOST_TEST(is(planVoters(Hosts, Self, Target), VoterStep::Add, "d"));
}

BOOST_AUTO_TEST_CASE(SilentLearnerIsRemoved) {
  std::vector<VoterCandidate> Hosts = {voter("a"), voter("b"), voter("c"),
                                       voter("d", seconds(3))};
  Hosts[3].Learner = true;
  BOOST_TEST(is(planVoters(Hosts, Self, Target), VoterStep::Remove, "d"));
}

BOOST_AUTO_TEST_CASE(LeaderIsNotRemovedAsSurplus) {
  std::vector<VoterCandidate> Hosts = {voter("a"), voter("b"), voter("c"),
                                       voter("d")};
  BOOST_TEST(is(planVoters(Hosts, Self, Target), VoterStep::Remove, "b"));
}
