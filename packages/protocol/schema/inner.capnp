@0xb1f4c6d2a9e83751;

# Protocol between the processes of the system. Fields may be added but never
# renumbered or removed: during an upgrade, processes of consecutive versions
# communicate with each other.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanillalever::protocol::wire");

# Bootstrap interface of every connection. A peer authenticates with
# HMAC-SHA256(key, nonce), so that the shared key is not sent over the network.
interface Gate {
  challenge @0 () -> (nonce :Data);
  login @1 (proof :Data) -> (node :Node);
}

struct ErrorInfo {
  code @0 :UInt16;
  message @1 :Text;
  step @2 :UInt16;
  peer @3 :Text;
  ran @4 :UInt16;
  retryAfterMs @5 :UInt32;
}

struct ExecuteRequest {
  organisation @0 :Text;
  program @1 :Text;
  # Distinguishes successive programs with the same id; a ReleaseRequest
  # contains it too.
  programIncarnation @2 :Text;
  shard @3 :UInt32;
  fence @4 :UInt64;
  turn @5 :UInt32;
  attempt @6 :UInt32;
  workToken @7 :Text;
  # The work token is only valid for this incarnation of the sidecar.
  sidecarIncarnation @8 :Text;
  pool @9 :Text;
  operation @10 :Text;
  repeatable @11 :Bool;
  # Lower values are more urgent.
  priority @12 :UInt32;
  programClass @13 :Text;
  deadlineMs @14 :UInt32;
  maxTokens @15 :UInt32;
  expectedTokens @16 :UInt32;
  shortWork @17 :Bool;
  prefixKey @18 :Text;
  body @19 :Data;
  # Time since the start of the program; orders requests that are otherwise
  # equal.
  programAgeMs @20 :UInt64;
  # Must not run concurrently with other requests, because the request is
  # suspected of crashing servers.
  alone @21 :Bool;
  stream @22 :Bool;
}

struct ExecuteResult {
  body @0 :Data;
  promptTokens @1 :UInt32;
  outputTokens @2 :UInt32;
  cachedTokens @3 :UInt32;
  # The backend server's process exited while this request was running.
  serverCrashed @4 :Bool;
  # Other requests that were running when the server crashed.
  coRunners @5 :UInt32;
  queuedMs @6 :UInt32;
  error @7 :ErrorInfo;
  # Identifier of the crash, the same for all requests affected by it.
  crashId @8 :Text;
}

struct SettleRequest {
  workToken @0 :Text;
  shard @1 :UInt32;
  fence @2 :UInt64;
}

struct SettleReply {
  # Value of protocol::SettleState.
  state @0 :UInt16;
  sidecarIncarnation @1 :Text;
  result @2 :ExecuteResult;
}

struct ReleaseRequest {
  program @0 :Text;
  programIncarnation @1 :Text;
  shard @2 :UInt32;
  fence @3 :UInt64;
}

struct LoadReport {
  incarnation @0 :Text;
  pool @1 :Text;
  dataCentre @2 :Text;
  backlogTokens @3 :UInt64;
  running @4 :UInt32;
  queued @5 :UInt32;
  tokensPerSecond @6 :Float64;
  slowness @7 :Float64;
  leaving @8 :Bool;
  configVersion @9 :UInt64;
  heldPrograms @10 :List(Text);
  concurrencyLimit @11 :UInt32;
  serverReachable @12 :Bool;
}

struct ForwardRequest {
  organisation @0 :Text;
  method @1 :Text;
  path @2 :Text;
  body @3 :Data;
  # Number of entries that have forwarded the request; limits forwarding loops.
  hops @4 :UInt32;
}

struct ForwardResult {
  status @0 :UInt32;
  body @1 :Data;
  error @2 :ErrorInfo;
}

interface TokenSink {
  # `reset` discards the text sent so far, because another attempt starts over.
  write @0 (text :Text, reset :Bool) -> ();
}

interface Node {
  execute @0 (request :ExecuteRequest, sink :TokenSink) -> (result :ExecuteResult);
  cancel @1 (workToken :Text) -> ();
  settle @2 (request :SettleRequest) -> (reply :SettleReply);
  acknowledge @3 (workTokens :List(Text)) -> ();
  release @4 (request :ReleaseRequest) -> (error :ErrorInfo);
  report @5 (configVersion :UInt64) -> (report :LoadReport);
  configure @6 (version :UInt64, body :Data) -> (version :UInt64);
  forward @7 (request :ForwardRequest, sink :TokenSink) -> (result :ForwardResult);
  adopt @8 (shards :List(UInt32)) -> ();
  # The owner with this fencing token has settled all intents of the shard.
  shardSettled @9 (shard :UInt32, fence :UInt64) -> ();
}
