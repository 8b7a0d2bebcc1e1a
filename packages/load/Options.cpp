#include "load/Options.h"

#include "base/Json.h"
#include "base/SettingText.h"
#include "base/Settings.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <string_view>

namespace pimento::load {

namespace {

constexpr std::size_t MaxHosts = 64;
constexpr std::size_t MaxAccounts = 1000;
constexpr std::size_t MaxModels = 100;
constexpr double MinRate = 0.01;

boost::leaf::error_id invalid(const std::string &Detail) {
  return fail(Code::SettingInvalid, Detail);
}

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File)
    return fail(Code::SettingsUnreadable, Path + ": cannot be read");
  return Text.str();
}

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

/// Parses http://ip:port, where the scheme and a trailing slash are optional,
/// into ip:port.
Result<std::string> readUrl(std::string Url) {
  constexpr std::string_view Scheme = "http://";
  if (Url.compare(0, Scheme.size(), Scheme) == 0)
    Url.erase(0, Scheme.size());
  if (!Url.empty() && Url.back() == '/')
    Url.pop_back();
  if (!isAddress(Url))
    return invalid("'" + Url + "': expected http://IP:PORT");
  return Url;
}

Result<double> readNumber(const std::string &Name, const std::string &Text,
                          double Min, double Max) {
  std::istringstream Stream(Text);
  double Value = 0;
  Stream >> Value;
  if (!Stream || !Stream.eof() || !std::isfinite(Value) || Value < Min ||
      Value > Max) {
    std::ostringstream Detail;
    Detail << "--" << Name << "=" << Text << ": expected a number from " << Min
           << " to " << Max;
    return invalid(Detail.str());
  }
  return Value;
}

Result<std::uint64_t> readCount(const std::string &Name,
                                const std::string &Text, std::uint64_t Max) {
  std::istringstream Stream(Text);
  std::uint64_t Value = 0;
  Stream >> Value;
  bool Digits = !Text.empty() &&
                Text.find_first_not_of("0123456789") == std::string::npos;
  if (!Digits || !Stream || Value < 1 || Value > Max)
    return invalid("--" + Name + "=" + Text +
                   ": expected a whole number from 1 to " +
                   std::to_string(Max));
  return Value;
}

Result<std::string> checkToken(const std::string &Where, std::string Token) {
  while (!Token.empty() && (Token.back() == '\n' || Token.back() == '\r'))
    Token.pop_back();
  bool Valid =
      !Token.empty() && std::all_of(Token.begin(), Token.end(),
                                    [](char C) { return C > ' ' && C <= '~'; });
  if (!Valid)
    return invalid(Where + ": expected one token of printable characters");
  return Token;
}

/// Parses NAME:TOKENFILE and reads the token file.
Result<Account> readAccount(const std::string &Text) {
  std::size_t Colon = Text.find(':');
  if (Colon == std::string::npos || Colon == 0)
    return invalid("--account=" + Text + ": expected NAME:TOKENFILE");
  Account Read;
  Read.Name = Text.substr(0, Colon);
  std::string Path = Text.substr(Colon + 1);
  BOOST_LEAF_AUTO(Content, readFile(Path));
  BOOST_LEAF_ASSIGN(Read.Token, checkToken(Path, Content));
  return Read;
}

/// Parses NAME:WEIGHT and sets the weight of that account, which must exist.
Result<void> readWeight(Target &Site, const std::string &Text) {
  std::size_t Colon = Text.find(':');
  std::string Name = Text.substr(0, Colon);
  auto Known = std::find_if(Site.Accounts.begin(), Site.Accounts.end(),
                            [&](const Account &A) { return A.Name == Name; });
  if (Colon == std::string::npos || Known == Site.Accounts.end())
    return invalid("--weights: '" + Text +
                   "': expected NAME:WEIGHT of a known account");
  constexpr double MaxWeight = 1e6;
  BOOST_LEAF_ASSIGN(Known->Weight, readNumber("weights", Text.substr(Colon + 1),
                                              0, MaxWeight));
  return {};
}

/// Option values that describe the target, not yet parsed.
struct TargetArguments {
  std::string Site;
  std::string Targets;
  std::vector<std::string> Accounts;
  std::string Weights;
  std::string Models;
  std::string PlainService;
  std::string NonRepeatableCall;
};

Result<void> readMix(Options &O, const std::string &Value) {
  if (Value != "pamoja" && Value != "taller")
    return invalid("--mix=" + Value + ": expected pamoja or taller");
  O.Plan.Workload =
      Value == "pamoja" ? WorkloadKind::Pamoja : WorkloadKind::Taller;
  return {};
}

