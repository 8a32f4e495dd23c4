#include <jujubecart/decision/internal/adopted_calls.hpp>

namespace jujubecart::decision::internal {

std::uint32_t AdoptedCalls::set(std::string Holder, std::string ServerId,
                                std::uint32_t Count) {
  return std::exchange(Calls[{std::move(Holder), std::move(ServerId)}], Count);
}

std::uint32_t AdoptedCalls::count(const std::string &Holder,
                                  const std::string &ServerId) const {
  const auto Found = Calls.find({Holder, ServerId});
  return Found == Calls.end() ? 0 : Found->second;
}

std::vector<AdoptedCalls::ServerCalls>
AdoptedCalls::removeHolder(std::string_view Holder) {
  std::vector<ServerCalls> Dropped;
  std::erase_if(Calls, [&](const auto &Item) {
    if (Item.first.first != Holder)
      return false;
    Dropped.push_back({.ServerId = Item.first.second, .Calls = Item.second});
    return true;
  });
  return Dropped;
}

} // namespace jujubecart::decision::internal
