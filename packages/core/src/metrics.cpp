#include <jujubecart/core/metrics.hpp>

// extended_p_square_quantile.hpp of Boost 1.81 uses std::ostringstream without
// including this header.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace jujubecart::core {

namespace internal {

namespace acc = boost::accumulators;

// Probabilities tracked by the P-square estimator. It interpolates between
// neighbouring markers, so the marker at 0.999 limits the error at 0.99 from
// above.
constexpr std::array<double, 5> Markers{0.25, 0.5, 0.9, 0.99, 0.999};
constexpr std::array<double, 3> ExportedQuantiles{0.5, 0.9, 0.99};

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

// Label list in braces; empty if there are no labels.
std::string formatLabels(const std::string &Labels, const std::string &Extra) {
  std::string Joined = Labels;
  if (!Joined.empty() && !Extra.empty())
    Joined += ",";
  Joined += Extra;
  return Joined.empty() ? "" : "{" + Joined + "}";
}

} // namespace internal

struct Summary::State {
  internal::Accumulator Values{internal::acc::extended_p_square_probabilities =
                                   internal::Markers};
};

Summary::Summary() : Data(std::make_unique<State>()) {}

Summary::~Summary() = default;

void Summary::add(double Sample) noexcept {
  const std::lock_guard Lock(Mutex);
  Data->Values(Sample);
}

std::uint64_t Summary::count() const noexcept {
  const std::lock_guard Lock(Mutex);
  return internal::acc::count(Data->Values);
}

double Summary::sum() const noexcept {
  const std::lock_guard Lock(Mutex);
  return internal::acc::sum(Data->Values);
}

double Summary::quantile(double Probability) const {
  const std::lock_guard Lock(Mutex);
  // The estimator has 2 n + 3 internal markers for n probabilities, and is
  // undefined until each has a sample.
  if (internal::acc::count(Data->Values) < internal::Markers.size() * 2 + 3)
    return 0;
  return internal::acc::quantile(
      Data->Values, internal::acc::quantile_probability = Probability);
}

void MetricsRegistry::add(std::string Name, std::string Type, Series Item) {
  const std::lock_guard Lock(Mutex);
  Family &Metric = Families[std::move(Name)];
  Metric.Type = std::move(Type);
  Metric.SeriesList.push_back(std::move(Item));
}

void MetricsRegistry::counter(std::string Name, std::string Labels,
                              Reader Read) {
  add(std::move(Name), "counter",
      Series{.Labels = std::move(Labels), .Read = std::move(Read)});
}

void MetricsRegistry::gauge(std::string Name, std::string Labels, Reader Read) {
  add(std::move(Name), "gauge",
      Series{.Labels = std::move(Labels), .Read = std::move(Read)});
}

Summary &MetricsRegistry::summary(std::string Name, std::string Labels) {
  auto Distribution = std::make_unique<Summary>();
  Summary &Created = *Distribution;
  add(std::move(Name), "summary",
      Series{.Labels = std::move(Labels),
             .Distribution = std::move(Distribution)});
  return Created;
}

std::string MetricsRegistry::text() const {
  const std::lock_guard Lock(Mutex);
  std::ostringstream Out;
  Out.precision(15);
  for (const auto &[Name, Metric] : Families) {
    Out << "# TYPE " << Name << ' ' << Metric.Type << '\n';
    for (const Series &Item : Metric.SeriesList) {
      if (Item.Distribution == nullptr) {
        Out << Name << internal::formatLabels(Item.Labels, "") << ' '
            << Item.Read() << '\n';
        continue;
      }
      for (const double Probability : internal::ExportedQuantiles) {
        std::ostringstream Quantile;
        Quantile << "quantile=\"" << Probability << '"';
        Out << Name << internal::formatLabels(Item.Labels, Quantile.str())
            << ' ' << Item.Distribution->quantile(Probability) << '\n';
      }
      const std::string Labels = internal::formatLabels(Item.Labels, "");
      Out << Name << "_sum" << Labels << ' ' << Item.Distribution->sum() << '\n'
          << Name << "_count" << Labels << ' ' << Item.Distribution->count()
          << '\n';
    }
  }
  return Out.str();
}

} // namespace jujubecart::core
