#ifndef JUJUBECART_CORE_METRICS_HPP
#define JUJUBECART_CORE_METRICS_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief Estimates quantiles of a stream of samples; safe to use from any
/// thread.
class Summary {
public:
  Summary();
  Summary(const Summary &) = delete;
  Summary &operator=(const Summary &) = delete;
  ~Summary();

  void add(double Sample) noexcept;

  [[nodiscard]] std::uint64_t count() const noexcept;

  [[nodiscard]] double sum() const noexcept;

  /// @brief Estimated quantile; 0 while there are too few samples.
  /// @param Probability 0.5, 0.9 or 0.99.
  [[nodiscard]] double quantile(double Probability) const;

private:
  struct State;
  std::unique_ptr<State> Data;
  mutable std::mutex Mutex;
};

/// @brief Holds the registered metrics and exports them in the Prometheus text
/// format; safe to use from any thread.
class MetricsRegistry {
public:
  using Reader = std::function<double()>;

  /// @brief Registers a value that never decreases.
  /// @param Name Metric name without labels.
  /// @param Labels Label list without braces, or empty.
  /// @param Read Called at each scrape, with the registry locked.
  void counter(std::string Name, std::string Labels, Reader Read);

  /// @brief Registers a value that may rise and fall.
  void gauge(std::string Name, std::string Labels, Reader Read);

  /// @brief Registers a summary; it lives as long as the registry.
  [[nodiscard]] Summary &summary(std::string Name, std::string Labels);

  /// @brief All metrics in the Prometheus text format.
  [[nodiscard]] std::string text() const;

private:
  struct Series {
    std::string Labels;
    Reader Read;
    std::unique_ptr<Summary> Distribution;
  };
  struct Family {
    std::string Type;
    std::vector<Series> SeriesList;
  };

  void add(std::string Name, std::string Type, Series Item);

  mutable std::mutex Mutex;
  std::map<std::string, Family> Families;
};

} // namespace jujubecart::core

#endif
