#include "vanillalever/base/counters.h"

namespace vanillalever::base {

Counter& CounterRegistry::counter(std::string_view name,
                                  std::string_view help,
                                  std::string_view labels) {
  return FindOrCreate(name, help, labels, MetricType::kCounter);
}

Counter& CounterRegistry::gauge(std::string_view name,
                                std::string_view help,
                                std::string_view labels) {
  return FindOrCreate(name, help, labels, MetricType::kGauge);
}

Counter& CounterRegistry::FindOrCreate(std::string_view name,
                                       std::string_view help,
                                       std::string_view labels,
                                       MetricType type) {
  std::lock_guard lock(mutex_);
  auto [family, created] = families_.try_emplace(std::string(name));
  if (created) {
    family->second.type = type;
    family->second.help = help;
  }
  auto& series = family->second.series;
  if (auto found = series.find(labels); found != series.end())
    return *found->second;
  auto [entry, inserted] =
      series.emplace(std::string(labels), std::make_unique<Counter>());
  return *entry->second;
}

std::string CounterRegistry::Render() const {
  std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [name, family] : families_) {
    text += "# HELP " + name + " " + family.help + "\n";
    text += "# TYPE " + name;
    text += family.type == MetricType::kCounter ? " counter\n" : " gauge\n";
    for (const auto& [labels, counter] : family.series) {
      text += name;
      if (!labels.empty())
        text += "{" + labels + "}";
      text += " " + std::to_string(counter->value()) + "\n";
    }
  }
  return text;
}

}  // namespace vanillalever::base
