#ifndef VANILLALEVER_PROGRAM_PROGRAM_ID_H_
#define VANILLALEVER_PROGRAM_PROGRAM_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace vanillalever::program {

// Number of shards. Ids contain the shard, so a change affects only programs
// that are created afterwards.
inline constexpr std::uint32_t kShardCount = 64;

// Identifier of a program, written `<shard>.<hash>`. The hash covers the
// organisation and the caller's key, as 32 lower-case hex digits.
class ProgramId {
 public:
  // Creates an empty id, which is not a valid one.
  ProgramId() = default;

  // Returns the id of a program without a parent; its shard is derived from the
  // hash.
  static ProgramId ForRoot(std::string_view organisation, std::string_view key);

  // Returns the id of a sub-agent's program, which is in its parent's shard.
  static ProgramId ForChild(const ProgramId& parent,
                            std::string_view organisation,
                            std::string_view key);

  // Accepts only the canonical form; throws base::Error (kInvalidRequest at
  // kParse).
  static ProgramId Parse(std::string_view text);

  // Shard number, below kShardCount.
  std::uint32_t shard() const { return shard_; }
  // Text form, for example "12.0123456789abcdef0123456789abcdef".
  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }

  auto operator<=>(const ProgramId& other) const {
    return text_ <=> other.text_;
  }
  bool operator==(const ProgramId& other) const { return text_ == other.text_; }

 private:
  ProgramId(std::uint32_t shard, std::string_view hash);

  std::uint32_t shard_ = 0;
  std::string text_;
};

struct ProgramIdHash {
  std::size_t operator()(const ProgramId& id) const {
    return std::hash<std::string>()(id.text());
  }
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_PROGRAM_ID_H_
