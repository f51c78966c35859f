#ifndef VANILLALEVER_LOAD_TESTS_FAKE_ENTRY_H_
#define VANILLALEVER_LOAD_TESTS_FAKE_ENTRY_H_

#include <utility>

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http_exchange.h"
#include "vanillalever/http/blocking_client.h"

namespace vanillalever::load {

// Fault of a FakeEntry.
enum class Defect {
  kNone,
  kDropResponse,   // drops the first response; the retry is correct
  kExecuteTwice,   // executes service calls twice
  kSkipExecution,  // responds to service calls without executing them
  kMixResponses,   // responds with the content of another request
  kOmitTurn,       // omits the last turn from the history
  kDenyExecution,  // reports executed service calls as not run
};

// Minimal caller API of an entry with one engine and one service, to test that
// the load tool detects violated guarantees.
class FakeEntry {
 public:
  FakeEntry(Defect defect, std::string engine, std::string service)
      : defect_(defect),
        engine_(std::move(engine)),
        service_(std::move(service)) {}

  void Handle(fakes::HttpExchange& exchange);

 private:
  using Json = nlohmann::json;

  void HandleCall(fakes::HttpExchange& exchange, const std::string& id);
  // Executes the call on the engine or the service and returns the response.
  Json Execute(const Json& request);
  Json PostTo(const std::string& address,
              const std::string& target,
              const Json& body);

  const Defect defect_;
  const std::string engine_;
  const std::string service_;
  http::BlockingClient client_;
  std::mutex mutex_;
  // Turns with their responses by program id.
  std::map<std::string, std::vector<Json>> history_;
  // References whose first response was lost.
  std::set<std::string> dropped_refs_;
};

}  // namespace vanillalever::load

#endif  // VANILLALEVER_LOAD_TESTS_FAKE_ENTRY_H_
