#include "vanillalever/membership/instance_view.h"

#include <utility>

namespace vanillalever::membership {

InstanceView::InstanceView(InstanceViewSettings settings)
    : settings_(settings) {}

void InstanceView::OnListRead(const std::vector<ListedInstance>& list,
                              base::TimePoint sent,
                              base::TimePoint now) {
  if (list_sent_ && sent < *list_sent_)
    return;
  list_sent_ = sent;
  std::set<std::string> named;
  for (const ListedInstance& listed : list) {
    named.insert(listed.address);
    Instance& instance = instances_[listed.address];
    instance.listed = listed;
    instance.in_list = true;
    instance.listed_at = now;
    if (!listed.leaving)
      instance.leaving_since.reset();
    else if (!instance.leaving_since)
      instance.leaving_since = now;
  }
  for (auto& [address, instance] : instances_) {
    if (named.count(address) == 0)
      instance.in_list = false;
  }
}

void InstanceView::OnReport(const SidecarReport& word,
                            base::TimePoint sent,
                            base::TimePoint now) {
  Instance& instance = instances_[word.address];
  instance.listed.address = word.address;
  if (instance.replaced.count(word.incarnation) > 0)
    return;
  if (instance.word && sent < instance.word_sent)
    return;
  bool same = instance.word && instance.word->incarnation == word.incarnation;
  bool was_leaving = same && instance.word->leaving;
  if (!same) {
    if (instance.word)
      instance.replaced.insert(instance.word->incarnation);
    instance.incarnation_since = now;
  }
  instance.word = word;
  instance.word->leaving = word.leaving || was_leaving;
  instance.word_sent = sent;
  instance.word_arrived = now;
}

InstanceState InstanceView::state(const std::string& address,
                                  base::TimePoint now) const {
  auto it = instances_.find(address);
  return it == instances_.end() ? InstanceState::kDead : Judge(it->second, now);
}

std::optional<std::string> InstanceView::incarnation(
    const std::string& address) const {
  auto it = instances_.find(address);
  if (it == instances_.end() || !it->second.word)
    return std::nullopt;
  return it->second.word->incarnation;
}

bool InstanceView::IncarnationEnded(const std::string& address,
                                    const std::string& incarnation,
                                    base::TimePoint now) const {
  auto it = instances_.find(address);
  if (it == instances_.end())
    return false;
  const Instance& instance = it->second;
  if (instance.replaced.count(incarnation) > 0)
    return true;
  if (instance.in_list || !instance.listed_at)
    return false;
  bool silent =
      !instance.word || now - instance.word_arrived >= settings_.removal_delay;
  return silent && now - *instance.listed_at >= settings_.removal_delay;
}

std::vector<ListedInstance> InstanceView::live(const std::string& service,
                                               base::TimePoint now) const {
  std::vector<ListedInstance> found;
  for (const auto& [address, instance] : instances_) {
    if (!service.empty() && instance.listed.service != service)
      continue;
    if (Judge(instance, now) == InstanceState::kLive)
      found.push_back(instance.listed);
  }
  return found;
}

void InstanceView::Prune(base::TimePoint now) {
  std::erase_if(instances_, [this, now](const auto& item) {
    const Instance& instance = item.second;
    base::Duration limit = 10 * settings_.removal_delay;
    bool silent = !instance.word || now - instance.word_arrived >= limit;
    bool unlisted = !instance.listed_at || now - *instance.listed_at >= limit;
    return !instance.in_list && silent && unlisted;
  });
}

bool InstanceView::ListSaysLeaving(const Instance& instance) const {
  if (!instance.leaving_since)
    return false;
  if (!instance.word)
    return true;
  // An incarnation that began to report later is not the one the list means.
  if (instance.incarnation_since > *instance.leaving_since)
    return false;
  return instance.word_sent <
         *instance.leaving_since + settings_.listed_leaving_hold;
}

InstanceState InstanceView::Judge(const Instance& instance,
                                  base::TimePoint now) const {
  bool heard = instance.word.has_value();
  bool silent =
      heard && now - instance.word_arrived >= settings_.report_timeout;
  if (silent || (!heard && !instance.in_list))
    return InstanceState::kDead;
  if (heard && instance.word->leaving)
    return InstanceState::kLeaving;
  return ListSaysLeaving(instance) ? InstanceState::kLeaving
                                   : InstanceState::kLive;
}

}  // namespace vanillalever::membership
