#include "validator.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace vanillalever::config {
namespace {

// Tolerates the rounding of shares such as 0.1 that have no exact binary
// representation.
constexpr double kShareTolerance = 1e-9;

std::string IdText(const Object& object) {
  return IdOf(object).text();
}

std::string ElementPath(const std::string& field, std::size_t index) {
  return field + "[" + std::to_string(index) + "]";
}

bool Contains(const std::vector<std::string>& list, std::string_view text) {
  return std::ranges::find(list, text) != list.end();
}

}  // namespace

ConfigErrors Validator::Validate() {
  for (const auto& [name, organisation] : set_.organisations())
    CheckOrganisation(organisation);
  CheckTokensAreUnique();
  for (const auto& [name, program_class] : set_.program_classes())
    CheckClass(program_class);
  for (const auto& [name, pool] : set_.pools())
    CheckPool(pool);
  CheckServersAreUnique();
  for (const auto& [name, place] : set_.places())
    CheckDistances(place);
  CheckPlacesAreDisjoint();
  std::ranges::stable_sort(errors_, {}, [](const ConfigError& error) {
    return ParseObjectId(error.object);
  });
  return std::move(errors_);
}

void Validator::CheckOrganisation(const Organisation& organisation) {
  std::string id = IdText(organisation);
  const auto* budget = RequireObject<Budget>(id, "budget", organisation.budget);
  if (budget != nullptr && budget->scope != BudgetScope::kOrganisation)
    AddError(id, "budget",
             "a budget of scope organisation, found " + IdText(*budget) +
                 " of scope program");
  for (std::size_t i = 0; i < organisation.classes.size(); ++i) {
    std::string field = ElementPath("classes", i);
    const auto* program_class =
        RequireObject<ProgramClass>(id, field, organisation.classes[i]);
    if (program_class != nullptr &&
        program_class->organisation != organisation.name)
      AddError(
          id, field,
          "a program class of this organisation, found one of organisation/" +
              program_class->organisation);
  }
}

void Validator::CheckTokensAreUnique() {
  std::map<std::string, std::string> owners;
  for (const auto& [name, organisation] : set_.organisations()) {
    for (std::size_t i = 0; i < organisation.token_hashes.size(); ++i) {
      auto [owner, added] = owners.emplace(organisation.token_hashes[i], name);
      if (!added)
        AddError(IdText(organisation), ElementPath("token_hashes", i),
                 "a hash that no other organisation has, found that of "
                 "organisation/" +
                     owner->second);
    }
  }
}

void Validator::CheckClass(const ProgramClass& program_class) {
  std::string id = IdText(program_class);
  RequireObject<Organisation>(id, "organisation", program_class.organisation);
  RequireObject<Priority>(id, "priority", program_class.priority);
  if (program_class.pools.empty())
    AddError(id, "pools", "at least one pool, found none");
  for (std::size_t i = 0; i < program_class.pools.size(); ++i)
    RequireObject<Pool>(id, ElementPath("pools", i), program_class.pools[i]);
  CheckDefaultBudget(program_class);
  const Limits& limits = program_class.limits;
  if (program_class.expected_tokens > limits.spend_tokens)
    AddError(id, "expected_tokens",
             "at most limits.spend_tokens, " +
                 std::to_string(limits.spend_tokens) + ", found " +
                 std::to_string(program_class.expected_tokens));
  if (program_class.default_deadline > limits.elapsed)
    AddError(id, "default_deadline_ms",
             "at most limits.elapsed_ms, " +
                 std::to_string(limits.elapsed.count()) + ", found " +
                 std::to_string(program_class.default_deadline.count()));
}

void Validator::CheckDefaultBudget(const ProgramClass& program_class) {
  std::string id = IdText(program_class);
  const auto* budget =
      RequireObject<Budget>(id, "default_budget", program_class.default_budget);
  if (budget == nullptr)
    return;
  std::string found =
      ", found " + std::to_string(budget->tokens) + " in " + IdText(*budget);
  if (budget->scope != BudgetScope::kProgram)
    AddError(id, "default_budget",
             "a budget of scope program, found " + IdText(*budget) +
                 " of scope organisation");
  if (budget->tokens > program_class.limits.spend_tokens)
    AddError(id, "default_budget",
             "at most limits.spend_tokens, " +
                 std::to_string(program_class.limits.spend_tokens) + found);
  const auto* organisation =
      set_.Find<Organisation>(program_class.organisation);
  const Budget* organisation_budget =
      organisation == nullptr ? nullptr
                              : set_.Find<Budget>(organisation->budget);
  if (organisation_budget != nullptr &&
      budget->tokens > organisation_budget->tokens)
    AddError(id, "default_budget",
             "at most the organisation's budget, " +
                 std::to_string(organisation_budget->tokens) + found);
}

void Validator::CheckPool(const Pool& pool) {
  std::string id = IdText(pool);
  CheckPoolServers(pool);
  CheckPoolModel(pool);
  CheckReservedShares(pool);
  std::set<std::string> names;
  for (std::size_t i = 0; i < pool.operations.size(); ++i) {
    if (!names.insert(pool.operations[i].name).second)
      AddError(id, ElementPath("operations", i) + ".name",
               "a name that no other operation of the pool has, found " +
                   pool.operations[i].name);
  }
  // A stale command, or one from another sender, must be rejected by the
  // sidecar or by the backend server itself.
  if (pool.reachable_without_sidecar && !pool.checks_fencing)
    AddError(id, "reachable_without_sidecar",
             "false, because the backend servers do not check fencing tokens");
  if (pool.reachable_without_sidecar && !pool.checks_sender)
    AddError(id, "reachable_without_sidecar",
             "false, because the backend servers do not check the sender of "
             "commands");
}

