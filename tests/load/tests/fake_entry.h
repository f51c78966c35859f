#ifndef VANILLALEVER_LOAD_TESTS_FAKE_ENTRY_H_
#define VANILLALEVER_LOAD_TESTS_FAKE_ENTRY_H_

#include <utility>

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "call.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::load {

// How a FakeEntry misbehaves.
enum class Defect {
  kNone,
  kDropAnswer,     // loses the first answer; the repetition is correct
  kRunTwice,       // runs service calls twice
  kSkipCall,       // answers service calls without running them
  kMixAnswers,     // answers with the content of another request
  kForgetTurn,     // leaves the last turn out of the history
  kDenyExecution,  // reports service calls as not run although they ran
};

// Minimal caller API of an entry over one engine and one service, to prove that
// the load tool counts broken promises.
class FakeEntry {
 public:
  FakeEntry(Defect defect, std::string engine, std::string service)
      : defect_(defect),
        engine_(std::move(engine)),
        service_(std::move(service)) {}

  void Handle(fakes::Call& call);

 private:
  using Json = nlohmann::json;

  void AnswerCall(fakes::Call& call, const std::string& id);
  // Runs the call at the engine or the service and returns the answer.
  Json Execute(const Json& request);
  Json Send(const std::string& address,
            const std::string& target,
            const Json& body);

  const Defect defect_;
  const std::string engine_;
  const std::string service_;
  http::BlockingClient client_;
  std::mutex mutex_;
  // Turns with their answers by program id.
  std::map<std::string, std::vector<Json>> history_;
  // References whose first answer was lost.
  std::set<std::string> dropped_;
};

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_TESTS_FAKE_ENTRY_H_
