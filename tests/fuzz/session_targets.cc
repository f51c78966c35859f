#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "platform/header_codec.h"
#include "target.h"
#include "vanillalever/forwarding/caller_session.h"
#include "vanillalever/forwarding/server_connection.h"

namespace vanillalever::fuzz {
namespace {

using boost::asio::ip::tcp;
using forwarding::HttpFields;

constexpr std::size_t kMaxBodyBytes = 4096;
constexpr std::chrono::seconds kMostTime{5};
// Statuses that the response to a request may have (RFC 9110, section 15).
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

std::vector<std::string> HttpTokens() {
  return {"\r\n",
          "\r\n\r\n",
          "Transfer-Encoding: chunked\r\n",
          "Content-Length: 5\r\n",
          "0\r\n\r\n",
          "ffffffffffffffff\r\n",
          "Expect: 100-continue\r\n",
          "\n",
          ";x=",
          "-1",
          "Connection: close\r\n",
          std::string(1, '\0'),
          "HTTP/1.0",
          "HEAD "};
}

std::vector<std::string> Requests() {
  return {"GET /a HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
          ("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
           "chunked\r\n\r\n5;x=y\r\n"
           "hello\r\n1\r\n!\r\n0\r\nX-Field: z\r\n\r\n"),
          ("POST /a HTTP/1.1\r\nHost: a\r\nExpect: "
           "100-continue\r\nContent-Length: 2"
           "\r\n\r\nokGET /b HTTP/1.1\r\nHost: a\r\n\r\n"),
          "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" +
              std::string(5000, 'x') + "\r\n0\r\n\r\n"};
}

std::vector<std::string> Responses() {
  return {
      ("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Seal: s\r\nServer-Load: "
       "1,0,6,"
       "100\r\nContent-Length: 5\r\n\r\nhello"),
      ("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Seal: "
       "s\r\nTransfer-Encoding: "
       "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
      ("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 503 X\r\nRequest-Id: "
       "1\r\nNot-Executed: "
       "1\r\nContent-Length: 0\r\n\r\n"),
      "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Seal: s\r\n\r\nto the end",
      "HTTP/1.1 600 X\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nhello"};
}

std::size_t Count(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + 1))
    ++count;
  return count;
}

// Sends pieces of `input` to a connected peer and ends the sending side.
class Feeder {
 public:
  Feeder(boost::asio::io_context& io, base::Random& random)
      : io_(io), random_(random), socket_(io) {}

  tcp::socket& socket() { return socket_; }

  void Send(std::string_view input) {
    boost::system::error_code error;
    while (!input.empty() && !error) {
      std::size_t size =
          std::min<std::size_t>(input.size(), 1 + random_.Below(2000));
      boost::asio::write(socket_, boost::asio::buffer(input.data(), size),
                         error);
      input.remove_prefix(size);
      io_.poll();
    }
    socket_.shutdown(tcp::socket::shutdown_send, error);
  }

  // Drops what has arrived.
  void Drain() {
    std::array<char, 8192> data;
    boost::system::error_code error;
    while (socket_.available(error) > 0 && !error)
      socket_.read_some(boost::asio::buffer(data), error);
  }

 private:
  boost::asio::io_context& io_;
  base::Random& random_;
  tcp::socket socket_;
};

class HttpTarget : public Target {
 public:
  HttpTarget(std::vector<std::string> samples, std::uint64_t seed)
      : mutator_(std::move(samples), HttpTokens(), seed),
        acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}) {}

  std::string NextInput() override { return mutator_.Next(); }

 protected:
  // Runs the loop until `done`, which bad input may not prevent.
  template <typename Done>
  void RunUntil(Feeder& feeder, Done done) {
    auto end = std::chrono::steady_clock::now() + kMostTime;
    while (!done()) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(20));
      feeder.Drain();
      if (std::chrono::steady_clock::now() > end)
        throw Finding("the connection does not end");
    }
  }

  boost::asio::io_context io_;
  Mutator mutator_;
  tcp::acceptor acceptor_;
  platform_adapter::HeaderCodec codec_;
};

