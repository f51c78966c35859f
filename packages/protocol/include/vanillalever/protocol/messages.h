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

// Messages of the inner protocol as plain aggregates. Field meanings are those
// of schema/inner.capnp.
namespace vanillalever::protocol {

// A call for a backend server, sent by the owner of its program.
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
  // Lower is more urgent.
  std::uint32_t priority = 0;
  std::string program_class;
  // Time left for the call, in ms.
  std::uint32_t deadline_ms = 0;
  std::uint32_t max_tokens = 0;
  std::uint32_t expected_tokens = 0;
  bool short_work = false;
  // Key of the prompt prefix in the engine's cache; empty for plain services.
  std::string prefix_key;
  std::string body;
  // Age of the whole program, in ms.
  std::uint64_t program_age_ms = 0;
  // Runs without other requests beside it.
  bool alone = false;
  // Whether output tokens are wanted as they are generated.
  bool stream = false;
};

// Outcome of a call at a sidecar.
struct ExecuteResult {
  // Set when the call failed or was refused.
  std::optional<base::ErrorInfo> error;
  std::string body;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  // Prompt tokens found in the engine's prefix cache.
  std::uint32_t cached_tokens = 0;
  // The backend server's process ended while the request ran.
  bool server_crashed = false;
  // Requests that ran beside it when the server crashed.
  std::uint32_t concurrent_requests = 0;
  // Identity of the crash, the same for all requests that it hit.
  std::string crash_id;
  // Time spent in the sidecar's queue, in ms.
  std::uint32_t queued_ms = 0;
};

struct SettleRequest {
  std::string work_token;
  std::uint32_t shard = 0;
  std::uint64_t fence = 0;
};

// State of a work token at the sidecar that it was meant for.
enum class SettleState {
  kDone,     // ran; the result is attached
  kRunning,  // queued or running; ask again
  kRevoked,  // never received; revoked for good by this question
  kFenced,   // the question carried an old fencing token
};

inline constexpr base::NameTable<SettleState, 4> kSettleStateNames(
    {"done", "running", "revoked", "fenced"});

struct SettleReply {
  SettleState state = SettleState::kRunning;
  // Incarnation that answers; another one than the token's means that the
  // token's state is lost.
  std::string sidecar_incarnation;
  ExecuteResult result;
};

struct ReleaseRequest {
  std::string program;
  std::string program_incarnation;
  std::uint32_t shard = 0;
  std::uint64_t fence = 0;
};

// Load of one backend server as its sidecar sees it.
struct LoadReport {
  std::string incarnation;
  std::string pool;
  std::string data_centre;
  std::uint64_t backlog_tokens = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  double tokens_per_second = 0;
  // Ratio of the long-run rate to the recent rate; 1 is normal.
  double slowness = 1;
  bool leaving = false;
  std::uint64_t config_version = 0;
  // Programs whose cache the server holds.
  std::vector<std::string> held_programs;
  std::uint32_t concurrency_limit = 0;
  bool server_reachable = true;
};

// A caller's request passed on to the owner of its program.
struct ForwardRequest {
  std::string organisation;
  std::string method;
  std::string path;
  std::string body;
  std::uint32_t hops = 0;
};

struct ForwardResult {
  // Set when the owner could not be asked or refused to act as owner.
  std::optional<base::ErrorInfo> error;
  std::uint32_t status = 0;
  std::string body;
};

// Reply to a message without content.
struct Empty {};

// Reply of a peer, or the error that prevented it. An error whose `ran` is
// not_run arose before the message was sent.
template <typename T>
struct Outcome {
  std::optional<base::ErrorInfo> error;
  T value{};
};

// Receives a reply. Called once, on the RPC thread: it must not block.
template <typename T>
using ReplyCallback = std::function<void(Outcome<T> outcome)>;

// Piece of a stream.
struct StreamChunk {
  std::string text;
  // The text sent before this piece is void: another attempt starts over.
  bool reset = false;
};

// Receives streamed text, on the RPC thread: it must not block.
using TokenCallback = std::function<void(StreamChunk piece)>;

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_MESSAGES_H_
