#ifndef VANILLALEVER_FORWARDING_REQUEST_PROFILE_H_
#define VANILLALEVER_FORWARDING_REQUEST_PROFILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"

namespace vanillalever::forwarding {

// One part of a prompt. Requests whose prompts begin with the same parts can
// share the cached computation of those parts.
struct PromptPart {
  // Identity of the part's content.
  std::string id;
  // Length in tokens.
  std::int64_t tokens = 0;
};

// What a caller says about its request, besides method, target and body.
struct RequestProfile {
  // Identity of this attempt of the caller; unique per attempt.
  std::string request_id;
  // How long the caller waits for the answer, from its arrival; absent when
  // the caller does not say.
  std::optional<base::milliseconds> caller_timeout;
  // Program that the request belongs to; empty for a request of its own.
  std::string program;
  // Line of dependent turns within the program; empty if unknown.
  std::string session;
  // Time until the whole program should be finished.
  std::optional<base::milliseconds> program_time_left;
  // Tokens that all turns of the program together may generate.
  std::optional<std::int64_t> token_budget;
  // Prompt length and largest output, in tokens; zero for a plain request.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The prompt's parts in order; may be empty.
  std::vector<PromptPart> prompt_parts;
  // Object that the request is about; servers that handled it recently are
  // faster. Empty if unknown.
  std::string affinity_key;
  // Identifier of the last stream event that the caller holds; empty when the
  // stream starts from its beginning.
  std::string last_event_id;
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_REQUEST_PROFILE_H_
