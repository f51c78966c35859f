#ifndef VANILLALEVER_MEMBERSHIP_INSTANCE_VIEW_H_
#define VANILLALEVER_MEMBERSHIP_INSTANCE_VIEW_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/name_table.h"

namespace vanillalever::membership {

enum class InstanceState {
  kLive,     // may receive new work
  kLeaving,  // finishes its work and receives no new work
  kDead,     // not listed and silent, or silent for long
};

inline constexpr base::NameTable<InstanceState, 3> kInstanceStateNames({
    "live",
    "leaving",
    "dead",
});

// One instance in the platform's list.
struct ListedInstance {
  // Address of the sidecar, "ip:port".
  std::string address;
  std::string data_centre;
  // Service or pool that the instance serves.
  std::string service;
  bool leaving = false;
};

// A sidecar's own word about itself.
struct SidecarReport {
  std::string address;
  std::string incarnation;
  bool leaving = false;
};

struct InstanceViewSettings {
  // How long a sidecar may be silent before it counts as dead.
  base::Duration report_timeout = base::seconds(10);
  // How long the list's word "leaving" outweighs the same incarnation's own
  // word that it serves. Gives the sidecar time to learn that it must leave;
  // afterwards its own word wins, because the list may speak of a predecessor.
  base::Duration listed_leaving_hold = base::seconds(3);
  // How long an instance must be missing from the list, and silent, before its
  // incarnation counts as gone. Longer than the list's lag, and long enough
  // for one list with a gap.
  base::Duration removal_delay = base::seconds(30);
};

// Which instances may receive work, merged from the lagging instance list and
// from the sidecars' own reports. Not thread-safe.
class InstanceView {
 public:
  explicit InstanceView(InstanceViewSettings settings);

  // The instance list was read. `sent` is when the read was sent; a response
  // that is older than one already used is ignored.
  void OnListRead(const std::vector<ListedInstance>& list,
                  base::TimePoint sent,
                  base::TimePoint now);

  // A sidecar reported. `sent` is when the report was asked for; an answer
  // that is older than one already used is ignored, as is one of an
  // incarnation that was replaced. A sidecar that said it was leaving stays
  // leaving until another incarnation reports from the same address.
  void OnReport(const SidecarReport& word,
                base::TimePoint sent,
                base::TimePoint now);

  InstanceState state(const std::string& address, base::TimePoint now) const;

  // Whether new work may be sent to the address.
  bool AcceptsWork(const std::string& address, base::TimePoint now) const {
    return state(address, now) == InstanceState::kLive;
  }

  // The incarnation that reported last from the address; nothing before the
  // first report.
  std::optional<std::string> incarnation(const std::string& address) const;

  // Whether that run of the sidecar has ended for certain: another incarnation
  // reported from its address later, or the list has not named the address for
  // `removal_delay` while it was silent. Silence alone proves nothing: the
  // sidecar may be paused.
  bool IncarnationEnded(const std::string& address,
                        const std::string& incarnation,
                        base::TimePoint now) const;

  // Instances of a service that are live, in order of address. An empty
  // service names all.
  std::vector<ListedInstance> live(const std::string& service,
                                   base::TimePoint now) const;

  // Forgets instances that are neither listed nor have reported for ten times
  // `removal_delay`.
  void Prune(base::TimePoint now);

 private:
  struct Instance {
    ListedInstance listed;
    // Whether the latest list names the instance.
    bool in_list = false;
    // When a list last named the instance; unset if none has.
    std::optional<base::TimePoint> listed_at;
    // When the list began to say "leaving"; unset while it does not.
    std::optional<base::TimePoint> leaving_since;
    // The latest own word, and when it was asked for and arrived.
    std::optional<SidecarReport> word;
    base::TimePoint word_sent;
    base::TimePoint word_arrived;
    // When the present incarnation first reported.
    base::TimePoint incarnation_since;
    // Earlier incarnations that reported from this address.
    std::set<std::string> replaced;
  };

  bool ListSaysLeaving(const Instance& instance) const;
  InstanceState Judge(const Instance& instance, base::TimePoint now) const;

  InstanceViewSettings settings_;
  std::optional<base::TimePoint> list_sent_;
  std::map<std::string, Instance> instances_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_INSTANCE_VIEW_H_