/// Parses an option of the arrival plan. Returns false if \p Name is not one.
Result<bool> readPlanOption(Options &O, const std::string &Name,
                            const std::string &Value) {
  if (Name == "mix") {
    BOOST_LEAF_CHECK(readMix(O, Value));
  } else if (Name == "rate") {
    BOOST_LEAF_ASSIGN(O.Plan.Rate, readNumber(Name, Value, MinRate, MaxRate));
  } else if (Name == "seconds") {
    BOOST_LEAF_AUTO(Length, readNumber(Name, Value, 1, toSeconds(MaxLength)));
    O.Plan.Length = fromSeconds(Length);
  } else if (Name == "requests") {
    BOOST_LEAF_ASSIGN(O.Plan.Requests, readCount(Name, Value, MaxRequests));
  } else if (Name == "seed") {
    BOOST_LEAF_ASSIGN(O.Plan.Seed, readCount(Name, Value, UINT64_MAX));
  } else if (Name == "scale") {
    BOOST_LEAF_ASSIGN(O.Plan.Scale, readNumber(Name, Value, MinScale, 1));
  } else {
    return false;
  }
  return true;
}

/// Stores an option of the target or the report. Returns false if \p Name is
/// unknown.
bool storeArgument(Options &O, TargetArguments &T, const std::string &Name,
                   const std::string &Value) {
  if (Name == "site")
    T.Site = Value;
  else if (Name == "target")
    T.Targets = Value;
  else if (Name == "account")
    T.Accounts.push_back(Value);
  else if (Name == "weights")
    T.Weights = Value;
  else if (Name == "model")
    T.Models = Value;
  else if (Name == "service")
    T.PlainService = Value;
  else if (Name == "call")
    T.NonRepeatableCall = Value;
  else if (Name == "json")
    O.JsonFile = Value;
  else if (Name == "html")
    O.HtmlFile = Value;
  else
    return false;
  return true;
}

bool readFlag(Options &O, const std::string &Argument) {
  if (Argument == "--alone")
    O.Alone = true;
  else if (Argument == "--stand-ins")
    O.ExactCounts = true;
  else if (Argument == "--help")
    O.Help = true;
  else
    return false;
  return true;
}

Result<void> readArgument(Options &O, TargetArguments &T,
                          const std::string &Argument) {
  if (readFlag(O, Argument))
    return {};
  std::size_t Equals = Argument.find('=');
  if (Argument.compare(0, 2, "--") != 0 || Equals == std::string::npos)
    return fail(Code::SettingUnknown, Argument + ": expected --NAME=VALUE");
  std::string Name = Argument.substr(2, Equals - 2);
  std::string Value = Argument.substr(Equals + 1);
  if (Value.empty())
    return invalid("--" + Name + ": expected a value");
  BOOST_LEAF_AUTO(Handled, readPlanOption(O, Name, Value));
  if (!Handled && !storeArgument(O, T, Name, Value))
    return fail(Code::SettingUnknown, "--" + Name + ": no such option");
  return {};
}

Result<void> addTargets(Options &O, const TargetArguments &T) {
  for (const std::string &Url : split(T.Targets)) {
    BOOST_LEAF_AUTO(Address, readUrl(Url));
    O.Site.Hosts.push_back(Address);
  }
  for (const std::string &Text : T.Accounts) {
    BOOST_LEAF_AUTO(Read, readAccount(Text));
    O.Site.Accounts.push_back(std::move(Read));
  }
  return {};
}

Result<void> buildTarget(Options &O, const TargetArguments &T) {
  if (T.Site.empty() == T.Targets.empty())
    return fail(Code::SettingMissing, "expected either --site or --target");
  if (!T.Site.empty()) {
    BOOST_LEAF_AUTO(Text, readFile(T.Site));
    BOOST_LEAF_ASSIGN(O.Site, readSite(Text));
    O.ExactCounts = true;
  }
  BOOST_LEAF_CHECK(addTargets(O, T));
  for (const std::string &Text : split(T.Weights))
    BOOST_LEAF_CHECK(readWeight(O.Site, Text));
  if (!T.Models.empty())
    O.Site.Models = split(T.Models);
  if (!T.PlainService.empty())
    O.Site.PlainService = T.PlainService;
  if (!T.NonRepeatableCall.empty())
    O.Site.NonRepeatableCall = T.NonRepeatableCall;
  return {};
}

Result<void> checkTarget(const Target &Site) {
  if (Site.Hosts.empty() || Site.Hosts.size() > MaxHosts)
    return fail(Code::SettingMissing, "expected 1 to 64 hosts");
  if (Site.Accounts.empty() || Site.Accounts.size() > MaxAccounts)
    return fail(Code::SettingMissing, "expected 1 to 1000 accounts: "
                                      "--account=NAME:TOKENFILE");
  if (Site.Models.empty() || Site.Models.size() > MaxModels)
    return fail(Code::SettingMissing, "expected 1 to 100 models: --model=NAME");
  if (Site.PlainService.empty() != Site.NonRepeatableCall.empty())
    return fail(Code::SettingMissing,
                "expected --service and --call, or neither");
  return {};
}

Result<void> checkBounds(const Options &O) {
  // Both phases together must stay within the limits of one run.
  if (O.Alone && O.Plan.Length > MaxLength / 2)
    return invalid("--seconds: at most 300 with --alone, for both phases");
  return {};
}

