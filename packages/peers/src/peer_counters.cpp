#include <jujubecart/peers/peer_counters.hpp>

namespace jujubecart::peers {

namespace internal {

template <typename Alternative, std::size_t Index = 0>
constexpr std::size_t indexOf() {
  if constexpr (std::is_same_v<std::variant_alternative_t<Index, Message>,
                               Alternative>)
    return Index;
  else
    return indexOf<Alternative, Index + 1>();
}

} // namespace internal

bool PeerCounters::isPerCall(std::size_t Type) noexcept {
  using internal::indexOf;
  return (Type >= indexOf<Acquire>() && Type <= indexOf<Cancel>()) ||
         Type == indexOf<InFlight>() || Type == indexOf<ClaimRelease>();
}

std::uint64_t PeerCounters::controlBytes() const noexcept {
  std::uint64_t Sum = 0;
  for (std::size_t Type = 0; Type < MessageTypeCount; ++Type)
    if (!isPerCall(Type))
      Sum += In[Type].Bytes + Out[Type].Bytes;
  return Sum;
}

} // namespace jujubecart::peers
