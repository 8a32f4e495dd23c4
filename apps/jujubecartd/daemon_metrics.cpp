#include "daemon_metrics.hpp"

#include <sys/resource.h>

namespace jujubecart::daemon {

namespace internal {

double cpuSeconds() noexcept {
  constexpr double MicrosecondsPerSecond = 1e6;
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) +
         static_cast<double>(Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec) /
             MicrosecondsPerSecond;
}

void registerCallers(core::MetricsRegistry &Registry,
                     const callers::Server &Callers) {
  const auto Count = [&](const char *Name,
                         std::uint64_t callers::ServerCounters::*Member) {
    Registry.counter(Name, "", [&Callers, Member] {
      return static_cast<double>(Callers.counters().*Member);
    });
  };
  Count("jujubecart_requests_received_total",
        &callers::ServerCounters::Received);
  Count("jujubecart_requests_completed_total",
        &callers::ServerCounters::Completed);
  Count("jujubecart_attempts_total", &callers::ServerCounters::Attempts);
  Count("jujubecart_retries_total", &callers::ServerCounters::Retries);
  Count("jujubecart_hedges_total", &callers::ServerCounters::Hedges);
  Count("jujubecart_responses_cut_total",
        &callers::ServerCounters::CutResponses);
  Count("jujubecart_caller_connections_accepted_total",
        &callers::ServerCounters::AcceptedConnections);
  Registry.gauge("jujubecart_requests_in_flight", "", [&Callers] {
    return static_cast<double>(Callers.counters().InFlight);
  });
  Registry.gauge("jujubecart_caller_connections_open", "", [&Callers] {
    return static_cast<double>(Callers.counters().OpenConnections);
  });
  for (std::size_t Index = 0; Index < callers::RejectReasons; ++Index) {
    const auto Reason = static_cast<callers::RejectReason>(Index);
    Registry.counter(
        "jujubecart_requests_rejected_total",
        "reason=\"" + std::string(toString(Reason)) + "\"", [&Callers, Reason] {
          return static_cast<double>(Callers.counters().rejected(Reason));
        });
  }
}

void registerPool(core::MetricsRegistry &Registry,
                  const backends::ConnectionPool &Pool) {
  Registry.gauge("jujubecart_backend_connections_open", "",
                 [&Pool] { return static_cast<double>(Pool.counters().Open); });
  Registry.gauge("jujubecart_backend_connections_idle", "",
                 [&Pool] { return static_cast<double>(Pool.counters().Idle); });
  Registry.counter("jujubecart_backend_connects_total", "", [&Pool] {
    return static_cast<double>(Pool.counters().Connects);
  });
  Registry.counter("jujubecart_backend_connects_failed_total", "", [&Pool] {
    return static_cast<double>(Pool.counters().FailedConnects);
  });
}

} // namespace internal

void registerMetrics(core::MetricsRegistry &Registry, MetricSources Sources) {
  internal::registerCallers(Registry, Sources.Callers);
  internal::registerPool(Registry, Sources.Pool);
  Registry.gauge("jujubecart_config_revision", "", [&Config = Sources.Config] {
    return static_cast<double>(Config.current()->revision());
  });
  Registry.counter("jujubecart_timeline_events_dropped_total", "",
                   [&Events = Sources.Events] {
                     return static_cast<double>(Events.dropped());
                   });
  Registry.counter("process_cpu_seconds_total", "", internal::cpuSeconds);
}

} // namespace jujubecart::daemon
