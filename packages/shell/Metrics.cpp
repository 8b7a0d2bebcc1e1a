#include "shell/Metrics.h"

// Boost.Accumulators needs this header and does not include it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <variant>

namespace pimento {

namespace {

namespace acc = boost::accumulators;

using Distribution =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};

Distribution makeDistribution() {
  return Distribution(acc::extended_p_square_probabilities = Quantiles);
}

struct Counter {
  double Value = 0;
};
struct Gauge {
  double Value = 0;
};
using Series = std::variant<Counter, Gauge, Distribution>;

Series makeSeries(SampleKind Kind) {
  switch (Kind) {
  case SampleKind::Counter:
    return Counter();
  case SampleKind::Gauge:
    return Gauge();
  case SampleKind::Distribution:
    break;
  }
  return makeDistribution();
}

/// Records one value in a series. The kind of a metric name never changes.
struct Add {
  double Value;
  void operator()(Counter &S) const { S.Value += Value; }
  void operator()(Gauge &S) const { S.Value = Value; }
  void operator()(Distribution &S) const { S(Value); }
};

std::string labelled(const std::string &Name, const std::string &Label) {
  return Label.empty() ? Name : Name + "{" + Label + "}";
}

/// Writes one series in the Prometheus text format.
struct Write {
  std::ostream &OS;
  const std::string &Name;
  const std::string &Label;

  void operator()(const Counter &S) const { plain(S.Value); }
  void operator()(const Gauge &S) const { plain(S.Value); }
  void operator()(const Distribution &S) const {
    std::string Prefix = Label.empty() ? "" : Label + ",";
    std::size_t Index = 0;
    for (double Q : Quantiles) {
      OS << Name << '{' << Prefix << "quantile=\"" << Q << "\"} "
         << acc::extended_p_square(S)[Index++] << '\n';
    }
    OS << labelled(Name + "_sum", Label) << ' ' << acc::sum(S) << '\n';
    OS << labelled(Name + "_count", Label) << ' ' << acc::count(S) << '\n';
  }
  void plain(double Value) const {
    OS << labelled(Name, Label) << ' ' << Value << '\n';
  }
};

const char *typeOf(const Series &S) {
  constexpr const char *Names[] = {"counter", "gauge", "summary"};
  return Names[S.index()];
}

} // namespace

struct Metrics::Impl {
  // By metric name, then by label.
  std::map<std::string, std::map<std::string, Series>> Families;
};

Metrics::Metrics() : Data(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::record(const MetricSample &Sample) {
  auto &Family = Data->Families[Sample.Name];
  auto Found = Family.find(Sample.Label);
  if (Found == Family.end())
    Found = Family.emplace(Sample.Label, makeSeries(Sample.Kind)).first;
  std::visit(Add{Sample.Value}, Found->second);
}

std::string Metrics::text() const {
  std::ostringstream OS;
  OS.precision(9);
  for (const auto &[Name, Family] : Data->Families) {
    OS << "# TYPE " << Name << ' ' << typeOf(Family.begin()->second) << '\n';
    for (const auto &[Label, S] : Family)
      std::visit(Write{OS, Name, Label}, S);
  }
  return OS.str();
}

} // namespace pimento
