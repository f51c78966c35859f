#include "server_state.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "session.h"

namespace vanillalever::http {

using boost::asio::ip::tcp;

namespace {

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
      acceptor_(context_) {
  tcp::endpoint endpoint = ParseEndpoint(settings_);
  try {
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
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

void ServerState::OnAccept(boost::system::error_code error,
                           tcp::socket socket) {
  std::shared_ptr<Session> session;
  {
    std::lock_guard lock(mutex_);
    if (stopping_)
      return;
    if (!error && sessions_.size() < settings_.max_connections) {
      session =
          std::make_shared<Session>(shared_from_this(), std::move(socket));
      sessions_.insert(session.get());
    }
    Accept();
  }
  if (session)
    session->Start();
}

void ServerState::StopAccepting() {
  std::vector<std::shared_ptr<Session>> sessions;
  {
    std::lock_guard lock(mutex_);
    if (std::exchange(stopping_, true))
      return;
    for (Session* session : sessions_) {
      // The weak pointer is expired if the session's destructor is running.
      if (auto locked = session->weak_from_this().lock())
        sessions.push_back(std::move(locked));
    }
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }
  for (const auto& session : sessions)
    session->CloseWhenIdle();
}

bool ServerState::WaitUntilIdle(base::Duration timeout) {
  std::unique_lock lock(mutex_);
  return idle_condition_.wait_for(lock, timeout,
                                  [this] { return requests_in_flight_ == 0; });
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
}

bool ServerState::stopping() const {
  std::lock_guard lock(mutex_);
  return stopping_;
}

std::size_t ServerState::requests_in_flight() const {
  std::lock_guard lock(mutex_);
  return requests_in_flight_;
}

}  // namespace vanillalever::http
