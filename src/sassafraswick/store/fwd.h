#ifndef SASSAFRASWICK_STORE_FWD_H_
#define SASSAFRASWICK_STORE_FWD_H_

namespace sassafraswick {

struct stored_record;
struct record_write;
class etcd_store;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_STORE_FWD_H_
