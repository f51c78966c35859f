#include "vanillalever/http/server.h"

#include <utility>

#include "server_state.h"

namespace vanillalever::http {

Server::Server(IoThreads& threads,
               ServerSettings settings,
               const Router& router)
    : state_(
          std::make_shared<ServerState>(threads, std::move(settings), router)) {
  state_->Accept();
}

Server::~Server() {
  state_->StopAccepting();
}

std::string Server::address() const {
  return state_->endpoint().address().to_string() + ":" +
         std::to_string(port());
}

std::uint16_t Server::port() const {
  return state_->endpoint().port();
}

void Server::StopAccepting() {
  state_->StopAccepting();
}

bool Server::WaitUntilIdle(base::Duration timeout) {
  return state_->WaitUntilIdle(timeout);
}

void Server::AbortRequests(const base::ErrorInfo& error) {
  state_->AbortRequests(error);
}

std::size_t Server::requests_in_flight() const {
  return state_->requests_in_flight();
}

}  // namespace vanillalever::http
