#ifndef VANILLALEVER_PROGRAM_PROGRAM_ID_H_
#define VANILLALEVER_PROGRAM_PROGRAM_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace vanillalever::program {

// Number of shards. Ids contain the shard, so changing it keeps existing
// programs where they are and only moves new ones.
inline constexpr std::uint32_t kShardCount = 64;

// Identifier of a program, written `<shard>.<hash>`, where the hash covers the
// organisation and the caller's key (32 lower-case hex digits).
class ProgramId {
 public:
  // Not a valid id; only for members that are filled later.
  ProgramId() = default;

  // Id of a program without a parent; the shard follows from the hash.
  static ProgramId ForRoot(std::string_view organisation, std::string_view key);

  // Id of a sub-agent's program, placed in the shard of its parent.
  static ProgramId ForChild(const ProgramId& parent,
                            std::string_view organisation,
                            std::string_view key);

  // Strict parse; throws base::Error (kInvalidRequest at kParse).
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

  // Shard number.
  std::uint32_t shard_ = 0;
  // Text form.
  std::string text_;
};

// Hash for unordered containers.
struct ProgramIdHash {
  std::size_t operator()(const ProgramId& id) const {
    return std::hash<std::string>()(id.text());
  }
};

}  // namespace vanillalever::program

#endif  // VANILLALEVER_PROGRAM_PROGRAM_ID_H_
