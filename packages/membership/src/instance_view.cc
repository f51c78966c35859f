#include "vanillalever/membership/instance_view.h"

#include <utility>

namespace vanillalever::membership {

InstanceView::InstanceView(InstanceViewSettings settings)
    : settings_(settings) {}

void InstanceView::OnListRead(const std::vector<ListedInstance>& list,
                              base::TimePoint sent_at,
                              base::TimePoint now) {
  if (last_list_sent_at_ && sent_at < *last_list_sent_at_)
    return;
  last_list_sent_at_ = sent_at;
  std::set<std::string> listed_addresses;
  for (const ListedInstance& listed : list) {
    listed_addresses.insert(listed.address);
    Instance& instance = instances_[listed.address];
    instance.listed = listed;
    instance.in_list = true;
    instance.last_listed_at = now;
    if (!listed.leaving)
      instance.listed_leaving_since.reset();
    else if (!instance.listed_leaving_since)
      instance.listed_leaving_since = now;
  }
  for (auto& [address, instance] : instances_) {
    if (listed_addresses.count(address) == 0)
      instance.in_list = false;
  }
}

void InstanceView::OnReport(const SidecarReport& report,
                            base::TimePoint sent_at,
                            base::TimePoint now) {
  Instance& instance = instances_[report.address];
  instance.listed.address = report.address;
  if (instance.replaced_incarnations.count(report.incarnation) > 0)
    return;
  if (instance.report && sent_at < instance.report_requested_at)
    return;
  bool same =
      instance.report && instance.report->incarnation == report.incarnation;
  bool was_leaving = same && instance.report->leaving;
  if (!same) {
    if (instance.report)
      instance.replaced_incarnations.insert(instance.report->incarnation);
    instance.incarnation_first_seen = now;
  }
  instance.report = report;
  instance.report->leaving = report.leaving || was_leaving;
  instance.report_requested_at = sent_at;
  instance.report_received_at = now;
}

InstanceState InstanceView::state(const std::string& address,
                                  base::TimePoint now) const {
  auto it = instances_.find(address);
  return it == instances_.end() ? InstanceState::kDead
                                : ComputeState(it->second, now);
}

std::optional<std::string> InstanceView::incarnation(
    const std::string& address) const {
  auto it = instances_.find(address);
  if (it == instances_.end() || !it->second.report)
    return std::nullopt;
  return it->second.report->incarnation;
}

bool InstanceView::IncarnationEnded(const std::string& address,
                                    const std::string& incarnation,
                                    base::TimePoint now) const {
  auto it = instances_.find(address);
  if (it == instances_.end())
    return false;
  const Instance& instance = it->second;
  if (instance.replaced_incarnations.count(incarnation) > 0)
    return true;
  if (instance.in_list || !instance.last_listed_at)
    return false;
  bool silent = !instance.report ||
                now - instance.report_received_at >= settings_.removal_delay;
  return silent && now - *instance.last_listed_at >= settings_.removal_delay;
}

std::vector<ListedInstance> InstanceView::live(const std::string& service,
                                               base::TimePoint now) const {
  std::vector<ListedInstance> live_instances;
  for (const auto& [address, instance] : instances_) {
    if (!service.empty() && instance.listed.service != service)
      continue;
    if (ComputeState(instance, now) == InstanceState::kLive)
      live_instances.push_back(instance.listed);
  }
  return live_instances;
}

void InstanceView::Prune(base::TimePoint now) {
  std::erase_if(instances_, [this, now](const auto& item) {
    const Instance& instance = item.second;
    base::Duration limit = 10 * settings_.removal_delay;
    bool silent =
        !instance.report || now - instance.report_received_at >= limit;
    bool unlisted =
        !instance.last_listed_at || now - *instance.last_listed_at >= limit;
    return !instance.in_list && silent && unlisted;
  });
}

bool InstanceView::ListedAsLeaving(const Instance& instance) const {
  if (!instance.listed_leaving_since)
    return false;
  if (!instance.report)
    return true;
  // The list refers to an earlier incarnation if this one first reported after
  // the list showed the instance as leaving.
  if (instance.incarnation_first_seen > *instance.listed_leaving_since)
    return false;
  return instance.report_requested_at <
         *instance.listed_leaving_since + settings_.listed_leaving_hold;
}

InstanceState InstanceView::ComputeState(const Instance& instance,
                                         base::TimePoint now) const {
  bool has_report = instance.report.has_value();
  bool silent = has_report &&
                now - instance.report_received_at >= settings_.report_timeout;
  if (silent || (!has_report && !instance.in_list))
    return InstanceState::kDead;
  if (has_report && instance.report->leaving)
    return InstanceState::kLeaving;
  return ListedAsLeaving(instance) ? InstanceState::kLeaving
                                   : InstanceState::kLive;
}

}  // namespace vanillalever::membership
