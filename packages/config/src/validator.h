#ifndef VANILLALEVER_CONFIG_VALIDATOR_H_
#define VANILLALEVER_CONFIG_VALIDATOR_H_

#include <string>

#include "vanillalever/config/config_error.h"
#include "vanillalever/config/config_set.h"

namespace vanillalever::config {

// Finds broken references and contradictions in a set.
class Validator {
 public:
  explicit Validator(const ConfigSet& set) : set_(set) {}

  // All errors, ordered by the kind and name of the invalid object.
  ConfigErrors Validate();

 private:
  void CheckOrganisation(const Organisation& organisation);
  void CheckTokensAreUnique();
  void CheckClass(const ProgramClass& program_class);
  void CheckDefaultBudget(const ProgramClass& program_class);
  void CheckPool(const Pool& pool);
  void CheckPoolServers(const Pool& pool);
  void CheckPoolModel(const Pool& pool);
  void CheckServersAreUnique();
  // Checks the reserved shares of the priorities whose program classes use the
  // pool.
  void CheckReservedShares(const Pool& pool);
  void CheckDistances(const Place& place);
  void CheckPlacesAreDisjoint();

  // Object of kind T; reports a missing one as a broken reference.
  template <typename T>
  const T* RequireObject(const std::string& object,
                         const std::string& field,
                         const std::string& name);

  void AddError(std::string object, std::string field, std::string expected);

  const ConfigSet& set_;
  ConfigErrors errors_;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_VALIDATOR_H_
