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
  kLeaving,  // draining: finishes its work and receives no new work
  kDead,     // reports have stopped, or neither listed nor reporting
};

inline constexpr base::NameTable<InstanceState, 3> kInstanceStateNames({
    "live",
    "leaving",
    "dead",
});

// One entry of the platform's instance list.
struct ListedInstance {
  // Address of the sidecar, "ip:port".
  std::string address;
  std::string data_centre;
  // Service or pool that the instance belongs to.
  std::string service;
  bool leaving = false;
};

// Status that a sidecar reports about itself.
struct SidecarReport {
  std::string address;
  std::string incarnation;
  bool leaving = false;
};

struct InstanceViewSettings {
  // Time without a report after which a sidecar counts as dead.
  base::Duration report_timeout = base::seconds(10);
  // How long "leaving" in the list overrides reports of the same incarnation
  // that it serves. Gives the sidecar time to learn that it must leave;
  // afterwards its own report wins, because the list may refer to an earlier
  // incarnation.
  base::Duration listed_leaving_hold = base::seconds(3);
  // How long an instance must be missing from the list, without a report,
  // before its incarnation counts as ended. Longer than the lag of the list,
  // and long enough to tolerate one list that omits the instance.
  base::Duration removal_delay = base::seconds(30);
};

// Tracks which instances may receive work, based on the lagging instance list
// and on the sidecars' own reports. Not thread-safe.
class InstanceView {
 public:
  explicit InstanceView(InstanceViewSettings settings);

  // Applies an instance list. `sent_at` is when its read was sent; a list that
  // was requested before the last applied one is ignored.
  void OnListRead(const std::vector<ListedInstance>& list,
                  base::TimePoint sent_at,
                  base::TimePoint now);

  // Applies a sidecar's report. `sent_at` is when the report was requested; a
  // report that was requested before the last applied one is ignored, as is
  // one of a replaced incarnation. A sidecar that has reported that it is
  // leaving stays leaving until another incarnation reports from the same
  // address.
  void OnReport(const SidecarReport& report,
                base::TimePoint sent_at,
                base::TimePoint now);

  InstanceState state(const std::string& address, base::TimePoint now) const;

  // Whether new work may be sent to the address.
  bool AcceptsWork(const std::string& address, base::TimePoint now) const {
    return state(address, now) == InstanceState::kLive;
  }

  // The incarnation that last reported from the address, or nullopt before the
  // first report.
  std::optional<std::string> incarnation(const std::string& address) const;

  // Whether this incarnation of the sidecar has certainly ended: another
  // incarnation reported from its address later, or for `removal_delay` the
  // address was not listed and sent no report. Missing reports alone prove
  // nothing, since the sidecar may be paused.
  bool IncarnationEnded(const std::string& address,
                        const std::string& incarnation,
                        base::TimePoint now) const;

  // Live instances of a service, or of all services if `service` is empty,
  // ordered by address.
  std::vector<ListedInstance> live(const std::string& service,
                                   base::TimePoint now) const;

  // Removes instances that for ten times `removal_delay` were not listed and
  // sent no report.
  void Prune(base::TimePoint now);

 private:
  struct Instance {
    ListedInstance listed;
    // Whether the latest list contains the instance.
    bool in_list = false;
    // When a list last contained the instance; unset if none has.
    std::optional<base::TimePoint> last_listed_at;
    // Since when the list shows the instance as leaving; unset if it does not.
    std::optional<base::TimePoint> listed_leaving_since;
    // The latest report, and when it was requested and received.
    std::optional<SidecarReport> report;
    base::TimePoint report_requested_at;
    base::TimePoint report_received_at;
    // When the current incarnation first reported.
    base::TimePoint incarnation_first_seen;
    // Earlier incarnations that reported from this address.
    std::set<std::string> replaced_incarnations;
  };

  bool ListedAsLeaving(const Instance& instance) const;
  InstanceState ComputeState(const Instance& instance,
                             base::TimePoint now) const;

  InstanceViewSettings settings_;
  std::optional<base::TimePoint> last_list_sent_at_;
  std::map<std::string, Instance> instances_;
};

}  // namespace vanillalever::membership

#endif  // VANILLALEVER_MEMBERSHIP_INSTANCE_VIEW_H_
