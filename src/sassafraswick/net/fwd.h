#ifndef SASSAFRASWICK_NET_FWD_H_
#define SASSAFRASWICK_NET_FWD_H_

namespace sassafraswick {

class async_event;
class http_client;
class transfer_deadline;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_NET_FWD_H_
