#include "wire_codec.h"

#include <string>

#include <kj/debug.h>

namespace vanillalever::protocol {
namespace {

kj::ArrayPtr<const kj::byte> ToData(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

// Throws if `value` is out of range, which means that the message is malformed.
template <typename Enum, std::size_t N>
Enum CheckedEnum(std::uint16_t value,
                 const base::NameTable<Enum, N>& /*names*/) {
  KJ_REQUIRE(value < N, "enumeration value out of range", value);
  return static_cast<Enum>(value);
}

}  // namespace

void Encode(const base::ErrorInfo& info, wire::ErrorInfo::Builder out) {
  out.setCode(static_cast<std::uint16_t>(info.code));
  out.setMessage(info.message);
  out.setStep(static_cast<std::uint16_t>(info.step));
  out.setPeer(info.peer);
  out.setRan(static_cast<std::uint16_t>(info.ran));
  out.setRetryAfterMs(static_cast<std::uint32_t>(info.retry_after.count()));
}

base::ErrorInfo Decode(wire::ErrorInfo::Reader in) {
  base::ErrorInfo info;
  info.code = CheckedEnum(in.getCode(), base::kErrorCodeNames);
  info.message = ToString(in.getMessage());
  info.step = CheckedEnum(in.getStep(), base::kStepNames);
  info.peer = ToString(in.getPeer());
  info.ran = CheckedEnum(in.getRan(), base::kExecutionStatusNames);
  info.retry_after = base::milliseconds(in.getRetryAfterMs());
  return info;
}

void Encode(const ExecuteRequest& request, wire::ExecuteRequest::Builder out) {
  out.setOrganisation(request.organisation);
  out.setProgram(request.program);
  out.setProgramIncarnation(request.program_incarnation);
  out.setShard(request.shard);
  out.setFence(request.fence);
  out.setTurn(request.turn);
  out.setAttempt(request.attempt);
  out.setWorkToken(request.work_token);
  out.setSidecarIncarnation(request.sidecar_incarnation);
  out.setPool(request.pool);
  out.setOperation(request.operation);
  out.setRepeatable(request.repeatable);
  out.setPriority(request.priority);
  out.setProgramClass(request.program_class);
  out.setDeadlineMs(request.deadline_ms);
  out.setMaxTokens(request.max_tokens);
  out.setExpectedTokens(request.expected_tokens);
  out.setShortWork(request.short_work);
  out.setPrefixKey(request.prefix_key);
  out.setBody(ToData(request.body));
  out.setProgramAgeMs(request.program_age_ms);
  out.setAlone(request.alone);
  out.setStream(request.stream);
}

ExecuteRequest Decode(wire::ExecuteRequest::Reader in) {
  ExecuteRequest request;
  request.organisation = ToString(in.getOrganisation());
  request.program = ToString(in.getProgram());
  request.program_incarnation = ToString(in.getProgramIncarnation());
  request.shard = in.getShard();
  request.fence = in.getFence();
  request.turn = in.getTurn();
  request.attempt = in.getAttempt();
  request.work_token = ToString(in.getWorkToken());
  request.sidecar_incarnation = ToString(in.getSidecarIncarnation());
  request.pool = ToString(in.getPool());
  request.operation = ToString(in.getOperation());
  request.repeatable = in.getRepeatable();
  request.priority = in.getPriority();
  request.program_class = ToString(in.getProgramClass());
  request.deadline_ms = in.getDeadlineMs();
  request.max_tokens = in.getMaxTokens();
  request.expected_tokens = in.getExpectedTokens();
  request.short_work = in.getShortWork();
  request.prefix_key = ToString(in.getPrefixKey());
  request.body = ToString(in.getBody());
  request.program_age_ms = in.getProgramAgeMs();
  request.alone = in.getAlone();
  request.stream = in.getStream();
  return request;
}

void Encode(const ExecuteResult& result, wire::ExecuteResult::Builder out) {
  out.setBody(ToData(result.body));
  out.setPromptTokens(result.prompt_tokens);
  out.setOutputTokens(result.output_tokens);
  out.setCachedTokens(result.cached_tokens);
  out.setServerCrashed(result.server_crashed);
  out.setCoRunners(result.concurrent_requests);
  out.setQueuedMs(result.queued_ms);
  out.setCrashId(result.crash_id);
  if (result.error)
    Encode(*result.error, out.initError());
}

ExecuteResult Decode(wire::ExecuteResult::Reader in) {
  ExecuteResult result;
  result.body = ToString(in.getBody());
  result.prompt_tokens = in.getPromptTokens();
  result.output_tokens = in.getOutputTokens();
  result.cached_tokens = in.getCachedTokens();
  result.server_crashed = in.getServerCrashed();
  result.concurrent_requests = in.getCoRunners();
  result.queued_ms = in.getQueuedMs();
  result.crash_id = ToString(in.getCrashId());
  if (in.hasError())
    result.error = Decode(in.getError());
  return result;
}

void Encode(const SettleRequest& request, wire::SettleRequest::Builder out) {
  out.setWorkToken(request.work_token);
  out.setShard(request.shard);
  out.setFence(request.fence);
}

SettleRequest Decode(wire::SettleRequest::Reader in) {
  SettleRequest request;
  request.work_token = ToString(in.getWorkToken());
  request.shard = in.getShard();
  request.fence = in.getFence();
  return request;
}

void Encode(const SettleReply& reply, wire::SettleReply::Builder out) {
  out.setState(static_cast<std::uint16_t>(reply.state));
  out.setSidecarIncarnation(reply.sidecar_incarnation);
  Encode(reply.result, out.initResult());
}

SettleReply Decode(wire::SettleReply::Reader in) {
  SettleReply reply;
  reply.state = CheckedEnum(in.getState(), kSettleStateNames);
  reply.sidecar_incarnation = ToString(in.getSidecarIncarnation());
  reply.result = Decode(in.getResult());
  return reply;
}

void Encode(const ReleaseRequest& request, wire::ReleaseRequest::Builder out) {
  out.setProgram(request.program);
  out.setProgramIncarnation(request.program_incarnation);
  out.setShard(request.shard);
  out.setFence(request.fence);
}

ReleaseRequest Decode(wire::ReleaseRequest::Reader in) {
  ReleaseRequest request;
  request.program = ToString(in.getProgram());
  request.program_incarnation = ToString(in.getProgramIncarnation());
  request.shard = in.getShard();
  request.fence = in.getFence();
  return request;
}

void Encode(const LoadReport& report, wire::LoadReport::Builder out) {
  out.setIncarnation(report.incarnation);
  out.setPool(report.pool);
  out.setDataCentre(report.data_centre);
  out.setBacklogTokens(report.backlog_tokens);
  out.setRunning(report.running);
  out.setQueued(report.queued);
  out.setTokensPerSecond(report.tokens_per_second);
  out.setSlowness(report.slowness);
  out.setLeaving(report.leaving);
  out.setConfigVersion(report.config_version);
  auto list =
      out.initHeldPrograms(static_cast<unsigned>(report.held_programs.size()));
  for (unsigned i = 0; i < list.size(); ++i)
    list.set(i, report.held_programs[i]);
  out.setConcurrencyLimit(report.concurrency_limit);
  out.setServerReachable(report.server_reachable);
}

LoadReport Decode(wire::LoadReport::Reader in) {
  LoadReport report;
  report.incarnation = ToString(in.getIncarnation());
  report.pool = ToString(in.getPool());
  report.data_centre = ToString(in.getDataCentre());
  report.backlog_tokens = in.getBacklogTokens();
  report.running = in.getRunning();
  report.queued = in.getQueued();
  report.tokens_per_second = in.getTokensPerSecond();
  report.slowness = in.getSlowness();
  report.leaving = in.getLeaving();
  report.config_version = in.getConfigVersion();
  for (auto name : in.getHeldPrograms())
    report.held_programs.push_back(ToString(name));
  report.concurrency_limit = in.getConcurrencyLimit();
  report.server_reachable = in.getServerReachable();
  return report;
}

void Encode(const ForwardRequest& request, wire::ForwardRequest::Builder out) {
  out.setOrganisation(request.organisation);
  out.setMethod(request.method);
  out.setPath(request.path);
  out.setBody(ToData(request.body));
  out.setHops(request.hops);
}

ForwardRequest Decode(wire::ForwardRequest::Reader in) {
  ForwardRequest request;
  request.organisation = ToString(in.getOrganisation());
  request.method = ToString(in.getMethod());
  request.path = ToString(in.getPath());
  request.body = ToString(in.getBody());
  request.hops = in.getHops();
  return request;
}

void Encode(const ForwardResult& result, wire::ForwardResult::Builder out) {
  out.setStatus(result.status);
  out.setBody(ToData(result.body));
  if (result.error)
    Encode(*result.error, out.initError());
}

ForwardResult Decode(wire::ForwardResult::Reader in) {
  ForwardResult result;
  result.status = in.getStatus();
  result.body = ToString(in.getBody());
  if (in.hasError())
    result.error = Decode(in.getError());
  return result;
}

}  // namespace vanillalever::protocol
