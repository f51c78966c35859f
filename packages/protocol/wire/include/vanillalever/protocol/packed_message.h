#ifndef VANILLALEVER_PROTOCOL_PACKED_MESSAGE_H_
#define VANILLALEVER_PROTOCOL_PACKED_MESSAGE_H_

#include <string>
#include <string_view>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/common.h>
#include <kj/io.h>

namespace vanillalever::protocol {

// View of the bytes of `text`, for fields and readers of messages.
inline kj::ArrayPtr<const kj::byte> Bytes(std::string_view text) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()),
                      text.size());
}

// Serializes the message in the packed encoding.
inline std::string Pack(capnp::MessageBuilder& message) {
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_PACKED_MESSAGE_H_
