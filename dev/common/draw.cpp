#include "common/draw.hpp"

#include <boost/math/distributions/lognormal.hpp>
#include <charconv>
#include <cmath>

namespace jujubecart::dev {

namespace {

constexpr double CoefficientOfVariation = 1.5;

// Bimodal distribution: 90% of the requests are short. The mean is 1 and the
// coefficient of variation 1.5, as for the log-normal distribution.
constexpr double ShortFraction = 0.9;
constexpr double ShortFactor = 0.5;
constexpr double LongFactor = 5.5;

// Maps a draw to a uniform value in the open interval (0, 1). The divisor is
// 2^53, the range of the 53 bits that are kept.
double toUniform(std::uint64_t Draw) noexcept {
  return (static_cast<double>(splitMix64(Draw) >> 11) + 0.5) /
         9007199254740992.0;
}

// Quantile of a log-normal distribution with mean 1.
double logNormalQuantile(double Uniform) {
  static const double Sigma = std::sqrt(
      std::log(1.0 + CoefficientOfVariation * CoefficientOfVariation));
  static const boost::math::lognormal UnitMean(-Sigma * Sigma / 2.0, Sigma);
  return boost::math::quantile(UnitMean, Uniform);
}

// The prefix, the draw, the length and pseudorandom filler up to that length,
// so that a mixed-up or truncated body is detected.
std::string makeBody(std::string_view Prefix, std::uint64_t Draw,
                     std::size_t Length) {
  std::string Text(Prefix);
  Text += formatDraw(Draw);
  Text += " length=";
  Text += std::to_string(Length);
  Text += ' ';
  for (std::uint64_t Block = Draw; Text.size() < Length; ++Block)
    Text += formatDraw(splitMix64(Block));
  Text.resize(Length);
  return Text;
}

} // namespace

std::uint64_t splitMix64(std::uint64_t Value) noexcept {
  Value += 0x9e3779b97f4a7c15ULL;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

std::chrono::nanoseconds ServiceTimeModel::forDraw(std::uint64_t Draw) const {
  const double Uniform = toUniform(Draw);
  const double Factor = Shape == Distribution::LogNormal
                            ? logNormalQuantile(Uniform)
                        : Uniform < ShortFraction ? ShortFactor
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

std::string formatOrderKey(std::chrono::system_clock::time_point RunStart,
                           std::uint64_t Draw) {
  const auto StartedMs = std::chrono::duration_cast<std::chrono::milliseconds>(
      RunStart.time_since_epoch());
  return "order-" + std::to_string(StartedMs.count()) + "-" + formatDraw(Draw);
}

std::string formatDraw(std::uint64_t Draw) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text(16, '0');
  for (std::size_t Index = 16; Index-- > 0; Draw >>= 4)
    Text[Index] = Digits[Draw & 15];
  return Text;
}

std::optional<std::uint64_t> parseDraw(std::string_view Text) noexcept {
  std::uint64_t Draw = 0;
  const char *const End = Text.data() + Text.size();
  const auto [ParseEnd, Code] = std::from_chars(Text.data(), End, Draw, 16);
  if (Text.size() != 16 || Code != std::errc() || ParseEnd != End)
    return std::nullopt;
  return Draw;
}

std::string makeResponseBody(std::uint64_t Draw) {
  return makeBody("token=", Draw, 64 + splitMix64(Draw ^ 0x5eedULL) % 2048);
}

std::string makeRequestBody(std::uint64_t Draw) {
  return makeBody("order=", Draw, 64 + splitMix64(Draw ^ 0xb0d1ULL) % 1024);
}

} // namespace jujubecart::dev
