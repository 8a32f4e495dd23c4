#include <criterion/criterion.h>
#include <jujubecart/decision/internal/failure_rate.hpp>
#include <jujubecart/decision/internal/idle_connections.hpp>

using namespace jujubecart;
using namespace jujubecart::decision::internal;
using namespace std::chrono_literals;

// Guards against a server that is avoided for good, because it gets no call
// that could show its recovery.
Test(FailureRate, rate_decays_without_calls) {
  core::TimePoint Now{1h};
  FailureRate Rate;
  for (int Call = 0; Call < 20; ++Call)
    Rate.record(true, Now);
  cr_assert_gt(Rate.value(Now), 0.9);
  cr_assert_lt(Rate.value(Now + 3s), 0.05);
}

// Guards against a rate that ignores how many of the calls fail.
Test(FailureRate, rate_approaches_the_share_of_failed_calls) {
  core::TimePoint Now{1h};
  FailureRate Rate;
  for (int Call = 0; Call < 40; ++Call)
    Rate.record(Call % 2 == 0, Now += 10ms);
  cr_assert_float_eq(Rate.value(Now), 0.5, 0.15);
}

// Guards against a preference for servers to which the VM has no connection
// left, since its calls use all of them.
Test(IdleConnections, connection_in_use_is_not_idle) {
  const core::TimePoint Now{1h};
  IdleConnections Connections;
  Connections.put(1, Now);
  cr_assert(Connections.has(1, Now));
  cr_assert_not(Connections.has(2, Now));
  Connections.take(1);
  cr_assert_not(Connections.has(1, Now));
}

// Guards against a preference for servers that have closed the connection.
Test(IdleConnections, connection_is_forgotten_before_servers_close_it) {
  const core::TimePoint Now{1h};
  IdleConnections Connections;
  Connections.put(1, Now);
  cr_assert(Connections.has(1, Now + 5s));
  cr_assert_not(Connections.has(1, Now + 10s));
  Connections.put(1, Now + 11s);
  Connections.take(1);
  cr_assert_not(Connections.has(1, Now + 11s));
}
