#include "vanillalever/program/program_id.h"

#include <algorithm>
#include <charconv>
#include <system_error>

#include "vanillalever/base/error.h"
#include "vanillalever/base/hash.h"

namespace vanillalever::program {

namespace {

constexpr std::size_t kHashHexDigits = 32;

// The length prefix makes ("ab", "c") and ("a", "bc") hash differently.
std::string HashKey(std::string_view organisation, std::string_view key) {
  std::string text = std::to_string(organisation.size());
  text += ':';
  text += organisation;
  text += key;
  return base::Hash128Hex(text);
}

bool IsHash(std::string_view text) {
  return text.size() == kHashHexDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

[[noreturn]] void ThrowInvalidId(std::string_view text) {
  throw base::NotRunError(
      base::ErrorCode::kInvalidRequest, base::Step::kParse,
      "program id '" + std::string(text.substr(0, 64)) +
          "' is not <shard>.<32 lower-case hex digits> with a shard below " +
          std::to_string(kShardCount));
}

}  // namespace

ProgramId::ProgramId(std::uint32_t shard, std::string_view hash)
    : shard_(shard), text_(std::to_string(shard)) {
  text_ += '.';
  text_ += hash;
}

ProgramId ProgramId::ForRoot(std::string_view organisation,
                             std::string_view key) {
  std::string hash = HashKey(organisation, key);
  auto shard = static_cast<std::uint32_t>(base::Hash64(hash) % kShardCount);
  return {shard, hash};
}

ProgramId ProgramId::ForChild(const ProgramId& parent,
                              std::string_view organisation,
                              std::string_view key) {
  return {parent.shard(), HashKey(organisation, key)};
}

ProgramId ProgramId::Parse(std::string_view text) {
  std::size_t dot = text.find('.');
  if (dot == std::string_view::npos)
    ThrowInvalidId(text);
  std::string_view number = text.substr(0, dot);
  std::string_view hash = text.substr(dot + 1);
  std::uint32_t shard = 0;
  const char* end = number.data() + number.size();
  auto [rest, error] = std::from_chars(number.data(), end, shard);
  bool canonical = error == std::errc() && rest == end &&
                   (number.size() == 1 || number.front() != '0');
  if (!canonical || shard >= kShardCount || !IsHash(hash))
    ThrowInvalidId(text);
  return {shard, hash};
}

}  // namespace vanillalever::program
