#ifndef SASSAFRASWICK_PROXY_FWD_H_
#define SASSAFRASWICK_PROXY_FWD_H_

namespace sassafraswick {

class async_event;
class caller_session;
class host_runtime;
class target_connection;
class target_pool;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PROXY_FWD_H_
