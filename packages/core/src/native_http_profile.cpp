#include <jujubecart/core/http_profile.hpp>

#include <jujubecart/core/http_rules.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace jujubecart::core {

namespace internal {

namespace {

using namespace std::chrono;

// 2^53 ms is far beyond any real date, and low enough that sums with a duration
// do not overflow.
constexpr std::uint64_t MaxUnixMs = std::uint64_t{1} << 53U;
constexpr std::size_t MaxIdempotencyKeyLength = 256;

std::int64_t unixMs(WallTime Wall) {
  return duration_cast<milliseconds>(Wall.time_since_epoch()).count();
}

template <std::size_t Size>
bool isOneOf(std::string_view Name,
             const std::array<std::string_view, Size> &Names) noexcept {
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Known) {
    return equalsIgnoreCase(Known, Name);
  });
}

class NativeHttpProfile final : public HttpProfile {
public:
  [[nodiscard]] std::optional<std::string_view>
  readRequest(const Fields &Head, const Clock &Time,
              RequestTraits &Out) const override {
    if (const auto Found = Head.find("X-Deadline"); Found != Head.end()) {
      const auto Number = parseDecimal(Found->value());
      if (!Number || *Number > MaxUnixMs)
        return "invalid X-Deadline";
      const milliseconds Remaining(static_cast<std::int64_t>(*Number) -
                                   unixMs(Time.wallNow()));
      // Limited to a day: a deadline far in the future would overflow the
      // monotonic clock.
      Out.Deadline = Time.now() + std::min<milliseconds>(Remaining, hours(24));
    }
    if (const auto Found = Head.find("X-Call-Depth"); Found != Head.end()) {
      const auto Number = parseDecimal(Found->value());
      if (!Number || *Number > std::numeric_limits<std::uint16_t>::max())
        return "invalid X-Call-Depth";
      Out.Depth = static_cast<std::uint32_t>(*Number);
    }
    Out.CallerId = Head["X-Caller-Id"];
    Out.IdempotencyKey = Head["Idempotency-Key"];
    if (Out.IdempotencyKey.size() > MaxIdempotencyKeyLength)
      return "Idempotency-Key longer than 256 characters";
    return std::nullopt;
  }

  [[nodiscard]] bool
  removesFromRequest(std::string_view Name,
                     bool /*HasWorkspaces*/) const noexcept override {
    static constexpr std::array<std::string_view, 3> Names{
        "x-request-id", "x-deadline", "x-call-depth"};
    return isOneOf(Name, Names);
  }

  void writeRequest(std::string &Out, const OutgoingRequest &Request,
                    const Clock &Time) const override {
    appendField(Out, "X-Request-Id", toString(Request.Id));
    appendField(Out, "X-Deadline",
                std::to_string(unixMs(toWall(Time, Request.Deadline))));
    appendField(Out, "X-Call-Depth", std::to_string(Request.Traits.Depth + 1));
  }

  [[nodiscard]] ResponseTraits
  readResponse(const ResponseHead &Head,
               std::string_view /*CallerRequestId*/) const override {
    ResponseTraits Out;
    if (const auto Load = parseDecimal(Head["X-Load"]))
      if (*Load <= std::numeric_limits<std::uint32_t>::max())
        Out.Load = LoadReport{.InFlight = static_cast<std::uint32_t>(*Load)};
    Out.Draining = Head["X-Drain"] == "1";
    Out.NotRun = Head.result_int() == 503 && Head["X-Outcome"] == "not-run";
    return Out;
  }

  // X-Outcome is not forwarded: a backend server may have copied it from the
  // response to a call of its own. Only the entry VM states the outcome.
  [[nodiscard]] bool
  removesFromResponse(std::string_view Name) const noexcept override {
    static constexpr std::array<std::string_view, 4> Names{
        "x-request-id", "x-outcome", "x-load", "x-drain"};
    return isOneOf(Name, Names);
  }

  void writeResponse(std::string &Out, RequestId Id) const override {
    appendField(Out, "X-Request-Id", toString(Id));
  }

  void writeRefusal(std::string &Out, const Refusal &Response) const override {
    appendField(Out, "X-Request-Id", toString(Response.Id));
    appendField(Out, "X-Outcome", Response.NotRun ? "not-run" : "unknown");
    if (Response.Status == 503)
      appendField(Out, "Retry-After",
                  std::to_string(
                      std::max(seconds(1), ceil<seconds>(Response.RetryAfter))
                          .count()));
  }

  // Callers read X-Outcome, which only the entry VM writes.
  [[nodiscard]] bool
  promisesNotRun(unsigned /*Status*/) const noexcept override {
    return false;
  }

  [[nodiscard]] bool
  dependsOnStatus(std::string_view Name) const noexcept override {
    return equalsIgnoreCase(Name, "retry-after");
  }

  // The end of such a response cannot be distinguished from a truncation.
  [[nodiscard]] bool acceptsUnframedResponses() const noexcept override {
    return false;
  }
};

} // namespace

} // namespace internal

const HttpProfile &nativeHttpProfile() noexcept {
  static const internal::NativeHttpProfile Profile;
  return Profile;
}

} // namespace jujubecart::core
