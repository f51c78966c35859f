#include "vanillalever/program/program_codec.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>

#include "row_reader.h"
#include "vanillalever/base/error.h"
#include "vanillalever/base/hash.h"

namespace vanillalever::program {

namespace {

using nlohmann::json;

// Written to all rows; rows of any other version are refused.
constexpr std::uint32_t kRowFormatVersion = 1;
// Maximum elapsed time in a row (100 years); keeps the conversion to the
// clock's nanoseconds in range.
constexpr std::int64_t kMaxElapsedMs = 100LL * 365 * 24 * 3600 * 1000;

constexpr std::string_view kProgramPrefix = "prog/";

[[noreturn]] void ThrowInvalidKey(std::string_view key) {
  throw base::NotRunError(base::ErrorCode::kInvalidRequest, base::Step::kParse,
                          "not the key of a program's row",
                          std::string(key.substr(0, 128)));
}

// Removes the text up to and including the next slash from `rest` and returns
// it without the slash.
std::string_view ConsumeSegment(std::string_view& rest) {
  std::size_t slash = rest.find('/');
  std::string_view segment = rest.substr(0, slash);
  rest = slash == std::string_view::npos ? std::string_view()
                                         : rest.substr(slash + 1);
  return segment;
}

void CheckFormatVersion(RowReader& reader) {
  if (reader.Unsigned32("format") != kRowFormatVersion)
    reader.Fail("unknown format");
}

json EncodeBudget(const BudgetSnapshot& budget) {
  return {{"limit", budget.limit},
          {"spent", budget.spent},
          {"held", budget.held},
          {"shared", budget.shared}};
}

BudgetSnapshot DecodeBudget(const json& value, std::string_view key) {
  RowReader reader(value, key);
  BudgetSnapshot budget;
  budget.limit = reader.Amount("limit");
  budget.spent = reader.Amount("spent", budget.limit);
  budget.held = reader.Amount("held", budget.limit - budget.spent);
  budget.shared =
      reader.Amount("shared", budget.limit - budget.spent - budget.held);
  reader.Finish();
  return budget;
}

json EncodeOpenTurn(const OpenTurn& open) {
  const AttemptTarget& target = open.intent.target;
  return {{"turn", open.call.turn},
          {"fingerprint", open.call.fingerprint},
          {"pool", open.call.pool},
          {"operation", open.call.operation},
          {"worst_case_cost", open.call.worst_case_cost},
          {"attempt", open.intent.attempt},
          {"reservation", open.intent.reservation},
          {"server", target.server},
          {"sidecar_incarnation", target.sidecar_incarnation},
          {"fence", target.fence},
          {"work_token", target.work_token},
          {"holds_cache", target.holds_cache}};
}

OpenTurn DecodeOpenTurn(const json& value,
                        const BudgetSnapshot& budget,
                        std::string_view key) {
  RowReader reader(value, key);
  OpenTurn open;
  open.call.turn = reader.Unsigned32("turn");
  open.call.fingerprint = reader.String("fingerprint");
  open.call.pool = reader.String("pool");
  open.call.operation = reader.String("operation");
  open.call.worst_case_cost = reader.Amount("worst_case_cost");
  open.call.repeatable = false;
  open.intent.attempt = reader.Unsigned32("attempt");
  open.intent.reservation = reader.Amount("reservation", budget.held);
  AttemptTarget& target = open.intent.target;
  target.server = reader.String("server");
  target.sidecar_incarnation = reader.String("sidecar_incarnation");
  target.fence = reader.Unsigned64("fence");
  target.work_token = reader.String("work_token");
  target.holds_cache = reader.Bool("holds_cache");
  reader.Finish();
  if (open.intent.attempt == 0)
    reader.Fail("attempts are numbered from 1");
  return open;
}

json EncodeHolders(const std::set<CacheHolder>& holders) {
  json list = json::array();
  for (const CacheHolder& holder : holders) {
    list.push_back({{"server", holder.server},
                    {"sidecar_incarnation", holder.sidecar_incarnation}});
  }
  return list;
}

std::set<CacheHolder> DecodeHolders(const json& list, std::string_view key) {
  std::set<CacheHolder> holders;
  for (const json& value : list) {
    RowReader reader(value, key);
    CacheHolder holder;
    holder.server = reader.String("server");
    holder.sidecar_incarnation = reader.String("sidecar_incarnation");
    reader.Finish();
    if (!holders.insert(std::move(holder)).second)
      reader.Fail("a cache holder occurs twice");
  }
  return holders;
}

// Children must be in the parent's shard, and their shares must add up to the
// allocated amount.
std::map<ProgramId, std::int64_t> DecodeChildren(const json& object,
                                                 const ProgramHead& head,
                                                 std::string_view key) {
  std::map<ProgramId, std::int64_t> children;
  RowReader reader(object, key);
  std::int64_t remaining = head.budget.shared;
  for (const auto& [name, unused] : object.items()) {
    ProgramId child = ProgramId::Parse(name);
    std::int64_t share = reader.Amount(name.c_str(), remaining);
    remaining -= share;
    if (child.shard() != head.spec.id.shard() || child == head.spec.id)
      reader.Fail("a child is not in the program's shard");
    children.emplace(std::move(child), share);
  }
  if (remaining != 0)
    reader.Fail("the children's shares do not add up");
  return children;
}

// The id must match the organisation, key and parent, so that a row copied from
// another program is refused.
ProgramSpec DecodeSpec(RowReader& reader, const ProgramId& id) {
  ProgramSpec spec;
  spec.id = id;
  spec.incarnation = reader.String("incarnation");
  spec.organisation = reader.String("organisation");
  spec.program_class = reader.String("class");
  spec.key = reader.String("key");
  std::string parent = reader.String("parent");
  if (!parent.empty())
    spec.parent = ProgramId::Parse(parent);
  ProgramId expected =
      spec.parent.empty()
          ? ProgramId::ForRoot(spec.organisation, spec.key)
          : ProgramId::ForChild(spec.parent, spec.organisation, spec.key);
  if (expected != id || spec.parent == id)
    reader.Fail("the row belongs to another program");
  if (spec.incarnation.empty())
    reader.Fail("the incarnation is empty");
  return spec;
}

std::string EncodeHex(std::string_view bytes) {
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (char c : bytes)
    hex += base::HexString(static_cast<unsigned char>(c), 2);
  return hex;
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

std::string DecodeHex(const std::string& hex, const RowReader& reader) {
  std::string bytes;
  if (hex.size() % 2 != 0)
    reader.Fail("body_hex has an odd length");
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    int high = HexDigit(hex[i]);
    int low = HexDigit(hex[i + 1]);
    if (high < 0 || low < 0)
      reader.Fail("body_hex is not hex");
    bytes += static_cast<char>(high * 16 + low);
  }
  return bytes;
}

// The strings that identify a program are UTF-8, which ProgramShard::Create()
// checks. In other strings invalid bytes are replaced, because one program's
// strings must not make a group commit fail.
std::string SerializeRow(const json& row) {
  return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string ProgramCodec::ShardPrefix(std::uint32_t shard) {
  return std::string(kProgramPrefix) + std::to_string(shard) + "/";
}

std::string ProgramCodec::ProgramPrefix(const ProgramId& id) {
  return ShardPrefix(id.shard()) + id.text() + "/";
}

std::string ProgramCodec::HeadKey(const ProgramId& id) {
  return ProgramPrefix(id) + "head";
}

std::string ProgramCodec::TurnKey(const ProgramId& id, std::uint32_t turn) {
  return ProgramPrefix(id) + "t/" + std::to_string(turn);
}

std::string ProgramCodec::ObjectName(const ProgramId& id,
                                     std::string_view incarnation,
                                     std::uint32_t turn) {
  return ProgramPrefix(id) + std::string(incarnation) + "/t/" +
         std::to_string(turn);
}

ProgramRowKey ProgramCodec::ParseKey(std::string_view key) {
  std::string_view rest = key;
  if (rest.substr(0, kProgramPrefix.size()) != kProgramPrefix)
    ThrowInvalidKey(key);
  rest.remove_prefix(kProgramPrefix.size());
  std::string_view shard = ConsumeSegment(rest);
  ProgramRowKey parsed;
  parsed.id = ProgramId::Parse(ConsumeSegment(rest));
  if (shard != std::to_string(parsed.id.shard()))
    ThrowInvalidKey(key);
  if (rest == "head")
    return parsed;
  if (ConsumeSegment(rest) != "t")
    ThrowInvalidKey(key);
  std::uint32_t turn = 0;
  const char* end = rest.data() + rest.size();
  auto [stop, error] = std::from_chars(rest.data(), end, turn);
  if (error != std::errc() || stop != end || rest != std::to_string(turn) ||
      turn == 0)
    ThrowInvalidKey(key);
  parsed.turn = turn;
  return parsed;
}

bool ProgramCodec::IsStorable(std::string_view text) {
  try {
    json(text).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

std::string ProgramCodec::EncodeHead(const ProgramHead& head) {
  json children = json::object();
  for (const auto& [child, share] : head.children)
    children[child.text()] = share;
  json row = {{"format", kRowFormatVersion},
              {"incarnation", head.spec.incarnation},
              {"organisation", head.spec.organisation},
              {"class", head.spec.program_class},
              {"key", head.spec.key},
              {"parent", head.spec.parent.text()},
              {"state", kProgramStateNames.name(head.state)},
              {"last_turn", head.last_turn},
              {"elapsed_ms", head.elapsed.count()},
              {"budget", EncodeBudget(head.budget)},
              {"holders", EncodeHolders(head.holders)},
              {"children", std::move(children)},
              {"share_returned", head.share_returned}};
  if (head.open)
    row["open"] = EncodeOpenTurn(*head.open);
  return SerializeRow(row);
}

ProgramHead ProgramCodec::DecodeHead(std::string_view key,
                                     std::string_view value) {
  ProgramRowKey parsed = ParseKey(key);
  if (parsed.turn)
    ThrowInvalidKey(key);
  json row = RowReader::ParseText(value, key);
  RowReader reader(row, key);
  CheckFormatVersion(reader);
  ProgramHead head;
  head.spec = DecodeSpec(reader, parsed.id);
  head.state = reader.Enum("state", kProgramStateNames);
  head.last_turn = reader.Unsigned32("last_turn");
  head.elapsed = base::milliseconds(reader.Amount("elapsed_ms", kMaxElapsedMs));
  head.budget = DecodeBudget(reader.Object("budget"), key);
  head.spec.budget = head.budget.limit;
  head.holders = DecodeHolders(reader.Array("holders"), key);
  head.children = DecodeChildren(reader.Object("children"), head, key);
  head.share_returned = reader.Bool("share_returned");
  if (reader.Has("open"))
    head.open = DecodeOpenTurn(reader.Object("open"), head.budget, key);
  reader.Finish();
  bool last = head.last_turn == std::numeric_limits<std::uint32_t>::max();
  if (head.open && (last || head.open->call.turn != head.last_turn + 1))
    reader.Fail("the open turn does not follow the last turn");
  bool final_state = head.state != ProgramState::kRunning;
  if (head.share_returned && (!final_state || head.open))
    reader.Fail("the budget was returned before the program was settled");
  return head;
}

std::string ProgramCodec::EncodeTurn(const TurnRecord& record,
                                     std::string_view incarnation) {
  const Answer& answer = record.answer;
  json row = {{"format", kRowFormatVersion},
              {"incarnation", incarnation},
              {"turn", record.turn},
              {"fingerprint", record.fingerprint},
              {"pool", record.pool},
              {"operation", record.operation},
              {"outcome", kTurnOutcomeNames.name(answer.outcome)},
              {"input_tokens", answer.input_tokens},
              {"output_tokens", answer.output_tokens},
              {"cost", answer.cost}};
  if (!answer.object.empty()) {
    row["object"] = answer.object;
    return SerializeRow(row);
  }
  row["body"] = answer.body;
  try {
    return row.dump();
  } catch (const json::type_error&) {
    // The body is not UTF-8.
    row.erase("body");
    row["body_hex"] = EncodeHex(answer.body);
    return SerializeRow(row);
  }
}

TurnRecord ProgramCodec::DecodeTurn(std::string_view key,
                                    std::string_view value,
                                    std::string_view incarnation) {
  ProgramRowKey parsed = ParseKey(key);
  if (!parsed.turn)
    ThrowInvalidKey(key);
  json row = RowReader::ParseText(value, key);
  RowReader reader(row, key);
  CheckFormatVersion(reader);
  if (reader.String("incarnation") != incarnation)
    reader.Fail("the row belongs to another incarnation of the program");
  TurnRecord record;
  record.turn = reader.Unsigned32("turn");
  if (record.turn != *parsed.turn)
    reader.Fail("the row belongs to another turn");
  record.fingerprint = reader.String("fingerprint");
  record.pool = reader.String("pool");
  record.operation = reader.String("operation");
  Answer& answer = record.answer;
  answer.outcome = reader.Enum("outcome", kTurnOutcomeNames);
  answer.input_tokens = reader.Amount("input_tokens");
  answer.output_tokens = reader.Amount("output_tokens");
  answer.cost = reader.Amount("cost");
  if (reader.Has("object")) {
    answer.object = reader.String("object");
    if (answer.object.empty())
      reader.Fail("object is empty");
  } else if (reader.Has("body_hex")) {
    answer.body = DecodeHex(reader.String("body_hex"), reader);
  } else {
    answer.body = reader.String("body");
  }
  reader.Finish();
  if (answer.body.size() > kMaxInlineBodyBytes)
    reader.Fail("the body is too long");
  return record;
}

ProgramChange ProgramCodec::EncodeChange(const ProgramCommit& commit) {
  const ProgramSpec& spec = commit.head.spec;
  ProgramChange change;
  change.id = spec.id;
  change.head_key = HeadKey(spec.id);
  change.expected_version = commit.expected_version;
  change.writes.push_back({change.head_key, EncodeHead(commit.head)});
  for (const TurnRecord& record : commit.turns) {
    change.writes.push_back(
        {TurnKey(spec.id, record.turn), EncodeTurn(record, spec.incarnation)});
  }
  return change;
}

Program ProgramCodec::Recover(const std::vector<StoredRow>& rows,
                              base::TimePoint now,
                              OwnershipEnd ownership_end) {
  const StoredRow* head_row = nullptr;
  for (const StoredRow& row : rows) {
    if (ParseKey(row.key).turn)
      continue;
    if (head_row != nullptr)
      ThrowInvalidKey(row.key);
    head_row = &row;
  }
  if (head_row == nullptr) {
    throw base::NotRunError(base::ErrorCode::kNotFound, base::Step::kParse,
                            "the program has no head row");
  }
  ProgramHead head = DecodeHead(head_row->key, head_row->value);
  std::vector<TurnRecord> turns;
  for (const StoredRow& row : rows) {
    if (&row == head_row)
      continue;
    if (ParseKey(row.key).id != head.spec.id)
      ThrowInvalidKey(row.key);
    turns.push_back(DecodeTurn(row.key, row.value, head.spec.incarnation));
  }
  return Program::Recover(head, std::move(turns), head_row->version, now,
                          ownership_end);
}

}  // namespace vanillalever::program
