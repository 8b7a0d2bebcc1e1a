#include "shell/Address.h"

#include "base/SettingText.h"
#include "base/Settings.h"

namespace pimento {

bool splitAddress(const std::string &Text, IpPort &Address) {
  if (!isAddress(Text))
    return false;
  std::size_t Colon = Text.rfind(':');
  Address.Ip = Text.substr(0, Colon);
  if (Address.Ip.front() == '[')
    Address.Ip = Address.Ip.substr(1, Address.Ip.size() - 2);
  Address.Port = static_cast<std::uint16_t>(std::stoul(Text.substr(Colon + 1)));
  return true;
}

} // namespace pimento
