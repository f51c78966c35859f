#ifndef VANILLALEVER_HTTP_EXCHANGE_H_
#define VANILLALEVER_HTTP_EXCHANGE_H_

#include <memory>
#include <mutex>
#include <string>

#include "vanillalever/http/message.h"

namespace vanillalever::http {

// Writes the response to one request; implemented by the server's Session. May
// be called on any thread.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void Send(Response response) = 0;
  virtual void StartStream(Response head) = 0;
  virtual void Write(std::string data) = 0;
  virtual void Finish() = 0;
};

// One request and its response. A handler keeps the shared pointer until it has
// sent the response, which it may do on any thread. If the last pointer is
// released without a response, the caller receives an internal error, so that
// no request is dropped silently. Thread-safe. The server's IoThreads must
// outlive every pointer.
class Exchange {
 public:
  Exchange(Request request, std::shared_ptr<ResponseSink> sink);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const Request& request() const { return request_; }

  // Sends a complete response. Ignored if a response was already sent.
  void Send(Response response);
  // Sends an error response; if a stream was started, sends an `error` event
  // and ends the stream.
  void SendError(const base::ErrorInfo& info);

  // Starts a response of server-sent events.
  void StartEvents();
  // Sends one event; `data` must not contain line breaks (JSON text does not).
  void SendEvent(const std::string& event, const std::string& data);
  // Ends the stream.
  void Finish();

  bool streaming() const;

 private:
  Request request_;
  std::shared_ptr<ResponseSink> sink_;
  // Held while the sink is called, so that parts of two responses are not mixed
  // when the server aborts a request that is just being answered.
  mutable std::mutex mutex_;
  bool streaming_ = false;
  bool completed_ = false;
};

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_EXCHANGE_H_
