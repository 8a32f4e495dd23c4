#ifndef JUJUBECART_CORE_METRICS_HPP
#define JUJUBECART_CORE_METRICS_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jujubecart::core {

/// @brief Distribution of a value with quantiles; safe to use from any thread.
class Summary {
public:
  Summary();
  Summary(const Summary &) = delete;
  Summary &operator=(const Summary &) = delete;
  ~Summary();

  /// @brief Adds a sample.
  void add(double Sample) noexcept;

  /// @brief Number of samples.
  [[nodiscard]] std::uint64_t count() const noexcept;

  /// @brief Sum of all samples.
  [[nodiscard]] double sum() const noexcept;

  /// @brief Estimated quantile; one of 0.5, 0.9, 0.99.
  [[nodiscard]] double quantile(double Probability) const;

private:
  struct State;
  std::unique_ptr<State> Data;
  mutable std::mutex Mutex;
};

/// @brief Registers metrics and writes them in the Prometheus text format.
class MetricsRegistry {
public:
  using Reader = std::function<double()>;

  /// @brief Exports a value that only grows.
  /// @param Name Metric name, without labels.
  /// @param Labels Label list without braces, or empty.
  /// @param Read Called at each scrape.
  void counter(std::string Name, std::string Labels, Reader Read);

  /// @brief Exports a value that may fall.
  void gauge(std::string Name, std::string Labels, Reader Read);

  /// @brief Creates a summary owned by the registry.
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
    std::vector<Series> Members;
  };

  void add(std::string Name, std::string Type, Series Item);

  mutable std::mutex Mutex;
  std::map<std::string, Family> Families;
};

} // namespace jujubecart::core

#endif
