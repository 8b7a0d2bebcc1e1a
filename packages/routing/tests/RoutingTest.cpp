#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include "routing/Routing.h"

using namespace pimento;

namespace {

Route route(const char *Name, const char *Host, const char *Prefix,
            const char *Service = "llm") {
  Route R;
  R.Name = Name;
  R.Host = Host;
  R.PathPrefix = Prefix;
  R.Targets = {{ServiceId(Service), 1}};
  return R;
}

RoutingConfig config() {
  RoutingConfig C;
  C.Number = 7;
  C.Services = {{ServiceId("llm"), 10, std::nullopt, ""},
                {ServiceId("plain"), 10, std::nullopt, ""}};
  C.Routes = {route("short", "a.example", "/x/"),
              route("long", "a.example", "/x/y/", "plain"),
              route("other", "b.example", "/")};
  C.Accounts = {{AccountId("one"), {"k1", "k2"}, 2},
                {AccountId("two"), {"k3"}, std::nullopt}};
  return C;
}

} // namespace

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostIsChosen) {
  auto T = makeRouteTable(config());
  BOOST_TEST(findRoute(*T, "a.example", "/x/1")->Name == "short");
  BOOST_TEST(findRoute(*T, "a.example", "/x/y/1")->Name == "long");
  BOOST_TEST(findRoute(*T, "A.Example:8080", "/x/y/")->Name == "long");
  BOOST_TEST(findRoute(*T, "b.example", "/x/y/")->Name == "other");
  BOOST_TEST(findRoute(*T, "a.example", "/x") == nullptr);
  BOOST_TEST(findRoute(*T, "a.example", "/z/") == nullptr);
  BOOST_TEST(findRoute(*T, "c.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(ApiKeyFindsItsAccount) {
  auto T = makeRouteTable(config());
  BOOST_TEST(needsKeys(*T));
  BOOST_TEST(findAccount(*T, "k2")->Name == AccountId("one"));
  BOOST_TEST(findAccount(*T, "k3")->Name == AccountId("two"));
  BOOST_TEST(findAccount(*T, "k4") == nullptr);
  BOOST_TEST(findAccount(*T, "") == nullptr);
}

BOOST_AUTO_TEST_CASE(TargetsAreChosenByWeight) {
  Route R = route("r", "a.example", "/");
  R.Targets = {
      {ServiceId("llm"), 90}, {ServiceId("none"), 0}, {ServiceId("plain"), 10}};
  std::map<ServiceId, int> Drawn;
  for (std::uint64_t Draw = 0; Draw < 1000; ++Draw)
    ++Drawn[chooseTarget(R, Draw)];
  BOOST_TEST(Drawn[ServiceId("llm")] == 900);
  BOOST_TEST(Drawn[ServiceId("plain")] == 100);
  BOOST_TEST(Drawn.count(ServiceId("none")) == 0U);
}

BOOST_AUTO_TEST_CASE(InvalidConfigurationsAreRejectedWithAReason) {
  BOOST_TEST(findConfigError(config()).empty());
  RoutingConfig C = config();
  C.Routes[0].Targets[0].Service = ServiceId("nobody");
  BOOST_TEST(findConfigError(C).find("unknown service") != std::string::npos);
  C = config();
  C.Routes[1].PathPrefix = "/x/";
  BOOST_TEST(findConfigError(C).find("host and prefix") != std::string::npos);
  C = config();
  C.Routes[1].PathPrefix = "/x/";
  C.Routes[1].Host = "A.EXAMPLE";
  BOOST_TEST(!findConfigError(C).empty());
  C = config();
  C.Routes[0].Targets[0].Weight = 0;
  BOOST_TEST(findConfigError(C).find("zero") != std::string::npos);
  C = config();
  C.Routes[0].TimeLimit = Duration::zero();
  BOOST_TEST(findConfigError(C).find("time limit") != std::string::npos);
  C = config();
  C.Accounts[1].Keys.emplace_back("k1");
  BOOST_TEST(findConfigError(C).find("shares a key") != std::string::npos);
  C = config();
  C.Accounts[0].Keys.emplace_back("k1"); // Duplicates in one account are valid.
  BOOST_TEST(findConfigError(C).empty());
}
