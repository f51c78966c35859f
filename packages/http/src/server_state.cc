#include "server_state.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "session.h"
#include "vanillalever/base/logging.h"

namespace vanillalever::http {

using boost::asio::ip::tcp;

namespace {

constexpr base::Duration kAcceptRetryInterval = base::milliseconds(100);
constexpr base::Duration kAccountInterval = base::milliseconds(100);
// Limits the connections that are kept only to send a refusal.
constexpr std::size_t kMaxRefusedSessions = 256;

std::string StepName(base::Step step) {
  return std::string(base::kStepNames.name(step));
}

tcp::endpoint ParseEndpoint(const ServerSettings& settings) {
  boost::system::error_code error;
  auto address = boost::asio::ip::make_address(settings.host, error);
  if (error) {
    throw base::NotRunError(base::ErrorCode::kInvalidRequest,
                            base::Step::kConnect,
                            "'" + settings.host + "' is not an IP address");
  }
  return {address, settings.port};
}

}  // namespace

ServerState::ServerState(IoThreads& threads,
                         ServerSettings settings,
                         const Router& router)
    : settings_(std::move(settings)),
      router_(router),
      context_(threads.context()),
      acceptor_(context_),
      accept_timer_(context_),
      account_timer_(context_),
      account_(settings_.memory) {
  tcp::endpoint endpoint = ParseEndpoint(settings_);
  try {
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    endpoint_ = acceptor_.local_endpoint();
  } catch (const boost::system::system_error& error) {
    throw base::NotRunError(
        base::ErrorCode::kUnavailable, base::Step::kConnect,
        std::string("cannot listen: ") + error.what(),
        settings_.host + ":" + std::to_string(settings_.port));
  }
}

void ServerState::Accept() {
  acceptor_.async_accept(
      boost::asio::make_strand(context_),
      [self = shared_from_this()](boost::system::error_code error,
                                  tcp::socket socket) {
        self->OnAccept(error, std::move(socket));
      });
}

void ServerState::StartAccountTicks() {
  std::lock_guard lock(mutex_);
  if (!std::exchange(account_ticks_, true))
    ArmAccountTimer();
}

void ServerState::ArmAccountTimer() {
  account_timer_.expires_after(kAccountInterval);
  account_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        auto self = weak.lock();
        if (self && !error)
          self->TickAccount();
      });
}

void ServerState::TickAccount() {
  bool again = account_.Tick(base::TimePoint::clock::now());
  std::lock_guard lock(mutex_);
  account_ticks_ = again;
  if (again)
    ArmAccountTimer();
}

void ServerState::OnAccept(boost::system::error_code error,
                           tcp::socket socket) {
  std::lock_guard lock(mutex_);
  if (!error)
    AddSession(std::move(socket));
  if (stopping_)
    return;
  if (!error)
    return Accept();
  base::LogEvent(base::LogLevel::kError, "accept_failed",
                 {{"step", StepName(base::Step::kConnect)},
                  {"address", endpoint_.address().to_string() + ":" +
                                  std::to_string(endpoint_.port())},
                  {"error", error.message()}});
  AcceptAfterDelay();
}

// Errors such as a lack of file descriptors last until other connections end.
void ServerState::AcceptAfterDelay() {
  accept_timer_.expires_after(kAcceptRetryInterval);
  accept_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code) {
        std::lock_guard lock(self->mutex_);
        if (!self->stopping_)
          self->Accept();
      });
}

void ServerState::AddSession(tcp::socket socket) {
  bool refused = sessions_.size() >= settings_.max_connections;
  if (refused) {
    boost::system::error_code ignored;
    auto remote = socket.remote_endpoint(ignored);
    base::LogEvent(base::LogLevel::kWarning, "connection_refused",
                   {{"step", StepName(base::Step::kConnect)},
                    {"peer", remote.address().to_string() + ":" +
                                 std::to_string(remote.port())},
                    {"connections", std::to_string(sessions_.size())}});
    if (refused_sessions_.size() >= kMaxRefusedSessions)
      return;
  }
  auto session =
      std::make_shared<Session>(shared_from_this(), std::move(socket));
  (refused ? refused_sessions_ : sessions_).insert(session.get());
  if (refused)
    session->Refuse();
  else
    session->Start();
}

void ServerState::AddQueuedConnections() {
  boost::system::error_code error;
  while (true) {
    tcp::socket socket(boost::asio::make_strand(context_));
    acceptor_.accept(socket, error);
    if (error)
      return;
    AddSession(std::move(socket));
  }
}

std::vector<std::shared_ptr<Session>> ServerState::LockSessions() const {
  std::vector<std::shared_ptr<Session>> sessions;
  for (Session* session : sessions_) {
    // The weak pointer is expired if the session's destructor is running.
    if (auto locked = session->weak_from_this().lock())
      sessions.push_back(std::move(locked));
  }
  return sessions;
}

void ServerState::StopAccepting() {
  std::vector<std::shared_ptr<Session>> sessions;
  {
    std::lock_guard lock(mutex_);
    if (std::exchange(stopping_, true))
      return;
    AddQueuedConnections();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    sessions = LockSessions();
  }
  for (const auto& session : sessions)
    session->CloseWhenIdle();
}

void ServerState::AbortRequests(const base::ErrorInfo& error) {
  std::vector<std::shared_ptr<Session>> sessions;
  {
    std::lock_guard lock(mutex_);
    refusal_ = error;
    refusal_->ran = base::ExecutionStatus::kNotRun;
    sessions = LockSessions();
  }
  for (const auto& session : sessions)
    session->Abort(error);
}

bool ServerState::WaitUntilIdle(base::Duration timeout) {
  std::unique_lock lock(mutex_);
  idle_condition_.wait_for(lock, timeout, [this] {
    bool closed = sessions_.empty() && refused_sessions_.empty();
    return requests_in_flight_ == 0 && (!stopping_ || closed);
  });
  return requests_in_flight_ == 0;
}

void ServerState::RequestStarted() {
  std::lock_guard lock(mutex_);
  ++requests_in_flight_;
}

void ServerState::RequestEnded() {
  std::lock_guard lock(mutex_);
  --requests_in_flight_;
  idle_condition_.notify_all();
}

void ServerState::SessionEnded(Session* session) {
  std::lock_guard lock(mutex_);
  sessions_.erase(session);
  refused_sessions_.erase(session);
  idle_condition_.notify_all();
}

bool ServerState::stopping() const {
  std::lock_guard lock(mutex_);
  return stopping_;
}

std::optional<base::ErrorInfo> ServerState::refusal() const {
  std::lock_guard lock(mutex_);
  return refusal_;
}

std::size_t ServerState::requests_in_flight() const {
  std::lock_guard lock(mutex_);
  return requests_in_flight_;
}

}  // namespace vanillalever::http
