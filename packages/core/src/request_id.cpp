#include <jujubecart/core/request_id.hpp>

#include <array>
#include <charconv>
#include <random>

namespace jujubecart::core {

namespace internal {

constexpr std::size_t RequestIdDigits = 16;
constexpr int HexadecimalBase = 16;

std::mt19937_64 seededEngine() {
  std::random_device Device;
  std::seed_seq Seed{Device(), Device(), Device(), Device()};
  return std::mt19937_64(Seed);
}

} // namespace internal

RequestId newRequestId() {
  thread_local std::mt19937_64 Engine = internal::seededEngine();
  return RequestId{Engine()};
}

std::string toString(RequestId Id) {
  std::array<char, internal::RequestIdDigits> Digits{};
  const auto [End, Code] =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Id.Value,
                    internal::HexadecimalBase);
  const std::string Text(Digits.data(), End);
  return std::string(internal::RequestIdDigits - Text.size(), '0') + Text;
}

Result<RequestId> parseRequestId(std::string_view Text) noexcept {
  if (Text.size() != internal::RequestIdDigits)
    return make_error_code(Error::Malformed);
  RequestId Id;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Id.Value,
                      internal::HexadecimalBase);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return make_error_code(Error::Malformed);
  return Id;
}

} // namespace jujubecart::core
