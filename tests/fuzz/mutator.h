#ifndef VANILLALEVER_TESTS_FUZZ_MUTATOR_H_
#define VANILLALEVER_TESTS_FUZZ_MUTATOR_H_

#include <string>
#include <vector>

#include "vanillalever/base/random.h"

namespace vanillalever::fuzz {

// Makes inputs from well-formed samples by random changes.
class Mutator {
 public:
  // `tokens`: texts with a meaning to the parser, inserted now and then.
  Mutator(std::vector<std::string> samples,
          std::vector<std::string> tokens,
          std::uint64_t seed);

  // Every eighth input is a sample itself.
  std::string Next();
  base::Random& random() { return random_; }

 private:
  void Change(std::string* input);

  std::vector<std::string> samples_;
  std::vector<std::string> tokens_;
  base::Random random_;
};

}  // namespace vanillalever::fuzz

#endif  // VANILLALEVER_TESTS_FUZZ_MUTATOR_H_
