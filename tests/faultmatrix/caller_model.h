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

class World;

// A caller with one program: creates it, makes its calls in order, repeats what
// has no certain outcome, ends it, and keeps its own records.
class CallerModel {
 public:
  // One turn as the caller plans and records it.
  struct Turn {
    bool repeatable = true;
    bool crashes = false;
    // Requests sent, those answered "not run", and those without a final reply.
    int sent = 0;
    int not_run = 0;
    int unknown = 0;
    // The answer; unset until received, or when the turn was given up.
    std::optional<program::Answer> answer;
    bool given_up = false;
    bool quarantined = false;
  };

  CallerModel(World& world,
              std::string key,
              program::ProgramId parent,
              std::int64_t budget,
              int turns);

  void Start();

  Host& host() { return host_; }
  const std::string& key() const { return key_; }
  const program::ProgramId& id() const { return id_; }
  const program::ProgramId& parent() const { return parent_; }
  std::int64_t budget() const { return budget_; }
  // Whether the program was created, and whether it was ended.
  bool created() const { return created_; }
  bool done() const { return done_; }
  // The last refusal, for messages about programs that do not end.
  std::string last_error() const { return base::Describe(last_error_); }
  // By number of the turn, from 1.
  const std::map<std::uint32_t, Turn>& turns() const { return turns_; }

 private:
  CallerRequest RequestFor(std::uint32_t turn) const;
  void Send(const CallerRequest& request);
  void OnReply(const CallerRequest& request, const CallerReply& reply);
  void OnAnswer(std::uint32_t turn, const program::Answer& answer);
  void OnRefused(const CallerRequest& request, const base::ErrorInfo& error);
  void Next();
  void Again(const CallerRequest& request);
  void End();

  World& world_;
  Host host_;
  std::string key_;
  program::ProgramId parent_;
  program::ProgramId id_;
  std::int64_t budget_;
  bool created_ = false;
  bool ending_ = false;
  bool done_ = false;
  base::ErrorInfo last_error_;
  // Turn that is being called.
  std::uint32_t current_ = 0;
  std::map<std::uint32_t, Turn> turns_;
};

}  // namespace vanillalever::faultmatrix

#endif  // VANILLALEVER_TESTS_FAULTMATRIX_CALLER_MODEL_H_
