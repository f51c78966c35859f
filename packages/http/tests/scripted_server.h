#ifndef VANILLALEVER_HTTP_TESTS_SCRIPTED_SERVER_H_
#define VANILLALEVER_HTTP_TESTS_SCRIPTED_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "loopback_listener.h"
#include "vanillalever/base/clock.h"

namespace vanillalever::http {

// Bytes that a ScriptedServer writes some time after it has read a request.
struct ScriptedBytes {
  base::milliseconds delay{0};
  std::string bytes;
  // Whether the connection ends after them.
  bool close = false;
};

// Server that sends prepared bytes, which need not be responses. It reads on
// while bytes are still to be sent.
class ScriptedServer {
 public:
  using Script = std::vector<ScriptedBytes>;

  // `script`: what to send for a request with this target.
  explicit ScriptedServer(
      std::function<Script(const std::string& target)> script)
      : script_(std::move(script)), listener_([this](Socket socket) {
          Serve(std::make_shared<Session>(std::move(socket)));
        }) {}

  std::string address() const { return listener_.address(); }
  int connections() const { return listener_.connections(); }

 private:
  using Socket = LoopbackListener::Socket;

  struct Session {
    explicit Session(Socket accepted) : socket(std::move(accepted)) {}
    Socket socket;
    boost::beast::flat_buffer input;
    boost::beast::http::request<boost::beast::http::string_body> request;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Serve(const SessionPtr& session) {
    session->request = {};
    boost::beast::http::async_read(
        session->socket, session->input, session->request,
        [this, session](boost::system::error_code error, std::size_t) {
          if (error)
            return;
          for (ScriptedBytes& step :
               script_(std::string(session->request.target())))
            Send(session, std::move(step));
          Serve(session);
        });
  }

  void Send(const SessionPtr& session, ScriptedBytes step) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        session->socket.get_executor(), step.delay);
    auto send = [session, timer,
                 step = std::move(step)](boost::system::error_code error) {
      if (error)
        return;
      boost::asio::write(session->socket, boost::asio::buffer(step.bytes),
                         error);
      if (step.close)
        session->socket.shutdown(Socket::shutdown_both, error);
    };
    timer->async_wait(std::move(send));
  }

  const std::function<Script(const std::string& target)> script_;
  LoopbackListener listener_;
};

// Complete response with this status line, after "HTTP/1.1 ", and body.
inline std::string ResponseText(const std::string& status,
                                const std::string& body,
                                const std::string& fields = "") {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_TESTS_SCRIPTED_SERVER_H_
