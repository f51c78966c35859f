#include "field_reader.h"

#include <optional>
#include <set>

#include "vanillalever/config/object_id.h"

namespace vanillalever::config {
namespace {

constexpr std::size_t kHashDigits = 64;
constexpr std::int64_t kMaxPort = 65535;

bool IsLabel(std::string_view text) {
  return !text.empty() && text.size() <= kMaxLabelBytes &&
         std::ranges::none_of(
             text, [](unsigned char c) { return c < ' ' || c == 0x7f; });
}

bool IsHash(std::string_view text) {
  return text.size() == kHashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsPort(std::string_view text) {
  if (text.empty() || text.size() > 5 ||
      text.find_first_not_of("0123456789") != std::string_view::npos)
    return false;
  int port = std::stoi(std::string(text));
  return port >= 1 && port <= kMaxPort;
}

bool IsAddress(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0 ||
      text.size() > kMaxLabelBytes)
    return false;
  std::string_view host = text.substr(0, colon);
  bool bracketed = host.front() == '[' && host.back() == ']';
  std::string_view allowed =
      bracketed ? "0123456789abcdefABCDEF:.[]"
                : "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                  "0123456789.-";
  return host.find_first_not_of(allowed) == std::string_view::npos &&
         IsPort(text.substr(colon + 1));
}

// Check and description of one string format.
struct FormatRule {
  bool (*matches)(std::string_view);
  std::string_view expected;
  // Whether an error message may quote the string. A token entered in place of
  // its hash must not reach a log.
  bool quotable;
};

// In the order of StringFormat.
constexpr FormatRule kFormatRules[] = {
    {&IsName,
     "a name of 1 to 63 lower-case letters, digits, '-', '_' or '.', starting "
     "with a letter or digit",
     true},
    {&IsLabel, "a text of 1 to 200 bytes without control characters", true},
    {&IsHash, "a SHA-256 hash of 64 lower-case hex digits", false},
    {&IsAddress, "an address host:port with a port from 1 to 65535", true},
};

// Integer value, or nullopt if `value` is not an integer or exceeds 64 bits.
std::optional<std::int64_t> ToInt64(const json& value) {
  if (value.is_number_unsigned() &&
      value.get<std::uint64_t>() > std::uint64_t{INT64_MAX})
    return std::nullopt;
  if (!value.is_number_integer())
    return std::nullopt;
  return value.get<std::int64_t>();
}

std::string RangeText(const Constraint& constraint) {
  return " from " + std::to_string(constraint.min) + " to " +
         std::to_string(constraint.max);
}

}  // namespace

void FieldReader::AddError(const std::string& path, std::string expected) {
  errors_.push_back({object_, path, std::move(expected)});
}

void FieldReader::Read(const json& value,
                       const std::string& path,
                       const Constraint& /*constraint*/,
                       bool& target) {
  if (value.is_boolean())
    target = value.get<bool>();
  else
    AddError(path, "true or false, found " + DescribeValue(value));
}

void FieldReader::Read(const json& value,
                       const std::string& path,
                       const Constraint& constraint,
                       std::int64_t& target) {
  std::optional<std::int64_t> number = ToInt64(value);
  if (number && *number >= constraint.min && *number <= constraint.max)
    target = *number;
  else
    AddError(path, "an integer" + RangeText(constraint) + ", found " +
                       DescribeValue(value));
}

void FieldReader::Read(const json& value,
                       const std::string& path,
                       const Constraint& constraint,
                       double& target) {
  double number = value.is_number() ? value.get<double>() : -1;
  if (value.is_number() && number >= static_cast<double>(constraint.min) &&
      number <= static_cast<double>(constraint.max))
    target = number;
  else
    AddError(path, "a number" + RangeText(constraint) + ", found " +
                       DescribeValue(value));
}

void FieldReader::Read(const json& value,
                       const std::string& path,
                       const Constraint& constraint,
                       std::chrono::milliseconds& target) {
  std::int64_t number = target.count();
  Read(value, path, constraint, number);
  target = std::chrono::milliseconds(number);
}

void FieldReader::Read(const json& value,
                       const std::string& path,
                       const Constraint& constraint,
                       std::string& target) {
  const FormatRule& rule =
      kFormatRules[static_cast<std::size_t>(constraint.format)];
  if (value.is_string() && rule.matches(value.get_ref<const std::string&>())) {
    target = value.get<std::string>();
    return;
  }
  std::string found = rule.quotable ? DescribeValue(value) : value.type_name();
  AddError(path, std::string(rule.expected) + ", found " + found);
}

void FieldReader::Read(const json& value,
                       const std::string& path,
                       const Constraint& /*constraint*/,
                       BudgetScope& target) {
  std::optional<BudgetScope> scope;
  if (value.is_string())
    scope = kBudgetScopeNames.value(value.get_ref<const std::string&>());
  if (scope)
    target = *scope;
  else
    AddError(path, "one of " + kBudgetScopeNames.joined() + ", found " +
                       DescribeValue(value));
}

void FieldReader::Read(const json& value,
                       const std::string& path,
                       const Constraint& /*constraint*/,
                       PoolKind& target) {
  std::optional<PoolKind> kind;
  if (value.is_string())
    kind = kPoolKindNames.value(value.get_ref<const std::string&>());
  if (kind)
    target = *kind;
  else
    AddError(path, "one of " + kPoolKindNames.joined() + ", found " +
                       DescribeValue(value));
}

bool FieldReader::RequireArray(const json& value,
                               const std::string& path,
                               const Constraint& constraint) {
  if (value.is_array() &&
      value.size() >= static_cast<std::size_t>(constraint.min) &&
      value.size() <= static_cast<std::size_t>(constraint.max))
    return true;
  std::string found = value.is_array()
                          ? std::to_string(value.size()) + " elements"
                          : DescribeValue(value);
  AddError(path, "a list of" + RangeText(constraint).substr(5) +
                     " elements, found " + found);
  return false;
}

std::size_t FieldReader::FirstDuplicate(const json& list) {
  std::set<json> seen;
  for (std::size_t i = 0; i < list.size(); ++i) {
    if (!seen.insert(list[i]).second)
      return i;
  }
  return list.size();
}

std::string FieldReader::Join(const std::string& path, std::string_view name) {
  return path.empty() ? std::string(name) : path + "." + std::string(name);
}

}  // namespace vanillalever::config
