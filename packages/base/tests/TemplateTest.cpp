// The templates from which the platform renders a host's settings, with values
// of each kind that a deployment may have: whole, fractional, zero and absent.

#include <boost/test/unit_test.hpp>

#include "base/Settings.h"

#include <fstream>
#include <map>
#include <sstream>

using namespace pimento;

namespace {

using Values = std::map<std::string, std::string>;

std::string templateText(const std::string &Name) {
  std::ifstream File(std::string(PIMENTO_SOURCE_DIR) + "/deploy/" + Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

Values commonValues() {
  return {{"nodeName", "m-17"},
          {"zone", "dar-a"},
          {"ip", "10.1.0.40"},
          {"listen.frontend", "10.1.0.40:8227"},
          {"listen.readiness", "10.1.0.40:8220"},
          {"listen.control", "10.1.0.40:8229"},
          {"internalPorts.0", "7340"},
          {"internalPorts.1", "7355"},
          {"seeds", "10.1.0.43:8229,10.2.0.32:8229,10.3.0.21:8229"},
          {"firstStart", "true"},
          {"dataDir", "/data"},
          {"faultTolerance.machines", "2"},
          {"heartbeatMs", "1200"},
          {"limits.memoryMb", "160"},
          {"bounds.graceS", "8"},
          {"bounds.retryBudgetRatio", "0.2"},
          {"bounds.retryAllowance", "452"},
          {"bounds.budgetWindowS", "10"},
          {"bounds.holdMaxMs", "20000"}};
}

std::string valueOf(const Values &Given, const std::string &Name) {
  auto Found = Given.find(Name);
  return Found == Given.end() ? "" : Found->second;
}

/// Renders sections and placeholders without nesting, which is all that the
/// templates use. \p IsZeroTrue: a section of the number 0 is rendered; the
/// platform's page does not say whether it is.
std::string render(std::string Text, const Values &Given, bool IsZeroTrue) {
  std::string Out;
  for (;;) {
    std::size_t Begin = Text.find("{{");
    Out += Text.substr(0, Begin);
    if (Begin == std::string::npos)
      return Out;
    std::size_t End = Text.find("}}", Begin);
    std::string Name = Text.substr(Begin + 2, End - Begin - 2);
    Text.erase(0, End + 2);
    if (Name[0] != '#' && Name[0] != '^') {
      Out += valueOf(Given, Name);
      continue;
    }
    std::string Key = Name.substr(1);
    std::string Close = "{{/" + Key + "}}";
    std::size_t Length = Text.find(Close);
    std::string Inner = Text.substr(0, Length);
    Text.erase(0, Length + Close.size());
    std::string Value = valueOf(Given, Key);
    bool IsTrue =
        !Value.empty() && Value != "false" && (Value != "0" || IsZeroTrue);
    if (IsTrue == (Name[0] == '#'))
      Out += render(Inner, Given, IsZeroTrue);
  }
}

/// Reads the rendered template; fails the test if the host could not start.
Settings settingsFrom(const std::string &Name, const Values &Given,
                      bool IsZeroTrue = true) {
  Settings S;
  std::vector<SettingProblem> Problems;
  std::string Text = render(templateText(Name), Given, IsZeroTrue);
  BOOST_TEST(readSettings(Text, Name, S, Problems));
  for (const SettingProblem &P : Problems)
    BOOST_TEST_MESSAGE(formatProblem(P));
  return S;
}

Settings entryWith(const std::string &Key, const std::string &Value,
                   bool IsZeroTrue = true) {
  Values Given = commonValues();
  Given[Key] = Value;
  return settingsFrom("entry.ini", Given, IsZeroTrue);
}

} // namespace

/// Guards against a template that names a key which the settings do not have.
BOOST_AUTO_TEST_CASE(TemplatesGiveUsableSettings) {
  Settings Entry = settingsFrom("entry.ini", commonValues());
  BOOST_TEST(Entry.Retries.BudgetAllowance == 452);
  BOOST_TEST((Entry.Drain.Limit == seconds(8)));
  BOOST_TEST(bufferBytes(Entry.Limits) == 64U << 20U);
  Settings Control = settingsFrom("control.ini", commonValues());
  BOOST_TEST(Control.Join.Failures == 2U);
  BOOST_TEST((Control.Membership.AnnounceInterval == milliseconds(1200)));
}

/// Guards against a crash loop on all entry hosts: a deployment played at a
/// share of its size has an allowance that is no whole number.
BOOST_AUTO_TEST_CASE(FractionsAreRead) {
  Settings S = entryWith("bounds.retryAllowance", "37.666666666666664");
  BOOST_TEST(S.Retries.BudgetAllowance == 37.666666666666664);
  S = entryWith("bounds.graceS", "7.5");
  BOOST_TEST((S.Drain.Limit == milliseconds(7500)));
  S = entryWith("bounds.budgetWindowS", "10.0");
  BOOST_TEST((S.Retries.BudgetWindow == seconds(10)));
  S = entryWith("bounds.holdMaxMs", "333.3333333333333");
  BOOST_TEST((S.Schedule.ReservationLimit > milliseconds(333)));
  S = entryWith("limits.memoryMb", "160.5");
  BOOST_TEST(S.Limits.MemoryBytes == 321U << 19U);
  Values Given = commonValues();
  Given["heartbeatMs"] = "1200.5";
  S = settingsFrom("control.ini", Given);
  BOOST_TEST((S.Membership.AnnounceInterval == microseconds(1200500)));
}

/// Guards against reading the allowance of a deployment that has none as the
/// default of 30.
BOOST_AUTO_TEST_CASE(ZeroIsNotTheDefault) {
  for (bool IsZeroTrue : {true, false}) {
    Settings S = entryWith("bounds.retryAllowance", "0", IsZeroTrue);
    BOOST_TEST(S.Retries.BudgetAllowance == 0);
    S = entryWith("bounds.retryBudgetRatio", "0", IsZeroTrue);
    BOOST_TEST(S.Retries.BudgetShare == 0);
  }
}

/// Guards against a host that does not start because a deployment's contracts
/// leave a bound out.
BOOST_AUTO_TEST_CASE(AbsentBoundsAreDefaults) {
  Values Given = commonValues();
  for (const char *Key :
       {"limits.memoryMb", "bounds.graceS", "bounds.retryBudgetRatio",
        "bounds.retryAllowance", "bounds.budgetWindowS", "bounds.holdMaxMs"})
    Given.erase(Key);
  Settings S = settingsFrom("entry.ini", Given);
  Settings Default;
  BOOST_TEST(S.Retries.BudgetAllowance == Default.Retries.BudgetAllowance);
  BOOST_TEST(S.Retries.BudgetShare == Default.Retries.BudgetShare);
  BOOST_TEST((S.Drain.Limit == Default.Drain.Limit));
  BOOST_TEST(
      (S.Schedule.ReservationLimit == Default.Schedule.ReservationLimit));
}
