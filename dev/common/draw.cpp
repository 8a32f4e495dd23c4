#include "common/draw.hpp"

#include <boost/math/distributions/lognormal.hpp>
#include <charconv>
#include <cmath>

namespace jujubecart::dev {

namespace {

constexpr double CoefficientOfVariation = 1.5;

// Bimodal: nine in ten requests are short; the mean stays 1 and the
// coefficient of variation is 1.5.
constexpr double ShortShare = 0.9;
constexpr double ShortFactor = 0.5;
constexpr double LongFactor = 5.5;

// Uniform in (0, 1), never exactly 0 or 1.
double uniform(std::uint64_t Draw) noexcept {
  return (static_cast<double>(mix(Draw) >> 11) + 0.5) / 9007199254740992.0;
}

double logNormal(double Uniform) {
  static const double Sigma = std::sqrt(
      std::log(1.0 + CoefficientOfVariation * CoefficientOfVariation));
  static const boost::math::lognormal Unit(-Sigma * Sigma / 2.0, Sigma);
  return boost::math::quantile(Unit, Uniform);
}

std::string filled(std::string_view Kind, std::uint64_t Draw,
                   std::size_t Length) {
  std::string Text(Kind);
  Text += drawText(Draw);
  Text += " length=";
  Text += std::to_string(Length);
  Text += ' ';
  for (std::uint64_t Block = Draw; Text.size() < Length; ++Block)
    Text += drawText(mix(Block));
  Text.resize(Length);
  return Text;
}

} // namespace

std::uint64_t mix(std::uint64_t Value) noexcept {
  Value += 0x9e3779b97f4a7c15ULL;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

std::chrono::nanoseconds ServiceTimes::of(std::uint64_t Draw) const {
  const double Uniform = uniform(Draw);
  const double Factor = Shape == Distribution::LogNormal ? logNormal(Uniform)
                        : Uniform < ShortShare           ? ShortFactor
                                                         : LongFactor;
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(Factor * MeanMs * 1e6));
}

std::optional<Distribution> parseDistribution(std::string_view Name) noexcept {
  if (Name == "lognormal")
    return Distribution::LogNormal;
  if (Name == "bimodal")
    return Distribution::Bimodal;
  return std::nullopt;
}

std::string orderKeyText(std::chrono::system_clock::time_point RunStart,
                         std::uint64_t Draw) {
  const auto Started = std::chrono::duration_cast<std::chrono::milliseconds>(
      RunStart.time_since_epoch());
  return "order-" + std::to_string(Started.count()) + "-" + drawText(Draw);
}

std::string drawText(std::uint64_t Draw) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text(16, '0');
  for (std::size_t Place = 16; Place-- > 0; Draw >>= 4)
    Text[Place] = Digits[Draw & 15];
  return Text;
}

std::optional<std::uint64_t> parseDraw(std::string_view Text) noexcept {
  std::uint64_t Draw = 0;
  const char *const End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Draw, 16);
  if (Text.size() != 16 || Code != std::errc() || Stop != End)
    return std::nullopt;
  return Draw;
}

std::string responseBody(std::uint64_t Draw) {
  return filled("token=", Draw, 64 + mix(Draw ^ 0x5eedULL) % 2048);
}

std::string requestBody(std::uint64_t Draw) {
  return filled("order=", Draw, 64 + mix(Draw ^ 0xb0d1ULL) % 1024);
}

} // namespace jujubecart::dev
