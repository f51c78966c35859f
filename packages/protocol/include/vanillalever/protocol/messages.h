#ifndef VANILLALEVER_PROTOCOL_MESSAGES_H_
#define VANILLALEVER_PROTOCOL_MESSAGES_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "vanillalever/base/clock.h"
#include "vanillalever/base/error.h"
#include "vanillalever/base/name_table.h"

// Messages of the protocol between processes (schema/inner.capnp) as plain
// structs. The fields have the same meaning as in the schema.
namespace vanillalever::protocol {

// Call to be executed by a backend server; sent by the owner of its program.
struct ExecuteRequest {
  std::string organisation;
  std::string program;
  std::string program_incarnation;
  std::uint32_t shard = 0;
  // Fencing token of the shard.
  std::uint64_t fence = 0;
  std::uint32_t turn = 0;
  std::uint32_t attempt = 0;
  std::string work_token;
  std::string sidecar_incarnation;
  std::string pool;
  std::string operation;
  bool repeatable = true;
  // Lower values are more urgent.
  std::uint32_t priority = 0;
  std::string program_class;
  // Remaining time for the call.
  std::uint32_t deadline_ms = 0;
  std::uint32_t max_tokens = 0;
  std::uint32_t expected_tokens = 0;
  bool short_work = false;
  // Key of the prompt prefix in the engine's prefix cache; empty for services.
  std::string prefix_key;
  std::string body;
  // Time since the start of the program.
  std::uint64_t program_age_ms = 0;
  // Must not run concurrently with other requests.
  bool alone = false;
  // Whether to stream output tokens as they are generated.
  bool stream = false;
};

// Outcome of a call at a sidecar.
struct ExecuteResult {
  // Set if the call failed or was rejected.
  std::optional<base::ErrorInfo> error;
  std::string body;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  // Prompt tokens that were in the engine's prefix cache.
  std::uint32_t cached_tokens = 0;
  // The backend server's process exited while the request was running.
  bool server_crashed = false;
  // Other requests that were running when the server crashed.
  std::uint32_t concurrent_requests = 0;
  // Identifier of the crash, the same for all requests affected by it.
  std::string crash_id;
  // Time spent in the sidecar's queue.
  std::uint32_t queued_ms = 0;
};

struct SettleRequest {
  std::string work_token;
  std::uint32_t shard = 0;
  std::uint64_t fence = 0;
};

// State of a work token at the sidecar to which it was sent.
enum class SettleState {
  kDone,     // ended; the result or an outcome_unknown error is included
  kRunning,  // queued or running, or cannot be revoked yet; query again later
  kRevoked,  // never received; this query revokes it permanently
  kFenced,   // the query carried an outdated fencing token
};

inline constexpr base::NameTable<SettleState, 4> kSettleStateNames(
    {"done", "running", "revoked", "fenced"});

struct SettleReply {
  SettleState state = SettleState::kRunning;
  // Incarnation that sent the reply. If it differs from the incarnation for
  // which the token was issued, the state of the token is lost.
  std::string sidecar_incarnation;
  ExecuteResult result;
};

struct ReleaseRequest {
  std::string program;
  std::string program_incarnation;
  std::uint32_t shard = 0;
  std::uint64_t fence = 0;
};

// Load of one backend server, reported by its sidecar.
struct LoadReport {
  std::string incarnation;
  std::string pool;
  std::string data_centre;
  std::uint64_t backlog_tokens = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  double tokens_per_second = 0;
  // Ratio of the long-term token rate to the recent rate; 1 is normal.
  double slowness = 1;
  bool leaving = false;
  std::uint64_t config_version = 0;
  // Programs whose KV cache the server holds.
  std::vector<std::string> held_programs;
  std::uint32_t concurrency_limit = 0;
  bool server_reachable = true;
};

// Caller's request, forwarded to the owner of its program.
struct ForwardRequest {
  std::string organisation;
  std::string method;
  std::string path;
  std::string body;
  std::uint32_t hops = 0;
};

struct ForwardResult {
  // Set if the owner could not be reached or is no longer the owner.
  std::optional<base::ErrorInfo> error;
  std::uint32_t status = 0;
  std::string body;
};

// Reply without content.
struct Empty {};

// Reply of a peer, or an error. `ran` = not_run in the error means that it
// occurred before the message was sent.
template <typename T>
struct Outcome {
  std::optional<base::ErrorInfo> error;
  T value{};
};

// Receives a reply. Called once, on the RPC thread; must not block.
template <typename T>
using ReplyCallback = std::function<void(Outcome<T> outcome)>;

// Chunk of streamed output.
struct StreamChunk {
  std::string text;
  // Discards the text sent before this chunk, because another attempt starts
  // over.
  bool reset = false;
};

// Receives streamed text. Called on the RPC thread; must not block.
using TokenCallback = std::function<void(StreamChunk chunk)>;

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_MESSAGES_H_
