#ifndef VANILLALEVER_BALANCE_SERVICE_SPEED_H_
#define VANILLALEVER_BALANCE_SERVICE_SPEED_H_

#include <map>
#include <string>
#include <string_view>

#include "vanillalever/balance/decayed_fit.h"
#include "vanillalever/base/clock.h"

namespace vanillalever::balance {

// Speeds of a service's servers, in ms on a machine of normal speed.
struct Speeds {
  // Time between two output tokens of a request.
  double token_ms = 1;
  // Time from the send of a prompt to its first output: a constant part and one
  // for each prompt token that is not cached.
  double first_output_ms = 0;
  double prefill_ms_per_token = 0;
  // Output of a request as a fraction of its maximum.
  double output_share = 1;
  // Time that a request takes at a server with free places.
  double request_ms = 1;
};

// Learns the speeds of one service and of its servers relative to each other
// from responses. All values start at `priors`, stay within a bounded factor of
// them and fall back to them without responses. Not thread-safe.
class ServiceSpeed {
 public:
  explicit ServiceSpeed(const Speeds& priors);

  // The first output of a prompt came after `elapsed_ms` from a server with
  // free places. All times are divided by the slowdown factor that the server
  // reported.
  void OnFirstOutput(double prefill_tokens,
                     double elapsed_ms,
                     base::TimePoint now);
  // `tokens` followed the first output within `elapsed_ms`.
  void OnOutput(double tokens, double elapsed_ms, base::TimePoint now);
  // The same at a server that does not report its slowdown factor, which is
  // learned then.
  void OnServerOutput(const std::string& server,
                      double tokens,
                      double elapsed_ms,
                      base::TimePoint now);
  // A request ended; `output_share` of its maximum output.
  void OnOutputEnd(double output_share, base::TimePoint now);
  // A request took `elapsed_ms` at a server with free places.
  void OnCompleted(double elapsed_ms, base::TimePoint now);
  void RemoveServer(std::string_view server);

  Speeds speeds(base::TimePoint now) const;
  // Time for the same work relative to the service's other servers; above 1 for
  // a slow server, 1 without measurements.
  double slowness(std::string_view server, base::TimePoint now) const;

 private:
  Speeds priors_;
  DecayedMean token_ms_;
  DecayedLine first_output_ms_;
  DecayedMean output_share_;
  DecayedMean request_ms_;
  // Natural logarithms, by server.
  std::map<std::string, DecayedMean, std::less<>> slowness_;
};

}  // namespace vanillalever::balance

#endif  // VANILLALEVER_BALANCE_SERVICE_SPEED_H_
