#include "admin_api.h"

#include <charconv>
#include <utility>

#include "http_reply.h"
#include "vanillalever/config/admin_codec.h"

namespace vanillalever::entry {
namespace {

http::Response JsonResponse(std::string body, int status = 200) {
  http::Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::int64_t ParseVersion(const std::string& text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end || number < 1) {
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kParse,
                            "version must be a positive integer");
  }
  return number;
}

int HttpStatusFor(const config::ChangeResponse& answer) {
  if (!answer.conflicts.empty())
    return 409;
  return answer.error || !answer.errors.empty() ? 400 : 200;
}

}  // namespace

AdminApi::AdminApi(EntryContext& context, ProgramApi& programs)
    : context_(context), programs_(programs) {}

void AdminApi::Authenticate(const http::Request& request) const {
  // Compares hashes of fixed length in constant time, so that timing reveals
  // nothing about the token.
  std::string presented = config::HashToken(request.bearer_token());
  std::string expected = config::HashToken(context_.settings.admin_token);
  unsigned char difference = 0;
  for (std::size_t i = 0; i < expected.size(); ++i)
    difference |= static_cast<unsigned char>(presented[i] ^ expected[i]);
  if (difference != 0 || context_.settings.admin_token.empty()) {
    throw base::NotRunError(base::ErrorCode::kUnauthenticated,
                            base::Step::kAuthenticate,
                            "the operators' token is missing or wrong");
  }
}

void AdminApi::Add(http::Router& router,
                   const char* method,
                   const char* pattern,
                   Action action) {
  router.Add(method, pattern, [this, action](const ExchangePtr& exchange) {
    Authenticate(exchange->request());
    context_.workers.Post([exchange, action] {
      try {
        exchange->Send(action(exchange->request()));
      } catch (const base::Error& error) {
        exchange->SendError(error.info());
      }
    });
  });
}

void AdminApi::AddRoutes(http::Router& router) {
  Add(router, "GET", "/admin/v1/config",
      [this](const http::Request& request) { return Config(request); });
  Add(router, "POST", "/admin/v1/validate",
      [this](const http::Request& request) {
        return HandleChange(request, false);
      });
  Add(router, "POST", "/admin/v1/apply", [this](const http::Request& request) {
    return HandleChange(request, true);
  });
  Add(router, "GET", "/admin/v1/history",
      [this](const http::Request&) { return History(); });
  Add(router, "GET", "/admin/v1/status",
      [this](const http::Request&) { return Status(); });
  router.Add("GET", "/admin/v1/programs/{id}",
             [this](const ExchangePtr& exchange) {
               Authenticate(exchange->request());
               ShowProgram(exchange);
             });
}

http::Response AdminApi::Config(const http::Request& request) {
  auto version = request.query.find("version");
  if (version == request.query.end()) {
    context_.config.Poll();
    ConfigView view = context_.config.Peek();
    if (!view.body)
      return JsonResponse(config::AdminCodec::EncodeConfig(0, {}));
    return JsonResponse(config::AdminCodec::EncodeConfig(
        view.body->version.number, view.body->set));
  }
  config::ConfigBody body =
      context_.config.Version(ParseVersion(version->second));
  return JsonResponse(
      config::AdminCodec::EncodeConfig(body.version.number, body.set));
}

http::Response AdminApi::HandleChange(const http::Request& request,
                                      bool apply) {
  config::DecodedChange decoded =
      config::AdminCodec::DecodeChange(request.body);
  config::ChangeResponse answer;
  if (!decoded.errors.empty()) {
    ConfigView view = context_.config.Peek();
    answer = config::AdminCodec::MakeChangeResponse(
        decoded.errors, view.body ? view.body->version.number : 0);
  } else if (apply) {
    answer = context_.config.Apply(decoded.change);
  } else {
    answer = context_.config.Validate(decoded.change);
  }
  return JsonResponse(config::AdminCodec::EncodeChangeResponse(answer),
                      HttpStatusFor(answer));
}

http::Response AdminApi::History() {
  return JsonResponse(
      config::AdminCodec::EncodeHistory(context_.config.History()));
}

http::Response AdminApi::Status() {
  config::AdminStatus status;
  ConfigView view = context_.config.Peek();
  status.version = view.body ? view.body->version.number : 0;
  std::string self = context_.membership.incarnation();
  for (const membership::EntryRow& row : context_.membership.entries()) {
    config::EntryStatus entry;
    entry.incarnation = row.incarnation;
    entry.address = row.address;
    entry.data_centre = row.data_centre;
    entry.leaving = row.state == membership::EntryState::kLeaving;
    if (row.incarnation == self) {
      entry.config_version = status.version;
      for (const ShardPtr& shard : context_.shards.all()) {
        ++entry.shards;
        entry.programs += static_cast<std::int64_t>(shard->size());
      }
    }
    status.entries.push_back(std::move(entry));
  }
  base::TimePoint now = std::chrono::steady_clock::now();
  for (const Server& server : context_.servers.servers()) {
    config::ServerStatus row;
    row.pool = server.pool;
    row.address = server.address;
    row.data_centre = server.report.data_centre;
    row.incarnation = server.report.incarnation;
    row.state = membership::kInstanceStateNames.name(
        context_.servers.state(server.address));
    row.config_version =
        static_cast<std::int64_t>(server.report.config_version);
    row.backlog_tokens =
        static_cast<std::int64_t>(server.report.backlog_tokens);
    row.running = server.report.running;
    row.queued = server.report.queued;
    row.slowness = server.report.slowness;
    row.report_age = std::chrono::duration_cast<base::milliseconds>(
        now - server.report_received_at);
    status.servers.push_back(std::move(row));
  }
  return JsonResponse(config::AdminCodec::EncodeStatus(status));
}

// Operators can read programs of every organisation. The entry that owns the
// program answers.
void AdminApi::ShowProgram(const ExchangePtr& exchange) {
  CallerRequest request;
  request.organisation = std::string(kOperatorOrganisation);
  request.method = "GET";
  request.path = "/v1/programs/" + exchange->request().parameters.at("id");
  programs_.Handle(std::move(request),
                   std::make_shared<HttpReply>(exchange, false));
}

}  // namespace vanillalever::entry
