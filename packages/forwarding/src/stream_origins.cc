#include "vanillalever/forwarding/stream_origins.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "vanillalever/base/logging.h"

namespace vanillalever::forwarding {
namespace {

using base::milliseconds;
using base::seconds;

constexpr const char* kVersionTable = "versions";
constexpr const char* kStreamTable = "streams";
// Longer than a caller tries to complete a stream.
constexpr seconds kRetention{30};
// A record that another gateway has just begun to write is found by a second
// read.
constexpr milliseconds kReadInterval{30};
constexpr int kMaxReads = 2;
// While no gateway reaches the store, no server of another version can have
// begun to serve; a store that is silent for this long counts as such.
constexpr milliseconds kConfirmTimeout{300};
constexpr std::size_t kMaxIdBytes = 128;
// Interval between the transactions of a gateway, for each live gateway: a
// partition of the store takes 200 transactions a second.
constexpr milliseconds kWriteInterval{7};
// The same after the store refused one.
constexpr milliseconds kOverloadDelay{1000};
// How long fewer expired rows than a transaction takes wait to be deleted.
constexpr seconds kMaxDeleteDelay{60};

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

RowName StreamRow(const std::string& request_id) {
  return {kStreamTable, kStreamTable, request_id};
}

RowName VersionRow(const std::string& service) {
  return {kVersionTable, "", service};
}

}  // namespace

StreamOrigins::StreamOrigins(boost::asio::io_context& context,
                             SharedTable& table,
                             ServerRegistry& registry,
                             const StoreView& store)
    : context_(context),
      table_(table),
      registry_(registry),
      store_(store),
      write_timer_(context) {}

void StreamOrigins::OnServersChanged() {
  for (const std::string& service : registry_.services()) {
    if (services_[service].known)
      ApplyRegistered(service);
    else
      ReadVersions(service);
  }
}

void StreamOrigins::ReadVersions(const std::string& service) {
  ServiceState& state = services_[service];
  if (std::exchange(state.busy, true))
    return;
  table_.Read(VersionRow(service), [this, service](const ReadResult& result) {
    OnVersionsRead(service, result);
  });
}

void StreamOrigins::OnVersionsRead(const std::string& service,
                                   const ReadResult& result) {
  services_[service].busy = false;
  ApplyRead(service, result);
}

void StreamOrigins::ApplyRead(const std::string& service,
                              const ReadResult& result) {
  if (result.outcome != StoreOutcome::kDone)
    return;
  services_[service].known = true;
  if (!result.rows.empty())
    ApplyStored(service, result.rows.front());
  ApplyRegistered(service);
}

void StreamOrigins::ApplyStored(const std::string& service,
                                const TableRow& row) {
  ServiceState& state = services_[service];
  state.row_version = row.version;
  auto stored = DecodeServedVersions(row.value);
  if (!stored) {
    base::LogEvent(base::LogLevel::kWarning, "stream_row_malformed",
                   {{"table", row.name.table}, {"key", row.name.key}});
  }
  state.stored = stored.value_or(ServedVersions());
  state.history.Merge(state.stored);
}

void StreamOrigins::ApplyRegistered(const std::string& service) {
  ServiceState& state = services_[service];
  bool was_sole = SoleVersion(service).has_value();
  state.history.Update(registry_.versions(service), NowMs());
  state.changed = state.history.versions() != state.stored;
  registry_.MarkVersionsStored(service, state.stored);
  if (was_sole && !SoleVersion(service))
    RecordRecent(service);
  if (state.changed)
    WriteVersions(service);
}

void StreamOrigins::WriteVersions(const std::string& service) {
  ServiceState& state = services_[service];
  if (std::exchange(state.busy, true))
    return;
  state.changed = false;
  ServedVersions versions = state.history.versions();
  TableWrite write;
  write.name = VersionRow(service);
  write.expected_version = state.row_version;
  write.value = EncodeServedVersions(versions);
  table_.Write(std::move(write),
               [this, service, versions](const WriteResult& result) {
                 OnVersionsWritten(service, versions, result);
               });
}

void StreamOrigins::OnVersionsWritten(const std::string& service,
                                      const ServedVersions& written,
                                      const WriteResult& result) {
  ServiceState& state = services_[service];
  state.busy = false;
  switch (result.outcome) {
    case StoreOutcome::kDone:
      state.row_version = result.version;
      state.stored = written;
      registry_.MarkVersionsStored(service, written);
      base::LogEvent(
          base::LogLevel::kInfo, "versions_stored",
          {{"service", service}, {"versions", std::to_string(written.size())}});
      if (state.changed)
        WriteVersions(service);
      return;
    case StoreOutcome::kConflict:
      state.row_version = 0;
      state.stored.clear();
      if (result.current)
        ApplyStored(service, *result.current);
      return ApplyRegistered(service);
    case StoreOutcome::kNotDone:
    case StoreOutcome::kUnknown:
      // Tick() repeats the write.
      state.changed = true;
      base::LogEvent(base::LogLevel::kWarning, "versions_write_failed",
                     {{"service", service}, {"reason", result.reason}});
      return;
  }
}

std::optional<std::string> StreamOrigins::SoleVersion(
    const std::string& service) const {
  auto found = services_.find(service);
  if (found == services_.end() || !found->second.known)
    return std::nullopt;
  return found->second.history.sole_version(NowMs());
}

void StreamOrigins::Record(const std::string& request_id,
                           StreamOrigin origin,
                           base::TimePoint give_up) {
  if (request_id.empty() || request_id.size() > kMaxIdBytes)
    return;
  auto [stream, added] = recent_.try_emplace(request_id);
  if (!added)
    return;
  recent_order_.push_back(request_id);
  bool sole = SoleVersion(origin.service).has_value();
  stream->second.origin = std::move(origin);
  stream->second.began_at = base::TimePoint::clock::now();
  stream->second.give_up = give_up;
  if (!sole)
    WriteOrigin(request_id, stream->second);
}

void StreamOrigins::WriteOrigin(const std::string& request_id,
                                RecentStream& stream) {
  stream.recorded = true;
  unwritten_.push_back(request_id);
  ScheduleWrite();
}

void StreamOrigins::ScheduleWrite() {
  if (unwritten_.empty() || std::exchange(write_scheduled_, true))
    return;
  base::Duration delay =
      kWriteInterval * static_cast<std::int64_t>(live_gateways_);
  if (store_overloaded_)
    delay = std::max<base::Duration>(delay, kOverloadDelay);
  write_timer_.expires_after(delay);
  write_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      WriteOrigins();
  });
}

