#ifndef VANILLALEVER_CONFIG_PROGRAM_CLASS_H_
#define VANILLALEVER_CONFIG_PROGRAM_CLASS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillalever::config {

// Limits at which a program ends with an error (rule R12).
struct Limits {
  // Highest number of turns.
  std::int64_t turns = 0;
  // Longest time from the program's creation to its end.
  std::chrono::milliseconds elapsed{0};
  // Highest spend, in tokens, whatever budget the caller asked for.
  std::int64_t spend_tokens = 0;

  bool operator==(const Limits&) const = default;
};

// Kind of program of one organisation.
struct ProgramClass {
  std::string name;
  // Name of the organisation whose programs these are.
  std::string organisation;
  // Name of the priority of its calls.
  std::string priority;
  // Names of the pools that its calls may use.
  std::vector<std::string> pools;
  // Name of a budget of scope `program`, used when the caller names none.
  std::string default_budget;
  Limits limits;
  // Whether its calls may use the slots reserved for short work.
  bool short_work = false;
  // Expected tokens of a call before there is a history; zero if unknown.
  std::int64_t expected_tokens = 0;
  // Deadline of a call that states none.
  std::chrono::milliseconds default_deadline{0};

  bool operator==(const ProgramClass&) const = default;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_PROGRAM_CLASS_H_
