#ifndef SASSAFRASWICK_GATEWAY_GATEWAY_PLATFORM_H_
#define SASSAFRASWICK_GATEWAY_GATEWAY_PLATFORM_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/session/codec.h"

/// @file
/// Interface between a gateway and the platform that it runs on.

namespace sassafraswick {

/// Sends requests for promotions, one at a time.
template <typename Promoter>
concept promotion_sender = requires(Promoter promoter, std::string text,
                                    std::int64_t token,
                                    std::function<duration()> time_left) {
  /// Opens the connection for the next request.
  { promoter.Connect() } -> std::same_as<boost::asio::awaitable<result<void>>>;
  { promoter.IsConnected() } -> std::same_as<bool>;
  /// Requests the promotion of an instance; false if the instance is not
  /// running. Asks `time_left` right before the request is sent, sends nothing
  /// if no time is left, and gives the request up by then.
  {
    promoter.Promote(text, text, text, token, time_left)
    } -> std::same_as<boost::asio::awaitable<result<bool>>>;
};

/// Operations that a platform provides in addition to its codec.
template <typename Platform>
concept gateway_platform = session_codec<typename Platform::codec> &&
    shared_store<typename Platform::store> &&
    promotion_sender<typename Platform::promoter> &&
    requires(Platform platform, std::string text,
             boost::asio::any_io_executor executor,
             store_era_observer observer) {
  {
    platform.MakeStore(executor, observer)
    } -> std::same_as<std::unique_ptr<typename Platform::store>>;
  {
    Platform::DecodeCatalog(text)
    } -> std::same_as<result<std::shared_ptr<const catalog>>>;
  { Platform::DecodeTarget(text, text) } -> std::same_as<result<target_record>>;
  { Platform::kConfigurationKey } -> std::convertible_to<std::string_view>;
  { Platform::kTargetsPrefix } -> std::convertible_to<std::string_view>;
  /// Prefix of the marks of evacuated zones; the rest of a key is the zone.
  { Platform::kEvacuationPrefix } -> std::convertible_to<std::string_view>;
  {
    platform.MakePromoter(executor)
    } -> std::same_as<std::shared_ptr<typename Platform::promoter>>;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_GATEWAY_PLATFORM_H_
