#include "daemon_metrics.hpp"

#include <limits>
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

void registerCallerMetrics(core::MetricsRegistry &Registry,
                           const callers::Server &Callers) {
  const auto AddCounter = [&](const char *Name,
                              std::uint64_t callers::ServerCounters::*Member) {
    Registry.counter(Name, "", [&Callers, Member] {
      return static_cast<double>(Callers.counters().*Member);
    });
  };
  AddCounter("jujubecart_requests_received_total",
             &callers::ServerCounters::Received);
  AddCounter("jujubecart_requests_completed_total",
             &callers::ServerCounters::Completed);
  AddCounter("jujubecart_attempts_total", &callers::ServerCounters::Attempts);
  AddCounter("jujubecart_retries_total", &callers::ServerCounters::Retries);
  AddCounter("jujubecart_hedges_total", &callers::ServerCounters::Hedges);
  AddCounter("jujubecart_responses_cut_total",
             &callers::ServerCounters::TruncatedResponses);
  AddCounter("jujubecart_response_statuses_replaced_total",
             &callers::ServerCounters::ReplacedStatuses);
  AddCounter("jujubecart_caller_connections_accepted_total",
             &callers::ServerCounters::AcceptedConnections);
  Registry.gauge("jujubecart_requests_in_flight", "", [&Callers] {
    return static_cast<double>(Callers.counters().InFlight);
  });
  Registry.gauge("jujubecart_caller_connections_open", "", [&Callers] {
    return static_cast<double>(Callers.counters().OpenConnections);
  });
  for (std::size_t Index = 0; Index < callers::RejectReasonCount; ++Index) {
    const auto Reason = static_cast<callers::RejectReason>(Index);
    Registry.counter(
        "jujubecart_requests_rejected_total",
        "reason=\"" + std::string(toString(Reason)) + "\"", [&Callers, Reason] {
          return static_cast<double>(Callers.counters().rejected(Reason));
        });
  }
  for (std::size_t Index = 0; Index < callers::CloseStageCount; ++Index) {
    const auto Stage = static_cast<callers::CloseStage>(Index);
    Registry.counter(
        "jujubecart_caller_closes_total",
        "stage=\"" + std::string(toString(Stage)) + "\"", [&Callers, Stage] {
          return static_cast<double>(Callers.counters().closes(Stage));
        });
  }
}

void registerPoolMetrics(core::MetricsRegistry &Registry,
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
  Registry.counter(
      "jujubecart_zone_bytes_total", "cause=\"requests\"", [&Pool] {
        return static_cast<double>(Pool.counters().BytesToOtherZones);
      });
  Registry.counter(
      "jujubecart_zone_bytes_total", "cause=\"responses\"", [&Pool] {
        return static_cast<double>(Pool.counters().BytesFromOtherZones);
      });
}

void registerPeerMetrics(core::MetricsRegistry &Registry,
                         peers::PeerNode &Peers) {
  peers::PeerCounters &Counters = Peers.links().counters();
  const auto AddCounter = [&](const char *Name, const auto &Value) {
    Registry.counter(Name, "",
                     [&Value] { return static_cast<double>(Value.load()); });
  };
  AddCounter("jujubecart_peer_writes_total", Counters.Writes);
  AddCounter("jujubecart_peer_slow_writes_total", Counters.SlowWrites);
  AddCounter("jujubecart_peer_frames_rejected_total", Counters.FramesRejected);
  AddCounter("jujubecart_dispatch_fallbacks_total", Counters.Fallbacks);
  AddCounter("jujubecart_dispatchers_suspected_total",
             Counters.DispatchersSuspected);
  AddCounter("jujubecart_dispatch_grants_total", Counters.Grants);
  AddCounter("jujubecart_probes_total", Counters.Probes);
  AddCounter("jujubecart_quota_requests_total", Counters.QuotaRequests);
  AddCounter("jujubecart_quota_refusals_total", Counters.QuotaRefusals);
  AddCounter("jujubecart_quota_returns_total", Counters.QuotaReturns);
  AddCounter("jujubecart_quota_histories_total", Counters.QuotaHistories);
  Registry.gauge("jujubecart_quota_workspaces", "", [&Peers] {
    return static_cast<double>(Peers.dispatch().quotaWorkspaces());
  });
  Registry.gauge("jujubecart_peer_links_open", "", [&Counters] {
    return static_cast<double>(Counters.LinksOpen.load());
  });
  Registry.counter("jujubecart_peer_control_bytes_total", "", [&Counters] {
    return static_cast<double>(Counters.controlBytes());
  });
  Registry.gauge("jujubecart_members", "", [&Peers] {
    return static_cast<double>(Peers.members().members().size());
  });
  for (std::size_t Type = 0; Type < peers::MessageTypeCount; ++Type) {
    const std::string Label =
        "type=\"" + std::string(peers::messageName(Type)) + "\"";
    Registry.counter(
        "jujubecart_peer_frames_sent_total", Label, [&Counters, Type] {
          return static_cast<double>(Counters.Out[Type].Frames.load());
        });
    Registry.counter(
        "jujubecart_peer_bytes_sent_total", Label, [&Counters, Type] {
          return static_cast<double>(Counters.Out[Type].Bytes.load());
        });
    Registry.counter("jujubecart_zone_bytes_total",
                     "cause=\"" + std::string(peers::messageName(Type)) + "\"",
                     [&Counters, Type] {
                       return static_cast<double>(
                           Counters.OutToOtherZones[Type].Bytes.load());
                     });
  }
}

} // namespace internal

void registerMetrics(core::MetricsRegistry &Registry, MetricSources Sources) {
  internal::registerCallerMetrics(Registry, Sources.Callers);
  internal::registerPoolMetrics(Registry, Sources.Pool);
  internal::registerPeerMetrics(Registry, Sources.Peers);
  Registry.gauge("jujubecart_config_revision", "", [&Config = Sources.Config] {
    return static_cast<double>(Config.current()->revision());
  });
  if (Sources.Freshness != nullptr)
    Registry.gauge("jujubecart_config_complete_age_ms", "",
                   [&Time = Sources.Time, &Freshness = *Sources.Freshness] {
                     const auto CompleteUntil = Freshness.completeUntil();
                     return CompleteUntil
                                ? static_cast<double>(
                                      (Time.uptime() - *CompleteUntil).count())
                                : std::numeric_limits<double>::infinity();
                   });
  Registry.counter("jujubecart_timeline_events_dropped_total", "",
                   [&Events = Sources.Events] {
                     return static_cast<double>(Events.dropped());
                   });
  Registry.counter("process_cpu_seconds_total", "", internal::cpuSeconds);
}

} // namespace jujubecart::daemon
