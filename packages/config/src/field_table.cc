#include "field_table.h"

namespace vanillalever::config {
namespace {

// The sum of a few thousand budgets fits in 64 bits.
constexpr std::int64_t kMaxTokens = 1'000'000'000'000'000;
// 30 days. A longer duration is most likely given in a wrong unit.
constexpr std::int64_t kMaxDurationMs = std::int64_t{30} * 24 * 3600 * 1000;
constexpr std::int64_t kMaxTurns = 1'000'000;
constexpr std::int64_t kMaxTokensPerCall = 10'000'000;
constexpr std::int64_t kMaxRank = 1000;
constexpr std::int64_t kMaxServersPerPool = 10'000;
// Ten times what light in fibre takes for half the earth's circumference.
constexpr std::int64_t kMaxDistanceMs = 1000;
// Bounds the cost of validating one object.
constexpr std::int64_t kMaxListLength = 1000;

constexpr bool kRequired = true;
constexpr bool kOptional = false;

constexpr Constraint kNameString{0, 0, StringFormat::kName};
constexpr Constraint kNameList{0, kMaxListLength, StringFormat::kName};

}  // namespace

template <>
std::span<const FieldSpec<Organisation>> FieldTable() {
  static constexpr FieldSpec<Organisation> kFields[] = {
      {"name", kRequired, &Organisation::name, kNameString},
      {"token_hashes",
       kRequired,
       &Organisation::token_hashes,
       {1, kMaxListLength, StringFormat::kHash}},
      {"classes", kRequired, &Organisation::classes, kNameList},
      {"budget", kRequired, &Organisation::budget, kNameString},
  };
  return kFields;
}

template <>
std::span<const FieldSpec<Limits>> FieldTable() {
  static constexpr FieldSpec<Limits> kFields[] = {
      {"turns", kRequired, &Limits::turns, {1, kMaxTurns}},
      {"elapsed_ms", kRequired, &Limits::elapsed, {1, kMaxDurationMs}},
      {"spend_tokens", kRequired, &Limits::spend_tokens, {1, kMaxTokens}},
  };
  return kFields;
}

template <>
std::span<const FieldSpec<ProgramClass>> FieldTable() {
  static constexpr FieldSpec<ProgramClass> kFields[] = {
      {"name", kRequired, &ProgramClass::name, kNameString},
      {"organisation", kRequired, &ProgramClass::organisation, kNameString},
      {"priority", kRequired, &ProgramClass::priority, kNameString},
      {"pools", kRequired, &ProgramClass::pools, kNameList},
      {"default_budget", kRequired, &ProgramClass::default_budget, kNameString},
      {"limits", kRequired, &ProgramClass::limits, {}},
      {"short_work", kOptional, &ProgramClass::short_work, {}},
      {"expected_tokens",
       kOptional,
       &ProgramClass::expected_tokens,
       {0, kMaxTokens}},
      {"default_deadline_ms",
       kRequired,
       &ProgramClass::default_deadline,
       {1, kMaxDurationMs}},
  };
  return kFields;
}

template <>
std::span<const FieldSpec<Budget>> FieldTable() {
  static constexpr FieldSpec<Budget> kFields[] = {
      {"name", kRequired, &Budget::name, kNameString},
      {"scope", kRequired, &Budget::scope, {}},
      {"tokens", kRequired, &Budget::tokens, {1, kMaxTokens}},
  };
  return kFields;
}

template <>
std::span<const FieldSpec<Operation>> FieldTable() {
  static constexpr FieldSpec<Operation> kFields[] = {
      {"name", kRequired, &Operation::name, kNameString},
      {"repeatable", kRequired, &Operation::repeatable, {}},
      {"cost_tokens",
       kOptional,
       &Operation::cost_tokens,
       {0, kMaxTokensPerCall}},
      {"deadline_ms", kOptional, &Operation::deadline, {0, kMaxDurationMs}},
  };
  return kFields;
}

template <>
std::span<const FieldSpec<PoolServer>> FieldTable() {
  static constexpr FieldSpec<PoolServer> kFields[] = {
      {"address",
       kRequired,
       &PoolServer::address,
       {0, 0, StringFormat::kAddress}},
      {"data_centre", kRequired, &PoolServer::data_centre, kNameString},
  };
  return kFields;
}

template <>
std::span<const FieldSpec<Pool>> FieldTable() {
  static constexpr FieldSpec<Pool> kFields[] = {
      {"name", kRequired, &Pool::name, kNameString},
      {"place", kRequired, &Pool::place, kNameString},
      {"type", kRequired, &Pool::kind, {}},
      {"servers", kOptional, &Pool::servers, {0, kMaxServersPerPool}},
      {"service", kOptional, &Pool::service, kNameString},
      {"expected_servers",
       kOptional,
       &Pool::expected_servers,
       {0, kMaxServersPerPool}},
      {"operations", kRequired, &Pool::operations, {1, kMaxListLength}},
      {"checks_fencing", kRequired, &Pool::checks_fencing, {}},
      {"checks_sender", kRequired, &Pool::checks_sender, {}},
      {"reachable_without_sidecar",
       kRequired,
       &Pool::reachable_without_sidecar,
       {}},
      {"model", kOptional, &Pool::model, {0, 0, StringFormat::kLabel}},
      {"max_tokens_per_call",
       kOptional,
       &Pool::max_tokens_per_call,
       {0, kMaxTokensPerCall}},
  };
  return kFields;
}

template <>
std::span<const FieldSpec<Priority>> FieldTable() {
  static constexpr FieldSpec<Priority> kFields[] = {
      {"name", kRequired, &Priority::name, kNameString},
      {"rank", kRequired, &Priority::rank, {0, kMaxRank}},
      {"reserved_share", kOptional, &Priority::reserved_share, {0, 1}},
      {"queue_wait_ms", kRequired, &Priority::queue_wait, {1, kMaxDurationMs}},
  };
  return kFields;
}

template <>
std::span<const FieldSpec<Distance>> FieldTable() {
  static constexpr FieldSpec<Distance> kFields[] = {
      {"from", kRequired, &Distance::from, kNameString},
      {"to", kRequired, &Distance::to, kNameString},
      {"ms", kRequired, &Distance::ms, {0, kMaxDistanceMs}},
  };
  return kFields;
}

template <>
std::span<const FieldSpec<Place>> FieldTable() {
  static constexpr FieldSpec<Place> kFields[] = {
      {"name", kRequired, &Place::name, kNameString},
      {"region", kRequired, &Place::region, kNameString},
      {"data_centres",
       kRequired,
       &Place::data_centres,
       {1, kMaxListLength, StringFormat::kName}},
      {"distances", kOptional, &Place::distances, {0, kMaxListLength}},
      {"client_distance_ms",
       kOptional,
       &Place::client_distance_ms,
       {0, kMaxDistanceMs}},
  };
  return kFields;
}

}  // namespace vanillalever::config
