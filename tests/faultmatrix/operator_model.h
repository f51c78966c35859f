#ifndef VANILLALEVER_TESTS_FAULTMATRIX_OPERATOR_MODEL_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_OPERATOR_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fake_platform.h"
#include "vanillalever/config/change_set.h"
#include "vanillalever/config/config_version.h"

namespace vanillalever::faultmatrix {

class Cluster;

// A change that its operator knows was accepted.
struct AcceptedChange {
  config::ChangeSet change;
  std::int64_t version = 0;
  TimePoint time;
};

// An operator who declares and changes configuration objects.
class OperatorModel {
 public:
  OperatorModel(Cluster& cluster, std::string name);

  // Reads the configuration, waits for a random time, and submits a change of
  // one object.
  void Propose(const std::string& object);

  const std::vector<AcceptedChange>& accepted() const { return accepted_; }
  // Number of changes that were refused because of a conflict.
  std::uint64_t refused() const { return refused_; }

 private:
  struct Proposal {
    config::ChangeSet change;
    config::ConfigSet base;
  };

  void ReadConfigRows(std::function<void(const std::vector<TableRow>&)> then);
  void Submit(const Proposal& proposal);
  void OnRows(const Proposal& proposal, const std::vector<TableRow>& rows);
  void CommitProposal(const Proposal& proposal,
                      const program::TransactionPlan& plan);
  void RecordAccepted(const Proposal& proposal, std::int64_t version);

  Cluster& cluster_;
  Process process_;
  std::string name_;
  int proposals_ = 0;
  std::vector<AcceptedChange> accepted_;
  std::uint64_t refused_ = 0;
};

// Decodes the accepted bodies among table rows, by version number.
std::map<std::int64_t, config::ConfigBody> ConfigBodies(
    const std::vector<TableRow>& rows);

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_OPERATOR_MODEL_H_