// A caller's connection; each request is answered at once.
class CallerTarget final : public HttpTarget,
                           public forwarding::SessionDelegate {
 public:
  explicit CallerTarget(std::uint64_t seed) : HttpTarget(Requests(), seed) {
    limits_.body_bytes = kMaxBodyBytes;
    limits_.header_bytes = 2048;
  }

  std::string name() const override { return "caller"; }

  void Run(const std::string& input) override {
    requests_ = 0;
    ended_ = false;
    Feeder feeder(io_, mutator_.random());
    feeder.socket().connect(acceptor_.local_endpoint());
    session_ = std::make_shared<forwarding::CallerSession>(
        acceptor_.accept(), *this, forwarding::SessionMode::kServe);
    session_->Start();
    feeder.Send(input);
    RunUntil(feeder, [this] { return ended_; });
    session_.reset();
    io_.restart();
    io_.poll();
    if (oversized_)
      throw Finding("a body over the limit was accepted");
    if (requests_ > Count(input, "HTTP/1."))
      throw Finding("a request was read from within another one");
    if (account_->held() != 0)
      throw Finding("the account holds bytes of a connection that has ended");
  }

  std::shared_ptr<forwarding::ActiveRequest> OnRequest(
      forwarding::CallerRequest request,
      std::shared_ptr<forwarding::ResponseSink> sink,
      forwarding::SessionMode) override {
    ++requests_;
    // The session turns exceptions into responses.
    oversized_ |= request.body().size() > kMaxBodyBytes;
    codec_.DecodeRequest(request);
    codec_.PrepareSend(request, {});
    sink->SendResponse(200, HttpFields(), std::string(3000, 'x'));
    return nullptr;
  }
  void OnSessionEnded(forwarding::CallerSession*) override { ended_ = true; }
  const forwarding::IngressLimits& ingress_limits() const override {
    return limits_;
  }
  bool closing() const override { return false; }
  std::shared_ptr<memory::Account> memory() const override { return account_; }

 private:
  std::shared_ptr<memory::Account> account_ =
      std::make_shared<memory::Account>(memory::AccountSettings());
  forwarding::IngressLimits limits_;
  std::shared_ptr<forwarding::CallerSession> session_;
  std::size_t requests_ = 0;
  bool oversized_ = false;
  bool ended_ = false;
};

// A server's connection that carries one request.
class ServerTarget final : public HttpTarget,
                           public forwarding::ResponseHandler {
 public:
  explicit ServerTarget(std::uint64_t seed) : HttpTarget(Responses(), seed) {}

  std::string name() const override { return "server"; }

  void Run(const std::string& input) override {
    ends_ = heads_ = 0;
    Feeder feeder(io_, mutator_.random());
    auto connection =
        std::make_shared<forwarding::ServerConnection>(io_, codec_, "s");
    forwarding::ServerRequest request;
    request.head = "GET / HTTP/1.1\r\n\r\n";
    connection->Open(
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()),
        base::seconds(1), std::move(request), "1", false, this);
    io_.restart();
    io_.run_one_for(std::chrono::milliseconds(500));
    feeder.socket() = acceptor_.accept();
    feeder.Send(input);
    RunUntil(feeder, [this] { return ends_ > 0; });
    connection->Close();
    io_.restart();
    io_.poll();
    if (ends_ != 1)
      throw Finding("a response ended more than once");
  }

  void OnResponseHead(int status,
                      const HttpFields&,
                      const forwarding::ResponseMetadata& metadata) override {
    ++heads_;
    if (status < kFirstFinalStatus || status > kLastStatus)
      throw Finding("a status that is none was accepted");
    if (status / 100 == 2 && !metadata.authenticated)
      throw Finding("a success without the server's proof was accepted");
    if (metadata.request_id != "1")
      throw Finding("the response to another request was accepted");
  }
  void OnResponseBody(std::string_view) override { CheckHead(); }
  void OnResponseEnd() override {
    CheckHead();
    ++ends_;
  }
  void OnConnectionFailed(const std::string& reason, bool) override {
    ++ends_;
    // What this handler throws comes back as a failure of the connection.
    if (reason == "the response cannot be processed")
      throw Finding(reason);
  }

 private:
  void CheckHead() const {
    if (heads_ != 1)
      throw Finding("a body or an end without one head");
  }

  int heads_ = 0;
  int ends_ = 0;
};

}  // namespace

std::vector<std::unique_ptr<Target>> SessionTargets(std::uint64_t seed) {
  std::vector<std::unique_ptr<Target>> targets;
  targets.push_back(std::make_unique<CallerTarget>(seed));
  targets.push_back(std::make_unique<ServerTarget>(seed));
  return targets;
}

}  // namespace vanillalever::fuzz
