#include <catch2/catch.hpp>

#include "vanillalever/organisation/revocation_policy.h"

namespace vanillalever::organisation {
namespace {

using base::milliseconds;

constexpr base::BootTime kStart{std::chrono::hours(1)};
constexpr RevocationSettings kSettings{
    .bound = milliseconds(5000),
    .send_time = milliseconds(400),
    .notice_time = milliseconds(2000),
};

// Guards against a request that reaches its server after the bound, on the word
// of a view that was confirmed before the key was taken away.
TEST_CASE("a key is accepted until the bound less the way to the server") {
  RevocationPolicy policy(kSettings);
  CHECK(policy.MaySend(kStart, kStart));
  CHECK(policy.MaySend(kStart, kStart + milliseconds(4600)));
  CHECK_FALSE(policy.MaySend(kStart, kStart + milliseconds(4601)));
  CHECK_FALSE(policy.MaySend(kStart, kStart + std::chrono::hours(10)));
  CHECK_FALSE(policy.MaySend(std::nullopt, kStart));
}

// Guards against callers that are sent to a gateway that is about to refuse
// them.
TEST_CASE("callers are told before the gateway refuses") {
  RevocationPolicy policy(kSettings);
  CHECK(policy.MayInvite(kStart, kStart + milliseconds(2600)));
  CHECK_FALSE(policy.MayInvite(kStart, kStart + milliseconds(2601)));
  CHECK(policy.MaySend(kStart, kStart + milliseconds(2601)));
  CHECK_FALSE(policy.MayInvite(std::nullopt, kStart));
}

// Guards against refusals where the deployment states no bound.
TEST_CASE("without a bound every view is accepted") {
  RevocationPolicy policy;
  CHECK(policy.MaySend(std::nullopt, kStart));
  CHECK(policy.MaySend(kStart, kStart + std::chrono::hours(10)));
  CHECK(policy.MayInvite(std::nullopt, kStart));
}

}  // namespace
}  // namespace vanillalever::organisation
