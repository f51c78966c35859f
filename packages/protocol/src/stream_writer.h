#ifndef VANILLALEVER_PROTOCOL_SRC_STREAM_WRITER_H_
#define VANILLALEVER_PROTOCOL_SRC_STREAM_WRITER_H_

#include <string>

#include <kj/async.h>

#include "inner.capnp.h"

namespace vanillalever::protocol {

// Sends streamed text with one message outstanding; text that arrives meanwhile
// is joined, so that a slow link costs messages in proportion to round trips,
// not to tokens. Used on the RPC thread only.
class StreamWriter : public kj::Refcounted {
 public:
  explicit StreamWriter(wire::TokenSink::Client sink) : sink_(kj::mv(sink)) {}

  void Write(const std::string& text);
  // Declares everything written so far void.
  void Reset();

  // Resolves when everything written has arrived, or the peer is gone.
  kj::Promise<void> Flush();

 private:
  void SendPending();

  wire::TokenSink::Client sink_;
  std::string pending_;
  bool pending_reset_ = false;
  bool outstanding_ = false;
  bool broken_ = false;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> flushed_;
};

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_STREAM_WRITER_H_
