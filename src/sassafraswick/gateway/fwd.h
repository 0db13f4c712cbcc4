#ifndef SASSAFRASWICK_GATEWAY_FWD_H_
#define SASSAFRASWICK_GATEWAY_FWD_H_

namespace sassafraswick {

class rate_limiter;
struct gateway_counters;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FWD_H_
