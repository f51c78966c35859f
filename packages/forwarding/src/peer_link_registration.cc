// Registration of gateways in the shared table, by which they find each other.

#include <utility>

#include "vanillalever/base/hash.h"
#include "vanillalever/forwarding/peer_link.h"
#include "vanillalever/http/address.h"

namespace vanillalever::forwarding {
namespace {

constexpr const char* kGatewayTable = "gateways";

}  // namespace

void PeerLink::Register() {
  TableWrite write;
  write.name = {kGatewayTable, "", settings_.address};
  write.value = base::HexString(id_);
  table_.Write(std::move(write), [this](const WriteResult& result) {
    // An existing row belongs to an earlier process at this address that did
    // not stop gracefully.
    if (result.outcome == StoreOutcome::kDone)
      previous_exit_ = PreviousExit::kClean;
    if (result.outcome == StoreOutcome::kConflict) {
      // The row is this process's own if an earlier attempt took effect.
      bool own =
          result.current && result.current->value == base::HexString(id_);
      previous_exit_ = own ? PreviousExit::kClean : PreviousExit::kFailure;
    }
  });
}

void PeerLink::List() {
  next_list_ =
      base::TimePoint::clock::now() +
      (listed_ ? settings_.list_interval : settings_.first_list_interval);
  if (previous_exit_ == PreviousExit::kUnknown)
    Register();
  table_.List(kGatewayTable, "",
              [this](const ReadResult& result) { OnListed(result); });
}

void PeerLink::OnListed(const ReadResult& result) {
  if (result.outcome != StoreOutcome::kDone)
    return;
  if (!std::exchange(listed_, true))
    next_list_ = base::TimePoint::clock::now() + settings_.list_interval;
  auto now = base::TimePoint::clock::now();
  for (const TableRow& row : result.rows) {
    if (row.name.key != settings_.address && http::ParseAddress(row.name.key))
      directory_.AddAddress(row.name.key, now);
  }
  SendFullLoad();
}

void PeerLink::Unregister() {
  table_.Read({kGatewayTable, "", settings_.address},
              [this](const ReadResult& read) {
                if (read.outcome != StoreOutcome::kDone || read.rows.empty())
                  return;
                TableWrite write;
                write.name = {kGatewayTable, "", settings_.address};
                write.expected_version = read.rows.front().version;
                table_.Write(std::move(write), [](const WriteResult&) {});
              });
}

}  // namespace vanillalever::forwarding
