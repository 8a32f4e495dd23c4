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

/// @brief VM of the fleet that callers send requests to.
struct EntryVm {
  std::string Id;
  /// `IP:port` that accepts requests of callers.
  std::string Address;
  /// `IP:port` of the operators' endpoint, whose `/ready` decides whether the
  /// VM is in rotation. Empty: always in rotation.
  std::string ReadyAddress;
  std::string Zone;
};

/// @brief Requests to one service at a Poisson rate.
struct ServiceLoad {
  std::string Name;
  std::string Host;
  std::string Path;
  /// Orders are POST requests with an idempotency key; lookups are GET
  /// requests.
  bool IsOrder = false;
  /// Mean rate before the factors of the rate steps.
  double RatePerSecond = 0.0;
  /// Relative to the time at which a request is due.
  std::chrono::milliseconds Deadline{2000};
  /// Zone of each slot; used by the ideal replay only.
  std::vector<std::string> SlotZones;
};

/// @brief Fault injected at a point in time: a signal if Pid is set, otherwise
/// a POST request to a control port.
struct Fault {
  /// Offset from the start of the experiment.
  std::chrono::milliseconds At{0};
  /// `IP:port` of the control port.
  std::string Address;
  std::string Path;
  std::string Body;
  int Pid = 0;
  int Signal = 0;
};

/// @brief Multiplies the rate of every service until the next step.
struct RateStep {
  /// Offset from the start of the experiment.
  std::chrono::milliseconds At{0};
  double Factor = 1.0;
};

/// @brief Interval [From, To) of an experiment with a summary of its own.
struct Segment {
  std::string Name;
  std::chrono::milliseconds From{0};
  std::chrono::milliseconds To{0};
  /// Ids of entry VMs whose requests the summary leaves out.
  std::vector<std::string> Excluded;
};

/// @brief Settings of one experiment, read from JSON.
struct Experiment {
  std::uint64_t Seed = 1;
  std::chrono::milliseconds Duration{10000};
  /// Limit on the number of requests; 0 is no limit.
  std::size_t MaxRequests = 0;
  /// Requests due earlier are sent and checked; their latencies are left out.
  std::chrono::milliseconds Warmup{0};
  std::vector<EntryVm> Entries;
  std::vector<ServiceLoad> Services;
  std::vector<RateStep> RateSteps;
  std::vector<Fault> Faults;
  std::vector<Segment> Segments;
  ServiceTimeModel ServiceTimes;
  /// One-way network delay between a caller and its entry VM.
  std::chrono::microseconds CallerDelay{0};
  /// One-way network delay between two zones.
  std::chrono::microseconds ZoneDelay{0};
  /// `IP:port` of the control port of the fake backend servers. Empty: results
  /// are not checked against their run record.
  std::string BackendControl;
  /// Connections opened to each entry VM before the start.
  std::size_t ConnectionsPerEntry = 8;
  /// Resolution of the summary over time.
  std::chrono::milliseconds WindowLength{100};
};

/// @brief One planned request.
struct Arrival {
  /// Offset from the start of the experiment.
  std::chrono::nanoseconds Due{0};
  std::uint64_t Draw = 0;
  /// Index into Experiment::Services.
  std::uint32_t ServiceIndex = 0;
};

/// @brief Reads an experiment from a JSON file.
///
/// Throws an exception derived from std::exception if the file cannot be read
/// or is invalid.
[[nodiscard]] Experiment readExperiment(const std::string &File);

/// @brief Generates the Poisson arrivals of all services, ordered by due time.
///
/// Deterministic: equal experiments with equal seeds give equal arrivals.
[[nodiscard]] std::vector<Arrival> generateArrivals(const Experiment &Plan);

} // namespace jujubecart::dev

#endif
