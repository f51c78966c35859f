#ifndef VANILLALEVER_TESTS_FAULTMATRIX_CALLER_MODEL_H_
#define VANILLALEVER_TESTS_FAULTMATRIX_CALLER_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "messages.h"

namespace vanillalever::faultmatrix {

class Cluster;

// A caller with one program. Creates it, makes its calls in order, repeats the
// requests that failed, ends it, and records the replies.
class CallerModel {
 public:
  // One turn, as the caller records it.
  struct Turn {
    bool repeatable = true;
    bool crashes = false;
    // Requests sent, those refused as "not run", and those whose outcome is
    // unknown.
    int sent = 0;
    int not_run = 0;
    int unknown = 0;
    // Unset until received, or if the turn was given up.
    std::optional<program::Answer> answer;
    bool given_up = false;
    bool quarantined = false;
  };

  CallerModel(Cluster& cluster,
              std::string key,
              program::ProgramId parent,
              std::int64_t budget,
              int turns);

  void Start();

  Process& process() { return process_; }
  const std::string& key() const { return key_; }
  const program::ProgramId& id() const { return id_; }
  const program::ProgramId& parent() const { return parent_; }
  std::int64_t budget() const { return budget_; }
  // Whether the program was created, and whether the caller has finished.
  bool created() const { return created_; }
  bool done() const { return done_; }
  // The last error, for messages about programs that have not ended.
  std::string last_error() const { return base::Describe(last_error_); }
  // By turn number, from 1.
  const std::map<std::uint32_t, Turn>& turns() const { return turns_; }

 private:
  CallerRequest RequestFor(std::uint32_t turn) const;
  void Send(const CallerRequest& request);
  void OnReply(const CallerRequest& request, const CallerReply& reply);
  void OnAnswer(std::uint32_t turn, const program::Answer& answer);
  void OnRefused(const CallerRequest& request, const base::ErrorInfo& error);
  void StartNextTurn();
  void RetryLater(const CallerRequest& request);
  void End();

  Cluster& cluster_;
  Process process_;
  std::string key_;
  program::ProgramId parent_;
  program::ProgramId id_;
  std::int64_t budget_;
  bool created_ = false;
  bool ending_ = false;
  bool done_ = false;
  base::ErrorInfo last_error_;
  // Number of the current turn.
  std::uint32_t current_ = 0;
  std::map<std::uint32_t, Turn> turns_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_CALLER_MODEL_H_
