#ifndef VANILLALEVER_CONFIG_PROGRAM_CLASS_H_
#define VANILLALEVER_CONFIG_PROGRAM_CLASS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillalever::config {

// Limits at which a program ends with an error.
struct Limits {
  // Maximum number of turns.
  std::int64_t turns = 0;
  // Maximum time since creation, excluding periods without an owner.
  std::chrono::milliseconds elapsed{0};
  // Maximum spend in tokens, regardless of the budget the caller requests.
  std::int64_t spend_tokens = 0;

  bool operator==(const Limits&) const = default;
};

// Kind of program of one organisation.
struct ProgramClass {
  std::string name;
  // Name of the organisation that owns the programs.
  std::string organisation;
  // Name of the priority of its calls.
  std::string priority;
  // Names of the pools that its calls may use.
  std::vector<std::string> pools;
  // Name of a budget of scope `program`, used when the caller specifies none.
  std::string default_budget;
  Limits limits;
  // Whether its calls may use the slots reserved for short work.
  bool short_work = false;
  // Expected tokens of a call before any have been observed; zero if unknown.
  std::int64_t expected_tokens = 0;
  // Deadline of a call that specifies none.
  std::chrono::milliseconds default_deadline{0};

  bool operator==(const ProgramClass&) const = default;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_PROGRAM_CLASS_H_
