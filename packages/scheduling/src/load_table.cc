#include "vanillalever/scheduling/load_table.h"

namespace vanillalever::scheduling {

LoadTable::LoadTable(std::size_t servers,
                     base::TimePoint now,
                     LoadTableSettings settings)
    : settings_(settings) {
  for (std::size_t i = 0; i < servers; ++i) {
    auto server = std::make_unique<Server>();
    server->candidate.server = static_cast<ServerIndex>(i);
    server->candidate.service_rate = settings_.initial_rate;
    server->reported_at = now;
    servers_.push_back(std::move(server));
  }
}

void LoadTable::OnReport(ServerIndex index,
                         const LoadReport& report,
                         base::TimePoint now) {
  Server& server = *servers_.at(index);
  std::lock_guard lock(server.mutex);
  Candidate& candidate = server.candidate;
  candidate.backlog_tokens = report.backlog_tokens;
  // A server that has not worked yet reports no rate.
  if (report.service_rate > 0)
    candidate.service_rate = report.service_rate;
  candidate.slowness = report.slowness;
  candidate.kv_cache_usage = report.kv_cache_usage;
  candidate.leaving = report.leaving;
  server.reported_at = now;
  base::TimePoint measured_at = now - settings_.report_delay;
  while (!server.unreported_sends.empty() &&
         server.unreported_sends.front().time < measured_at) {
    candidate.sent_tokens -= server.unreported_sends.front().work;
    server.unreported_sends.pop_front();
  }
  if (server.unreported_sends.empty())
    candidate.sent_tokens = 0;
}

void LoadTable::OnSend(ServerIndex index, double work, base::TimePoint now) {
  Server& server = *servers_.at(index);
  std::lock_guard lock(server.mutex);
  server.unreported_sends.push_back({.time = now, .work = work});
  server.candidate.sent_tokens += work;
  ++server.candidate.open_calls;
}

void LoadTable::OnEnd(ServerIndex index) {
  Server& server = *servers_.at(index);
  std::lock_guard lock(server.mutex);
  if (server.candidate.open_calls > 0)
    --server.candidate.open_calls;
}

void LoadTable::SetDistance(ServerIndex index, base::Duration distance) {
  Server& server = *servers_.at(index);
  std::lock_guard lock(server.mutex);
  server.candidate.distance = distance;
}

void LoadTable::SetQuarantined(ServerIndex index, bool quarantined) {
  Server& server = *servers_.at(index);
  std::lock_guard lock(server.mutex);
  server.candidate.quarantined = quarantined;
}

void LoadTable::SetLeaving(ServerIndex index, bool leaving) {
  Server& server = *servers_.at(index);
  std::lock_guard lock(server.mutex);
  server.candidate.leaving = leaving;
}

void LoadTable::Candidates(base::TimePoint now,
                           std::vector<Candidate>* out) const {
  out->clear();
  for (const std::unique_ptr<Server>& server : servers_) {
    std::lock_guard lock(server->mutex);
    out->push_back(server->candidate);
    out->back().report_age = now - server->reported_at;
  }
}

}  // namespace vanillalever::scheduling
