#ifndef SASSAFRASWICK_PLATFORM_FWD_H_
#define SASSAFRASWICK_PLATFORM_FWD_H_

namespace sassafraswick {

struct stored_record;
struct record_write;
class etcd_store;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_PLATFORM_FWD_H_
