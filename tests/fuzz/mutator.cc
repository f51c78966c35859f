#include "mutator.h"

#include <algorithm>
#include <utility>

namespace vanillalever::fuzz {
namespace {

constexpr std::size_t kMaxInputBytes = 64 << 10;

}  // namespace

Mutator::Mutator(std::vector<std::string> samples,
                 std::vector<std::string> tokens,
                 std::uint64_t seed)
    : samples_(std::move(samples)), tokens_(std::move(tokens)), random_(seed) {}

std::string Mutator::Next() {
  std::string input = samples_[random_.Below(samples_.size())];
  if (random_.Below(8) == 0)
    return input;
  for (std::uint64_t left = 1 + random_.Below(6); left > 0; --left)
    Change(&input);
  input.resize(std::min(input.size(), kMaxInputBytes));
  return input;
}

void Mutator::Change(std::string* input) {
  std::size_t at = random_.Below(input->size() + 1);
  std::size_t length =
      std::min<std::size_t>(random_.Below(32) + 1, input->size() - at);
  switch (random_.Below(7)) {
    case 0:
      if (at < input->size())
        (*input)[at] = static_cast<char>(random_.Below(256));
      return;
    case 1:
      input->erase(at, length);
      return;
    case 2: {
      std::string copy = input->substr(at, length);
      for (std::uint64_t left = random_.Below(64); left > 0; --left)
        input->insert(at, copy);
      return;
    }
    case 3:
      if (!tokens_.empty())
        input->insert(at, tokens_[random_.Below(tokens_.size())]);
      return;
    case 4:
      if (at < input->size())
        (*input)[at] =
            static_cast<char>((*input)[at] ^ (1 << random_.Below(8)));
      return;
    case 5:
      input->resize(at);
      return;
    default: {
      const std::string& other = samples_[random_.Below(samples_.size())];
      input->replace(at, length, other.substr(random_.Below(other.size() + 1)));
    }
  }
}

}  // namespace vanillalever::fuzz
