//===- ControlFixture.h - Three control hosts with a leader -----*- C++ -*-===//
//
//   BOOST_FIXTURE_TEST_CASE(Name, Fixture) { Site.put(Leader, 7); }
//
//===----------------------------------------------------------------------===//
#pragma once

#include "ControlSite.h"

#include <boost/test/unit_test.hpp>

namespace pimento::testing {

inline const std::vector<std::string> Three = {"10.0.0.1", "10.0.0.2",
                                               "10.0.0.3"};

inline const std::vector<std::string> Five = {
    "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"};

/// Starts the hosts for the first time and waits for a leader.
inline HostId formSite(ControlSite &Site) {
  Site.startAll(true);
  HostId Leader = Site.waitForLeader(seconds(10));
  BOOST_TEST_REQUIRE(!Leader.empty());
  return Leader;
}

/// Three control hosts with a leader.
struct Fixture {
  ControlSite Site{11, Three};
  HostId Leader = formSite(Site);

  HostId follower() {
    for (const HostId &Name : Site.Seeds) {
      if (Name != Leader)
        return Name;
    }
    return HostId();
  }

  void isolate(const HostId &Name) {
    for (const HostId &Other : Site.Seeds) {
      Site.Net.cut(Name, Other);
      Site.Net.cut(Other, Name);
    }
  }

  /// Checks that every host that answers a read returns this configuration.
  void expectEverywhere(std::uint64_t Number) {
    std::size_t Answered = 0;
    for (const HostId &Name : Site.Net.names()) {
      if (!Site.Net.running(Name))
        continue;
      std::optional<std::string> Text = Site.read(Name);
      if (!Text)
        continue;
      ++Answered;
      BOOST_TEST(*Text == ControlSite::routing(Number));
    }
    BOOST_TEST(Answered > 0U);
  }
};

} // namespace pimento::testing
