#ifndef JUJUBECART_DEV_COMMON_EXPERIMENT_HPP
#define JUJUBECART_DEV_COMMON_EXPERIMENT_HPP

#include "common/draw.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jujubecart::dev {

/// @brief Entry VM that callers send to.
struct EntryVm {
  std::string Id;
  std::string Address;
  /// `IP:port` of the operators' endpoint; empty: always in rotation.
  std::string Ready;
  std::string Zone;
};

/// @brief Load on one service, and the zones of its slots for the replay.
struct ServiceLoad {
  std::string Name;
  std::string Host;
  std::string Path;
  bool Order = false;
  /// Calls per second.
  double Rate = 0.0;
  std::chrono::milliseconds Deadline{2000};
  std::vector<std::string> SlotZones;
};

/// @brief Action at a point in time: a request to a control port or a signal.
struct Fault {
  std::chrono::milliseconds At{0};
  std::string Address;
  std::string Path;
  std::string Body;
  int Pid = 0;
  int Signal = 0;
};

/// @brief Factor on the rate from a point in time on.
struct RateStep {
  std::chrono::milliseconds At{0};
  double Factor = 1.0;
};

/// @brief Part of an experiment that is summarized on its own.
struct Segment {
  std::string Name;
  std::chrono::milliseconds From{0};
  std::chrono::milliseconds To{0};
  /// Requests sent to these entry VMs are left out.
  std::vector<std::string> Excluded;
};

/// @brief One experiment as read from JSON.
struct Experiment {
  std::uint64_t Seed = 1;
  std::chrono::milliseconds Length{10000};
  /// Most requests; 0: as many as fall into the length.
  std::size_t Count = 0;
  /// Requests due earlier are sent and checked but not timed.
  std::chrono::milliseconds Warmup{0};
  std::vector<EntryVm> Entries;
  std::vector<ServiceLoad> Services;
  std::vector<RateStep> Shape;
  std::vector<Fault> Faults;
  std::vector<Segment> Segments;
  ServiceTimes Times;
  std::chrono::microseconds CallerLeg{0};
  std::chrono::microseconds ZoneLeg{0};
  /// Control port of the fake backend servers; empty: no comparison.
  std::string Backends;
  /// Connections opened to each entry VM before the start.
  std::size_t Connections = 8;
  std::chrono::milliseconds Window{100};
};

/// @brief One request that is due.
struct Arrival {
  std::chrono::nanoseconds Due{0};
  std::uint64_t Draw = 0;
  std::uint32_t Service = 0;
};

/// @brief Reads an experiment; throws std::exception with the reason.
[[nodiscard]] Experiment readExperiment(const std::string &File);

/// @brief All arrivals in order; depends only on the experiment.
[[nodiscard]] std::vector<Arrival> arrivals(const Experiment &Plan);

} // namespace jujubecart::dev

#endif
