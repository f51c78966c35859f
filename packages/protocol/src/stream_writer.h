#ifndef VANILLALEVER_PROTOCOL_SRC_STREAM_WRITER_H_
#define VANILLALEVER_PROTOCOL_SRC_STREAM_WRITER_H_

#include <string>

#include <kj/async.h>

#include "inner.capnp.h"

namespace vanillalever::protocol {

// Sends streamed text with at most one message in flight. Text written
// meanwhile is combined into the next message, so that the number of messages
// on a slow link depends on the round-trip time, not on the number of tokens.
// Used on the RPC thread only.
class StreamWriter : public kj::Refcounted {
 public:
  explicit StreamWriter(wire::TokenSink::Client sink) : sink_(kj::mv(sink)) {}

  void Write(const std::string& text);
  // Discards unsent text and tells the receiver to discard the text sent so
  // far.
  void Reset();

  // Resolves when all text has been received by the peer, or the connection has
  // failed.
  kj::Promise<void> Flush();

 private:
  void SendPending();

  wire::TokenSink::Client sink_;
  std::string pending_;
  bool pending_reset_ = false;
  bool in_flight_ = false;
  bool failed_ = false;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> flush_fulfiller_;
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_STREAM_WRITER_H_
