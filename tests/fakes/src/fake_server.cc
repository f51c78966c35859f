#include "fake_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <iostream>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace vanillalever::fakes {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;

namespace {

constexpr std::size_t kMaxBodyBytes = 64 << 20;

std::string ToString(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

void ParseQuery(const std::string& query, HttpRequest& request) {
  std::size_t start = 0;
  while (start < query.size()) {
    std::size_t end = std::min(query.find('&', start), query.size());
    std::string pair = query.substr(start, end - start);
    std::size_t equals = std::min(pair.find('='), pair.size());
    std::string value = equals < pair.size() ? pair.substr(equals + 1) : "";
    request.query[PercentDecode(pair.substr(0, equals))] = PercentDecode(value);
    start = end + 1;
  }
}

HttpRequest ToHttpRequest(bhttp::request<bhttp::string_body> message) {
  HttpRequest request;
  request.method = ToString(message.method_string());
  std::string target = ToString(message.target());
  std::size_t query_start = std::min(target.find('?'), target.size());
  request.path = PercentDecode(target.substr(0, query_start));
  if (query_start < target.size())
    ParseQuery(target.substr(query_start + 1), request);
  for (const auto& field : message)
    request.headers[ToLower(ToString(field.name_string()))] =
        ToString(field.value());
  request.body = std::move(message.body());
  return request;
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

FakeServer::FakeServer(Handler handler, std::uint16_t port)
    : handler_(std::move(handler)),
      acceptor_(context_, {asio::ip::make_address_v4("127.0.0.1"), port}),
      accept_thread_([this] { AcceptConnections(); }) {}

FakeServer::~FakeServer() {
  stopping_ = true;
  // Unblocks accept(); closing the descriptor alone would not.
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  accept_thread_.join();
  std::unique_lock lock(mutex_);
  for (Socket* socket : sockets_)
    ::shutdown(socket->native_handle(), SHUT_RDWR);
  connection_ended_.wait(lock, [this] { return sockets_.empty(); });
}

std::string FakeServer::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void FakeServer::AcceptConnections() {
  while (!stopping_) {
    auto socket = std::make_unique<Socket>(context_);
    boost::system::error_code error;
    acceptor_.accept(*socket, error);
    if (error)
      continue;
    socket->set_option(asio::ip::tcp::no_delay(true), error);
    std::lock_guard lock(mutex_);
    sockets_.insert(socket.get());
    // Detached: the destructor waits until sockets_ is empty.
    std::thread([this, socket = std::move(socket)]() mutable {
      ServeConnection(*socket);
      std::lock_guard ending(mutex_);
      sockets_.erase(socket.get());
      // Destroyed before the notification, because it must not outlive
      // context_.
      socket.reset();
      connection_ended_.notify_all();
    }).detach();
  }
}

void FakeServer::ServeConnection(Socket& socket) {
  bool more = true;
  while (more && !stopping_)
    more = ServeRequest(socket);
}

bool FakeServer::ServeRequest(Socket& socket) {
  boost::beast::flat_buffer buffer;
  bhttp::request_parser<bhttp::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  boost::system::error_code error;
  bhttp::read(socket, buffer, parser, error);
  if (error)
    return false;
  bool keep_alive = parser.get().keep_alive();
  HttpExchange exchange(socket, ToHttpRequest(parser.release()), keep_alive,
                        stopping_);
  try {
    handler_(exchange);
  } catch (const nlohmann::json::exception& invalid) {
    exchange.RespondError(400, invalid.what());
  }
  return exchange.keep_alive();
}

void BlockStopSignals() {
  sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int RunFake(FakeServer::Handler handler, std::uint16_t port) {
  FakeServer server(std::move(handler), port);
  std::cout << "listening " << server.address() << std::endl;
  sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace vanillalever::fakes
