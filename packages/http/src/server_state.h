#ifndef VANILLALEVER_HTTP_SRC_SERVER_STATE_H_
#define VANILLALEVER_HTTP_SRC_SERVER_STATE_H_

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "session_account.h"
#include "vanillalever/http/server.h"

namespace vanillalever::http {

class Session;

// State shared by a server and its sessions. Thread-safe.
class ServerState : public std::enable_shared_from_this<ServerState> {
 public:
  ServerState(IoThreads& threads,
              ServerSettings settings,
              const Router& router);

  void Accept();
  void StopAccepting();
  bool WaitUntilIdle(base::Duration timeout);
  void AbortRequests(const base::ErrorInfo& error);

  void RequestStarted();
  void RequestEnded();
  // The session's connection is closed. Idempotent.
  void SessionEnded(Session* session);

  bool stopping() const;
  // The error for requests that arrive after AbortRequests().
  std::optional<base::ErrorInfo> refusal() const;
  std::size_t requests_in_flight() const;
  boost::asio::ip::tcp::endpoint endpoint() const { return endpoint_; }
  const ServerSettings& settings() const { return settings_; }
  const Router& router() const { return router_; }
  SessionAccount& account() { return account_; }
  // Resumes sessions that wait for memory, from now on until none waits.
  void StartAccountTicks();

 private:
  void OnAccept(boost::system::error_code error,
                boost::asio::ip::tcp::socket socket);
  void AcceptAfterDelay();
  // Starts a session, or refuses the connection if there are too many. Requires
  // the lock.
  void AddSession(boost::asio::ip::tcp::socket socket);
  // Adds the connections that the kernel has accepted already. Requires the
  // lock.
  void AddQueuedConnections();
  std::vector<std::shared_ptr<Session>> LockSessions() const;
  void TickAccount();
  // Requires the lock.
  void ArmAccountTimer();

  ServerSettings settings_;
  const Router& router_;
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer account_timer_;
  SessionAccount account_;
  boost::asio::ip::tcp::endpoint endpoint_;

  mutable std::mutex mutex_;
  std::condition_variable idle_condition_;
  std::set<Session*> sessions_;
  // Sessions that only send a refusal.
  std::set<Session*> refused_sessions_;
  std::optional<base::ErrorInfo> refusal_;
  std::size_t requests_in_flight_ = 0;
  bool stopping_ = false;
  bool account_ticks_ = false;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SRC_SERVER_STATE_H_
