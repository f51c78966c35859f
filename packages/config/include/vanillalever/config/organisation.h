#ifndef VANILLALEVER_CONFIG_ORGANISATION_H_
#define VANILLALEVER_CONFIG_ORGANISATION_H_

#include <string>
#include <vector>

namespace vanillalever::config {

// Customer whose callers start programs.
struct Organisation {
  std::string name;
  // SHA-256 hashes of the bearer tokens of its callers, 64 lower-case hex
  // digits each. Several are valid at once while a token is replaced.
  std::vector<std::string> token_hashes;
  // Names of the program classes that its callers may use.
  std::vector<std::string> classes;
  // Name of a budget of scope `organisation` that all its programs share.
  std::string budget;

  bool operator==(const Organisation&) const = default;
};

}  // namespace vanillalever::config

#endif  // VANILLALEVER_CONFIG_ORGANISATION_H_
