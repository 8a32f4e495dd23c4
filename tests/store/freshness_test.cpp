#include <criterion/criterion.h>
#include <jujubecart/store/freshness.hpp>

using namespace jujubecart;
using namespace std::chrono_literals;

namespace {

/// @brief Clock of a VM that can be suspended.
class TestClock final : public core::Clock {
public:
  [[nodiscard]] core::TimePoint now() const noexcept override {
    return core::TimePoint(Running);
  }
  [[nodiscard]] core::WallTime wallNow() const noexcept override { return {}; }
  [[nodiscard]] std::chrono::milliseconds uptime() const noexcept override {
    return Running + Suspended;
  }

  std::chrono::milliseconds Running = 100s;
  std::chrono::milliseconds Suspended = 7s;
};

} // namespace

// Guards against an age that leaves out changes which the store accepted while
// its answer was under way.
Test(StoreRead, answer_proves_no_more_than_the_store_looked_at) {
  TestClock Time;
  const store::StoreRead Watch(Time, Time.now() + 550ms);
  Time.Running += 400ms;
  cr_assert_eq(Watch.completeUntil(true), 107s);
  cr_assert_eq(Watch.completeUntil(false), 107s, "before its time");
  Time.Running += 500ms;
  cr_assert_eq(Watch.completeUntil(false), 107550ms);
  cr_assert_eq(Watch.completeUntil(true), 107s);
  const store::StoreRead Read(Time, Time.now());
  Time.Running += 900ms;
  cr_assert_eq(Read.completeUntil(true), 107900ms);
}

// Guards against an empty answer that the store gave too early and that arrives
// after the wait. It proves only what was accepted before the question; the
// margin for revocations covers 600 ms more (docs/design/workspaces.md).
Test(StoreRead, answer_that_may_have_been_early_proves_little_more) {
  TestClock Time;
  const store::StoreRead Watch(Time, Time.now() + 1500ms);
  Time.Running += 1600ms;
  cr_assert_eq(Watch.completeUntil(false), 107600ms);
}

// Guards against an answer that came early and is taken for one at the end of
// the wait, because this VM was suspended.
Test(StoreRead, time_in_suspension_is_no_wait_of_the_store) {
  TestClock Time;
  const store::StoreRead Watch(Time, Time.now() + 700ms);
  Time.Running += 100ms;
  Time.Suspended += 10s;
  cr_assert_eq(Watch.completeUntil(false), 107s);
}

// Guards against an older statement of another VM that replaces a newer one.
Test(FreshnessRecord, latest_instant_is_kept) {
  store::FreshnessRecord Record;
  cr_assert_not(Record.completeUntil().has_value());
  Record.raise(5s);
  Record.raise(3s);
  cr_assert_eq(*Record.completeUntil(), 5s);
}
