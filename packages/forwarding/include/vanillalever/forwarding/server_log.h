#ifndef VANILLALEVER_FORWARDING_SERVER_LOG_H_
#define VANILLALEVER_FORWARDING_SERVER_LOG_H_

#include <string>
#include <string_view>

#include "vanillalever/forwarding/server_registry.h"

namespace vanillalever::forwarding {

// Logs the limit that a server states now. `source`: how it became known.
void LogRateLimit(const ServerSlot& slot, std::string_view source);
// Logs that a server has said that it leaves. `source` as above.
void LogLeaving(const std::string& server_id, std::string_view source);

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_SERVER_LOG_H_