std::string textOf(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

Result<void> readSiteHosts(Target &Site, const Json &Text) {
  auto Hosts = Text.find("hosts");
  if (Hosts == Text.end() || !Hosts->is_array())
    return invalid("site: expected a list 'hosts'");
  for (const Json &Host : *Hosts) {
    if (!Host.is_object())
      return invalid("site: expected objects in 'hosts'");
    BOOST_LEAF_AUTO(Address, readUrl(textOf(Host, "caller")));
    Site.Hosts.push_back(Address);
  }
  return {};
}

Result<void> readSiteAccounts(Target &Site, const Json &Text) {
  auto Accounts = Text.find("accounts");
  if (Accounts == Text.end() || !Accounts->is_object())
    return invalid("site: expected an object 'accounts'");
  auto Weights = Text.find("weights"); // Optional.
  for (const auto &[Name, Token] : Accounts->items()) {
    Account Read;
    Read.Name = Name;
    if (!Token.is_string())
      return invalid("site: expected tokens as strings");
    BOOST_LEAF_ASSIGN(Read.Token, checkToken("site", Token.get<std::string>()));
    bool Weighted = Weights != Text.end() && Weights->is_object() &&
                    Weights->contains(Name) && (*Weights)[Name].is_number();
    if (Weighted)
      Read.Weight = (*Weights)[Name].get<double>();
    Site.Accounts.push_back(std::move(Read));
  }
  return {};
}

} // namespace

Result<Target> readSite(const std::string &Text) {
  BOOST_LEAF_AUTO(Parsed, parseJson(Text, JsonLimits()));
  if (!Parsed.is_object())
    return invalid("site: expected a JSON object");
  Target Site;
  BOOST_LEAF_CHECK(readSiteHosts(Site, Parsed));
  BOOST_LEAF_CHECK(readSiteAccounts(Site, Parsed));
  auto Models = Parsed.find("models");
  if (Models == Parsed.end() || !Models->is_array())
    return invalid("site: expected a list 'models'");
  for (const Json &Model : *Models) {
    if (!Model.is_string())
      return invalid("site: expected models as strings");
    Site.Models.push_back(Model.get<std::string>());
  }
  Site.PlainService = textOf(Parsed, "plainService");
  Site.NonRepeatableCall = textOf(Parsed, "nonRepeatableCall");
  return Site;
}

Result<Options> readOptions(const std::vector<std::string> &Arguments) {
  Options O;
  TargetArguments T;
  for (const std::string &Argument : Arguments)
    BOOST_LEAF_CHECK(readArgument(O, T, Argument));
  if (O.Help)
    return O;
  BOOST_LEAF_CHECK(buildTarget(O, T));
  BOOST_LEAF_CHECK(checkTarget(O.Site));
  BOOST_LEAF_CHECK(checkBounds(O));
  if (O.Alone)
    O.Plan.Requests = std::min(O.Plan.Requests, MaxRequests / 2);
  O.Plan.Accounts = O.Site.Accounts.size();
  O.Plan.Hosts = O.Site.Hosts.size();
  O.Plan.Models = O.Site.Models.size();
  O.Plan.PlainCalls = !O.Site.PlainService.empty();
  return O;
}

std::string usageText() {
  std::ostringstream OS;
  OS << R"(pimentogladectl load: a bounded load run as the callers see it

  --site=FILE               site.json, as scripts/site.py --keep writes it
  --target=URL,...          or the hosts' caller URLs, http://IP:PORT
  --account=NAME:TOKENFILE  a client account; may be given several times
  --weights=NAME:WEIGHT,... what the accounts have paid for, for the report
  --model=NAME,...          models to ask for
  --service=NAME            plain service to call; with --call
  --call=PATH               its call that may not be repeated
  --stand-ins               check token counts as the stand-ins count them;
                            implied by --site
  --mix=pamoja|taller       whose mix of requests; default pamoja
  --rate=N                  arrivals a second, at most )"
     << MaxRate << R"(; default 10
  --seconds=N               time of arrivals, at most )"
     << toSeconds(MaxLength) << R"(; default 30
  --requests=N              at most so many arrivals; never more than
                            )"
     << MaxRequests << R"( in one run
  --seed=N                  arrivals repeat for one seed; default 1
  --scale=F                 factor on prompt lengths, )"
     << MinScale << R"( to 1; default 1
  --alone                   first runs the short requests without any others,
                            to measure their slowdown; halves the bounds
  --json=FILE, --html=FILE  write the report

Never more than )"
     << MaxInFlight << R"( requests are in flight. Each request states its time
limit (10 s for plain calls, 30 s to 600 s for completions by length); the run
ends when its last request has ended or passed its limit.

Exit status: 0 all answered or honestly refused, 1 a promise was seen broken,
2 wrong arguments or files, 3 a host could not be reached.
)";
  return OS.str();
}

} // namespace pimento::load
