#ifndef SASSAFRASWICK_NET_HTTP_CLIENT_H_
#define SASSAFRASWICK_NET_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"

/// @file
/// HTTP/1.1 client with a persistent connection.

namespace sassafraswick {

/// Encodes bytes for the query of a request target (RFC 3986).
[[nodiscard]] std::string PercentEncode(std::string_view bytes);

/// Default timeout for opening a connection.
inline constexpr duration kHttpConnectTimeout = std::chrono::milliseconds(800);

struct http_header {
  std::string name;
  std::string value;
};

struct http_request {
  boost::beast::http::verb verb = boost::beast::http::verb::get;
  /// Path and query.
  std::string target;
  /// JSON; if empty, no body is sent.
  std::string body;
  std::vector<http_header> headers;
  /// Timeout for sending and, separately, until the first byte of the response.
  /// The rest of the response is bounded by `transfer_deadline`.
  duration timeout = std::chrono::seconds(1);
  /// For how much longer the request is valid. Asked once the connection is
  /// open, right before the first byte is sent: the process may have been
  /// suspended since the request was made. If no time is left, nothing is sent;
  /// otherwise the request is given up by then if no response has begun. May be
  /// empty.
  std::function<duration()> time_left;
};

/// Returns for how long a request that is valid for `left` may wait; zero if it
/// must not be sent.
[[nodiscard]] duration BoundTimeout(duration timeout, duration left);

struct http_response {
  unsigned status = 0;
  std::string body;
  std::vector<http_header> headers;

  /// Value of a header, whose name is compared without case; empty if missing.
  [[nodiscard]] std::string Header(std::string_view name) const;
};

/// Sends one request at a time. After a failure the next request opens a new
/// connection, because one on which a response was lost delivers no further
/// responses. While a request has no response, its connection is closed by a
/// reset: what a partition holds up is then lost rather than delivered later.
class http_client {
 public:
  /// The connection is opened by the first request.
  http_client(boost::asio::any_io_executor executor, endpoint address,
              duration connect_timeout = kHttpConnectTimeout)
      : executor_(std::move(executor)),
        address_(std::move(address)),
        connect_timeout_(connect_timeout) {}

  /// Opens the connection unless it is open, so that the next request is sent
  /// at once.
  /// @return `error_kind::kUnavailable` if the connection cannot be opened.
  boost::asio::awaitable<result<void>> Connect();

  /// Returns whether a connection is open and no request is in flight on it.
  [[nodiscard]] bool IsConnected() const noexcept { return connected_; }

  /// Sends a request and receives the response.
  /// @return The response of any status, `error_kind::kConflict` if
  /// `http_request::time_left` returned no time, or `error_kind::kUnavailable`
  /// if no response was received.
  boost::asio::awaitable<result<http_response>> Call(http_request request);

  /// Closes the connection. A request in flight fails.
  void Abort();

 private:
  boost::asio::awaitable<boost::system::error_code> Open();
  boost::asio::awaitable<boost::system::error_code> Receive(
      boost::beast::http::response_parser<boost::beast::http::string_body>&
          parser,
      duration first_byte_timeout);

  boost::asio::any_io_executor executor_;
  endpoint address_;
  duration connect_timeout_;
  std::optional<boost::beast::tcp_stream> stream_;
  bool connected_ = false;
  boost::beast::flat_buffer buffer_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_NET_HTTP_CLIENT_H_
