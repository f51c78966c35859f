#ifndef VANILLALEVER_FORWARDING_REQUEST_PROFILE_H_
#define VANILLALEVER_FORWARDING_REQUEST_PROFILE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/organisation/credential.h"

namespace vanillalever::forwarding {

// One part of a prompt. Requests whose prompts begin with the same parts can
// share the cached computation of those parts.
struct PromptPart {
  // Identifies the part's content.
  std::string id;
  // Length in tokens.
  std::int64_t tokens = 0;
};

// Request metadata supplied by the caller.
struct RequestProfile {
  // Unique per attempt of the caller.
  std::string request_id;
  // How long the caller waits for the response, counted from the request's
  // arrival; absent if the caller states none.
  std::optional<base::milliseconds> caller_timeout;
  // Program that the request belongs to; empty if it belongs to none.
  std::string program;
  // Sequence of dependent turns within the program; empty if unknown.
  std::string session;
  // Time until the deadline of the whole program.
  std::optional<base::milliseconds> program_time_left;
  // Maximum number of tokens that the program's turns may generate in total.
  std::optional<std::int64_t> token_budget;
  // Prompt length and maximum output length; zero for a plain request.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The prompt's parts in order; may be empty.
  std::vector<PromptPart> prompt_parts;
  // Key of the object that the request concerns; servers that handled it
  // recently are faster. Empty if unknown.
  std::string affinity_key;
  // Id of the last stream event that the caller received; empty to start the
  // stream from its beginning.
  std::string last_event_id;
  // Id of the caller's earlier attempt that brought the first event of the
  // stream; empty unless the caller takes a stream up again.
  std::string resumed_request;
  // Id of the turn that this one continues; empty at the start of a
  // conversation. Used on stateful routes.
  std::string previous_turn;
  // The key of the caller's organisation.
  organisation::Credential credential;
};

// Whether the ids that become keys of the shared table are printable ASCII
// texts of at most `max_bytes`.
bool HasValidIds(const RequestProfile& profile, std::size_t max_bytes);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_REQUEST_PROFILE_H_
