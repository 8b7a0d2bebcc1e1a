#include "site/Site.h"

#include "fakes/AnswerText.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace fs = std::filesystem;

namespace pimento::site {

namespace {

constexpr const char *BackendToken = "sample-backend-token";
constexpr const char *Model = "atlas";
constexpr std::array<const char *, HostCount> HostNames = {
    "north-1", "centre-1", "south-1"};

const fs::path &sourceFolder() {
  static const fs::path Folder = PIMENTO_SOURCE_DIR;
  return Folder;
}

std::string program(const char *Name) {
  return (fs::path(PIMENTO_BINARY_DIR) / Name).string();
}

std::string readFile(const fs::path &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Returns a port that is free at \p Ip at the time of the call.
std::uint16_t freePort(const std::string &Ip) {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  socklen_t Size = sizeof(Address);
  (void)::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Socket);
  return ntohs(Address.sin_port);
}

/// Maps each address of the examples to a free one. The hosts do not listen on
/// 127.0.0.1: outgoing connections use its ports, and a restarted host must
/// find its own ports free.
std::map<std::string, std::string>
replaceAddresses(const std::array<std::string, HostCount> &Texts) {
  std::map<std::string, std::string> New;
  std::set<std::string> Taken;
  const std::regex Pattern(R"(127\.0\.0\.(\d+):\d+)");
  for (const std::string &Text : Texts) {
    for (std::sregex_iterator It(Text.begin(), Text.end(), Pattern), End;
         It != End; ++It) {
      if (New.count(It->str()))
        continue;
      std::string Ip = "127.0.1." + (*It)[1].str();
      std::string Address;
      do
        Address = Ip + ":" + std::to_string(freePort(Ip));
      while (!Taken.insert(Address).second);
      New[It->str()] = Address;
    }
  }
  return New;
}

std::string valueOf(const std::string &Settings, const std::string &Key) {
  std::smatch Found;
  std::regex_search(Settings, Found, std::regex("\n" + Key + " = (.*)"));
  return Found[1].str();
}

} // namespace

//===----------------------------------------------------------------------===//
// The site
//===----------------------------------------------------------------------===//

Site::Site(const std::string &Limits)
    : Folder(fs::path(PIMENTO_WORK_DIR) /
             boost::unit_test::framework::current_test_case().p_name.get()) {
  fs::remove_all(Folder);
  fs::create_directories(Folder / "data");
  fs::create_directories(Folder / "log");
  writeSettings(Limits);
  for (std::size_t I = 0; I < HostCount; ++I)
    startHost(I);
  for (std::size_t I = 0; I < HostCount; ++I)
    BOOST_REQUIRE(waitUntil(SettleTimeout, [&] { return ready(I); }));
  startBackends();
  for (const char *Service : {"crew-assistant", LedgerService}) {
    Request R{Hosts[0].Operator,
              "PUT",
              std::string("/v1/services/") + Service + "/document",
              OperatorToken,
              exampleDocument(Service).dump(),
              {}};
    BOOST_REQUIRE_EQUAL(exchange(R).Status, 200);
  }
  for (std::size_t I = 0; I < HostCount; ++I)
    BOOST_REQUIRE(waitUntil(SettleTimeout, [&] { return serves(I); }));
}

void Site::writeSettings(const std::string &Limits) {
  std::array<std::string, HostCount> Texts;
  for (std::size_t I = 0; I < HostCount; ++I)
    Texts[I] = readFile(sourceFolder() / "examples/three-hosts" /
                        (std::string(HostNames[I]) + ".ini"));
  auto Addresses = replaceAddresses(Texts);
  for (std::size_t I = 0; I < HostCount; ++I) {
    std::string Text = Texts[I] + "\n[limits]\n" + Limits;
    for (const auto &[Old, New] : Addresses)
      Text = std::regex_replace(Text, std::regex(Old), New);
    Host &H = Hosts[I];
    H.Name = HostNames[I];
    H.Caller = valueOf(Text, "caller_address");
    H.Operator = valueOf(Text, "operator_address");
    H.Peer = valueOf(Text, "peer_address");
    H.DataFolder = Folder / valueOf(Text, "data_folder");
    std::ofstream(Folder / (H.Name + ".ini")) << Text;
  }
}

void Site::startHost(std::size_t Index) {
  Host &H = Hosts[Index];
  H.Run.start({program("pimentoglade"), "--settings=" + H.Name + ".ini"},
              Folder, Folder / (H.Name + ".out"));
}

void Site::startBackends() {
  std::string Announce = "--announce_to=";
  for (const Host &H : Hosts)
    Announce += H.Caller + ",";
  std::string Token = std::string("--announce_token=") + BackendToken;
  for (std::size_t I = 1; I <= BackendCount; ++I) {
    std::string Number = std::to_string(I);
    std::string Centre = I == 1 ? "north" : "centre";
    for (const char *Kind : {"engine", "ledger"}) {
      std::string Id = std::string(Kind) + "-" + Number;
      Backend &B = Backends[Id];
      B.Arguments = {program((std::string("fake-") + Kind).c_str()),
                     "--id=" + Id,
                     Announce,
                     Token,
                     "--data_centre=" + Centre,
                     "--ready_file=" + Id + ".ready"};
      if (Id[0] == 'e') {
        B.Arguments.insert(B.Arguments.end(), {std::string("--models=") + Model,
                                               "--memory_tokens=400000"});
      } else {
        B.Journal = Folder / (Id + ".journal");
        B.Arguments.insert(B.Arguments.end(),
                           {std::string("--service=") + LedgerService,
                            "--journal=" + B.Journal.string()});
      }
      startBackend(Id);
    }
  }
}

void Site::startBackend(const std::string &Id) {
  Backend &B = Backends.at(Id);
  fs::path Ready = Folder / (Id + ".ready");
  fs::remove(Ready);
  B.Run.start(B.Arguments, Folder, Folder / (Id + ".out"));
  BOOST_REQUIRE(waitUntil(SettleTimeout, [&] {
    Json Line = Json::parse(readFile(Ready), nullptr, false);
    B.Address = Line.is_object() ? Line.value("address", "") : "";
    return !B.Address.empty();
  }));
}

void Site::setSwitches(const std::string &Id, const Json &Switches) {
  Request R{Backends.at(Id).Address, "POST", "/fake/switches", "",
            Switches.dump(),         {}};
  BOOST_REQUIRE_EQUAL(exchange(R).Status, 200);
}

void Site::setLedgers(const Json &Switches) {
  for (const auto &[Id, B] : Backends) {
    if (!B.Journal.empty())
      setSwitches(Id, Switches);
  }
}

bool Site::ready(std::size_t Index) const {
  return exchange({Hosts[Index].Caller, "GET", "/readyz", "", "", {}},
                  seconds(2))
             .Status == 200;
}

bool Site::serves(std::size_t Index) const {
  return answers(complete(Index, "ready?"), "ready?") &&
         lookUp(Index).Status == 200;
}

//===----------------------------------------------------------------------===//
// Callers
//===----------------------------------------------------------------------===//

std::string accountToken(const std::string &Account) {
  return Account + "-sample-token";
}

std::string completionBody(const std::string &Prompt, bool Stream,
                           std::uint64_t Tokens) {
  return Json({{"model", Model},
               {"prompt", Prompt},
               {"stream", Stream},
               {"max_tokens", Tokens}})
      .dump();
}

bool answers(const Reply &R, const std::string &Prompt) {
  Json Body = jsonOf(R);
  if (R.Status != 200 || !R.Complete || !Body.is_object() ||
      !Body.contains("choices"))
    return false;
  return Body["choices"][0].value("text", "") ==
         fakes::answerText(Prompt, 0, AnswerTokens);
}

Reply Site::complete(std::size_t Index, const std::string &Prompt) const {
  return exchange(
      {Hosts[Index].Caller,
       "POST",
       "/v1/completions",
       accountToken("aurora-air"),
       completionBody(Prompt, false, AnswerTokens),
       {{"X-Request-Timeout-Ms", std::to_string(toMilliseconds(CallLimit))}}},
      SettleTimeout);
}

Reply Site::lookUp(std::size_t Index, const std::string &Account,
                   Duration Wait) const {
  return exchange(
      {Hosts[Index].Caller,
       "GET",
       std::string("/v1/services/") + LedgerService + "/calls/lookups/4711",
       accountToken(Account),
       "",
       {}},
      Wait);
}

Reply Site::signOff(std::size_t Index, const std::string &Key,
                    const std::string &Account) const {
  return exchange(
      {Hosts[Index].Caller,
       "POST",
       std::string("/v1/services/") + LedgerService + "/calls/signoffs",
       accountToken(Account),
       R"({"drill": "evacuation"})",
       {{"Idempotency-Key", Key}}},
      SettleTimeout);
}

Reply Site::resend(std::size_t Index, const std::string &Key,
                   const std::string &Account) const {
  Reply R;
  waitUntil(SettleTimeout, [&] {
    R = signOff(Index, Key, Account);
    return R.Status != 0 && R.Status != 503;
  });
  return R;
}

std::size_t Site::runs(const std::string &Key) const {
  std::size_t Count = 0;
  for (const auto &[Id, B] : Backends) {
    std::ifstream Lines(B.Journal);
    for (std::string Line; std::getline(Lines, Line);) {
      Json Entry = Json::parse(Line, nullptr, false);
      Count += Entry.is_object() && Entry.value("key", "") == Key;
    }
  }
  return Count;
}

//===----------------------------------------------------------------------===//
// Operators
//===----------------------------------------------------------------------===//

Json exampleDocument(const std::string &Service) {
  return Json::parse(
      readFile(sourceFolder() / "examples/documents" / (Service + ".json")));
}

Json Site::getFromOperator(std::size_t Index, const std::string &Path) const {
  Reply R = exchange(
      {Hosts[Index].Operator, "GET", Path, OperatorToken, "", {}}, seconds(2));
  return R.Status == 200 ? jsonOf(R) : Json();
}

Json Site::controlLog(std::size_t Index) const {
  Json Status = getFromOperator(Index, "/v1/status");
  return Status.is_object() ? Status["logs"][0] : Json();
}

std::size_t Site::leader() const {
  std::size_t Found = HostCount;
  bool Led = waitUntil(SettleTimeout, [&] {
    for (std::size_t I = 0; I < HostCount && Found == HostCount; ++I) {
      Json Log = controlLog(I);
      if (Log.is_object() && Log["role"] == "leader" && Log["lease"] == true)
        Found = I;
    }
    return Found != HostCount;
  });
  BOOST_REQUIRE(Led);
  return Found;
}

Reply Site::put(std::size_t Index, std::uint64_t Number,
                const std::string &EditId, int Retention) const {
  Json Document = exampleDocument(LedgerService);
  Document["number"] = Number;
  Document["claim_retention_hours"] = Retention;
  return exchange({Hosts[Index].Operator,
                   "PUT",
                   std::string("/v1/services/") + LedgerService + "/document",
                   OperatorToken,
                   Document.dump(),
                   {{"Idempotency-Key", EditId}}},
                  SettleTimeout);
}

Reply Site::putUntilSettled(std::size_t Index, std::uint64_t Number,
                            const std::string &EditId, int Retention) const {
  Reply R;
  waitUntil(SettleTimeout, [&] {
    R = put(Index, Number, EditId, Retention);
    return R.Status != 0 && R.Status != 503;
  });
  return R;
}

std::uint64_t Site::documentAt(std::size_t Index) const {
  Json Document = getFromOperator(Index, std::string("/v1/services/") +
                                             LedgerService + "/document");
  return Document.is_object() ? Document.value("number", std::uint64_t{0}) : 0;
}

} // namespace pimento::site
