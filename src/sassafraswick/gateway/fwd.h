#ifndef SASSAFRASWICK_GATEWAY_FWD_H_
#define SASSAFRASWICK_GATEWAY_FWD_H_

namespace sassafraswick {

class news_relay;
class rate_limiter;
struct followed_prefix;
struct gateway_counters;
struct news_environment;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FWD_H_
