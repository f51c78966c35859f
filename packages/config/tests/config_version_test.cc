#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "sample_objects.h"
#include "vanillalever/base/error.h"
#include "vanillalever/config/config_holder.h"
#include "vanillalever/config/config_version.h"
#include "vanillalever/config/token_verifier.h"

namespace vanillalever::config {
namespace {

ConfigBody Body(std::int64_t number, ConfigSet set) {
  ConfigBody body;
  body.version.number = number;
  body.version.author = "ana";
  body.version.reason = "test";
  body.version.time = UtcTimestamp();
  body.version.token = "t";
  body.version.diff = Compare(ConfigSet(), set);
  body.version.body_hash = set.BodyHash();
  body.set = std::move(set);
  return body;
}

std::shared_ptr<const ConfigBody> Shared(std::int64_t number, ConfigSet set) {
  return std::make_shared<ConfigBody>(Body(number, std::move(set)));
}

// Guards against rows that another process cannot read back.
TEST_CASE("rows round-trip through their encoding") {
  ConfigHead head{12, "00ff", "t"};
  CHECK(DecodeHead(EncodeHead(head)) == head);
  ConfigBody body = Body(3, SampleSet());
  ConfigBody decoded = DecodeBody(EncodeBody(body));
  CHECK(decoded.version == body.version);
  CHECK(decoded.set == body.set);
  CHECK(BodyKey(3) == "config/v/3");
}

// Guards against a corrupt row that takes effect.
TEST_CASE("corrupt rows are rejected") {
  std::string text = EncodeBody(Body(3, SampleSet()));
  std::string other = text;
  other.replace(other.find("\"tokens\":200"), 12, "\"tokens\":201");
  CHECK_THROWS_AS(DecodeBody(other), base::Error);
  CHECK_THROWS_AS(DecodeBody(text.substr(0, text.size() - 1)), base::Error);
  CHECK_THROWS_AS(DecodeHead("{\"version\":\"1\"}"), base::Error);
  CHECK_THROWS_AS(DecodeHead("[]"), base::Error);
}

// Guards against reverting to an older configuration.
TEST_CASE("the holder rejects lower and contradictory versions") {
  ConfigHolder holder;
  CHECK(holder.current() == nullptr);
  CHECK(holder.number() == 0);
  CHECK(holder.Offer(Shared(0, ConfigSet())) == OfferResult::kOlder);
  CHECK(holder.Offer(Shared(2, SampleSet())) == OfferResult::kAccepted);
  CHECK(holder.Offer(Shared(2, SampleSet())) == OfferResult::kUnchanged);
  CHECK(holder.Offer(Shared(2, ConfigSet())) == OfferResult::kMismatch);
  CHECK(holder.Offer(Shared(1, SampleSet())) == OfferResult::kOlder);
  CHECK(holder.number() == 2);
  CHECK(holder.Offer(Shared(5, ConfigSet())) == OfferResult::kAccepted);
  CHECK(holder.current()->set.empty());
}

// Guards against a race in which a reader observes a decreasing version.
TEST_CASE("concurrent offers never lower the version") {
  constexpr std::int64_t kVersions = 500;
  ConfigHolder holder;
  std::atomic<bool> reverted = false;
  auto offer = [&holder](std::int64_t first) {
    for (std::int64_t i = first; i <= kVersions; i += 2)
      holder.Offer(Shared(i, ConfigSet()));
  };
  std::thread odd(offer, 1);
  std::thread even(offer, 2);
  std::thread reader([&] {
    std::int64_t seen = 0;
    while (seen < kVersions) {
      std::int64_t number = holder.number();
      if (number < seen)
        reverted = true;
      seen = number;
    }
  });
  odd.join();
  even.join();
  reader.join();
  CHECK_FALSE(reverted);
}

// Guards against a caller acting for another organisation.
TEST_CASE("a token identifies its organisation only") {
  ConfigSet set = SampleSet();
  set.Put(
      Organisation{"south", {HashToken("old"), HashToken("new")}, {}, "total"});
  TokenVerifier verifier(set);
  CHECK(verifier.Verify("token") == "north");
  CHECK(verifier.Verify("old") == "south");
  CHECK(verifier.Verify("new") == "south");
  CHECK_FALSE(verifier.Verify("").has_value());
  CHECK_FALSE(verifier.Verify("tokeN").has_value());
  CHECK_FALSE(verifier.Verify(HashToken("token")).has_value());
  // Published SHA-256 test vector.
  CHECK(HashToken("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace vanillalever::config
