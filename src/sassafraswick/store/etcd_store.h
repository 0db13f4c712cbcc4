#ifndef SASSAFRASWICK_STORE_ETCD_STORE_H_
#define SASSAFRASWICK_STORE_ETCD_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/store/store.h"

/// @file
/// Clients of the platform's services over HTTP: the key-value store, through
/// etcd v3's JSON API (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/)
/// and the host list.

namespace sassafraswick {

/// Client of etcd v3's JSON API.
class etcd_store {
 public:
  /// @param call_timeout Timeout of `Get`, `List` and `Write`.
  explicit etcd_store(endpoint address,
                      duration call_timeout = std::chrono::seconds(1))
      : address_(std::move(address)), call_timeout_(call_timeout) {}

  /// Reads one key.
  /// @return Nothing if the key does not exist.
  boost::asio::awaitable<result<std::optional<stored_record>>> Get(
      std::string key);

  /// Reads all keys with a prefix, in key order.
  boost::asio::awaitable<result<std::vector<stored_record>>> List(
      std::string prefix);

  /// Applies a conditional change.
  /// @return False if the key was at another revision, so that nothing changed.
  boost::asio::awaitable<result<bool>> Write(conditional_write write);

  /// Waits for a change of one key.
  /// @param revision First revision to report.
  /// @return Nothing if the timeout expired without a change.
  boost::asio::awaitable<result<std::optional<stored_record>>> Watch(
      std::string key, std::int64_t revision, duration timeout);

 private:
  endpoint address_;
  duration call_timeout_;
};

static_assert(platform_store<etcd_store>);

/// An entry of the platform's host list.
struct listed_host {
  std::string host;
  std::string availability_zone;
  /// Address that the host listens on for its peers.
  endpoint peers;
  bool leaving = false;
};

/// Fetches the platform's host list.
boost::asio::awaitable<result<std::vector<listed_host>>> FetchHosts(
    endpoint address, duration timeout);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_STORE_ETCD_STORE_H_
