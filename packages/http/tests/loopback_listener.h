#ifndef VANILLALEVER_HTTP_TESTS_LOOPBACK_LISTENER_H_
#define VANILLALEVER_HTTP_TESTS_LOOPBACK_LISTENER_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace vanillalever::http {

// Accepts connections on a free port of 127.0.0.1 in a thread of its own, which
// also runs the handlers of their sockets. The last member of a server: no
// handler runs before the others are constructed or after they are destroyed.
class LoopbackListener {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  explicit LoopbackListener(std::function<void(Socket)> on_accept)
      : on_accept_(std::move(on_accept)),
        acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~LoopbackListener() {
    context_.stop();
    thread_.join();
  }
  LoopbackListener(const LoopbackListener&) = delete;
  LoopbackListener& operator=(const LoopbackListener&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  // Connections accepted so far.
  int connections() const { return connections_; }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, Socket socket) {
          if (error)
            return;
          ++connections_;
          on_accept_(std::move(socket));
          Accept();
        });
  }

  const std::function<void(Socket)> on_accept_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> connections_{0};
  std::thread thread_;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_TESTS_LOOPBACK_LISTENER_H_
