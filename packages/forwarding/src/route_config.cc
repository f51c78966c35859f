#include "vanillalever/forwarding/route_config.h"

#include "vanillalever/base/hash.h"

namespace vanillalever::forwarding {
namespace {

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

const Route* RouteConfig::Match(std::string_view host,
                                std::string_view path) const {
  host = WithoutPort(host);
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host == host && path.starts_with(route.prefix) &&
        (best == nullptr || route.prefix.size() > best->prefix.size()))
      best = &route;
  }
  return best;
}

const std::string& RouteConfig::ChooseService(const Route& route,
                                              std::string_view key) const {
  double sum = 0;
  for (const RouteTarget& target : route.targets)
    sum += target.weight;
  double point = static_cast<double>(base::Hash64(key) >> 11) * 0x1.0p-53 * sum;
  for (const RouteTarget& target : route.targets) {
    if (point < target.weight)
      return target.service;
    point -= target.weight;
  }
  return route.targets.back().service;
}

const organisation::Organisation* RouteConfig::OrganisationOf(
    const organisation::Credential& credential) const {
  auto index = keys.Find(credential);
  return index ? &organisations[*index] : nullptr;
}

}  // namespace vanillalever::forwarding
