#ifndef VANILLALEVER_ORGANISATION_CREDENTIAL_H_
#define VANILLALEVER_ORGANISATION_CREDENTIAL_H_

#include <string>
#include <utility>

namespace vanillalever::organisation {

// What a request states about its caller's key. Secret: only a KeyDirectory can
// read the key, and nothing converts it to text, so that it cannot be logged by
// mistake.
class Credential {
 public:
  enum class Form {
    kAbsent,     // no key
    kKey,        // one key, which may be empty or unknown
    kMalformed,  // several keys
  };

  Credential() = default;
  // A request that carries `key`.
  static Credential OfKey(std::string key) {
    return Credential(Form::kKey, std::move(key));
  }
  // A request that carries several keys.
  static Credential Malformed() { return Credential(Form::kMalformed, ""); }

  Form form() const { return form_; }

 private:
  friend class KeyDirectory;

  Credential(Form form, std::string key) : form_(form), key_(std::move(key)) {}

  Form form_ = Form::kAbsent;
  std::string key_;
};

}  // namespace vanillalever::organisation

#endif  // VANILLALEVER_ORGANISATION_CREDENTIAL_H_