void StreamOrigins::WriteOrigins() {
  auto now = base::TimePoint::clock::now();
  std::vector<std::string> request_ids;
  std::vector<TableWrite> writes;
  // The newest streams last longest.
  while (!unwritten_.empty() && writes.size() < SharedTable::kMaxWrites) {
    std::string request_id = std::move(unwritten_.back());
    unwritten_.pop_back();
    auto found = recent_.find(request_id);
    if (found == recent_.end() || found->second.give_up <= now)
      continue;
    writes.push_back(
        {StreamRow(request_id), 0, EncodeStreamOrigin(found->second.origin)});
    request_ids.push_back(std::move(request_id));
  }
  if (writes.empty()) {
    write_scheduled_ = false;
    return;
  }
  table_.Transact(std::move(writes),
                  [this, request_ids](const TransactionResult& result) {
                    OnOriginsWritten(request_ids, result);
                  });
}

void StreamOrigins::OnOriginsWritten(
    const std::vector<std::string>& request_ids,
    const TransactionResult& result) {
  write_scheduled_ = false;
  store_overloaded_ = result.outcome == StoreOutcome::kNotDone ||
                      result.outcome == StoreOutcome::kUnknown;
  if (result.outcome == StoreOutcome::kDone) {
    auto expires_at = base::TimePoint::clock::now() + kRetention;
    for (const std::string& request_id : request_ids)
      own_records_.push_back({request_id, result.version, expires_at});
  } else if (result.outcome == StoreOutcome::kConflict) {
    // A caller has used an id twice, or an earlier copy of the call was done:
    // the other streams are written without it.
    std::map<std::string, const TableRow*> present;
    for (const TableRow& row : result.current)
      present.emplace(row.name.key, &row);
    auto expires_at = base::TimePoint::clock::now() + kRetention;
    for (const std::string& request_id : request_ids) {
      auto row = present.find(request_id);
      auto recent = recent_.find(request_id);
      if (row == present.end())
        unwritten_.push_back(request_id);
      else if (recent != recent_.end() &&
               row->second->value == EncodeStreamOrigin(recent->second.origin))
        own_records_.push_back({request_id, row->second->version, expires_at});
    }
  } else {
    // Not repeated: these calls must not add to the load of the store.
    base::LogEvent(base::LogLevel::kWarning, "origins_not_recorded",
                   {{"streams", std::to_string(request_ids.size())},
                    {"first", request_ids.front()},
                    {"reason", result.reason}});
  }
  ScheduleWrite();
}

void StreamOrigins::RecordRecent(const std::string& service) {
  auto now = base::TimePoint::clock::now();
  for (auto& [request_id, stream] : recent_) {
    if (!stream.recorded && stream.give_up > now &&
        stream.origin.service == service)
      WriteOrigin(request_id, stream);
  }
}

void StreamOrigins::Find(const std::string& service,
                         const std::string& request_id,
                         base::TimePoint give_up,
                         FindCallback done) {
  if (auto found = recent_.find(request_id);
      found != recent_.end() && found->second.origin.service == service)
    return done(OriginLookup::kKnown, found->second.origin.version);
  auto lookup = std::make_shared<Lookup>(
      Lookup{service, request_id, give_up, std::move(done)});
  // Just after its start a gateway knows the servers, but has not yet read
  // which versions serve.
  bool unread =
      !services_[service].known && !registry_.versions(service).empty();
  if (!unread && !SoleVersion(service))
    return ReadOrigin(lookup);
  ConfirmSole(lookup);
  if (!lookup->confirmed)
    After(kConfirmTimeout, [this, lookup] { JudgeSole(lookup, false); });
}

