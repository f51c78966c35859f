#include "vanillalever/http/connection_error.h"

#include <boost/asio/error.hpp>

namespace vanillalever::http {

bool TookConnectionError(boost::system::error_code write_error) {
  namespace error = boost::asio::error;
  bool closed_by_peer = write_error == error::broken_pipe;
  bool closed_here = write_error == error::operation_aborted ||
                     write_error == error::bad_descriptor;
  return write_error && !closed_by_peer && !closed_here;
}

}  // namespace vanillalever::http
