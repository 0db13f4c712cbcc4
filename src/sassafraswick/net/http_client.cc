#include "sassafraswick/net/http_client.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include "sassafraswick/net/tcp.h"
#include "sassafraswick/net/transfer_deadline.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kHttpVersion = 11;
/// The largest response is a page of the store: about 1 MB, and a third more in
/// Base64.
constexpr std::uint64_t kMaxResponseBytes = 4'194'304;
/// Length of a request target in an error message.
constexpr std::size_t kMaxLoggedTarget = 60;

http::request<http::string_body> MakeRequest(const endpoint& address,
                                             const http_request& request) {
  http::request<http::string_body> message{request.verb, request.target,
                                           kHttpVersion};
  message.set(http::field::host, FormatEndpoint(address));
  for (const http_header& header : request.headers) {
    message.set(header.name, header.value);
  }
  if (!request.body.empty()) {
    message.set(http::field::content_type, "application/json");
    message.body() = request.body;
  }
  message.prepare_payload();
  return message;
}

}  // namespace

std::string PercentEncode(std::string_view bytes) {
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  constexpr unsigned kHexBase = 16;
  std::string encoded;
  for (const char each : bytes) {
    if (kUnreserved.find(each) != std::string_view::npos) {
      encoded += each;
      continue;
    }
    const unsigned byte = static_cast<unsigned char>(each);
    encoded += '%';
    encoded += kHexDigits[byte / kHexBase];
    encoded += kHexDigits[byte % kHexBase];
  }
  return encoded;
}

duration BoundTimeout(duration timeout, duration left) {
  return std::max(duration::zero(), std::min(timeout, left));
}

std::string http_response::Header(std::string_view name) const {
  const auto found = std::find_if(
      headers.begin(), headers.end(), [name](const http_header& header) {
        return boost::beast::iequals(header.name, name);
      });
  return found == headers.end() ? std::string() : found->value;
}

void http_client::Abort() {
  if (stream_.has_value()) {
    stream_->cancel();
  }
}

asio::awaitable<boost::system::error_code> http_client::Open() {
  boost::system::error_code failure;
  if (stream_.has_value()) {
    co_return failure;
  }
  buffer_.clear();
  stream_.emplace(executor_);
  stream_->expires_after(connect_timeout_);
  co_await stream_->async_connect(
      ToTcpEndpoint(address_),
      asio::redirect_error(asio::use_awaitable, failure));
  if (!failure) {
    boost::system::error_code ignored;
    stream_->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    EnableKeepalive(stream_->socket());
  }
  co_return failure;
}

asio::awaitable<boost::system::error_code> http_client::Receive(
    http::response_parser<http::string_body>& parser,
    duration first_byte_timeout) {
  boost::system::error_code failure;
  transfer_deadline deadline(monotonic_clock::now(), first_byte_timeout);
  while (!failure && !parser.is_done()) {
    stream_->expires_after(deadline.Remaining(monotonic_clock::now()));
    co_await http::async_read_some(
        *stream_, buffer_, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    deadline.RecordProgress(monotonic_clock::now());
  }
  co_return failure;
}

asio::awaitable<result<void>> http_client::Connect() {
  const boost::system::error_code failure = co_await Open();
  connected_ = !failure;
  if (failure) {
    stream_.reset();
    co_return MakeError(error_kind::kUnavailable,
                        FormatEndpoint(address_) + ": " + failure.message());
  }
  stream_->expires_never();
  co_return boost::outcome_v2::success();
}

asio::awaitable<result<http_response>> http_client::Call(http_request request) {
  const http::request<http::string_body> message =
      MakeRequest(address_, request);
  boost::system::error_code failure = co_await Open();
  connected_ = false;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  duration timeout = request.timeout;
  if (!failure) {
    // Beforehand, as the timeout or the end of the process may close it.
    SetResetOnClose(stream_->socket(), true);
    if (request.time_left) {
      timeout = BoundTimeout(timeout, request.time_left());
    }
    if (timeout <= duration::zero()) {
      SetResetOnClose(stream_->socket(), false);
      co_return MakeError(error_kind::kConflict,
                          FormatEndpoint(address_) +
                              request.target.substr(0, kMaxLoggedTarget) +
                              ": no longer valid, not sent");
    }
    const time_point sent_at = monotonic_clock::now();
    stream_->expires_after(timeout);
    co_await http::async_write(
        *stream_, message, asio::redirect_error(asio::use_awaitable, failure));
    if (request.time_left) {
      timeout = BoundTimeout(timeout,
                             std::chrono::duration_cast<duration>(
                                 sent_at + timeout - monotonic_clock::now()));
    }
  }
  if (!failure) {
    failure = co_await Receive(parser, timeout);
  }
  if (failure) {
    stream_.reset();
    co_return MakeError(error_kind::kUnavailable,
                        FormatEndpoint(address_) +
                            request.target.substr(0, kMaxLoggedTarget) + ": " +
                            failure.message());
  }
  stream_->expires_never();
  SetResetOnClose(stream_->socket(), false);
  http::response<http::string_body> response = parser.release();
  if (!response.keep_alive()) {
    stream_.reset();
  }
  connected_ = stream_.has_value();
  http_response received;
  received.status = response.result_int();
  for (const http::response<http::string_body>::value_type& field : response) {
    received.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  received.body = std::move(response.body());
  co_return received;
}

}  // namespace sassafraswick
