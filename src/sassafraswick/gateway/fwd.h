#ifndef SASSAFRASWICK_GATEWAY_FWD_H_
#define SASSAFRASWICK_GATEWAY_FWD_H_

namespace sassafraswick {

class change_relay;
class rate_limiter;
struct watched_prefix;
struct gateway_counters;
struct store_watcher_environment;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FWD_H_
