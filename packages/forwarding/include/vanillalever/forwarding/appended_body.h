#ifndef VANILLALEVER_FORWARDING_APPENDED_BODY_H_
#define VANILLALEVER_FORWARDING_APPENDED_BODY_H_

#include <cstdint>
#include <string>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

namespace vanillalever::forwarding {

// Body of a server's response, for Beast's parsers: a string to which each
// piece is appended. Unlike Beast's own, it allocates nothing for the length
// that the response states, which may be false.
struct AppendedBody {
  using value_type = std::string;

  // NOLINTNEXTLINE(readability-identifier-naming): the name Beast expects.
  class reader {
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>&,
              boost::system::error_code& error) {
      error = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t size = 0;
      for (auto piece : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(piece.data()), piece.size());
        size += piece.size();
      }
      return size;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace vanillalever::forwarding

#endif  // VANILLALEVER_FORWARDING_APPENDED_BODY_H_
