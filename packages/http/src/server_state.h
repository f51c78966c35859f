#ifndef VANILLALEVER_HTTP_SRC_SERVER_STATE_H_
#define VANILLALEVER_HTTP_SRC_SERVER_STATE_H_

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <set>

#include <boost/asio/ip/tcp.hpp>

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

  void RequestStarted();
  void RequestEnded();
  void SessionEnded(Session* session);

  bool stopping() const;
  std::size_t requests_in_flight() const;
  boost::asio::ip::tcp::endpoint endpoint() const { return endpoint_; }
  const ServerSettings& settings() const { return settings_; }
  const Router& router() const { return router_; }

 private:
  void OnAccept(boost::system::error_code error,
                boost::asio::ip::tcp::socket socket);

  ServerSettings settings_;
  const Router& router_;
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint endpoint_;

  mutable std::mutex mutex_;
  std::condition_variable idle_condition_;
  std::set<Session*> sessions_;
  std::size_t requests_in_flight_ = 0;
  bool stopping_ = false;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_SRC_SERVER_STATE_H_
