#include "vanillalever/forwarding/stream_record.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "stream.capnp.h"

#include "vanillalever/protocol/packed_message.h"

namespace vanillalever::forwarding {
namespace {

namespace wire = protocol::stream;
using protocol::Bytes;
using protocol::Pack;

}  // namespace

std::string EncodeStreamOrigin(const StreamOrigin& origin) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::StreamOrigin>();
  root.setService(origin.service);
  root.setVersion(origin.version);
  return Pack(message);
}

std::optional<StreamOrigin> DecodeStreamOrigin(std::string_view bytes) {
  try {
    kj::ArrayInputStream stream(Bytes(bytes));
    capnp::PackedMessageReader reader(stream);
    auto root = reader.getRoot<wire::StreamOrigin>();
    return StreamOrigin{root.getService(), root.getVersion()};
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

std::string EncodeServedVersions(const ServedVersions& versions) {
  capnp::MallocMessageBuilder message;
  auto list = message.initRoot<wire::ServiceVersions>().initVersions(
      static_cast<unsigned>(versions.size()));
  unsigned i = 0;
  for (const auto& [version, left_at_ms] : versions) {
    list[i].setVersion(version);
    list[i].setLeftAtMs(left_at_ms);
    ++i;
  }
  return Pack(message);
}

std::optional<ServedVersions> DecodeServedVersions(std::string_view bytes) {
  try {
    kj::ArrayInputStream stream(Bytes(bytes));
    capnp::PackedMessageReader reader(stream);
    ServedVersions versions;
    for (auto entry : reader.getRoot<wire::ServiceVersions>().getVersions())
      versions[entry.getVersion()] = entry.getLeftAtMs();
    return versions;
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace vanillalever::forwarding
