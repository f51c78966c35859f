#include "vanillalever/forwarding/wire_codec.h"

#include <string_view>

#include <boost/beast/http/rfc7230.hpp>

namespace vanillalever::forwarding {

void RemoveConnectionFields(HttpFields& fields) {
  namespace http = boost::beast::http;
  std::string connection(fields[http::field::connection]);
  for (const auto& token : http::token_list(connection)) {
    std::string name(token);
    fields.erase(name);
  }
  for (http::field field :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade,
        http::field::expect, http::field::content_length,
        http::field::proxy_authenticate, http::field::proxy_authorization})
    fields.erase(field);
}

void AppendFields(const HttpFields& fields, std::string* text) {
  for (const auto& field : fields) {
    text->append(View(field.name_string())).append(": ");
    text->append(View(field.value())).append("\r\n");
  }
}

}  // namespace vanillalever::forwarding
