#ifndef VANILLALEVER_PROTOCOL_SRC_WIRE_CODEC_H_
#define VANILLALEVER_PROTOCOL_SRC_WIRE_CODEC_H_

#include <optional>

#include "inner.capnp.h"
#include "vanillalever/protocol/messages.h"

// Conversion between the plain structs and the generated wire types.
namespace vanillalever::protocol {

void Encode(const base::ErrorInfo& info, wire::ErrorInfo::Builder out);
base::ErrorInfo Decode(wire::ErrorInfo::Reader in);

void Encode(const ExecuteRequest& request, wire::ExecuteRequest::Builder out);
ExecuteRequest Decode(wire::ExecuteRequest::Reader in);

void Encode(const ExecuteResult& result, wire::ExecuteResult::Builder out);
ExecuteResult Decode(wire::ExecuteResult::Reader in);

void Encode(const SettleRequest& request, wire::SettleRequest::Builder out);
SettleRequest Decode(wire::SettleRequest::Reader in);

void Encode(const SettleReply& reply, wire::SettleReply::Builder out);
SettleReply Decode(wire::SettleReply::Reader in);

void Encode(const ReleaseRequest& request, wire::ReleaseRequest::Builder out);
ReleaseRequest Decode(wire::ReleaseRequest::Reader in);

void Encode(const LoadReport& report, wire::LoadReport::Builder out);
LoadReport Decode(wire::LoadReport::Reader in);

void Encode(const ForwardRequest& request, wire::ForwardRequest::Builder out);
ForwardRequest Decode(wire::ForwardRequest::Reader in);

void Encode(const ForwardResult& result, wire::ForwardResult::Builder out);
ForwardResult Decode(wire::ForwardResult::Reader in);

}  // namespace vanillalever::protocol

#endif  // VANILLALEVER_PROTOCOL_SRC_WIRE_CODEC_H_
