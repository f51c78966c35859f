#include "vanillalever/forwarding/budget_row.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "vanillalever/base/hash.h"

namespace vanillalever::forwarding {
namespace {

constexpr int kHexadecimal = 16;

std::optional<BudgetShare> ParseShare(std::string_view text) {
  BudgetShare share;
  const char* end = text.data() + text.size();
  auto [run_end, run_error] =
      std::from_chars(text.data(), end, share.run, kHexadecimal);
  if (run_error != std::errc() || run_end == end || *run_end != '=')
    return std::nullopt;
  auto [tokens_end, tokens_error] =
      std::from_chars(run_end + 1, end, share.tokens);
  if (tokens_error != std::errc())
    return std::nullopt;
  share.claimed = tokens_end != end && *tokens_end == '!';
  return share;
}

}  // namespace

const BudgetShare* BudgetRow::Find(RunId run) const {
  auto found = std::find_if(
      shares.begin(), shares.end(),
      [run](const BudgetShare& share) { return share.run == run; });
  return found == shares.end() ? nullptr : &*found;
}

void BudgetRow::Add(RunId run, std::int64_t tokens, bool claimed) {
  reserved = std::max<std::int64_t>(0, reserved + tokens);
  BudgetShare share{run, tokens, claimed};
  if (const BudgetShare* found = Find(run)) {
    share.tokens += found->tokens;
    share.claimed |= found->claimed;
    shares.erase(shares.begin() + (found - shares.data()));
  }
  shares.push_back(share);
  if (shares.size() > kMaxShares)
    shares.erase(shares.begin());
}

std::string EncodeBudgetRow(const BudgetRow& row) {
  std::string text = std::to_string(row.reserved);
  for (const BudgetShare& share : row.shares) {
    text += " " + base::HexString(share.run) + "=" +
            std::to_string(share.tokens) + (share.claimed ? "!" : "");
  }
  return text;
}

BudgetRow ParseBudgetRow(std::string_view text, std::uint64_t version) {
  BudgetRow row;
  row.version = version;
  std::from_chars(text.data(), text.data() + text.size(), row.reserved);
  while (!text.empty()) {
    std::size_t end = std::min(text.find(' '), text.size());
    if (auto share = ParseShare(text.substr(0, end));
        share && row.shares.size() < BudgetRow::kMaxShares)
      row.shares.push_back(*share);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return row;
}

}  // namespace vanillalever::forwarding