void StreamOrigins::ConfirmSole(const std::shared_ptr<Lookup>& lookup) {
  JudgeSole(lookup, false);
  if (lookup->confirmed)
    return;
  if (base::TimePoint::clock::now() >= lookup->give_up) {
    lookup->confirmed = true;
    return lookup->done(OriginLookup::kUnavailable, "");
  }
  table_.Read(VersionRow(lookup->service),
              [this, lookup](const ReadResult& result) {
                ApplyRead(lookup->service, result);
                JudgeSole(lookup, result.outcome == StoreOutcome::kDone);
                if (!lookup->confirmed)
                  After(kReadInterval, [this, lookup] { ConfirmSole(lookup); });
              });
}

void StreamOrigins::JudgeSole(const std::shared_ptr<Lookup>& lookup,
                              bool row_read) {
  if (lookup->confirmed)
    return;
  auto knowledge = JudgeVersions(row_read, store_.store_lost(),
                                 store_.reached_by_silent_peer());
  if (knowledge == VersionKnowledge::kUnconfirmed)
    return;
  lookup->confirmed = true;
  if (knowledge == VersionKnowledge::kOutdated)
    return lookup->done(OriginLookup::kUnavailable, "");
  if (auto sole = SoleVersion(lookup->service))
    return lookup->done(OriginLookup::kKnown, *sole);
  ReadOrigin(lookup);
}

void StreamOrigins::After(base::Duration delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
  timer->async_wait(
      [timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
          action();
      });
}

void StreamOrigins::ReadOrigin(const std::shared_ptr<Lookup>& lookup) {
  if (lookup->request_id.empty() || lookup->request_id.size() > kMaxIdBytes)
    return lookup->done(OriginLookup::kUnknown, "");
  ++lookup->reads;
  table_.Read(StreamRow(lookup->request_id),
              [this, lookup](const ReadResult& result) {
                OnOriginRead(lookup, result);
              });
}

void StreamOrigins::OnOriginRead(const std::shared_ptr<Lookup>& lookup,
                                 const ReadResult& result) {
  bool responded = result.outcome == StoreOutcome::kDone;
  if (responded && !result.rows.empty()) {
    auto origin = DecodeStreamOrigin(result.rows.front().value);
    if (!origin) {
      base::LogEvent(base::LogLevel::kWarning, "stream_row_malformed",
                     {{"table", kStreamTable}, {"key", lookup->request_id}});
    }
    if (origin && origin->service == lookup->service)
      return lookup->done(OriginLookup::kKnown, origin->version);
    return lookup->done(OriginLookup::kUnknown, "");
  }
  if (responded && lookup->reads >= kMaxReads)
    return lookup->done(OriginLookup::kUnknown, "");
  if (base::TimePoint::clock::now() + kReadInterval >= lookup->give_up)
    return lookup->done(
        responded ? OriginLookup::kUnknown : OriginLookup::kUnavailable, "");
  After(kReadInterval, [this, lookup] { ReadOrigin(lookup); });
}

void StreamOrigins::Tick() {
  auto now = base::TimePoint::clock::now();
  while (!recent_order_.empty()) {
    auto oldest = recent_.find(recent_order_.front());
    if (oldest != recent_.end() && now - oldest->second.began_at < kRetention)
      break;
    if (oldest != recent_.end())
      recent_.erase(oldest);
    recent_order_.pop_front();
  }
  for (auto& [service, state] : services_) {
    if (!state.known)
      ReadVersions(service);
    else if (state.changed)
      WriteVersions(service);
  }
}

void StreamOrigins::DeleteExpired() {
  auto now = base::TimePoint::clock::now();
  std::vector<TableWrite> deletes;
  // Records are in the order of their expiry.
  for (const OwnRecord& record : own_records_) {
    if (record.expires_at > now || deletes.size() == SharedTable::kMaxWrites)
      break;
    deletes.push_back(
        {StreamRow(record.request_id), record.version, std::nullopt});
  }
  bool overdue = !deletes.empty() &&
                 own_records_.front().expires_at + kMaxDeleteDelay <= now;
  if (!overdue && deletes.size() < SharedTable::kMaxWrites)
    return;
  own_records_.erase(
      own_records_.begin(),
      own_records_.begin() + static_cast<std::ptrdiff_t>(deletes.size()));
  table_.Transact(std::move(deletes), [](const TransactionResult& result) {
    if (result.outcome != StoreOutcome::kDone)
      base::LogEvent(base::LogLevel::kWarning, "origin_delete_failed",
                     {{"reason", result.reason}});
  });
}

}  // namespace vanillalever::forwarding
