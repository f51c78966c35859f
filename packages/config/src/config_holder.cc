#include "vanillalever/config/config_holder.h"

#include <utility>

namespace vanillalever::config {

OfferResult ConfigHolder::Offer(std::shared_ptr<const ConfigBody> body) {
  std::lock_guard lock(mutex_);
  std::int64_t current_number = current_ ? current_->version.number : 0;
  std::int64_t offered_number = body->version.number;
  if (current_ && offered_number == current_number)
    return body->version.body_hash == current_->version.body_hash
               ? OfferResult::kUnchanged
               : OfferResult::kMismatch;
  if (offered_number <= current_number)
    return OfferResult::kOlder;
  current_ = std::move(body);
  return OfferResult::kAccepted;
}

std::shared_ptr<const ConfigBody> ConfigHolder::current() const {
  std::lock_guard lock(mutex_);
  return current_;
}

std::int64_t ConfigHolder::number() const {
  std::lock_guard lock(mutex_);
  return current_ ? current_->version.number : 0;
}

}  // namespace vanillalever::config
