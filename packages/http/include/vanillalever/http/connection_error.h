#ifndef VANILLALEVER_HTTP_CONNECTION_ERROR_H_
#define VANILLALEVER_HTTP_CONNECTION_ERROR_H_

#include <boost/system/error_code.hpp>

namespace vanillalever::http {

// Whether a write that ended with `write_error` took the error by which the
// connection was lost. The kernel reports that error once: reads return the
// data that had arrived before and then an end of data, which the server did
// not send and which completes no response. After an end of data that the
// server did send, writes fail with a broken pipe.
bool TookConnectionError(boost::system::error_code write_error);

}  // namespace vanillalever::http

#endif  // VANILLALEVER_HTTP_CONNECTION_ERROR_H_
