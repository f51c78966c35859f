#ifndef VANILLALEVER_TESTS_FAULTMATRIX_OPERATOR_MODEL_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_OPERATOR_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fake_platform.h"
#include "vanillalever/config/change_set.h"
#include "vanillalever/config/config_version.h"

namespace vanillalever::faultmatrix {

class World;

// A change that its operator knows to be accepted.
struct AcceptedChange {
  config::ChangeSet change;
  std::int64_t version = 0;
  TimePoint time;
};

// An operator who declares objects and revises them.
class OperatorModel {
 public:
  OperatorModel(World& world, std::string name);

  // Reads the configuration, thinks, and submits one revised object.
  void Propose(const std::string& object);

  const std::vector<AcceptedChange>& accepted() const { return accepted_; }
  // Changes that were refused because of a conflict.
  std::uint64_t refused() const { return refused_; }

 private:
  struct Proposal {
    config::ChangeSet change;
    config::ConfigSet base;
  };

  void ReadAll(std::function<void(const std::vector<TableRow>&)> then);
  void Submit(const Proposal& proposal);
  void OnRows(const Proposal& proposal, const std::vector<TableRow>& rows);
  void Write(const Proposal& proposal, const program::TransactionPlan& plan);
  void Accept(const Proposal& proposal, std::int64_t version);

  World& world_;
  Host host_;
  std::string name_;
  int proposals_ = 0;
  std::vector<AcceptedChange> accepted_;
  std::uint64_t refused_ = 0;
};

// The accepted bodies among table rows, by number.
std::map<std::int64_t, config::ConfigBody> ConfigBodies(
    const std::vector<TableRow>& rows);

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_OPERATOR_MODEL_H_