void Validator::CheckPoolServers(const Pool& pool) {
  std::string id = IdText(pool);
  if (pool.servers.empty() == pool.service.empty())
    AddError(id, "servers",
             pool.servers.empty() ? "servers or service, found neither"
                                  : "either servers or service, found both");
  if (pool.expected_servers > 0 && pool.service.empty())
    AddError(id, "expected_servers",
             "no such field for a pool that lists its servers");
  const auto* place = RequireObject<Place>(id, "place", pool.place);
  if (place == nullptr)
    return;
  for (std::size_t i = 0; i < pool.servers.size(); ++i) {
    if (!Contains(place->data_centres, pool.servers[i].data_centre))
      AddError(id, ElementPath("servers", i) + ".data_centre",
               "a data centre of " + IdText(*place) + ", found " +
                   pool.servers[i].data_centre);
  }
}

void Validator::CheckPoolModel(const Pool& pool) {
  std::string id = IdText(pool);
  if (pool.kind == PoolKind::kEngine) {
    if (pool.model.empty())
      AddError(id, "model", "a model name for a pool of engines, found none");
    if (pool.max_tokens_per_call == 0)
      AddError(id, "max_tokens_per_call",
               "at least 1 for a pool of engines, found 0");
    return;
  }
  if (!pool.model.empty())
    AddError(id, "model", "no such field for a pool of services");
  if (pool.max_tokens_per_call != 0)
    AddError(id, "max_tokens_per_call", "no such field for a pool of services");
}

void Validator::CheckServersAreUnique() {
  std::map<std::string, std::string> address_owners;
  std::map<std::pair<std::string, std::string>, std::string> service_owners;
  for (const auto& [name, pool] : set_.pools()) {
    for (std::size_t i = 0; i < pool.servers.size(); ++i) {
      auto [owner, added] =
          address_owners.emplace(pool.servers[i].address, name);
      if (!added)
        AddError(
            IdText(pool), ElementPath("servers", i) + ".address",
            "an address that is listed only once, found that of a server of "
            "pool/" +
                owner->second);
    }
    if (pool.service.empty())
      continue;
    auto [owner, added] =
        service_owners.emplace(std::pair(pool.place, pool.service), name);
    if (!added)
      AddError(IdText(pool), "service",
               "a service that no other pool of its place has, found that of "
               "pool/" +
                   owner->second);
  }
}

void Validator::CheckReservedShares(const Pool& pool) {
  std::set<std::string> names;
  for (const auto& [name, program_class] : set_.program_classes()) {
    if (Contains(program_class.pools, pool.name))
      names.insert(program_class.priority);
  }
  std::vector<const Priority*> priorities;
  double total_share = 0;
  for (const std::string& name : names) {
    if (const auto* priority = set_.Find<Priority>(name)) {
      priorities.push_back(priority);
      total_share += priority->reserved_share;
    }
  }
  for (const Priority* priority : priorities) {
    if (priority->reserved_share > 0 && total_share > 1 + kShareTolerance)
      AddError(IdText(*priority), "reserved_share",
               "shares that add up to at most 1 in " + IdText(pool) +
                   ", found " + std::to_string(total_share));
    // Calls of a priority without a reserved share would never run.
    if (priority->reserved_share == 0 && total_share >= 1 - kShareTolerance)
      AddError(IdText(*priority), "reserved_share",
               "more than 0, because other priorities reserve every slot of " +
                   IdText(pool));
  }
}

void Validator::CheckDistances(const Place& place) {
  std::string id = IdText(place);
  for (std::size_t i = 0; i < place.distances.size(); ++i) {
    const Distance& pair = place.distances[i];
    std::string field = ElementPath("distances", i);
    if (!Contains(place.data_centres, pair.from))
      AddError(id, field + ".from",
               "a data centre of this place, found " + pair.from);
    bool known = std::ranges::any_of(set_.places(), [&pair](const auto& item) {
      return Contains(item.second.data_centres, pair.to);
    });
    if (!known)
      AddError(id, field + ".to", "a declared data centre, found " + pair.to);
    if (pair.from == pair.to)
      AddError(id, field + ".to",
               "another data centre than from, found " + pair.to);
  }
}

void Validator::CheckPlacesAreDisjoint() {
  std::map<std::string, std::string> centre_owners;
  std::map<std::pair<std::string, std::string>, std::string> pair_owners;
  for (const auto& [name, place] : set_.places()) {
    for (std::size_t i = 0; i < place.data_centres.size(); ++i) {
      auto [owner, added] = centre_owners.emplace(place.data_centres[i], name);
      if (!added)
        AddError(IdText(place), ElementPath("data_centres", i),
                 "a data centre that no other place has, found one of place/" +
                     owner->second);
    }
    for (std::size_t i = 0; i < place.distances.size(); ++i) {
      std::pair<std::string, std::string> pair =
          std::minmax(place.distances[i].from, place.distances[i].to);
      auto [owner, added] = pair_owners.emplace(pair, name);
      if (!added)
        AddError(IdText(place), ElementPath("distances", i),
                 "one distance for each pair of data centres, found another in "
                 "place/" +
                     owner->second);
    }
  }
}

template <typename T>
const T* Validator::RequireObject(const std::string& object,
                                  const std::string& field,
                                  const std::string& name) {
  const T* found = set_.Find<T>(name);
  if (found == nullptr)
    AddError(object, field,
             "a declared object, found no " +
                 std::string(kKindNames.name(IdOf(Object(T())).kind)) + "/" +
                 name);
  return found;
}

void Validator::AddError(std::string object,
                         std::string field,
                         std::string expected) {
  errors_.push_back({std::move(object), std::move(field), std::move(expected)});
}

}  // namespace vanillalever::config
